package acknowledge

import (
	"context"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/ident"
)

// Replication tells when a majority holds a position.
type Replication interface {
	// WaitMajority returns once a majority of the group holds the position under its term.
	WaitMajority(ctx context.Context, service ident.Service, position ident.Position) error
}

// Recorder records session positions with their holders.
type Recorder interface {
	// Record returns once every holder of the session has recorded the position.
	Record(ctx context.Context, session ident.Session, position ident.Position) error
}

// Acknowledger joins both waits.
type Acknowledger struct {
	replication Replication
	recorder    Recorder
}

// New returns an acknowledger.
func New(replication Replication, recorder Recorder) *Acknowledger {
	return &Acknowledger{replication: replication, recorder: recorder}
}

// Acknowledge waits for both at once; after an error the outcome of the write is unknown to its caller.
func (a *Acknowledger) Acknowledge(ctx context.Context, session ident.Session, position ident.Position) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	recorded := make(chan error, 1)
	go func() { recorded <- a.recorder.Record(ctx, session, position) }()
	if err := a.replication.WaitMajority(ctx, session.Service, position); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(<-recorded)
}
