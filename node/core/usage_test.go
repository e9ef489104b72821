package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/metering"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/replica"
	"tamarackshunt.dev/platform/api"
	standin "tamarackshunt.dev/standin/platform"
)

// usageUnderTest is a leader of the core that reports usage to a stand-in of the platform. Hosts tell it the time.
type usageUnderTest struct {
	*serviceUnderTest
	cloud *standin.Cloud
	// window is the next window that hosts report.
	window uint64
}

const testWindow = 5 * time.Second

func newUsageUnderTest(t *testing.T) *usageUnderTest {
	s := &usageUnderTest{serviceUnderTest: newServiceUnderTest(t), window: 1000}
	var err error
	s.cloud, err = standin.NewCloud(t.Context())
	require.NoError(t, err)
	s.core.state.catalog, err = catalog.New(catalog.Description{Version: 1, Teams: []catalog.Team{{Name: "one"}, {Name: "two"}}})
	require.NoError(t, err)
	s.lead("a", 0)
	return s
}

// lead makes a host the leader of a new term, with nothing in its memory. It sends reports once the lease has passed.
func (s *usageUnderTest) lead(host ident.Host, lease time.Duration) *usage {
	term := s.core.replica.Leadership().Term
	if s.core.usage != nil {
		term = s.core.usage.reporterTerm + 1
	}
	s.core.options.Host = host
	s.core.usage = newUsage(s.core, UsageOptions{Platform: api.NewClient(s.cloud.Address, host), Window: testWindow, Late: 2 * testWindow, Lease: lease})
	s.core.usage.lead(replica.Leadership{Term: term, Since: steady.Now()})
	return s.core.usage
}

// watch sends a Watch request of the only host at a time in seconds after the start of the next window.
func (s *usageUnderTest) watch(seconds float64, report *fleetpb.UsageReport) *fleetpb.WatchResponse {
	request := &fleetpb.WatchRequest{
		Host: "h", Incarnation: 1, Usage: report, ClockMs: int64(s.window)*testWindow.Milliseconds() + int64(seconds*1000),
	}
	s.core.mu.Lock()
	s.core.hosts.record(steady.Now(), request)
	s.core.mu.Unlock()
	response := &fleetpb.WatchResponse{}
	// The host's time of day jumps faster than the estimate is renewed.
	s.core.usage.estimatedAt = 0
	s.core.usage.record(steady.Now(), s.core.usage.reporterTerm, request, response)
	return response
}

// closeWindow reports counts of the next window and closes it.
func (s *usageUnderTest) closeWindow(counts ...uint64) {
	report := &fleetpb.UsageReport{
		Leadership: s.core.usage.reporterTerm, Version: 1, Complete: s.window,
		Windows: []*fleetpb.WindowUsage{{Window: s.window, Teams: []uint32{0, 1}[:len(counts)], Counts: counts}},
	}
	require.NotNil(s.t, s.watch(6, report).GetUsage())
	s.core.usage.close(s.t.Context(), afterPause(), s.core.usage.reporterTerm)
	require.Equal(s.t, metering.Window(s.window), s.core.state.lastUsage())
	s.window++
}

// afterPause returns a time at which the pause after a failed call is over.
func afterPause() ident.Time {
	return steady.Now().Add(time.Minute)
}

// report takes steps until there is nothing to do.
func (s *usageUnderTest) report() {
	for range 3 * maxSavedUsages {
		s.core.usage.report(s.t.Context(), afterPause())
	}
}

// bodies returns the bodies of the reports that arrived, and whether each was accepted.
func (s *usageUnderTest) bodies() (bodies []string, accepted []bool) {
	for _, r := range s.cloud.Usage.Reports() {
		bodies, accepted = append(bodies, r.Body), append(accepted, r.Accepted)
	}
	return bodies, accepted
}

const (
	firstBody  = `{"window_id":1000,"counts":{"one":3,"two":4}}`
	secondBody = `{"window_id":1001,"counts":{"two":5}}`
)

// Guards against a window that is reported twice, with other counts than the hosts', or again by the leader after it was accepted.
func TestUsageIsReportedOnce(t *testing.T) {
	s := newUsageUnderTest(t)
	s.closeWindow(3, 4)
	s.report()
	s.lead("b", 0)
	s.watch(1, nil)
	s.report()
	bodies, accepted := s.bodies()
	require.Equal(t, []string{firstBody}, bodies)
	require.Equal(t, []bool{true}, accepted)
	require.Equal(t, "a", s.cloud.Usage.Reports()[0].Holder)
	require.Empty(t, s.core.state.usages()[0].GetUsage().GetCounts(), "the state does not grow with reported windows")
}

