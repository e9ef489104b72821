package scenario

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/history"
	"tamarackshunt.dev/load/launch"
	"tamarackshunt.dev/load/workload"
)

const (
	// startTimeout bounds the time until a started fleet or workload is ready.
	startTimeout = 60 * time.Second
	// verifyTimeout bounds reading the final state from the upstreams.
	verifyTimeout = 30 * time.Second
	// rereadInterval is the time between reads of an upstream's final state.
	rereadInterval = 500 * time.Millisecond
	// maxViolationsShown bounds the number of violations that Verify prints.
	maxViolationsShown = 20
)

// Options holds what Start needs.
type Options struct {
	Deployment   *fleetpb.Deployment
	Bin          string
	Relays       bool
	EditSettings func(hosts []*fleetpb.HostSettings, standins []*fleetpb.StandinSettings)
	// Logf prints one line for each step.
	Logf func(format string, args ...any)
}

// Load describes the workload of an experiment; zero values select the defaults.
type Load struct {
	Seed uint64
	// Users is the number of sessions for each service and team.
	Users int
	workload.Mix
	// Pace is the minimum time between the starts of two requests of a session.
	Pace time.Duration
	// Requests is the number of requests after which a session ends; 0 means that only Stop ends it.
	Requests int
	Simple   bool
	// Sessions replaces the default sessions of all services and teams; Pick replaces the default choice of hosts.
	Sessions []workload.Session
	Pick     func(random int) string
	Sticky   bool
	// Balanced sends requests only to hosts that answer /ready.
	Balanced bool
	Observe  func(workload.Sample)
}

// Experiment is a running fleet with a workload.
type Experiment struct {
	Fleet  *launch.Fleet
	Runner *workload.Runner
	// pastEvents are the events of earlier workloads on the same fleet; each workload uses its own sessions.
	pastEvents []history.Event
	runs       int
	logf       func(format string, args ...any)
	stop       context.CancelFunc
	ctx        context.Context
}

// Start starts a deployment and waits until it serves requests.
func Start(ctx context.Context, opts Options) (*Experiment, error) {
	began := time.Now()
	fleet, err := launch.New(launch.Options{
		Deployment: opts.Deployment, Bin: opts.Bin, Relays: opts.Relays, EditSettings: opts.EditSettings,
	})
	if err != nil {
		return nil, err
	}
	e := &Experiment{Fleet: fleet, logf: opts.Logf}
	e.ctx, e.stop = context.WithCancel(ctx)
	e.logf("started %d hosts and %d upstreams of %s; logs in %s",
		len(fleet.Hosts), len(fleet.Standins), opts.Deployment.GetName(), fleet.Dir)
	limited, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	if err := fleet.Initialize(limited); err != nil {
		return nil, trace.NewAggregate(err, e.Close())
	}
	e.logf("the fleet serves after %s", round(time.Since(began)))
	return e, nil
}

// Run starts a workload; it first stops the one that is running, if any.
func (e *Experiment) Run(load Load) error {
	pick := workload.PickModulo(e.Fleet.Callers())
	if load.Balanced {
		pick = e.balancer().Pick
	}
	if load.Pick != nil {
		pick = load.Pick
	}
	sessions := load.Sessions
	if sessions == nil {
		sessions = workload.Sessions(e.Fleet.Services(), e.Fleet.Teams(), e.Fleet.Keys, max(load.Users, 1))
	}
	if e.Runner != nil {
		e.Runner.Stop()
		e.pastEvents = append(e.pastEvents, e.Runner.Events()...)
		// If the new workload fails to start, the events of the stopped one must not be counted twice.
		e.Runner = nil
	}
	e.runs++
	for i := range sessions {
		sessions[i].User += ident.User(fmt.Sprintf("-run%d", e.runs))
	}
	limited, stop := context.WithTimeout(e.ctx, startTimeout)
	defer stop()
	runner, err := workload.Start(limited, workload.Options{
		Seed: load.Seed, Sessions: sessions, Pick: pick, Sticky: load.Sticky, Mix: load.Mix, Pace: load.Pace,
		Requests: load.Requests, Simple: load.Simple, Observe: load.Observe,
	})
	if err != nil {
		return err
	}
	e.Runner = runner
	e.logf("%d sessions send requests, seed %d", len(sessions), load.Seed)
	return nil
}

