package keeper

import (
	"context"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/session"
)

// Recording is a position that is being recorded with the holders of its session.
type Recording struct {
	node   *Node
	writer *session.Writer
	done   chan struct{}
}

// Record starts to record the position of a write that the primary has reported. The calls run in the background, so that
// the caller can wait for replication at the same time.
func (n *Node) Record(ctx context.Context, id ident.Session, position ident.Position, deadline ident.Time) *Recording {
	r := &Recording{node: n, writer: session.NewWriter(id, position, deadline), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		// The error is dropped, since Confirm runs the writer again and returns the result.
		_ = n.write(ctx, r.writer)
	}()
	return r
}

// Confirm returns nil when the position is recorded with every required holder under the current epoch and lease; the caller
// must then acknowledge the write at once. After a change of epoch it records with the new holders first. At the deadline it
// returns *session.Unrecorded, and the outcome of the write is unknown.
func (r *Recording) Confirm(ctx context.Context) error {
	select {
	case <-r.done:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	return r.node.write(ctx, r.writer)
}

type putAnswer struct {
	from     session.Member
	response *fleetpb.PutResponse
	err      error
}

// write makes the calls that a writer decides on, to all holders concurrently.
func (n *Node) write(ctx context.Context, w *session.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan putAnswer)
	for {
		conditions, changed := n.conditions()
		switch a := w.Next(n.opts.Fleet.Now(), conditions).(type) {
		case session.Acknowledge:
			return nil
		case session.GiveUp:
			unrecorded.Inc()
			return trace.Wrap(a.Cause)
		case session.SendPuts:
			for _, m := range a.To {
				go n.put(ctx, m, w.Request(a.Epoch), answers)
			}
		case session.AwaitAnswer:
			timer := n.timerUntil(a.Until)
			select {
			case answer := <-answers:
				if answer.err != nil {
					putFailures.Inc()
					w.Failed(n.opts.Fleet.Now(), answer.from)
				} else {
					w.Answered(n.opts.Fleet.Now(), answer.from, answer.response)
				}
			case <-changed:
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return trace.Wrap(ctx.Err())
			}
			timer.Stop()
		}
	}
}

func (n *Node) put(ctx context.Context, m session.Member, request *fleetpb.PutRequest, answers chan<- putAnswer) {
	callCtx, cancel := context.WithTimeout(ctx, session.PutTimeout)
	defer cancel()
	response, err := n.peer(m).Put(callCtx, request)
	select {
	case answers <- putAnswer{m, response, err}:
	case <-ctx.Done():
	}
}

type getAnswer struct {
	from     session.Member
	response *fleetpb.GetResponse
	err      error
}

// Position returns the position that a read of the session must see. It returns *Unavailable when no holder answered; then
// only the primary, confirmed under the current term, may serve the read.
func (n *Node) Position(ctx context.Context, id ident.Session) (ident.Position, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conditions, _ := n.conditions()
	r := session.NewReader(id, conditions.View, n.opts.Zones, n.opts.Fleet.Now())
	answers := make(chan getAnswer)
	for {
		switch a := r.Next(n.opts.Fleet.Now()).(type) {
		case session.Known:
			return a.Position, nil
		case session.UsePrimary:
			unavailable.Inc()
			return ident.Position{}, trace.Wrap(&Unavailable{a.Cause})
		case session.AskHolder:
			go n.get(ctx, a.To, r.Request(), answers)
		case session.AwaitHolder:
			timer := n.timerUntil(a.Until)
			select {
			case answer := <-answers:
				if answer.err != nil {
					getFailures.Inc()
					r.Failed(answer.from)
				} else {
					r.Answered(answer.from, answer.response)
				}
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return ident.Position{}, trace.Wrap(ctx.Err())
			}
			timer.Stop()
		}
	}
}

func (n *Node) get(ctx context.Context, m session.Member, request *fleetpb.GetRequest, answers chan<- getAnswer) {
	response, err := n.peer(m).Get(ctx, request)
	select {
	case answers <- getAnswer{m, response, err}:
	case <-ctx.Done():
	}
}
