package core

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/metering"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/replica"
)

const (
	// usageInterval is the interval at which the leader checks whether a window can be closed or reported.
	usageInterval = 200 * time.Millisecond
	// usageTimeout bounds one call to the platform, which may be slow.
	usageTimeout = 2 * time.Second
	// maxSteps bounds the steps in one interval, so that reports which have waited do not use up the calls that the platform accepts in a
	// second. A report that has waited takes two steps.
	maxSteps = 8
	// estimateInterval is the interval at which the estimate of the true time is renewed. It takes the clocks of all hosts.
	estimateInterval = 100 * time.Millisecond
	// maxLoggedHosts bounds the hosts without a report that a log line names.
	maxLoggedHosts = 8
)

var (
	usageReports        = metrics.NewCounter("tamarack_usage_reports_total")
	usageReportFailures = metrics.NewCounter("tamarack_usage_report_failures_total")
	usageRefused        = metrics.NewCounter("tamarack_usage_reports_refused_total")
	usageLost           = metrics.NewCounter("tamarack_usage_windows_lost_total")
	usageLate           = metrics.NewCounter("tamarack_usage_late_total")
)

// UsagePlatform accepts the reports of usage.
type UsagePlatform interface {
	// ReportUsage reports the usage of a window. The error says why a report was not accepted. After metering.AnswerNone it may
	// still be accepted.
	ReportUsage(ctx context.Context, window metering.Window, counts metering.Counts, token uint64) (metering.Answer, error)
}

// UsageOptions configure the reports of usage.
type UsageOptions struct {
	Platform UsagePlatform
	// Window is the length of the windows, and Late the time after the end of a window until which it has to be reported.
	Window, Late time.Duration
	// Lease is the time for which a new leader sends no report.
	Lease time.Duration
}

// usage is the part of a core host that collects and reports usage while the host leads.
type usage struct {
	core    *Core
	options UsageOptions
	teams   teamNames

	mu sync.Mutex
	// clock holds for all leaderships of this host, ledger for one.
	clock metering.FleetClock
	// ahead is what the true time was ahead of this host's steady clock at estimatedAt, if timeKnown is set.
	ahead       time.Duration
	estimatedAt ident.Time
	timeKnown   bool

	term   uint64
	ledger *metering.Ledger
	// reporter and missing belong to the leadership of the term reporterTerm. Only run uses them.
	reporter     *metering.Reporter
	reporterTerm uint64
	// missing maps the windows that this leadership has closed to the hosts that had not reported them.
	missing map[metering.Window][]ident.Host
	// failures is the number of consecutive calls that were not accepted, and lastFailure the answer to the last one.
	failures    int
	lastFailure metering.Answer
}

func newUsage(core *Core, options UsageOptions) *usage {
	return &usage{core: core, options: options, teams: teamNames{}}
}

// record records a host's time of day and its counts, and adds what the host asks for to the response.
func (u *usage) record(now ident.Time, term uint64, request *fleetpb.WatchRequest, response *fleetpb.WatchResponse) {
	u.teams.add(u.core.state.parsed())
	closed := u.core.state.lastUsage()
	u.mu.Lock()
	defer u.mu.Unlock()
	if request.GetClockMs() != 0 {
		u.clock.Record(now, ident.Host(request.GetHost()), metering.InstantOf(request.GetClockMs()))
		if at, known := u.time(now); known {
			response.TimeMs = at.Milliseconds()
		}
	}
	if request.GetUsage() == nil {
		return
	}
	report, found := u.teams.decode(request.GetUsage())
	if !found {
		// Without a receipt the host repeats the report, soon with the teams of the present configuration.
		return
	}
	source := metering.Source{Host: ident.Host(request.GetHost()), Incarnation: ident.Incarnation(request.GetIncarnation())}
	if late := u.ledgerOf(term).Record(metering.Leadership(term), source, report); late > 0 {
		usageLate.Add(int(late))
		klog.InfoS("Usage came after its window was closed", "host", source.Host, "statements", late)
	}
	response.Usage = &fleetpb.UsageReceipt{Leadership: term, Closed: uint64(closed)}
}

// time returns the true time, from an estimate that is renewed at an interval. The caller must hold mu.
func (u *usage) time(now ident.Time) (metering.Instant, bool) {
	if u.estimatedAt == 0 || now.Sub(u.estimatedAt) >= estimateInterval {
		var at metering.Instant
		at, u.timeKnown = u.clock.Now(now, len(u.core.liveStarts(now)))
		u.ahead, u.estimatedAt = at.Sub(now), now
	}
	return metering.InstantAt(now, u.ahead), u.timeKnown
}

// ledgerOf returns the ledger of a leadership. What hosts have reported to an earlier one may be incomplete.
func (u *usage) ledgerOf(term uint64) *metering.Ledger {
	if u.term != term || u.ledger == nil {
		u.term, u.ledger = term, metering.NewLedger(u.options.Window, u.options.Late/2)
	}
	return u.ledger
}

// run closes windows and reports them while this host leads, until ctx ends.
func (u *usage) run(ctx context.Context) {
	for steady.Wait(ctx, usageInterval) == nil {
		if leadership := u.core.replica.Leadership(); leadership.Confirmed {
			u.lead(leadership)
			u.step(ctx, leadership.Term)
		}
	}
}

// step closes the windows that can be closed and sends the reports that wait, as far as the platform takes them.
func (u *usage) step(ctx context.Context, term uint64) {
	for range maxSteps {
		closed := u.close(ctx, steady.Now(), term)
		if reported := u.report(ctx, steady.Now()); !closed && !reported {
			return
		}
	}
}

