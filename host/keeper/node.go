package keeper

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/session"
	"tamarackshunt.dev/host/peer"
)

// Times for reading floors from primaries.
const (
	// floorTimeout bounds one request for a primary's position.
	floorTimeout = 500 * time.Millisecond
	// floorRetry is the time between attempts while a floor is missing.
	floorRetry = 100 * time.Millisecond
)

// Counters of failures.
var (
	floorFailures = metrics.NewCounter("tamarack_keeper_floor_failures_total")
	putFailures   = metrics.NewCounter("tamarack_keeper_put_failures_total")
	getFailures   = metrics.NewCounter("tamarack_keeper_get_failures_total")
	unrecorded    = metrics.NewCounter("tamarack_keeper_unrecorded_total")
	// unauthenticated counts calls that were refused.
	unauthenticated = metrics.NewCounter("tamarack_keeper_unauthenticated_total")
	unavailable     = metrics.NewCounter("tamarack_keeper_unavailable_total")
)

// Fleet provides the time, services and positions that a node needs from its host.
type Fleet interface {
	// Now returns the host's logical time.
	Now() ident.Time
	// Services returns the services of the configuration in force, for each of which the node reads a floor.
	Services() []ident.Service
	// Current returns the position of the service's primary, requested after the call began and confirmed under the
	// primary's current term by a majority of its group.
	Current(ctx context.Context, service ident.Service) (ident.Position, error)
}

// Options configure a node.
type Options struct {
	Self  session.Member
	Fleet Fleet
	// Peers sends calls to other keepers and authenticates their calls.
	Peers *peer.Network
	// Zones lists availability zones by preference for reads, the host's own first.
	Zones []ident.Zone
	// MaxSessions bounds the positions that the node keeps for each service; 0 means session.DefaultSessions.
	MaxSessions int
}

// Node keeps session positions on one host and makes the host's calls to other keepers.
type Node struct {
	opts    Options
	keeper  *session.Keeper
	client  *http.Client
	peers   sync.Map // address to fleetpb.Keepers
	mu      sync.Mutex
	current session.Conditions
	changed chan struct{}
}

// New returns a node that has neither a lease nor a keeper epoch before the first call of Adopt.
func New(opts Options) *Node {
	return &Node{
		opts:    opts,
		keeper:  session.NewKeeper(session.KeeperOptions{Self: opts.Self, MaxSessions: opts.MaxSessions}),
		client:  opts.Peers.Client(0),
		changed: make(chan struct{}),
	}
}

// Handler returns the path prefix and the handler of the Keepers service, which requires the authentication of peers.
func (n *Node) Handler() (string, http.Handler) {
	server := fleetpb.NewKeepersServer(service{n})
	return server.PathPrefix(), peer.Guard(n.opts.Peers.Admit, unauthenticated, server)
}

// Adopt sets the view of the keeper epochs and the lease. The host must report an epoch as adopted only after this call, and
// must call it for every renewal of its lease.
func (n *Node) Adopt(c session.Conditions) {
	n.keeper.Adopt(c.View)
	n.keeper.SetLease(c.Lease)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current = c
	close(n.changed)
	n.changed = make(chan struct{})
}

// conditions returns the current conditions and a channel that is closed when they change.
func (n *Node) conditions() (session.Conditions, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current, n.changed
}

// Run reads the floors that the keeper is missing, until ctx ends.
func (n *Node) Run(ctx context.Context) {
	retry := time.NewTicker(floorRetry)
	defer retry.Stop()
	for {
		_, changed := n.conditions()
		missing := n.readFloors(ctx)
		var retryTick <-chan time.Time
		if missing {
			retryTick = retry.C
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-retryTick:
		}
	}
}

// readFloors reads the missing floors concurrently and reports whether some are still missing.
func (n *Node) readFloors(ctx context.Context) bool {
	epoch, missing := n.keeper.MissingFloors(n.opts.Fleet.Services())
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, name := range missing {
		wait.Go(func() {
			position, err := n.opts.Fleet.Current(ctx, name)
			if err != nil {
				floorFailures.Inc()
				return
			}
			n.keeper.SetFloor(name, epoch, position)
		})
	}
	wait.Wait()
	_, missing = n.keeper.MissingFloors(n.opts.Fleet.Services())
	return len(missing) > 0
}

// peer returns the keeper of a member; the node's own is called directly, without a connection.
func (n *Node) peer(m session.Member) fleetpb.Keepers {
	if m.Host == n.opts.Self.Host {
		return service{n}
	}
	if client, found := n.peers.Load(m.Peer); found {
		return client.(fleetpb.Keepers)
	}
	client, _ := n.peers.LoadOrStore(m.Peer, fleetpb.NewKeepersProtobufClient(n.opts.Peers.URL(m.Peer), n.client))
	return client.(fleetpb.Keepers)
}

// service is the server side of the Keepers service.
type service struct{ node *Node }

// Put records a position.
func (s service) Put(_ context.Context, request *fleetpb.PutRequest) (*fleetpb.PutResponse, error) {
	return s.node.keeper.Put(request), nil
}

// Get looks up a position.
func (s service) Get(_ context.Context, request *fleetpb.GetRequest) (*fleetpb.GetResponse, error) {
	return s.node.keeper.Get(s.node.opts.Fleet.Now(), request), nil
}

// timerUntil returns a timer that fires at the logical time until.
func (n *Node) timerUntil(until ident.Time) *time.Timer {
	return time.NewTimer(max(0, until.Sub(n.opts.Fleet.Now())))
}

// Unavailable is the error of a failed lookup of a position; the read goes to the primary.
type Unavailable struct {
	session.NoHolder
}

// Error lists the holders that were asked.
func (u *Unavailable) Error() string {
	return fmt.Sprintf("no holder of keeper epoch %d answered with authority, asked %v", u.Epoch, u.Asked)
}
