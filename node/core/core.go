package core

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/quorum"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/lending"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/replica"
	"tamarackshunt.dev/node/upstream"
)

const (
	// forwardTimeout bounds an order, or the forwarding of an announcement. It is shorter than the second that operators and
	// upstreams wait.
	forwardTimeout = 800 * time.Millisecond
	// entryHostTimeout is the time after its last request for which an entry host is listed in the directory.
	entryHostTimeout = 3 * time.Second
	// directoryInterval is the least interval at which the directory for entry hosts is built anew. It is short beside the
	// interval of their requests, of which there are many in it.
	directoryInterval = 50 * time.Millisecond
	// tickInterval is the interval at which the leader checks its members and the groups.
	tickInterval = 200 * time.Millisecond
	// leadershipCheckInterval is the interval at which a host checks whether it has become the leader. Entry hosts send a
	// request to a new leader at once; if its response lists no primaries yet, they repeat it only after half a second.
	leadershipCheckInterval = 20 * time.Millisecond
)

var (
	orders             = metrics.NewCounter("tamarack_core_orders_total")
	orderFailures      = metrics.NewCounter("tamarack_core_order_failures_total")
	announcements      = metrics.NewCounter("tamarack_core_announcements_total")
	staleAnnouncements = metrics.NewCounter("tamarack_core_announcements_stale_total")
)

// Promoter orders the platform to promote an upstream to primary.
type Promoter interface {
	// Promote returns nil once the order is executed, and a takeover.RefusedError when it will certainly not be executed.
	Promote(ctx context.Context, service ident.Service, upstream ident.Upstream, token uint64) error
}

// Options configure a core host.
type Options struct {
	Host ident.Host
	// Peer is the address at which other hosts reach the Handler.
	Peer string
	// Zone and Region are where the host runs; voters are spread over them.
	Zone   ident.Zone
	Region ident.Region
	// Losses is the number of core hosts whose loss at one time must leave a majority.
	Losses int
	// CatchUp is the time after the return of a lost core host for which it still counts as lost.
	CatchUp time.Duration
	// Bootstrap is set at the fleet's first start. InitialHosts are then the core hosts that bootstrap the log, otherwise the
	// seeds.
	InitialHosts []*fleetpb.ControlHost
	Bootstrap    bool
	Folder       string
	Peers        *peer.Network
	Seed         uint64
	Promoter     Promoter
	// Protocol is the protocol spoken with upstreams.
	Protocol upstream.Protocol
	Parse    func(source []byte) (*catalog.Catalog, error)
	// Seeds returns the peer addresses of the core hosts in the current settings.
	Seeds func() []string
}

// Core is a running core host. Its methods are safe for concurrent use.
type Core struct {
	options   Options
	state     *state
	replica   *replica.Replica
	directory *directory.Directory
	lender    *lending.Lender
	client    *http.Client
	groups    *groups

	mu sync.Mutex
	// hosts are the entry hosts that send Watch requests to this leader.
	hosts map[ident.Host]*entryHost

	historyMu sync.Mutex
	// history holds the latest directories for entry hosts, the last one as of directoryAt.
	history     directory.History
	directoryAt ident.Time
	// followed is this host's copy of the directory of the leader that it followed.
	followed directory.Copy
	// takenOver is the start of the leadership for which this host has taken over the directory.
	takenOver atomic.Int64

	// limitsCatalog is the configuration whose limits are set on the lender. Only Run uses it.
	limitsCatalog *catalog.Catalog
}

type entryHost struct {
	zone        ident.Zone
	peer        string
	lastRequest ident.Time
	leaving     bool
}

