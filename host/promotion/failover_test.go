package promotion_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/failover"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/observer"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/promotion"
	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/server"
)

const (
	password = "secret"
	// waitLimit is the longest wait for a condition; no test depends on its length.
	waitLimit = 20 * time.Second
)

// upstream is a stand-in database that runs in the test's process.
type upstream struct {
	member failover.Member
	faults *server.Faults
	ledger *ledger.Ledger
	server *server.Server
}

// setFaults sets faults of the upstream, given as form values.
func (u upstream) setFaults(t *testing.T, form string) {
	t.Helper()
	values, err := url.ParseQuery(form)
	require.NoError(t, err)
	request := httptest.NewRequest("POST", "/", strings.NewReader(values.Encode()))
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	answer := httptest.NewRecorder()
	u.faults.ServeHTTP(answer, request)
	require.Equal(t, 200, answer.Code)
}

// fleet is a simulated control log with one member, three observers and three upstreams.
type fleet struct {
	mu        sync.Mutex
	group     *failover.Group
	runner    *promotion.Runner
	start     time.Time
	control   failover.Control
	base      ident.Position
	changed   chan struct{}
	observers []*observer.Observer
	client    fleetpb.Observer
	upstreams map[ident.Upstream]upstream
}

func (f *fleet) Groups() []observer.Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := observer.Group{Service: "ledger", Size: 3, Term: f.control.Term, Primary: f.control.Primary, Base: f.base}
	for _, m := range f.control.Members {
		g.Members = append(g.Members, observer.Member{Upstream: m.Upstream, Address: m.Address})
	}
	return []observer.Group{g}
}

func (f *fleet) Hosts() []observer.Host {
	return []observer.Host{{ID: "h1", Zone: "z1"}, {ID: "h2", Zone: "z2"}, {ID: "h3", Zone: "z3"}}
}

func (f *fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fleet) step(event failover.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stepLocked(event)
}

// stepLocked steps the group and executes the resulting actions. The lock is held, and changes to the control log are committed
// at once.
func (f *fleet) stepLocked(event failover.Event) {
	for _, a := range f.group.Step(ident.Time(time.Since(f.start)), event) {
		switch a := a.(type) {
		case failover.ProposeAttempt:
			f.control.Attempt = a.Term
			f.stepLocked(failover.AttemptCommitted{Term: a.Term})
		case failover.ProposePromoted:
			f.control.Term, f.control.Primary = a.Term, a.Upstream
			f.base = a.Base
			f.stepLocked(failover.PromotionCommitted{Term: a.Term, Upstream: a.Upstream})
		case failover.ProposeJoin:
			f.control.Members = append(f.control.Members, a.Member)
		default:
			f.runner.Do("ledger", a)
			continue
		}
		close(f.changed)
		f.changed = make(chan struct{})
		f.stepLocked(f.control)
	}
}

func (f *fleet) primary() upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[f.control.Primary]
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		group: failover.New(failover.Options{Service: "ledger", Seed: 1}), start: time.Now(),
		control: failover.Control{Size: 3}, changed: make(chan struct{}), upstreams: map[ident.Upstream]upstream{},
	}
	f.runner = promotion.New(promotion.Options{User: "tamarack", Password: password, Deliver: func(_ ident.Service, a failover.Answer) {
		f.step(a)
	}})
	t.Cleanup(f.runner.Close)
	for i, name := range []ident.Upstream{"a", "b", "c"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		u := upstream{
			member: failover.Member{Upstream: name, Address: listener.Addr().String(), Zone: ident.Zone(fmt.Sprintf("z%d", i+1))},
			faults: server.NewFaults(0), ledger: ledger.New(nil, nil),
		}
		s := server.New(server.Options{
			Upstream: string(name), User: "tamarack", Password: password, Slots: 2, Connections: 20, Ledger: u.ledger, Faults: u.faults,
		})
		go func() { _ = s.Serve(listener) }()
		t.Cleanup(s.Close)
		u.server = s
		f.upstreams[name] = u
	}
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	peers := peer.New(peer.Options{Secret: password})
	for _, h := range f.Hosts() {
		o := observer.New(observer.Options{Self: h.ID, Fleet: f, User: "tamarack", Password: password, Peers: peers})
		f.observers = append(f.observers, o)
		goroutines.Go(func() { o.Run(ctx) })
	}
	goroutines.Go(func() { f.sync(ctx) })
	t.Cleanup(func() { cancel(); goroutines.Wait() })
	peer := httptest.NewServer(f.observers[0].Handler())
	t.Cleanup(peer.Close)
	f.client = fleetpb.NewObserverProtobufClient(peer.URL, peer.Client())
	f.step(f.control)
	return f
}

// sync passes announcements and observations to the group every 50 ms until the context ends.
func (f *fleet) sync(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, u := range f.upstreams {
			f.step(failover.Announced{Member: u.member, Lease: 3 * time.Second})
		}
		for i, h := range f.Hosts() {
			for _, o := range f.observers[i].Observed() {
				f.step(failover.ObservedOf(h.ID, h.Zone, o))
			}
		}
		f.step(failover.Tick{})
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// write inserts an order at the primary and waits until a majority holds it. It retries when the upstream rejects the insert
// with SQLSTATE 25006, since the insert did not run then.
func (f *fleet) write(ctx context.Context, id string) error {
	for ctx.Err() == nil {
		err := f.tryWrite(ctx, id)
		var failure *pgconn.PgError
		if err == nil || !errors.As(err, &failure) || failure.Code != "25006" {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return ctx.Err()
}

// tryWrite makes one attempt at a write.
func (f *fleet) tryWrite(ctx context.Context, id string) error {
	address := f.primary().member.Address
	conn, err := pgconn.Connect(ctx, "postgres://tamarack:"+password+"@"+address+"/ledger?sslmode=disable")
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO orders VALUES ('"+id+"', 'noc', 'eva', '')").ReadAll()
	if err != nil {
		return err
	}
	p, err := ident.ParsePosition(conn.ParameterStatus("tamarack.position"))
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		answer, err := f.client.Positions(f.authorized(ctx, password), &fleetpb.PositionsRequest{
			Service: "ledger", Wanted: &fleetpb.Position{Term: uint64(p.Term), Lsn: uint64(p.LSN)}, WaitMs: 100,
		})
		if err != nil {
			return err
		}
		held := group.PositionsOf(answer)
		if held.Holds(p) {
			return nil
		}
		if held.Lost(p) {
			return errors.New("the term ended before a majority held the write")
		}
	}
	return ctx.Err()
}

// authorized returns a context whose calls send a fleet secret.
func (f *fleet) authorized(ctx context.Context, secret string) context.Context {
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {"Bearer " + secret}})
	if err != nil {
		panic(err)
	}
	return ctx
}

