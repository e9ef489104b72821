package core

import (
	"context"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/metering"
	"tamarackshunt.dev/fleet/steady"
)

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