// Guards against a leader that reports other counts than the log contains, under another holder's token or within its lease, when the
// earlier leader was lost between the entry and the call.
func TestUsageLeaderLostBeforeCall(t *testing.T) {
	s := newUsageUnderTest(t)
	s.closeWindow(3, 4)
	token := s.core.state.pendingUsages()[0].Token
	s.lead("b", time.Hour).report(t.Context(), afterPause())
	bodies, _ := s.bodies()
	require.Empty(t, bodies, "an earlier holder may have sent its last report just before")
	s.lead("c", 0)
	s.watch(6, &fleetpb.UsageReport{Version: 1, Complete: s.window, Windows: []*fleetpb.WindowUsage{{Window: 1000, Teams: []uint32{0}, Counts: []uint64{9}}}})
	s.report()
	reports := s.cloud.Usage.Reports()
	require.Len(t, reports, 1)
	require.Equal(t, firstBody, reports[0].Body)
	require.Equal(t, "c", reports[0].Holder)
	require.Greater(t, reports[0].Token, token)
}

// Guards against two reports of a window with different counts, when the leader is lost after a call without an answer, and against an
// earlier leader that goes on after the platform has seen a later one's token.
func TestUsageLeaderLostAfterCall(t *testing.T) {
	s := newUsageUnderTest(t)
	s.cloud.Usage.Answer(0)
	s.closeWindow(3, 4)
	earlier := s.core.usage
	earlier.report(t.Context(), afterPause())
	sent := s.core.state.pendingUsages()[0].Token
	s.lead("b", 0)
	s.report()
	reports := s.cloud.Usage.Reports()
	require.Len(t, reports, 2)
	require.Equal(t, firstBody, reports[0].Body)
	require.Equal(t, firstBody, reports[1].Body)
	require.Greater(t, reports[1].Token, reports[0].Token)

	late := metering.Send{Pending: metering.Pending{Window: 1000, Token: sent}}
	answer, err := earlier.options.Platform.ReportUsage(t.Context(), late.Window, metering.Counts{"one": 3, "two": 4}, late.Token)
	require.Error(t, err)
	require.Equal(t, metering.AnswerOutdated, answer)
	earlier.reporter.Answered(steady.Now(), late.Window, answer)
	s.closeWindow(0, 5)
	arrived := len(s.cloud.Usage.Reports())
	earlier.report(t.Context(), afterPause())
	require.Len(t, s.cloud.Usage.Reports(), arrived, "the earlier holder has given up")
}

// Guards against reports that are dropped, changed, or overtaken by younger ones while the platform is busy, fails or does not answer, and
// against one refused report that holds up all later ones.
func TestUsagePlatformFails(t *testing.T) {
	s := newUsageUnderTest(t)
	s.closeWindow(3, 4)
	s.closeWindow(0, 5)
	s.cloud.Usage.Answer(429, 503, 0)
	s.report()
	bodies, accepted := s.bodies()
	require.Equal(t, []string{firstBody, firstBody, firstBody, firstBody, secondBody}, bodies)
	require.Equal(t, []bool{false, false, true, true, true}, accepted)

	s.cloud.Usage.Answer(422)
	s.closeWindow(1)
	s.closeWindow(2)
	s.report()
	_, accepted = s.bodies()
	require.Equal(t, []bool{false, true}, accepted[5:])
	require.Empty(t, s.core.state.pendingUsages())
}

// Guards against a platform that is dark for so long that the log grows without bound, and against reports that are dropped unseen.
func TestUsagePlatformIsDark(t *testing.T) {
	s := newUsageUnderTest(t)
	lost := usageLost.Get()
	for range maxSavedUsages + 2 {
		s.closeWindow(1)
	}
	require.Len(t, s.core.state.pendingUsages(), maxSavedUsages)
	require.Equal(t, lost+2, usageLost.Get())
	s.report()
	require.Equal(t, uint64(1002), s.cloud.Usage.Reports()[0].Window)
	require.Empty(t, s.core.state.pendingUsages())
}

// Guards against a leader that closes a window with what it collected in an earlier term: other leaders have got the later reports.
func TestUsageOfEarlierTerm(t *testing.T) {
	s := newUsageUnderTest(t)
	u := s.core.usage
	counts := &fleetpb.WindowUsage{Window: s.window, Teams: []uint32{0}, Counts: []uint64{7}}
	s.watch(6, &fleetpb.UsageReport{Leadership: u.reporterTerm, Version: 1, Complete: s.window, Windows: []*fleetpb.WindowUsage{counts}})
	u.lead(replica.Leadership{Term: u.reporterTerm + 2, Since: steady.Now()})
	u.close(t.Context(), afterPause(), u.reporterTerm)
	require.Zero(t, s.core.state.lastUsage())
	s.watch(1, &fleetpb.UsageReport{Leadership: u.reporterTerm, Version: 1, Windows: []*fleetpb.WindowUsage{counts}})
	u.record(steady.Now(), u.reporterTerm-1, &fleetpb.WatchRequest{Usage: &fleetpb.UsageReport{Version: 1}}, &fleetpb.WatchResponse{})
	s.closeWindow(0, 9)
	require.Equal(t, metering.Counts{"one": 7, "two": 9}, s.core.state.usageCounts(1000), "a request that arrived in an earlier term changes nothing")
}

