package main

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	peakSessions = flag.String("crowd.sessions", "", "numbers of sessions for which TestCrowdPeaks measures, such as 400,2000; empty measures nothing")
	peakProgram  = flag.String("crowd.program", "", "program to measure in place of the one that is built")
	peakLimits   = flag.String("crowd.limits", "memory_mb = 184\nmax_fds = 4200", "limits of the machine to measure")
)

// TestCrowdPeaks measures the peak memory of an entry process for each kind of caller, for docs/measurements.md. It checks nothing but
// that the processes live and that an ordinary request is answered.
func TestCrowdPeaks(t *testing.T) {
	if *peakProgram != "" {
		built := program
		program = *peakProgram
		defer func() { program = built }()
	}
	large := filler(largeMessage)
	kinds := []struct {
		name   string
		behave func(c *crowd, i int) (net.Conn, [][]byte)
	}{
		{"a message without its end", func(c *crowd, _ int) (net.Conn, [][]byte) {
			return c.session(), [][]byte{[]byte("QUERY q STORE item " + large)}
		}},
		{"the same as the first message", func(c *crowd, _ int) (net.Conn, [][]byte) {
			return c.open(), [][]byte{[]byte("CONNECT " + large)}
		}},
		{"three whole messages", func(c *crowd, i int) (net.Conn, [][]byte) {
			m := query(fmt.Sprint("q", i), "STORE item "+large)
			return c.session(), [][]byte{m, m, m}
		}},
		{"four session values", func(c *crowd, _ int) (net.Conn, [][]byte) {
			m := func(n int) []byte { return query("q", fmt.Sprintf("CONFIGURE name-%d %s", n, large)) }
			return c.session(), [][]byte{m(0), m(1), m(2), m(3)}
		}},
		{"3,000 prepared names", func(c *crowd, _ int) (net.Conn, [][]byte) {
			var m []byte
			for n := range 3000 {
				m = append(m, query("q", fmt.Sprintf("PARSE name-%d FETCH shape-%d", n, n))...)
			}
			return c.session(), [][]byte{m}
		}},
		{"20,000 requests, no answer read", func(c *crowd, _ int) (net.Conn, [][]byte) {
			return c.session(), [][]byte{bytes.Repeat(query("q", "CONFIGURE name value"), 20_000)}
		}},
		{"nothing", func(c *crowd, _ int) (net.Conn, [][]byte) { return c.session(), nil }},
	}
	for _, count := range strings.FieldsFunc(*peakSessions, func(r rune) bool { return r == ',' }) {
		size, err := strconv.Atoi(count)
		require.NoError(t, err)
		for _, kind := range kinds {
			t.Run(count+" "+kind.name, func(t *testing.T) {
				c := newCrowdWithin(t, 1, *peakLimits)
				c.each(size, func(i int) {
					connection, messages := kind.behave(c, i)
					if connection != nil && !strings.Contains(kind.name, "no answer") {
						go answers(connection)
					}
					for _, m := range messages {
						c.send(connection, m)
					}
				})
				time.Sleep(settleTime)
				c.do(0, "primary", "key-two", "STORE after x")
				entry := c.entries[0]
				t.Logf("peak %d MiB, at most %d descriptors", peakMemory(t, entry)>>20, c.descriptors)
			})
		}
	}
}
