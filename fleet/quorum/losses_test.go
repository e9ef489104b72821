package quorum_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/quorum"
)

const (
	// toleratedLosses is the number of hosts that may be lost at one time.
	toleratedLosses = 2
	// catchUpTime is the time after its return for which a host still counts as lost.
	catchUpTime = 6 * time.Second
	// plannedOverlap is the time for which a host and its planned successor run side by side.
	plannedOverlap = 12 * time.Second
	// recoveryTime bounds the time from the return of all hosts to a leader that has every acknowledged change.
	recoveryTime = 5 * time.Second
)

// losses plays schedules in which no more hosts are lost at one time than the fleet tolerates. Splits and the end of all processes
// lose nothing and may come at any time.
type losses struct {
	*sim
	t *rapid.T
	// lostUntil is when a host counts as returned; hosts that are down or cut off have a time far in the future.
	lostUntil map[string]ident.Time
	// overlaps marks the hosts whose planned successors run already.
	overlaps map[string]bool
	// splitSince is the start of the last split.
	splitSince ident.Time
	// down marks the hosts whose loss ends with their next start.
	down map[string]bool
	// retired are the hosts that are gone for good.
	retired map[string]bool
	// starting marks the hosts whose next start is scheduled.
	starting map[string]bool
	changes  int
	// finished is set once the final losses have struck.
	finished bool
}

const never = ident.Time(1 << 60)

// Guards against a fleet that bears each loss by itself but loses an acknowledged change, or its leader for good, because the next
// permitted loss strikes while the one before is still being repaired.
func TestLossesDuringRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLosses(t)
		for _, name := range l.names {
			l.start(name)
		}
		l.run(5 * time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			l.randomStep()
			l.run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond)
		}
		l.finish()
		if len(l.violations) > 0 {
			t.Fatalf("%v\n%s", l.violations, l.transcript.String())
		}
	})
}

// newLosses returns six hosts on a network that loses some messages, with disks of different speed and the core's election times.
func newLosses(t *rapid.T) *losses {
	l := &losses{
		sim: newSixHosts(rapid.Uint64().Draw(t, "seed")), t: t,
		lostUntil: map[string]ident.Time{}, overlaps: map[string]bool{}, down: map[string]bool{}, retired: map[string]bool{}, starting: map[string]bool{},
	}
	l.terse = true
	l.bounds.ElectionMin, l.bounds.ElectionMax, l.bounds.Lease = 300*time.Millisecond, 600*time.Millisecond, 250*time.Millisecond
	l.loss = float64(rapid.IntRange(0, 8).Draw(t, "loss")) / 100
	for _, name := range l.names {
		l.hosts[name].diskDelay = time.Duration(rapid.SampledFrom([]int{0, 0, 0, 5, 30, 100}).Draw(t, "disk")) * time.Millisecond
	}
	// enrollOutsiders takes the place of the simulation's own admission of hosts.
	l.events = nil
	l.schedule(enrollInterval, l.enrollOutsiders)
	l.schedule(enrollInterval, l.restartRemoved)
	return l
}

// lost returns the hosts that count as lost; a host and its planned successor count once.
func (l *losses) lost() []string {
	return slices.DeleteFunc(slices.Clone(l.names), func(name string) bool { return !l.isLost(name) || l.overlaps[name] })
}

// isLost reports whether a host counts as lost. One that is still lost when a split begins is lost until after its end.
func (l *losses) isLost(name string) bool {
	if len(l.side) > 0 {
		return l.lostUntil[name] > l.splitSince
	}
	return l.lostUntil[name] > l.now
}

// randomStep applies one random event: one that loses nothing, or the loss of a host if a further one is permitted.
func (l *losses) randomStep() {
	switch kind := rapid.SampledFrom([]string{
		"propose", "run", "restart", "wipe", "replace", "planned", "cut", "region", "split", "kill", "transfer", "seeds",
	}).Draw(l.t, "step"); kind {
	case "propose":
		l.change()
	case "run":
		l.run(time.Duration(rapid.IntRange(0, 10).Draw(l.t, "seconds")) * time.Second)
	case "split":
		l.split()
	case "kill":
		l.killAll(rapid.IntRange(200, 1000).Draw(l.t, "down"))
	case "transfer":
		if leader := l.leader(); leader != "" {
			l.step(l.hosts[leader], quorum.Transfer{})
		}
	case "seeds":
		names := rapid.Permutation(l.names).Draw(l.t, "seeds")
		l.seeds = names[:3]
		l.logf("the seeds are %v", l.seeds)
	default:
		l.loseHost(kind)
	}
}

