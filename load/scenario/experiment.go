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
	// startLimit bounds the time until a started fleet serves.
	startLimit = 60 * time.Second
	// verifyLimit bounds reading what the upstreams hold at the end.
	verifyLimit = 30 * time.Second
	// settlePause is the time between two readings of an upstream that have to be equal.
	settlePause = 500 * time.Millisecond
	// violationsShown bounds the lines that a broken run prints.
	violationsShown = 20
)

// Options holds what Start needs.
type Options struct {
	Deployment *fleetpb.Deployment
	Bin        string
	Relays     bool
	Change     func(hosts []*fleetpb.HostSettings, standins []*fleetpb.StandinSettings)
	// Say gets one line for each step.
	Say func(format string, args ...any)
}

// Load is the workload of an experiment; zero values leave the defaults.
type Load struct {
	Seed uint64
	// Users is the number of sessions for each service and team.
	Users int
	workload.Mix
	// Pace is the least time between requests of a session.
	Pace time.Duration
	// Requests ends each session after so many requests; 0 means that only Stop ends it.
	Requests int
	Simple   bool
	// Sessions replaces the sessions of all services and teams; Pick replaces the choice of hosts.
	Sessions []workload.Session
	Pick     func(random int) string
	Sticky   bool
	// Balanced sends requests only to hosts that answer /ready.
	Balanced bool
	Observe  func(workload.Sample)
}

// Experiment is a fleet that serves a workload.
type Experiment struct {
	Fleet  *launch.Fleet
	Runner *workload.Runner
	// past are the events of earlier workloads on the same fleet; each workload has sessions of its own.
	past []history.Event
	runs int
	say  func(format string, args ...any)
	stop context.CancelFunc
	ctx  context.Context
}

// Start starts a deployment and brings it into service.
func Start(ctx context.Context, opts Options) (*Experiment, error) {
	began := time.Now()
	fleet, err := launch.New(launch.Options{
		Deployment: opts.Deployment, Bin: opts.Bin, Relays: opts.Relays, Change: opts.Change,
	})
	if err != nil {
		return nil, err
	}
	e := &Experiment{Fleet: fleet, say: opts.Say}
	e.ctx, e.stop = context.WithCancel(ctx)
	e.say("started %d hosts and %d upstreams of %s; logs in %s",
		len(fleet.Hosts), len(fleet.Standins), opts.Deployment.GetName(), fleet.Dir)
	limited, stop := context.WithTimeout(ctx, startLimit)
	defer stop()
	if err := fleet.Serve(limited); err != nil {
		return nil, trace.NewAggregate(err, e.Close())
	}
	e.say("the fleet serves after %s", round(time.Since(began)))
	return e, nil
}

// Run starts the workload.
func (e *Experiment) Run(load Load) error {
	pick := workload.Any(e.Fleet.Callers())
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
		e.past = append(e.past, e.Runner.Events()...)
		// A workload that fails to start must not leave the events of the last one to be counted twice.
		e.Runner = nil
	}
	e.runs++
	for i := range sessions {
		sessions[i].User += ident.User(fmt.Sprintf("-run%d", e.runs))
	}
	limited, stop := context.WithTimeout(e.ctx, startLimit)
	defer stop()
	runner, err := workload.Start(limited, workload.Options{
		Seed: load.Seed, Sessions: sessions, Pick: pick, Sticky: load.Sticky, Mix: load.Mix, Pace: load.Pace,
		Requests: load.Requests, Simple: load.Simple, Observe: load.Observe,
	})
	if err != nil {
		return err
	}
	e.Runner = runner
	e.say("%d sessions send requests, seed %d", len(sessions), load.Seed)
	return nil
}

func (e *Experiment) balancer() *workload.Balancer {
	var targets []workload.Target
	for _, h := range e.Fleet.Hosts {
		targets = append(targets, workload.Target{Caller: h.Caller, Peer: h.Settings.GetPeer()})
	}
	return workload.NewBalancer(e.ctx, targets)
}

// Pause lets the workload run on for a while, or until the experiment's context ends.
func (e *Experiment) Pause(d time.Duration) {
	select {
	case <-e.ctx.Done():
	case <-time.After(d):
	}
}

// Progress waits until n more writes have been acknowledged for a service, so that a step does not depend on the time
// that the machine needs.
func (e *Experiment) Progress(ctx context.Context, service string, n int) error {
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
				n-(want-count()), n, service, Codes(e.Runner.Codes()))
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// Verify ends the workload, reads what the primaries hold and checks the history of all workloads of the experiment.
func (e *Experiment) Verify() (history.Verdict, error) {
	e.Runner.Stop()
	ctx, stop := context.WithTimeout(e.ctx, verifyLimit)
	defer stop()
	final := history.NewFinalState()
	for _, service := range e.Fleet.Services() {
		if err := e.readFinal(ctx, service, final); err != nil {
			return history.Verdict{}, trace.Wrap(err, "reading what the primary of %s holds", service)
		}
	}
	verdict := history.Check(append(slices.Clone(e.past), e.Runner.Events()...), final)
	e.say("history: %s", verdict)
	e.say("answers: %s", Codes(e.Runner.Codes()))
	examples := e.Runner.Examples()
	for _, code := range slices.Sorted(maps.Keys(examples)) {
		e.say("first %s: %v", code, examples[code])
	}
	for _, v := range verdict.Violations[:min(len(verdict.Violations), violationsShown)] {
		e.say("violation: %s", v)
	}
	return verdict, e.Runner.WrongAnswers()
}

// readFinal reads until two readings are equal, since a statement whose caller gave up may still be running.
func (e *Experiment) readFinal(ctx context.Context, service string, final *history.FinalState) error {
	var last *history.FinalState
	for {
		primary, _, err := e.Fleet.Primary(ctx, service, 0)
		if err != nil {
			return err
		}
		s := primary.Settings
		now := history.NewFinalState()
		err = workload.ReadFinal(ctx, s.GetListen(), s.GetUser(), s.GetPassword(), ident.Service(service), now)
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
		case <-time.After(settlePause):
		}
	}
}

// Close ends the workload and the processes; the folder of logs stays after a failure.
func (e *Experiment) Close() error {
	if e.Runner != nil {
		e.Runner.Stop()
	}
	e.stop()
	return e.Fleet.Close()
}

// End is Close for deferred calls after an error that is more important than that of Close.
func (e *Experiment) End() { _ = e.Close() }

// Discard removes the folder with settings, logs and data, after Close.
func (e *Experiment) Discard() error {
	return trace.ConvertSystemError(os.RemoveAll(e.Fleet.Dir))
}

// Codes returns counts of answers by SQLSTATE in one line.
func Codes(codes map[string]int) string {
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
