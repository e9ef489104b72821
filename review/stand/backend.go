package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// entry is one commit in a log.
type entry struct {
	term, number int
	id           string
	writes       [][2]string
}

// run is one statement that a backend has run.
type run struct {
	backend    string
	connection int
	// transaction numbers the transactions of a group; 0 outside of one.
	transaction int
	tenant      string
	id, text    string
	at          time.Time
}

// group is a service: one primary and its replicas.
type group struct {
	mu      sync.Mutex
	record  *record
	service string
	term    int
	primary *backend
	members []*backend
	runs    []run
	lastTx  int
	// syncReplicas is 1 if a commit is acknowledged once one replica has received it.
	syncReplicas int
	// slots is how many statements a server runs at a time.
	slots      int
	promotions []string
	// rolledBack are the commits that a promoted server lacked.
	rolledBack []string
}

// backend is one server of a service.
type backend struct {
	group    *group
	id, zone string
	address  string
	listener net.Listener
	slots    chan struct{}
	maxConns int
	work     time.Duration
	born     int64
	seq      atomic.Int64

	// The following fields are guarded by the group's lock.
	log      []entry
	stepped  bool
	draining bool
	// cut is set while the server is partitioned from the core: it is silent to sessions without a tenant, which the core opens, and
	// sends no heartbeats. alone is set while it neither sends nor receives commits.
	cut, alone bool
	down       bool
	conns      map[net.Conn]bool
	lastConn   int
	// delay is how much later than the primary a replica receives a commit.
	delay func() time.Duration
	// lastArrival is when the last commit arrives at a replica.
	lastArrival time.Time
}

// startBackend starts a server; the first one of a group is the primary.
func startBackend(g *group, id, zone, address string) (*backend, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	b := &backend{
		group: g, id: id, zone: zone, address: listener.Addr().String(), listener: listener, slots: make(chan struct{}, max(2, g.slots)), maxConns: 18,
		work: 3 * time.Millisecond, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{},
	}
	g.mu.Lock()
	if g.primary == nil {
		g.primary = b
	}
	g.members = append(g.members, b)
	g.mu.Unlock()
	go b.serve()
	return b, nil
}

func (b *backend) serve() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.group.mu.Lock()
		b.lastConn++
		number := b.lastConn
		b.conns[conn] = true
		full := len(b.conns) > b.maxConns
		b.group.mu.Unlock()
		go func() {
			s := &backendSession{b: b, conn: conn, number: number, in: bufio.NewReaderSize(conn, 64<<10), values: map[string]string{}, prepared: map[string]string{}, state: "I"}
			s.serve(full)
			_ = conn.Close()
			b.group.mu.Lock()
			delete(b.conns, conn)
			b.group.mu.Unlock()
		}()
	}
}

// position is the position that the log has received. The caller holds the lock.
func (b *backend) position() string {
	if len(b.log) == 0 {
		return fmt.Sprintf("%d.0", b.group.term)
	}
	last := b.log[len(b.log)-1]
	term := last.term
	if b == b.group.primary {
		term = b.group.term
	}
	return fmt.Sprintf("%d.%d", term, last.number)
}

type backendSession struct {
	b        *backend
	conn     net.Conn
	number   int
	in       *bufio.Reader
	tenant   string
	state    string
	tx       int
	plain    bool
	writes   [][2]string
	values   map[string]string
	prepared map[string]string
}

// readMessage reads one message up to CR LF.
func readMessage(in *bufio.Reader) (string, error) {
	var message []byte
	for {
		part, err := in.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return "", err
		}
		message = append(message, part...)
		if bytes.HasSuffix(message, []byte("\r\n")) {
			return string(message[:len(message)-2]), nil
		}
	}
}

func (s *backendSession) send(lines ...string) {
	_, _ = io.WriteString(s.conn, strings.Join(lines, "\r\n")+"\r\n")
}

func (s *backendSession) idle() string {
	s.b.group.mu.Lock()
	defer s.b.group.mu.Unlock()
	return "IDLE " + s.state + " " + s.b.position()
}

