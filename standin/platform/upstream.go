package platform

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Options configure an upstream.
type Options struct {
	ID, Zone string
	// Address is the address to listen on, such as 127.0.0.1:0.
	Address string
	// Slots is the number of statements that run at the same time, Queue the number that may wait, and Connections the maximum
	// number of sessions.
	Slots, Queue, Connections int
	// Work is how long each statement holds its slot.
	Work time.Duration
}

// Upstream is one member of a group.
type Upstream struct {
	Options
	group    *Group
	listener net.Listener
	slots    chan struct{}
	queued   chan struct{}

	// The following fields, up to born, are guarded by the group's lock.
	log []Entry
	// pausedTerm is the term of the command PAUSE, or 0, and replicationPaused is set by SetReplicationPaused; each stops the receipt
	// of the log.
	pausedTerm        int
	replicationPaused bool
	// cutOff is set while the core can't reach the upstream, nor the upstream the core.
	cutOff      bool
	down        bool
	steppedDown bool
	leaving     bool
	// seq is the number of the last announcement, and born the start time in Unix milliseconds that announcements contain.
	seq  int
	born int64

	// openTransactions counts the transactions that are open.
	openTransactions atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// answersToDrop is the number of further writes that are executed but not answered.
	answersToDrop int
}

// Start adds a member to a group and serves it; the first member is the primary.
func (g *Group) Start(o Options) (*Upstream, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, err
	}
	o.Address = listener.Addr().String()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.add(o, listener, nil), nil
}

// add adds a member with a log and serves it. The caller holds the lock.
func (g *Group) add(o Options, listener net.Listener, log []Entry) *Upstream {
	u := &Upstream{
		Options: o, group: g, listener: listener, slots: make(chan struct{}, o.Slots), queued: make(chan struct{}, o.Slots+o.Queue),
		conns: map[net.Conn]struct{}{}, born: time.Now().UnixMilli(), log: log,
	}
	if g.primary == nil {
		g.primary = u
	}
	g.members = append(g.members, u)
	g.replicate(u)
	go u.serve()
	return u
}

// Crash stops the upstream and closes its connections without notice.
func (u *Upstream) Crash() {
	u.group.mu.Lock()
	u.down = true
	u.group.changed.Broadcast()
	u.group.mu.Unlock()
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close()
	}
}

// Succeed starts a member at the address of one that is down, with its log, as the platform does after an upstream has left.
func (g *Group) Succeed(ended *Upstream, id string) (*Upstream, error) {
	o := ended.Options
	o.ID = id
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.add(o, listener, slices.Clone(ended.log)), nil
}

// SetReplicationPaused stops or resumes the receipt of the primary's log.
func (u *Upstream) SetReplicationPaused(paused bool) {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.replicationPaused = paused
	u.group.replicate(u)
}

// SetCutOff cuts the upstream off from the core or ends that: it sends no announcements, and sessions without a team, which the core
// opens, get no answers. Sessions of teams are not affected.
func (u *Upstream) SetCutOff(cutOff bool) {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.cutOff = cutOff
}

// isSilent reports whether a session of a team gets no answers.
func (u *Upstream) isSilent(team string) bool {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	return u.cutOff && team == "-"
}

// SetLeaving makes the upstream's announcements say from now on that it is leaving.
func (u *Upstream) SetLeaving() {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	u.leaving = true
}

// DropWriteAnswers closes the connection after each of the next n writes instead of answering them.
func (u *Upstream) DropWriteAnswers(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answersToDrop = n
}

// OpenTransactions returns the number of transactions that are open.
func (u *Upstream) OpenTransactions() int { return int(u.openTransactions.Load()) }

