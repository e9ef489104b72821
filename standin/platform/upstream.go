package platform

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Options describe an upstream.
type Options struct {
	ID, Zone string
	// Address to listen at, such as 127.0.0.1:0.
	Address string
	// Slots is the number of statements that run at a time, Queue the number that may wait, Connections the most sessions.
	Slots, Queue, Connections int
	// Work is how long a statement takes.
	Work time.Duration
}

// Upstream is one member of a group.
type Upstream struct {
	Options
	group    *Group
	listener net.Listener
	slots    chan struct{}
	queued   chan struct{}

	// These belong to the group's lock.
	log               []Entry
	paused            bool
	replicationPaused bool
	down              bool
	steppedDown       bool
	leaving           bool
	seq               int
	born              int64

	// open counts the transactions that are open.
	open atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// loseAnswers is the number of answers to writes still to be lost.
	loseAnswers int
}

// Start adds a member to a group and serves it; the first member is the primary.
func (g *Group) Start(o Options) (*Upstream, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, err
	}
	o.Address = listener.Addr().String()
	u := &Upstream{
		Options: o, group: g, listener: listener, slots: make(chan struct{}, o.Slots), queued: make(chan struct{}, o.Slots+o.Queue),
		conns: map[net.Conn]struct{}{}, born: time.Now().UnixMilli(),
	}
	g.mu.Lock()
	if g.primary == nil {
		g.primary = u
	}
	g.members = append(g.members, u)
	g.receive(u)
	g.mu.Unlock()
	go u.serve()
	return u, nil
}

// Crash ends the upstream without a word.
func (u *Upstream) Crash() {
	u.group.mu.Lock()
	u.down = true
	u.group.mu.Unlock()
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close()
	}
}

// SetReplicationPaused stops or resumes the receipt of the primary's log.
func (u *Upstream) SetReplicationPaused(paused bool) {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.replicationPaused = paused
	u.group.receive(u)
}

// SetLeaving announces the upstream as leaving from now on.
func (u *Upstream) SetLeaving() {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.leaving = true
}

// LoseAnswers closes the connection after each of the next n writes instead of answering.
func (u *Upstream) LoseAnswers(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loseAnswers = n
}

// OpenTransactions returns the number of transactions that are open.
func (u *Upstream) OpenTransactions() int { return int(u.open.Load()) }

func (u *Upstream) lose() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.loseAnswers == 0 {
		return false
	}
	u.loseAnswers--
	return true
}

func (u *Upstream) position() Position {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	if u == u.group.primary {
		return Position{u.group.term, len(u.log)}
	}
	term := 1
	if len(u.log) > 0 {
		term = u.log[len(u.log)-1].Term
	}
	return Position{term, len(u.log)}
}

func (u *Upstream) serve() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = struct{}{}
		full := len(u.conns) > u.Connections
		u.mu.Unlock()
		go func() {
			s := &session{up: u, out: c, in: bufio.NewReader(c), values: map[string]string{}, prepared: map[string]string{}, full: full}
			s.run()
			s.end()
			_ = c.Close()
			u.mu.Lock()
			delete(u.conns, c)
			u.mu.Unlock()
		}()
	}
}

// session is one connection.
type session struct {
	up       *Upstream
	in       *bufio.Reader
	out      net.Conn
	full     bool
	team     string
	values   map[string]string
	prepared map[string]string
	state    string
	plain    bool
	stored   map[string]string
}

// end leaves a transaction, if there is one.
func (s *session) end() {
	if s.state == "T" || s.state == "E" {
		s.up.open.Add(-1)
	}
	s.state = "I"
}

func (s *session) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\r\n", arguments...)
}

func (s *session) idle() { s.say("IDLE %s %s", s.state, s.up.position()) }

func (s *session) line() (string, bool) {
	line, err := s.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err == nil
}

func (s *session) run() {
	s.state = "I"
	line, ok := s.line()
	fields := strings.Fields(line)
	switch {
	case !ok || len(fields) < 3 || fields[0] != "CONNECT":
		return
	case fields[1] != s.up.group.Service || (len(fields) > 3 && fields[3] != s.up.ID):
		s.say("ERROR MOVED %s", s.up.ID)
		return
	case s.full:
		s.say("ERROR MAXCONN %s", s.up.ID)
		return
	}
	s.team = fields[2]
	s.idle()
	for {
		line, ok := s.line()
		word, rest, _ := strings.Cut(line, " ")
		if !ok || word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if !s.query(id, text) {
			return
		}
	}
}

