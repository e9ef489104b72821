package upstream_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/upstream"
)

// maxWait bounds waits for events that must occur; no test depends on its value.
const maxWait = 20 * time.Second

var target = member.Target{Service: "orders", Upstream: "o1"}

// fakeServer is an upstream that accepts every statement and records it with the number of its connection.
type fakeServer struct {
	address  string
	mutex    sync.Mutex
	received []string
	sockets  map[int]net.Conn
	lastID   int
	maxOpen  int
}

func newServer(t *testing.T) *fakeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fakeServer{address: listener.Addr().String(), sockets: make(map[int]net.Conn)}
	t.Cleanup(func() {
		listener.Close()
		s.closeAll()
	})
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(socket)
		}
	}()
	return s
}

func (s *fakeServer) serve(socket net.Conn) {
	defer socket.Close()
	backend := pgproto3.NewBackend(socket, socket)
	startup, err := backend.ReceiveStartupMessage()
	if _, ok := startup.(*pgproto3.StartupMessage); err != nil || !ok {
		return
	}
	id := s.add(socket)
	defer s.remove(id)
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: uint32(id), SecretKey: []byte{1, 2, 3, 4}})
	status := byte('I')
	for {
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		if backend.Flush() != nil {
			return
		}
		message, err := backend.Receive()
		query, ok := message.(*pgproto3.Query)
		if err != nil || !ok {
			return
		}
		s.record(id, query.String)
		if query.String == "BEGIN" {
			status = 'T'
		}
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("OK")})
	}
}

func (s *fakeServer) add(socket net.Conn) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	s.sockets[s.lastID] = socket
	s.maxOpen = max(s.maxOpen, len(s.sockets))
	return s.lastID
}

func (s *fakeServer) remove(id int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sockets, id)
}

func (s *fakeServer) record(id int, sql string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.received = append(s.received, fmt.Sprintf("%d %s", id, sql))
}

func (s *fakeServer) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, socket := range s.sockets {
		socket.Close()
	}
}

func (s *fakeServer) statements() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.received)
}

// openCounts returns the number of open connections, and the maximum that were open at the same time.
func (s *fakeServer) openCounts() (now, maximum int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.sockets), s.maxOpen
}

// view returns a view in which the server is the member o1 of its group.
func view(address string, connections int, change func(*member.View)) *member.View {
	v := &member.View{
		Groups: map[ident.Service]*fleetpb.Group{"orders": {Service: "orders", Term: 1, Primary: "o1", Members: []*fleetpb.Member{
			{Upstream: "o1", Address: address},
		}}},
		Announced:  map[member.Target]bool{target: true},
		Allotments: map[member.Target]int{target: connections},
	}
	if change != nil {
		change(v)
	}
	return v
}

// newPool returns a pool without allotments.
func newPool(t *testing.T, address string) *upstream.Pool {
	v := view(address, 0, nil)
	p := upstream.NewPool(upstream.Options{Clock: clock.New(), View: func() *member.View { return v }, SyncNow: func() {}})
	t.Cleanup(p.Close)
	return p
}

// acquire gets the first connection. The call creates the upstream's targetPool, whose allotment comes with the next view.
func acquire(t *testing.T, p *upstream.Pool, v *member.View) *upstream.Conn {
	t.Helper()
	result := startAcquire(t.Context(), p)
	require.Eventually(t, func() bool { return p.Outstanding(target) > 0 }, maxWait, time.Millisecond)
	p.Adopt(v)
	got := <-result
	require.NoError(t, got.err)
	return got.conn
}

type acquired struct {
	conn *upstream.Conn
	err  error
}

func startAcquire(ctx context.Context, p *upstream.Pool) <-chan acquired {
	result := make(chan acquired, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, maxWait)
		defer cancel()
		conn, err := p.Acquire(ctx, target, "brno")
		result <- acquired{conn, err}
	}()
	return result
}

