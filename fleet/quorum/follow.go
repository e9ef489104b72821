package quorum

import (
	"tamarackshunt.dev/fleet/fleetpb"
)

// follow notes that the term's leader was heard.
func (n *Node) follow(m *fleetpb.Message) bool {
	if n.role == Leader {
		return false
	}
	if n.leader.GetMember() != m.GetFrom() || n.role != n.restingRole() {
		n.rest(n.describe(m))
	}
	n.heard, n.hasHeard = n.now, true
	n.outsider.problem = ""
	n.drawElection()
	return true
}

// describe returns the sender of a message; its host is known once the log holds its membership.
func (n *Node) describe(m *fleetpb.Message) *fleetpb.Voter {
	for _, member := range n.members() {
		if member.GetMember() == m.GetFrom() {
			return member
		}
	}
	return &fleetpb.Voter{Member: m.GetFrom(), Peer: m.GetPeer()}
}

func (n *Node) appendFrom(m *fleetpb.Message, in *fleetpb.Append) {
	if !n.follow(m) {
		return
	}
	prev, entries := in.GetPrevIndex(), in.GetEntries()
	if prev < n.commit {
		// Every later leader holds the committed entries, so the log agrees up to there.
		skip := min(uint64(len(entries)), n.commit-prev)
		prev, entries = n.commit, entries[skip:]
	} else if term, known := n.log.term(prev); !known || term != in.GetPrevTerm() {
		n.reject(in)
		return
	}
	if !consecutive(prev, entries) {
		return
	}
	n.merge(entries)
	n.agreed = max(n.agreed, prev+uint64(len(entries)))
	n.commit = max(n.commit, min(in.GetCommit(), n.agreed))
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
		n.disk.replaced(entry.GetIndex())
		n.membersChanged()
		return
	}
}

// reject names the last place at or before the mismatch whose term the leader's log may share.
func (n *Node) reject(in *fleetpb.Append) {
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

// acknowledge tells the leader up to where its log is synced here.
func (n *Node) acknowledge(round uint64) {
	if n.leader == nil {
		return
	}
	match := min(n.agreed, n.disk.index)
	if round == 0 && match == 0 {
		return
	}
	n.send(n.leader.GetMember(), n.leader.GetPeer(), &fleetpb.Message{
		Kind: &fleetpb.Message_Appended{Appended: &fleetpb.AppendAnswer{Success: true, Match: match, Round: round}},
	})
}

func (n *Node) installFrom(m *fleetpb.Message, in *fleetpb.Snapshot) {
	if !n.follow(m) {
		return
	}
	term, known := n.log.term(in.GetIndex())
	switch {
	case in.GetIndex() <= n.commit:
		n.agreed = max(n.agreed, n.commit)
	case known && term == in.GetTerm():
		n.commit = in.GetIndex()
		n.agreed = max(n.agreed, n.commit)
	default:
		n.install(in)
	}
	n.acknowledge(in.GetRound())
}

// install replaces the log, whose entries after the snapshot cannot be committed as they do not continue it.
func (n *Node) install(in *fleetpb.Snapshot) {
	n.log.reset(&fleetpb.Snapshot{
		Index:  in.GetIndex(),
		Term:   in.GetTerm(),
		Voters: in.GetVoters(),
		State:  in.GetState(),
	})
	n.disk.forget(1)
	n.disk.dirtyFrom = 0
	n.disk.dirtyReset, n.disk.dirtySnapshot = true, true
	n.commit, n.agreed = in.GetIndex(), in.GetIndex()
	n.membersChanged()
}
