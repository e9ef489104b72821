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
	run  func(ctx context.Context, m *run) (Result, error)
}

// measures are in the order in which they run on one fleet; the first needs it idle, the last two change its text.
var measures = []measure{
	{"idle", idleTraffic},
	{"reads", replicaShare},
	{"failover", failoverGap},
	{"zones", zoneChange},
	{"rates", wrongfulRejections},
	{"fairness", worstServed},
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

// Run starts one fleet with the delays of its deployment, takes the measures on it and prints them. A CompareFailed error
// means that a bound was not met or a history is wrong.
func Run(ctx context.Context, opts Options) error {
	for _, name := range opts.Only {
		if !wanted(Names(), name) {
			return trace.BadParameter("no measure %q, expected %s", name, strings.Join(Names(), ", "))
		}
	}
	opts.Relays = true
	e, err := scenario.Start(ctx, opts.Options)
	if err != nil {
		return err
	}
	defer e.End()
	m := &run{Experiment: e, opts: opts}
	var results []Result
	for _, each := range measures {
		if len(opts.Only) > 0 && !wanted(opts.Only, each.name) {
			continue
		}
		opts.Say("measuring %s", each.name)
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
	table := Table{Title: "Measures of " + m.Fleet.Deployment.GetName(), Header: []string{"measure", "value", "bound", "met"}}
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
	return trace.NewAggregate(m.Close(), m.Discard())
}

// finish ends a workload and checks its history.
func (m *run) finish() (err error) {
	m.verdict, err = m.Verify()
	return err
}
