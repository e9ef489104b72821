package metering_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/metering"
)

const (
	length  = 5 * time.Second
	maxWait = 5 * time.Second
	// first is the window in which the tests begin, and start its first instant.
	first = metering.Window(1000)
	start = metering.Instant(first) * metering.Instant(length)
)

// after returns the instant a number of seconds after start.
func after(seconds float64) metering.Instant {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func source(host string, incarnation uint64) metering.Source {
	return metering.Source{Host: ident.Host(host), Incarnation: ident.Incarnation(incarnation)}
}

// run counts operations of a team that begin at an instant.
func run(m *metering.Meter, at metering.Instant, team ident.Team, operations int) {
	for range operations {
		m.End(m.Begin(at), team, true)
	}
}

// Guards against windows that are cut by clocks that have stepped: 21 of 78 clocks, among them the leader's, step by 2.4 s within a
// window, forward or back, and the hosts' windows must stay where they are.
func TestClockSteps(t *testing.T) {
	const hosts, stepped = 78, 21
	for _, step := range []time.Duration{2400 * time.Millisecond, -2400 * time.Millisecond} {
		var leader metering.FleetClock
		// The steady clocks of the hosts and of the leader have started at different times.
		steadyOf := func(host int, at metering.Instant) ident.Time {
			return ident.Time(at - start).Add(time.Duration(host) * time.Hour)
		}
		leaderSteady := func(at metering.Instant) ident.Time { return steadyOf(hosts, at) }
		timeOfDay := func(host int, at metering.Instant) metering.Instant {
			wrong := time.Duration(host%5-2) * time.Millisecond
			if host < stepped && at >= after(2) {
				wrong += step
			}
			return at.Add(wrong)
		}
		clocks := make([]*metering.HostClock, hosts)
		for host := range clocks {
			clocks[host] = metering.NewHostClock(steadyOf(host, start), timeOfDay(host, start))
		}
		for at := start; at < after(8); at = at.Add(100 * time.Millisecond) {
			for host, clock := range clocks {
				now := steadyOf(host, at)
				if !clock.Due(now) {
					continue
				}
				oneWay := time.Duration(host%13) * time.Millisecond
				arrival := at.Add(oneWay)
				leader.Record(leaderSteady(arrival), ident.Host(fmt.Sprint(host)), clock.OnArrival(timeOfDay(host, at)))
				if fleet, known := leader.Now(leaderSteady(arrival), hosts); known {
					clock.Set(now, now.Add(2*oneWay), fleet)
				}
			}
			if at < after(1) {
				continue
			}
			for host, clock := range clocks {
				require.InDelta(t, int64(at), int64(clock.At(steadyOf(host, at))), float64(15*time.Millisecond), "host %d after %s", host, time.Duration(at-start))
			}
		}
	}
}

// Guards against a new leader that takes the time of the first hosts that ask it, whose clocks may be those that have stepped.
func TestTimeNeedsMostHosts(t *testing.T) {
	var clock metering.FleetClock
	clock.Record(0, "a", after(100))
	_, known := clock.Now(0, 3)
	require.False(t, known)
	clock.Record(0, "b", after(0))
	clock.Record(0, "b", after(0))
	_, known = clock.Now(0, 4)
	require.False(t, known, "a host counts once")
	clock.Record(0, "c", after(0.001))
	at, known := clock.Now(0, 4)
	require.True(t, known)
	require.Equal(t, after(0.001), at)
	_, known = clock.Now(ident.Time(time.Minute), 1)
	require.False(t, known, "old times of day do not count")
}

// Guards against operations that are counted in the wrong window, although they were refused, or before it is known whether they ran, and
// against losses that nobody sees.
func TestMeter(t *testing.T) {
	m := metering.NewMeter(length)
	run(m, after(4.9), "a", 2)
	m.End(m.Begin(after(4.9)), "a", false)
	slow := m.Begin(after(4.99))
	run(m, after(5), "a", 1)
	report := m.Report(after(6))
	require.Equal(t, &metering.Report{Complete: first - 1, Windows: map[metering.Window]metering.Counts{first: {"a": 2}, first + 1: {"a": 1}}}, report)
	m.Confirm(report, metering.Receipt{Leadership: 1})
	m.End(slow, "b", true)
	report = m.Report(after(6))
	require.Equal(t, first, report.Complete)
	require.Equal(t, metering.Counts{"b": 1}, report.Windows[first], "only what changed")

	m.Confirm(report, metering.Receipt{Leadership: 1, Closed: first})
	require.Nil(t, m.Report(after(7)), "nothing changed")
	run(m, after(4), "a", 3)
	require.Equal(t, uint64(3), m.Late())
	require.Nil(t, m.Report(after(7)), "a closed window is not reported again")

	m.Finish()
	require.Equal(t, first+1, m.Report(after(7)).Complete, "a host that has shut down is not waited for")

	for w := range metering.MaxOpenWindows + 1 {
		run(m, after(5*float64(w+2)), "a", 1)
	}
	require.Equal(t, uint64(2), m.Dropped(), "the oldest windows are dropped when no leader closes any")
}

// Guards against counts that a new leader lacks: what hosts have reported to the last one is lost with it, also if the reports were
// confirmed, and a report that builds on them is not complete.
func TestLeaderLostBeforeClosing(t *testing.T) {
	m := metering.NewMeter(length)
	run(m, after(1), "a", 5)
	report := m.Report(after(6))
	m.Confirm(report, metering.Receipt{Leadership: 1})
	run(m, after(4), "b", 1)

	next := metering.NewLedger(length, maxWait)
	host := source("h", 1)
	live := []metering.Source{host}
	report = m.Report(after(6.5))
	next.Record(2, host, report)
	require.Nil(t, next.Close(after(6.6), first-1, live), "the report contains only what changed since the last leader's receipt")
	m.Confirm(report, metering.Receipt{Leadership: 2})
	next.Record(2, host, m.Report(after(7)))
	require.Equal(t, metering.Counts{"a": 5, "b": 1}, next.Close(after(7), first-1, live).Counts)
}

// Guards against a new leader that waits for a host without operations, since the host takes a report to an earlier one for its own.
func TestIdleHostIsCompleteForNewLeader(t *testing.T) {
	m := metering.NewMeter(length)
	m.Confirm(m.Report(after(1)), metering.Receipt{Leadership: 1})
	ledger := metering.NewLedger(length, maxWait)
	host := source("h", 1)
	for range 2 {
		report := m.Report(after(6))
		ledger.Record(2, host, report)
		m.Confirm(report, metering.Receipt{Leadership: 2})
	}
	require.NotNil(t, ledger.Close(after(6), first-1, []metering.Source{host}))
	require.Nil(t, m.Report(after(6)))
}

// Guards against repeated, late and reordered reports that count twice or take counts away.
func TestReportsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := metering.NewMeter(length)
		ledger := metering.NewLedger(length, maxWait)
		want := metering.Counts{}
		var sent []*metering.Report
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			team := ident.Team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"))
			operations := rapid.IntRange(0, 3).Draw(t, "operations")
			run(m, after(1), team, operations)
			want[team] += uint64(operations)
			report := m.Report(after(2))
			if report == nil {
				continue
			}
			sent = append(sent, report)
			if rapid.Bool().Draw(t, "receipt") {
				ledger.Record(1, source("h", 1), report)
				m.Confirm(report, metering.Receipt{Leadership: 1})
			}
		}
		sent = append(sent, m.Report(after(7)))
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(sent)-1), 0, 20).Draw(t, "order") {
			ledger.Record(1, source("h", 1), sent[i])
		}
		ledger.Record(1, source("h", 1), sent[len(sent)-1])
		closing := ledger.Close(after(11), first-1, nil)
		for team, count := range want {
			if closing.Counts[team] != count {
				t.Fatalf("team %s: %d counted, %d ran", team, closing.Counts[team], count)
			}
		}
	})
}

