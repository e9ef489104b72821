package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/member"
)

// outGrace is how long a transaction may go on on an upstream whose availability zone is out of service. It equals the time that
// transactions have when a primary is replaced as planned.
const outGrace = 2 * time.Second

// errRevoked ends the session of a caller whose key no longer belongs to its team.
var errRevoked = sqlstate.New(sqlstate.RevokedKey, nil)

// check returns a rejection when a batch must not be sent now: the lease of this host has ended, the caller's key was withdrawn or, within a
// transaction, the upstream's availability zone was taken out of service. Each batch is checked before it waits and again before it is sent, so
// that what changes meanwhile counts.
func (c *caller) check(view *member.View) error {
	now := c.server.opts.Clock.Now()
	switch {
	case !view.Valid(now) && c.txConn != nil:
		return reject(sqlstate.TransactionLost, "the lease of the host ended during the transaction")
	case !view.Valid(now):
		return reject(sqlstate.NoLease, "the lease ended")
	case c.txConn != nil && c.zoneIsOut(view):
		return reject(sqlstate.TransactionLost, "the availability zone of %q went out of service during the transaction", c.txTarget.Upstream)
	}
	return c.checkKey(view)
}

// zoneIsOut reports whether the upstream of the transaction is in an availability zone that has been out of service for longer than outGrace.
// A primary serves until it is replaced, which ends its transactions.
func (c *caller) zoneIsOut(view *member.View) bool {
	replaceable := view.Groups[c.txTarget.Service].GetPrimary() != string(c.txTarget.Upstream)
	return replaceable && view.OutFor(c.server.opts.Clock.Now(), c.txTarget) > outGrace
}

// checkKey returns a rejection when the caller's key no longer belongs to its team. Open routes need no key.
func (c *caller) checkKey(view *member.View) error {
	permit := c.permit.Load()
	if permit == nil || view.Keys.Valid(permit.key, permit.team) {
		return nil
	}
	return reject(sqlstate.RevokedKey, "key %q", permit.key)
}

// whileAllowed returns a context that also ends with the caller's key. The caller must call stop.
func (c *caller) whileAllowed(ctx context.Context) (allowed context.Context, stop context.CancelFunc) {
	allowed, end := context.WithCancel(ctx)
	unregister := context.AfterFunc(c.allowed, end)
	return allowed, func() {
		unregister()
		end()
	}
}

// explain replaces an error after which the batch has not run by the loss of the caller's key, if that ended its waits.
func (c *caller) explain(err error) error {
	if c.allowed.Err() == nil {
		return err
	}
	rejection := sqlstate.From(err)
	if isUnsent(err) || (rejection != nil && rejection.Row().Ran == sqlstate.NotRun) {
		return errRevoked
	}
	return err
}

// watchKeys ends the waits and the idle transactions of callers whose keys no longer belong to their teams.
func (s *Server) watchKeys(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var seen uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			view := s.opts.View()
			if view.Keys == nil {
				continue
			}
			if changes := view.Keys.Changes(); changes != seen {
				seen = changes
				s.endRevoked(view)
			}
		}
	}
}

// endRevoked revokes the callers whose keys no longer belong to their teams.
func (s *Server) endRevoked(view *member.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revoked := 0
	for _, c := range s.callers {
		if c.allowed.Err() != nil || c.checkKey(view) == nil {
			continue
		}
		revoked++
		c.revoke()
		if c.resting.Load() {
			_ = c.raw.SetReadDeadline(time.Now())
		}
	}
	if revoked > 0 {
		klog.InfoS("keys of connected callers withdrawn", "callers", revoked)
	}
}
