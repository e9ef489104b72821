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
	boundIdleTraffic  = 11_000
)

// Result is one measure beside its bound.
type Result struct {
	Name, Value, Bound string
	Met                bool
	// Baselines are what other policies reach; each says how it was obtained.
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
	// heavy measures have hundreds of sessions.
	heavy bool
	run   func(ctx context.Context, m *run) (Result, error)
}

// measures are in the order in which they run; the first needs an idle fleet, the last two change its text.
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

// run is the state that measures share.
type run struct {
	*scenario.Experiment
	opts Options
	// verdict is the result of the last check, which covers the history of all measures before it.
	verdict history.Verdict
}

// Run takes the measures and prints them: those with few sessions on a fleet with the delays of its deployment, those with
// hundreds on a second one without. A CompareFailed error means that a bound was not met or a history is wrong.
func Run(ctx context.Context, opts Options) error {
	for _, name := range opts.Only {
		if !wanted(Names(), name) {
			return trace.BadParameter("no measure %q, expected %s", name, strings.Join(Names(), ", "))
		}
	}
	var light, heavy []measure
	for _, each := range measures {
		switch {
		case len(opts.Only) > 0 && !wanted(opts.Only, each.name):
		case each.heavy:
			heavy = append(heavy, each)
		default:
			light = append(light, each)
		}
	}
	return trace.NewAggregate(runFleet(ctx, opts, light, true), runFleet(ctx, opts, heavy, false))
}

// runFleet takes some measures on a fleet of their own. The relays that make the delays are in this process, where hundreds
// of sessions would hold up the control traffic of the fleet, so that its hosts would lose their leases.
func runFleet(ctx context.Context, opts Options, chosen []measure, relays bool) error {
	if len(chosen) == 0 {
		return nil
	}
	opts.Relays = relays
	e, err := scenario.Start(ctx, opts.Options)
	if err != nil {
		return err
	}
	defer e.CloseIgnoringError()
	m := &run{Experiment: e, opts: opts}
	var results []Result
	for _, each := range chosen {
		opts.Logf("measuring %s", each.name)
		result, err := each.run(ctx, m)
		if err != nil {
			result = Result{Name: each.name, Value: "failed: " + trace.UserMessage(err)}
		}
		results = append(results, result)
	}
	return m.conclude(results)
}

func wanted(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (m *run) conclude(results []Result) error {
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

// finish ends a workload and checks its history.
func (m *run) finish() (err error) {
	m.verdict, err = m.Verify()
	return err
}
