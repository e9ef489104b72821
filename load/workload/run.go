package workload

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/history"
)

// retryPause is the wait before a client retries the creation of its counter.
const retryPause = 50 * time.Millisecond

// Session is a session with the key that it authenticates with.
type Session struct {
	ident.Session
	Key string
}

// Sample is the result of one request.
type Sample struct {
	Session ident.Session
	Address string
	Kind    Kind
	// At is when the answer arrived, relative to the start of the run.
	At      ident.Time
	Elapsed time.Duration
	// Code is the SQLSTATE of the failure, or "" for success.
	Code string
	Err  error
}

// Options holds what Start needs.
type Options struct {
	// Seed determines the schedules of all sessions.
	Seed     uint64
	Sessions []Session
	// Pick maps a random number to the address of an entry host.
	Pick func(random int) string
	// Sticky sessions always use the host that Pick returns for their index.
	Sticky bool
	Mix    Mix
	// Pace is the minimum time between the starts of two requests of a session.
	Pace time.Duration
	// Requests is the number of requests after which a session ends; 0 means that only Stop ends it.
	Requests int
	// Simple selects the simple query protocol.
	Simple bool
	// Observe is called with each sample, concurrently by all sessions.
	Observe func(Sample)
}

// Runner is a running workload.
type Runner struct {
	opts         Options
	log          *history.Log
	started      time.Time
	stop         chan struct{}
	stopOnce     sync.Once
	group        sync.WaitGroup
	mutex        sync.Mutex
	codeCounts   map[string]int
	firstErrors  map[string]error
	wrongAnswers []error
}

// Start creates the sessions' counters and starts their requests.
func Start(ctx context.Context, opts Options) (*Runner, error) {
	r := &Runner{
		opts: opts, log: &history.Log{}, started: time.Now(), stop: make(chan struct{}), codeCounts: make(map[string]int),
		firstErrors: make(map[string]error),
	}
	clients := make([]*client, len(opts.Sessions))
	failures := make([]error, len(opts.Sessions))
	var opening sync.WaitGroup
	for i, s := range opts.Sessions {
		clients[i] = newClient(r, i, s)
		opening.Go(func() { failures[i] = clients[i].createCounter(ctx) })
	}
	opening.Wait()
	if err := trace.NewAggregate(failures...); err != nil {
		for _, c := range clients {
			c.close()
		}
		return nil, err
	}
	for _, c := range clients {
		r.group.Go(func() { r.runSession(c) })
	}
	return r, nil
}

func (r *Runner) runSession(c *client) {
	defer c.close()
	for n := 0; r.opts.Requests == 0 || n < r.opts.Requests; n++ {
		next := time.Now().Add(r.opts.Pace)
		select {
		case <-r.stop:
			return
		default:
		}
		r.observe(c.do(c.schedule.Next()))
		select {
		case <-r.stop:
			return
		case <-time.After(time.Until(next)):
		}
	}
}

func (r *Runner) observe(s Sample) {
	r.mutex.Lock()
	r.codeCounts[s.Code]++
	if s.Err != nil && r.firstErrors[s.Code] == nil {
		r.firstErrors[s.Code] = s.Err
	}
	var wrong *WrongAnswerError
	if errors.As(s.Err, &wrong) {
		r.wrongAnswers = append(r.wrongAnswers, s.Err)
	}
	r.mutex.Unlock()
	if r.opts.Observe != nil {
		r.opts.Observe(s)
	}
}

func (r *Runner) now() ident.Time {
	return ident.Time(time.Since(r.started))
}

// Now returns the time since the start, the clock of samples and of the history.
func (r *Runner) Now() ident.Time { return r.now() }

// Wait waits until all sessions have ended.
func (r *Runner) Wait() { r.group.Wait() }

// Stop ends all sessions after their current requests and waits for them.
func (r *Runner) Stop() {
	r.stopOnce.Do(func() { close(r.stop) })
	r.group.Wait()
}

// Events returns the history so far.
func (r *Runner) Events() []history.Event { return r.log.Events() }

// Codes counts the requests by SQLSTATE; "" is success.
func (r *Runner) Codes() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.codeCounts)
}

// FirstErrors returns the first error by SQLSTATE.
func (r *Runner) FirstErrors() map[string]error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.firstErrors)
}

// WrongAnswers returns an aggregate of all WrongAnswerErrors, or nil.
func (r *Runner) WrongAnswers() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return trace.NewAggregate(r.wrongAnswers...)
}

// Sessions returns count sessions for each service and team, each with the key of its team.
func Sessions(services, teams []string, keys map[string]string, count int) []Session {
	var all []Session
	for _, service := range services {
		for _, team := range teams {
			for i := range count {
				all = append(all, Session{
					Session: ident.Session{
						Service: ident.Service(service), Team: ident.Team(team), User: ident.User(fmt.Sprintf("user%d", i+1)),
					},
					Key: keys[team],
				})
			}
		}
	}
	return all
}

// PickModulo returns a function for Options.Pick that indexes addresses modulo their number.
func PickModulo(addresses []string) func(int) string {
	return func(random int) string { return addresses[random%len(addresses)] }
}

func splitAddress(address string) (string, uint16, error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, trace.BadParameter("address %q is not of the form host:port", address)
	}
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return "", 0, trace.BadParameter("address %q has no port number", address)
	}
	return host, uint16(port), nil
}