func (u *Upstream) dropAnswer() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.answersToDrop == 0 {
		return false
	}
	u.answersToDrop--
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
		overLimit := len(u.conns) > u.Connections
		u.mu.Unlock()
		go func() {
			s := &session{upstream: u, conn: c, reader: bufio.NewReader(c), values: map[string]string{}, prepared: map[string]string{}, overLimit: overLimit}
			s.run()
			s.endTransaction()
			_ = c.Close()
			u.mu.Lock()
			delete(u.conns, c)
			u.mu.Unlock()
		}()
	}
}

// session is one connection.
type session struct {
	upstream  *Upstream
	reader    *bufio.Reader
	conn      net.Conn
	overLimit bool
	team      string
	values    map[string]string
	prepared  map[string]string
	// state is the letter in IDLE messages: I outside of a transaction, T inside one, and E inside a failed one.
	state string
	// readWrite is set if the last transaction was opened as one that may write, which only a primary does.
	readWrite bool
	writes    map[string]string
	// transaction is the number of the last transaction.
	transaction int
}

// endTransaction ends the open transaction, if there is one.
func (s *session) endTransaction() {
	if s.state == "T" || s.state == "E" {
		s.upstream.openTransactions.Add(-1)
	}
	s.state = "I"
}

func (s *session) sendLine(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.conn, format+"\r\n", arguments...)
}

func (s *session) sendIdle() { s.sendLine("IDLE %s %s", s.state, s.upstream.position()) }

func (s *session) readLine() (string, bool) {
	line, err := readLine(s.reader)
	return line, err == nil
}

func (s *session) run() {
	s.state = "I"
	line, ok := s.readLine()
	fields := strings.Fields(line)
	switch {
	case !ok || len(fields) < 3 || fields[0] != "CONNECT":
		return
	case fields[1] != s.upstream.group.Service || (len(fields) > 3 && fields[3] != s.upstream.ID):
		s.sendLine("ERROR MOVED %s", s.upstream.ID)
		return
	case s.overLimit:
		s.sendLine("ERROR MAXCONN %s", s.upstream.ID)
		return
	}
	s.team = fields[2]
	if !s.upstream.isSilent(s.team) {
		s.sendIdle()
	}
	for {
		line, ok := s.readLine()
		word, rest, _ := strings.Cut(line, " ")
		if !ok || word != "QUERY" {
			return
		}
		if s.upstream.isSilent(s.team) {
			continue
		}
		id, text, _ := strings.Cut(rest, " ")
		if !s.query(id, text) {
			return
		}
	}
}

// fail answers with an error and marks an open transaction as failed.
func (s *session) fail(code string) bool {
	if s.state == "T" {
		s.state = "E"
	}
	s.sendLine("ERROR %s %s", code, s.upstream.ID)
	s.sendIdle()
	return true
}

func (s *session) sendComplete() bool {
	s.sendLine("COMPLETE -")
	s.sendIdle()
	return true
}

