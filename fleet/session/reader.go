package session

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Timing of a reader.
const (
	// askNext is the wait for one holder before the next one is asked as well; twice the 10 ms between regions, so that a
	// frozen holder costs a read less than its wait for a replica.
	askNext = 20 * time.Millisecond
	// askAll bounds the wait for holders in all; then the read goes to the primary.
	askAll = 100 * time.Millisecond
)

// ReadAction is the next step of a reader: AskHolder, AwaitHolder, Known or UsePrimary.
type ReadAction interface{ readAction() }

// AskHolder asks for a Get to the member; it ends in a call of Answered or Failed.
type AskHolder struct {
	Epoch ident.Epoch
	To    Member
}

// AwaitHolder waits for an answer or the time Until.
type AwaitHolder struct{ Until ident.Time }

// Known gives the position that the read must see.
type Known struct {
	Position ident.Position
	From     ident.Host
}

// UsePrimary says that no holder answered, so only the primary confirmed under the current term may serve the read.
type UsePrimary struct{ Cause NoHolder }

func (AskHolder) readAction()   {}
func (AwaitHolder) readAction() {}
func (Known) readAction()       {}
func (UsePrimary) readAction()  {}

// NoHolder is the reason for a read without a session position.
type NoHolder struct {
	Epoch ident.Epoch
	// Asked are the holders that did not answer with authority.
	Asked []ident.Host
}

// Reader decides which holder to ask for the position of a session. It belongs to one goroutine.
type Reader struct {
	session ident.Session
	epoch   ident.Epoch
	left    []Member
	asked   []ident.Host
	open    int
	known   *Known
	next    ident.Time
	end     ident.Time
}

// NewReader returns the decisions for a read at now on a host that has adopted view; zones lists availability zones by
// preference, the host's own first. Holders in other zones follow in the order of their names.
//
// The reader's own view needs no check when an answer arrives: the authority of the answering keeper alone makes the
// answer valid.
func NewReader(session ident.Session, view *View, zones []ident.Zone, now ident.Time) *Reader {
	r := &Reader{session: session, epoch: view.Epoch(), end: now.Add(askAll)}
	if view == nil {
		return r
	}
	holders := view.Current.Holders(session)
	if !view.Settled && view.Previous != nil {
		// A new holder has no authority before the epoch is settled, and one that was removed has lost it.
		old := view.Previous.Holders(session)
		holders = slices.DeleteFunc(holders, func(m Member) bool { return !slices.ContainsFunc(old, m.same) })
	}
	rank := func(m Member) int {
		if i := slices.Index(zones, m.Zone); i >= 0 {
			return i
		}
		return len(zones)
	}
	slices.SortStableFunc(holders, func(a, b Member) int { return rank(a) - rank(b) })
	r.left = holders
	return r
}

// Request returns the message of a Get.
func (r *Reader) Request() *fleetpb.GetRequest {
	return &fleetpb.GetRequest{Epoch: uint64(r.epoch), Session: Message(r.session)}
}

// Next returns the step to take at now.
func (r *Reader) Next(now ident.Time) ReadAction {
	if r.known != nil {
		return *r.known
	}
	if now >= r.end || (len(r.left) == 0 && r.open == 0) {
		return UsePrimary{NoHolder{Epoch: r.epoch, Asked: r.asked}}
	}
	if len(r.left) > 0 && (r.open == 0 || now >= r.next) {
		m := r.left[0]
		r.left = r.left[1:]
		r.asked = append(r.asked, m.Host)
		r.open++
		r.next = now.Add(askNext)
		return AskHolder{Epoch: r.epoch, To: m}
	}
	if len(r.left) > 0 {
		return AwaitHolder{Until: min(r.next, r.end)}
	}
	return AwaitHolder{Until: r.end}
}

// Answered takes an answer to a Get; the first one with authority decides.
func (r *Reader) Answered(m Member, response *fleetpb.GetResponse) {
	r.open--
	if response.GetAuthoritative() && r.known == nil {
		r.known = &Known{Position: PositionOf(response.GetPosition()), From: m.Host}
	}
}

// Failed takes the failure of a Get, or its timeout.
func (r *Reader) Failed(_ Member) {
	r.open--
}
