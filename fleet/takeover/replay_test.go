package takeover_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/takeover"
)

const (
	replayStep = 100 * time.Millisecond
	// trouble is the time with events, and calm the time after it in which the service must have a primary again.
	trouble = 40 * time.Second
	calm    = 30 * time.Second
	// reuse is the time after which an upstream starts at the address of one that has left, with its log.
	reuse = 2 * time.Second
)

// entry is a write in a log.
type entry struct {
	term ident.Term
	id   int
}

// database is one start of an upstream.
type database struct {
	id, address   string
	born, seq     uint64
	log           []entry
	leads, down   bool
	leaving, deaf bool
	announced     ident.Time
}

// position returns the position of the log, under the term of its last write.
func (u *database) position() ident.Position {
	if len(u.log) == 0 {
		return ident.Position{}
	}
	return ident.Position{Term: u.log[len(u.log)-1].term, LSN: ident.LSN(len(u.log))}
}

// replayed is a group whose writes wait for one replica, and the leader that replaces its primaries. It has no network: each step lasts
// replayStep of simulated time.
type replayed struct {
	now          ident.Time
	random       *rand.Rand
	directory    *directory.Directory
	decider      *takeover.Decider
	members      []*database
	later        map[ident.Time][]func()
	term         ident.Term
	successor    *database
	ordered      ident.Position
	writes       int
	acknowledged []int
	// lastWrite is the time of the last acknowledged write.
	lastWrite  ident.Time
	promotions int
	log        string
}

func newReplayed(seed uint64) *replayed {
	r := &replayed{
		now: ident.Time(time.Hour), random: rand.New(rand.NewPCG(seed, seed)), directory: directory.New(), later: map[ident.Time][]func(){}, term: 1,
	}
	for i := range 3 {
		r.start(fmt.Sprint("i-", i), fmt.Sprint("10.0.0.", i, ":1"), nil)
	}
	r.members[0].leads = true
	r.decider = takeover.New(r.now, "", ident.Position{})
	return r
}

