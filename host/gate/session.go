package gate

import (
	"errors"
	"net"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
)

// Session is a connection with what it holds and its deadlines. One goroutine uses it, but for SetReadDeadline and Close.
type Session struct {
	net.Conn
	limiter *Limiter
	holder  *budget.Holder
	limits  budget.SessionLimits

	mu sync.Mutex
	// idle is the read deadline that the owner has set, and message the time by which a message that has begun must have arrived.
	idle, message time.Time
	// write is the write deadline that the owner has set, and armed the one that applies.
	write, armed time.Time
}

// Take reserves bytes before they are used, or returns a budget.RefusedError. The first bytes taken while no request runs begin a message.
func (s *Session) Take(n int) error {
	switch s.phase() {
	case budget.PhaseStarting:
		if budget.Bytes(n) > s.limits.First {
			err := &budget.RefusedError{Reason: budget.ReasonFirst}
			s.limiter.refused(err, "bytes", s.RemoteAddr().String())
			return err
		}
	case budget.PhaseIdle, budget.PhaseOpen:
		s.beginMessage()
	default:
	}
	return s.limiter.take(s.holder, s.RemoteAddr(), budget.Bytes(n))
}

// Give returns bytes.
func (s *Session) Give(n int) {
	if n > 0 {
		s.limiter.give(s.holder, budget.Bytes(n))
	}
}

// beginMessage bounds the time until the rest of a message has arrived.
func (s *Session) beginMessage() {
	s.setPhase(budget.PhaseReading)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.message = time.Now().Add(s.limits.Message)
	// A connection that is closed already has no deadline; the next read reports it.
	_ = s.applyDeadline()
}

// Starting reports whether the connection is not authenticated yet.
func (s *Session) Starting() bool { return s.phase() == budget.PhaseStarting }

// Waiting records that the owner waits for the next message, of which a part may have arrived already. inTransaction is set if a
// transaction would be lost with the connection.
func (s *Session) Waiting(inTransaction bool) {
	switch {
	case s.phase() == budget.PhaseReading:
	case inTransaction:
		s.setPhase(budget.PhaseOpen)
	default:
		s.setPhase(budget.PhaseIdle)
	}
}

// Received records that a whole message has arrived, whose request runs now.
func (s *Session) Received() {
	s.mu.Lock()
	s.message = time.Time{}
	s.mu.Unlock()
	s.setPhase(budget.PhaseBusy)
}

// Continued records that the owner waits for more messages before it runs any; they must arrive in the time of one message.
func (s *Session) Continued() {
	s.beginMessage()
}

// Overdue reports whether a message that has begun has not arrived in time.
func (s *Session) Overdue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.message.IsZero() && !time.Now().Before(s.message)
}

// SetReadDeadline sets the deadline of the wait for a message. The deadline of a message that has begun applies in addition.
func (s *Session) SetReadDeadline(deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = deadline
	return s.applyDeadline()
}

func (s *Session) applyDeadline() error {
	deadline := s.idle
	if !s.message.IsZero() && (deadline.IsZero() || s.message.Before(deadline)) {
		deadline = s.message
	}
	return s.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline sets a deadline for answers; each has to be taken in time in addition.
func (s *Session) SetWriteDeadline(deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write = deadline
	return nil
}

// SetDeadline sets both deadlines.
func (s *Session) SetDeadline(deadline time.Time) error {
	_ = s.SetWriteDeadline(deadline)
	return s.SetReadDeadline(deadline)
}

// armAnswer sets the time by which an answer that is sent now has to be taken. A deadline that leaves at least half of the time stays, since
// most answers are short and follow one another.
func (s *Session) armAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.write.IsZero() && s.armed.Sub(now) > s.limits.Answer/2 {
		return
	}
	s.armed = now.Add(s.limits.Answer)
	if !s.write.IsZero() && s.write.Before(s.armed) {
		s.armed = s.write
	}
	_ = s.Conn.SetWriteDeadline(s.armed)
}

// CloseWrite ends the answers of a TCP connection.
func (s *Session) CloseWrite() error {
	if half, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Write sends an answer; it fails if the caller does not take the answer in time.
func (s *Session) Write(answer []byte) (int, error) {
	s.armAnswer()
	if s.phase() == budget.PhaseBusy && len(answer) > smallAnswer {
		s.setPhase(budget.PhaseWriting)
		defer s.setPhase(budget.PhaseBusy)
	}
	n, err := s.Conn.Write(answer)
	if isTimeout(err) {
		s.limiter.Closed("answer_not_read", s.RemoteAddr().String())
	}
	return n, err
}

// smallAnswer is the size in bytes up to which an answer is not worth the record that it is being written.
const smallAnswer = 4 << 10

// SetTeam records the team that the connection belongs to.
func (s *Session) SetTeam(team ident.Team) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.account.SetTeam(s.holder, team)
}

// CountClosed counts that the owner closes the connection at a limit.
func (s *Session) CountClosed(reason string) {
	s.limiter.Closed(reason, s.RemoteAddr().String())
}

// Close closes the connection and returns what it holds.
func (s *Session) Close() error {
	s.limiter.close(s)
	return s.Conn.Close()
}

func (s *Session) phase() budget.Phase {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	return s.holder.Phase()
}

func (s *Session) setPhase(phase budget.Phase) {
	var now ident.Time
	if phase != budget.PhaseBusy {
		// A busy session is never chosen by its wait.
		now = steady.Now()
	}
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.account.SetPhase(s.holder, phase, now)
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
