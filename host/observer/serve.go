package observer

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/peer"
)

var unauthenticated = metrics.NewCounter("tamarack_observer_unauthenticated_total")

// maxWait is the longest duration of a long poll.
const maxWait = 10 * time.Second

// Handler returns the handler of the Observer service, for paths under fleetpb.ObserverPathPrefix.
func (o *Observer) Handler() http.Handler {
	server := fleetpb.NewObserverServer(service{o})
	return peer.Guard(o.options.Peers.Admit, unauthenticated, server)
}

// service implements fleetpb.Observer.
type service struct {
	observer *Observer
}

// Positions is a long poll. Depending on the request, it responds once a majority holds the wanted position or that position is
// lost, once a fresh position of the primary is confirmed, or once the positions or the term change. It responds at the latest
// after the request's wait.
func (s service) Positions(ctx context.Context, r *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error) {
	name := ident.Service(r.GetService())
	w := s.observer.watch(name)
	if w == nil {
		return nil, twirp.NotFoundError("this host does not observe " + r.GetService())
	}
	arrived := s.observer.now()
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(r.GetWaitMs())*time.Millisecond, maxWait))
	defer cancel()
	first, changed := w.positions()
	if r.GetWaitMs() == 0 || satisfied(r, first, arrived) {
		return response(r, first, arrived, arrived), nil
	}
	if needsFastPoll(r) {
		w.waitingRequests.Add(1)
		defer w.waitingRequests.Add(-1)
		w.wake()
	}
	if r.GetFresh() {
		w.freshRequests.Add(1)
		defer w.freshRequests.Add(-1)
	}
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			p, _ := w.positions()
			return response(r, p, arrived, s.observer.now()), nil
		}
		var p group.Positions
		p, changed = w.positions()
		if w.isClosed() {
			return nil, twirp.NotFoundError("this host no longer observes " + r.GetService())
		}
		changes := p.Majority != first.Majority || p.Current != first.Current || p.Term != first.Term
		untilChanged := !r.GetFresh() && r.GetWanted() == nil && changes
		if untilChanged || satisfied(r, p, arrived) {
			return response(r, p, arrived, s.observer.now()), nil
		}
	}
}

// needsFastPoll reports whether a request needs its answer sooner than the next idle poll. Hosts continue to follow a group for
// some time after the last statement, and such requests must not cause the upstream to be polled at the fast rate.
func needsFastPoll(r *fleetpb.PositionsRequest) bool {
	return r.GetFresh() || r.GetWanted() != nil || time.Duration(r.GetWaitMs())*time.Millisecond < idleInterval
}

// response returns the positions as a message. For a fresh request, positions from before its arrival are sent as unconfirmed:
// known_ms has whole milliseconds, so the requester alone would accept positions up to one millisecond older than its request.
func response(r *fleetpb.PositionsRequest, p group.Positions, arrived, now ident.Time) *fleetpb.PositionsResponse {
	answer := p.Response(ident.Service(r.GetService()), now)
	if r.GetFresh() && !satisfied(r, p, arrived) {
		answer.Confirmed = false
	}
	return answer
}

// satisfied reports whether the positions satisfy the request. That includes a wanted record that was lost with its term, since
// waiting longer for it is useless.
func satisfied(r *fleetpb.PositionsRequest, p group.Positions, arrived ident.Time) bool {
	if r.GetFresh() {
		return p.Confirmed && p.KnownAt >= arrived
	}
	if r.GetWanted() == nil {
		return false
	}
	wanted := ident.Position{Term: ident.Term(r.GetWanted().GetTerm()), LSN: ident.LSN(r.GetWanted().GetLsn())}
	return p.Holds(wanted) || p.Lost(wanted)
}

// setAddress sets the host and port of a connection configuration.
func setAddress(config *pgconn.Config, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return trace.BadParameter("address %q: %v", address, err)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return trace.BadParameter("address %q has no port", address)
	}
	config.Host, config.Port, config.Fallbacks = host, uint16(n), nil
	return nil
}
