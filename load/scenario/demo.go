package scenario

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/history"
	"tamarackshunt.dev/load/workload"
)

const (
	// demoTimeout bounds the run; it is below the two minutes that the command's help text states.
	demoTimeout = 100 * time.Second
	// demoWrites is the number of acknowledged writes of one service before the failure and after it.
	demoWrites       = 200
	demoPace         = 60 * time.Millisecond
	demoWritePercent = 30
)

// Demo sends statements through a deployment, kills the primary of its first service and checks the history. A
// CompareFailed error means that the history has violations or nothing was acknowledged.
func Demo(ctx context.Context, opts Options, seed uint64) error {
	ctx, stop := context.WithTimeout(ctx, demoTimeout)
	defer stop()
	e, err := Start(ctx, opts)
	if err != nil {
		return err
	}
	defer e.CloseIgnoringError()
	verdict, err := demo(ctx, e, seed)
	if err != nil {
		return trace.Wrap(err, "logs are in %s", e.Fleet.Dir)
	}
	if err := CheckHistory(verdict); err != nil {
		return trace.Wrap(err, "logs are in %s", e.Fleet.Dir)
	}
	opts.Logf("every acknowledged record is there exactly once, no rejected one is, and each session read its own writes")
	return trace.NewAggregate(e.Close(), e.RemoveDir())
}

func demo(ctx context.Context, e *Experiment, seed uint64) (history.Verdict, error) {
	none := history.Verdict{}
	if err := e.Run(Load{Seed: seed, Mix: workload.Mix{Writes: demoWritePercent}, Pace: demoPace}); err != nil {
		return none, err
	}
	service := e.Fleet.Services()[0]
	if err := e.WaitForWrites(ctx, service, demoWrites); err != nil {
		return none, err
	}
	e.logf("before the failure: %s", FormatCodes(e.Runner.Codes()))
	primary, term, err := e.Fleet.Primary(ctx, service, 0)
	if err != nil {
		return none, err
	}
	killed := e.Runner.Now()
	if err := primary.Kill(); err != nil {
		return none, err
	}
	e.logf("killed %s, the primary of %s under term %d", primary.Name, service, term)
	next, newTerm, err := e.Fleet.Primary(ctx, service, term)
	if err != nil {
		return none, err
	}
	e.logf("%s is the primary of %s under term %d, %s after the failure",
		next.Name, service, newTerm, round(e.Runner.Now().Sub(killed)))
	if err := primary.Start(); err != nil {
		return none, err
	}
	e.logf("started %s again", primary.Name)
	if err := e.WaitForWrites(ctx, service, demoWrites); err != nil {
		return none, err
	}
	gap, _ := history.LongestGap(e.Runner.Events(), ident.Service(service), killed)
	e.logf("longest time without an acknowledged write of %s after the failure: %s", service, round(time.Duration(gap)))
	if err := e.Fleet.CheckRunning(); err != nil {
		return none, err
	}
	return e.Verify()
}

// CheckHistory returns a CompareFailed error when a history has violations or nothing was acknowledged.
func CheckHistory(v history.Verdict) error {
	if v.Acknowledged == 0 {
		return trace.CompareFailed("no write was acknowledged")
	}
	if len(v.Violations) > 0 {
		return trace.CompareFailed("the history has %d violations, the first is: %s", len(v.Violations), v.Violations[0])
	}
	return nil
}
