package gate

import (
	"io"
	"math"
	"net/http"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/steady"
)

// answerCopies is the number of copies of a call's answer while it is read and decoded.
const answerCopies = 3

// Answers accounts for the answers of upstreams and gateways while they are read. Its methods are safe for concurrent use.
type Answers struct {
	limiter *Limiter
	holder  *budget.Holder
}

// answersName names the answers in the log.
type answersName struct{}

func (answersName) String() string { return "answers" }

// NewAnswers returns an account for answers, which together may use the total of the limits less their reserve.
func (l *Limiter) NewAnswers(limits budget.Limits) (*Answers, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listener := budget.Listener{Name: answersName{}.String(), Limit: math.MaxInt, Share: limits.Total - limits.Reserve}
	holder, _, err := l.account.Open(listener, "", steady.Now())
	if err != nil {
		return nil, err
	}
	l.account.SetPhase(holder, budget.PhaseBusy, steady.Now())
	return &Answers{limiter: l, holder: holder}, nil
}

// Take reserves bytes of an answer before they are used, or returns a budget.RefusedError.
func (a *Answers) Take(n int) error {
	return a.limiter.take(a.holder, answersName{}, budget.Bytes(n))
}

// Give returns bytes.
func (a *Answers) Give(n int) {
	if n > 0 {
		a.limiter.give(a.holder, budget.Bytes(n))
	}
}

// Transport returns a transport for calls whose answers the account admits. Reading an answer that is refused fails.
func (a *Answers) Transport(base http.RoundTripper) http.RoundTripper {
	return answersTransport{a, base}
}

type answersTransport struct {
	answers *Answers
	base    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t answersTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err == nil && (response.ContentLength < 0 || response.ContentLength > smallBody) {
		response.Body = &answerBody{ReadCloser: response.Body, answers: t.answers, expected: response.ContentLength}
	}
	return response, err
}

// answerBody is the body of an answer. Its bytes are taken with the first read, or as they are read if their number is not known, and
// given back when it is closed.
type answerBody struct {
	io.ReadCloser
	answers  *Answers
	expected int64
	taken    int
}

// Read implements io.Reader.
func (b *answerBody) Read(into []byte) (int, error) {
	if b.expected > 0 {
		if err := b.take(int(b.expected)); err != nil {
			return 0, err
		}
		b.expected = 0
	}
	n, err := b.ReadCloser.Read(into)
	if b.expected < 0 && n > 0 {
		if refused := b.take(n); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

func (b *answerBody) take(size int) error {
	if err := b.answers.Take(size * answerCopies); err != nil {
		return err
	}
	b.taken += size * answerCopies
	return nil
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.answers.Give(b.taken)
	b.taken = 0
	return b.ReadCloser.Close()
}
