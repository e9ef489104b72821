package quorum

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// helloInterval is the interval at which a member without a log sends a Hello to the initial control hosts.
	helloInterval = 200 * time.Millisecond
	// helloLifetime is how long a received Hello counts for bootstrapping the log; it allows for several lost messages.
	helloLifetime = time.Second
	// replacedProblem is sent to a member that returns with its data after it was removed or replaced.
	replacedProblem = "this member was removed or replaced; empty its data folder to rejoin as a new member"
)

// outsider is the state of a member without a log.
type outsider struct {
	helloSentAt  ident.Time
	hasSentHello bool
	// A member of an existing log has answered, so this member must not bootstrap one.
	logExists bool
	// contacts are the peer addresses that are asked for admission besides the initial hosts, and predecessorContact is the sender of
	// the last message for an earlier member of this host, or empty.
	contacts           []string
	predecessorContact string
	problem            string
	hellos             map[string]*receivedHello
}

// receivedHello is the Hello of another initial host that has no log either.
type receivedHello struct {
	member     *fleetpb.Voter
	receivedAt ident.Time
}

// sendHellos sends a Hello to the initial control hosts and the contacts, and bootstraps the log when all initial hosts are new.
func (n *Node) sendHellos() {
	if n.outsider.hasSentHello && n.now.Sub(n.outsider.helloSentAt) < helloInterval {
		return
	}
	n.outsider.helloSentAt, n.outsider.hasSentHello = n.now, true
	asked := map[string]bool{n.self.GetPeer(): true}
	for _, host := range n.initialHosts {
		asked[host.GetPeer()] = true
		if host.GetHost() != n.self.GetHost() {
			n.sendHello(host.GetPeer())
		}
	}
	for _, peer := range append(slices.Clone(n.outsider.contacts), n.outsider.predecessorContact) {
		if peer != "" && !asked[peer] {
			asked[peer] = true
			n.sendHello(peer)
		}
	}
	if n.mayBootstrap() {
		n.bootstrap()
	}
}

func (n *Node) sendHello(peer string) {
	n.sendNow("", peer, &fleetpb.Message{Kind: &fleetpb.Message_Hello{Hello: &fleetpb.Hello{
		Member:      n.self,
		Fresh:       n.isNew(),
		Replacement: n.replacement,
		Hosts:       n.hostNames(),
	}}})
}

// handleMessageToPredecessor handles a message for an earlier member of this host, whose data is lost. Its sender has the log, so a
// member without a log asks it for admission: the hosts that it knows otherwise may be gone.
func (n *Node) handleMessageToPredecessor(m *fleetpb.Message) {
	if n.log.voters != nil || m.GetFleet() == 0 || m.GetTo() == "" || HostOf(m.GetTo()) != ident.Host(n.self.GetHost()) {
		return
	}
	n.outsider.logExists, n.outsider.predecessorContact = true, m.GetPeer()
}

func (n *Node) isNew() bool {
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

// handleHello handles the Hello of a member without a log. A member that has the log but is not the leader forwards it to
// the leader.
func (n *Node) handleHello(hello *fleetpb.Hello) {
	joining := hello.GetMember()
	if joining.GetMember() == "" || joining.GetMember() == n.self.GetMember() {
		return
	}
	if n.log.voters == nil {
		if hello.GetFresh() && !hello.GetReplacement() && slices.Equal(hello.GetHosts(), n.hostNames()) {
			n.outsider.hellos[joining.GetHost()] = &receivedHello{joining, n.now}
		}
		return
	}
	if n.role == Leader {
		n.join(hello)
		return
	}
	n.sendHelloAnswer(joining, "")
	if n.leader != nil {
		n.sendNow(n.leader.GetMember(), n.leader.GetPeer(), &fleetpb.Message{Kind: &fleetpb.Message_Hello{Hello: hello}})
	}
}

// sendHelloAnswer answers a member that a log exists, with the reason it may not join, if any.
func (n *Node) sendHelloAnswer(joining *fleetpb.Voter, problem string) {
	n.sendNow(joining.GetMember(), joining.GetPeer(), &fleetpb.Message{
		Kind: &fleetpb.Message_Greeted{Greeted: &fleetpb.HelloAnswer{Problem: problem}},
	})
}

func (n *Node) handleHelloAnswer(m *fleetpb.Message, answer *fleetpb.HelloAnswer) {
	if m.GetTo() != n.self.GetMember() || n.hasActiveLeader() {
		return
	}
	n.outsider.logExists = true
	if answer.GetProblem() != "" {
		n.outsider.problem = answer.GetProblem()
	}
}

// mayBootstrapAlone reports whether this member may bootstrap the log as the only initial control host.
func (n *Node) mayBootstrapAlone() bool {
	return len(n.initialHosts) == 1 && n.mayBootstrap()
}

// mayBootstrap reports whether this member is new and the first of the initial hosts, and all others have reported to be
// new within helloLifetime.
func (n *Node) mayBootstrap() bool {
	names := n.hostNames()
	if n.replacement || !n.isNew() || n.outsider.logExists || len(names) == 0 || names[0] != n.self.GetHost() {
		return false
	}
	for _, name := range names[1:] {
		hello := n.outsider.hellos[name]
		if hello == nil || n.now.Sub(hello.receivedAt) > helloLifetime {
			return false
		}
	}
	return true
}

// bootstrap creates the log with the membership as its first entry and starts an election.
func (n *Node) bootstrap() {
	voters := []*fleetpb.Voter{n.self}
	for _, name := range n.hostNames()[1:] {
		voters = append(voters, n.outsider.hellos[name].member)
	}
	n.fleet = max(1, xxhash.Sum64String(n.self.GetMember()))
	n.term, n.vote = 1, n.self.GetMember()
	n.disk.dirtyHardState = true
	n.log.append(&fleetpb.Entry{Index: 1, Term: 1, Change: &fleetpb.Change{
		Kind: &fleetpb.Change_Voters{Voters: &fleetpb.Voters{Voters: voters}},
	}})
	n.disk.markReplaced(1)
	n.campaign(false)
}
