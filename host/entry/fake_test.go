package entry_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/key"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/entry"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/upstream"
)

const (
	testService = "ledger"
	testSecret  = "c2VjcmV0LW9mLXRoZS1tZW1iZXItMzItYnl0ZXMtb2s"
	testKey     = "k1." + testSecret
)

// fakeUpstream answers statements according to their first word and records the messages that it receives.
type fakeUpstream struct {
	listener net.Listener
	mutex    sync.Mutex
	received []string
	lsn      int
	readOnly bool
	// badPosition is reported after each write in place of its position, unless it is empty.
	badPosition string
	release     chan struct{}
	// sessions is the number of the last connection; cancelled holds the connections that a cancel request named.
	sessions  uint32
	cancelled map[uint32]bool
}

func newFakeUpstream(t testing.TB) *fakeUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeUpstream{listener: listener, release: make(chan struct{}), cancelled: make(map[uint32]bool)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(socket)
		}
	}()
	return f
}

func (f *fakeUpstream) record(format string, args ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.received = append(f.received, fmt.Sprintf(format, args...))
}

// count returns the number of recorded lines that contain a text.
func (f *fakeUpstream) count(text string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n := 0
	for _, line := range f.received {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

func (f *fakeUpstream) serve(socket net.Conn) {
	defer socket.Close()
	backend := pgproto3.NewBackend(socket, socket)
	startup, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if cancel, ok := startup.(*pgproto3.CancelRequest); ok {
		f.record("cancel")
		f.mutex.Lock()
		f.cancelled[cancel.ProcessID] = true
		f.mutex.Unlock()
		close(f.release)
		return
	}
	f.record("startup %v", startup.(*pgproto3.StartupMessage).Parameters)
	backend.Send(&pgproto3.AuthenticationOk{})
	f.mutex.Lock()
	f.sessions++
	id := f.sessions
	f.mutex.Unlock()
	backend.Send(&pgproto3.BackendKeyData{ProcessID: id, SecretKey: []byte{1, 2, 3, 4}})
	s := fakeSession{id: id, fake: f, backend: backend, status: 'I', sql: map[string]string{}}
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for backend.Flush() == nil {
		message, err := backend.Receive()
		if err != nil || !s.handle(message) {
			return
		}
	}
}

type fakeSession struct {
	id      uint32
	fake    *fakeUpstream
	backend *pgproto3.Backend
	status  byte
	sql     map[string]string
	portal  string
	wrote   bool
}

func (s *fakeSession) handle(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Query:
		if strings.HasPrefix(m.String, "select") {
			s.backend.Send(row())
		}
		if !s.execute(m.String) {
			return false
		}
		s.ready()
	case *pgproto3.Parse:
		s.fake.record("parse %s", m.Query)
		s.sql[m.Name] = m.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		s.portal = s.sql[m.PreparedStatement]
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			s.backend.Send(&pgproto3.ParameterDescription{})
		}
		s.backend.Send(row())
	case *pgproto3.Execute:
		return s.execute(s.portal)
	case *pgproto3.Sync:
		s.ready()
	}
	return true
}

func row() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}}}
}

// execute runs one statement and reports whether the connection stays open.
func (s *fakeSession) execute(sql string) bool {
	s.fake.record("run %s", sql)
	if s.fake.wasCancelled(s.id) {
		s.fake.record("reused after cancel")
	}
	word, _, _ := strings.Cut(strings.ToLower(sql), " ")
	switch word {
	case "begin":
		s.status = 'T'
	case "commit":
		s.status = 'I'
	case "rollback":
		s.status = 'I'
		s.wrote = false
	case "insert":
		if s.fake.isReadOnly() {
			s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "25006", Message: "read-only"})
			return true
		}
		s.wrote = true
	case "die":
		return false
	case "select":
		if strings.Contains(sql, "bill") {
			return s.bill()
		}
		if strings.Contains(sql, "slow") {
			<-s.fake.release
		}
		s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(sql)}})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(strings.ToUpper(word) + " 1")})
	return true
}

// bill runs a function that writes: a read-only upstream rejects it, and any other loses the connection while it runs.
func (s *fakeSession) bill() bool {
	if s.fake.isReadOnly() {
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "25006", Message: "read-only"})
		return true
	}
	s.fake.record("billed")
	return false
}

func (f *fakeUpstream) wasCancelled(id uint32) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.cancelled[id]
}

func (f *fakeUpstream) isReadOnly() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.readOnly
}

func (f *fakeUpstream) setReadOnly(readOnly bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.readOnly = readOnly
}

