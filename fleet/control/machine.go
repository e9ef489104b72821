package control

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Limits on the history that the state keeps.
const (
	// maxAnswers is the number of idempotency ids whose answers are kept.
	maxAnswers = 1024
	// maxWithdrawn is the number of withdrawn keys that are listed; hosts that know only older versions get the full
	// state.
	maxWithdrawn = 4096
)

// Machine is the replicated control state. The same changes give the same state on every replica. Messages in the
// state are replaced and never modified, so those that its methods return stay valid while further changes are
// applied. The methods are not safe for concurrent use.
type Machine struct {
	index   uint64
	version ident.Version
	// oldest is the oldest version since which Delta can list the changes.
	oldest ident.Version

	text      *fleetpb.SavedText
	groups    map[ident.Service]*fleetpb.SavedGroup
	keys      map[ident.KeyID]*fleetpb.SavedKey
	withdrawn []*fleetpb.SavedKey

	keepers        *fleetpb.KeeperSet
	keepersChanged ident.Version
	voters         *fleetpb.Voters

	answers map[string]*fleetpb.SavedAnswer
	// answerOrder holds the idempotency ids of answers, oldest first.
	answerOrder []string
}

// NewMachine returns the state before the first change: no text, no keys, no keepers.
func NewMachine() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

func (m *Machine) reset() {
	*m = Machine{
		text:    &fleetpb.SavedText{Applied: &fleetpb.ApplyText{}},
		groups:  map[ident.Service]*fleetpb.SavedGroup{},
		keys:    map[ident.KeyID]*fleetpb.SavedKey{},
		keepers: &fleetpb.KeeperSet{Settled: true},
		voters:  &fleetpb.Voters{},
		answers: map[string]*fleetpb.SavedAnswer{},
	}
}

// Apply applies the change at an index of the log and returns the answer for its proposer: an ApplyResponse, a
// KeyResponse or an Outcome. Entries at or below the last applied index change nothing.
func (m *Machine) Apply(index uint64, change *fleetpb.Change) proto.Message {
	if index <= m.index {
		return m.refuse("entry %d is already applied", index)
	}
	m.index = index
	switch kind := change.GetKind().(type) {
	case *fleetpb.Change_Apply:
		return m.applyText(kind.Apply)
	case *fleetpb.Change_Give:
		return m.giveKey(kind.Give)
	case *fleetpb.Change_Withdraw:
		return m.withdrawKey(kind.Withdraw)
	case *fleetpb.Change_Attempt:
		return m.attempt(kind.Attempt)
	case *fleetpb.Change_Promoted:
		return m.promoted(kind.Promoted)
	case *fleetpb.Change_Join:
		return m.join(kind.Join)
	case *fleetpb.Change_Leave:
		return m.leave(kind.Leave)
	case *fleetpb.Change_Keepers:
		return m.setKeepers(kind.Keepers)
	case *fleetpb.Change_Voters:
		m.voters = kind.Voters
		return m.done()
	default:
		return m.done()
	}
}

// Version returns the version of the state, which grows with each change that hosts must receive.
func (m *Machine) Version() ident.Version {
	return m.version
}

// Text returns the text in force; it is empty before the first one.
func (m *Machine) Text() *fleetpb.Text {
	return m.text.GetApplied().GetText()
}

// TextVersion returns the version of the text in force, 0 before the first one.
func (m *Machine) TextVersion() ident.Version {
	return ident.Version(m.text.GetVersion())
}

// TextChanged returns the version of the state at which the text in force was applied.
func (m *Machine) TextChanged() ident.Version {
	return ident.Version(m.text.GetChanged())
}

// Source returns the YAML source of the text in force.
func (m *Machine) Source() []byte {
	return m.text.GetApplied().GetSource()
}

// Group returns the group of a service, or nil before its first member joined.
func (m *Machine) Group(service ident.Service) *fleetpb.Group {
	return m.groups[service].GetGroup()
}

// Groups returns the groups of the services that the text names, in the text's order.
func (m *Machine) Groups() []*fleetpb.Group {
	var groups []*fleetpb.Group
	for _, s := range m.Text().GetServices() {
		if g := m.Group(ident.Service(s.GetName())); g != nil {
			groups = append(groups, g)
		}
	}
	return groups
}

// Keepers returns the current keeper epoch.
func (m *Machine) Keepers() *fleetpb.KeeperSet {
	return m.keepers
}

// Voters returns the membership of the control log.
func (m *Machine) Voters() *fleetpb.Voters {
	return m.voters
}

// service returns the service of the text with the given name, or nil.
func (m *Machine) service(name string) *fleetpb.Service {
	for _, s := range m.Text().GetServices() {
		if s.GetName() == name {
			return s
		}
	}
	return nil
}

// nextVersion increments the version of the state and returns it.
func (m *Machine) nextVersion() uint64 {
	m.version++
	return uint64(m.version)
}

func (m *Machine) done() *fleetpb.Outcome {
	return &fleetpb.Outcome{Done: true, Version: uint64(m.version)}
}

func (m *Machine) refuse(format string, args ...any) *fleetpb.Outcome {
	return &fleetpb.Outcome{Version: uint64(m.version), Problem: fmt.Sprintf(format, args...)}
}