func (s *backendSession) serve(full bool) {
	line, err := readMessage(s.in)
	fields := strings.Fields(line)
	switch {
	case err != nil || len(fields) < 3 || fields[0] != "CONNECT":
		return
	case fields[1] != s.b.group.service || (len(fields) > 3 && fields[3] != s.b.id):
		s.send("ERROR MOVED " + s.b.id)
		return
	case full:
		s.send("ERROR MAXCONN " + s.b.id)
		return
	}
	s.tenant = fields[2]
	if s.silent() {
		return
	}
	s.send(s.idle())
	for {
		line, err := readMessage(s.in)
		if err != nil || s.silent() {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		s.query(id, text)
	}
}

func (s *backendSession) fail(code string) {
	if s.state == "T" {
		s.state = "E"
	}
	s.send("ERROR "+code+" "+s.b.id, s.idle())
}

func (s *backendSession) done() { s.send("COMPLETE -", s.idle()) }

// silent waits until the end of a partition between the core and the server, and reports whether there was one.
func (s *backendSession) silent() bool {
	waited := false
	for s.tenant == "-" {
		s.b.group.mu.Lock()
		cut := s.b.cut
		s.b.group.mu.Unlock()
		if !cut {
			break
		}
		waited = true
		time.Sleep(50 * time.Millisecond)
	}
	return waited
}

// leads reports whether the backend leads its group.
func (s *backendSession) leads() bool {
	s.b.group.mu.Lock()
	defer s.b.group.mu.Unlock()
	return s.b == s.b.group.primary && !s.b.stepped
}

func (s *backendSession) has(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.Atoi(term)
	n, _ := strconv.Atoi(number)
	s.b.group.mu.Lock()
	defer s.b.group.mu.Unlock()
	if s.b == s.b.group.primary && t <= s.b.group.term && n <= len(s.b.log) {
		return true
	}
	return n == 0 || (n <= len(s.b.log) && s.b.log[len(s.b.log)-1].term >= t)
}

func (s *backendSession) query(id, text string) {
	if rest, found := strings.CutPrefix(text, "SINCE "); found {
		position, statement, _ := strings.Cut(rest, " ")
		text = statement
		if !s.has(position) {
			s.fail("LAGGING")
			return
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		s.fail("MALFORMED")
		return
	}
	switch word {
	case "BEGIN":
		if rest == "" && !s.leads() {
			s.fail("READONLY")
			return
		}
		s.b.group.mu.Lock()
		s.b.group.lastTx++
		s.tx, s.plain, s.writes = s.b.group.lastTx, rest == "", nil
		s.b.group.mu.Unlock()
		s.state = "T"
		s.done()
	case "ROLLBACK":
		s.state, s.tx, s.writes = "I", 0, nil
		s.done()
	case "CONFIGURE":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		s.done()
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		s.done()
	case "CLOSE":
		delete(s.prepared, rest)
		s.done()
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
		s.done()
	case "STATUS", "STEPDOWN", "PAUSE", "CONTINUE":
		s.status(word, rest)
	case "FETCH", "STORE", "EXECUTE", "COMMIT":
		s.runStatement(id, text, word, rest)
	default:
		s.fail("MALFORMED")
	}
}

func (s *backendSession) status(word, rest string) {
	g := s.b.group
	if word == "STATUS" {
		select {
		case s.b.slots <- struct{}{}:
			defer func() { <-s.b.slots }()
		default:
			s.fail("BUSY")
			return
		}
	}
	g.mu.Lock()
	if term, _ := strconv.Atoi(rest); word == "STEPDOWN" && term > g.term {
		s.b.stepped = true
	}
	role := "replica"
	if s.b == g.primary && !s.b.stepped {
		role = "primary"
	}
	row := fmt.Sprintf("ROW %s %d %s 0 0 %d %d", role, g.term, s.b.position(), len(s.b.slots), len(s.b.conns))
	g.mu.Unlock()
	s.send(row, "COMPLETE -", s.idle())
}

// runStatement runs a read, a write or a commit in a slot.
func (s *backendSession) runStatement(id, text, word, rest string) {
	b, g := s.b, s.b.group
	b.slots <- struct{}{}
	time.Sleep(b.work)
	<-b.slots
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, found := s.prepared[name]
		if !found {
			s.fail("UNKNOWN")
			return
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	if !s.leads() && (word == "STORE" || (s.state == "T" && s.plain && (word != "COMMIT" || len(s.writes) > 0))) {
		s.fail("READONLY")
		return
	}
	item, data, _ := strings.Cut(rest, " ")
	g.mu.Lock()
	g.runs = append(g.runs, run{b.id, s.number, s.tx, s.tenant, id, text, time.Now()})
	g.mu.Unlock()
	g.record.printf("server %s runs %q %q on connection %d of tenant %s in transaction %d", b.id, id, text, s.number, s.tenant, s.tx)
	signature := fmt.Sprintf("COMPLETE sig.%s.%s", b.id, id)
	switch word {
	case "FETCH":
		s.send("ROW "+b.read(item, s.writes), signature, s.idle())
	case "STORE":
		if s.state == "T" {
			s.writes = append(s.writes, [2]string{item, data})
		} else if !s.commit(id, [][2]string{{item, data}}) {
			return
		}
		s.send(signature, s.idle())
	case "COMMIT":
		writes, failed := s.writes, s.state == "E"
		s.state, s.tx, s.writes = "I", 0, nil
		if failed {
			s.fail("ABORTED")
			return
		}
		if len(writes) > 0 && !s.commit(id, writes) {
			return
		}
		s.send(signature, s.idle())
	}
}

func (b *backend) read(item string, own [][2]string) string {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	value := "none"
	for _, e := range b.log {
		for _, w := range e.writes {
			if w[0] == item {
				value = w[1]
			}
		}
	}
	for _, w := range own {
		if w[0] == item {
			value = w[1]
		}
	}
	return value
}

// commit appends a commit to the primary's log and waits until as many replicas have received it as the service asks for. If the
// server lost the lead before the commit it answers READONLY; if it loses the lead while it waits, it closes the connection, since the
// outcome isn't known.
func (s *backendSession) commit(id string, writes [][2]string) bool {
	b, g := s.b, s.b.group
	g.mu.Lock()
	if b != g.primary || b.stepped {
		g.mu.Unlock()
		s.fail("READONLY")
		return false
	}
	e := entry{g.term, len(b.log) + 1, id, writes}
	b.log = append(b.log, e)
	received := make(chan bool, len(g.members))
	term, needed := g.term, g.syncReplicas
	for _, m := range g.members {
		if m == b {
			continue
		}
		delay := time.Duration(0)
		if m.delay != nil {
			delay = m.delay()
		}
		// Commits arrive in the order of the log.
		arrival := time.Now().Add(delay)
		if arrival.Before(m.lastArrival) {
			arrival = m.lastArrival
		}
		m.lastArrival = arrival
		time.AfterFunc(time.Until(arrival), func() { g.replicate(b, m, term, e.number, received) })
	}
	g.mu.Unlock()
	g.record.printf("commit %s at %s as %d.%d: %v", id, b.id, e.term, e.number, writes)
	for range needed {
		if !<-received {
			_ = s.conn.Close()
			return false
		}
	}
	return true
}

// replicate gives a replica all commits up to a number, unless the primary has changed.
func (g *group) replicate(from, to *backend, term, number int, received chan<- bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if to.down || to.alone || from.alone {
		return
	}
	if g.primary != from || g.term != term || from.down {
		received <- false
		return
	}
	if len(to.log) < number {
		to.log = append(to.log[:0:0], from.log[:number]...)
	}
	received <- true
}

// leader returns the primary.
func (g *group) leader() *backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// promote makes a member the primary of the next term, with what it has received.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.id != id || m.down {
			continue
		}
		if m == g.primary && !m.stepped {
			return true
		}
		for _, e := range g.primary.log[min(len(m.log), len(g.primary.log)):] {
			g.rolledBack = append(g.rolledBack, e.id)
		}
		g.record.printf("service %s: %s with %d commits follows %s with %d commits as the primary", g.service, m.id, len(m.log), g.primary.id, len(g.primary.log))
		g.term++
		g.primary = m
		m.stepped = false
		g.promotions = append(g.promotions, id)
		for _, other := range g.members {
			if other != m && !other.alone {
				other.log = append(other.log[:0:0], m.log...)
				other.stepped = false
			}
		}
		return true
	}
	return false
}

