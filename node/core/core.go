package core

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
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
	// passTimeout bounds an order or announcement that is passed on to the leader; operators and upstreams wait a second.
	passTimeout = 800 * time.Millisecond
	// hostLife is the time after its last question for which an entry host counts.
	hostLife = 3 * time.Second
	// tickEvery is the interval at which the leader looks at its members and the groups.
	tickEvery = 200 * time.Millisecond
	// officeEvery is the interval at which a host looks whether it has come to lead; entry hosts ask a new leader at once, and
	// one that names no primaries yet is asked again only after half a second.
	officeEvery = 20 * time.Millisecond
	// removedTicks is the number of ticks after which a member that the others do not count gives up its place. A member
	// that only lags hears from the leader within an election.
	removedTicks = 15
)

var (
	orders        = metrics.NewCounter("tamarack_core_orders_total")
	orderFailures = metrics.NewCounter("tamarack_core_order_failures_total")
	announced     = metrics.NewCounter("tamarack_core_announcements_total")
	stale         = metrics.NewCounter("tamarack_core_announcements_stale_total")
)

// Promoter orders the platform to make an upstream the primary.
type Promoter interface {
	// Promote returns nil once the order is carried out, and a takeover.RefusedError when it certainly will not be.
	Promote(ctx context.Context, service ident.Service, upstream ident.Upstream, token uint64) error
}

// Options describe a core host.
type Options struct {
	Host ident.Host
	// Peer is the address at which other hosts reach the Handler.
	Peer string
	// InitialHosts are the core hosts of the fleet's first start; Bootstrap is set when this is that start.
	InitialHosts []*fleetpb.ControlHost
	Bootstrap    bool
	Folder       string
	Peers        *peer.Network
	Seed         uint64
	Promoter     Promoter
	// Protocol is that of the upstreams.
	Protocol upstream.Protocol
	Parse    func(source []byte) (*catalog.Catalog, error)
	// Seeds returns the peer addresses of core hosts that the settings name now.
	Seeds func() []string
}

// Core is a running core host. Its methods may be called from several goroutines.
type Core struct {
	options   Options
	state     *state
	replica   *replica.Replica
	directory *directory.Directory
	lender    *lending.Lender
	client    *http.Client
	groups    *groups

	mu sync.Mutex
	// hosts are the entry hosts that ask this leader.
	hosts map[ident.Host]*entryHost

	// limited is the configuration whose limits the lender has; it belongs to Run.
	limited *catalog.Catalog
}

type entryHost struct {
	zone    ident.Zone
	peer    string
	at      ident.Time
	leaving bool
}

// New opens the data folder and starts the host's part in the core.
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
		InitialHosts: options.InitialHosts,
		Replacement:  !options.Bootstrap,
		Folder:       options.Folder,
		Peers:        options.Peers,
		Seed:         options.Seed,
		Machine:      c.state,
		Clock:        steady.Now,
		Bounds:       bounds(),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.groups = newGroups(c)
	return c, nil
}

// Election times of the core. Regions are 12 ms apart one way and a sync takes 5 ms, so that a leader that is not heard for the
// shortest timeout is very likely lost; every request waits for tokens until the next one leads.
const (
	electionMin = 300 * time.Millisecond
	electionMax = 600 * time.Millisecond
	leaderLease = 250 * time.Millisecond
)

func bounds() quorum.Bounds {
	b := quorum.DefaultBounds
	b.ElectionMin, b.ElectionMax, b.Lease = electionMin, electionMax, leaderLease
	return b
}

// Close hands over the leadership and ends the host's part.
func (c *Core) Close(ctx context.Context) error {
	return c.replica.Close(ctx)
}

// peer returns the client of another core host.
func (c *Core) peer(address string) fleetpb.Core {
	return fleetpb.NewCoreProtobufClient(c.options.Peers.URL(address), c.client)
}

// leads reports whether this host leads for certain.
func (c *Core) leads() bool {
	return c.replica.Leadership().Confirmed
}

// RemovedError reports that the members of the core have removed or replaced this host's member.
type RemovedError struct{ Problem string }

// Error implements error.
func (e *RemovedError) Error() string { return e.Problem }

// Run does what the leader has to do, and enrolls this host where it is not a member, until ctx ends. It returns the failure
// that ended the host's part, or a RemovedError.
func (c *Core) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	offices := time.NewTicker(officeEvery)
	defer offices.Stop()
	var outside int
	var office ident.Time
	for {
		var leadership replica.Leadership
		select {
		case <-ctx.Done():
			return nil
		case <-c.replica.Done():
			return trace.Wrap(c.replica.Err())
		case <-offices.C:
			if leadership = c.replica.Leadership(); !leadership.Confirmed || leadership.Since == office {
				continue
			}
		case <-ticker.C:
			leadership = c.replica.Leadership()
		}
		if leadership.Confirmed {
			office = leadership.Since
		}
		c.lender.SetLeadership(steady.Now(), leadership.Control())
		if leadership.Leads {
			c.setLimits()
			c.tidyMembers(ctx)
		} else {
			c.enroll(ctx)
		}
		if outside = c.stillOutside(outside, leadership); outside > removedTicks {
			return trace.Wrap(&RemovedError{leadership.Problem})
		}
		c.groups.tick(ctx, leadership.Confirmed)
	}
}

// stillOutside counts the ticks for which a member that has a log has been told by others that it is not counted.
func (c *Core) stillOutside(ticks int, leadership replica.Leadership) int {
	if leadership.Problem == "" || leadership.Leader != "" || c.replica.Members() == nil {
		return 0
	}
	return ticks + 1
}

