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

// retryPause is the wait before a request that has to succeed is tried again.
const retryPause = 50 * time.Millisecond

// Session is a session and the key that it shows.
type Session struct {
	ident.Session
	Key string
}

// Sample is the result of one request.
type Sample struct {
	Session ident.Session
	Address string
	Kind    Kind
	// At is when the answer came, from the start of the run.
	At      ident.Time
	Elapsed time.Duration
	// Code is the SQLSTATE of the failure, or "" for success.
	Code string
	Err  error
}

// Options holds what Start needs.
type Options struct {
	// Seed gives the schedule of every session.
	Seed     uint64
	Sessions []Session
	// Pick returns the address of an entry host for a random number.
	Pick func(random int) string
	// Sticky sessions stay at the host that Pick returns for their index.
	Sticky bool
	Mix    Mix
	// Pace is the least time from one request of a session to its next.
	Pace time.Duration
	// Requests ends a session after so many requests; 0 means that only Stop ends it.
	Requests int
	// Simple uses the simple query protocol.
	Simple bool
	// Observe gets each sample; sessions call it concurrently.
	Observe func(Sample)
}

// Runner is a workload that is running.
type Runner struct {
	opts    Options
	log     *history.Log
	started time.Time
	stop    chan struct{}
	once    sync.Once
	group   sync.WaitGroup
	mutex   sync.Mutex
	codes   map[string]int
	first   map[string]error
	wrong   []error
}

// Start creates the sessions' counters and starts their requests.
func Start(ctx context.Context, opts Options) (*Runner, error) {
	r := &Runner{
		opts: opts, log: &history.Log{}, started: time.Now(), stop: make(chan struct{}), codes: make(map[string]int),
		first: make(map[string]error),
	}
	clients := make([]*client, len(opts.Sessions))
	failures := make([]error, len(opts.Sessions))
	var opening sync.WaitGroup
	for i, s := range opts.Sessions {
		clients[i] = newClient(r, i, s)
		opening.Go(func() { failures[i] = clients[i].open(ctx) })
	}
	opening.Wait()
	if err := trace.NewAggregate(failures...); err != nil {
		for _, c := range clients {
			c.close()
		}
		return nil, err
	}
	for _, c := range clients {
		r.group.Go(func() { r.drive(c) })
	}
	return r, nil
}

func (r *Runner) drive(c *client) {
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
	r.codes[s.Code]++
	if s.Err != nil && r.first[s.Code] == nil {
		r.first[s.Code] = s.Err
	}
	var wrong *WrongAnswerError
	if errors.As(s.Err, &wrong) {
		r.wrong = append(r.wrong, s.Err)
	}
	r.mutex.Unlock()
	if r.opts.Observe != nil {
		r.opts.Observe(s)
	}
}

func (r *Runner) now() ident.Time {
	return ident.Time(time.Since(r.started))
}

// Now returns the time since the start, as samples and history use it.
func (r *Runner) Now() ident.Time { return r.now() }

// Wait waits until all sessions have ended.
func (r *Runner) Wait() { r.group.Wait() }

// Stop ends all sessions after their current requests.
func (r *Runner) Stop() {
	r.once.Do(func() { close(r.stop) })
	r.group.Wait()
}

// Events returns the history so far.
func (r *Runner) Events() []history.Event { return r.log.Events() }

// Codes counts the requests by SQLSTATE; "" is success.
func (r *Runner) Codes() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.codes)
}

// Examples returns the first failure of each SQLSTATE.
func (r *Runner) Examples() map[string]error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.first)
}

// WrongAnswers returns the answers that belonged to other requests.
func (r *Runner) WrongAnswers() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return trace.NewAggregate(r.wrong...)
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

// Any returns a Pick that takes addresses modulo their number.
func Any(addresses []string) func(int) string {
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
