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
	// syncInterval is the time between syncs; a lease of 2 s outlasts seven failed ones.
	syncInterval = 250 * time.Millisecond
	// syncTimeout bounds a sync with an unresponsive control host, so that the others can be tried within the lease.
	syncTimeout = 400 * time.Millisecond
	// lastSyncTimeout bounds the last sync of a host that shuts down.
	lastSyncTimeout = time.Second
)

// Reporter adds a part of this host's data to a sync.
type Reporter interface {
	// Report fills fields of the request, such as observations, demand and tallies.
	Report(request *fleetpb.SyncRequest)
}

// Options configure a Member.
type Options struct {
	Settings *fleetpb.HostSettings
	// Peers sends calls to control hosts.
	Peers       *peer.Network
	Incarnation ident.Incarnation
	Clock       *clock.Clock
	Reports     []Reporter
	// Adopted is called with each new view before the next sync reports the view's keeper epoch as adopted.
	Adopted func(*View)
	// Expired is called once when the lease ends.
	Expired func()
}

// Member is the part of a host that syncs with the control leader.
type Member struct {
	opts        Options
	control     []string
	nextControl int
	leader      atomic.Value
	view        atomic.Pointer[View]
	syncNow     chan struct{}
	viewChanged atomic.Pointer[chan struct{}]
	leaving     atomic.Bool
	stop        context.CancelFunc
	done        chan struct{}
	clients     map[string]fleetpb.Control
	serving     bool
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
	m.viewChanged.Store(&changed)
	go m.run(ctx)
	return m
}

// View returns the current view; callers must check View.Valid when they act on it.
func (m *Member) View() *View {
	return m.view.Load()
}

// Changed returns a channel that is closed when the next view is adopted.
func (m *Member) Changed() <-chan struct{} {
	return *m.viewChanged.Load()
}

// SyncNow starts the next sync without waiting for the interval.
func (m *Member) SyncNow() {
	select {
	case m.syncNow <- struct{}{}:
	default:
	}
}

// Leave marks this host as leaving in all further syncs and starts one at once.
func (m *Member) Leave() {
	m.leaving.Store(true)
	m.SyncNow()
}

// Close stops syncing, after a last sync that reports the host as gone to the leader.
func (m *Member) Close() {
	m.stop()
	<-m.done
}

// Done returns a channel that is closed when syncing has ended.
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
			m.sendLastSync()
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

// sync calls the leader, or each control host in turn while the leader is not known.
func (m *Member) sync(ctx context.Context) {
	for range len(m.control) + 1 {
		address := m.Leader()
		if address == "" {
			address = m.control[m.nextControl%len(m.control)]
			m.nextControl++
		}
		sent := m.opts.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
		answer, err := m.client(address).Sync(callCtx, m.request())
		cancel()
		if ctx.Err() != nil {
			// Close cancelled the call, so the failure does not count against the leader, which still gets the last sync.
			return
		}
		if err != nil {
			m.leader.Store("")
			m.reportExpiry()
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
	m.reportExpiry()
}

func (m *Member) adopt(answer *fleetpb.SyncResponse, sent ident.Time) {
	lease := time.Duration(answer.GetLeaseMs()) * time.Millisecond
	view := m.View().next(answer, m.opts.Clock.Now(), sent.Add(lease))
	// The view is stored first: Adopted may make pending work choose an upstream again, which must not use the old view.
	m.view.Store(view)
	m.opts.Adopted(view)
	nextChanged := make(chan struct{})
	close(*m.viewChanged.Swap(&nextChanged))
	if !m.serving && view.Valid(m.opts.Clock.Now()) {
		m.serving = true
		klog.InfoS("lease granted, serving", "host", m.opts.Settings.GetHost(), "version", view.Version)
	}
}

// reportExpiry reports and logs once that the lease has ended. It runs after each failed call: trying all unresponsive
// control hosts first would take longer, and the leader gives this host's connections to others as soon as the lease ends.
func (m *Member) reportExpiry() {
	if m.serving && !m.View().Valid(m.opts.Clock.Now()) {
		m.serving = false
		m.opts.Expired()
		klog.InfoS("lease ended, rejecting requests", "host", m.opts.Settings.GetHost())
	}
}

func (m *Member) sendLastSync() {
	leader := m.Leader()
	if leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastSyncTimeout)
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
	client := fleetpb.NewControlProtobufClient(peers.URL(address), peers.Client(lastSyncTimeout))
	m.clients[address] = client
	return client
}

func parseTarget(name string) Target {
	service, upstream, _ := strings.Cut(name, "/")
	return Target{ident.Service(service), ident.Upstream(upstream)}
}