func (r *replayed) note(format string, arguments ...any) {
	r.log += fmt.Sprintf("%6.1f ", r.now.Sub(ident.Time(time.Hour)).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
}

func (r *replayed) start(id, address string, log []entry) *database {
	u := &database{id: id, address: address, born: uint64(r.now) + uint64(len(r.members)), log: slices.Clone(log)}
	r.members = append(r.members, u)
	return u
}

func (r *replayed) after(d time.Duration, do func()) {
	at := r.now.Add(d.Truncate(replayStep) + replayStep)
	r.later[at] = append(r.later[at], do)
}

func (r *replayed) primary() *database {
	for _, u := range r.members {
		if u.leads && !u.down {
			return u
		}
	}
	return nil
}

// replicate gives the replicas the primary's log, and acknowledges the writes that one of them has.
func (r *replayed) replicate() {
	p := r.primary()
	if p == nil {
		return
	}
	p.log = append(p.log, entry{r.term, r.writes})
	r.writes++
	received := 0
	for _, u := range r.members {
		// A replica is a step behind at times.
		if u != p && !u.down && !u.deaf && r.random.IntN(3) > 0 {
			u.log = slices.Clone(p.log)
		}
		if u != p && !u.down {
			received = max(received, commonLength(u.log, p.log))
		}
	}
	for _, e := range p.log[:received] {
		if !slices.Contains(r.acknowledged, e.id) {
			r.acknowledged = append(r.acknowledged, e.id)
			r.lastWrite = r.now
		}
	}
}

func commonLength(x, y []entry) int {
	n := 0
	for n < len(x) && n < len(y) && x[n] == y[n] {
		n++
	}
	return n
}

func (r *replayed) announce() {
	for _, u := range r.members {
		if u.down || r.now.Sub(u.announced) < 1200*time.Millisecond {
			continue
		}
		u.announced = r.now
		u.seq++
		r.directory.Record(r.now, &fleetpb.Announcement{
			Upstream: u.id, Service: "svc", Address: u.address, Zone: "z", Born: int64(u.born), Seq: u.seq, Primary: u.leads, Leaving: u.leaving,
		})
	}
}

// lead lets the leader decide. A promotion takes effect at once, so nothing is acknowledged after the positions were read.
func (r *replayed) lead(t *testing.T) {
	var members []takeover.Member
	successors := r.directory.Successors()
	for _, a := range r.directory.List(r.now) {
		members = append(members, takeover.Member{
			Upstream: ident.Upstream(a.GetUpstream()), Primary: a.GetPrimary(), Leaving: a.GetLeaving(), Ending: a.GetLeaving(), Born: a.GetBorn(),
			Succeeds:      successors[ident.Upstream(a.GetUpstream())],
			LastAnnounced: r.now.Add(-time.Duration(a.GetAgeMs()) * time.Millisecond),
		})
	}
	var departures []takeover.Departure
	for _, left := range r.directory.Departures(r.now) {
		departures = append(departures, takeover.Departure{Upstream: left.Upstream, Primary: left.Primary, At: left.At})
	}
	d := r.decider
	d.SetMembers(r.now, members)
	d.SetDepartures(departures)
	p := r.primary()
	reached := p != nil && p.id == string(d.Primary())
	switch {
	case reached:
		d.Answered(d.Primary(), r.now)
	case d.ProbeDue(r.now):
		d.Failed(d.Primary(), r.now)
	}
	decision := d.Decide(r.now)
	if decision == nil {
		if d.FloorDue(r.now) && reached {
			d.SetFloor(r.now, d.Primary(), ident.Position{Term: r.term, LSN: ident.LSN(len(p.log))})
		}
		return
	}
	positions := map[ident.Upstream]ident.Position{}
	for _, u := range r.members {
		if !u.down && slices.Contains(slices.Concat(decision.Candidates, decision.Ending), ident.Upstream(u.id)) {
			positions[ident.Upstream(u.id)] = u.position()
		}
	}
	if decision.Planned && reached {
		r.catchUp(p, decision, positions)
	}
	chosen, ok := takeover.Choose(decision, positions, 1)
	if !ok {
		d.NotPromoted(r.now)
		return
	}
	i := slices.IndexFunc(r.members, func(u *database) bool { return u.id == string(chosen) && !u.down })
	r.promote(t, r.members[i], positions[chosen], decision)
}

// catchUp has a primary that leaves hand over its log: it steps down, and a candidate receives the rest.
func (r *replayed) catchUp(p *database, decision *takeover.Decision, positions map[ident.Upstream]ident.Position) {
	for _, u := range r.members {
		id := ident.Upstream(u.id)
		if _, reported := positions[id]; reported && !u.deaf && slices.Contains(decision.Candidates, id) {
			u.log = slices.Clone(p.log)
			positions[id] = u.position()
			decision.Floor, decision.Replicas = u.position(), 1
		}
	}
}

func (r *replayed) promote(t *testing.T, u *database, position ident.Position, decision *takeover.Decision) {
	r.note("%s is promoted at %v, %s, departed %d", u.id, position, decision.Cause, decision.Departed)
	held := map[int]bool{}
	for _, e := range u.log {
		held[e.id] = true
	}
	for _, id := range r.acknowledged {
		require.True(t, held[id], "acknowledged write %d of %d is lost\n%s", id, len(r.acknowledged), r.log)
	}
	r.term++
	r.promotions++
	for _, other := range r.members {
		other.leads = other == u
		other.log = other.log[:commonLength(other.log, u.log)]
		// Each announces its role at once.
		other.announced = 0
	}
	r.successor, r.ordered = u, position
	r.decider.Promoted(r.now, ident.Upstream(u.id), position)
}

// replace lets an upstream leave; another one starts at its address with its log.
func (r *replayed) replace(u *database) {
	r.note("%s leaves", u.id)
	u.leaving = true
	r.after(7*time.Second, func() {
		if u.down {
			return
		}
		r.note("%s ends", u.id)
		r.directory.Record(r.now, &fleetpb.Announcement{Upstream: u.id, Born: int64(u.born), Gone: true, Leaving: true})
		u.down = true
		r.after(reuse, func() {
			fresh := r.start(fmt.Sprint(u.id, "'"), u.address, u.log)
			r.note("%s starts with %d", fresh.id, len(fresh.log))
			u.log = nil
		})
	})
}

// crash lets an upstream end without notice. It returns with its log, or without if it started again.
func (r *replayed) crash(u *database, keepsLog bool) {
	r.note("%s crashes, keeps its log %t", u.id, keepsLog)
	u.down = true
	r.after(time.Duration(3+r.random.IntN(5))*time.Second, func() {
		r.note("%s returns", u.id)
		u.down, u.seq, u.announced, u.born = false, 0, 0, uint64(r.now)
		u.leads = u.leads && keepsLog
		if !keepsLog {
			u.log = nil
		}
	})
}

// disturb causes an event at times. Only the primary's log survives each crash.
func (r *replayed) disturb() {
	if r.random.IntN(15) > 0 {
		return
	}
	u := r.members[r.random.IntN(len(r.members))]
	if u.down || u.leaving {
		return
	}
	switch r.random.IntN(5) {
	case 0:
		r.replace(u)
	case 1:
		r.note("%s receives nothing", u.id)
		u.deaf = true
		r.after(6*time.Second, func() { u.deaf = false })
	case 2:
		if p := r.primary(); p != nil && !p.leaving {
			r.crash(p, true)
		}
	case 3:
		r.crash(u, u.leads)
	case 4:
		r.note("another host leads")
		successor := ident.Upstream("")
		if r.successor != nil {
			successor = ident.Upstream(r.successor.id)
		}
		r.decider = takeover.New(r.now, successor, r.ordered)
	}
}

// Replays planned replacements, deaf replicas, crashes, starts without a log and changes of the leader in random order. Guards against a
// promotion that loses an acknowledged write, and against a service that stays without a primary after all have returned.
func TestReplayedReplacements(t *testing.T) {
	promotions := 0
	for seed := range uint64(400) {
		r := newReplayed(seed)
		for elapsed := time.Duration(0); elapsed < trouble+calm; elapsed += replayStep {
			r.now = r.now.Add(replayStep)
			for _, do := range r.later[r.now] {
				do()
			}
			if elapsed > 4*time.Second && elapsed < trouble {
				r.disturb()
			}
			r.replicate()
			r.announce()
			r.lead(t)
		}
		require.Less(t, r.now.Sub(r.lastWrite), 5*time.Second, "seed %d: no write is acknowledged\n%s", seed, r.log)
		promotions += r.promotions
	}
	require.Greater(t, promotions, 400)
}
