package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["newline"] = newline }

// newline: a client stores data that contains a line feed without a carriage return. The data reads like another request.
func newline(r *record, program string, trouble bool) ([]string, error) {
	f, groups, stop, err := deployment(r, program, "primary", 1, nil)
	if err != nil {
		return nil, err
	}
	defer stop()
	c, err := dial(r, "writer", f.machines[0], "db-1", keyOne)
	if err != nil {
		return nil, err
	}
	defer c.close()
	separator := "\n"
	if !trouble {
		separator = " "
	}
	text := "STORE note first" + separator + "QUERY 00000000000f00d0 STORE other second"
	id, a := c.query(text)
	if a.err != nil {
		return nil, errors.New("the write was not answered")
	}
	time.Sleep(time.Second)
	var breaks []string
	g := groups[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.runs {
		switch {
		case s.id == id && s.text != text:
			breaks = append(breaks, fmt.Sprintf("UNASKED: statement %s was sent as %q and is run as %q", id, text, s.text))
		case s.id != id && !strings.HasPrefix(s.id, "-"):
			breaks = append(breaks, fmt.Sprintf("UNASKED: statement %s, which no client sent, is run as %q", s.id, s.text))
		}
	}
	return breaks, nil
}
