package connections

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// firstSize is the size at which a larger account starts.
	firstSize = 4
	// firstInterval is the time in which a growing account grows by one even if nothing is opened, since all it has may be in use.
	firstInterval = 50 * time.Millisecond
	// settleTime is the time after which an earlier holder's connections are gone: an upstream closes those of a machine that has failed.
	settleTime = 3 * time.Second
	// shrinkDivisor is the part of the open connections by which a refusal shrinks an account.
	shrinkDivisor = 8
	// growInterval is the time in which an account grows by one after a refusal.
	growInterval = 250 * time.Millisecond
	// firstPause and lastPause bound the time without openings after a refusal.
	firstPause = 40 * time.Millisecond
	lastPause  = 640 * time.Millisecond
)

// Account is one host's share of the connections that an upstream accepts. It grows slowly and shrinks when the upstream refuses a
// connection, since another host that is not known may hold some.
type Account struct {
	// size is the size of the host's role. The account has it unless it is growing or shrunk.
	size int
	// base is the size from which the account grows, until settled.
	base    int
	settled ident.Time
	// shrunk is the time of the last refusal, or 0; from then on the account grows with time.
	shrunk ident.Time
	pause  time.Duration
	// openAfter is the time before which nothing is opened.
	openAfter ident.Time
}

// Resize sets the size of the host's role. If slowly is set, a larger account grows with the connections that open.
func (a *Account) Resize(now ident.Time, size int, slowly bool) {
	if size == a.size {
		return
	}
	if current := a.Limit(now); size > current {
		// An earlier refusal does not bound the larger account beyond what is current.
		a.base, a.settled, a.shrunk = size, now, 0
		if slowly {
			a.base, a.settled = min(size, max(current, firstSize)), now.Add(settleTime)
		}
	}
	a.size = size
}

// Limit returns the number of connections that the host may have.
func (a *Account) Limit(now ident.Time) int {
	switch {
	case a.shrunk != 0:
		return min(a.size, a.base+int(now.Sub(a.shrunk)/growInterval))
	case now < a.settled:
		return min(a.size, a.base+int(now.Sub(a.settled.Add(-settleTime))/firstInterval))
	}
	return a.size
}

// GrowsAt returns the time at which the account next grows by itself, or 0.
func (a *Account) GrowsAt(now ident.Time) ident.Time {
	switch {
	case a.Limit(now) >= a.size:
		return 0
	case a.shrunk != 0:
		return a.shrunk.Add((now.Sub(a.shrunk)/growInterval + 1) * growInterval)
	}
	began := a.settled.Add(-settleTime)
	return began.Add((now.Sub(began)/firstInterval + 1) * firstInterval)
}

// Opened records that a connection was opened.
func (a *Account) Opened(now ident.Time) {
	a.pause, a.openAfter = 0, 0
	switch {
	case a.shrunk != 0 && a.Limit(now) >= a.size:
		a.shrunk = 0
	case a.shrunk == 0 && now < a.settled:
		a.base++
	}
}

// Refused records that the upstream refused a connection as over its cap while this host had a number of them open.
func (a *Account) Refused(now ident.Time, open int) {
	a.pause = min(lastPause, max(firstPause, 2*a.pause))
	a.openAfter = now.Add(a.pause)
	a.base, a.shrunk = max(1, open-max(1, open/shrinkDivisor)), now
}

// OpenAfter returns the time before which no connection is to be opened.
func (a *Account) OpenAfter() ident.Time {
	return a.openAfter
}
