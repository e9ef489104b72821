package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

// sweepInterval is the interval between checks for expired leases.
const sweepInterval = time.Second

var (
	uses      = metrics.NewCounter("tamarack_gateway_uses_total")
	lateCalls = metrics.NewCounter("tamarack_gateway_late_calls_total")
)

// Pools returns the connection pools of upstreams.
type Pools interface {
	// Pool returns the connection pool of an upstream, or nil if this host does not know the upstream.
	Pool(service ident.Service, upstream ident.Upstream) *upstream.Pool
}

// Server runs statements for other entry hosts on this host's connections.
type Server struct {
	pools  Pools
	leases *leases
	// clock is the one by which other hosts state deadlines.
	clock *expiry.Clock
}

// NewServer returns a server without leases.
func NewServer(pools Pools) *Server {
	return &Server{pools: pools, leases: newLeases(), clock: expiry.NewClock()}
}

// Handler returns an HTTP handler for the Gateway service under its Twirp path.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleetpb.GatewayPathPrefix, fleetpb.NewGatewayServer(s))
	return mux
}

// Run closes the connections of expired leases periodically until ctx ends.
func (s *Server) Run(ctx context.Context) {
	klog.InfoS("Gateway started", "process", s.leases.process)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.leases.expire(steady.Now())
		}
	}
}

// errNoLease reports a lease that is refused. An expired lease is not held; its transaction was rolled back.
var errNoLease = twirp.NotFound.Error("the connection of this transaction was given up")

// errGivenUp refuses a statement whose host does not wait for it any more.
var errGivenUp = twirp.FailedPrecondition.Error("the host of the statement has given it up")

// lateBy returns how long ago the host of a statement gave it up, or 0 if it may still wait. This process may have been suspended since the
// statement arrived.
func lateBy(ctx context.Context, request *fleetpb.UseRequest) time.Duration {
	now := steady.Now()
	age := now.Sub(expiry.Arrived(ctx, now))
	return max(0, age-callTimeout(request))
}

// errUnknownUpstream reports an upstream that is not in this host's directory.
var errUnknownUpstream = twirp.FailedPrecondition.Error("this host does not know the upstream")

// Use implements fleetpb.Gateway.
func (s *Server) Use(ctx context.Context, request *fleetpb.UseRequest) (*fleetpb.UseResponse, error) {
	uses.Inc()
	if by := lateBy(ctx, request); by > 0 {
		lateCalls.Inc()
		klog.InfoS("Statement not run, since its host has given it up", "id", string(request.GetId()), "upstream", request.GetUpstream(),
			"lease", request.GetLease(), "lateMs", by.Milliseconds())
		return nil, errGivenUp
	}
	held, id, err := s.leaseFor(request)
	if err != nil {
		return nil, err
	}
	// A host that has cancelled its request never receives the response, so nothing is kept for it; nor is it after a panic.
	keep := false
	defer func() {
		if id == "" || !s.leases.finish(id, keep && ctx.Err() == nil) {
			held.executor.Close()
		}
	}()
	wait, cancel := context.WithTimeout(ctx, time.Duration(request.GetWaitMs())*time.Millisecond)
	defer cancel()
	outcome, err := held.executor.Execute(wait, useFromProto(request))
	response := responseToProto(outcome, err)
	if !response.GetNotHolder() && (len(response.GetBroken()) > 0 || len(response.GetUnreachable()) > 0) {
		klog.InfoS("Statement not answered", "id", string(request.GetId()), "upstream", held.executor.Target().Upstream, "team", held.team,
			"lease", id, "transaction", held.transaction, "ran", response.GetRan(), "broken", string(response.GetBroken()),
			"unreachable", string(response.GetUnreachable()))
	}
	if keep = err == nil && request.GetKeep(); keep {
		response.Lease = id
	}
	return response, nil
}

// leaseFor returns the lease of a request and its id, or a new lease. The id is empty if the connection is not to be kept.
func (s *Server) leaseFor(request *fleetpb.UseRequest) (*lease, string, error) {
	if id := request.GetLease(); id != "" {
		held, refusal := s.leases.take(id, request.GetTransaction())
		if held == nil {
			return nil, "", s.refuse(request, refusal)
		}
		return held, id, nil
	}
	pool := s.pools.Pool(ident.Service(request.GetService()), ident.Upstream(request.GetUpstream()))
	if pool == nil {
		return nil, "", errUnknownUpstream
	}
	team := ident.Team(request.GetTeam())
	held := &lease{executor: pool.Executor(team, int(request.GetPriority())), transaction: request.GetTransaction(), team: team}
	if !request.GetKeep() {
		return held, "", nil
	}
	id, refusal := s.leases.open(held)
	if id == "" {
		return nil, "", s.refuse(request, refusal)
	}
	return held, id, nil
}

// refuse logs and counts a statement that is refused, and returns the error for its host.
func (s *Server) refuse(request *fleetpb.UseRequest, reason Refusal) error {
	metrics.GetOrCreateCounter(fmt.Sprintf("tamarack_gateway_leases_refused_total{reason=%q}", reason)).Inc()
	klog.InfoS("Statement refused, its lease is not held", "id", string(request.GetId()), "lease", request.GetLease(),
		"transaction", request.GetTransaction(), "reason", reason, "process", s.leases.process)
	return errNoLease
}

// End implements fleetpb.Gateway.
func (s *Server) End(_ context.Context, request *fleetpb.EndRequest) (*fleetpb.EndResponse, error) {
	s.leases.end(request.GetLease(), request.GetTransaction())
	return &fleetpb.EndResponse{}, nil
}

// StatusOf implements fleetpb.Gateway. A primary is asked to step down only while the core waits for the answer: otherwise the core has kept
// it, or has promoted another upstream.
func (s *Server) StatusOf(ctx context.Context, request *fleetpb.StatusOfRequest) (*fleetpb.StatusOfResponse, error) {
	pool := s.pools.Pool(ident.Service(request.GetService()), ident.Upstream(request.GetUpstream()))
	if pool == nil {
		return nil, errUnknownUpstream
	}
	var ask statement.Request = statement.AskStatus{}
	check := func() error { return nil }
	if term := request.GetStepDownTerm(); term != 0 {
		ask = statement.StepDown{Term: ident.Term(term)}
		check = func() error { return s.checkDeadline(request.GetDeadline()) }
	}
	status, err := pool.Status(ctx, ask, check)
	klog.InfoS("Status requested for the core", "service", request.GetService(), "upstream", request.GetUpstream(),
		"stepDownTerm", request.GetStepDownTerm(), "primary", status.Primary, "position", status.Received, "problem", problem(err))
	response := &fleetpb.StatusOfResponse{Clock: s.reading(request.GetDeadline())}
	var late *expiry.LateError
	if errors.As(err, &late) {
		lateCalls.Inc()
		response.Late = true
		return response, nil
	}
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	response.Primary, response.Term, response.Received = status.Primary, uint64(status.Term), positionToProto(status.Received)
	return response, nil
}

// checkDeadline returns an expiry.LateError if a call has a deadline that has passed or does not belong to this process's clock.
func (s *Server) checkDeadline(deadline *fleetpb.Deadline) error {
	if deadline == nil {
		return nil
	}
	_, err := s.clock.Until(steady.Now(), deadline)
	return err
}

// reading returns a reading of this process's clock for the sender of a call with a deadline.
func (s *Server) reading(deadline *fleetpb.Deadline) *fleetpb.Clock {
	if deadline == nil {
		return nil
	}
	return s.clock.Reading(steady.Now())
}

// problem returns the text of an error for a log line.
func problem(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
