package core

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

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
	// offset is the offset of the true time from this host's steady clock at estimatedAt, if timeKnown is set.
	offset      time.Duration
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

// run closes windows and reports them while this host leads, until ctx ends.
func (u *usage) run(ctx context.Context) {
	for steady.Wait(ctx, usageInterval) == nil {
		if leadership := u.core.replica.Leadership(); leadership.Confirmed {
			u.lead(leadership)
			u.step(ctx, leadership.Term)
		}
	}
}

// step closes the windows that can be closed and sends the reports that wait, as far as the platform takes them, while the leadership of
// a term lasts. Calls may take long, and a later leadership of this host must not go on without the silence of a new one.
func (u *usage) step(ctx context.Context, term uint64) {
	for range maxSteps {
		if leadership := u.core.replica.Leadership(); !leadership.Confirmed || leadership.Term != term {
			return
		}
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