// fail answers with an error, which fails an open transaction.
func (s *session) fail(code string) bool {
	if s.state == "T" {
		s.state = "E"
	}
	s.say("ERROR %s %s", code, s.up.ID)
	s.idle()
	return true
}

func (s *session) done() bool {
	s.say("COMPLETE -")
	s.idle()
	return true
}

// query answers one statement; false closes the connection.
func (s *session) query(id, text string) bool {
	if rest, found := strings.CutPrefix(text, "SINCE "); found {
		position, statement, _ := strings.Cut(rest, " ")
		text = statement
		if !s.holds(position) {
			return s.fail("LAGGING")
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "BEGIN":
		s.plain = rest == ""
		if s.plain && !s.up.group.leads(s.up) {
			return s.fail("READONLY")
		}
		s.end()
		s.up.open.Add(1)
		s.state, s.stored = "T", map[string]string{}
		return s.done()
	case "ROLLBACK":
		s.end()
		return s.done()
	case "CONFIGURE":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return s.done()
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return s.done()
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
		return s.done()
	case "STATUS", "PAUSE", "CONTINUE", "STEPDOWN":
		return s.control(word)
	}
	return s.work(id, word, rest)
}

func (s *session) holds(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.Atoi(term)
	n, _ := strconv.Atoi(number)
	own := s.up.position()
	return own.Number >= n && own.Term >= t
}

func (s *session) control(word string) bool {
	g := s.up.group
	g.mu.Lock()
	switch word {
	case "PAUSE":
		s.up.paused = true
	case "CONTINUE":
		s.up.paused = false
		g.receive(s.up)
	case "STEPDOWN":
		s.up.steppedDown = true
	}
	role := "replica"
	if s.up == g.primary && !s.up.steppedDown {
		role = "primary"
	}
	term := g.term
	g.mu.Unlock()
	s.say("ROW %s %d %s 0 0 0 1", role, term, s.up.position())
	return s.done()
}

// work runs a read, a write or a commit in a slot.
func (s *session) work(id, word, rest string) bool {
	select {
	case s.up.queued <- struct{}{}:
	default:
		s.say("ERROR BUSY %s", s.up.ID)
		s.idle()
		return true
	}
	s.up.slots <- struct{}{}
	time.Sleep(s.up.Work)
	<-s.up.slots
	<-s.up.queued
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, found := s.prepared[name]
		if !found {
			return s.fail("UNKNOWN")
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	if s.state == "T" && s.plain && !s.up.group.leads(s.up) && (word != "COMMIT" || len(s.stored) > 0) {
		return s.fail("READONLY")
	}
	switch word {
	case "FETCH":
		return s.read(rest)
	case "STORE":
		return s.store(id, rest)
	case "COMMIT":
		s.end()
		if len(s.stored) > 0 && !s.up.group.commit(s.up, id, s.stored) {
			return s.fail("READONLY")
		}
		return s.sign(id, len(s.stored) > 0)
	}
	s.up.group.violate("statement %q", word+" "+rest)
	return s.fail("MALFORMED")
}

// read answers with the item's data, the team and the session values that were in force.
func (s *session) read(item string) bool {
	g := s.up.group
	g.mu.Lock()
	data := "none"
	for _, e := range s.up.log {
		if stored, found := e.Items[item]; found {
			data = stored
		}
	}
	g.mu.Unlock()
	s.say("ROW %s %s %v", data, s.team, s.values)
	return s.sign("read", false)
}

func (s *session) store(id, rest string) bool {
	item, data, _ := strings.Cut(rest, " ")
	if s.state == "T" {
		s.stored[item] = data
		return s.sign(id, false)
	}
	if !s.up.group.commit(s.up, id, map[string]string{item: data}) {
		return s.fail("READONLY")
	}
	return s.sign(id, true)
}

// sign answers a statement that ran; the answer to a write may be lost.
func (s *session) sign(id string, wrote bool) bool {
	if wrote && s.up.lose() {
		return false
	}
	s.say("COMPLETE signed-by-%s-%s", s.up.ID, id)
	s.idle()
	return true
}
