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
	// dialTimeout bounds the opening of a connection, which takes about 10 ms.
	dialTimeout = time.Second
	// cleanTimeout bounds DISCARD ALL on a connection that came back with session state.
	cleanTimeout = time.Second
)

// lane runs the decisions of packages queue and pool for one upstream.
type lane struct {
	owner   *Pool
	target  member.Target
	queue   *queue.Queue
	pool    *pool.Pool
	mutex   sync.Mutex
	conns   map[pool.ConnID]*Conn
	ids     map[*Conn]pool.ConnID
	taken   map[*Conn]ident.Time
	waiters map[queue.ID]*waiter
	timer   *time.Timer
	role    role
}

// role is what queued work relied on when it chose the upstream.
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

func newLane(owner *Pool, target member.Target) *lane {
	l := &lane{
		owner:   owner,
		target:  target,
		queue:   queue.New(queue.Options{}),
		pool:    pool.New(pool.Options{}),
		conns:   make(map[pool.ConnID]*Conn),
		ids:     make(map[*Conn]pool.ConnID),
		taken:   make(map[*Conn]ident.Time),
		waiters: make(map[queue.ID]*waiter),
		role:    roleOf(owner.opts.View(), target),
	}
	l.timer = time.AfterFunc(time.Hour, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.step()
	})
	return l
}

func (l *lane) now() ident.Time { return l.owner.opts.Clock.Now() }

func (l *lane) enqueue(team ident.Team, deadline ident.Time) (*waiter, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	id, dropped, err := l.queue.Push(l.now(), team, deadline)
	l.drop(dropped)
	if err != nil {
		return nil, err
	}
	w := &waiter{id: id, result: make(chan outcome, 1)}
	l.waiters[id] = w
	l.step()
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
	l.queue.Served(now, now.Sub(l.taken[conn]))
	delete(l.taken, conn)
	id := l.ids[conn]
	if conn.Usable() {
		l.pool.Released(now, id, conn.Dirty())
	} else {
		conn.Close()
		l.closed(id)
	}
	l.step()
}

func (l *lane) closed(id pool.ConnID) {
	delete(l.ids, l.conns[id])
	delete(l.conns, id)
	l.pool.Closed(l.now(), id)
}

func (l *lane) outstanding() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue.Len() + len(l.taken)
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
	if now := roleOf(view, l.target); now != l.role {
		l.role = now
		l.failWaiting(&MovedError{l.target})
	}
	l.step()
}

// failWaiting makes all queued work choose again.
func (l *lane) failWaiting(cause error) {
	for id := range l.waiters {
		if l.queue.Cancel(id) {
			l.answer(id, outcome{err: cause})
		}
	}
}

func (l *lane) leave() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pool.Leave()
	l.step()
}

// step takes the actions that are due; it runs under the lane's lock.
func (l *lane) step() {
	now := l.now()
	l.drop(l.queue.Expire(now))
	for actions := l.pool.Next(now, l.queue.Len()); len(actions) > 0; actions = l.pool.Next(now, l.queue.Len()) {
		for _, action := range actions {
			l.act(now, action)
		}
	}
	due := min(l.queue.Due(now), l.pool.Due(now))
	l.timer.Reset(min(time.Hour, max(time.Millisecond, due.Sub(now))))
}

func (l *lane) drop(dropped []*queue.Dropped) {
	for _, d := range dropped {
		l.answer(d.Work.ID, outcome{err: d})
	}
}

func (l *lane) answer(id queue.ID, result outcome) {
	if w := l.waiters[id]; w != nil {
		delete(l.waiters, id)
		w.result <- result
	}
}

func (l *lane) act(now ident.Time, action pool.Action) {
	switch a := action.(type) {
	case pool.Open:
		l.owner.group.Go(func() { l.open(a.ID) })
	case pool.Clean:
		conn := l.conns[a.ID]
		l.owner.group.Go(func() { l.clean(a.ID, conn) })
	case pool.Close:
		l.conns[a.ID].Close()
		l.closed(a.ID)
	case pool.Assign:
		l.assign(now, a.ID)
	}
}

// assign gives a connection to the work whose turn it is; one that the upstream has closed is replaced instead.
func (l *lane) assign(now ident.Time, id pool.ConnID) {
	conn := l.conns[id]
	if !conn.Usable() {
		conn.Close()
		l.closed(id)
		return
	}
	work, found, dropped := l.queue.Next(now)
	l.drop(dropped)
	if !found {
		l.pool.Released(now, id, false)
		return
	}
	l.taken[conn] = now
	l.answer(work.ID, outcome{conn: conn})
}

func (l *lane) open(id pool.ConnID) {
	conn, err := l.owner.dial(l.target)
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
	l.step()
}

func (l *lane) clean(id pool.ConnID, conn *Conn) {
	conn.SetDeadline(time.Now().Add(cleanTimeout))
	err := conn.Configure(nil, "")
	conn.SetDeadline(time.Time{})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		conn.Close()
		l.closed(id)
	} else {
		l.pool.Cleaned(l.now(), id)
	}
	l.step()
}
