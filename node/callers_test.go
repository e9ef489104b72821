package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/standin/platform"
)

// The machine of these tests is small, so that a small crowd shows the same faults as a large one on a real machine.
const (
	crowdMemoryMB    = 64
	crowdDescriptors = 400
	// fileDescriptors is the part of a machine's descriptors that is kept for files.
	fileDescriptors = 200
	// crowdSize is the number of sessions that send large messages.
	crowdSize = 60
	// silentSize is the number of sessions that hold descriptors only.
	silentSize = 400
	// largeMessage is a little below the largest legal message, in bytes, so that the words around it fit as well.
	largeMessage = 1<<20 - 200
	// pieceSize is the size of the pieces of a message that is sent in small pieces, in bytes.
	pieceSize = 4 << 10
	// slowParts is the number of parts of a message that is sent slowly.
	slowParts = 50
	// sendTimeout ends the sending of a caller whose host no longer reads, and settleTime is the time in which a host reads the rest.
	sendTimeout = 4 * time.Second
	settleTime  = time.Second
	// sampleInterval is the interval at which descriptors are counted.
	sampleInterval = 20 * time.Millisecond
)

// crowd is a fleet of one core host and some entry hosts on small machines, with the connections of callers that do not behave.
type crowd struct {
	*fleet
	mu          sync.Mutex
	connections []net.Conn
	// descriptors is the largest number of descriptors of a process so far.
	descriptors int
}

// newCrowd starts a fleet whose upstream is in the zone of its last entry host.
func newCrowd(t *testing.T, hosts int) *crowd {
	return newCrowdWithin(t, hosts, fmt.Sprintf("memory_mb = %d\nmax_fds = %d", crowdMemoryMB, crowdDescriptors))
}

// newCrowdWithin starts such a fleet with other limits.
func newCrowdWithin(t *testing.T, hosts int, limits string) *crowd {
	c := &crowd{fleet: newFleetOf(t, 6, limits)}
	zone := fmt.Sprintf("z%d", hosts-1)
	u, err := c.group.Start(platform.Options{
		ID: "i-0", Zone: zone, Address: "127.0.0.1:0", Slots: 4, Queue: 64, Connections: 20, Work: time.Millisecond,
	})
	require.NoError(t, err)
	c.upstreams = append(c.upstreams, u)
	c.cores = append(c.cores, c.start("core", c.settings("core", 0, true, 0)))
	for i := range hosts {
		c.entries = append(c.entries, c.start("entry", c.settings("entry", i, true, 0)))
	}
	go c.cloud.Announce(c.ctx, c.controlAddresses()[:1], 300*time.Millisecond)
	c.eventually("configuration acknowledged", func() bool {
		return c.operator(0).Configure(configuration{version: 1, rate: 500}.body()) == http.StatusOK
	})
	for i := range hosts {
		c.eventually("entry host ready", func() bool { return c.ready(i) })
	}
	t.Cleanup(c.hangUp)
	c.do(0, "primary", "key-two", "STORE before x")
	go c.sample()
	return c
}

// sample records the number of descriptors until the processes end.
func (c *crowd) sample() {
	for c.ctx.Err() == nil {
		for _, p := range c.started {
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
			c.mu.Lock()
			c.descriptors = max(c.descriptors, len(entries))
			c.mu.Unlock()
		}
		time.Sleep(sampleInterval)
	}
}

func (c *crowd) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close()
	}
}

// open opens a connection to the first entry host, which stays open until the end of the test.
func (c *crowd) open() net.Conn { return c.openTo(portFront) }

// openTo opens a connection to a port of the first host.
func (c *crowd) openTo(port int) net.Conn {
	connection, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.ip(0), port), sendTimeout)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections = append(c.connections, connection)
	return connection
}

// session opens a connection and sends the first message of a session, without reading its answer.
func (c *crowd) session() net.Conn {
	connection := c.open()
	c.send(connection, []byte("CONNECT primary key-one\r\n"))
	return connection
}

