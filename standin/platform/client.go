package platform

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// Client is one caller's session.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
	lastID int
	// name is the prefix that makes the ids of this client's statements unique.
	name string
}

// callTimeout limits the time to connect and the time to wait for each line of an answer.
const callTimeout = 10 * time.Second

// Answer is the answer to one request.
type Answer struct {
	ID    string
	Rows  []string
	Error string
	State string
}

// Dial opens a session. If the answer is an error, Dial returns the answer with its code as an error.
func Dial(address, database, key, name string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, err
	}
	client := &Client{conn: c, reader: bufio.NewReader(c), name: name}
	if _, err := fmt.Fprintf(c, "CONNECT %s %s\r\n", database, key); err != nil {
		return nil, err
	}
	line, err := client.readLine()
	if err == nil && !strings.HasPrefix(line, "IDLE I") {
		err = errors.New(line)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return client, nil
}

func (c *Client) readLine() (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(callTimeout))
	return readLine(c.reader)
}

// readLine reads a line up to its end, which is a carriage return and a line feed.
func readLine(from *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		part, err := from.ReadString('\n')
		line.WriteString(part)
		if text, ended := strings.CutSuffix(line.String(), "\r\n"); ended || err != nil {
			return text, err
		}
	}
}

// NextID returns the id that the next request will have.
func (c *Client) NextID() string { return fmt.Sprintf("%s-%d", c.name, c.lastID+1) }

// Do sends a request and reads its answer. An error means that the session has ended.
func (c *Client) Do(text string) (Answer, error) {
	a := Answer{ID: c.NextID()}
	c.lastID++
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.ID, text); err != nil {
		return a, err
	}
	for {
		line, err := c.readLine()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "ERROR":
			a.Error = rest
		case "IDLE":
			a.State, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

// Close ends the session.
func (c *Client) Close() {
	_ = c.conn.Close()
}
