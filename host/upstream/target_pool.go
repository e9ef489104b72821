package upstream

import (
	"sync"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/pool"
	"tamarackshunt.dev/fleet/queue"
	"tamarackshunt.dev/host/member"
)

const (
	// dialTimeout bounds the time to open a connection, which takes about 10 ms.
	dialTimeout = time.Second
	// cleanTimeout bounds DISCARD ALL on a connection that was released with session state.
	cleanTimeout = time.Second
)

// lane is the queue and the connections of one upstream. It executes the decisions of the packages queue and pool.
type lane struct {
	parent *Pool
	target member.Target
	queue  *queue.Queue
	pool   *pool.Pool
	mutex  sync.Mutex
	conns  map[pool.ConnID]*Conn
	ids    map[*Conn]pool.ConnID
	// assignedAt holds the connections in use with the times of their assignment.
	assignedAt map[*Conn]ident.Time
	waiters    map[queue.ID]*waiter
	timer      *time.Timer
	role       role
}

// role is the state of an upstream and its group that queued work was routed by.
type role struct {
	primary   string
	term      uint64
	inService bool
}

func roleOf(view *member.View, target member.Target) role {
	group := view.Groups[target.Service]
	return role{group.GetPrimary(), group.GetTerm(), view.InService(target)}
}

type waiter struct {
	id     queue.ID
	result chan outcome
}

type outcome struct {
	conn *Conn
	err  error
}

func newLane(parent *Pool, target member.Target) *lane {
	l := &lane{
		parent:     parent,
		target:     target,
		queue:      queue.New(queue.Options{}),
		pool:       pool.New(pool.Options{}),
		conns:      make(map[pool.ConnID]*Conn),
		ids:        make(map[*Conn]pool.ConnID),
		assignedAt: make(map[*Conn]ident.Time),
		waiters:    make(map[queue.ID]*waiter),
		role:       roleOf(parent.opts.View(), target),
	}
	l.timer = time.AfterFunc(time.Hour, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.executeDue()
	})
	return l
}

func (l *lane) now() ident.Time { return l.parent.opts.Clock.Now() }

func (l *lane) enqueue(team ident.Team, deadline ident.Time) (*waiter, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	id, dropped, err := l.queue.Push(l.now(), team, deadline)
	l.failDropped(dropped)
	if err != nil {
		return nil, err
	}
	w := &waiter{id: id, result: make(chan outcome, 1)}
	l.waiters[id] = w
	l.executeDue()
	return w, nil
}

// cancel removes a waiter and reports whether it was still waiting.
func (l *lane) cancel(w *waiter) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.queue.Cancel(w.id) {
		return false
	}
	delete(l.waiters, w.id)
	return true
}

func (l *lane) release(conn *Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.queue.RecordServiceTime(now, now.Sub(l.assignedAt[conn]))
	delete(l.assignedAt, conn)
	id := l.ids[conn]
	if conn.Usable() {
		l.pool.Released(now, id, conn.Dirty())
	} else {
		conn.Close()
		l.removeConn(id)
	}
	l.executeDue()
}

func (l *lane) removeConn(id pool.ConnID) {
	delete(l.ids, l.conns[id])
	delete(l.conns, id)
	l.pool.Closed(l.now(), id)
}

func (l *lane) outstanding() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue.Len() + len(l.assignedAt)
}

func (l *lane) demand() *fleetpb.Demand {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.pool.Demand(l.now(), l.queue.Len())
}

func (l *lane) adopt(view *member.View, weights map[ident.Team]uint32) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queue.SetWeights(weights)
	l.pool.Allot(view.Allotments[l.target])
	if current := roleOf(view, l.target); current != l.role {
		l.role = current
		l.failWaiting(&MovedError{l.target})
	}
	l.executeDue()
}

// failWaiting fails all queued work, whose callers may choose an upstream again.
func (l *lane) failWaiting(cause error) {
	for id := range l.waiters {
		if l.queue.Cancel(id) {
			l.deliver(id, outcome{err: cause})
		}
	}
}

func (l *lane) leave() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pool.Leave()
	l.executeDue()
}

// executeDue executes all actions that are due and sets the timer for the next ones. It runs under the lane's lock.
func (l *lane) executeDue() {
	now := l.now()
	l.failDropped(l.queue.Expire(now))
	for actions := l.pool.Next(now, l.queue.Len()); len(actions) > 0; actions = l.pool.Next(now, l.queue.Len()) {
		for _, action := range actions {
			l.execute(now, action)
		}
	}
	due := min(l.queue.Due(now), l.pool.Due(now))
	l.timer.Reset(min(time.Hour, max(time.Millisecond, due.Sub(now))))
}

func (l *lane) failDropped(dropped []*queue.Dropped) {
	for _, d := range dropped {
		l.deliver(d.Work.ID, outcome{err: d})
	}
}

func (l *lane) deliver(id queue.ID, result outcome) {
	if w := l.waiters[id]; w != nil {
		delete(l.waiters, id)
		w.result <- result
	}
}

func (l *lane) execute(now ident.Time, action pool.Action) {
	switch a := action.(type) {
	case pool.Open:
		l.parent.group.Go(func() { l.open(a.ID) })
	case pool.Clean:
		conn := l.conns[a.ID]
		l.parent.group.Go(func() { l.clean(a.ID, conn) })
	case pool.Close:
		l.conns[a.ID].Close()
		l.removeConn(a.ID)
	case pool.Assign:
		l.assign(now, a.ID)
	}
}

// assign hands a connection to the next work in the queue. A connection that the upstream has closed is removed instead, and
// the work waits for another one.
func (l *lane) assign(now ident.Time, id pool.ConnID) {
	conn := l.conns[id]
	if !conn.Usable() {
		conn.Close()
		l.removeConn(id)
		return
	}
	work, found, dropped := l.queue.Next(now)
	l.failDropped(dropped)
	if !found {
		l.pool.Released(now, id, false)
		return
	}
	l.assignedAt[conn] = now
	l.deliver(work.ID, outcome{conn: conn})
}

func (l *lane) open(id pool.ConnID) {
	conn, err := l.parent.dial(l.target)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		l.pool.Closed(l.now(), id)
		l.failWaiting(err)
	} else {
		l.conns[id] = conn
		l.ids[conn] = id
		l.pool.Opened(l.now(), id)
	}
	l.executeDue()
}

func (l *lane) clean(id pool.ConnID, conn *Conn) {
	conn.SetDeadline(time.Now().Add(cleanTimeout))
	err := conn.Configure(nil, "")
	conn.SetDeadline(time.Time{})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		conn.Close()
		l.removeConn(id)
	} else {
		l.pool.Cleaned(l.now(), id)
	}
	l.executeDue()
}
