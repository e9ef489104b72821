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

// targetPool is the queue and the connections of one upstream. It executes the decisions of the packages queue and pool.
type targetPool struct {
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

// role is the state of an upstream and its group on which the routing of queued work was based.
type role struct {
	primary   string
	term      uint64
	inService bool
	address   string
}

func roleOf(view *member.View, target member.Target) role {
	group := view.Groups[target.Service]
	return role{group.GetPrimary(), group.GetTerm(), view.InService(target), view.Member(target).GetAddress()}
}

type waiter struct {
	id     queue.ID
	result chan outcome
}

type outcome struct {
	conn *Conn
	err  error
}

func newTargetPool(parent *Pool, target member.Target) *targetPool {
	t := &targetPool{
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
	t.timer = time.AfterFunc(time.Hour, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.executeDue()
	})
	return t
}

func (t *targetPool) now() ident.Time { return t.parent.opts.Clock.Now() }

func (t *targetPool) enqueue(team ident.Team, deadline ident.Time) (*waiter, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	id, dropped, err := t.queue.Push(t.now(), team, deadline)
	t.failDropped(dropped)
	if err != nil {
		return nil, err
	}
	w := &waiter{id: id, result: make(chan outcome, 1)}
	t.waiters[id] = w
	t.executeDue()
	return w, nil
}

// cancel removes a waiter and reports whether it was still waiting.
func (t *targetPool) cancel(w *waiter) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.queue.Cancel(w.id) {
		return false
	}
	delete(t.waiters, w.id)
	return true
}

func (t *targetPool) release(conn *Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	t.queue.RecordServiceTime(now, now.Sub(t.assignedAt[conn]))
	delete(t.assignedAt, conn)
	id := t.ids[conn]
	if t.usable(conn) {
		t.pool.Released(now, id, conn.Dirty())
	} else {
		conn.Close()
		t.removeConn(id)
	}
	t.executeDue()
}

func (t *targetPool) removeConn(id pool.ConnID) {
	delete(t.ids, t.conns[id])
	delete(t.conns, id)
	t.pool.Closed(t.now(), id)
}

func (t *targetPool) outstanding() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.queue.Len() + len(t.assignedAt)
}

func (t *targetPool) demand() *fleetpb.Demand {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.pool.Demand(t.now(), t.queue.Len())
}

func (t *targetPool) adopt(view *member.View, weights map[ident.Team]uint32) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.queue.SetWeights(weights)
	t.pool.Allot(view.Allotments[t.target])
	if current := roleOf(view, t.target); current != t.role {
		t.role = current
		t.failWaiting(&MovedError{t.target})
	}
	t.executeDue()
}

// failWaiting fails all queued work, whose callers may choose an upstream again.
func (t *targetPool) failWaiting(cause error) {
	for id := range t.waiters {
		if t.queue.Cancel(id) {
			t.deliver(id, outcome{err: cause})
		}
	}
}

func (t *targetPool) leave() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pool.Leave()
	t.executeDue()
}

// executeDue executes all actions that are due and sets the timer for the next ones. It runs under the targetPool's lock.
func (t *targetPool) executeDue() {
	now := t.now()
	t.failDropped(t.queue.Expire(now))
	for actions := t.pool.Next(now, t.queue.Len()); len(actions) > 0; actions = t.pool.Next(now, t.queue.Len()) {
		for _, action := range actions {
			t.execute(now, action)
		}
	}
	due := min(t.queue.Due(now), t.pool.Due(now))
	t.timer.Reset(min(time.Hour, max(time.Millisecond, due.Sub(now))))
}

func (t *targetPool) failDropped(dropped []*queue.Dropped) {
	for _, d := range dropped {
		t.deliver(d.Work.ID, outcome{err: d})
	}
}

func (t *targetPool) deliver(id queue.ID, result outcome) {
	if w := t.waiters[id]; w != nil {
		delete(t.waiters, id)
		w.result <- result
	}
}

func (t *targetPool) execute(now ident.Time, action pool.Action) {
	switch a := action.(type) {
	case pool.Open:
		t.parent.group.Go(func() { t.open(a.ID) })
	case pool.Clean:
		conn := t.conns[a.ID]
		t.parent.group.Go(func() { t.clean(a.ID, conn) })
	case pool.Close:
		t.conns[a.ID].Close()
		t.removeConn(a.ID)
	case pool.Assign:
		t.assign(now, a.ID)
	}
}

// usable reports whether a connection may be reused. One to an earlier address may lead to a machine that the upstream has left.
func (t *targetPool) usable(conn *Conn) bool {
	return conn.address == t.role.address && conn.Usable()
}

// assign hands a connection to the next work in the queue. A connection that is no longer usable is removed instead, and the
// work waits for another one.
func (t *targetPool) assign(now ident.Time, id pool.ConnID) {
	conn := t.conns[id]
	if !t.usable(conn) {
		conn.Close()
		t.removeConn(id)
		return
	}
	work, found, dropped := t.queue.Next(now)
	t.failDropped(dropped)
	if !found {
		t.pool.Released(now, id, false)
		return
	}
	t.assignedAt[conn] = now
	t.deliver(work.ID, outcome{conn: conn})
}

func (t *targetPool) open(id pool.ConnID) {
	conn, err := t.parent.dial(t.target)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err != nil {
		t.pool.Closed(t.now(), id)
		t.failWaiting(err)
	} else {
		t.conns[id] = conn
		t.ids[conn] = id
		t.pool.Opened(t.now(), id)
	}
	t.executeDue()
}

func (t *targetPool) clean(id pool.ConnID, conn *Conn) {
	conn.SetDeadline(time.Now().Add(cleanTimeout))
	err := conn.Configure(nil, "")
	conn.SetDeadline(time.Time{})
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err != nil {
		conn.Close()
		t.removeConn(id)
	} else {
		t.pool.Cleaned(t.now(), id)
	}
	t.executeDue()
}