// Guards against a caller that gets a connection with the session state, the open transaction or the late cancel request of
// the previous caller.
func TestReusedConnectionIsClean(t *testing.T) {
	tests := []struct {
		name string
		use  func(t *testing.T, conn *upstream.Conn)
		want []string
	}{
		{"clean", func(*testing.T, *upstream.Conn) {}, []string{"1 SELECT 1"}},
		{"session state", func(_ *testing.T, conn *upstream.Conn) { conn.MarkDirty() }, []string{"1 DISCARD ALL", "1 SELECT 1"}},
		{"settings", func(t *testing.T, conn *upstream.Conn) {
			require.NoError(t, conn.Configure([]string{"SET a=1"}, "a=1"))
		}, []string{"1 DISCARD ALL", "1 SET a=1", "1 DISCARD ALL", "1 SELECT 1"}},
		{"prepared statements", func(_ *testing.T, conn *upstream.Conn) {
			for i := range 600 {
				conn.NotePrepared(fmt.Sprint(i))
			}
		}, []string{"1 DISCARD ALL", "1 SELECT 1"}},
		{
			"open transaction", func(t *testing.T, conn *upstream.Conn) { require.NoError(t, conn.Exec("BEGIN")) },
			[]string{"1 BEGIN", "2 SELECT 1"},
		},
		{"cancel request", func(t *testing.T, conn *upstream.Conn) {
			statement := conn.StartStatement()
			require.NoError(t, statement.Cancel(t.Context()))
			statement.End()
		}, []string{"2 SELECT 1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			p := newPool(t, s.address)
			conn := acquire(t, p, view(s.address, 1, nil))
			tt.use(t, conn)
			p.Release(target, conn)
			got := <-startAcquire(t.Context(), p)
			require.NoError(t, got.err)
			require.False(t, got.conn.Dirty())
			require.NoError(t, got.conn.Exec("SELECT 1"))
			require.Equal(t, tt.want, s.statements())
			p.Release(target, got.conn)
		})
	}
}

// Guards against a statement that is lost because it was sent on a connection that the upstream had closed while idle.
func TestClosedConnectionIsNotHandedOut(t *testing.T) {
	s := newServer(t)
	p := newPool(t, s.address)
	first := acquire(t, p, view(s.address, 1, nil))
	p.Release(target, first)
	s.closeAll()
	require.Eventually(t, func() bool { return !first.Usable() }, maxWait, time.Millisecond)
	got := <-startAcquire(t.Context(), p)
	require.NoError(t, got.err)
	require.NotSame(t, first, got.conn)
	require.NoError(t, got.conn.Exec("SELECT 1"))
	p.Release(target, got.conn)
}

// Guards against queued work that runs on an upstream whose role has changed since it was chosen, and against work that
// fails after an unrelated change.
func TestQueuedWorkFailsWhenUpstreamChangesRole(t *testing.T) {
	tests := []struct {
		name   string
		change func(*member.View)
		moved  bool
	}{
		{"primary", func(v *member.View) { v.Groups["orders"].Primary = "o2" }, true},
		{"term", func(v *member.View) { v.Groups["orders"].Term = 2 }, true},
		{"announcement", func(v *member.View) { v.Announced = nil }, true},
		{"address", func(v *member.View) { v.Groups["orders"].Members[0].Address = "127.0.0.1:1" }, true},
		{"lease", func(v *member.View) { *v = member.View{} }, true},
		{"other group", func(v *member.View) { v.Groups["dues"] = &fleetpb.Group{Term: 7} }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			p := newPool(t, s.address)
			conn := acquire(t, p, view(s.address, 1, nil))
			waiting := startAcquire(t.Context(), p)
			require.Eventually(t, func() bool { return p.Outstanding(target) == 2 }, maxWait, time.Millisecond)
			p.Adopt(view(s.address, 1, tt.change))
			if tt.moved {
				var moved *upstream.MovedError
				require.ErrorAs(t, (<-waiting).err, &moved)
				p.Release(target, conn)
				return
			}
			require.Equal(t, 2, p.Outstanding(target))
			p.Release(target, conn)
			got := <-waiting
			require.Same(t, conn, got.conn)
			p.Release(target, got.conn)
		})
	}
}