func (e *Experiment) balancer() *workload.Balancer {
	var targets []workload.Target
	for _, h := range e.Fleet.Hosts {
		targets = append(targets, workload.Target{Caller: h.Caller, Peer: h.Settings.GetPeer()})
	}
	return workload.NewBalancer(e.ctx, targets)
}

// Pause waits for a duration, or until the experiment's context ends, while the workload runs.
func (e *Experiment) Pause(d time.Duration) {
	select {
	case <-e.ctx.Done():
	case <-time.After(d):
	}
}

// WaitForWrites waits until n more writes of a service have been acknowledged. Waiting for writes rather than for a fixed time
// keeps steps independent of the machine's speed.
func (e *Experiment) WaitForWrites(ctx context.Context, service string, n int) error {
	count := func() (acknowledged int) {
		for _, event := range e.Runner.Events() {
			w, ok := event.(history.Write)
			if ok && w.Outcome == history.Acknowledged && string(w.Session.Service) == service {
				acknowledged++
			}
		}
		return acknowledged
	}
	want := count() + n
	for count() < want {
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("%d of %d more writes of %s were acknowledged; answers so far: %s",
				n-(want-count()), n, service, FormatCodes(e.Runner.Codes()))
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// Verify stops the workload, reads the final state from the primaries and checks the history of all workloads so far.
func (e *Experiment) Verify() (history.Verdict, error) {
	e.Runner.Stop()
	ctx, stop := context.WithTimeout(e.ctx, verifyTimeout)
	defer stop()
	final := history.NewFinalState()
	for _, service := range e.Fleet.Services() {
		if err := e.readFinal(ctx, service, final); err != nil {
			return history.Verdict{}, trace.Wrap(err, "reading what the primary of %s holds", service)
		}
	}
	verdict := history.Check(append(slices.Clone(e.pastEvents), e.Runner.Events()...), final)
	e.logf("history: %s", verdict)
	e.logf("answers: %s", FormatCodes(e.Runner.Codes()))
	examples := e.Runner.FirstErrors()
	for _, code := range slices.Sorted(maps.Keys(examples)) {
		e.logf("first %s: %v", code, examples[code])
	}
	for _, v := range verdict.Violations[:min(len(verdict.Violations), maxViolationsShown)] {
		e.logf("violation: %s", v)
	}
	return verdict, e.Runner.WrongAnswers()
}

// readFinal adds a service's final state to final. It reads until two successive reads are equal, since statements whose
// callers have given up may still be running.
func (e *Experiment) readFinal(ctx context.Context, service string, final *history.FinalState) error {
	var last *history.FinalState
	for {
		primary, _, err := e.Fleet.Primary(ctx, service, 0)
		if err != nil {
			return err
		}
		s := primary.Settings
		now := history.NewFinalState()
		err = workload.ReadFinalState(ctx, s.GetListen(), s.GetUser(), s.GetPassword(), ident.Service(service), now)
		if err == nil && last != nil && maps.Equal(last.Rows, now.Rows) && maps.Equal(last.Counters, now.Counters) {
			maps.Copy(final.Rows, now.Rows)
			maps.Copy(final.Counters, now.Counters)
			return nil
		}
		last = now
		if err != nil {
			last = nil
		}
		select {
		case <-ctx.Done():
			return trace.NewAggregate(ctx.Err(), err)
		case <-time.After(rereadInterval):
		}
	}
}

// Close stops the workload and the processes; it keeps the folder with settings, logs and data.
func (e *Experiment) Close() error {
	if e.Runner != nil {
		e.Runner.Stop()
	}
	e.stop()
	return e.Fleet.Close()
}

// CloseIgnoringError is Close for deferred calls; it drops Close's error, since an earlier error matters more.
func (e *Experiment) CloseIgnoringError() { _ = e.Close() }

// RemoveDir removes the folder with settings, logs and data; call it after Close.
func (e *Experiment) RemoveDir() error {
	return trace.ConvertSystemError(os.RemoveAll(e.Fleet.Dir))
}

// FormatCodes formats the number of answers by SQLSTATE in one line.
func FormatCodes(codes map[string]int) string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		name := code
		if code == "" {
			name = "done"
		}
		parts = append(parts, fmt.Sprintf("%s %d", name, codes[code]))
	}
	return strings.Join(parts, ", ")
}

func round(d time.Duration) time.Duration {
	return d.Round(10 * time.Millisecond)
}