// send sends what a host reads; a host may refuse the rest or close the connection.
func (c *crowd) send(connection net.Conn, message []byte) bool {
	if connection == nil {
		return false
	}
	_ = connection.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err := connection.Write(message)
	return err == nil
}

// sendPieces sends a message in small pieces.
func (c *crowd) sendPieces(connection net.Conn, message []byte) bool {
	for len(message) > 0 {
		n := min(pieceSize, len(message))
		if !c.send(connection, message[:n]) {
			return false
		}
		message = message[n:]
	}
	return true
}

// answers reads and drops what a host answers until the connection ends.
func answers(connection net.Conn) {
	if connection == nil {
		return
	}
	buffer := make([]byte, pieceSize)
	for {
		if _, err := connection.Read(buffer); err != nil {
			return
		}
	}
}

// each runs a caller's behaviour many times at once and waits until all have sent what a host reads of it.
func (c *crowd) each(size int, behave func(i int)) {
	var callers sync.WaitGroup
	for i := range size {
		callers.Go(func() { behave(i) })
	}
	callers.Wait()
}

// check checks what has to hold while the crowd's connections are still open: the processes live, one ordinary request is answered,
// and memory and descriptors have stayed within the machine.
func (c *crowd) check() {
	time.Sleep(settleTime)
	c.do(0, "primary", "key-two", "STORE after x")
	c.mu.Lock()
	descriptors := c.descriptors
	c.mu.Unlock()
	for _, p := range c.started {
		name := p.command.Args[1]
		select {
		case <-p.done:
			require.Fail(c.t, "a process has ended", name)
		default:
		}
		peak := peakMemory(c.t, p)
		c.t.Logf("%s: peak memory %d MiB of %d, at most %d descriptors of %d",
			name, peak>>20, crowdMemoryMB, descriptors, crowdDescriptors-fileDescriptors)
		require.LessOrEqual(c.t, peak, crowdMemoryMB<<20, "peak memory of %s", name)
	}
	require.LessOrEqual(c.t, descriptors, crowdDescriptors-fileDescriptors, "descriptors")
}

// peakMemory returns the peak resident memory of a process in bytes.
func peakMemory(t *testing.T, p *process) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	require.Fail(t, "no peak memory")
	return 0
}

// filler returns text of a size in bytes.
func filler(size int) string { return strings.Repeat("x", size) }

// query returns a request of a caller.
func query(id, text string) []byte { return []byte("QUERY " + id + " " + text + "\r\n") }

// Guards against a process that keeps or reads on in messages far over the limit.
func TestCrowdFarOverLimit(t *testing.T) {
	c := newCrowd(t, 1)
	message := []byte("QUERY q STORE item " + filler(8<<20))
	c.each(3*crowdSize, func(int) { c.send(c.session(), message) })
	c.check()
}

// Guards against a process that holds as many messages of legal size as callers send at once.
func TestCrowdLargeMessages(t *testing.T) {
	c := newCrowd(t, 1)
	c.each(crowdSize, func(i int) {
		connection := c.session()
		go answers(connection)
		for n := range 3 {
			c.send(connection, query(fmt.Sprintf("q-%d-%d", i, n), "STORE item "+filler(largeMessage)))
		}
	})
	c.check()
}

// Guards against a process that holds as many messages of legal size as callers send at once, when they arrive piece by piece.
func TestCrowdLargeMessagesInPieces(t *testing.T) {
	c := newCrowd(t, 1)
	c.each(crowdSize, func(i int) {
		connection := c.session()
		go answers(connection)
		for n := range 3 {
			c.sendPieces(connection, query(fmt.Sprintf("q-%d-%d", i, n), "STORE item "+filler(largeMessage)))
		}
	})
	c.check()
}

// Guards against a gateway that holds as many messages of legal size as the callers of another host send at once.
func TestCrowdLargeMessagesAtGateway(t *testing.T) {
	c := newCrowd(t, 2)
	c.each(crowdSize, func(i int) {
		connection := c.session()
		go answers(connection)
		for n := range 3 {
			c.send(connection, query(fmt.Sprintf("q-%d-%d", i, n), "STORE item "+filler(largeMessage)))
		}
	})
	c.check()
}

