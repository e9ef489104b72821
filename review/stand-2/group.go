package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is one committed write in the log of a database.
type commit struct {
	term, number uint64
	id           string
	item, data   string
	at           time.Time
}

// database is one backend of a group.
type database struct {
	group    *group
	id, addr string
	zone     string
	born     int64
	seq      uint64
	// delay is the time that a commit takes to it; a deaf one receives nothing.
	delay    time.Duration
	deaf     bool
	primary  bool
	term     uint64
	held     uint64
	log      []commit
	running  bool
	draining bool
	listener net.Listener
	conns    map[net.Conn]bool
	wake     chan struct{}
}

// group is a service with its databases. One lock guards all of it.
type group struct {
	mu      sync.Mutex
	changed *sync.Cond
	record  *record
	service string
	sync    int
	term    uint64
	token   uint64
	members []*database
	// ran is called for each statement of a client that a database runs.
	ran func(d *database, team, id, text string)
	// ranFrom is called beside it with the connection, if it is set.
	ranFrom func(d *database, c net.Conn, id, text string)
	// acked holds the ids of the writes whose success was sent, by the time of the answer.
	acked map[string]time.Time
	// promoted is called when a database takes over.
	promoted func(d *database)
}

func newGroup(r *record, service string, replicas int) *group {
	g := &group{
		record: r, service: service, sync: replicas, term: 1, acked: map[string]time.Time{},
		ran:      func(d *database, team, id, text string) { r.add("database %s runs %s %s for %s", d.id, id, text, team) },
		promoted: func(*database) {},
	}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// add adds a database that is not running yet.
func (g *group) add(id, addr, zone string, delay time.Duration) *database {
	d := &database{
		group: g, id: id, addr: addr, zone: zone, delay: delay, conns: map[net.Conn]bool{}, wake: make(chan struct{}, 1), term: g.term,
	}
	g.mu.Lock()
	g.members = append(g.members, d)
	g.mu.Unlock()
	return d
}

// start starts a database with the log that it has.
func (d *database) start() error {
	listener, err := net.Listen("tcp4", d.addr)
	if err != nil {
		return err
	}
	g := d.group
	g.mu.Lock()
	d.listener, d.running, d.draining = listener, true, false
	d.born, d.seq, d.held = time.Now().UnixMilli(), 0, 0
	d.primary = d.primary && d.term == g.term
	g.mu.Unlock()
	g.record.say("database %s starts at %s, primary %v, log %d", d.id, d.addr, d.primary, len(d.log))
	go d.accept(listener)
	d.announceNow()
	return nil
}

// stop ends a database at once: all connections close, and it keeps its log.
func (d *database) stop(why string) {
	g := d.group
	g.mu.Lock()
	d.running = false
	_ = d.listener.Close()
	for c := range d.conns {
		_ = c.Close()
	}
	d.conns = map[net.Conn]bool{}
	length := len(d.log)
	g.changed.Broadcast()
	g.mu.Unlock()
	g.record.say("database %s ends (%s), log %d", d.id, why, length)
}

func (d *database) announceNow() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// leader returns the running primary, or nil. The caller holds the lock.
func (g *group) leader() *database {
	for _, d := range g.members {
		if d.primary && d.running && d.term == g.term {
			return d
		}
	}
	return nil
}

// replicate passes commits on to the replicas until done is closed.
func (g *group) replicate(done <-chan struct{}) {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		g.mu.Lock()
		if p := g.leader(); p != nil {
			for _, r := range g.members {
				g.receive(p, r)
			}
		}
		g.mu.Unlock()
	}
}

// receive gives a replica the commits of the primary that have had time to arrive.
func (g *group) receive(p, r *database) {
	if r == p || !r.running || r.deaf || r.held != 0 {
		return
	}
	r.term = p.term
	now := time.Now()
	for len(r.log) < len(p.log) && now.Sub(p.log[len(r.log)].at) >= r.delay {
		r.log = append(r.log, p.log[len(r.log)])
		g.changed.Broadcast()
	}
}

// holders counts the replicas that have received the commit with an index of the primary's log.
func (g *group) holders(p *database, index int) int {
	n := 0
	for _, r := range g.members {
		if r != p && r.running && len(r.log) > index {
			n++
		}
	}
	return n
}

// commit adds a write to the primary's log and waits until it is acknowledged. It returns false if it isn't. The caller holds the lock.
func (g *group) commit(d *database, id string, writes [][2]string) bool {
	for _, w := range writes {
		d.log = append(d.log, commit{term: d.term, number: uint64(len(d.log) + 1), id: id, item: w[0], data: w[1], at: time.Now()})
	}
	index, term, born := len(d.log)-1, d.term, d.born
	for g.sync > 0 && g.holders(d, index) < g.sync {
		if !d.running || !d.primary || d.term != term || d.born != born {
			return false
		}
		g.changed.Wait()
	}
	return d.running && d.primary && d.term == term && d.born == born
}