// lead starts the reporter of a leadership unless it has started.
func (u *usage) lead(leadership replica.Leadership) {
	if u.reporter == nil || u.reporterTerm != leadership.Term {
		u.reporterTerm, u.reporter = leadership.Term, metering.NewReporter(leadership.Since, u.options.Lease)
		u.missing, u.failures = map[metering.Window][]ident.Host{}, 0
	}
}

// close closes the next window if it can be closed, and reports whether it did.
func (u *usage) close(ctx context.Context, now ident.Time, term uint64) bool {
	if u.reporter.Gathers(now) {
		return false
	}
	closing := u.closing(term)
	if closing == nil {
		return false
	}
	if closing.Skipped > 0 {
		usageLost.Add(int(closing.Skipped))
		klog.InfoS("Usage windows not reported, since no host has their counts any more", "windows", closing.Skipped, "before", closing.Window)
	}
	pending := u.core.state.pendingUsages()
	token, err := u.reserve(ctx, &fleetpb.Usage{Window: uint64(closing.Window), Counts: encodeCounts(closing.Counts)})
	if err != nil {
		klog.InfoS("Usage window not closed", "window", closing.Window, "problem", problem(err))
		return false
	}
	if len(pending) > 0 && len(u.core.state.usages()) == maxSavedUsages && u.core.state.usageCounts(pending[0].Window) == nil {
		usageLost.Inc()
		klog.InfoS("Usage report dropped, since too many wait", "window", pending[0].Window)
	}
	u.reporter.Reserved(closing.Window, token)
	u.missing[closing.Window] = closing.Missing
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledgerOf(term).Closed(closing.Window)
	return true
}

func (u *usage) closing(term uint64) *metering.Closing {
	now := steady.Now()
	live := u.core.liveStarts(now)
	last := u.core.state.lastUsage()
	u.mu.Lock()
	defer u.mu.Unlock()
	at, known := u.time(now)
	if !known {
		return nil
	}
	return u.ledgerOf(term).Close(at, last, live)
}

// reserve writes a change of a window to the log under this host's name and returns its token.
func (u *usage) reserve(ctx context.Context, change *fleetpb.Usage) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	change.Holder = string(u.core.options.Host)
	outcome, err := u.core.propose(ctx, &fleetpb.Change{Kind: &fleetpb.Change_Usage{Usage: change}})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if !outcome.GetDone() {
		return 0, trace.BadParameter("%s", outcome.GetProblem())
	}
	return outcome.GetVersion(), nil
}

// report takes the next step of the oldest report that has no outcome, and reports whether another one may follow at once.
func (u *usage) report(ctx context.Context, now ident.Time) bool {
	switch action := u.reporter.Next(now, u.core.state.pendingUsages()).(type) {
	case metering.Reserve:
		token, err := u.reserve(ctx, &fleetpb.Usage{Window: uint64(action.Window)})
		if err != nil {
			klog.InfoS("Usage report without a token", "window", action.Window, "problem", problem(err))
			return false
		}
		u.reporter.Reserved(action.Window, token)
		return true
	case metering.Send:
		return u.send(ctx, action)
	}
	return false
}

// send sends a report and records its outcome. It reports whether there is one.
func (u *usage) send(ctx context.Context, action metering.Send) bool {
	counts := u.core.state.usageCounts(action.Window)
	if counts == nil || !u.core.leads() {
		return false
	}
	u.reporter.Sent(action.Token)
	callCtx, cancel := context.WithTimeout(ctx, usageTimeout)
	answer, err := u.options.Platform.ReportUsage(callCtx, action.Window, counts, action.Token)
	cancel()
	u.reporter.Answered(steady.Now(), action.Window, answer)
	u.log(action, counts, answer, err)
	outcome := fleetpb.UsageOutcome_USAGE_OUTCOME_ACCEPTED
	switch answer {
	case metering.AnswerAccepted:
	case metering.AnswerRefused:
		outcome = fleetpb.UsageOutcome_USAGE_OUTCOME_REFUSED
	case metering.AnswerNone, metering.AnswerBusy, metering.AnswerOutdated:
		return false
	}
	// If the outcome is not recorded, the same report is sent again, which the platform ignores.
	if _, err := u.reserve(ctx, &fleetpb.Usage{Window: uint64(action.Window), Outcome: outcome}); err != nil {
		klog.InfoS("Usage outcome not recorded", "window", action.Window, "problem", problem(err))
		return false
	}
	return true
}

// log logs and counts the outcome of a call. Calls that are repeated for the same reason are logged once.
func (u *usage) log(action metering.Send, counts metering.Counts, answer metering.Answer, err error) {
	missing := u.missing[action.Window]
	fields := []any{
		"window", action.Window, "teams", len(counts), "total", counts.Total(), "token", action.Token, "outcome", answer,
		"notReported", len(missing), "hosts", missing[:min(len(missing), maxLoggedHosts)], "problem", problem(err),
	}
	switch answer {
	case metering.AnswerAccepted:
		usageReports.Inc()
		klog.InfoS("Usage reported", fields...)
	case metering.AnswerRefused:
		usageRefused.Inc()
		klog.ErrorS(nil, "Usage report refused", fields...)
	case metering.AnswerNone, metering.AnswerBusy, metering.AnswerOutdated:
		usageReportFailures.Inc()
		if u.failures == 0 || u.lastFailure != answer {
			klog.InfoS("Usage report not accepted yet", fields...)
		}
		u.failures, u.lastFailure = u.failures+1, answer
		return
	}
	u.failures = 0
	delete(u.missing, action.Window)
}

// liveStarts returns the latest start of each entry host that is in contact with this leader and not leaving.
func (c *Core) liveStarts(now ident.Time) []metering.Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts.live(now)
}
