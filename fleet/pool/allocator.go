package pool

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Reserved is the number of an upstream's connections that are not allocated: 3 for observers and 1 for control.
const Reserved = 4

// askLife is the time for which a host's demand counts: eight syncs of 250 ms, which is also the lease.
const askLife = 2 * time.Second

// AllocatorOptions configure an allocator.
type AllocatorOptions struct {
	// Limit is the number of connections that the upstream accepts.
	Limit int
	// GraceUntil is the time from which all hosts with a lease have reported to this leader or lost their lease: one lease
	// after the start of its leadership. Until then no allotment grows, since the leader does not know all of them.
	GraceUntil ident.Time
}

// Allocator divides one upstream's connections over hosts. It belongs to the control leader's single goroutine.
type Allocator struct {
	limit      int
	graceUntil ident.Time
	hosts      map[ident.Host]*share
}

// share is what the leader knows of one host's connections.
type share struct {
	host        ident.Host
	incarnation ident.Incarnation
	seq         uint64
	wanted      int
	// allotted is the last allotment sent, and bound the most connections that the host may have open.
	allotted int
	bound    int
	asked    ident.Time
	lease    ident.Time
}

// NewAllocator returns an allocator that knows no host.
func NewAllocator(opts AllocatorOptions) *Allocator {
	return &Allocator{limit: max(0, opts.Limit-Reserved), graceUntil: opts.GraceUntil, hosts: map[ident.Host]*share{}}
}

// SetLimit changes the number of connections that the upstream accepts.
func (a *Allocator) SetLimit(limit int) {
	a.limit = max(0, limit-Reserved)
}

// Report takes a host's demand and returns its allotment. The response that carries it must be the response to this
// report, and the host must ignore responses to any but its latest report: then it never has more connections open than
// the highest of the open and allotted ones that it reported and the one returned here. Lease is the end of the lease
// that the same response grants.
func (a *Allocator) Report(now ident.Time, host ident.Host, incarnation ident.Incarnation, demand *fleetpb.Demand, lease ident.Time) int {
	s := a.share(host)
	switch {
	case incarnation < s.incarnation || (incarnation == s.incarnation && demand.GetSeq() <= s.seq):
		return s.allotted
	case incarnation > s.incarnation:
		// The connections of an earlier start were closed with its process.
		*s = share{host: host, incarnation: incarnation}
	}
	s.seq, s.wanted, s.asked, s.lease = demand.GetSeq(), int(demand.GetWanted()), now, lease
	s.bound = max(int(demand.GetOpen()), int(demand.GetAllotted()))
	s.allotted = a.allot(now, s)
	s.bound = max(s.bound, s.allotted)
	return s.allotted
}

func (a *Allocator) share(host ident.Host) *share {
	s, found := a.hosts[host]
	if !found {
		s = &share{host: host}
		a.hosts[host] = s
	}
	return s
}

// Gone forgets a host that has closed all of its connections.
func (a *Allocator) Gone(host ident.Host) {
	delete(a.hosts, host)
}

// Open returns the most connections that hosts may have open in all.
func (a *Allocator) Open(now ident.Time) int {
	a.expire(now)
	sum := 0
	for _, s := range a.hosts {
		sum += s.bound
	}
	return sum
}

// expire forgets hosts whose lease has ended; such a host has stopped and closes its connections by itself.
func (a *Allocator) expire(now ident.Time) {
	for host, s := range a.hosts {
		if now >= s.lease && now.Sub(s.asked) >= askLife {
			delete(a.hosts, host)
		}
	}
}

// allot returns what s may have open: its target, but no more than the others leave at this moment.
func (a *Allocator) allot(now ident.Time, s *share) int {
	a.expire(now)
	target := a.targets(now)[s.host]
	room := a.limit
	for _, other := range a.hosts {
		if other != s {
			room -= other.bound
		}
	}
	if now < a.graceUntil {
		room = min(room, s.bound)
	}
	return max(0, min(target, room))
}

// targets divides the connections max-min fairly by demand. Each host that has asked lately gets at least one, as long as
// they fit, so that no host must wait for a sync before its first statement. What is left is divided evenly, so that
// hosts can open ahead of need.
func (a *Allocator) targets(now ident.Time) map[ident.Host]int {
	var asking []*share
	for _, s := range a.hosts {
		if now.Sub(s.asked) < askLife {
			asking = append(asking, s)
		}
	}
	// With too few connections for all, the hosts with the most demand get one.
	slices.SortFunc(asking, func(x, y *share) int {
		return cmp.Or(cmp.Compare(y.wanted, x.wanted), strings.Compare(string(x.host), string(y.host)))
	})
	targets := make(map[ident.Host]int, len(asking))
	left := a.limit
	for _, s := range asking {
		if left > 0 {
			targets[s.host] = 1
			left--
		}
	}
	left = fill(asking, targets, left)
	for i, s := range asking {
		targets[s.host] += left / len(asking)
		if i < left%len(asking) {
			targets[s.host]++
		}
	}
	return targets
}

// fill raises the targets to demand, the smallest demand first, and returns what is left.
func fill(asking []*share, targets map[ident.Host]int, left int) int {
	for i := len(asking) - 1; i >= 0; i-- {
		s := asking[i]
		// Each of the i+1 hosts that remain may get an equal part of what is left.
		more := min(max(0, s.wanted-targets[s.host]), left/(i+1))
		targets[s.host] += more
		left -= more
	}
	return left
}
