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
	net net.Conn
	in  *bufio.Reader
	ids int
	// name makes the ids of statements unique.
	name string
}

// callTimeout bounds each answer.
const callTimeout = 10 * time.Second

// Answer is the answer to one request.
type Answer struct {
	ID    string
	Rows  []string
	Error string
	State string
}

// Dial opens a session; an error answer is returned as an error with its code.
func Dial(address, database, key, name string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, err
	}
	client := &Client{net: c, in: bufio.NewReader(c), name: name}
	if _, err := fmt.Fprintf(c, "CONNECT %s %s\r\n", database, key); err != nil {
		return nil, err
	}
	line, err := client.line()
	if err == nil && !strings.HasPrefix(line, "IDLE I") {
		err = errors.New(line)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return client, nil
}

func (c *Client) line() (string, error) {
	_ = c.net.SetReadDeadline(time.Now().Add(callTimeout))
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// Do sends a request and reads its answer; an error means that the session has ended.
func (c *Client) Do(text string) (Answer, error) {
	c.ids++
	a := Answer{ID: fmt.Sprintf("%s-%d", c.name, c.ids)}
	if _, err := fmt.Fprintf(c.net, "QUERY %s %s\r\n", a.ID, text); err != nil {
		return a, err
	}
	for {
		line, err := c.line()
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
	_ = c.net.Close()
}
