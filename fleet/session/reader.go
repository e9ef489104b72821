package session

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Timing of a reader.
const (
	// nextHolderDelay is the wait for one holder before the next one is asked as well. It is twice the 10 ms between regions,
	// so an unresponsive holder delays a read by less than the read's wait for a replica.
	nextHolderDelay = 20 * time.Millisecond
	// holdersTimeout bounds the total wait for holders; then the read goes to the primary.
	holdersTimeout = 100 * time.Millisecond
)

// ReadAction is the next step of a Reader: AskHolder, AwaitHolder, Known or UsePrimary.
type ReadAction interface{ readAction() }

// AskHolder instructs the caller to send a Get to a member and to report its result with Answered or Failed.
type AskHolder struct {
	Epoch ident.Epoch
	To    Member
}

// AwaitHolder instructs the caller to wait for an answer, at most until the time Until.
type AwaitHolder struct{ Until ident.Time }

// Known contains the position that the read must see.
type Known struct {
	Position ident.Position
	From     ident.Host
}

// UsePrimary reports that no holder answered with authority, so only the primary confirmed under the current term may serve
// the read.
type UsePrimary struct{ Cause NoHolder }

func (AskHolder) readAction()   {}
func (AwaitHolder) readAction() {}
func (Known) readAction()       {}
func (UsePrimary) readAction()  {}

// NoHolder describes why a session position could not be read.
type NoHolder struct {
	Epoch ident.Epoch
	// Asked are the holders that were asked; none answered with authority.
	Asked []ident.Host
}

// Reader decides which holder to ask for the position of a session. It is not safe for concurrent use.
type Reader struct {
	session     ident.Session
	epoch       ident.Epoch
	remaining   []Member
	asked       []ident.Host
	pending     int
	known       *Known
	nextRequest ident.Time
	deadline    ident.Time
}

// NewReader returns a Reader for a read at now on a host that has adopted view. The zones are listed by preference, the host's
// own first; holders in other zones follow in the order of the zone names.
//
// An answer needs no check against the reader's view: it is valid if the answering keeper is authoritative.
func NewReader(session ident.Session, view *View, zones []ident.Zone, now ident.Time) *Reader {
	r := &Reader{session: session, epoch: view.Epoch(), deadline: now.Add(holdersTimeout)}
	if view == nil {
		return r
	}
	holders := view.Current.Holders(session)
	if !view.Settled && view.Previous != nil {
		// A new holder has no authority before the epoch is settled, and a removed one has lost it.
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
	r.remaining = holders
	return r
}

// Request returns the request message of a Get.
func (r *Reader) Request() *fleetpb.GetRequest {
	return &fleetpb.GetRequest{Epoch: uint64(r.epoch), Session: Message(r.session)}
}

// Next returns the next step at now.
func (r *Reader) Next(now ident.Time) ReadAction {
	if r.known != nil {
		return *r.known
	}
	if now >= r.deadline || (len(r.remaining) == 0 && r.pending == 0) {
		return UsePrimary{NoHolder{Epoch: r.epoch, Asked: r.asked}}
	}
	if len(r.remaining) > 0 && (r.pending == 0 || now >= r.nextRequest) {
		m := r.remaining[0]
		r.remaining = r.remaining[1:]
		r.asked = append(r.asked, m.Host)
		r.pending++
		r.nextRequest = now.Add(nextHolderDelay)
		return AskHolder{Epoch: r.epoch, To: m}
	}
	if len(r.remaining) > 0 {
		return AwaitHolder{Until: min(r.nextRequest, r.deadline)}
	}
	return AwaitHolder{Until: r.deadline}
}

// Answered records an answer to a Get; the first authoritative answer is used.
func (r *Reader) Answered(m Member, response *fleetpb.GetResponse) {
	r.pending--
	if response.GetAuthoritative() && r.known == nil {
		r.known = &Known{Position: PositionOf(response.GetPosition()), From: m.Host}
	}
}

// Failed records a Get that failed or timed out.
func (r *Reader) Failed(_ Member) {
	r.pending--
}
