package acknowledge

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/keeper"
)

// defaultWait bounds the wait of a write without a deadline.
const defaultWait = 10 * time.Second

// Replication tells when a majority holds a position.
type Replication interface {
	// WaitMajority returns once a majority of the group holds the record, with the position that reads must cover.
	WaitMajority(ctx context.Context, service ident.Service, record ident.Position) (ident.Position, error)
}

// Acknowledger waits for replication and for the holders of the session's position.
type Acknowledger struct {
	clock       *clock.Clock
	replication Replication
	keeper      *keeper.Node
}

// New returns an acknowledger.
func New(clock *clock.Clock, replication Replication, keeper *keeper.Node) *Acknowledger {
	return &Acknowledger{clock: clock, replication: replication, keeper: keeper}
}

// Acknowledge waits for both at once; after an error the outcome of the write is unknown to its caller.
func (a *Acknowledger) Acknowledge(ctx context.Context, session ident.Session, record ident.Position) error {
	wait := defaultWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	deadline := a.clock.Now().Add(wait)
	recording := a.keeper.Record(ctx, session, record, deadline)
	position, err := a.replication.WaitMajority(ctx, session.Service, record)
	if err != nil {
		return trace.Wrap(err)
	}
	if position != record {
		// Replicas of a primary between the two terms may lack the record, so reads must ask for the current term.
		recording = a.keeper.Record(ctx, session, position, deadline)
	}
	// The epoch and the lease are checked last, since they may have changed during the wait for replication.
	return trace.Wrap(recording.Confirm(ctx))
}