func (s *fakeSession) ready() {
	if s.wrote && s.status == 'I' {
		s.wrote = false
		s.fake.mutex.Lock()
		s.fake.lsn++
		position := ident.Position{Term: 1, LSN: ident.LSN(s.fake.lsn)}.String()
		if s.fake.badPosition != "" {
			position = s.fake.badPosition
		}
		s.fake.mutex.Unlock()
		s.backend.Send(&pgproto3.ParameterStatus{Name: "tamarack.position", Value: position})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
}

// fakeDependencies implements the View, Chooser, Quota and Ack of entry.Options.
type fakeDependencies struct {
	mutex     sync.Mutex
	view      *member.View
	acked     []ident.Position
	ackError  error
	rejection *sqlstate.Rejection
	// choosing and taking, if not nil, are called before an upstream is chosen and a token is taken.
	choosing, taking func(ctx context.Context)
}

func (p *fakeDependencies) View() *member.View {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.view
}

func (p *fakeDependencies) updateView(change func(v *member.View)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	copied := *p.view
	change(&copied)
	p.view = &copied
}

func (p *fakeDependencies) setChoosing(choosing func(ctx context.Context)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.choosing = choosing
}

func (p *fakeDependencies) setTaking(taking func(ctx context.Context)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.taking = taking
}

// setDeadline sets the deadline of the service's statements.
func (p *fakeDependencies) setDeadline(deadline time.Duration) {
	p.updateView(func(v *member.View) {
		v.Services = map[ident.Service]*fleetpb.Service{testService: {Name: testService, Deadline: durationpb.New(deadline)}}
	})
}

// wait calls choosing or taking, and returns the error of ctx if it has ended then.
func (p *fakeDependencies) wait(ctx context.Context, of func(p *fakeDependencies) func(ctx context.Context)) error {
	p.mutex.Lock()
	call := of(p)
	p.mutex.Unlock()
	if call != nil {
		call(ctx)
	}
	return ctx.Err()
}

func (p *fakeDependencies) choose(ctx context.Context, s ident.Service) (entry.Choice, error) {
	err := p.wait(ctx, func(p *fakeDependencies) func(ctx context.Context) { return p.choosing })
	return entry.Choice{Target: member.Target{Service: s, Upstream: "u1"}}, err
}

func (p *fakeDependencies) Read(ctx context.Context, s ident.Session) (entry.Choice, error) {
	return p.choose(ctx, s.Service)
}

func (p *fakeDependencies) Primary(ctx context.Context, s ident.Service) (entry.Choice, error) {
	return p.choose(ctx, s)
}

func (p *fakeDependencies) Avoid(member.Target) {}

func (p *fakeDependencies) Take(ctx context.Context, _ ident.Team) error {
	if err := p.wait(ctx, func(p *fakeDependencies) func(ctx context.Context) { return p.taking }); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.rejection == nil {
		return nil
	}
	return p.rejection
}

func (p *fakeDependencies) reject(rejection *sqlstate.Rejection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rejection = rejection
}

func (p *fakeDependencies) Acknowledge(_ context.Context, _ ident.Session, position ident.Position) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.acked = append(p.acked, position)
	return p.ackError
}

type fixture struct {
	upstream *fakeUpstream
	deps     *fakeDependencies
	server   *entry.Server
	address  string
	keys     []*fleetpb.KeyEntry
	clock    *clock.Clock
}

func newFixture(t testing.TB) *fixture {
	return newFixtureWith(t, func(*entry.Options) {})
}

// newFixtureWith starts a server with the options as changed by configure.
func newFixtureWith(t testing.TB, configure func(*entry.Options)) *fixture {
	f := &fixture{upstream: newFakeUpstream(t)}
	keys := key.NewTable()
	written, err := key.Parse(testKey)
	require.NoError(t, err)
	hash := written.Hash()
	f.keys = []*fleetpb.KeyEntry{{Id: "k1", Team: "members", Hash: hash[:]}}
	keys.Update(&fleetpb.State{Full: true, Keys: f.keys})
	target := member.Target{Service: testService, Upstream: "u1"}
	service := &fleetpb.Service{Name: testService, Deadline: durationpb.New(20 * time.Second)}
	f.deps = &fakeDependencies{view: &member.View{
		Text:     &fleetpb.Text{},
		Services: map[ident.Service]*fleetpb.Service{testService: service},
		Routes: map[ident.Route]member.Route{
			testService: {Service: testService},
			"stock":     {Service: testService, Open: true, ReadOnly: true, Team: "public"},
		},
		Groups: map[ident.Service]*fleetpb.Group{testService: {
			Service: testService, Primary: "u1", Term: 1,
			Members: []*fleetpb.Member{{Upstream: "u1", Address: f.upstream.listener.Addr().String()}},
		}},
		Keys:       keys,
		Allotments: map[member.Target]int{target: 2},
		Announced:  map[member.Target]bool{target: true},
		Expires:    ident.Time(time.Hour),
	}}
	f.clock = clock.New()
	var pool *upstream.Pool
	pool = upstream.NewPool(upstream.Options{
		Credential: upstream.Credential{User: "fleet", Password: "fleet-password"}, Clock: f.clock, View: f.deps.View,
		SyncNow: func() { go f.allot(pool) },
	})
	options := entry.Options{
		Settings: &fleetpb.HostSettings{Caller: "127.0.0.1:0", Zone: "z1", Notice: durationpb.New(0)},
		Clock:    f.clock, View: f.deps.View, Chooser: f.deps, Quota: f.deps, Ack: f.deps, Pool: pool,
	}
	configure(&options)
	server, err := entry.New(options)
	require.NoError(t, err)
	f.server = server
	_, port, err := net.SplitHostPort(server.Addr().String())
	require.NoError(t, err)
	f.address = net.JoinHostPort("127.0.0.1", port)
	server.Start()
	return f
}

// allot applies the allotment of connections to the pool, as the next sync does.
func (f *fixture) allot(pool *upstream.Pool) {
	pool.Report(&fleetpb.SyncRequest{})
	pool.Adopt(f.deps.View())
}

func (f *fixture) connect(t testing.TB, database, key, options string) *pgx.Conn {
	url := fmt.Sprintf("postgres://anna:%s@%s/%s?sslmode=disable%s", key, f.address, database, options)
	conn, err := pgx.Connect(t.Context(), url)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}
