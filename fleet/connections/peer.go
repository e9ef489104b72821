package connections

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// avoidTime is how long a host is not asked after it did not answer, and how long a closed port proves that it holds no connections.
	avoidTime = 1500 * time.Millisecond
	// returnTime is the time for which the port of a restarted host has been open when the host may hold connections again. Until
	// then it has no directory.
	returnTime = time.Second
	// checkInterval is the interval between checks of a host's port.
	checkInterval = 250 * time.Millisecond
)

// Peer is what one host knows of another one that may hold connections.
type Peer struct {
	avoidUntil ident.Time
	// closedAt is when the port was last found closed or, since then, open; 0 if it was never found closed.
	closedAt ident.Time
	// returned is when the port was found open again; 0 while it is closed.
	returned  ident.Time
	checkedAt ident.Time
}

// Failed records a call that the host did not answer; closed is set if its port was closed.
func (p *Peer) Failed(now ident.Time, closed bool) {
	p.avoidUntil = now.Add(avoidTime)
	if closed {
		p.closedAt, p.returned = now, 0
	}
}

// Checked records that the host's port is open.
func (p *Peer) Checked(now ident.Time) {
	if p.closedAt == 0 {
		return
	}
	p.closedAt = now
	if p.returned == 0 {
		p.returned = now
	}
}

// CheckDue reports whether the host's port is to be checked, and counts the check as made.
func (p *Peer) CheckDue(now ident.Time) bool {
	if p.checkedAt != 0 && now.Sub(p.checkedAt) < checkInterval {
		return false
	}
	p.checkedAt = now
	return true
}

// Standing returns whether the host is to be asked for connections.
func (p *Peer) Standing(now ident.Time) Standing {
	switch {
	case p == nil || now >= p.avoidUntil:
		return StandingUsable
	case p.Gone(now):
		return StandingGone
	}
	return StandingSilent
}

// Gone reports whether the host is known to hold no connections.
func (p *Peer) Gone(now ident.Time) bool {
	return p != nil && p.closedAt != 0 && now.Sub(p.closedAt) < avoidTime &&
		(p.returned == 0 || now.Sub(p.returned) < returnTime)
}
