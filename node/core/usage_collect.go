package core

import (
	"context"

	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/metering"
	"tamarackshunt.dev/fleet/steady"
)

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
	ledger := u.ledgerOf(term)
	if ledger == nil {
		return
	}
	source := metering.Source{Host: ident.Host(request.GetHost()), Incarnation: ident.Incarnation(request.GetIncarnation())}
	logLate(ledger.Record(metering.Leadership(term), source, report), source.Host)
	response.Usage = &fleetpb.UsageReceipt{Leadership: term, Closed: uint64(closed)}
}

// logLate logs and counts operations that a host, or an unknown one, reported too late.
func logLate(operations uint64, host ident.Host) {
	if operations > 0 {
		usageLate.Add(int(operations))
		klog.InfoS("Usage came after its window was closed", "host", host, "operations", operations)
	}
}

// time returns the true time, from an estimate that is renewed at an interval. The caller must hold mu.
func (u *usage) time(now ident.Time) (metering.Instant, bool) {
	if u.estimatedAt == 0 || now.Sub(u.estimatedAt) >= estimateInterval {
		var at metering.Instant
		at, u.timeKnown = u.clock.Now(now, len(u.core.liveStarts(now)))
		u.offset, u.estimatedAt = at.Sub(now), now
	}
	return metering.InstantAt(now, u.offset), u.timeKnown
}

// ledgerOf returns the ledger of a leadership, or nil if a later one has begun. What hosts have reported to an earlier one may be
// incomplete. The caller must hold mu.
func (u *usage) ledgerOf(term uint64) *metering.Ledger {
	switch {
	case term < u.term:
		return nil
	case term > u.term:
		u.term, u.ledger = term, metering.NewLedger(u.options.Window, u.options.Late/2)
	}
	return u.ledger
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
	if ledger := u.ledgerOf(term); ledger != nil {
		logLate(ledger.Closed(closing), "")
	}
	return true
}

func (u *usage) closing(term uint64) *metering.Closing {
	now := steady.Now()
	live := u.core.liveStarts(now)
	last := u.core.state.lastUsage()
	u.mu.Lock()
	defer u.mu.Unlock()
	at, known := u.time(now)
	ledger := u.ledgerOf(term)
	if !known || ledger == nil {
		return nil
	}
	return ledger.Close(at, last, live)
}

// liveStarts returns the latest start of each entry host that is in contact with this leader and not leaving.
func (c *Core) liveStarts(now ident.Time) []metering.Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts.live(now)
}
