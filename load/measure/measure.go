package measure

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/load/history"
	"tamarackshunt.dev/load/scenario"
)

// Bounds of section 2 of the design page.
const (
	boundReplicaShare = 0.90
	boundGapMedian    = 3 * time.Second
	boundGapMax       = 20 * time.Second
	boundFairShare    = 0.95
	// boundIdleTraffic is in bytes per second.
	boundIdleTraffic = 11_000
)

// Result is the result of one measure with its bound.
type Result struct {
	Name, Value, Bound string
	Met                bool
	// Baselines are the results of other policies; each text states how it was obtained.
	Baselines []string
}

// Options holds what Run needs.
type Options struct {
	scenario.Options
	Seed uint64
	Out  io.Writer
	// Only names the measures to run; empty means all.
	Only []string
}

type measure struct {
	name string
	// heavy measures have hundreds of sessions and run without relays.
	heavy bool
	run   func(ctx context.Context, m *runState) (Result, error)
}

// measures lists the measures in the order in which they run. The first needs an idle fleet; zones and fairness change the
// configuration in Deployment.Text.
var measures = []measure{
	{"idle", false, idleTraffic},
	{"reads", false, replicaShare},
	{"failover", false, failoverGap},
	{"zones", false, zoneChange},
	{"rates", true, wrongfulRejections},
	{"fairness", true, worstServed},
}

// Names returns the names of the measures.
func Names() []string {
	var names []string
	for _, m := range measures {
		names = append(names, m.name)
	}
	return names
}

// runState is the state that the measures of a run share.
type runState struct {
	*scenario.Experiment
	opts Options
	// verdict is the result of the last check, which covers the history of all measures so far.
	verdict history.Verdict
}

// Run runs the measures and prints their results. Heavy measures run on a second fleet, without the delays of the deployment.
// A CompareFailed error means that a bound wasn't met or a history has violations.
func Run(ctx context.Context, opts Options) error {
	for _, name := range opts.Only {
		if !contains(Names(), name) {
			return trace.BadParameter("no measure %q, expected %s", name, strings.Join(Names(), ", "))
		}
	}
	var light, heavy []measure
	for _, each := range measures {
		switch {
		case len(opts.Only) > 0 && !contains(opts.Only, each.name):
		case each.heavy:
			heavy = append(heavy, each)
		default:
			light = append(light, each)
		}
	}
	return trace.NewAggregate(runFleet(ctx, opts, light, true), runFleet(ctx, opts, heavy, false))
}

// runFleet runs the selected measures on a new fleet. Heavy measures need one without relays: the relays run in this process,
// where hundreds of sessions would delay the fleet's control traffic until its hosts lose their leases.
func runFleet(ctx context.Context, opts Options, selected []measure, relays bool) error {
	if len(selected) == 0 {
		return nil
	}
	opts.Relays = relays
	e, err := scenario.Start(ctx, opts.Options)
	if err != nil {
		return err
	}
	defer e.CloseIgnoringError()
	m := &runState{Experiment: e, opts: opts}
	var results []Result
	for _, each := range selected {
		opts.Logf("measuring %s", each.name)
		result, err := each.run(ctx, m)
		if err != nil {
			result = Result{Name: each.name, Value: "failed: " + trace.UserMessage(err)}
		}
		results = append(results, result)
	}
	return m.printResults(results)
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (m *runState) printResults(results []Result) error {
	title := "Measures of " + m.Fleet.Deployment.GetName() + ", without network delays"
	if m.opts.Relays {
		title = "Measures of " + m.Fleet.Deployment.GetName() + ", with the delays of its network"
	}
	table := Table{Title: title, Header: []string{"measure", "value", "bound", "met"}}
	missed := 0
	for _, r := range results {
		met := "yes"
		if !r.Met {
			met = "NO"
			missed++
		}
		table.Add(r.Name, r.Value, r.Bound, met)
		for _, baseline := range r.Baselines {
			table.Add("- baseline", baseline, "", "")
		}
	}
	violations := len(m.verdict.Violations)
	table.Note = fmt.Sprintf("History of all runs together: %d violations. Times are of this machine.", violations)
	if err := table.Write(m.opts.Out); err != nil {
		return trace.Wrap(err)
	}
	if missed > 0 || violations > 0 {
		return trace.CompareFailed("%d bounds were not met, %d violations; logs are in %s", missed, violations, m.Fleet.Dir)
	}
	return trace.NewAggregate(m.Close(), m.RemoveDir())
}

// stopAndCheck stops the workload and checks the history.
func (m *runState) stopAndCheck() (err error) {
	m.verdict, err = m.Verify()
	return err
}