// Guards against a process that holds messages whose end never comes.
func TestCrowdNoEnd(t *testing.T) {
	c := newCrowd(t, 1)
	message := []byte("QUERY q STORE item " + filler(largeMessage))
	c.each(crowdSize, func(int) { c.send(c.session(), message) })
	c.check()
}

// Guards against a process that holds large messages of callers that have shown no key.
func TestCrowdFirstMessageNoEnd(t *testing.T) {
	c := newCrowd(t, 1)
	message := []byte("CONNECT " + filler(largeMessage))
	c.each(crowdSize, func(int) { c.send(c.open(), message) })
	c.check()
}

// Guards against a process that holds the answers to requests that were sent ahead.
func TestCrowdSentAhead(t *testing.T) {
	c := newCrowd(t, 1)
	messages := bytes.Repeat(query("q", "CONFIGURE name value"), 20_000)
	c.each(crowdSize, func(int) { c.send(c.session(), messages) })
	c.check()
}

// Guards against a process that holds a large answer for each caller that does not read.
func TestCrowdReadsNothing(t *testing.T) {
	c := newCrowd(t, 1)
	c.do(0, "primary", "key-two", "STORE large "+filler(largeMessage))
	c.each(crowdSize, func(i int) {
		var messages []byte
		for n := range 20 {
			messages = append(messages, query(fmt.Sprintf("q-%d-%d", i, n), "FETCH large")...)
		}
		c.send(c.session(), messages)
	})
	c.check()
}

// Guards against a gateway and its host that hold as many large answers of upstreams as callers ask for at once.
func TestCrowdLargeAnswers(t *testing.T) {
	c := newCrowd(t, 2)
	c.do(0, "primary", "key-two", "STORE large "+filler(largeMessage))
	c.each(crowdSize, func(i int) {
		connection := c.session()
		go answers(connection)
		for n := range 20 {
			c.send(connection, query(fmt.Sprintf("q-%d-%d", i, n), "FETCH large"))
		}
	})
	c.check()
}

// Guards against a process that holds the beginnings of messages that arrive slowly or stop half-way.
func TestCrowdStopsHalfway(t *testing.T) {
	c := newCrowd(t, 1)
	message := []byte("QUERY q STORE item " + filler(largeMessage/2))
	c.each(2*crowdSize, func(i int) {
		connection := c.session()
		if i%2 == 0 {
			c.send(connection, message)
			return
		}
		for part := range slices.Chunk(message, len(message)/slowParts) {
			if !c.send(connection, part) {
				return
			}
			time.Sleep(sampleInterval)
		}
	})
	c.check()
}

// Guards against sessions that say nothing and use up the descriptors that upstreams, peers and files need.
func TestCrowdSilent(t *testing.T) {
	c := newCrowd(t, 1)
	c.each(silentSize, func(i int) {
		if i%2 == 0 {
			c.session()
		} else {
			c.open()
		}
	})
	c.check()
}

// Guards against session values without a bound on their size.
func TestCrowdLargeValues(t *testing.T) {
	c := newCrowd(t, 1)
	c.each(crowdSize, func(int) {
		connection := c.session()
		go answers(connection)
		for n := range 4 {
			c.send(connection, query("q", fmt.Sprintf("CONFIGURE name-%d %s", n, filler(largeMessage))))
		}
	})
	c.check()
}

// Guards against session values without a bound on their number.
func TestCrowdManyValues(t *testing.T) {
	c := newCrowd(t, 1)
	c.each(crowdSize/2, func(int) {
		connection := c.session()
		go answers(connection)
		var messages []byte
		for n := range 15_000 {
			messages = append(messages, query("q", fmt.Sprintf("CONFIGURE name-%d value-%d", n, n))...)
		}
		c.send(connection, messages)
	})
	c.check()
}