// Guards against a window that is closed without the counts of a killed host's earlier start or of a slow host, one that is never closed
// because a host is gone, and late counts that nobody sees.
func TestClosing(t *testing.T) {
	ledger := metering.NewLedger(length, maxWait)
	killed, restarted, slow := source("k", 1), source("k", 2), source("s", 1)
	live := []metering.Source{restarted, slow}
	record := func(host metering.Source, complete metering.Window, count uint64) uint64 {
		return ledger.Record(1, host, &metering.Report{Leadership: 1, Complete: complete, Windows: map[metering.Window]metering.Counts{first: {"a": count}}})
	}
	record(killed, first-1, 10)
	record(restarted, first, 1)
	require.Nil(t, ledger.Close(after(9.9), first-1, live))
	closing := ledger.Close(after(10), first-1, live)
	require.Equal(t, metering.Counts{"a": 11}, closing.Counts)
	require.Equal(t, []ident.Host{"k", "s"}, closing.Missing)
	require.Zero(t, record(slow, first, 4), "the window is not closed before the log says so")
	closing = ledger.Close(after(10.1), first-1, live)
	require.Equal(t, uint64(15), closing.Counts["a"])
	require.Zero(t, record(slow, first, 5))
	require.Equal(t, uint64(1), ledger.Closed(closing), "counts that came while the log was written")
	require.Equal(t, uint64(2), record(slow, first, 7))
	require.Zero(t, record(slow, first, 7), "a repeated report is not late again")

	skipped := ledger.Close(after(5*100), first, live)
	require.Equal(t, uint64(100-metering.MaxOpenWindows-1), skipped.Skipped)
	require.Equal(t, first+100-metering.MaxOpenWindows, skipped.Window)
}

