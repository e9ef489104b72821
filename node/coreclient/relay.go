package coreclient

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
)

const (
	// relaysAsked is the number of entry hosts that a search asks once no core host has answered as the leader.
	relaysAsked = 3
	// relayAfter is the time without a leader from which on relays are asked. An election takes less, and no relay can help then.
	relayAfter = 500 * time.Millisecond
	// directInterval is the interval at which a host that uses a relay searches for the leader among the core hosts.
	directInterval = time.Second
)

// relayedCalls counts the calls that this host has passed on to the leader for hosts that don't reach it.
var relayedCalls = metrics.NewCounter("tamarack_link_relayed_calls_total")

// relayCandidates returns the peer addresses of up to relaysAsked entry hosts that may reach the leader for a host: one of its zone,
// since that is near, and others of other zones, since a zone may be cut off as a whole. shuffle makes the order random, so that hosts
// that are cut off at the same time don't all use the same relay.
func relayCandidates(hosts []*fleetpb.EntryHost, self ident.Host, zone ident.Zone, shuffle func(int, func(i, j int))) []string {
	var near, far []string
	for _, host := range hosts {
		switch {
		case host.GetHost() == string(self):
		case host.GetZone() == string(zone):
			near = append(near, host.GetPeer())
		default:
			far = append(far, host.GetPeer())
		}
	}
	shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	nearFirst, farFirst := min(1, len(near)), min(relaysAsked-1, len(far))
	order := slices.Concat(near[:nearFirst], far[:farFirst], near[nearFirst:], far[farFirst:])
	return order[:min(relaysAsked, len(order))]
}

// searchRelays asks other entry hosts whether they reach the leader, if it was missing for a while. The one that does is then used in the
// leader's place.
func (c *Client) searchRelays(ctx context.Context) (relay string) {
	if c.searchSince == 0 || steady.Now().Sub(c.searchSince) < relayAfter {
		return ""
	}
	hosts := relayCandidates(c.options.Table.Hosts(), c.options.Host, c.options.Zone, rand.Shuffle)
	return c.search(ctx, hosts)
}

// setLeader records the address that takes the calls to the leader. The caller must hold mu.
func (c *Client) setLeader(address string, relayed bool) {
	c.leader, c.relayed = address, relayed
}

// directDue reports whether a host that uses a relay should search for the leader among the core hosts, and records the search.
func (c *Client) directDue(now ident.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.relayed || c.leader == "" || now.Sub(c.directAt) < directInterval {
		return false
	}
	c.directAt = now
	return true
}

// directLeader returns the leader's address unless the leader is unknown or only reached through a relay.
func (c *Client) directLeader() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.leader != "" && !c.relayed
}

// RelayHandler serves the calls of entry hosts that don't reach the core's leader, and passes them on to it.
func (c *Client) RelayHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleetpb.CorePathPrefix+"Watch", fleetpb.NewCoreServer(watchRelay{client: c}))
	mux.Handle(fleetpb.ControlPathPrefix+"Borrow", fleetpb.NewControlServer(borrowRelay{client: c}))
	return mux
}

// errNoDirectLeader refuses a call that this host can't pass on.
var errNoDirectLeader = twirp.Unavailable.Error("this host does not reach the leader itself")

// watchRelay passes on Watch. RelayHandler routes no other call of the Core service to it.
type watchRelay struct {
	fleetpb.Core
	client *Client
}

// Watch implements fleetpb.Core. It leaves out the reports about primaries: the leader could not ask the host that made them to make a
// primary step down, and would keep a primary that it can't reach itself.
func (r watchRelay) Watch(ctx context.Context, request *fleetpb.WatchRequest) (*fleetpb.WatchResponse, error) {
	leader, found := r.client.directLeader()
	if !found {
		return &fleetpb.WatchResponse{}, nil
	}
	relayedCalls.Inc()
	request = proto.CloneOf(request)
	request.Reports = nil
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	return fleetpb.NewCoreProtobufClient(r.client.options.Peers.URL(leader), r.client.client).Watch(ctx, request)
}

// borrowRelay passes on Borrow. RelayHandler routes no other call of the Control service to it.
type borrowRelay struct {
	fleetpb.Control
	client *Client
}

// Borrow implements fleetpb.Control.
func (r borrowRelay) Borrow(ctx context.Context, request *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error) {
	leader, found := r.client.directLeader()
	if !found {
		return nil, errNoDirectLeader
	}
	relayedCalls.Inc()
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return fleetpb.NewControlProtobufClient(r.client.options.Peers.URL(leader), r.client.client).Borrow(ctx, request)
}

// returnToDirect searches for the leader among the core hosts while a relay is used, and uses it once it answers again.
func (c *Client) returnToDirect(ctx context.Context) {
	if !c.directDue(steady.Now()) {
		return
	}
	if leader := c.search(ctx, c.coreHosts()); leader != "" {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.setLeader(leader, false)
	}
}