// Guards against prepared statements without a bound on their number.
func TestCrowdManyPrepared(t *testing.T) {
	c := newCrowd(t, 1)
	c.each(crowdSize/2, func(int) {
		connection := c.session()
		go answers(connection)
		var messages []byte
		for n := range 15_000 {
			messages = append(messages, query("q", fmt.Sprintf("PARSE name-%d FETCH shape-%d", n, n))...)
		}
		c.send(connection, messages)
	})
	c.check()
}

// Guards against long names that never existed, of databases, keys, statements and requests, which are held and logged.
func TestCrowdLongNames(t *testing.T) {
	c := newCrowd(t, 1)
	long := filler(largeMessage)
	messages := [][]byte{
		[]byte("CONNECT " + long + " key-one\r\n"),
		[]byte("CONNECT primary " + long + "\r\n"),
		query("q", "EXECUTE "+long+" item"),
		query(long, "FETCH"),
		query("q", "CLOSE "+long),
	}
	c.each(crowdSize, func(i int) {
		for n := range 2 * len(messages) {
			message := messages[(i+n)%len(messages)]
			connection := c.open()
			if bytes.HasPrefix(message, []byte("QUERY")) {
				c.send(connection, []byte("CONNECT primary key-one\r\n"))
			}
			if connection != nil {
				go answers(connection)
			}
			c.send(connection, message)
		}
	})
	c.check()
}

// Guards against operators' and upstreams' calls that are held in any number, with bodies or headers that never end.
func TestCrowdOrders(t *testing.T) {
	c := newCrowd(t, 1)
	header := "POST /tamarackshunt/Config.Put HTTP/1.1\r\nHost: control\r\n"
	body := fmt.Sprintf("%sContent-Length: %d\r\n\r\n{\"version\":\"%s", header, 16<<20, filler(12<<20))
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n{\"routes\":\"%s\"}", header, 1<<20+13, filler(1<<20))
	c.each(crowdSize/2, func(i int) {
		connection := c.openTo(portControl)
		switch i % 3 {
		case 0:
			c.send(connection, []byte(body))
		case 1:
			c.send(connection, []byte(header+"Name: "+filler(1<<20)))
		default:
			go answers(connection)
			for c.send(connection, []byte(whole)) && i < 9 {
				i += 3
			}
		}
	})
	c.check()
	c.eventually("configuration acknowledged", func() bool {
		return c.operator(0).Configure(configuration{version: 2, rate: 500}.body()) == http.StatusOK
	})
}

// Guards against connections to the ports for operators, peers and the load balancer that say nothing and use up the descriptors.
func TestCrowdSilentOrders(t *testing.T) {
	c := newCrowd(t, 1)
	ports := []int{portControl, portReady, portPeers, portPeers + 1}
	c.each(2*silentSize, func(i int) { c.openTo(ports[i%len(ports)]) })
	c.check()
	c.eventually("configuration acknowledged", func() bool {
		return c.operator(0).Configure(configuration{version: 2, rate: 500}.body()) == http.StatusOK
	})
	c.eventually("load balancer answered", func() bool { return c.ready(0) })
}

// Guards against a bound that refuses a single legal message, on an idle host or on one that holds some messages without an end. The
// upstream's gateway is another host, so that the message is held by two.
func TestCrowdServesLargeMessage(t *testing.T) {
	c := newCrowd(t, 2)
	serve := func(name string) {
		client, err := c.dial(0, "primary", "key-two", name)
		require.NoError(t, err)
		defer client.Close()
		answer, err := client.Do("STORE " + name + " " + filler(largeMessage))
		require.NoError(t, err)
		require.Empty(t, answer.Error)
		answer, err = client.Do("FETCH " + name)
		require.NoError(t, err)
		require.Empty(t, answer.Error)
		require.Len(t, answer.Rows, 1)
	}
	serve("idle")
	message := []byte("QUERY q STORE item " + filler(largeMessage))
	c.each(crowdSize/5, func(int) { c.send(c.session(), message) })
	time.Sleep(settleTime)
	serve("used")
	c.check()
}