// New opens the data folder and starts this host's replica of the core's log.
func New(options Options) (*Core, error) {
	c := &Core{
		options:   options,
		state:     newState(options.Parse),
		directory: directory.New(),
		lender:    lending.New(),
		client:    options.Peers.Client(0),
		hosts:     map[ident.Host]*entryHost{},
	}
	var err error
	c.replica, err = replica.New(replica.Options{
		Host:         options.Host,
		Peer:         options.Peer,
		Zone:         options.Zone,
		Region:       options.Region,
		InitialHosts: options.InitialHosts,
		Replacement:  !options.Bootstrap,
		Folder:       options.Folder,
		Peers:        options.Peers,
		Seed:         options.Seed,
		Machine:      c.state,
		Clock:        steady.Now,
		Bounds:       bounds(options.Losses, options.CatchUp),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.groups = newGroups(c)
	return c, nil
}

// Election times of the core. The one-way delay between regions is 12 ms and a sync takes 5 ms, so a leader that sends
// nothing for the shortest timeout is very likely lost. The times are short because every request waits for tokens until the
// next leader is elected.
const (
	electionMin = 300 * time.Millisecond
	electionMax = 600 * time.Millisecond
	leaderLease = 250 * time.Millisecond
)

// compactEntries is the number of applied entries after which the core takes a snapshot. Its state holds one configuration, while
// each entry of a configuration is parsed again after a restart, and a new leader that does so for long misses its heartbeats.
const compactEntries = 16

func bounds(losses int, catchUp time.Duration) quorum.Bounds {
	b := quorum.DefaultBounds
	b.Compact = compactEntries
	b.ElectionMin, b.ElectionMax, b.Lease = electionMin, electionMax, leaderLease
	b.Voters = voterPolicy(losses, catchUp)
	return b
}

// Close hands over the leadership and stops the replica.
func (c *Core) Close(ctx context.Context) error {
	return c.replica.Close(ctx)
}

// peer returns the client of another core host.
func (c *Core) peer(address string) fleetpb.Core {
	return fleetpb.NewCoreProtobufClient(c.options.Peers.URL(address), c.client)
}

// leads reports whether this host is the confirmed leader.
func (c *Core) leads() bool {
	return c.replica.Leadership().Confirmed
}

// RemovedError reports that this host was removed from the core's members or replaced.
type RemovedError struct{ Problem string }

// Error implements error.
func (e *RemovedError) Error() string { return e.Problem }

// Run performs the leader's duties, and enrolls this host while no leader counts it as a member, until ctx ends. It returns the
// failure that stopped the replica, or a RemovedError.
func (c *Core) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var parts sync.WaitGroup
	defer parts.Wait()
	defer cancel()
	removed := make(chan error, 1)
	parts.Go(func() { c.followDirectory(ctx) })
	parts.Go(func() { c.keepMembership(ctx, removed) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	leadershipTicker := time.NewTicker(leadershipCheckInterval)
	defer leadershipTicker.Stop()
	// handledSince is the start of the leadership whose duties were last performed.
	var handledSince ident.Time
	for {
		var leadership replica.Leadership
		select {
		case <-ctx.Done():
			return nil
		case <-c.replica.Done():
			return trace.Wrap(c.replica.Err())
		case err := <-removed:
			return trace.Wrap(err)
		case <-leadershipTicker.C:
			leadership = c.replica.Leadership()
			if leadership.Confirmed && leadership.Since == handledSince {
				c.takeOver(leadership)
				continue
			}
			if !leadership.Confirmed {
				continue
			}
		case <-ticker.C:
			leadership = c.replica.Leadership()
		}
		if leadership.Confirmed && leadership.Since != handledSince {
			handledSince = leadership.Since
			c.inheritDirectory(steady.Now())
		}
		c.lender.SetLeadership(steady.Now(), leadership.Control())
		if leadership.Leads {
			c.setLimits()
		}
		c.groups.tick(ctx, leadership.Confirmed)
		if leadership.Confirmed {
			c.takeOver(leadership)
		}
	}
}

// setLimits sets the teams' limits on the lender when the configuration has changed.
func (c *Core) setLimits() {
	parsed := c.state.parsed()
	if parsed == c.limitsCatalog {
		return
	}
	c.limitsCatalog = parsed
	c.lender.SetRules(steady.Now(), parsed.Rules())
}

// problem returns the text of an error for a log line, without a stack trace.
func problem(err error) string {
	if err == nil {
		return ""
	}
	return trace.UserMessage(err)
}

// NoLeaderError reports that no leader of the core could be reached.
type NoLeaderError struct{ Cause error }

// Error implements error.
func (e *NoLeaderError) Error() string { return fmt.Sprintf("no leader took the call: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoLeaderError) Unwrap() error { return e.Cause }

// errNotLeader is the cause when this host is not the leader and knows no other one, or when the host that it called as the
// leader is not the leader.
var errNotLeader = errors.New("this host knows no leader")

// Configure applies an operator's configuration. A configuration whose version is not higher than the current one changes
// nothing.
func (c *Core) Configure(ctx context.Context, version ident.Version, source []byte) error {
	packed, err := catalog.Pack(source)
	if err != nil {
		return trace.Wrap(err)
	}
	configure := &fleetpb.Configure{Version: uint64(version), Packed: packed}
	_, err = c.submit(ctx, &fleetpb.OrderRequest{Configure: configure})
	klog.InfoS("Configuration ordered", "version", version, "bytes", len(source), "packed", len(packed), "problem", problem(err))
	return err
}

// Configuration returns the text of the newest configuration byte for byte, or nil when there is none yet.
func (c *Core) Configuration(ctx context.Context) ([]byte, error) {
	response, err := c.submit(ctx, &fleetpb.OrderRequest{Read: true})
	if err != nil {
		return nil, err
	}
	if response.GetConfiguration() == nil {
		return nil, nil
	}
	return catalog.Unpack(response.GetConfiguration().GetPacked())
}

// Evacuate takes an availability zone out of service or back into it.
func (c *Core) Evacuate(ctx context.Context, zone ident.Zone, active bool) error {
	_, err := c.submit(ctx, &fleetpb.OrderRequest{Evacuate: &fleetpb.Evacuate{Zone: string(zone), Active: active}})
	klog.InfoS("Evacuation ordered", "zone", zone, "active", active, "problem", problem(err))
	return err
}

// submit executes an order on the leader.
func (c *Core) submit(ctx context.Context, request *fleetpb.OrderRequest) (*fleetpb.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	orders.Inc()
	response, err := c.execute(ctx, request)
	if err != nil {
		err = &NoLeaderError{err}
	} else if !response.GetDone() {
		response, err = callLeader(ctx, c, func(ctx context.Context, core fleetpb.Core) (*fleetpb.OrderResponse, error) {
			return core.Order(ctx, request)
		})
	}
	if err != nil {
		orderFailures.Inc()
		return nil, err
	}
	return response, nil
}

// execute executes an order if this host is the leader; otherwise the response names the leader.
func (c *Core) execute(ctx context.Context, request *fleetpb.OrderRequest) (*fleetpb.OrderResponse, error) {
	leadership := c.replica.Leadership()
	if !leadership.Confirmed {
		leader := leadership.Leader
		if leader == c.options.Peer {
			leader = ""
		}
		return &fleetpb.OrderResponse{Leader: leader}, nil
	}
	change := &fleetpb.Change{}
	switch {
	case request.GetRead():
		response := &fleetpb.OrderResponse{Done: true, Configuration: c.state.configuration()}
		if !c.leads() {
			// The leadership may have ended before the state was read.
			return &fleetpb.OrderResponse{}, nil
		}
		return response, nil
	case request.GetConfigure() != nil:
		if current := c.state.configuration(); current != nil && current.GetVersion() >= request.GetConfigure().GetVersion() && c.leads() {
			return &fleetpb.OrderResponse{Done: true}, nil
		}
		change.Kind = &fleetpb.Change_Configure{Configure: request.GetConfigure()}
	case request.GetEvacuate() != nil:
		change.Kind = &fleetpb.Change_Evacuate{Evacuate: request.GetEvacuate()}
	}
	outcome, err := c.propose(ctx, change)
	if err != nil {
		return nil, err
	}
	return &fleetpb.OrderResponse{Done: outcome.GetDone()}, nil
}

func (c *Core) propose(ctx context.Context, change *fleetpb.Change) (*fleetpb.Outcome, error) {
	answer, err := c.replica.Propose(ctx, change)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	outcome, ok := answer.(*fleetpb.Outcome)
	if !ok {
		return nil, trace.BadParameter("unexpected answer %T", answer)
	}
	return outcome, nil
}

// Announce records an upstream's announcement, forwards it to the other core hosts, so that they know the upstreams when one of
// them becomes the leader, and returns once the leader has it.
func (c *Core) Announce(ctx context.Context, a *fleetpb.Announcement) error {
	announcements.Inc()
	c.recordAnnouncement(a)
	if c.leads() {
		c.forwardAnnouncement(ctx, a)
		return nil
	}
	cause := errNotLeader
	results := c.forwardAnnouncement(ctx, a)
	for range cap(results) {
		err := <-results
		if err == nil {
			return nil
		}
		if !errors.Is(err, errNotLeader) {
			cause = err
		}
	}
	return &NoLeaderError{cause}
}

// forwardAnnouncement sends an announcement to all other core hosts. Each of them adds a result to the returned channel: nil from
// the leader, and an error from the others.
func (c *Core) forwardAnnouncement(ctx context.Context, a *fleetpb.Announcement) <-chan error {
	batch := &fleetpb.AnnounceBatch{Announcements: []*fleetpb.Announcement{a}}
	hosts := newLeaderSearch(c.options.Peer, c.coreHosts()).next()
	results := make(chan error, len(hosts))
	for _, host := range hosts {
		go func() { results <- c.passOn(ctx, host, batch) }()
	}
	return results
}

// passOn sends announcements to a core host. It returns errNotLeader if that host has recorded them but is not the leader.
func (c *Core) passOn(ctx context.Context, host string, batch *fleetpb.AnnounceBatch) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), forwardTimeout)
	defer cancel()
	result, err := c.peer(host).PassOn(ctx, batch)
	if err != nil {
		klog.V(1).InfoS("Announcement not forwarded", "host", host, "problem", problem(err))
		return err
	}
	for _, newer := range result.GetNewer() {
		c.recordAnnouncement(newer)
	}
	if !result.GetLeads() {
		return errNotLeader
	}
	return nil
}

func (c *Core) recordAnnouncement(a *fleetpb.Announcement) {
	if !c.directory.Record(steady.Now(), a) {
		staleAnnouncements.Inc()
	}
}

// members returns the peer addresses of the core hosts.
func (c *Core) members() []string {
	voters := c.replica.Members()
	list := make([]string, 0, len(voters.GetVoters())+len(voters.GetLearners()))
	for _, v := range append(voters.GetVoters(), voters.GetLearners()...) {
		list = append(list, v.GetPeer())
	}
	return list
}

// warmupLeft returns the rest of an upstream's warm-up in milliseconds. It is rounded up to whole seconds, so that it rarely
// changes the directory.
func warmupLeft(a *fleetpb.Announcement) uint32 {
	if a.GetWarmupMs() <= a.GetAgeMs() {
		return 0
	}
	const second = 1000
	return (a.GetWarmupMs() - a.GetAgeMs() + second - 1) / second * second
}

// entryDirectory returns the directory that is sent to entry hosts.
func (c *Core) entryDirectory(now ident.Time) *fleetpb.Directory {
	d := &fleetpb.Directory{Evacuated: c.state.evacuated(), Primaries: c.groups.primaries()}
	parsed := c.state.parsed()
	for _, a := range c.directory.List(now) {
		if parsed == nil || parsed.Service(ident.Service(a.GetService())) == nil {
			continue
		}
		d.Upstreams = append(d.Upstreams, &fleetpb.Announcement{
			Upstream: a.GetUpstream(), Service: a.GetService(), Address: a.GetAddress(), Zone: a.GetZone(),
			Born: a.GetBorn(), Leaving: a.GetLeaving(), Capacity: a.GetCapacity(), WarmupMs: warmupLeft(a),
		})
	}
	c.mu.Lock()
	for name, host := range c.hosts {
		if now.Sub(host.lastRequest) >= entryHostTimeout {
			delete(c.hosts, name)
			continue
		}
		if !host.leaving {
			d.Hosts = append(d.Hosts, &fleetpb.EntryHost{Host: string(name), Zone: string(host.zone), Peer: host.peer})
		}
	}
	c.mu.Unlock()
	directory.Sort(d)
	return d
}

// directoryUpdate returns the digest of the directory for entry hosts, and what a host needs that has the directory with another
// digest: the change or the whole directory.
func (c *Core) directoryUpdate(now ident.Time, digest uint64) (uint64, *fleetpb.Directory, *fleetpb.DirectoryChange, error) {
	c.historyMu.Lock()
	defer c.historyMu.Unlock()
	if c.directoryAt == 0 || now.Sub(c.directoryAt) >= directoryInterval {
		if _, err := c.history.Add(c.entryDirectory(now)); err != nil {
			return 0, nil, nil, err
		}
		c.directoryAt = now
	}
	latest, whole, change := c.history.Update(digest)
	return latest, whole, change, nil
}
