package core

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/replica"
)

const (
	// restartTime is the time after its start for which a new leader counts as restarted with the whole core.
	restartTime = 10 * time.Second
	// saveCheckInterval is the interval at which the leader compares the directory with the saved one.
	saveCheckInterval = time.Second
	// saveInterval is the least time between entries for differences that are due, and lazySaveInterval for lazy ones. Each entry costs
	// a sync on the disk of each core host.
	saveInterval     = 3 * time.Second
	lazySaveInterval = time.Minute
	// endSaveTimeout bounds how long the acknowledgement of an end waits for its entry. Upstreams wait a second.
	endSaveTimeout = 300 * time.Millisecond
)

// advanceOut is the outcome of a change that takes more of the advance than is left.
const advanceOut = "the advance is out"

var (
	upstreamsRestored  = metrics.NewCounter("tamarack_core_upstreams_restored_total")
	upstreamsConfirmed = metrics.NewCounter("tamarack_core_upstreams_confirmed_total")
	upstreamsDropped   = metrics.NewCounter("tamarack_core_upstreams_dropped_total")
	directorySaves     = metrics.NewCounter("tamarack_core_directory_saves_total")
	endsNotSaved       = metrics.NewCounter("tamarack_core_ends_not_saved_total")
	advancesTaken      = metrics.NewCounter("tamarack_core_advances_total")
)

// restoreDirectory adds the saved upstreams that a new leader has not heard of to its directory, and returns the saved state. A host that
// has run for long has heard of all that run, so this is for one that was restarted or cut off.
func (c *Core) restoreDirectory(now ident.Time) *fleetpb.SavedRecovery {
	saved := c.state.recovery()
	if saved == nil {
		return nil
	}
	before := c.directory.Confirmation(now).Restored
	c.directory.Restore(now, saved.GetUpstreams())
	restored := c.directory.Confirmation(now).Restored - before
	upstreamsRestored.Add(restored)
	c.restoredHosts = len(saved.GetHosts()) > 0
	klog.InfoS("Directory restored", "upstreams", restored, "saved", len(saved.GetUpstreams()), "hosts", len(saved.GetHosts()))
	return saved
}

// markRestored allows saves of the directory in a leadership.
func (c *Core) markRestored(leadership replica.Leadership) {
	c.restoredFor.Store(int64(leadership.Since))
	c.restoredSignal.broadcast()
}

