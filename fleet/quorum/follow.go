package quorum

import (
	"tamarackshunt.dev/fleet/fleetpb"
)

// recordLeaderContact follows the sender as the leader of the term and restarts the election timeout. It returns false on
// a leader, which ignores such messages.
func (n *Node) recordLeaderContact(m *fleetpb.Message) bool {
	if n.role == Leader {
		return false
	}
	if n.leader.GetMember() != m.GetFrom() || n.role != n.membershipRole() {
		n.resetRole(n.senderOf(m))
	}
	n.leaderContact, n.hasLeaderContact = n.now, true
	n.outsider.problem = ""
	n.resetElectionTimer()
	return true
}

// senderOf returns the sender of a message; its host is empty until the log contains it as a member.
func (n *Node) senderOf(m *fleetpb.Message) *fleetpb.Voter {
	for _, member := range n.members() {
		if member.GetMember() == m.GetFrom() {
			return member
		}
	}
	return &fleetpb.Voter{Member: m.GetFrom(), Peer: m.GetPeer()}
}

func (n *Node) handleAppend(m *fleetpb.Message, in *fleetpb.Append) {
	if !n.recordLeaderContact(m) {
		return
	}
	prev, entries := in.GetPrevIndex(), in.GetEntries()
	if prev < n.commit {
		// Every later leader has the committed entries, so both logs are equal up to the commit index.
		skip := min(uint64(len(entries)), n.commit-prev)
		prev, entries = n.commit, entries[skip:]
	} else if term, known := n.log.term(prev); !known || term != in.GetPrevTerm() {
		n.rejectAppend(in)
		return
	}
	if !consecutive(prev, entries) {
		return
	}
	n.merge(entries)
	n.matchIndex = max(n.matchIndex, prev+uint64(len(entries)))
	n.commit = max(n.commit, min(in.GetCommit(), n.matchIndex))
	n.acknowledge(in.GetRound())
}

func consecutive(prev uint64, entries []*fleetpb.Entry) bool {
	for i, entry := range entries {
		if entry.GetIndex() != prev+uint64(i)+1 {
			return false
		}
	}
	return true
}

// merge adds the leader's entries, replacing those of other terms.
func (n *Node) merge(entries []*fleetpb.Entry) {
	for i, entry := range entries {
		term, known := n.log.term(entry.GetIndex())
		if known && term == entry.GetTerm() {
			continue
		}
		if known {
			n.log.truncate(entry.GetIndex())
		}
		n.log.append(entries[i:]...)
		n.disk.markReplaced(entry.GetIndex())
		n.updateRole()
		return
	}
}

// rejectAppend answers with a hint: the last entry at or before the mismatch that the leader's log may contain too.
func (n *Node) rejectAppend(in *fleetpb.Append) {
	hint := min(in.GetPrevIndex(), n.log.last().index)
	term, known := n.log.term(hint)
	for known && term > in.GetPrevTerm() && hint > n.commit {
		hint--
		term, known = n.log.term(hint)
	}
	n.send(n.leader.GetMember(), n.leader.GetPeer(), &fleetpb.Message{
		Kind: &fleetpb.Message_Appended{Appended: &fleetpb.AppendAnswer{
			Round:    in.GetRound(),
			Rejected: in.GetPrevIndex(),
			Hint:     hint,
			HintTerm: term,
		}},
	})
}

// acknowledge reports to the leader up to which index this member has synced the leader's log. The round is the
// heartbeat round of the message that it answers, or 0 if it answers none.
func (n *Node) acknowledge(round uint64) {
	if n.leader == nil {
		return
	}
	match := min(n.matchIndex, n.disk.syncedIndex)
	if round == 0 && match == 0 {
		return
	}
	n.send(n.leader.GetMember(), n.leader.GetPeer(), &fleetpb.Message{
		Kind: &fleetpb.Message_Appended{Appended: &fleetpb.AppendAnswer{Success: true, Match: match, Round: round}},
	})
}

func (n *Node) handleSnapshot(m *fleetpb.Message, in *fleetpb.Snapshot) {
	if !n.recordLeaderContact(m) {
		return
	}
	term, known := n.log.term(in.GetIndex())
	switch {
	case in.GetIndex() <= n.commit:
		n.matchIndex = max(n.matchIndex, n.commit)
	case known && term == in.GetTerm():
		n.commit = in.GetIndex()
		n.matchIndex = max(n.matchIndex, n.commit)
	default:
		n.replaceLog(in)
	}
	n.acknowledge(in.GetRound())
}

// replaceLog replaces the log with a snapshot. Entries after it are dropped: they do not follow from the snapshot, so they
// cannot be committed.
func (n *Node) replaceLog(in *fleetpb.Snapshot) {
	n.log.reset(&fleetpb.Snapshot{
		Index:  in.GetIndex(),
		Term:   in.GetTerm(),
		Voters: in.GetVoters(),
		State:  in.GetState(),
	})
	n.disk.markUnsynced(1)
	n.disk.dirtyFrom = 0
	n.disk.dirtyReset, n.disk.dirtySnapshot = true, true
	n.commit, n.matchIndex = in.GetIndex(), in.GetIndex()
	n.updateRole()
}
