package core

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/replica"
)

// maxBody bounds the body of a call in bytes; the largest one contains a configuration.
const maxBody = 32 << 20

// searchHold is how long a core host that does not lead holds a search for the leader. With a new connection and a round trip between
// regions, 50 ms, it stays below the time for which hosts wait: they would ask again on further connections.
const searchHold = 100 * time.Millisecond

// Handler serves the calls of other hosts.
func (c *Core) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleetpb.CorePathPrefix, fleetpb.NewCoreServer(service{c}))
	mux.Handle(fleetpb.ControlPathPrefix+"Borrow", fleetpb.NewControlServer(owner{core: c}))
	mux.Handle(fleetpb.QuorumPathPrefix, c.replica.Handler())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		mux.ServeHTTP(w, r)
	})
}

// owner serves the hosts that borrow tokens; the leader of the core owns the tokens of all teams. It implements only Borrow of
// the Control service, and the mux routes no other call to it.
type owner struct {
	fleetpb.Control
	core *Core
}

// Borrow lends tokens of teams while this host is the leader.
func (o owner) Borrow(_ context.Context, request *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error) {
	leadership := o.core.replica.Leadership()
	if !leadership.Confirmed {
		return &fleetpb.BorrowResponse{Leader: leadership.Leader}, nil
	}
	return o.core.lender.Borrow(steady.Now(), request), nil
}

// service implements fleetpb.Core.
type service struct{ core *Core }

// Watch returns the configuration and the directory to an entry host if they differ from what it has.
func (s service) Watch(ctx context.Context, request *fleetpb.WatchRequest) (*fleetpb.WatchResponse, error) {
	c := s.core
	if request.GetSearch() {
		// A new leader that collects hosts must know this one before it takes over.
		c.recordHost(c.replica.Leadership(), request)
		c.holdSearch(ctx)
	}
	now := steady.Now()
	leadership := c.replica.Leadership()
	// A new leader answers once it has taken over the directory: a list that is only beginning to fill would move the gateways of
	// all upstreams.
	leads := c.hasTakenOver(leadership)
	response := &fleetpb.WatchResponse{Leader: leadership.Leader, Leads: leads, Members: c.members()}
	c.recordHost(leadership, request)
	if !leads || request.GetSearch() {
		return response, nil
	}
	c.groups.report(c.pauses.Arrived(ctx, now, steady.Awake()), request.GetPeer(), request.GetReports())
	if c.usage != nil && request.GetHost() != "" {
		c.usage.record(now, leadership.Term, request, response)
	}
	if current := c.state.configuration(); current != nil && current.GetVersion() > request.GetVersion() {
		response.Configuration = current
	}
	var err error
	response.Digest, response.Directory, response.Change, err = c.directoryUpdate(now, request.GetDigest())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return response, nil
}

// recordHost records the entry host that has sent a request to the leader.
func (c *Core) recordHost(leadership replica.Leadership, request *fleetpb.WatchRequest) {
	if !leadership.Confirmed || request.GetHost() == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts.record(steady.Now(), request)
}

// hasTakenOver reports whether this host is the leader and knows its directory.
func (c *Core) hasTakenOver(leadership replica.Leadership) bool {
	return leadership.Confirmed && c.takenOver.Load() == int64(leadership.Since)
}

// holdSearch waits for searchHold at most until this host leads, so that a host that searches for the leader finds it at once.
func (c *Core) holdSearch(ctx context.Context) {
	takenOver := c.takenOverSignal.wait()
	if c.hasTakenOver(c.replica.Leadership()) {
		return
	}
	timer := time.NewTimer(searchHold)
	defer timer.Stop()
	select {
	case <-takenOver:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Order executes an order if this host is the leader.
func (s service) Order(ctx context.Context, request *fleetpb.OrderRequest) (*fleetpb.OrderResponse, error) {
	c := s.core
	if request.GetDeadline() == nil {
		return c.execute(ctx, request, 0)
	}
	now := steady.Now()
	until, err := c.clock.Until(now, request.GetDeadline())
	if err != nil {
		if leadership := c.replica.Leadership(); !leadership.Confirmed {
			return c.redirect(leadership), nil
		}
		return c.refuseLate(now, request, err), nil
	}
	response, err := c.execute(ctx, request, until)
	if isLate(err) {
		return c.refuseLate(now, request, err), nil
	}
	if err != nil {
		return nil, err
	}
	response.Clock = c.clock.Reading(now)
	return response, nil
}

// refuseLate returns the response to an order that came after its deadline, or whose deadline refers to another clock.
func (c *Core) refuseLate(now ident.Time, request *fleetpb.OrderRequest, err error) *fleetpb.OrderResponse {
	order := request.GetEvacuate()
	klog.InfoS("Order not executed", "zone", order.GetZone(), "active", order.GetActive(), "problem", problem(err))
	return &fleetpb.OrderResponse{Late: true, Clock: c.clock.Reading(now)}
}

// PassOn records announcements that another core host has received.
func (s service) PassOn(ctx context.Context, batch *fleetpb.AnnounceBatch) (*fleetpb.AnnounceResult, error) {
	result := &fleetpb.AnnounceResult{Leads: s.core.leads()}
	for _, a := range batch.GetAnnouncements() {
		if err := s.core.checkOrder(ctx, a, forwardTimeout); err != nil {
			return nil, twirp.DeadlineExceeded.Error(err.Error())
		}
		newer := s.core.directory.Newer(a)
		s.core.recordAnnouncement(a)
		// A repeated announcement needs no answer. One of an ended start does: the sender may have been down when it ended.
		if newer != nil && (newer.GetGone() || newer.GetBorn() > a.GetBorn()) {
			result.Newer = append(result.Newer, newer)
		}
	}
	s.core.saveEnd(ctx, batch.GetAnnouncements()...)
	return result, nil
}

// Enroll adds a core host that has no log yet, or answers a host with a log whether it is still a member.
func (s service) Enroll(ctx context.Context, request *fleetpb.JoinRequest) (*fleetpb.JoinResponse, error) {
	leadership := s.core.replica.Leadership()
	if !leadership.Confirmed {
		return &fleetpb.JoinResponse{Leader: leadership.Leader}, nil
	}
	if request.GetMember() != "" {
		// The leader's log contains every committed membership, so a member that is not in its last one was removed. Only
		// learners are removed, so it does not matter if that removal is not committed yet.
		removed := !isMember(s.core.replica.Members(), request.GetMember())
		return &fleetpb.JoinResponse{Done: s.core.leads(), Removed: removed}, nil
	}
	err := s.core.replica.AddLearner(
		ctx, ident.Host(request.GetHost()), request.GetPeer(), ident.Zone(request.GetZone()), ident.Region(request.GetRegion()),
	)
	klog.InfoS("Core host enrolled", "host", request.GetHost(), "peer", request.GetPeer(), "problem", problem(err))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &fleetpb.JoinResponse{Done: true}, nil
}

// Identify returns this host's name and peer address.
func (s service) Identify(context.Context, *fleetpb.IdentifyRequest) (*fleetpb.IdentifyResponse, error) {
	return &fleetpb.IdentifyResponse{Host: string(s.core.options.Host), Peer: s.core.options.Peer}, nil
}