// Guards against a new leader that closes a window before the hosts had time to report it again, and a holder that sends within the lease of an earlier one, under another leadership's token, a token below one that it
// has sent, a younger window before an older one, anything after the platform saw a higher token, and repeats without a pause.
func TestReporter(t *testing.T) {
	var out bytes.Buffer
	second := func(s float64) ident.Time { return ident.Time(s * float64(time.Second)) }
	r := metering.NewReporter(second(10), 3*time.Second)
	next := func(at float64, pending ...metering.Pending) {
		fmt.Fprintf(&out, "%5.2f s %v: %T%v\n", at, pending, r.Next(second(at), pending), r.Next(second(at), pending))
	}
	answered := func(at float64, w metering.Window, token uint64, answer metering.Answer) {
		r.Sent(token)
		r.Answered(second(at), w, answer)
		fmt.Fprintf(&out, "%5.2f s window %d, token %d: %s\n", at, w, token, answer)
	}
	for _, at := range []float64{12.9, 13} {
		fmt.Fprintf(&out, "%5.2f s gathers: %t\n", at, r.Gathers(second(at)))
	}
	fmt.Fprintf(&out, "without a lease, after 1.9 s: %t\n", metering.NewReporter(0, 0).Gathers(second(1.9)))
	r.Reserved(8, 60)
	next(12.9, metering.Pending{Window: 7, Token: 50}, metering.Pending{Window: 8, Token: 60})
	next(13, metering.Pending{Window: 7, Token: 50}, metering.Pending{Window: 8, Token: 60})
	r.Reserved(7, 70)
	next(13, metering.Pending{Window: 7, Token: 70}, metering.Pending{Window: 8, Token: 60})
	for i, answer := range []metering.Answer{metering.AnswerNone, metering.AnswerBusy, metering.AnswerBusy, metering.AnswerNone, metering.AnswerNone} {
		at := 14 + 3*float64(i)
		answered(at, 7, 70, answer)
		for _, pause := range []float64{0.24, 0.25, 0.49, 0.5, 0.99, 1} {
			next(at+pause, metering.Pending{Window: 7, Token: 70})
		}
	}
	answered(30, 7, 70, metering.AnswerAccepted)
	next(30, metering.Pending{Window: 8, Token: 60})
	r.Reserved(8, 80)
	next(30, metering.Pending{Window: 8, Token: 80})
	answered(31, 8, 80, metering.AnswerOutdated)
	next(90, metering.Pending{Window: 8, Token: 80})
	goldie.New(t).Assert(t, "reporter", out.Bytes())
}
