package metering

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// minRetryPause and maxRetryPause bound the pause before a call that was not executed, or not answered, is repeated.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = time.Second
	// minGatherTime is the shortest time for which a new leader only collects counts. Hosts have to find it, and report everything that
	// is open in two requests.
	minGatherTime = 2 * time.Second
)

// Pending is a closed window whose report has no outcome yet, as the control log contains it.
type Pending struct {
	Window Window
	// Token is the fencing token of the report, the index of the log entry that reserved it.
	Token uint64
}

// Action is the next action of a holder: one of the types in this file.
type Action interface{ action() }

// Reserve asks for another token for a window, by an entry in the log.
type Reserve struct{ Window Window }

// Send asks for the call that reports a window.
type Send struct{ Pending }

func (Reserve) action() {}
func (Send) action()    {}

// Answer is the platform's answer to a call.
type Answer int

// Answers.
const (
	// AnswerNone means that there was no answer, or that the call should be repeated; it may still be executed.
	AnswerNone Answer = iota
	// AnswerAccepted means that the report is accepted.
	AnswerAccepted
	// AnswerOutdated means that the platform has seen a higher token.
	AnswerOutdated
	// AnswerBusy means that the platform accepts no more calls at present.
	AnswerBusy
	// AnswerRefused means that the platform will never accept the report.
	AnswerRefused
)

//go:generate enumer -type=Answer -trimprefix=Answer -transform=snake

// Reporter decides which report the holder sends, during one leadership of the core. It is not safe for concurrent use.
type Reporter struct {
	// gathersUntil is the time until which no window is closed.
	gathersUntil ident.Time
	// notBefore is the earliest time of the next call.
	notBefore ident.Time
	pause     time.Duration
	// reserved maps the windows to the tokens that this leadership reserved.
	reserved map[Window]uint64
	// sent is the highest token that this leadership has sent.
	sent uint64
	// outdated is set once the platform has seen the token of another holder.
	outdated bool
}

// NewReporter returns the reporter of a leadership that began at a time. It sends nothing for the lease: an earlier holder may have
// sent its last report just before, and holders must not take turns within it.
func NewReporter(since ident.Time, lease time.Duration) *Reporter {
	return &Reporter{
		gathersUntil: since.Add(max(lease, minGatherTime)), notBefore: since.Add(lease), reserved: map[Window]uint64{},
	}
}

// Gathers reports whether it is too early in the leadership to close a window: hosts that have not found the leader yet would be missing
// from it. Nothing is lost by the wait, as no report is sent within the lease either.
func (r *Reporter) Gathers(now ident.Time) bool {
	return now < r.gathersUntil
}

// Reserved records that this leadership reserved a token for a window.
func (r *Reporter) Reserved(w Window, token uint64) {
	r.reserved[w] = token
}

// Next returns the action for the oldest pending window, or nil if there is nothing to do now. A window gets a new token if its present
// one is that of another leadership, which its holder may still use, or not above one that was sent, as the platform would refuse it.
func (r *Reporter) Next(now ident.Time, pending []Pending) Action {
	if len(pending) == 0 || r.outdated || now < r.notBefore {
		return nil
	}
	oldest := pending[0]
	if r.reserved[oldest.Window] != oldest.Token || oldest.Token < r.sent {
		return Reserve{oldest.Window}
	}
	return Send{oldest}
}

// Sent records that a call is sent with a token.
func (r *Reporter) Sent(token uint64) {
	r.sent = max(r.sent, token)
}

// Answered records the answer to the last call.
func (r *Reporter) Answered(now ident.Time, w Window, answer Answer) {
	switch answer {
	case AnswerAccepted, AnswerRefused:
		r.pause = 0
		delete(r.reserved, w)
	case AnswerOutdated:
		r.outdated = true
	case AnswerNone, AnswerBusy:
		r.pause = min(max(2*r.pause, minRetryPause), maxRetryPause)
		r.notBefore = now.Add(r.pause)
	}
}