// promote makes a database the primary of the next term. It returns the status of the answer.
func (g *group) promote(id string, token uint64) (int, string) {
	g.mu.Lock()
	if token < g.token {
		g.mu.Unlock()
		return 409, "the token is too low"
	}
	g.token = token
	d := g.find(id)
	if d == nil || !d.running {
		g.mu.Unlock()
		return 409, "the backend is not running"
	}
	if d.primary && d.term == g.term {
		g.mu.Unlock()
		return 200, "it is the primary"
	}
	g.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.token || !d.running {
		return 409, "overtaken, or not running any more"
	}
	g.term++
	for _, m := range g.members {
		m.primary = false
		m.held = 0
	}
	d.primary, d.term = true, g.term
	g.record.say("database %s leads term %d with a log of %d", d.id, g.term, len(d.log))
	g.promoted(d)
	for _, m := range g.members {
		if m != d {
			m.log = common(m.log, d.log)
		}
		m.announceNow()
	}
	g.changed.Broadcast()
	return 200, "promoted"
}

// common returns the part of a log that another log begins with.
func common(log, of []commit) []commit {
	n := 0
	for n < len(log) && n < len(of) && log[n].term == of[n].term && log[n].number == of[n].number && log[n].id == of[n].id {
		n++
	}
	return append([]commit(nil), log[:n]...)
}

func (g *group) find(id string) *database {
	for _, d := range g.members {
		if d.id == id {
			return d
		}
	}
	return nil
}

func (d *database) position() string {
	if len(d.log) == 0 {
		return fmt.Sprintf("%d.0", d.term)
	}
	return fmt.Sprintf("%d.%d", d.log[len(d.log)-1].term, len(d.log))
}

// lacks reports whether the log lacks a position.
func (d *database) lacks(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	if n == 0 {
		return false
	}
	return n > uint64(len(d.log)) || d.log[n-1].term < t
}

func (d *database) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		d.group.mu.Lock()
		if !d.running || d.listener != listener {
			d.group.mu.Unlock()
			_ = c.Close()
			return
		}
		d.conns[c] = true
		d.group.mu.Unlock()
		go d.serve(c)
	}
}

func readLine(in *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		part, err := in.ReadString('\n')
		line.WriteString(part)
		if err != nil {
			return "", err
		}
		if text, found := strings.CutSuffix(line.String(), "\r\n"); found {
			return text, nil
		}
	}
}

// upstreamSession is one connection to a database.
type upstreamSession struct {
	d        *database
	c        net.Conn
	out      *bufio.Writer
	team     string
	state    string
	readOnly bool
	writes   [][2]string
	wrote    bool
	prepared map[string][2]string
}

func (d *database) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		d.group.mu.Lock()
		delete(d.conns, c)
		d.group.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	s := &upstreamSession{d: d, c: c, out: bufio.NewWriter(c), state: "I", prepared: map[string][2]string{}}
	line, err := readLine(in)
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "CONNECT" {
		return
	}
	if fields[1] != d.group.service || (len(fields) > 3 && fields[3] != d.id) {
		_, _ = fmt.Fprintf(c, "ERROR MOVED %s\r\n", d.id)
		return
	}
	s.team = fields[2]
	s.idle()
	for s.out.Flush() == nil {
		line, err := readLine(in)
		if err != nil {
			return
		}
		rest, found := strings.CutPrefix(line, "QUERY ")
		if !found {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if !s.run(id, text) {
			return
		}
	}
}

func (s *upstreamSession) idle() {
	s.d.group.mu.Lock()
	position := s.d.position()
	s.d.group.mu.Unlock()
	fmt.Fprintf(s.out, "IDLE %s %s\r\n", s.state, position)
}

func (s *upstreamSession) fail(code string) bool {
	if s.state == "T" {
		s.state = "E"
	}
	fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, s.d.id)
	s.idle()
	return true
}

func (s *upstreamSession) done(signature string) bool {
	fmt.Fprintf(s.out, "COMPLETE %s\r\n", signature)
	s.idle()
	return true
}

func (s *upstreamSession) reset(state string) {
	s.state, s.writes, s.wrote, s.readOnly = state, nil, false, false
}