// requireInSync waits until the first observer confirms the current primary and sees all three upstreams at the same position.
func (f *fleet) requireInSync(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		p, ok := f.observers[0].Positions("ledger")
		return ok && p.Confirmed && p.Term == f.primary().ledger.State().Term && len(p.Held) == 3 && p.Held[0].Reachable &&
			p.Held[1].Position == p.Current && p.Held[2].Position == p.Current && p.Held[0].Position == p.Current
	}, waitLimit, 10*time.Millisecond)
}

// Guards against a stalled primary that is not replaced, or whose unacknowledged writes reappear after it recovers.
func TestStalledPrimaryIsReplaced(t *testing.T) {
	f := newFleet(t)
	f.requireInSync(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	require.NoError(t, f.write(ctx, "before"))
	old := f.primary()
	old.setFaults(t, "out=true")
	short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	require.Error(t, f.write(short, "alone"), "no majority holds the write")
	old.setFaults(t, "stall=true")
	require.Eventually(t, func() bool { return f.primary().member != old.member }, waitLimit, 10*time.Millisecond)
	require.NoError(t, f.write(ctx, "after"))
	require.True(t, old.ledger.State().Primary, "the stalled primary is not yet demoted")

	old.setFaults(t, "stall=false&out=false")
	f.requireInSync(t)
	require.False(t, old.ledger.State().Primary)
	require.Equal(t, f.primary().ledger.Ends(), old.ledger.Ends(), "the old primary must truncate the write that only it holds")
}

// Guards invariants 8 and 10: writes that run while an availability zone is taken out of service must all succeed, exactly
// once each.
func TestZoneOutFailsNoWrite(t *testing.T) {
	f := newFleet(t)
	f.requireInSync(t)
	old := f.primary()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var writers sync.WaitGroup
	failed := make(chan error, 400)
	for w := range 4 {
		writers.Go(func() {
			for i := range 50 {
				if err := f.write(ctx, fmt.Sprintf("w%d-%d", w, i)); err != nil {
					failed <- err
				}
			}
		})
	}
	f.step(failover.Zones{Out: []ident.Zone{old.member.Zone}})
	writers.Wait()
	close(failed)
	for err := range failed {
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return f.primary().member != old.member }, waitLimit, 10*time.Millisecond)
	f.requireInSync(t)
	require.Equal(t, old.ledger.Ends(), f.primary().ledger.Ends())
}

// Guards against a stopped primary that is not reported as refusing connections, which would delay every failover.
// The observers must also ask for a sync at once.
func TestStoppedPrimaryIsReportedAtOnce(t *testing.T) {
	f := newFleet(t)
	f.requireInSync(t)
	old := f.primary()
	old.server.Close()
	for _, o := range f.observers {
		select {
		case <-o.SyncNeeded():
		case <-time.After(waitLimit):
			require.Fail(t, "no observer reported the refused connection")
		}
	}
	require.Eventually(t, func() bool { return f.primary().member != old.member }, waitLimit, 10*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	require.NoError(t, f.write(ctx, "after"))
}

// Guards against positions that are returned without the fleet secret, and against a fresh position older than its request. A
// keeper would use it as the position of sessions without a record, although it may be below their acknowledged writes.
func TestPositionsAreAuthenticatedAndFresh(t *testing.T) {
	f := newFleet(t)
	f.requireInSync(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	request := &fleetpb.PositionsRequest{Service: "ledger", Fresh: true, WaitMs: 9000}
	_, err := f.client.Positions(f.authorized(ctx, "wrong"), request)
	require.Error(t, err)
	require.NoError(t, f.write(ctx, "before"))
	written := f.primary().ledger.State().Last
	answer, err := f.client.Positions(f.authorized(ctx, password), request)
	require.NoError(t, err)
	require.True(t, answer.GetConfirmed())
	require.GreaterOrEqual(t, answer.GetCurrent().GetLsn(), uint64(written.LSN))
}

// Guards against a frozen upstream that delays requests to the others, and against an answer that never arrives and keeps the
// group from recovering.
func TestFrozenUpstreamDoesNotBlockOthers(t *testing.T) {
	f := newFleet(t)
	f.requireInSync(t)
	frozen := f.primary()
	frozen.setFaults(t, "freeze=true")
	require.Eventually(t, func() bool { return f.primary().member != frozen.member }, waitLimit, 10*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	require.NoError(t, f.write(ctx, "after"))
	var observed *fleetpb.Observed
	for _, o := range f.observers[1].Observed() {
		if o.GetUpstream() == string(frozen.member.Upstream) {
			observed = o
		}
	}
	require.False(t, observed.GetRefused())
	frozen.setFaults(t, "freeze=false")
	f.requireInSync(t)
}