// loseHost makes one host or a region lost for some time, or replaces a host.
func (l *losses) loseHost(kind string) {
	present := slices.DeleteFunc(slices.Clone(l.names), l.isLost)
	if len(l.lost()) >= toleratedLosses || len(present) == 0 || len(l.side) > 0 {
		return
	}
	name := rapid.SampledFrom(present).Draw(l.t, "host")
	down := rapid.SampledFrom([]int{300, 1000, 2000, 4000, 9000, 20000}).Draw(l.t, "down")
	switch kind {
	case "restart":
		l.stopFor(name, down, false)
	case "wipe":
		l.stopFor(name, min(down, 2000), true)
	case "replace":
		l.replace(name)
	case "planned":
		l.replacePlanned(name)
	case "cut":
		l.isolated[name] = true
		l.lostUntil[name] = never
		l.logf("%s is cut off", name)
		l.schedule(time.Duration(down)*time.Millisecond, func() { l.join(name) })
	case "region":
		if len(l.lost()) == 0 {
			for _, other := range slices.Clone(l.names) {
				if l.hosts[other].region == l.hosts[name].region {
					l.stopFor(other, down, false)
				}
			}
		}
	}
}

func (l *losses) join(name string) {
	if l.isolated[name] {
		delete(l.isolated, name)
		l.lostUntil[name] = l.now.Add(catchUpTime)
		l.logf("%s is connected", name)
	}
}

// stopFor stops a host for some milliseconds; its disk is lost if wipe is set.
func (l *losses) stopFor(name string, ms int, wipe bool) {
	l.crash(name)
	if wipe {
		l.wipe(name)
		l.hosts[name].replacement = true
	}
	l.lostUntil[name] = never
	l.down[name] = true
	l.startAfter(name, ms)
}

func (l *losses) startAfter(name string, ms int) {
	if l.starting[name] {
		return
	}
	l.starting[name] = true
	l.schedule(time.Duration(ms)*time.Millisecond, func() {
		delete(l.starting, name)
		if l.retired[name] || l.hosts[name].node != nil {
			return
		}
		l.start(name)
		if l.down[name] {
			delete(l.down, name)
			l.lostUntil[name] = l.now.Add(catchUpTime)
		}
	})
}

// replace ends a host for good and starts an empty one at another address a second later.
func (l *losses) replace(name string) {
	l.crash(name)
	successor := l.planSuccessor(name)
	l.retire(name)
	l.down[successor] = true
	l.startAfter(successor, 1000)
}

// replacePlanned starts the successor of a host first. The host ends some time later, and the pair counts as one lost host until the
// successor has had its time after that.
func (l *losses) replacePlanned(name string) {
	successor := l.planSuccessor(name)
	l.startAfter(successor, 0)
	l.lostUntil[name], l.overlaps[name] = never, true
	l.schedule(plannedOverlap, func() {
		if l.finished {
			return
		}
		old := l.hosts[name]
		l.step(old, quorum.Transfer{})
		l.schedule(100*time.Millisecond, func() {
			if l.finished {
				return
			}
			l.crash(name)
			l.retire(name)
			l.lostUntil[successor] = l.now.Add(catchUpTime)
		})
	})
}

// planSuccessor adds an empty host in the place of another one, which is started later. It counts as lost.
func (l *losses) planSuccessor(name string) string {
	old := l.hosts[name]
	l.lastIncarnation++
	successor := fmt.Sprint(name[:1], l.lastIncarnation)
	l.hosts[successor] = &host{name: successor, zone: old.zone, region: old.region, replacement: true}
	l.names = append(slices.Clone(l.names), successor)
	l.lostUntil[successor] = never
	l.logf("%s is to be replaced by %s", name, successor)
	return successor
}

// retire takes a host off the list for good.
func (l *losses) retire(name string) {
	l.names = slices.DeleteFunc(slices.Clone(l.names), func(other string) bool { return other == name })
	l.retired[name] = true
	l.logf("%s is gone", name)
}