// waitRestored waits until this leader has restored the saved directory. A save before that would remove all saved upstreams that it has
// not heard of, with the ends that were acknowledged.
func (c *Core) waitRestored(ctx context.Context) error {
	for {
		restored := c.restoredSignal.wait()
		leadership := c.replica.Leadership()
		if !leadership.Confirmed {
			return errNotLeader
		}
		if c.restoredFor.Load() == int64(leadership.Since) {
			return nil
		}
		select {
		case <-restored:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// keepRecovery keeps what the next leader starts with up to date in the log, until ctx ends.
func (c *Core) keepRecovery(ctx context.Context) {
	var counted directory.Confirmation
	for steady.Wait(ctx, saveCheckInterval) == nil {
		counted = c.countConfirmed(counted)
		leadership := c.replica.Leadership()
		if !leadership.Confirmed {
			continue
		}
		if err := c.saveDirectory(ctx, c.leastUrgency(leadership)); err != nil {
			klog.V(1).InfoS("Directory not saved", "problem", problem(err))
		}
		if err := c.endAdvance(ctx); err != nil {
			klog.V(1).InfoS("Advance not ended", "problem", problem(err))
		}
	}
}

// countConfirmed counts what has become of restored upstreams since the last call, and logs when all are settled.
func (c *Core) countConfirmed(before directory.Confirmation) directory.Confirmation {
	now := c.directory.Confirmation(steady.Now())
	upstreamsConfirmed.Add(now.Confirmed - before.Confirmed)
	upstreamsDropped.Add(now.Dropped - before.Dropped)
	if now != before && now.Open() == 0 {
		klog.InfoS("Restored upstreams settled", "confirmed", now.Confirmed, "dropped", now.Dropped)
	}
	return now
}

// leastUrgency returns the urgency from which on a difference is saved now.
func (c *Core) leastUrgency(leadership replica.Leadership) directory.Urgency {
	now := steady.Now()
	switch {
	case now.Sub(max(ident.Time(c.lazySavedAt.Load()), leadership.Since)) >= lazySaveInterval:
		return directory.Lazy
	case now.Sub(max(ident.Time(c.savedAt.Load()), leadership.Since)) >= saveInterval:
		return directory.Due
	}
	return directory.Urgent
}

// saveDirectory saves the differences between the directory and the saved one if they are at least as urgent as least.
func (c *Core) saveDirectory(ctx context.Context, least directory.Urgency) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := c.waitRestored(ctx); err != nil {
		return err
	}
	select {
	case c.saving <- struct{}{}:
		defer func() { <-c.saving }()
	case <-ctx.Done():
		return ctx.Err()
	}
	now := steady.Now()
	c.mu.Lock()
	hosts := c.hosts.list(now)
	c.mu.Unlock()
	listed := &fleetpb.Directory{Hosts: hosts}
	directory.Sort(listed)
	change, urgency := directory.DiffSaved(c.state.recovery(), c.directory.Snapshot(now), listed.GetHosts())
	if urgency < least {
		return nil
	}
	if least > directory.Lazy {
		// Hosts that restart would be removed and added again.
		change.RemovedHosts = nil
	}
	if _, err := c.proposeRecovery(ctx, change); err != nil {
		return err
	}
	directorySaves.Inc()
	klog.InfoS("Directory saved", "upstreams", len(change.GetUpstreams()), "removed", change.GetRemovedUpstreams(),
		"hosts", len(change.GetHosts()), "removedHosts", len(change.GetRemovedHosts()))
	c.savedAt.Store(int64(now))
	if least == directory.Lazy {
		c.lazySavedAt.Store(int64(now))
	}
	return nil
}

// saveEnd saves the end of an upstream, or that it leaves, before the leader acknowledges it. An acknowledgement is not held back by
// a core that can't save it in time.
func (c *Core) saveEnd(ctx context.Context, announcements ...*fleetpb.Announcement) {
	if !slices.ContainsFunc(announcements, (*fleetpb.Announcement).GetLeaving) || !c.leads() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endSaveTimeout)
	defer cancel()
	if err := c.saveDirectory(ctx, directory.Urgent); err != nil {
		endsNotSaved.Inc()
		klog.V(1).InfoS("End of an upstream not saved", "problem", problem(err))
	}
}

func (c *Core) proposeRecovery(ctx context.Context, change *fleetpb.Recovery) (*fleetpb.Outcome, error) {
	return c.propose(ctx, &fleetpb.Change{Kind: &fleetpb.Change_Recovery{Recovery: change}})
}

// takeAdvance lets a new leader lend tokens beyond the teams' rules at once, as far as earlier leaders have not done so within a window.
func (c *Core) takeAdvance(ctx context.Context, leadership replica.Leadership) {
	now := steady.Now()
	parsed := c.state.parsed()
	if c.options.Overrun.Window <= 0 || parsed == nil || len(parsed.Rules()) == 0 {
		return
	}
	restarted := now.Sub(c.startedAt) < restartTime
	share := limit.AdvanceShare(c.state.recovery().GetAdvanced(), restarted)
	var outcome *fleetpb.Outcome
	var err error
	if share > 0 {
		outcome, err = c.takeAdvanceInLog(ctx, now, share)
	}
	taken := err == nil && outcome.GetDone()
	if taken {
		c.mu.Lock()
		hosts := len(c.hosts.list(now))
		c.mu.Unlock()
		now = steady.Now()
		c.advancedAt.Store(int64(now))
		if c.lender.Advance(now, leadership.Since, func(rule limit.Rule) int64 {
			return c.options.Overrun.Advance(rule, hosts) * int64(share) / limit.WholeAdvance
		}) {
			advancesTaken.Inc()
		}
	}
	lendsFrom, _ := c.lender.LendsFrom(leadership.Since)
	klog.InfoS("Lending of tokens begins", "advancePercent", share, "taken", taken, "restarted", restarted, "bucketsRefillIn", lendsFrom.Sub(now),
		"problem", outcomeProblem(outcome, err))
}

// takeAdvanceInLog proposes that this leader takes a share of the advance. Until the outcome is known, endAdvance leaves the advance alone.
func (c *Core) takeAdvanceInLog(ctx context.Context, now ident.Time, share uint32) (*fleetpb.Outcome, error) {
	c.advancedAt.Store(int64(now.Add(proposeTimeout)))
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return c.proposeRecovery(ctx, &fleetpb.Recovery{Advance: share})
}

// endAdvance records that the advance is back once no window contains spending from before it, whichever leaders have taken it: earlier
// ones lent nothing from it that can be spent after this leader's buckets refill. The saved state is read before the leadership is
// checked, so that it contains nothing that a later leader has taken.
func (c *Core) endAdvance(ctx context.Context) error {
	saved := c.state.recovery()
	leadership := c.replica.Leadership()
	lendsFrom, found := c.lender.LendsFrom(leadership.Since)
	over := max(lendsFrom, ident.Time(c.advancedAt.Load())).Add(c.options.Overrun.Window)
	if !leadership.Confirmed || !found || saved.GetAdvanced() == 0 || steady.Now() <= over {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := c.proposeRecovery(ctx, &fleetpb.Recovery{AdvanceBack: saved.GetAdvancedIndex()})
	return err
}

// outcomeProblem returns why a change was not made, or an empty text.
func outcomeProblem(outcome *fleetpb.Outcome, err error) string {
	if err != nil {
		return problem(err)
	}
	return outcome.GetProblem()
}
