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

// maxWait bounds a long poll.
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

// Positions answers once the wanted position is held by a majority, a fresh position of the primary is confirmed, or
// anything changes, as the request asks for; at the latest after its waiting time.
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
	if r.GetWaitMs() == 0 || met(r, first, arrived) {
		return response(r, first, arrived, arrived), nil
	}
	if hurries(r) {
		w.waiting.Add(1)
		defer w.waiting.Add(-1)
		w.wake()
	}
	if r.GetFresh() {
		w.fresh.Add(1)
		defer w.fresh.Add(-1)
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
		if untilChanged || met(r, p, arrived) {
			return response(r, p, arrived, s.observer.now()), nil
		}
	}
}

// hurries reports whether a request needs its answer sooner than the upstream is polled anyway. Hosts go on following a group
// for some time after the last statement, and the upstream must not be polled at the fast rate for that.
func hurries(r *fleetpb.PositionsRequest) bool {
	return r.GetFresh() || r.GetWanted() != nil || time.Duration(r.GetWaitMs())*time.Millisecond < idlePoll
}

// response returns what is known as a message. An answer older than a question for a fresh one confirms nothing: known_ms
// counts whole milliseconds, so the asker alone would accept an answer up to one millisecond older than its question.
func response(r *fleetpb.PositionsRequest, p group.Positions, arrived, now ident.Time) *fleetpb.PositionsResponse {
	answer := p.Response(ident.Service(r.GetService()), now)
	if r.GetFresh() && !met(r, p, arrived) {
		answer.Confirmed = false
	}
	return answer
}

// met reports whether the positions answer the request. Waiting for a record that was lost with its term would be in vain.
func met(r *fleetpb.PositionsRequest, p group.Positions, arrived ident.Time) bool {
	if r.GetFresh() {
		return p.Confirmed && p.Known >= arrived
	}
	if r.GetWanted() == nil {
		return false
	}
	wanted := ident.Position{Term: ident.Term(r.GetWanted().GetTerm()), LSN: ident.LSN(r.GetWanted().GetLsn())}
	return p.Holds(wanted) || p.Lost(wanted)
}

// setAddress fills in host and port.
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