// setLimits brings the teams' limits to the owner of their tokens.
func (c *Core) setLimits() {
	parsed := c.state.parsed()
	if parsed == c.limited {
		return
	}
	c.limited = parsed
	c.lender.SetRules(steady.Now(), parsed.Rules())
}

// problem returns an error for a log line, without a trace.
func problem(err error) string {
	if err == nil {
		return ""
	}
	return trace.UserMessage(err)
}

// NoLeaderError reports a core without a leader that this host could reach.
type NoLeaderError struct{ Cause error }

// Error implements error.
func (e *NoLeaderError) Error() string { return fmt.Sprintf("no leader took the call: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoLeaderError) Unwrap() error { return e.Cause }

// errNotLeader is the cause when this host neither leads nor knows who does.
var errNotLeader = errors.New("this host knows no leader")

// Configure brings an operator's configuration into force; one whose version is not higher changes nothing.
func (c *Core) Configure(ctx context.Context, version ident.Version, source []byte) error {
	packed, err := catalog.Pack(source)
	if err != nil {
		return trace.Wrap(err)
	}
	configure := &fleetpb.Configure{Version: uint64(version), Packed: packed}
	_, err = c.order(ctx, &fleetpb.OrderRequest{Configure: configure})
	klog.InfoS("Configuration ordered", "version", version, "bytes", len(source), "packed", len(packed), "problem", problem(err))
	return err
}

// Configuration returns the newest configuration byte for byte, or nil when there is none yet.
func (c *Core) Configuration(ctx context.Context) ([]byte, error) {
	response, err := c.order(ctx, &fleetpb.OrderRequest{Read: true})
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
	_, err := c.order(ctx, &fleetpb.OrderRequest{Evacuate: &fleetpb.Evacuate{Zone: string(zone), Active: active}})
	klog.InfoS("Evacuation ordered", "zone", zone, "active", active, "problem", problem(err))
	return err
}

// order carries an order out on the leader.
func (c *Core) order(ctx context.Context, request *fleetpb.OrderRequest) (*fleetpb.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	orders.Inc()
	response, err := c.carryOut(ctx, request)
	if err == nil && !response.GetDone() {
		leader := response.GetLeader()
		if leader == "" {
			err = errNotLeader
		} else {
			response, err = c.peer(leader).Order(ctx, request)
			if err == nil && !response.GetDone() {
				err = errNotLeader
			}
		}
	}
	if err != nil {
		orderFailures.Inc()
		return nil, &NoLeaderError{err}
	}
	return response, nil
}

// carryOut takes an order on this host if it leads; otherwise the response names the leader.
func (c *Core) carryOut(ctx context.Context, request *fleetpb.OrderRequest) (*fleetpb.OrderResponse, error) {
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
			// The state was read after the lead may have ended.
			return &fleetpb.OrderResponse{}, nil
		}
		return response, nil
	case request.GetConfigure() != nil:
		if held := c.state.configuration(); held != nil && held.GetVersion() >= request.GetConfigure().GetVersion() && c.leads() {
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

// Announce takes what an upstream says of itself, passes it on to the other core hosts and returns once the leader has it.
func (c *Core) Announce(ctx context.Context, a *fleetpb.Announcement) error {
	announced.Inc()
	c.takeAnnouncement(a)
	batch := &fleetpb.AnnounceBatch{Announcements: []*fleetpb.Announcement{a}}
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	leadership := c.replica.Leadership()
	for _, member := range c.members() {
		if member == c.options.Peer || (member == leadership.Leader && !leadership.Confirmed) {
			continue
		}
		go c.passOn(member, batch)
	}
	if leadership.Confirmed {
		return nil
	}
	if leadership.Leader == "" || leadership.Leader == c.options.Peer {
		return &NoLeaderError{errNotLeader}
	}
	result, err := c.peer(leadership.Leader).PassOn(ctx, batch)
	if err != nil {
		return &NoLeaderError{err}
	}
	if !result.GetLeads() {
		return &NoLeaderError{errNotLeader}
	}
	return nil
}

// passOn tells a core host that does not lead, so that it knows the upstreams when it comes to lead.
func (c *Core) passOn(member string, batch *fleetpb.AnnounceBatch) {
	ctx, cancel := context.WithTimeout(context.Background(), passTimeout)
	defer cancel()
	if _, err := c.peer(member).PassOn(ctx, batch); err != nil {
		klog.V(1).InfoS("Announcement not passed on", "member", member, "problem", problem(err))
	}
}

func (c *Core) takeAnnouncement(a *fleetpb.Announcement) {
	if !c.directory.Take(steady.Now(), a) {
		stale.Inc()
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

// warmupLeft returns how much longer an upstream is cold, in whole seconds so that the directory rarely changes by it.
func warmupLeft(a *fleetpb.Announcement) uint32 {
	if a.GetWarmupMs() <= a.GetAgeMs() {
		return 0
	}
	const second = 1000
	return (a.GetWarmupMs() - a.GetAgeMs() + second - 1) / second * second
}

// view returns the directory for entry hosts.
func (c *Core) view(now ident.Time) *fleetpb.Directory {
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
		if now.Sub(host.at) < hostLife && !host.leaving {
			d.Hosts = append(d.Hosts, &fleetpb.EntryHost{Host: string(name), Zone: string(host.zone), Peer: host.peer})
		}
	}
	c.mu.Unlock()
	sortHosts(d.Hosts)
	return d
}
