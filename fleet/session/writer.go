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
	// PutTimeout ends the wait for one answer. It exceeds the 10 ms between regions by enough for a busy host, and a
	// second attempt fits several times into the 2 s after which a dead holder leaves the epoch.
	PutTimeout = 250 * time.Millisecond
	// putRetry is the pause before a holder that refused or failed is asked again.
	putRetry = 50 * time.Millisecond
)

// Conditions are what a host holds of the control state at one moment.
type Conditions struct {
	// View is the adopted view; nil before the first epoch.
	View *View
	// Lease is the time until which the host may serve.
	Lease ident.Time
}

// WriteAction is the next step of a writer: SendPuts, AwaitAnswer, Acknowledge or GiveUp.
type WriteAction interface{ writeAction() }

// SendPuts asks for a Put to each member; each one ends in a call of Answered or Failed.
type SendPuts struct {
	Epoch ident.Epoch
	To    []Member
}

// AwaitAnswer waits for an answer, a new view or the time Until, whichever comes first.
type AwaitAnswer struct{ Until ident.Time }

// Acknowledge says that the position is recorded with every required holder at this moment.
type Acknowledge struct{}

// GiveUp says that the position could not be recorded in time: the outcome of the write is unknown to its caller.
type GiveUp struct{ Cause *Unrecorded }

func (SendPuts) writeAction()    {}
func (AwaitAnswer) writeAction() {}
func (Acknowledge) writeAction() {}
func (GiveUp) writeAction()      {}

// Unrecorded is the failure of a writer to record a position before its deadline.
type Unrecorded struct {
	Session ident.Session
	Epoch   ident.Epoch
	// Missing are the holders that have not recorded the position.
	Missing []ident.Host
	// NoLease is set when the host's own lease had ended.
	NoLease bool
}

// Error names the session and what was missing.
func (u *Unrecorded) Error() string {
	if u.NoLease {
		return fmt.Sprintf("position of session %s not acknowledged: the host's lease has ended", u.Session)
	}
	return fmt.Sprintf("position of session %s not recorded in keeper epoch %d: no answer from %v", u.Session, u.Epoch, u.Missing)
}

// Writer decides how one position gets to the holders of its session. It belongs to one goroutine.
type Writer struct {
	session  ident.Session
	position ident.Position
	deadline ident.Time
	puts     map[start]*put
}

// start identifies a start of a host.
type start struct {
	host        ident.Host
	incarnation ident.Incarnation
}

type put struct {
	recorded bool
	pending  bool
	// next is the end of the wait while pending, and the earliest next attempt otherwise.
	next ident.Time
}

// NewWriter returns the decisions for a position that the primary has reported for a write of the session.
func NewWriter(session ident.Session, position ident.Position, deadline ident.Time) *Writer {
	return &Writer{session: session, position: position, deadline: deadline, puts: map[start]*put{}}
}

// Request returns the message of a Put under an epoch.
func (w *Writer) Request(epoch ident.Epoch) *fleetpb.PutRequest {
	return &fleetpb.PutRequest{
		Epoch:    uint64(epoch),
		Session:  Message(w.session),
		Position: PositionMessage(w.position),
	}
}

// Next returns the step to take at now. Acknowledge holds only for the conditions given, so the caller passes the
// current ones and acknowledges at once.
func (w *Writer) Next(now ident.Time, c Conditions) WriteAction {
	leased := now < c.Lease
	missing := w.missing(c.View)
	switch {
	case c.View != nil && len(missing) == 0 && leased:
		return Acknowledge{}
	case now >= w.deadline:
		return GiveUp{w.unrecorded(c.View, missing, !leased)}
	}
	send, until := w.send(now, missing)
	if len(send) > 0 {
		return SendPuts{Epoch: c.View.Epoch(), To: send}
	}
	// Without a lease the position stays recorded; a renewed lease may come with an epoch that asks for more holders.
	return AwaitAnswer{Until: until}
}

// missing returns the required holders that have not recorded the position.
func (w *Writer) missing(view *View) []Member {
	if view == nil {
		return nil
	}
	return slices.DeleteFunc(view.Required(w.session), func(m Member) bool { return w.put(m).recorded })
}

// send marks and returns the holders to ask now, and the time of the next change when there are none.
func (w *Writer) send(now ident.Time, missing []Member) ([]Member, ident.Time) {
	var send []Member
	until := w.deadline
	for _, m := range missing {
		p := w.put(m)
		if now >= p.next {
			p.pending, p.next = true, now.Add(PutTimeout)
			send = append(send, m)
		}
		until = min(until, p.next)
	}
	return send, until
}

// Answered takes an answer to a Put. A holder that did not record the position has another epoch and is asked again, in
// case the writer's view changes by then.
func (w *Writer) Answered(now ident.Time, m Member, response *fleetpb.PutResponse) {
	if !response.GetRecorded() {
		w.Failed(now, m)
		return
	}
	p := w.put(m)
	p.recorded, p.pending = true, false
}

// Failed takes the failure of a Put, or its timeout.
func (w *Writer) Failed(now ident.Time, m Member) {
	p := w.put(m)
	if p.recorded || !p.pending {
		return
	}
	p.pending, p.next = false, now.Add(putRetry)
}

func (w *Writer) put(m Member) *put {
	key := start{m.Host, m.Incarnation}
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
