package member

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/key"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/peer"
)

const (
	// syncInterval is the time between syncs; a lease of 2 s survives seven lost ones.
	syncInterval = 250 * time.Millisecond
	// syncTimeout ends a sync with a silent control host early enough to try the others within the lease.
	syncTimeout = 400 * time.Millisecond
	// goneTimeout bounds the last sync of a host that shuts down.
	goneTimeout = time.Second
)

// Report adds to a sync what this host has to say.
type Report interface {
	// Report fills the request's observations, demand and tallies.
	Report(request *fleetpb.SyncRequest)
}

// Options holds what New needs.
type Options struct {
	Settings *fleetpb.HostSettings
	// Peers carries calls to control hosts.
	Peers       *peer.Network
	Incarnation ident.Incarnation
	Clock       *clock.Clock
	Reports     []Report
	// Adopted is called with each new view before the next sync reports its epoch as adopted.
	Adopted func(*View)
	// Expired is called once when the lease ends.
	Expired func()
}

// Member is the part of a host that syncs with the control leader.
type Member struct {
	opts    Options
	control []string
	next    int
	leader  atomic.Value
	view    atomic.Pointer[View]
	syncNow chan struct{}
	changed atomic.Pointer[chan struct{}]
	leaving atomic.Bool
	stop    context.CancelFunc
	done    chan struct{}
	clients map[string]fleetpb.Control
	serving bool
}

// New starts syncing; Close ends it.
func New(opts Options) *Member {
	ctx, stop := context.WithCancel(context.Background())
	m := &Member{
		opts:    opts,
		syncNow: make(chan struct{}, 1),
		stop:    stop,
		done:    make(chan struct{}),
		clients: make(map[string]fleetpb.Control),
	}
	m.leader.Store("")
	for _, host := range opts.Settings.GetControl() {
		m.control = append(m.control, host.GetPeer())
	}
	m.view.Store(&View{Keys: key.NewTable()})
	changed := make(chan struct{})
	m.changed.Store(&changed)
	go m.run(ctx)
	return m
}

// View returns the current copy; callers check its validity at the time they act.
func (m *Member) View() *View {
	return m.view.Load()
}

// Changed returns a channel that is closed when the next view arrives.
func (m *Member) Changed() <-chan struct{} {
	return *m.changed.Load()
}

// SyncNow makes the next sync happen at once.
func (m *Member) SyncNow() {
	select {
	case m.syncNow <- struct{}{}:
	default:
	}
}

// Leave makes further syncs say that this host is leaving.
func (m *Member) Leave() {
	m.leaving.Store(true)
	m.SyncNow()
}

// Close tells the leader that the host has gone and ends syncing.
func (m *Member) Close() {
	m.stop()
	<-m.done
}

// Done is closed when syncing has ended.
func (m *Member) Done() <-chan struct{} {
	return m.done
}

func (m *Member) run(ctx context.Context) {
	defer close(m.done)
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		m.sync(ctx)
		select {
		case <-ctx.Done():
			m.sayGone()
			return
		case <-ticker.C:
		case <-m.syncNow:
		}
	}
}

func (m *Member) request() *fleetpb.SyncRequest {
	view := m.View()
	s := m.opts.Settings
	request := &fleetpb.SyncRequest{
		Host:         s.GetHost(),
		Incarnation:  uint64(m.opts.Incarnation),
		Zone:         s.GetZone(),
		Region:       s.GetRegion(),
		Peer:         s.GetPeer(),
		Known:        uint64(view.Version),
		AdoptedEpoch: view.Keepers.GetEpoch(),
		Leaving:      m.leaving.Load(),
		ControlOnly:  s.GetCaller() == "",
		Digest:       view.Digest,
	}
	for _, report := range m.opts.Reports {
		report.Report(request)
	}
	return request
}

// sync calls the leader, or each control host in turn when the leader is not known.
func (m *Member) sync(ctx context.Context) {
	for range len(m.control) + 1 {
		address := m.Leader()
		if address == "" {
			address = m.control[m.next%len(m.control)]
			m.next++
		}
		sent := m.opts.Clock.Now()
		call, cancel := context.WithTimeout(ctx, syncTimeout)
		answer, err := m.client(address).Sync(call, m.request())
		cancel()
		if ctx.Err() != nil {
			// Close has ended the call, so it says nothing of the leader, which the last sync goes to.
			return
		}
		if err != nil {
			m.leader.Store("")
			m.noteExpiry()
			continue
		}
		if answer.GetState() == nil && answer.GetLeaseMs() == 0 {
			m.leader.Store(answer.GetLeader())
			continue
		}
		m.leader.Store(address)
		m.adopt(answer, sent)
		return
	}
	m.noteExpiry()
}

func (m *Member) adopt(answer *fleetpb.SyncResponse, sent ident.Time) {
	lease := time.Duration(answer.GetLeaseMs()) * time.Millisecond
	view := m.View().next(answer, sent.Add(lease))
	// Work that Adopted makes choose again must not find the view before.
	m.view.Store(view)
	m.opts.Adopted(view)
	fresh := make(chan struct{})
	close(*m.changed.Swap(&fresh))
	if !m.serving && view.Valid(m.opts.Clock.Now()) {
		m.serving = true
		klog.InfoS("lease granted, serving", "host", m.opts.Settings.GetHost(), "version", view.Version)
	}
}

// noteExpiry reports and logs once that the lease has ended. It runs after each failed call: trying all silent control
// hosts takes longer, and the leader gives this host's connections to others from the lease end on.
func (m *Member) noteExpiry() {
	if m.serving && !m.View().Valid(m.opts.Clock.Now()) {
		m.serving = false
		m.opts.Expired()
		klog.InfoS("lease ended, rejecting requests", "host", m.opts.Settings.GetHost())
	}
}

func (m *Member) sayGone() {
	leader := m.Leader()
	if leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), goneTimeout)
	defer cancel()
	request := m.request()
	request.Gone = true
	if _, err := m.client(leader).Sync(ctx, request); err != nil {
		klog.InfoS("last sync failed, the lease will expire", "err", err)
	}
}

// Leader returns the peer address of the control leader as of the last sync, or "" when none is known.
func (m *Member) Leader() string {
	return m.leader.Load().(string)
}

// client returns the client for a control host; only the sync loop calls it.
func (m *Member) client(address string) fleetpb.Control {
	if client, found := m.clients[address]; found {
		return client
	}
	peers := m.opts.Peers
	client := fleetpb.NewControlProtobufClient(peers.URL(address), peers.Client(goneTimeout))
	m.clients[address] = client
	return client
}

func parseTarget(name string) Target {
	service, upstream, _ := strings.Cut(name, "/")
	return Target{ident.Service(service), ident.Upstream(upstream)}
}
