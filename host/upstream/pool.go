package upstream

import (
	"context"
	"sync"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/member"
)

// Options holds what NewPool needs.
type Options struct {
	Credential Credential
	View       func() *member.View
}

// Pool hands out connections to upstreams within this host's allotment.
type Pool struct {
	opts  Options
	mutex sync.Mutex
	lanes map[member.Target]*lane
}

// lane is the part of a pool for one upstream.
type lane struct {
	mutex sync.Mutex
	idle  []*Conn
	slots chan struct{}
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	return &Pool{opts: opts, lanes: make(map[member.Target]*lane)}
}

// Acquire returns a connection for one transaction; before it returns nothing was sent.
func (p *Pool) Acquire(ctx context.Context, target member.Target, _ ident.Team) (*Conn, error) {
	l := p.lane(target)
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn := l.take(); conn != nil {
		return conn, nil
	}
	address := p.opts.View().Member(target).GetAddress()
	conn, err := Dial(ctx, address, target.Service, p.opts.Credential)
	if err != nil {
		<-l.slots
		return nil, err
	}
	return conn, nil
}

// Release takes a connection back; one that is not idle or not usable is closed.
func (p *Pool) Release(target member.Target, conn *Conn) {
	l := p.lane(target)
	if conn.Usable() {
		l.mutex.Lock()
		l.idle = append(l.idle, conn)
		l.mutex.Unlock()
	} else {
		conn.Close()
	}
	<-l.slots
}

func (p *Pool) lane(target member.Target) *lane {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := p.lanes[target]
	if l == nil {
		l = &lane{slots: make(chan struct{}, max(1, p.opts.View().Allotments[target]))}
		p.lanes[target] = l
	}
	return l
}

func (l *lane) take() *Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.idle) > 0 {
		last := len(l.idle) - 1
		conn := l.idle[last]
		l.idle = l.idle[:last]
		if conn.Usable() {
			return conn
		}
		conn.Close()
	}
	return nil
}
