package session

import (
	"fmt"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Timing of a writer.
const (
	// PutTimeout is the timeout of one Put. It leaves time for a busy host beyond the 10 ms between regions, and allows
	// several attempts within the 2 s after which a dead holder leaves the epoch.
	PutTimeout = 250 * time.Millisecond
	// putRetry is the pause before a refused or failed Put is sent again.
	putRetry = 50 * time.Millisecond
)

// Conditions are a host's adopted view and lease at one point in time.
type Conditions struct {
	// View is the adopted view; nil before the first epoch.
	View *View
	// Lease is the time until which the host may serve.
	Lease ident.Time
}

// WriteAction is the next step of a Writer: SendPuts, AwaitAnswer, Acknowledge or GiveUp.
type WriteAction interface{ writeAction() }

// SendPuts instructs the caller to send a Put to each member and to report each result with Answered or Failed.
type SendPuts struct {
	Epoch ident.Epoch
	To    []Member
}

// AwaitAnswer instructs the caller to wait for an answer, a new view or the time Until, whichever comes first.
type AwaitAnswer struct{ Until ident.Time }

// Acknowledge reports that every required holder has recorded the position, so the write may be acknowledged now.
type Acknowledge struct{}

// GiveUp reports that the position was not recorded in time: the outcome of the write is unknown to its caller.
type GiveUp struct{ Cause *Unrecorded }

func (SendPuts) writeAction()    {}
func (AwaitAnswer) writeAction() {}
func (Acknowledge) writeAction() {}
func (GiveUp) writeAction()      {}

// Unrecorded is the error of a Writer that did not record its position before the deadline.
type Unrecorded struct {
	Session ident.Session
	Epoch   ident.Epoch
	// Missing are the holders that have not recorded the position.
	Missing []ident.Host
	// NoLease is set if the host's own lease had ended.
	NoLease bool
}

// Error returns the session and either the lost lease or the epoch and the missing holders.
func (u *Unrecorded) Error() string {
	if u.NoLease {
		return fmt.Sprintf("position of session %s not acknowledged: the host's lease has ended", u.Session)
	}
	return fmt.Sprintf("position of session %s not recorded in keeper epoch %d: no answer from %v", u.Session, u.Epoch, u.Missing)
}

// Writer decides to which holders of its session a position is sent and when its write is acknowledged. It is not safe for
// concurrent use.
type Writer struct {
	session  ident.Session
	position ident.Position
	deadline ident.Time
	puts     map[hostStart]*put
}

// hostStart identifies one incarnation of a host.
type hostStart struct {
	host        ident.Host
	incarnation ident.Incarnation
}

type put struct {
	recorded bool
	pending  bool
	// next is the time at which a pending Put times out, and otherwise the earliest time of the next attempt.
	next ident.Time
}

// NewWriter returns a Writer for a position that the primary has reported for a write of the session.
func NewWriter(session ident.Session, position ident.Position, deadline ident.Time) *Writer {
	return &Writer{session: session, position: position, deadline: deadline, puts: map[hostStart]*put{}}
}

// Request returns the request message of a Put under an epoch.
func (w *Writer) Request(epoch ident.Epoch) *fleetpb.PutRequest {
	return &fleetpb.PutRequest{
		Epoch:    uint64(epoch),
		Session:  Message(w.session),
		Position: PositionMessage(w.position),
	}
}

// Next returns the next step at now. Acknowledge is valid only for the given conditions, so the caller must pass the current
// ones and acknowledge at once.
func (w *Writer) Next(now ident.Time, c Conditions) WriteAction {
	leased := now < c.Lease
	missing := w.missing(c.View)
	switch {
	case c.View != nil && len(missing) == 0 && leased:
		return Acknowledge{}
	case now >= w.deadline:
		return GiveUp{w.unrecorded(c.View, missing, !leased)}
	}
	due, until := w.dueHolders(now, missing)
	if len(due) > 0 {
		return SendPuts{Epoch: c.View.Epoch(), To: due}
	}
	// Without a lease the position stays recorded. A renewed lease may come with an epoch that requires more holders.
	return AwaitAnswer{Until: until}
}

// missing returns the required holders that have not recorded the position.
func (w *Writer) missing(view *View) []Member {
	if view == nil {
		return nil
	}
	return slices.DeleteFunc(view.Required(w.session), func(m Member) bool { return w.put(m).recorded })
}

// dueHolders returns the holders to which a Put is due and marks them as pending. If none is due, the second result is the time
// at which one will be, or the deadline.
func (w *Writer) dueHolders(now ident.Time, missing []Member) ([]Member, ident.Time) {
	var due []Member
	until := w.deadline
	for _, m := range missing {
		p := w.put(m)
		if now >= p.next {
			p.pending, p.next = true, now.Add(PutTimeout)
			due = append(due, m)
		}
		until = min(until, p.next)
	}
	return due, until
}

// Answered records an answer to a Put. A holder that did not record the position has adopted another view than the writer;
// the Put is repeated, in case the writer's view has changed by then.
func (w *Writer) Answered(now ident.Time, m Member, response *fleetpb.PutResponse) {
	if !response.GetRecorded() {
		w.Failed(now, m)
		return
	}
	p := w.put(m)
	p.recorded, p.pending = true, false
}

// Failed records a Put that failed or timed out.
func (w *Writer) Failed(now ident.Time, m Member) {
	p := w.put(m)
	if p.recorded || !p.pending {
		return
	}
	p.pending, p.next = false, now.Add(putRetry)
}

func (w *Writer) put(m Member) *put {
	key := hostStart{m.Host, m.Incarnation}
	p, found := w.puts[key]
	if !found {
		p = &put{}
		w.puts[key] = p
	}
	return p
}

func (w *Writer) unrecorded(view *View, missing []Member, noLease bool) *Unrecorded {
	u := &Unrecorded{Session: w.session, Epoch: view.Epoch(), NoLease: noLease}
	for _, m := range missing {
		u.Missing = append(u.Missing, m.Host)
	}
	return u
}
