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
	// WaitMajority returns once a majority of the group holds the position under its term.
	WaitMajority(ctx context.Context, service ident.Service, position ident.Position) error
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
func (a *Acknowledger) Acknowledge(ctx context.Context, session ident.Session, position ident.Position) error {
	wait := defaultWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	recording := a.keeper.Record(ctx, session, position, a.clock.Now().Add(wait))
	if err := a.replication.WaitMajority(ctx, session.Service, position); err != nil {
		return trace.Wrap(err)
	}
	// The epoch and the lease are checked last, since they may have changed during the wait for replication.
	return trace.Wrap(recording.Confirm(ctx))
}