// Guards against a statement that runs on the machine that had an upstream's name before: an upstream that is replaced announces
// itself at another address, while the earlier machine may still answer with old data.
func TestConnectionsToAnEarlierAddressAreNotUsed(t *testing.T) {
	for _, idle := range []bool{true, false} {
		t.Run(fmt.Sprintf("idle %t", idle), func(t *testing.T) {
			earlier, current := newServer(t), newServer(t)
			var adopted atomic.Pointer[member.View]
			adopted.Store(view(earlier.address, 1, nil))
			p := upstream.NewPool(upstream.Options{Clock: clock.New(), View: adopted.Load, SyncNow: func() {}})
			t.Cleanup(p.Close)
			conn := acquire(t, p, adopted.Load())
			if idle {
				p.Release(target, conn)
			}
			adopted.Store(view(current.address, 1, nil))
			p.Adopt(adopted.Load())
			if !idle {
				// A transaction that is open when the address changes ends on its connection.
				require.NoError(t, conn.Exec("COMMIT"))
				p.Release(target, conn)
			}
			got := <-startAcquire(t.Context(), p)
			require.NoError(t, got.err)
			require.NoError(t, got.conn.Exec("SELECT 1"))
			p.Release(target, got.conn)
			require.NotContains(t, earlier.statements(), "1 SELECT 1")
			require.Equal(t, []string{"1 SELECT 1"}, current.statements())
		})
	}
}

// Guards against a connection that leaks when its caller cancels while it waits, or at the moment of the assignment.
func TestCancelledAcquireReturnsConnection(t *testing.T) {
	s := newServer(t)
	p := newPool(t, s.address)
	conn := acquire(t, p, view(s.address, 1, nil))
	ctx, cancel := context.WithCancel(t.Context())
	waiting := startAcquire(ctx, p)
	require.Eventually(t, func() bool { return p.Outstanding(target) == 2 }, maxWait, time.Millisecond)
	cancel()
	require.ErrorIs(t, (<-waiting).err, context.Canceled)
	require.Equal(t, 1, p.Outstanding(target))
	p.Release(target, conn)
	// In each call both a connection and the cancelled context are ready, and select takes either one.
	for range 100 {
		got, err := p.Acquire(ctx, target, "brno")
		if err == nil {
			p.Release(target, got)
		}
		require.Zero(t, p.Outstanding(target))
	}
	got := <-startAcquire(t.Context(), p)
	require.Same(t, conn, got.conn)
	p.Release(target, got.conn)
}

// Guards against more open connections than the leader allots, also after it lowers the number or the lease ends.
func TestAllotmentBoundsConnections(t *testing.T) {
	s := newServer(t)
	p := newPool(t, s.address)
	first := acquire(t, p, view(s.address, 2, nil))
	// Both connections are in use at once, so the second one is open before the load begins, however slowly it opens.
	second := <-startAcquire(t.Context(), p)
	require.NoError(t, second.err)
	p.Release(target, first)
	p.Release(target, second.conn)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 20 {
				got := <-startAcquire(t.Context(), p)
				if got.err != nil || got.conn.Exec("SELECT 1") != nil {
					t.Error("no connection", got.err)
					return
				}
				p.Release(target, got.conn)
			}
		})
	}
	group.Wait()
	_, maximum := s.openCounts()
	require.Equal(t, 2, maximum)
	for _, allotted := range []int{1, 0} {
		p.Adopt(view(s.address, allotted, nil))
		require.Eventually(t, func() bool {
			now, _ := s.openCounts()
			return now == allotted
		}, maxWait, time.Millisecond)
	}
}

// Guards against work that waits until its deadline at an upstream that refuses connections.
func TestRefusedConnectionFailsQueuedWork(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	p := newPool(t, address)
	waiting := []<-chan acquired{startAcquire(t.Context(), p), startAcquire(t.Context(), p), startAcquire(t.Context(), p)}
	require.Eventually(t, func() bool { return p.Outstanding(target) == 3 }, maxWait, time.Millisecond)
	p.Adopt(view(address, 2, nil))
	for _, result := range waiting {
		var refused *upstream.ConnectError
		require.ErrorAs(t, (<-result).err, &refused)
	}
}

// Guards against a cancel request that ends another caller's statement: it may be handled after the statement that it is for has
// ended and the connection runs the next one.
func TestLateCancelSparesTheNextStatement(t *testing.T) {
	s := newServer(t)
	p := newPool(t, s.address)
	conn := acquire(t, p, view(s.address, 1, nil))
	first := conn.StartStatement()
	first.End()
	next := conn.StartStatement()
	require.NoError(t, first.Cancel(t.Context()))
	require.False(t, conn.Stale(), "a cancel request was sent")
	require.NoError(t, next.Cancel(t.Context()))
	require.True(t, conn.Stale(), "no cancel request was sent")
	next.End()
	p.Release(target, conn)
}
