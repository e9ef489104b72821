package gate

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
)

// logInterval is the interval between two log lines of the same kind.
const logInterval = 10 * time.Second

// reasonLargest labels sessions that are closed to free bytes for another one, and reasonLongestWaiting those that are closed to admit a
// new connection.
const (
	reasonLargest        = "largest"
	reasonLongestWaiting = "longest_waiting"
)

// Limiter holds the connections of one process within its limits. Its methods are safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	account  *budget.Account
	sessions map[*budget.Holder]*Session
	// logged is when each kind of event was last logged, and omitted the events since then.
	logged  map[string]ident.Time
	omitted map[string]int
}

// held is the number of bytes that callers make the process hold.
var held = metrics.NewCounter("tamarack_callers_held_bytes")

// New returns a limiter without connections.
func New(limits budget.Limits) *Limiter {
	return &Limiter{
		account: budget.New(limits), sessions: map[*budget.Holder]*Session{}, logged: map[string]ident.Time{}, omitted: map[string]int{},
	}
}

// Open admits a connection of a listener. The connection is closed if it is refused.
func (l *Limiter) Open(listener budget.Listener, connection net.Conn, limits budget.SessionLimits) (*Session, error) {
	host, _, err := net.SplitHostPort(connection.RemoteAddr().String())
	if err != nil {
		host = connection.RemoteAddr().String()
	}
	s := &Session{Conn: connection, limiter: l, limits: limits}
	l.mu.Lock()
	holder, victim, err := l.account.Open(listener, host, steady.Now())
	evicted := l.remove(victim)
	if err == nil {
		s.holder = holder
		l.sessions[holder] = s
	}
	l.update()
	l.mu.Unlock()
	l.evict(evicted, reasonLongestWaiting, listener.Name)
	if err != nil {
		l.refused(err, listener.Name, host)
		_ = connection.Close()
		return nil, err
	}
	return s, nil
}

// take reserves bytes for a holder, whose name is for the log, and closes the sessions that have to give way.
func (l *Limiter) take(holder *budget.Holder, name fmt.Stringer, n budget.Bytes) error {
	l.mu.Lock()
	victims, err := l.account.Take(holder, n)
	evicted := make([]*Session, 0, len(victims))
	for _, v := range victims {
		evicted = append(evicted, l.remove(v))
	}
	l.update()
	l.mu.Unlock()
	for _, v := range evicted {
		l.evict(v, reasonLargest, v.RemoteAddr().String())
	}
	if err != nil {
		l.refused(err, "bytes", name.String())
	}
	return err
}

func (l *Limiter) give(holder *budget.Holder, n budget.Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.Give(holder, n)
	l.update()
}

func (l *Limiter) close(s *Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.Close(s.holder)
	delete(l.sessions, s.holder)
	l.update()
}

// remove removes the session of a holder, which may be nil, and returns it. The caller must hold mu.
func (l *Limiter) remove(holder *budget.Holder) *Session {
	s := l.sessions[holder]
	delete(l.sessions, holder)
	return s
}

// update sets the gauge of held bytes. The caller must hold mu.
func (l *Limiter) update() {
	held.Set(uint64(l.account.Used()))
}

// evict closes the connection of a session that gives way to another one.
func (l *Limiter) evict(s *Session, reason, of string) {
	if s == nil {
		return
	}
	connection := s.Conn
	if secured, ok := connection.(*tls.Conn); ok {
		// The end of TLS would wait for a peer that reads nothing.
		connection = secured.NetConn()
	}
	_ = connection.Close()
	l.Closed(reason, of)
}

// Closed counts and logs a connection that a limit has closed.
func (l *Limiter) Closed(reason, of string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("tamarack_callers_closed_total{reason=%q}", reason)).Inc()
	l.log("Callers closed at a limit", reason, of)
}

// refused counts and logs a refusal.
func (l *Limiter) refused(err error, what, of string) {
	var refusal *budget.RefusedError
	if !errors.As(err, &refusal) {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("tamarack_callers_refused_total{reason=%q}", refusal.Reason)).Inc()
	l.log("Callers refused at a limit", refusal.Reason.String()+" of "+what, of)
}

// log logs an event unless one of the same kind was logged lately; the next line has the number of those that were not logged.
func (l *Limiter) log(event, reason, of string) {
	kind, now := event+reason, steady.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	last, found := l.logged[kind]
	if found && now.Sub(last) < logInterval {
		l.omitted[kind]++
		return
	}
	klog.InfoS(event, "reason", reason, "latest", of, "omitted", l.omitted[kind], "held", l.account.Used(), "connections", len(l.sessions))
	l.logged[kind], l.omitted[kind] = now, 0
}
