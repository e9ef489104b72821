package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// session is a client's session.
type session struct {
	c     net.Conn
	in    *bufio.Reader
	name  string
	state string
	count int
}

// answer is the answer to a request; ok is set after a success, lost if there was no complete answer.
type answer struct {
	ok, lost bool
	code     string
	rows     []string
}

func (a answer) String() string {
	switch {
	case a.lost:
		return "no answer"
	case a.ok:
		return "success"
	}
	return a.code
}

func dialSession(front, database, key, name string) (*session, error) {
	c, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{c: c, in: bufio.NewReader(c), name: name}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "CONNECT %s %s\r\n", database, key); err != nil {
		_ = c.Close()
		return nil, err
	}
	line, err := readLine(s.in)
	if err == nil && !strings.HasPrefix(line, "IDLE I") {
		err = fmt.Errorf("refused: %s", line)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	s.state = "I"
	return s, nil
}

func (s *session) nextID() string {
	s.count++
	return fmt.Sprintf("%s-%06d", s.name, s.count)
}

// ask sends a request under a new id.
func (s *session) ask(text string) (string, answer) {
	id := s.nextID()
	return id, s.send(id, text)
}

func (s *session) send(id, text string) answer {
	_ = s.c.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := fmt.Fprintf(s.c, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{lost: true}
	}
	var a answer
	for {
		line, err := readLine(s.in)
		if err != nil {
			return answer{lost: true}
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.ok = true
		case "ERROR":
			a.code = rest
		case "IDLE":
			s.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

func (s *session) close() { _ = s.c.Close() }
