package relay

import (
	"sync"
	"sync/atomic"
	"time"
)

// Link is the path from one process to another, with the answers on the same connections.
type Link struct {
	delay    atomic.Int64
	sent     atomic.Uint64
	received atomic.Uint64

	mutex sync.Mutex
	open  chan struct{}
	cut   bool
	conns map[*conn]struct{}
}

func newLink(delay time.Duration) *Link {
	l := &Link{open: make(chan struct{}), conns: make(map[*conn]struct{})}
	l.delay.Store(int64(delay))
	close(l.open)
	return l
}

// SetDelay sets the delay of each direction.
func (l *Link) SetDelay(delay time.Duration) { l.delay.Store(int64(delay)) }

// Freeze holds back all bytes of both directions, as a network that loses every packet; connections stay open.
func (l *Link) Freeze() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case <-l.open:
		l.open = make(chan struct{})
	default:
	}
}

// Cut closes the connections of the link, and new ones as they come.
func (l *Link) Cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = true
	for c := range l.conns {
		c.close()
	}
}

// Heal ends Freeze and Cut.
func (l *Link) Heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = false
	select {
	case <-l.open:
	default:
		close(l.open)
	}
}

// Bytes returns the payload bytes forwarded to the link's target and back.
func (l *Link) Bytes() (sent, received uint64) {
	return l.sent.Load(), l.received.Load()
}

// gate returns a channel that is closed while the link is not frozen.
func (l *Link) gate() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open
}

// add registers a connection; false means that the link is cut.
func (l *Link) add(c *conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cut {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Link) remove(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, c)
}
