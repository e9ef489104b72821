package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/load/workload"
)

const (
	soakWritePercent = 40
	soakPace         = 15 * time.Millisecond
	// soakWrites is the number of acknowledged writes of each service after each failure.
	soakWrites = 40
	// soakRecoveryTimeout bounds the time until writes succeed again after a failure.
	soakRecoveryTimeout = 60 * time.Second
)

// SoakOptions holds the seed and the duration of Soak.
type SoakOptions struct {
	Seed     uint64
	Duration time.Duration
}

// Soak causes random failures until the duration has passed, one after the other and sometimes two at once, and checks the
// history. The seed determines their order. A CompareFailed error means that the history has violations or nothing was
// acknowledged.
func Soak(ctx context.Context, opts Options, soak SoakOptions) error {
	opts.Relays = true
	e, err := Start(ctx, opts)
	if err != nil {
		return err
	}
	defer e.CloseIgnoringError()
	if err := e.Run(Load{Seed: soak.Seed, Users: 2, Balanced: true, Mix: workload.Mix{Writes: soakWritePercent}, Pace: soakPace}); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(soak.Seed, 0))
	until := time.Now().Add(soak.Duration)
	for round := 1; time.Now().Before(until) && ctx.Err() == nil; round++ {
		if err := soakRound(ctx, e, random, round); err != nil {
			verdict, checkErr := e.Verify()
			return trace.NewAggregate(fmt.Errorf("round %d of seed %d: %w; logs are in %s", round, soak.Seed, err, e.Fleet.Dir),
				checkErr, CheckHistory(verdict))
		}
	}
	verdict, err := e.Verify()
	if err != nil {
		return trace.Wrap(err, "logs are in %s", e.Fleet.Dir)
	}
	if err := CheckHistory(verdict); err != nil {
		return trace.Wrap(err, "seed %d, logs are in %s", soak.Seed, e.Fleet.Dir)
	}
	return trace.NewAggregate(e.Close(), e.RemoveDir())
}

// soakRound causes one failure, sometimes after killing a host without the control role, restarts stopped processes and waits
// until writes of all services succeed again.
func soakRound(ctx context.Context, e *Experiment, random *rand.Rand, round int) error {
	ctx, stop := context.WithTimeout(ctx, soakRecoveryTimeout)
	defer stop()
	services := e.Fleet.Services()
	service := services[random.IntN(len(services))]
	failure := Failures[random.IntN(len(Failures))]
	second := random.IntN(3) == 0
	victim := e.Fleet.Hosts[random.IntN(len(e.Fleet.Hosts))]
	e.logf("round %d: %s, service %s", round, failure.Name, service)
	if second && victim.Settings.GetData() == "" {
		e.logf("round %d: and %s killed", round, victim.Name)
		if err := victim.Kill(); err != nil {
			return err
		}
	}
	if err := failure.Inject(ctx, e, service); err != nil {
		return trace.Wrap(err, "%s", failure.Name)
	}
	for _, process := range e.Fleet.Processes() {
		if !process.Running() {
			if err := process.Start(); err != nil {
				return err
			}
		}
	}
	for _, service := range services {
		if err := e.WaitForWrites(ctx, service, soakWrites); err != nil {
			return trace.Wrap(err, "after %s", failure.Name)
		}
	}
	return nil
}
