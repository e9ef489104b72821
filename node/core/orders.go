package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/quorum"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/replica"
)

const (
	// forwardTimeout bounds an order, or the forwarding of an announcement. It is shorter than the second that operators and upstreams
	// wait.
	forwardTimeout = 800 * time.Millisecond
	// senderTimeout is the time after the arrival of a call at which its sender may stop waiting and send other calls. Operators and
	// upstreams wait a second, part of which passes before the call arrives.
	senderTimeout = 900 * time.Millisecond
)

var (
	orders        = metrics.NewCounter("tamarack_core_orders_total")
	orderFailures = metrics.NewCounter("tamarack_core_order_failures_total")
	ordersLate    = metrics.NewCounter("tamarack_core_orders_late_total")
)

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
	_, err = c.submit(ctx, &fleetpb.OrderRequest{Configure: configure}, 0)
	klog.InfoS("Configuration ordered", "version", version, "bytes", len(source), "packed", len(packed), "problem", problem(err))
	return err
}

// Configuration returns the text of the newest configuration byte for byte, or nil when there is none yet.
func (c *Core) Configuration(ctx context.Context) ([]byte, error) {
	response, err := c.submit(ctx, &fleetpb.OrderRequest{Read: true}, 0)
	if err != nil {
		return nil, err
	}
	if response.GetConfiguration() == nil {
		return nil, nil
	}
	return catalog.Unpack(response.GetConfiguration().GetPacked())
}

// Evacuate takes an availability zone out of service or back into it. Orders on a zone have no number, so the last one that is executed
// holds. It returns an expiry.LateError, or a NoLeaderError with that cause, for an order that its sender may have followed by another one.
func (c *Core) Evacuate(ctx context.Context, zone ident.Zone, active bool) error {
	now := steady.Now()
	arrived := c.pauses.Arrived(ctx, now, steady.Awake())
	until := arrived.Add(senderTimeout)
	var err error
	if now > until || expiry.Closed(ctx) {
		orders.Inc()
		orderFailures.Inc()
		err = &expiry.LateError{By: max(0, now.Sub(until))}
	} else {
		_, err = c.submit(ctx, &fleetpb.OrderRequest{Evacuate: &fleetpb.Evacuate{Zone: string(zone), Active: active}}, until)
	}
	if isLate(err) {
		ordersLate.Inc()
	}
	klog.InfoS("Evacuation ordered", "zone", zone, "active", active, "ageMs", now.Sub(arrived).Milliseconds(), "problem", problem(err))
	return err
}

// isLate reports whether an order was not executed because it came too late.
func isLate(err error) bool {
	var late *expiry.LateError
	var expired *quorum.ExpiredError
	return errors.As(err, &late) || errors.As(err, &expired)
}

// submit executes an order on the leader, but not after a time unless that is 0.
func (c *Core) submit(ctx context.Context, request *fleetpb.OrderRequest, until ident.Time) (*fleetpb.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	orders.Inc()
	response, err := c.execute(ctx, request, until)
	if err != nil {
		err = &NoLeaderError{err}
	} else if !response.GetDone() {
		response, err = callLeader(ctx, c, func(ctx context.Context, host string) (*fleetpb.OrderResponse, error) {
			return c.orderAt(ctx, host, request, until)
		})
	}
	if err != nil {
		orderFailures.Inc()
		return nil, err
	}
	return response, nil
}

// orderAt sends an order to the core host at an address, with a deadline by that host's clock unless until is 0. A leader whose clock this
// host does not know refuses the order with a reading.
func (c *Core) orderAt(ctx context.Context, host string, request *fleetpb.OrderRequest, until ident.Time) (*fleetpb.OrderResponse, error) {
	if until == 0 {
		return c.peer(host).Order(ctx, request)
	}
	return expiry.Call(ctx, c.readings, host, until, func(deadline *fleetpb.Deadline) (*fleetpb.OrderResponse, error) {
		dated := proto.CloneOf(request)
		dated.Deadline = deadline
		return c.peer(host).Order(ctx, dated)
	})
}

// execute executes an order if this host is the leader, but not after a time unless that is 0; otherwise the response names the leader.
func (c *Core) execute(ctx context.Context, request *fleetpb.OrderRequest, until ident.Time) (*fleetpb.OrderResponse, error) {
	leadership := c.replica.Leadership()
	if !leadership.Confirmed {
		return c.redirect(leadership), nil
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
	outcome, err := c.proposeUntil(ctx, change, until)
	if err != nil {
		return nil, err
	}
	return &fleetpb.OrderResponse{Done: outcome.GetDone()}, nil
}

// redirect returns the response of a host that is not the leader. It names the leader if another one is known.
func (c *Core) redirect(leadership replica.Leadership) *fleetpb.OrderResponse {
	if leadership.Leader == c.options.Peer {
		return &fleetpb.OrderResponse{}
	}
	return &fleetpb.OrderResponse{Leader: leadership.Leader}
}

func (c *Core) propose(ctx context.Context, change *fleetpb.Change) (*fleetpb.Outcome, error) {
	return c.proposeUntil(ctx, change, 0)
}

// proposeUntil proposes a change that must not be appended to the log after a time, unless that is 0.
func (c *Core) proposeUntil(ctx context.Context, change *fleetpb.Change, until ident.Time) (*fleetpb.Outcome, error) {
	answer, err := c.replica.ProposeUntil(ctx, change, until)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	outcome, ok := answer.(*fleetpb.Outcome)
	if !ok {
		return nil, trace.BadParameter("unexpected answer %T", answer)
	}
	return outcome, nil
}