// crash ends a backend without notice.
func (b *backend) crash() {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.down = true
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close()
	}
}

// announce sends heartbeats to one node after the other until one acknowledges, and again after each interval.
func (b *backend) announce(f *fleet, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	node := 0
	for {
		b.group.mu.Lock()
		down, cut := b.down, b.cut
		role, state := "replica", "ready"
		if b == b.group.primary && !b.stepped {
			role = "primary"
		}
		if b.draining {
			state = "draining"
		}
		b.group.mu.Unlock()
		if down {
			return
		}
		if cut {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		body, _ := json.Marshal(map[string]any{
			"service": b.group.service, "addr": b.address, "zone": b.zone, "version": "v1", "capacity": b.group.slots, "state": state,
			"warmup_left_ms": 0, "db_role": role, "seq": b.seq.Add(1), "born": b.born,
		})
		for range 3 {
			response, err := client.Post("http://"+f.core()[node].address(portControl)+"/tamarackshunt/Instances.Heartbeat/"+b.id, "application/json", bytes.NewReader(body))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			node = (node + 1) % len(f.core())
		}
		changed := func() bool {
			b.group.mu.Lock()
			defer b.group.mu.Unlock()
			return (role == "primary") != (b == b.group.primary && !b.stepped) || (state == "draining") != b.draining
		}
		for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end) && !changed(); {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
}

// cloud is the platform's own interface.
type cloud struct {
	address string
	mu      sync.Mutex
	groups  map[string]*group
	tokens  map[string]uint64
	// orders gets the service of each accepted order before it is executed.
	orders chan string
}

func startCloud(r *record, address string) (*cloud, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	c := &cloud{address: listener.Addr().String(), groups: map[string]*group{}, tokens: map[string]uint64{}, orders: make(chan string, 100)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", func(w http.ResponseWriter, request *http.Request) {
		var order struct{ Service, ID string }
		token, err := strconv.ParseUint(request.Header.Get("Fencing-Token"), 10, 64)
		if err != nil || json.NewDecoder(request.Body).Decode(&order) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.mu.Lock()
		g := c.groups[order.Service]
		accepted := g != nil && token >= c.tokens[order.Service]
		if accepted {
			c.tokens[order.Service] = token
		}
		c.mu.Unlock()
		if accepted {
			c.orders <- order.Service
			// The order takes some hundred milliseconds.
			time.Sleep(300 * time.Millisecond)
			accepted = g.promote(order.ID)
		}
		r.printf("platform: %s orders %s to lead %s with token %d: %t", request.Header.Get("Duty-Holder"), order.ID, order.Service, token, accepted)
		if !accepted {
			w.WriteHeader(http.StatusConflict)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return c, nil
}
