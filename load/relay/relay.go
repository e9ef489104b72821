package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	// chunkSize is the maximum number of bytes of one read.
	chunkSize = 32 << 10
	// maxQueuedChunks bounds the chunks that one direction holds back while it is delayed or frozen. When the queue is full,
	// the sender blocks as on a full socket buffer.
	maxQueuedChunks = 256
	// dialTimeout bounds opening the connection to the target.
	dialTimeout = 2 * time.Second
)

// Identify returns the name of the process at the other end of an accepted connection.
type Identify func(accepted net.Conn) string

// Network is a set of relays, one in front of each process, with a link for each pair of processes.
type Network struct {
	identify Identify
	delay    func(from, to string) time.Duration

	mutex  sync.Mutex
	links  map[[2]string]*Link
	relays []*Relay
}

// NewNetwork returns a network without relays; delay returns the initial delay of a link and may be nil.
func NewNetwork(identify Identify, delay func(from, to string) time.Duration) *Network {
	if delay == nil {
		delay = func(string, string) time.Duration { return 0 }
	}
	return &Network{identify: identify, delay: delay, links: make(map[[2]string]*Link)}
}

// Link returns the link from one process to another; it creates the link on the first call.
func (n *Network) Link(from, to string) *Link {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	key := [2]string{from, to}
	if n.links[key] == nil {
		n.links[key] = newLink(n.delay(from, to))
	}
	return n.links[key]
}

// Between returns the links of both directions between two processes.
func (n *Network) Between(a, b string) []*Link {
	return []*Link{n.Link(a, b), n.Link(b, a)}
}

// Close ends all relays and their connections.
func (n *Network) Close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, r := range n.relays {
		r.Close()
	}
}

// Relay forwards connections to one address of a process.
type Relay struct {
	network  *Network
	from     string
	name     string
	target   string
	listener net.Listener
	mutex    sync.Mutex
	closed   bool
	conns    map[*conn]struct{}
}

// Listen starts a relay at address that forwards to target, an address of the process called name. Connections count as coming
// from the process called from; if from is empty, Identify determines the process of each.
func (n *Network) Listen(address, from, name, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	r := &Relay{network: n, from: from, name: name, target: target, listener: listener, conns: make(map[*conn]struct{})}
	n.mutex.Lock()
	n.relays = append(n.relays, r)
	n.mutex.Unlock()
	go r.accept()
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for c := range r.conns {
		c.close()
	}
}

func (r *Relay) accept() {
	for {
		socket, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(socket)
	}
}

func (r *Relay) serve(source net.Conn) {
	defer source.Close()
	from := r.from
	if from == "" {
		from = r.network.identify(source)
	}
	link := r.network.Link(from, r.name)
	c := &conn{source: source, done: make(chan struct{})}
	if !r.add(c) || !link.add(c) {
		return
	}
	defer r.remove(c)
	defer link.remove(c)
	select {
	case <-link.unfrozenSignal():
	case <-c.done:
		return
	}
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	defer target.Close()
	c.run(link, target)
}

func (r *Relay) add(c *conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) remove(c *conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.conns, c)
}

// conn is one forwarded connection.
type conn struct {
	source net.Conn
	once   sync.Once
	done   chan struct{}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.done)
		c.source.Close()
	})
}

func (c *conn) run(link *Link, target net.Conn) {
	var group sync.WaitGroup
	group.Go(func() { c.forward(link, c.source, target, &link.sent) })
	group.Go(func() { c.forward(link, target, c.source, &link.received) })
	<-c.done
	target.Close()
	group.Wait()
}

type chunk struct {
	data []byte
	due  time.Time
}

// forward forwards one direction; it writes each chunk after the delay that the link had when the chunk was read.
func (c *conn) forward(link *Link, from, to net.Conn, count *atomic.Uint64) {
	chunks := make(chan chunk, maxQueuedChunks)
	go c.read(link, from, chunks)
	for piece := range chunks {
		if !c.waitFor(link, piece.due) {
			return
		}
		// The bytes are counted before they are sent, so that the counter includes all bytes that were received.
		count.Add(uint64(len(piece.data)))
		if _, err := to.Write(piece.data); err != nil {
			c.close()
			return
		}
	}
	// The end of the stream is delayed and held back like data.
	if c.waitFor(link, time.Now().Add(time.Duration(link.delay.Load()))) {
		c.close()
	}
}

func (c *conn) read(link *Link, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			piece := chunk{append([]byte(nil), buffer[:n]...), time.Now().Add(time.Duration(link.delay.Load()))}
			select {
			case chunks <- piece:
			case <-c.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitFor waits until due, and then until the link isn't frozen; it returns false if the connection has ended.
func (c *conn) waitFor(link *Link, due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-c.done:
			return false
		}
	}
	select {
	case <-link.unfrozenSignal():
		return true
	case <-c.done:
		return false
	}
}
