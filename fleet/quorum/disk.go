package quorum

import (
	"tamarackshunt.dev/fleet/fleetpb"
)

// write is a Persist that is not yet synced: what is on disk once it is.
type write struct {
	seq      uint64
	last     uint64
	snapshot uint64
}

// heldSend is a message that must not leave before the Persist with number seq is synced.
type heldSend struct {
	seq  uint64
	send Send
}

// disk tracks which part of the member's state is synced.
type disk struct {
	seq          uint64
	hardStateSeq uint64
	done         uint64
	writes       []write
	held         []heldSend
	// Last synced entry that is still in the log, and last synced snapshot.
	index    uint64
	snapshot uint64
	// Parts that the next Persist must hold.
	dirtyHardState bool
	dirtySnapshot  bool
	dirtyReset     bool
	dirtyFrom      uint64
	first          uint64
}

// replaced notes that entries from index on differ from what was stored.
func (d *disk) replaced(index uint64) {
	if d.dirtyFrom == 0 || index < d.dirtyFrom {
		d.dirtyFrom = index
	}
	d.forget(index)
}

// forget notes that the entries from index on are no longer synced.
func (d *disk) forget(index uint64) {
	d.index = min(d.index, index-1)
	for i := range d.writes {
		d.writes[i].last = min(d.writes[i].last, index-1)
	}
}

// hardStateSynced reports whether the term and the vote are on disk.
func (d *disk) hardStateSynced() bool {
	return !d.dirtyHardState && d.done >= d.hardStateSeq
}

// flush turns what the inputs changed into actions.
func (n *Node) flush() {
	if n.role == Leader && n.office.unsent {
		n.office.unsent = false
		n.replicate()
	}
	n.persist()
	n.release()
	n.apply()
	n.report()
}

func (n *Node) persist() {
	d := &n.disk
	if !d.dirtyHardState && !d.dirtySnapshot && !d.dirtyReset && d.dirtyFrom == 0 {
		return
	}
	d.seq++
	p := Persist{Seq: d.seq, Reset: d.dirtyReset, First: d.first}
	if d.dirtyHardState {
		p.HardState = &fleetpb.HardState{Term: n.term, Vote: n.vote, Fleet: n.fleet}
		d.hardStateSeq = d.seq
	}
	if d.dirtySnapshot {
		p.Snapshot = n.log.snapshot
	}
	if d.dirtyFrom != 0 && d.dirtyFrom <= n.log.last().index {
		p.Entries = n.log.between(max(d.dirtyFrom, n.log.base.index+1), n.log.last().index)
	}
	d.writes = append(d.writes, write{d.seq, n.log.last().index, n.log.snapshot.GetIndex()})
	d.dirtyHardState, d.dirtySnapshot, d.dirtyReset, d.dirtyFrom, d.first = false, false, false, 0, 0
	n.out = append(n.out, p)
}

// release passes on the messages whose hard state is synced, in the order in which they were queued.
func (n *Node) release() {
	for _, send := range n.pending {
		n.disk.held = append(n.disk.held, heldSend{n.disk.hardStateSeq, send})
	}
	n.pending = nil
	for len(n.disk.held) > 0 && n.disk.held[0].seq <= n.disk.done {
		n.out = append(n.out, n.disk.held[0].send)
		n.disk.held = n.disk.held[1:]
	}
}

func (n *Node) persisted(seq uint64) {
	d := &n.disk
	d.done = max(d.done, seq)
	for len(d.writes) > 0 && d.writes[0].seq <= seq {
		d.index = max(d.index, d.writes[0].last)
		d.snapshot = max(d.snapshot, d.writes[0].snapshot)
		d.writes = d.writes[1:]
	}
	switch n.role {
	case Leader:
		n.advance()
	case Candidate:
		n.countBallots()
	case Follower, Learner:
		n.acknowledge(0)
	}
}

// apply passes on what is committed and synced here, a restored snapshot first.
func (n *Node) apply() {
	if snapshot := n.log.snapshot; snapshot.GetIndex() > n.applied {
		if n.disk.snapshot < snapshot.GetIndex() {
			return
		}
		n.out = append(n.out, Restore{snapshot})
		n.applied = snapshot.GetIndex()
		n.snapshotAt = n.applied
	}
	limit := min(n.commit, n.disk.index)
	if limit <= n.applied {
		return
	}
	n.out = append(n.out, Apply{n.log.between(n.applied+1, limit)})
	n.applied = limit
	if n.applied >= n.snapshotAt+n.bounds.Compact {
		n.snapshotAt = n.applied
		n.out = append(n.out, TakeSnapshot{n.applied})
	}
}

// compact stores the machine's state as the snapshot and drops the entries that it covers.
func (n *Node) compact(in Compact) {
	term, known := n.log.term(in.Index)
	if !known || in.Index <= n.log.snapshot.GetIndex() || in.Index > n.applied {
		return
	}
	n.log.compact(&fleetpb.Snapshot{
		Index:  in.Index,
		Term:   term,
		Voters: n.log.votersAt(in.Index),
		State:  in.State,
	}, n.bounds.Trailing)
	n.disk.dirtySnapshot = true
	// The entry at the base stays stored, since its term is needed after a restart.
	n.disk.first = n.log.base.index
}

// report announces a change of role, term, leader or readiness.
func (n *Node) report() {
	status := n.Status()
	told := n.told
	n.told = status
	told.ConfirmedAt, told.Until = status.ConfirmedAt, status.Until
	told.StalestVoter, told.StalestContact = status.StalestVoter, status.StalestContact
	if told != status {
		n.out = append(n.out, RoleChange{status})
	}
}
