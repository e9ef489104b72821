package gateway

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

const (
	// leaseTimeout is the time without a statement after which a lease expires. The session's host ends idle transactions sooner,
	// so an expired lease means that the host was lost.
	leaseTimeout = 12 * time.Second
	// sweepInterval is the interval between checks for expired leases.
	sweepInterval = time.Second
)

var (
	uses          = metrics.NewCounter("tamarack_gateway_uses_total")
	leasesOpen    = metrics.NewCounter("tamarack_gateway_leases_open")
	leasesExpired = metrics.NewCounter("tamarack_gateway_leases_expired_total")
	leasesUnknown = metrics.NewCounter("tamarack_gateway_leases_unknown_total")
)

// Pools returns the connection pools of upstreams.
type Pools interface {
	// Pool returns the connection pool of an upstream, or nil if this host does not know the upstream.
	Pool(service ident.Service, upstream ident.Upstream) *upstream.Pool
}

// Server runs statements for other entry hosts on this host's connections.
type Server struct {
	pools Pools
	mu    sync.Mutex
	// leases holds the kept connections by their ids. An id is random and never used again, also not by a later process at the
	// same address: hosts still send the ids of an earlier process.
	leases map[string]*lease
}

// lease is a connection that is kept for a session of another host.
type lease struct {
	executor upstream.Executor
	lastUsed ident.Time
	busy     bool
}

// NewServer returns a server without leases.
func NewServer(pools Pools) *Server {
	return &Server{pools: pools, leases: map[string]*lease{}}
}

// Handler returns an HTTP handler for the Gateway service under its Twirp path.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleetpb.GatewayPathPrefix, fleetpb.NewGatewayServer(s))
	return mux
}

// Run closes the connections of expired leases periodically until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		var expired []upstream.Executor
		for id, l := range s.leases {
			if !l.busy && steady.Now().Sub(l.lastUsed) > leaseTimeout {
				expired = append(expired, l.executor)
				delete(s.leases, id)
			}
		}
		s.mu.Unlock()
		for _, executor := range expired {
			leasesExpired.Inc()
			leasesOpen.Dec()
			executor.Close()
		}
	}
}

// errNoLease reports an unknown or busy lease. An expired lease is unknown; its transaction was rolled back.
var errNoLease = twirp.NotFound.Error("the connection of this transaction was given up")

// errUnknownUpstream reports an upstream that is not in this host's directory.
var errUnknownUpstream = twirp.FailedPrecondition.Error("this host does not know the upstream")

// Use implements fleetpb.Gateway.
func (s *Server) Use(ctx context.Context, request *fleetpb.UseRequest) (*fleetpb.UseResponse, error) {
	uses.Inc()
	executor, id, err := s.executor(request)
	if err != nil {
		return nil, err
	}
	wait, cancel := context.WithTimeout(ctx, time.Duration(request.GetWaitMs())*time.Millisecond)
	defer cancel()
	outcome, err := executor.Execute(wait, useFromProto(request))
	response := responseToProto(outcome, err)
	if len(response.GetBroken()) > 0 || len(response.GetUnreachable()) > 0 {
		klog.InfoS("Statement not answered", "id", string(request.GetId()), "upstream", executor.Target().Upstream, "team", request.GetTeam(),
			"lease", request.GetLease(), "ran", response.GetRan(), "broken", string(response.GetBroken()), "unreachable", string(response.GetUnreachable()))
	}
	kept := err == nil && request.GetKeep()
	s.mu.Lock()
	if kept {
		if id == "" {
			id = rand.Text()
			s.leases[id] = &lease{executor: executor}
			leasesOpen.Inc()
		}
		s.leases[id].lastUsed, s.leases[id].busy = steady.Now(), false
		response.Lease = id
	} else if id != "" {
		delete(s.leases, id)
		leasesOpen.Dec()
	}
	s.mu.Unlock()
	if kept && ctx.Err() != nil {
		// The host that sent the request has cancelled it and never receives the lease.
		s.end(id)
	}
	return response, nil
}

// executor returns the executor and id of a request's lease, or a new executor and no id.
func (s *Server) executor(request *fleetpb.UseRequest) (upstream.Executor, string, error) {
	if id := request.GetLease(); id != "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil || l.busy {
			leasesUnknown.Inc()
			klog.InfoS("Statement refused, its lease is not held", "id", string(request.GetId()), "lease", id, "busy", l != nil)
			return nil, "", errNoLease
		}
		l.busy = true
		return l.executor, id, nil
	}
	pool := s.pools.Pool(ident.Service(request.GetService()), ident.Upstream(request.GetUpstream()))
	if pool == nil {
		return nil, "", errUnknownUpstream
	}
	return pool.Executor(ident.Team(request.GetTeam()), int(request.GetPriority())), "", nil
}

// End implements fleetpb.Gateway.
func (s *Server) End(_ context.Context, request *fleetpb.EndRequest) (*fleetpb.EndResponse, error) {
	s.end(request.GetLease())
	return &fleetpb.EndResponse{}, nil
}

// StatusOf implements fleetpb.Gateway.
func (s *Server) StatusOf(ctx context.Context, request *fleetpb.StatusOfRequest) (*fleetpb.StatusOfResponse, error) {
	pool := s.pools.Pool(ident.Service(request.GetService()), ident.Upstream(request.GetUpstream()))
	if pool == nil {
		return nil, errUnknownUpstream
	}
	var ask statement.Request = statement.AskStatus{}
	if term := request.GetStepDownTerm(); term != 0 {
		ask = statement.StepDown{Term: ident.Term(term)}
	}
	status, err := pool.Status(ctx, ask)
	klog.InfoS("Status requested for the core", "service", request.GetService(), "upstream", request.GetUpstream(),
		"stepDownTerm", request.GetStepDownTerm(), "primary", status.Primary, "position", status.Received, "problem", problem(err))
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return &fleetpb.StatusOfResponse{Primary: status.Primary, Term: uint64(status.Term), Received: positionToProto(status.Received)}, nil
}

// problem returns the text of an error for a log line.
func problem(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// end closes the connection of a lease, unless the lease is unknown or busy.
func (s *Server) end(id string) {
	s.mu.Lock()
	l := s.leases[id]
	if l == nil || l.busy {
		s.mu.Unlock()
		return
	}
	delete(s.leases, id)
	s.mu.Unlock()
	leasesOpen.Dec()
	l.executor.Close()
}
