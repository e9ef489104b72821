package connections

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Evacuation says which statements an upstream may get while its availability zone is evacuated. The zero value is that of an upstream
// whose zone is in service.
type Evacuation struct {
	active bool
	// transactionsUntil is the time until which open transactions may go on.
	transactionsUntil ident.Time
}

// Begin begins an evacuation and grants open transactions a time to end. It reports whether there was none before; otherwise it changes
// nothing.
func (e *Evacuation) Begin(now ident.Time, grace time.Duration) bool {
	if e.active {
		return false
	}
	*e = Evacuation{active: true, transactionsUntil: now.Add(grace)}
	return true
}

// End ends the evacuation and reports whether there was one.
func (e *Evacuation) End() bool {
	was := e.active
	*e = Evacuation{}
	return was
}

// Active reports whether the zone is evacuated.
func (e *Evacuation) Active() bool { return e.active }

// Allows reports whether a statement may be sent. inTransaction is set if it belongs to a transaction that is open on the upstream.
func (e *Evacuation) Allows(now ident.Time, inTransaction bool) bool {
	return !e.active || (inTransaction && now < e.transactionsUntil)
}
