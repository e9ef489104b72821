package quorum

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// greetEvery is the interval at which a member without a log reports itself to the initial control hosts.
	greetEvery = 200 * time.Millisecond
	// greetingLife is how long a report counts for founding the log; it spans several lost messages.
	greetingLife = time.Second
	// replacedProblem is what a member is told that comes back with its data after it was removed or replaced.
	replacedProblem = "this member was removed or replaced; empty its data folder to rejoin as a new member"
)

// outsider is what a member without a log keeps.
type outsider struct {
	greeted    ident.Time
	hasGreeted bool
	// A member of an existing log has answered, so that there is none to found.
	exists  bool
	problem string
	known   map[string]*greeting
}

// greeting is another initial host's report that it has no log either.
type greeting struct {
	member *fleetpb.Voter
	at     ident.Time
}

// greet reports this member to the initial control hosts and founds the log when all of them are new.
func (n *Node) greet() {
	if n.outsider.hasGreeted && n.now.Sub(n.outsider.greeted) < greetEvery {
		return
	}
	n.outsider.greeted, n.outsider.hasGreeted = n.now, true
	for _, host := range n.initialHosts {
		if host.GetHost() == n.self.GetHost() {
			continue
		}
		n.sendNow("", host.GetPeer(), &fleetpb.Message{Kind: &fleetpb.Message_Hello{Hello: &fleetpb.Hello{
			Member:      n.self,
			Fresh:       n.fresh(),
			Replacement: n.joins,
			Hosts:       n.hostNames(),
		}}})
	}
	if n.mayFound() {
		n.found()
	}
}

func (n *Node) fresh() bool {
	return n.term == 0 && !n.disk.dirtyHardState && n.log.voters == nil
}

func (n *Node) hostNames() []string {
	names := make([]string, 0, len(n.initialHosts))
	for _, host := range n.initialHosts {
		names = append(names, host.GetHost())
	}
	slices.Sort(names)
	return names
}

// greeted takes a report of a member without a log.
func (n *Node) greeted(hello *fleetpb.Hello) {
	joining := hello.GetMember()
	if joining.GetMember() == "" || joining.GetMember() == n.self.GetMember() {
		return
	}
	if n.log.voters == nil {
		if hello.GetFresh() && !hello.GetReplacement() && slices.Equal(hello.GetHosts(), n.hostNames()) {
			n.outsider.known[joining.GetHost()] = &greeting{joining, n.now}
		}
		return
	}
	if n.role == Leader {
		n.join(hello)
		return
	}
	n.refuse(joining, "")
	if n.leader != nil {
		n.sendNow(n.leader.GetMember(), n.leader.GetPeer(), &fleetpb.Message{Kind: &fleetpb.Message_Hello{Hello: hello}})
	}
}

// refuse tells a member without a log that one exists, and why it may not join.
func (n *Node) refuse(joining *fleetpb.Voter, problem string) {
	n.sendNow(joining.GetMember(), joining.GetPeer(), &fleetpb.Message{
		Kind: &fleetpb.Message_Greeted{Greeted: &fleetpb.HelloAnswer{Problem: problem}},
	})
}

func (n *Node) refused(m *fleetpb.Message, answer *fleetpb.HelloAnswer) {
	if m.GetTo() != n.self.GetMember() || n.hearsLeader() {
		return
	}
	n.outsider.exists = true
	if answer.GetProblem() != "" {
		n.outsider.problem = answer.GetProblem()
	}
}

// foundsAlone reports whether this member is the only initial control host.
func (n *Node) foundsAlone() bool {
	return len(n.initialHosts) == 1 && n.mayFound()
}

// mayFound reports whether this member is the first of the initial hosts and all others have just reported to be new.
func (n *Node) mayFound() bool {
	names := n.hostNames()
	if n.joins || !n.fresh() || n.outsider.exists || len(names) == 0 || names[0] != n.self.GetHost() {
		return false
	}
	for _, name := range names[1:] {
		known := n.outsider.known[name]
		if known == nil || n.now.Sub(known.at) > greetingLife {
			return false
		}
	}
	return true
}

// found opens the log with the membership as its first entry and stands for election.
func (n *Node) found() {
	voters := []*fleetpb.Voter{n.self}
	for _, name := range n.hostNames()[1:] {
		voters = append(voters, n.outsider.known[name].member)
	}
	n.fleet = max(1, xxhash.Sum64String(n.self.GetMember()))
	n.term, n.vote = 1, n.self.GetMember()
	n.disk.dirtyHardState = true
	n.log.append(&fleetpb.Entry{Index: 1, Term: 1, Change: &fleetpb.Change{
		Kind: &fleetpb.Change_Voters{Voters: &fleetpb.Voters{Voters: voters}},
	}})
	n.disk.replaced(1)
	n.campaign(false)
}
