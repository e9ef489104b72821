package burn_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/ident"
)

// Guards the objectives of section 2 of the design page against a report that hides a missed service level, counts
// rightful refusals by the limiter as wrongful, or counts an unfair share as fair.
func TestReport(t *testing.T) {
	var transcript strings.Builder
	now := ident.Time(0)
	m := burn.New()
	m.SetLimits([]burn.Limit{
		{Team: "brno", Rate: 10, Burst: 20, Weight: 1},
		{Team: "plzen", Rate: 10, Burst: 20, Weight: 1},
	})
	report := func(what string) {
		fmt.Fprintf(&transcript, "%s: %s\n%s\n", now.Sub(0), what, m.Report(now))
	}
	// countMinute counts one minute of traffic, given as counts per second.
	countMinute := func(brno, plzen burn.Counts) {
		for range 60 {
			m.Count(now, "brno", brno)
			m.Count(now, "plzen", plzen)
			now = now.Add(time.Second)
		}
	}
	normal := burn.Counts{Asked: 5, Served: 5, ReadsReplica: 4, Writes: 1}

	report("nothing was asked yet")
	countMinute(normal, normal)
	report("both teams stay within their rates")
	overload := burn.Counts{Asked: 80, Served: 10, RefusedRate: 70, ReadsReplica: 8, ReadsPrimary: 1, Writes: 1}
	m.Count(now, "brno", burn.Counts{Asked: 20, Served: 20, ReadsReplica: 20})
	countMinute(overload, normal)
	report("brno sends eight times its rate and is refused, which is right")
	countMinute(overload, burn.Counts{Asked: 5, Served: 2, RefusedRate: 3, ReadsPrimary: 2})
	report("plzen is refused within its rate, which is wrongful and unfair")
	m.Gap(now, 1400*time.Millisecond)
	m.Gap(now, 2*time.Second)
	m.Gap(now, 21*time.Second)
	report("three failovers, one of them too long")
	m.ZoneChanged(now)
	countMinute(normal, normal)
	report("a zone leaves without a failed request")
	m.ZoneChanged(now)
	countMinute(normal, burn.Counts{Asked: 5, Served: 3, Unknown: 1, RefusedOther: 1, ReadsReplica: 3})
	report("it returns and two requests of plzen fail each second")
	for range 6 {
		countMinute(normal, normal)
	}
	report("six quiet minutes later the fast window is clean")
	for range 60 {
		countMinute(normal, normal)
	}
	report("an hour later all is forgotten")
	goldie.New(t).Assert(t, "report", []byte(transcript.String()))
}

// Guards the plots against points for an idle time, an earlier hour or the wrong time, and against levels in another
// order than in the table.
func TestSeries(t *testing.T) {
	m := burn.New()
	m.Count(0, "brno", burn.Counts{Asked: 10, Served: 10, ReadsPrimary: 10})
	now := ident.Time(time.Hour)
	m.Count(now, "brno", burn.Counts{Asked: 10, Served: 10, ReadsReplica: 10})
	now = now.Add(3 * burn.Bucket)
	m.Count(now, "brno", burn.Counts{Asked: 10, Served: 10, ReadsReplica: 5, ReadsPrimary: 5})
	m.Gap(now.Add(time.Second), 2*time.Second)
	now = now.Add(2 * time.Second)
	series := m.Series(now)
	for i, level := range m.Levels(now) {
		switch level.Name {
		case "reads served by replicas":
			require.Equal(t, burn.Series{{At: ident.Time(time.Hour), Amount: 1}, {At: ident.Time(time.Hour + 3*burn.Bucket), Amount: 0.5}}, series[i])
		case "failover gap, median", "failover gap, longest":
			require.Equal(t, burn.Series{{At: ident.Time(time.Hour + 3*burn.Bucket), Amount: 2}}, series[i])
		default:
			require.Empty(t, series[i], level.Name)
		}
	}
}
