package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// client is one session of a caller.
type client struct {
	name   string
	record *record
	conn   net.Conn
	in     *bufio.Reader
	// ids are the ids of its requests.
	ids map[string]string
}

// answer is the answer to one request.
type answer struct {
	rows      []string
	signature string
	failure   string
	state     string
	err       error
}

func (a answer) ok() bool { return a.err == nil && a.failure == "" }

func (a answer) String() string {
	return fmt.Sprintf("rows %q signature %q failure %q state %q error %v", a.rows, a.signature, a.failure, a.state, a.err)
}

// dial opens a session at a machine.
func dial(r *record, name string, m *machine, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", m.address(portFront), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, record: r, conn: conn, in: bufio.NewReader(conn), ids: map[string]string{}}
	if _, err := fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, key); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if a := c.read(2 * time.Second); !a.ok() {
		_ = conn.Close()
		return nil, fmt.Errorf("session refused: %s", a)
	}
	return c, nil
}

func (c *client) read(limit time.Duration) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	var a answer
	for {
		line, err := readMessage(c.in)
		if err != nil {
			if err == io.EOF && a.failure != "" {
				return a
			}
			a.err = err
			return a
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.failure = rest
		case "IDLE":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

// query sends a request and returns its id and its answer.
func (c *client) query(text string) (string, answer) {
	id := fmt.Sprintf("%016x", 0xabc000+lastID.Add(1))
	c.ids[id] = text
	c.record.printf("client %s sends %s %q", c.name, id, text)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, answer{err: err}
	}
	a := c.read(8 * time.Second)
	c.record.printf("client %s is answered to %s: %s", c.name, id, a)
	return id, a
}

func (c *client) close() {
	_, _ = io.WriteString(c.conn, "QUIT\r\n")
	_ = c.conn.Close()
}
