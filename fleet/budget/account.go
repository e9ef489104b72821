package budget

import (
	"cmp"
	"slices"

	"tamarackshunt.dev/fleet/ident"
)

// Account is the budget of one process. It is not safe for concurrent use.
type Account struct {
	limits  Limits
	used    Bytes
	holders map[*Holder]struct{}
	// connections counts the holders of each listener.
	connections map[string]int
	addresses   map[string]Bytes
	teams       map[ident.Team]Bytes
	// opened is the number of the holder that was opened last.
	opened uint64
}

// New returns an account that nobody holds anything of.
func New(limits Limits) *Account {
	return &Account{
		limits: limits, holders: map[*Holder]struct{}{}, connections: map[string]int{}, addresses: map[string]Bytes{}, teams: map[ident.Team]Bytes{},
	}
}

// Used returns the bytes that are held.
func (a *Account) Used() Bytes { return a.used }

// Open adds a connection. The caller must close the connection of the victim, if there is one. It returns a RefusedError if nobody
// can be closed for it.
func (a *Account) Open(listener Listener, address string, now ident.Time) (*Holder, *Holder, error) {
	a.opened++
	h := &Holder{number: a.opened, listener: listener.Name, address: address, since: now, share: cmp.Or(listener.Share, a.limits.Session)}
	var victim *Holder
	if a.connections[listener.Name] >= listener.Limit {
		if victim = a.longestWaiting(listener.Name); victim == nil {
			return nil, nil, &RefusedError{ReasonConnections}
		}
		a.Close(victim)
	}
	if a.used+BaseBytes > a.limits.Total {
		return nil, victim, &RefusedError{ReasonTotal}
	}
	a.used += BaseBytes
	a.holders[h] = struct{}{}
	a.connections[listener.Name]++
	return h, victim, nil
}

// longestWaiting returns the connection of a listener that may be closed for a new one: the one that has been unauthenticated
// for the longest time, or else the one that has been idle for the longest time.
func (a *Account) longestWaiting(listener string) *Holder {
	var longest *Holder
	for h := range a.holders {
		if h.listener != listener || (h.phase != PhaseStarting && h.phase != PhaseIdle) {
			continue
		}
		if longest == nil || cmp.Or(cmp.Compare(h.phase, longest.phase), h.compareWait(longest)) < 0 {
			longest = h
		}
	}
	return longest
}

// Close removes a holder and all that it holds. A second call has no effect.
func (a *Account) Close(h *Holder) {
	if h.closed {
		return
	}
	a.Give(h, h.held)
	a.used -= BaseBytes
	delete(a.holders, h)
	if a.connections[h.listener]--; a.connections[h.listener] == 0 {
		delete(a.connections, h.listener)
	}
	h.closed = true
}

// SetPhase records what a holder's connection is doing.
func (a *Account) SetPhase(h *Holder, phase Phase, now ident.Time) {
	h.phase, h.since = phase, now
}

// SetTeam records the team that a holder belongs to.
func (a *Account) SetTeam(h *Holder, team ident.Team) {
	a.addTeam(h, -h.held)
	h.team = team
	a.addTeam(h, h.held)
}

// Take reserves bytes for a holder. The caller must close the connections of the victims, which hold nothing any more. It returns a
// RefusedError, and no victims, if the bytes may not be used.
func (a *Account) Take(h *Holder, n Bytes) ([]*Holder, error) {
	if h.closed {
		return nil, &RefusedError{ReasonTotal}
	}
	if h.held+n > h.share {
		return nil, &RefusedError{ReasonSession}
	}
	var victims []*Holder
	var freed freed
	for {
		reason, exceeded := a.exceeded(h, n, freed)
		if !exceeded {
			break
		}
		victim := a.largest(h, n, reason, victims)
		if victim == nil {
			return nil, &RefusedError{reason}
		}
		victims = append(victims, victim)
		freed.add(h, victim)
	}
	for _, v := range victims {
		a.Close(v)
	}
	a.add(h, n)
	return victims, nil
}

// freed is what the victims of a holder leave to it.
type freed struct{ total, address, team Bytes }

func (f *freed) add(h, victim *Holder) {
	f.total += victim.held + BaseBytes
	if victim.address == h.address {
		f.address += victim.held
	}
	if victim.team == h.team {
		f.team += victim.held
	}
}

// exceeded returns the limit that a holder would exceed with further bytes once some are freed. Holders of little are not bound to shares
// and use the reserve.
func (a *Account) exceeded(h *Holder, n Bytes, freed freed) (Reason, bool) {
	used := a.used + n - freed.total
	small := h.held+n <= smallSession
	switch {
	case small:
		return ReasonTotal, used > a.limits.Total
	case used > a.limits.Total-a.limits.Reserve:
		return ReasonTotal, true
	case a.addresses[h.address]+n-freed.address > a.limits.Address:
		return ReasonAddress, true
	case h.team != "" && a.teams[h.team]+n-freed.team > a.limits.Team:
		return ReasonTeam, true
	}
	return 0, false
}

// compareWait returns a negative number if a holder has waited longer in its phase than another.
func (h *Holder) compareWait(other *Holder) int {
	return cmp.Or(cmp.Compare(h.since, other.since), cmp.Compare(h.number, other.number))
}

// largest returns the largest holder that is to be closed, in addition to others, so that h may take bytes, or nil.
func (a *Account) largest(h *Holder, n Bytes, reason Reason, others []*Holder) *Holder {
	var largest *Holder
	for v := range a.holders {
		inScope := reason == ReasonTotal || (reason == ReasonAddress && v.address == h.address) || (reason == ReasonTeam && v.team == h.team)
		if v == h || !inScope || !closableFor(v, h, n) || slices.Contains(others, v) {
			continue
		}
		if largest == nil || cmp.Or(cmp.Compare(largest.held, v.held), v.compareWait(largest)) < 0 {
			largest = v
		}
	}
	return largest
}

// closableFor reports whether a holder is closed before another is refused bytes: if it holds more than the other would, or if it holds
// the beginning of a message while the other has a whole one.
func closableFor(v, h *Holder, n Bytes) bool {
	if v.phase == PhaseBusy || v.held == 0 {
		return false
	}
	return v.held > h.held+n || (v.phase == PhaseReading && h.phase == PhaseBusy && v.held > smallSession)
}

// Give returns bytes of a holder, at most those that it holds.
func (a *Account) Give(h *Holder, n Bytes) {
	a.add(h, -min(n, h.held))
}

func (a *Account) add(h *Holder, n Bytes) {
	if n == 0 || h.closed {
		return
	}
	a.used += n
	h.held += n
	if a.addresses[h.address] += n; a.addresses[h.address] == 0 {
		delete(a.addresses, h.address)
	}
	a.addTeam(h, n)
}

func (a *Account) addTeam(h *Holder, n Bytes) {
	if h.team == "" || n == 0 {
		return
	}
	if a.teams[h.team] += n; a.teams[h.team] == 0 {
		delete(a.teams, h.team)
	}
}
