package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// forwardTimeout bounds an order, or the forwarding of an announcement. It is shorter than the second that operators and upstreams
// wait.
const forwardTimeout = 800 * time.Millisecond

var (
	orders        = metrics.NewCounter("tamarack_core_orders_total")
	orderFailures = metrics.NewCounter("tamarack_core_order_failures_total")
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
	_, err = c.submit(ctx, &fleetpb.OrderRequest{Configure: configure})
	klog.InfoS("Configuration ordered", "version", version, "bytes", len(source), "packed", len(packed), "problem", problem(err))
	return err
}

// Configuration returns the text of the newest configuration byte for byte, or nil when there is none yet.
func (c *Core) Configuration(ctx context.Context) ([]byte, error) {
	response, err := c.submit(ctx, &fleetpb.OrderRequest{Read: true})
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
	_, err := c.submit(ctx, &fleetpb.OrderRequest{Evacuate: &fleetpb.Evacuate{Zone: string(zone), Active: active}})
	klog.InfoS("Evacuation ordered", "zone", zone, "active", active, "problem", problem(err))
	return err
}

// submit executes an order on the leader.
func (c *Core) submit(ctx context.Context, request *fleetpb.OrderRequest) (*fleetpb.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	orders.Inc()
	response, err := c.execute(ctx, request)
	if err != nil {
		err = &NoLeaderError{err}
	} else if !response.GetDone() {
		response, err = callLeader(ctx, c, func(ctx context.Context, core fleetpb.Core) (*fleetpb.OrderResponse, error) {
			return core.Order(ctx, request)
		})
	}
	if err != nil {
		orderFailures.Inc()
		return nil, err
	}
	return response, nil
}

// execute executes an order if this host is the leader; otherwise the response names the leader.
func (c *Core) execute(ctx context.Context, request *fleetpb.OrderRequest) (*fleetpb.OrderResponse, error) {
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