func (l *losses) split() {
	if len(l.side) > 0 {
		return
	}
	names := rapid.Permutation(l.names).Draw(l.t, "halves")
	for _, name := range names[:len(names)/2] {
		l.side[name] = true
	}
	l.splitSince = l.now
	l.logf("split: %v", names[:len(names)/2])
	l.schedule(time.Duration(rapid.IntRange(500, 8000).Draw(l.t, "split"))*time.Millisecond, func() {
		clear(l.side)
		l.logf("the split ends")
		l.delayRepair(l.splitSince)
	})
}

// delayRepair gives the hosts that counted as lost at a time their own time again: they were cut off from others, or restarted.
func (l *losses) delayRepair(since ident.Time) {
	for _, name := range l.names {
		if l.lostUntil[name] > since && l.lostUntil[name] != never {
			l.lostUntil[name] = l.now.Add(catchUpTime)
		}
	}
}

func (l *losses) killAll(ms int) {
	killed := l.now
	l.schedule(time.Duration(ms)*time.Millisecond, func() { l.delayRepair(killed) })
	for _, name := range l.names {
		if l.hosts[name].node != nil {
			l.crash(name)
			l.startAfter(name, ms)
		}
	}
}

// change waits for the acknowledgement of a change.
func (l *losses) change() {
	l.changes++
	id := fmt.Sprint("op", l.changes)
	for range 60 {
		if leader := l.leader(); leader != "" {
			l.propose(leader, id, 0, "text")
		}
		l.run(200 * time.Millisecond)
		if slices.Contains(l.acked, id) {
			return
		}
	}
}

// finish wipes as many hosts as are still permitted right after an acknowledgement, while all others lose power, and requires that
// a leader with every acknowledged change is there in time.
func (l *losses) finish() {
	before := len(l.acked)
	for len(l.acked) == before {
		if l.now > ident.Time(time.Hour) {
			l.violation("no change is acknowledged")
			return
		}
		l.change()
	}
	present := slices.DeleteFunc(slices.Clone(l.names), l.isLost)
	wiped := rapid.Permutation(present).Draw(l.t, "wiped")
	wiped = wiped[:min(len(wiped), max(0, toleratedLosses-len(l.lost())))]
	l.finished = true
	l.logf("all lose power, %v lose their disks, %v are lost", wiped, l.lost())
	for _, name := range l.names {
		if l.hosts[name].node != nil {
			l.crash(name)
		}
	}
	for _, name := range wiped {
		l.wipe(name)
		l.hosts[name].replacement = true
	}
	l.run(1200 * time.Millisecond)
	clear(l.isolated)
	clear(l.side)
	for _, name := range l.names {
		if l.hosts[name].node == nil {
			l.start(name)
		}
	}
	l.run(recoveryTime)
	leader := l.leader()
	if leader == "" {
		l.violation("no leader after the final losses")
		return
	}
	for _, id := range l.acked {
		if l.hosts[leader].machine.answers[id] == nil {
			l.violation("%s has lost %s", leader, id)
		}
	}
}

// enrollOutsiders plays the part of the program for a host without a log: it asks the leader, which it finds through the seeds, for
// admission.
func (l *losses) enrollOutsiders() {
	leader := l.leader()
	for _, name := range slices.Clone(l.names) {
		h := l.hosts[name]
		if h.node == nil || h.node.Members() != nil || leader == "" {
			continue
		}
		if l.findsLeader(name, leader) {
			l.step(h, quorum.Contacts{Peers: l.seeds})
			l.step(l.hosts[leader], quorum.AddLearner{ID: 1 << 32, Host: name, Peer: name, Zone: h.zone, Region: h.region})
		}
	}
	l.schedule(enrollInterval, l.enrollOutsiders)
}

// findsLeader reports whether a host can find the leader through its membership or the seeds in the current settings.
func (l *losses) findsLeader(name, leader string) bool {
	known := slices.Clone(l.seeds)
	for _, member := range append(slices.Clone(l.hosts[name].node.Members().GetVoters()), l.hosts[name].node.Members().GetLearners()...) {
		known = append(known, member.GetHost())
	}
	if !l.connected(name, leader) {
		return false
	}
	return slices.ContainsFunc(known, func(other string) bool {
		h := l.hosts[other]
		return h.node != nil && l.connected(name, other) && (other == leader || h.node.Status().LeaderHost == ident.Host(leader))
	})
}
