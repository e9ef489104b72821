package retry_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/retry"
)

// Guards against rounds over all upstreams, waits at a full queue, refusals while a primary is being replaced, and hosts that all try again
// at the same moment.
func TestPlan(t *testing.T) {
	var out bytes.Buffer
	for _, cause := range retry.CauseValues() {
		for _, others := range []bool{false, true} {
			for _, funded := range []bool{false, true} {
				plan := retry.Plan{}
				fmt.Fprintf(&out, "%s, others %t, funded %t:", cause, others, funded)
				for i := range 8 {
					step, pause := plan.Next(retry.Situation{Cause: cause, Others: others, Funded: funded, Jitter: float64(i%2) / 2})
					fmt.Fprintf(&out, " %s", step)
					if step == retry.StepRefuse {
						break
					}
					if step == retry.StepWait {
						fmt.Fprintf(&out, " %v", pause.Round(time.Millisecond))
					}
				}
				fmt.Fprintln(&out)
			}
		}
	}
	goldie.New(t).Assert(t, "plan", out.Bytes())
}

// Guards against hosts that multiply an overload by retries, and against a host with few callers that may not retry at all.
func TestBudget(t *testing.T) {
	attempts := func(perSecond int) (further int) {
		var b retry.Budget
		for i := range 10 * perSecond {
			now := ident.Time(i) * ident.Time(time.Second) / ident.Time(perSecond)
			b.RecordFirst(now)
			for range 3 {
				if b.Spend(now) {
					further++
				}
			}
		}
		return further
	}
	require.LessOrEqual(t, attempts(1000), 1000+10*10+50, "a tenth of 10,000, the floor of 10 s and what was saved up")
	require.GreaterOrEqual(t, attempts(1000), 1000)
	require.Equal(t, 3*10, attempts(1))
}