// Guards against a host that goes on with reports in a later leadership of its own, without the silence and the hosts' counts of a new one,
// because the platform's answers took longer than another host's leadership.
func TestUsageStepEndsWithItsTerm(t *testing.T) {
	s := newUsageUnderTest(t)
	s.closeWindow(3, 4)
	s.core.usage.step(t.Context(), s.core.usage.reporterTerm-1)
	require.Empty(t, s.cloud.Usage.Reports())
	s.core.usage.step(t.Context(), s.core.usage.reporterTerm)
	require.Len(t, s.cloud.Usage.Reports(), 1)
}

// Guards against a report whose teams are named by the indices of another configuration, and against a host that is told that it was
// understood.
func TestUsageOfUnknownConfiguration(t *testing.T) {
	s := newUsageUnderTest(t)
	window := &fleetpb.WindowUsage{Window: s.window, Teams: []uint32{0}, Counts: []uint64{7}}
	require.Nil(t, s.watch(1, &fleetpb.UsageReport{Version: 2, Windows: []*fleetpb.WindowUsage{window}}).GetUsage())
	require.Nil(t, s.watch(1, &fleetpb.UsageReport{Version: 1, Windows: []*fleetpb.WindowUsage{{Window: s.window, Teams: []uint32{2}, Counts: []uint64{7}}}}).GetUsage())
	var err error
	s.core.state.catalog, err = catalog.New(catalog.Description{Version: 2, Teams: []catalog.Team{{Name: "new"}, {Name: "two"}}})
	require.NoError(t, err)
	require.NotNil(t, s.watch(1, &fleetpb.UsageReport{Version: 2, Windows: []*fleetpb.WindowUsage{window}}).GetUsage())
	require.NotNil(t, s.watch(1, &fleetpb.UsageReport{Version: 1, Windows: []*fleetpb.WindowUsage{window}}).GetUsage())
	s.closeWindow()
	require.Equal(t, metering.Counts{"new": 7, "one": 7}, s.core.state.usageCounts(1000))
}

// Guards against entries and fields of usage in a fleet that does not report it.
func TestUsageOff(t *testing.T) {
	s := newServiceUnderTest(t)
	s.core.takenOver.Store(int64(s.core.replica.Leadership().Since))
	request := &fleetpb.WatchRequest{Host: "h", Incarnation: 1, ClockMs: 5, Usage: &fleetpb.UsageReport{Complete: 1}}
	response, err := service{s.core}.Watch(context.Background(), request)
	require.NoError(t, err)
	require.True(t, response.GetLeads())
	require.Zero(t, response.GetTimeMs())
	require.Nil(t, response.GetUsage())
	require.Empty(t, s.core.state.usages())
}

// Guards against counts that change once a window is closed, and a snapshot without the windows.
func TestUsageState(t *testing.T) {
	s := newState(parseStub)
	apply := func(index, window, count uint64, holder string, outcome fleetpb.UsageOutcome) bool {
		change := &fleetpb.Usage{Window: window, Holder: holder, Outcome: outcome, Counts: []*fleetpb.TeamUsage{{Team: "one", Count: count}}}
		answer, ok := s.Apply(index, &fleetpb.Change{Kind: &fleetpb.Change_Usage{Usage: change}}).(*fleetpb.Outcome)
		require.True(t, ok)
		return answer.GetDone()
	}
	require.True(t, apply(1, 7, 1, "a", 0))
	require.True(t, apply(2, 7, 2, "b", 0))
	require.False(t, apply(3, 6, 1, "a", 0), "an older window")
	require.False(t, apply(4, 8, 0, "a", fleetpb.UsageOutcome_USAGE_OUTCOME_ACCEPTED), "a window that is not closed")
	require.Equal(t, []metering.Pending{{Window: 7, Token: 2}}, s.pendingUsages())
	saved, err := s.Snapshot()
	require.NoError(t, err)
	s = newState(parseStub)
	require.NoError(t, s.Restore(saved))
	require.Equal(t, metering.Counts{"one": 1}, s.usageCounts(7))
	require.True(t, apply(5, 7, 0, "b", fleetpb.UsageOutcome_USAGE_OUTCOME_ACCEPTED))
	require.False(t, apply(6, 7, 3, "a", 0), "a window whose report was accepted")
	require.Empty(t, s.pendingUsages())
	require.Equal(t, metering.Window(7), s.lastUsage())
}
