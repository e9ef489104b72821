package admission

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

// reasonLargest and reasonLongestWaiting count sessions that are closed for the bytes or the connection of another one.
const (
	reasonLargest        = "largest"
	reasonLongestWaiting = "longest_waiting"
)

// Gate is the budget of one process. Its methods are safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	account  *budget.Account
	sessions map[*budget.Holder]*Session
	// logged is when each kind of event was last logged, and omitted the events since then.
	logged  map[string]ident.Time
	omitted map[string]int
}

// held is the number of bytes that callers make the process hold.
var held = metrics.NewCounter("tamarack_callers_held_bytes")

// New returns a gate without connections.
func New(limits budget.Limits) *Gate {
	return &Gate{
		account: budget.New(limits), sessions: map[*budget.Holder]*Session{}, logged: map[string]ident.Time{}, omitted: map[string]int{},
	}
}

// Open admits a connection of a listener. The connection is closed if it is refused.
func (g *Gate) Open(listener budget.Listener, connection net.Conn, limits budget.SessionLimits) (*Session, error) {
	host, _, err := net.SplitHostPort(connection.RemoteAddr().String())
	if err != nil {
		host = connection.RemoteAddr().String()
	}
	s := &Session{Conn: connection, gate: g, limits: limits}
	g.mu.Lock()
	holder, victim, err := g.account.Open(listener, host, steady.Now())
	evicted := g.remove(victim)
	if err == nil {
		s.holder = holder
		g.sessions[holder] = s
	}
	g.update()
	g.mu.Unlock()
	g.evict(evicted, reasonLongestWaiting, listener.Name)
	if err != nil {
		g.refused(err, listener.Name, host)
		_ = connection.Close()
		return nil, err
	}
	return s, nil
}

// take reserves bytes for a holder, whose name is for the log, and closes the sessions that have to go for it.
func (g *Gate) take(holder *budget.Holder, name fmt.Stringer, n budget.Bytes) error {
	g.mu.Lock()
	victims, err := g.account.Take(holder, n)
	evicted := make([]*Session, 0, len(victims))
	for _, v := range victims {
		evicted = append(evicted, g.remove(v))
	}
	g.update()
	g.mu.Unlock()
	for _, v := range evicted {
		g.evict(v, reasonLargest, v.RemoteAddr().String())
	}
	if err != nil {
		g.refused(err, "bytes", name.String())
	}
	return err
}

func (g *Gate) give(holder *budget.Holder, n budget.Bytes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Give(holder, n)
	g.update()
}

func (g *Gate) close(s *Session) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Close(s.holder)
	delete(g.sessions, s.holder)
	g.update()
}

// remove removes the session of a holder, which may be nil.
func (g *Gate) remove(holder *budget.Holder) *Session {
	s := g.sessions[holder]
	delete(g.sessions, holder)
	return s
}

// update sets the gauge of held bytes.
func (g *Gate) update() {
	held.Set(uint64(g.account.Used()))
}

// evict closes the connection of a session that goes for another one.
func (g *Gate) evict(s *Session, reason, of string) {
	if s == nil {
		return
	}
	connection := s.Conn
	if secured, ok := connection.(*tls.Conn); ok {
		// The end of TLS would wait for a peer that reads nothing.
		connection = secured.NetConn()
	}
	_ = connection.Close()
	g.Closed(reason, of)
}

// Closed counts and logs a connection that a limit has closed.
func (g *Gate) Closed(reason, of string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("tamarack_callers_closed_total{reason=%q}", reason)).Inc()
	g.log("Callers closed at a limit", reason, of)
}

// refused counts and logs a refusal.
func (g *Gate) refused(err error, what, of string) {
	var refusal *budget.RefusedError
	if !errors.As(err, &refusal) {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("tamarack_callers_refused_total{reason=%q}", refusal.Reason)).Inc()
	g.log("Callers refused at a limit", refusal.Reason.String()+" of "+what, of)
}

// log logs an event unless one of the same kind was logged lately; the next line has the number of those that were not logged.
func (g *Gate) log(event, reason, of string) {
	kind, now := event+reason, steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	last, found := g.logged[kind]
	if found && now.Sub(last) < logInterval {
		g.omitted[kind]++
		return
	}
	klog.InfoS(event, "reason", reason, "latest", of, "omitted", g.omitted[kind], "held", g.account.Used(), "connections", len(g.sessions))
	g.logged[kind], g.omitted[kind] = now, 0
}