// query answers one statement. It returns false if the connection must be closed.
func (s *session) query(id, text string) bool {
	if rest, found := strings.CutPrefix(text, "SINCE "); found {
		position, statement, _ := strings.Cut(rest, " ")
		text = statement
		if !s.hasPosition(position) {
			return s.fail("LAGGING")
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "BEGIN":
		s.readWrite = rest == ""
		if s.readWrite && !s.upstream.group.isPrimary(s.upstream) {
			return s.fail("READONLY")
		}
		s.endTransaction()
		s.upstream.openTransactions.Add(1)
		s.state, s.writes, s.transaction = "T", map[string]string{}, s.upstream.group.newTransaction()
		return s.sendComplete()
	case "ROLLBACK":
		s.endTransaction()
		return s.sendComplete()
	case "CONFIGURE":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return s.sendComplete()
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return s.sendComplete()
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
		return s.sendComplete()
	case "STATUS", "PAUSE", "CONTINUE", "STEPDOWN":
		return s.controlCommand(word, rest)
	}
	return s.runInSlot(id, word, rest)
}

func (s *session) hasPosition(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.Atoi(term)
	n, _ := strconv.Atoi(number)
	own := s.upstream.position()
	return own.Number >= n && own.Term >= t
}

func (s *session) controlCommand(word, argument string) bool {
	g, u := s.upstream.group, s.upstream
	g.mu.Lock()
	term, _ := strconv.Atoi(argument)
	switch {
	case word == "PAUSE" && term > g.term:
		u.pausedTerm = term
	case word == "CONTINUE":
		u.pausedTerm = 0
		g.replicate(u)
	case word == "STEPDOWN" && term > g.term:
		u.steppedDown = true
	}
	role := "replica"
	if u == g.primary && !u.steppedDown {
		role = "primary"
	}
	newest, paused := g.term, u.pausedTerm
	g.mu.Unlock()
	s.sendLine("ROW %s %d %s %d 0 0 1", role, newest, u.position(), paused)
	return s.sendComplete()
}

// runInSlot runs a read, a write or a commit once a slot is free.
func (s *session) runInSlot(id, word, rest string) bool {
	select {
	case s.upstream.queued <- struct{}{}:
	default:
		s.sendLine("ERROR BUSY %s", s.upstream.ID)
		s.sendIdle()
		return true
	}
	s.upstream.slots <- struct{}{}
	time.Sleep(s.upstream.Work)
	<-s.upstream.slots
	<-s.upstream.queued
	text := word + " " + rest
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		definition, found := s.prepared[name]
		if !found {
			return s.fail("UNKNOWN")
		}
		text = definition + " " + arguments
		word, _, _ = strings.Cut(definition, " ")
		rest = arguments
	}
	if s.state == "T" && s.readWrite && !s.upstream.group.isPrimary(s.upstream) && (word != "COMMIT" || len(s.writes) > 0) {
		return s.fail("READONLY")
	}
	run := s.newRun(id, text)
	switch word {
	case "FETCH":
		s.upstream.group.recordRun(run)
		return s.read(rest)
	case "STORE":
		return s.write(run, rest)
	case "COMMIT":
		if s.state != "T" {
			s.upstream.group.recordViolation("commit %s outside of a transaction", id)
			return s.fail("MALFORMED")
		}
		s.endTransaction()
		if len(s.writes) > 0 {
			return s.commit(run, s.writes)
		}
		s.upstream.group.recordRun(run)
		return s.sendSigned(id, false)
	}
	s.upstream.group.recordViolation("statement %q", word+" "+rest)
	return s.fail("MALFORMED")
}

// read answers with the item's data, the session's team and the session's current settings.
func (s *session) read(item string) bool {
	g := s.upstream.group
	g.mu.Lock()
	data := "none"
	for _, e := range s.upstream.log {
		if stored, found := e.Items[item]; found {
			data = stored
		}
	}
	g.mu.Unlock()
	s.sendLine("ROW %s %s %v", data, s.team, s.values)
	return s.sendSigned("read", false)
}

func (s *session) write(run Run, rest string) bool {
	item, data, _ := strings.Cut(rest, " ")
	if s.state == "T" {
		s.upstream.group.recordRun(run)
		s.writes[item] = data
		return s.sendSigned(run.ID, false)
	}
	return s.commit(run, map[string]string{item: data})
}

// commit commits writes and answers, unless the outcome is not known. It returns false if the connection must be closed.
func (s *session) commit(run Run, items map[string]string) bool {
	result := s.upstream.group.commit(s.upstream, run.ID, items)
	if result == refused {
		return s.fail("READONLY")
	}
	s.upstream.group.recordRun(run)
	if result == unanswered {
		return false
	}
	return s.sendSigned(run.ID, true)
}

// sendSigned answers a statement that ran; the signature contains the upstream's id. It returns false if the answer to a write
// is dropped.
func (s *session) sendSigned(id string, wrote bool) bool {
	if wrote && s.upstream.dropAnswer() {
		return false
	}
	s.sendLine("COMPLETE signed-by-%s-%s", s.upstream.ID, id)
	s.sendIdle()
	return true
}
