package relay

import (
	"sync"
	"sync/atomic"
	"time"
)

// Link covers the connections from one process to another, in both directions.
type Link struct {
	// delay is a time.Duration.
	delay    atomic.Int64
	sent     atomic.Uint64
	received atomic.Uint64

	mutex sync.Mutex
	// unfrozen is closed while the link isn't frozen.
	unfrozen chan struct{}
	cut      bool
	conns    map[*conn]struct{}
}

func newLink(delay time.Duration) *Link {
	l := &Link{unfrozen: make(chan struct{}), conns: make(map[*conn]struct{})}
	l.delay.Store(int64(delay))
	close(l.unfrozen)
	return l
}

// SetDelay sets the delay of each direction.
func (l *Link) SetDelay(delay time.Duration) { l.delay.Store(int64(delay)) }

// Freeze holds back all bytes in both directions, like a network that loses every packet. Connections stay open.
func (l *Link) Freeze() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case <-l.unfrozen:
		l.unfrozen = make(chan struct{})
	default:
	}
}

// Cut closes the connections of the link, and new ones when they are accepted.
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
	case <-l.unfrozen:
	default:
		close(l.unfrozen)
	}
}

// Bytes returns the payload bytes forwarded to the link's target and from it.
func (l *Link) Bytes() (sent, received uint64) {
	return l.sent.Load(), l.received.Load()
}

// unfrozenSignal returns a channel that is closed while the link isn't frozen.
func (l *Link) unfrozenSignal() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.unfrozen
}

// add registers a connection; it returns false if the link is cut.
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
