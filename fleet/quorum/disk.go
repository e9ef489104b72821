package quorum

import (
	"tamarackshunt.dev/fleet/fleetpb"
)

// pendingWrite is a Persist that is not yet synced, with the last entry and the snapshot on disk once it is.
type pendingWrite struct {
	seq      uint64
	last     uint64
	snapshot uint64
}

// delayedSend is a message that must not be sent before the Persist with number seq is synced.
type delayedSend struct {
	seq  uint64
	send Send
}

// disk tracks which part of the member's state is synced.
type disk struct {
	// Numbers of the last Persist, of the last one with a hard state, and of the last one that is synced.
	seq          uint64
	hardStateSeq uint64
	syncedSeq    uint64
	writes       []pendingWrite
	delayed      []delayedSend
	// Last synced entry that is still in the log, and last synced snapshot.
	syncedIndex    uint64
	syncedSnapshot uint64
	// Parts that the next Persist must contain. dirtyFrom is the index of the first entry to store, or 0 for none.
	dirtyHardState bool
	dirtySnapshot  bool
	dirtyReset     bool
	dirtyFrom      uint64
	deleteBelow    uint64
}

// markReplaced marks the entries from index on as different from the stored ones.
func (d *disk) markReplaced(index uint64) {
	if d.dirtyFrom == 0 || index < d.dirtyFrom {
		d.dirtyFrom = index
	}
	d.markUnsynced(index)
}

// markUnsynced marks the entries from index on as not synced.
func (d *disk) markUnsynced(index uint64) {
	d.syncedIndex = min(d.syncedIndex, index-1)
	for i := range d.writes {
		d.writes[i].last = min(d.writes[i].last, index-1)
	}
}

// hardStateSynced reports whether the term and the vote are on disk.
func (d *disk) hardStateSynced() bool {
	return !d.dirtyHardState && d.syncedSeq >= d.hardStateSeq
}

// flush appends the actions that follow from the handled inputs.
func (n *Node) flush() {
	if n.role == Leader && n.leaderState.unsent {
		n.leaderState.unsent = false
		n.replicate()
	}
	n.persist()
	n.releaseSends()
	n.apply()
	n.reportStatus()
}

func (n *Node) persist() {
	d := &n.disk
	if !d.dirtyHardState && !d.dirtySnapshot && !d.dirtyReset && d.dirtyFrom == 0 {
		return
	}
	d.seq++
	p := Persist{Seq: d.seq, Reset: d.dirtyReset, DeleteBelow: d.deleteBelow}
	if d.dirtyHardState {
		p.HardState = &fleetpb.HardState{Term: n.term, Vote: n.vote, Fleet: n.fleet}
		d.hardStateSeq = d.seq
	}
	if d.dirtySnapshot {
		p.Snapshot = n.log.snapshot
	}
	if d.dirtyFrom != 0 && d.dirtyFrom <= n.log.last().index {
		p.Entries = n.log.entriesBetween(max(d.dirtyFrom, n.log.base.index+1), n.log.last().index)
	}
	d.writes = append(d.writes, pendingWrite{d.seq, n.log.last().index, n.log.snapshot.GetIndex()})
	d.dirtyHardState, d.dirtySnapshot, d.dirtyReset, d.dirtyFrom, d.deleteBelow = false, false, false, 0, 0
	n.out = append(n.out, p)
}

// releaseSends sends the delayed messages whose hard state is synced, in the order in which they were queued.
func (n *Node) releaseSends() {
	for _, send := range n.pending {
		n.disk.delayed = append(n.disk.delayed, delayedSend{n.disk.hardStateSeq, send})
	}
	n.pending = nil
	for len(n.disk.delayed) > 0 && n.disk.delayed[0].seq <= n.disk.syncedSeq {
		n.out = append(n.out, n.disk.delayed[0].send)
		n.disk.delayed = n.disk.delayed[1:]
	}
}

func (n *Node) handlePersisted(seq uint64) {
	d := &n.disk
	d.syncedSeq = max(d.syncedSeq, seq)
	for len(d.writes) > 0 && d.writes[0].seq <= seq {
		d.syncedIndex = max(d.syncedIndex, d.writes[0].last)
		d.syncedSnapshot = max(d.syncedSnapshot, d.writes[0].snapshot)
		d.writes = d.writes[1:]
	}
	switch n.role {
	case Leader:
		n.advanceCommit()
	case Candidate:
		n.countBallots()
	case Follower, Learner:
		n.acknowledge(0)
	}
}

// apply applies the entries that are committed and synced on this member, after restoring a newer snapshot.
func (n *Node) apply() {
	if snapshot := n.log.snapshot; snapshot.GetIndex() > n.applied {
		if n.disk.syncedSnapshot < snapshot.GetIndex() {
			return
		}
		n.out = append(n.out, Restore{snapshot})
		n.applied = snapshot.GetIndex()
		n.lastSnapshotIndex = n.applied
	}
	limit := min(n.commit, n.disk.syncedIndex)
	if limit <= n.applied {
		return
	}
	n.out = append(n.out, Apply{n.log.entriesBetween(n.applied+1, limit)})
	n.applied = limit
	if n.applied >= n.lastSnapshotIndex+n.bounds.Compact {
		n.lastSnapshotIndex = n.applied
		n.out = append(n.out, TakeSnapshot{n.applied})
	}
}

// compact stores the state machine's state as the snapshot and drops the entries that it covers, except
// the last Bounds.Trailing ones.
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
	// The entry at the base index stays stored, as its term is needed after a restart.
	n.disk.deleteBelow = n.log.base.index
}

// reportStatus reports a changed status, unless only the lease or the time of the last contact changed.
func (n *Node) reportStatus() {
	status := n.Status()
	previous := n.reported
	n.reported = status
	previous.ConfirmedAt, previous.Until, previous.LeaderContact = status.ConfirmedAt, status.Until, status.LeaderContact
	if previous != status {
		n.out = append(n.out, RoleChange{status})
	}
}