// run answers a request; it returns false if the connection ends without an answer.
func (s *upstreamSession) run(id, text string) bool {
	g, d := s.d.group, s.d
	g.mu.Lock()
	primary, running := d.primary && d.term == g.term, d.running
	if position, found := strings.CutPrefix(text, "SINCE "); found {
		var at string
		at, text, _ = strings.Cut(position, " ")
		if d.lacks(at) {
			g.mu.Unlock()
			return s.fail("LAGGING")
		}
	}
	g.mu.Unlock()
	if !running {
		return false
	}
	fields := strings.SplitN(text, " ", 4)
	if s.state == "E" {
		if text == "ROLLBACK" || text == "COMMIT" {
			s.reset("I")
			if text == "COMMIT" {
				return s.fail("ABORTED")
			}
			return s.done("-")
		}
		return s.fail("MALFORMED")
	}
	switch fields[0] {
	case "BEGIN":
		if text == "BEGIN" && !primary {
			return s.fail("READONLY")
		}
		s.reset("T")
		s.readOnly = text != "BEGIN"
		return s.done("-")
	case "ROLLBACK":
		s.reset("I")
		return s.done("-")
	case "COMMIT":
		return s.commit(id, primary)
	case "STATUS", "STEPDOWN", "PAUSE", "CONTINUE":
		return s.status(fields)
	case "CONFIGURE", "CLOSE":
		return s.done("-")
	case "DISCARD":
		s.prepared = map[string][2]string{}
		return s.done("-")
	case "PARSE":
		s.prepared[fields[1]] = [2]string{fields[2], fields[3]}
		return s.done("-")
	case "EXECUTE":
		definition, found := s.prepared[fields[1]]
		if !found {
			return s.fail("UNKNOWN")
		}
		_, arguments, _ := strings.Cut(text, " ")
		_, arguments, _ = strings.Cut(arguments, " ")
		return s.statement(id, text, definition[0], arguments, primary)
	case "FETCH", "STORE":
		_, arguments, _ := strings.Cut(text, " ")
		return s.statement(id, text, fields[0], arguments, primary)
	}
	return s.fail("MALFORMED")
}

func (s *upstreamSession) statement(id, text, kind, arguments string, primary bool) bool {
	g, d := s.d.group, s.d
	item, data, _ := strings.Cut(arguments, " ")
	plain := s.state == "T" && !s.readOnly
	if !primary && (plain || kind == "STORE") {
		return s.fail("READONLY")
	}
	time.Sleep(3 * time.Millisecond)
	g.ran(d, s.team, id, text)
	if g.ranFrom != nil {
		g.ranFrom(d, s.c, id, text)
	}
	if kind == "FETCH" {
		row := "-"
		g.mu.Lock()
		for i := len(d.log) - 1; i >= 0; i-- {
			if d.log[i].item == item {
				row = d.log[i].data
				break
			}
		}
		g.mu.Unlock()
		fmt.Fprintf(s.out, "ROW %s\r\n", row)
		return s.done(s.signature())
	}
	if s.state == "T" {
		s.writes, s.wrote = append(s.writes, [2]string{item, data}), true
		return s.done(s.signature())
	}
	return s.keep(id, [][2]string{{item, data}})
}

func (s *upstreamSession) commit(id string, primary bool) bool {
	if s.state != "T" {
		return s.fail("MALFORMED")
	}
	writes, wrote := s.writes, s.wrote
	s.reset("I")
	if !wrote {
		return s.done(s.signature())
	}
	if !primary {
		return s.fail("READONLY")
	}
	s.d.group.ran(s.d, s.team, id, "COMMIT")
	return s.keep(id, writes)
}

// keep commits writes and answers once they are acknowledged.
func (s *upstreamSession) keep(id string, writes [][2]string) bool {
	g := s.d.group
	g.mu.Lock()
	if !s.d.primary || s.d.term != g.term {
		// Another one has been promoted since the statement arrived.
		g.mu.Unlock()
		return s.fail("READONLY")
	}
	acknowledged := g.commit(s.d, id, writes)
	if acknowledged {
		g.acked[id] = time.Now()
	}
	g.mu.Unlock()
	if !acknowledged {
		return false
	}
	return s.done(s.signature())
}

func (s *upstreamSession) signature() string { return fmt.Sprintf("%s.%016x", s.d.id, rand.Uint64()) }

func (s *upstreamSession) status(fields []string) bool {
	g, d := s.d.group, s.d
	var term uint64
	if len(fields) > 1 {
		term, _ = strconv.ParseUint(fields[1], 10, 64)
	}
	g.mu.Lock()
	switch fields[0] {
	case "STEPDOWN":
		if d.primary && d.term < term {
			d.primary = false
			g.changed.Broadcast()
			d.announceNow()
		}
	case "PAUSE":
		if !d.primary && term > d.term {
			d.held = term
		}
	case "CONTINUE":
		d.held = 0
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	row := fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\n", role, d.term, d.position(), d.held, len(d.conns))
	g.mu.Unlock()
	g.record.add("%s answered at %s: %s", strings.Join(fields, " "), d.id, strings.TrimSpace(row))
	_, _ = s.out.WriteString(row)
	return s.done("-")
}
