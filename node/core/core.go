package core

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/quorum"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/lending"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/replica"
	"tamarackshunt.dev/node/upstream"
)

const (
	// tickInterval is the interval at which the leader checks its members and the groups.
	tickInterval = 200 * time.Millisecond
	// leadershipCheckInterval is the interval at which a host checks whether it has become the leader. Entry hosts send a
	// request to a new leader at once; if its response lists no primaries yet, they repeat it only after half a second.
	leadershipCheckInterval = 20 * time.Millisecond
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
	// Usage is set if the usage of teams is reported.
	Usage *UsageOptions
	// Protocol is the protocol spoken with upstreams.
	Protocol upstream.Protocol
	Parse    func(source []byte) (*catalog.Catalog, error)
	// Seeds returns the peer addresses of the core hosts in the current settings.
	Seeds func() []string
	// Overrun is what teams may run beyond rate and burst over the whole fleet.
	Overrun limit.Overrun
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
	// usage is nil if the usage of teams is not reported.
	usage *usage
	// clock is the one by which other hosts state deadlines, and readings are those of the other hosts' clocks.
	clock    *expiry.Clock
	readings *expiry.Readings
	// pauses notices when this process was stopped.
	pauses expiry.Pauses

	mu sync.Mutex
	// hosts are the entry hosts that send Watch requests to this leader.
	hosts entryHosts

	historyMu sync.Mutex
	// history holds the latest directories for entry hosts, the last one as of directoryAt.
	history     directory.History
	directoryAt ident.Time
	// inheritable is the latest directory that this host has sent as the leader or has received from another one. It is the first one
	// of this host's next leadership.
	inheritable directory.Copy
	// takenOver is the start of the leadership for which this host has taken over the directory.
	takenOver       atomic.Int64
	takenOverSignal signal

	// restoredFor is the start of the leadership for which this host has restored the saved directory.
	restoredFor    atomic.Int64
	restoredSignal signal

	// startedAt is when this host was started. restoredHosts is set once it has restored hosts; only Run uses it.
	startedAt     ident.Time
	restoredHosts bool
	// saving is full while a difference of the directory is saved, savedAt is when the last one was, and lazySavedAt when all of it was.
	saving      chan struct{}
	savedAt     atomic.Int64
	lazySavedAt atomic.Int64
	// advancedAt is when this leader got its advance of tokens, or the latest time at which it may get it.
	advancedAt atomic.Int64

	// limitsCatalog is the configuration whose limits are set on the lender. Only Run uses it.
	limitsCatalog *catalog.Catalog
}

// New opens the data folder and starts this host's replica of the core's log.
func New(options Options) (*Core, error) {
	c := &Core{
		options:   options,
		state:     newState(options.Parse),
		directory: directory.New(),
		lender:    lending.New(),
		client:    options.Peers.Client(0),
		hosts:     entryHosts{},
		clock:     expiry.NewClock(),
		readings:  expiry.NewReadings(),
		startedAt: steady.Now(),
		saving:    make(chan struct{}, 1),
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
	if options.Usage != nil {
		c.usage = newUsage(c, *options.Usage)
	}
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
	if c.usage != nil {
		parts.Go(func() { c.usage.run(ctx) })
	}
	parts.Go(func() { c.keepRecovery(ctx) })
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
			c.pauses.Tick(steady.Now(), steady.Awake())
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
		begins := leadership.Confirmed && leadership.Since != handledSince
		if begins {
			handledSince = leadership.Since
			c.inheritDirectory(steady.Now())
			c.markRestored(leadership)
		}
		c.lender.SetLeadership(steady.Now(), leadership.Control())
		if leadership.Leads {
			c.setLimits()
		}
		if begins {
			parts.Go(func() { c.takeAdvance(ctx, leadership) })
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

// members returns the peer addresses of the core hosts.
func (c *Core) members() []string {
	voters := c.replica.Members()
	list := make([]string, 0, len(voters.GetVoters())+len(voters.GetLearners()))
	for _, v := range append(voters.GetVoters(), voters.GetLearners()...) {
		list = append(list, v.GetPeer())
	}
	return list
}
