package acknowledge

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/keeper"
)

// defaultWait is the longest wait for a write without a deadline.
const defaultWait = 10 * time.Second

// Replication waits for the replication of records to a majority.
type Replication interface {
	// WaitMajority waits until a majority of the group holds the record and returns the position that later reads must cover.
	WaitMajority(ctx context.Context, service ident.Service, record ident.Position) (ident.Position, error)
}

// Acknowledger waits for the replication of a write and for the recording of its position with the session's holders.
type Acknowledger struct {
	clock       *clock.Clock
	replication Replication
	keeper      *keeper.Node
}

// New returns an Acknowledger.
func New(clock *clock.Clock, replication Replication, keeper *keeper.Node) *Acknowledger {
	return &Acknowledger{clock: clock, replication: replication, keeper: keeper}
}

// Acknowledge waits for the replication of a record and, at the same time, for the recording of its position. After an error
// the outcome of the write is unknown.
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
		// The term has changed since the write. Replicas of a primary whose term lies between the record's and the current one
		// may lack the record, so reads must require the current term.
		recording = a.keeper.Record(ctx, session, position, deadline)
	}
	// The epoch and the lease are checked last, since they may have changed during the wait for replication.
	return trace.Wrap(recording.Confirm(ctx))
}
