package pool

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Reserved is the number of an upstream's connections that are not allocated to hosts: 3 for observers and 1 for
// control.
const Reserved = 4

// demandLifetime is the time for which a host's demand counts. It is as long as a host's lease, or eight of the syncs in
// which a host sends its demand to the leader every 250 ms.
const demandLifetime = 2 * time.Second

// AllocatorOptions configure an allocator.
type AllocatorOptions struct {
	// Limit is the number of connections that the upstream accepts.
	Limit int
	// GraceUntil is the time from which every host with a lease has reported to this leader or lost its lease: one
	// lease after the start of its leadership. Until then no allotment grows, since the leader does not know all
	// hosts with connections.
	GraceUntil ident.Time
}

// Allocator divides one upstream's connections over hosts. It is not safe for concurrent use; the control leader
// calls it from a single goroutine.
type Allocator struct {
	limit      int
	graceUntil ident.Time
	hosts      map[ident.Host]*hostShare
}

// hostShare is the leader's record of one host's connections.
type hostShare struct {
	host        ident.Host
	incarnation ident.Incarnation
	seq         uint64
	wanted      int
	// allotted is the last allotment sent, and maxOpen the upper bound of the connections that the host may have
	// open.
	allotted   int
	maxOpen    int
	reportedAt ident.Time
	leaseEnd   ident.Time
}

// NewAllocator returns an allocator without hosts.
func NewAllocator(opts AllocatorOptions) *Allocator {
	return &Allocator{limit: max(0, opts.Limit-Reserved), graceUntil: opts.GraceUntil, hosts: map[ident.Host]*hostShare{}}
}

// SetLimit changes the number of connections that the upstream accepts.
func (a *Allocator) SetLimit(limit int) {
	a.limit = max(0, limit-Reserved)
}

// Report records a host's demand and returns its allotment. The allotment must be sent in the response to this
// report, and the host must ignore responses to any but its latest report. The host then never has more connections
// open than the highest of the open and allotted ones that it reported and the allotment returned here. Lease is the
// end of the lease that the same response grants.
func (a *Allocator) Report(now ident.Time, host ident.Host, incarnation ident.Incarnation, demand *fleetpb.Demand, lease ident.Time) int {
	// The record of an earlier start ends with its lease, so that the incarnations are compared only during the lease: the
	// leader may accept a start with a lower incarnation after that.
	a.expire(now)
	s := a.hostShare(host)
	switch {
	case incarnation < s.incarnation || (incarnation == s.incarnation && demand.GetSeq() <= s.seq):
		return s.allotted
	case incarnation > s.incarnation:
		// The connections of an earlier start were closed with its process.
		*s = hostShare{host: host, incarnation: incarnation}
	}
	s.seq, s.wanted, s.reportedAt, s.leaseEnd = demand.GetSeq(), int(demand.GetWanted()), now, lease
	s.maxOpen = max(int(demand.GetOpen()), int(demand.GetAllotted()))
	s.allotted = a.allot(now, s)
	s.maxOpen = max(s.maxOpen, s.allotted)
	return s.allotted
}

func (a *Allocator) hostShare(host ident.Host) *hostShare {
	s, found := a.hosts[host]
	if !found {
		s = &hostShare{host: host}
		a.hosts[host] = s
	}
	return s
}

// RemoveHost removes a host that has closed all of its connections.
func (a *Allocator) RemoveHost(host ident.Host) {
	delete(a.hosts, host)
}

// MaxOpen returns the upper bound of the connections that all hosts together may have open.
func (a *Allocator) MaxOpen(now ident.Time) int {
	a.expire(now)
	sum := 0
	for _, s := range a.hosts {
		sum += s.maxOpen
	}
	return sum
}

// expire removes hosts whose lease has ended; such a host has stopped and closes its connections by itself.
func (a *Allocator) expire(now ident.Time) {
	for host, s := range a.hosts {
		if now >= s.leaseEnd && now.Sub(s.reportedAt) >= demandLifetime {
			delete(a.hosts, host)
		}
	}
}

// allot returns the connections that s may have open: its target, limited to what the other hosts leave free at this
// moment.
func (a *Allocator) allot(now ident.Time, s *hostShare) int {
	a.expire(now)
	target := a.targets(now)[s.host]
	available := a.limit
	for _, other := range a.hosts {
		if other != s {
			available -= other.maxOpen
		}
	}
	if now < a.graceUntil {
		available = min(available, s.maxOpen)
	}
	return max(0, min(target, available))
}

// targets divides the connections max-min fairly by demand. Each host that has reported within demandLifetime gets at
// least one connection while there are enough, so that it does not have to wait for a sync before its first
// statement. The rest is divided evenly, so that hosts can open connections before they are needed.
func (a *Allocator) targets(now ident.Time) map[ident.Host]int {
	var active []*hostShare
	for _, s := range a.hosts {
		if now.Sub(s.reportedAt) < demandLifetime {
			active = append(active, s)
		}
	}
	// With too few connections for all, the hosts with the most demand get one.
	slices.SortFunc(active, func(x, y *hostShare) int {
		return cmp.Or(cmp.Compare(y.wanted, x.wanted), strings.Compare(string(x.host), string(y.host)))
	})
	targets := make(map[ident.Host]int, len(active))
	left := a.limit
	for _, s := range active {
		if left > 0 {
			targets[s.host] = 1
			left--
		}
	}
	left = fillToDemand(active, targets, left)
	for i, s := range active {
		targets[s.host] += left / len(active)
		if i < left%len(active) {
			targets[s.host]++
		}
	}
	return targets
}

// fillToDemand raises the targets to the hosts' demand, the smallest demand first, and returns the connections that
// are left.
func fillToDemand(active []*hostShare, targets map[ident.Host]int, left int) int {
	for i := len(active) - 1; i >= 0; i-- {
		s := active[i]
		// Each of the i+1 remaining hosts may get an equal part of the connections that are left.
		more := min(max(0, s.wanted-targets[s.host]), left/(i+1))
		targets[s.host] += more
		left -= more
	}
	return left
}
