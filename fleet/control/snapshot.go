package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Delta returns the changes after the known version, or the full state if the known version is 0 or older than the
// history that the state keeps. Services and teams that the text does not name are left out, and keys of such teams
// are listed as withdrawn.
func (m *Machine) Delta(known ident.Version) *fleetpb.State {
	state := &fleetpb.State{Version: uint64(m.version), TextVersion: m.text.GetVersion()}
	switch {
	case known == 0 || known < m.oldest:
		known = 0
		state.Full = true
	case known == m.version:
		return state // the result of most syncs
	}
	after := uint64(known)
	if m.text.GetChanged() > after {
		state.Text = m.Text()
	}
	for _, service := range slices.Sorted(maps.Keys(m.groups)) {
		if g := m.groups[service]; g.GetChanged() > after && hasService(m.Text(), string(service)) {
			state.Groups = append(state.Groups, g.GetGroup())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.keys)) {
		k := m.keys[id]
		switch {
		case k.GetChanged() <= after:
		case hasTeam(m.Text(), k.GetKey().GetTeam()):
			state.Keys = append(state.Keys, k.GetKey())
		default:
			state.Withdrawn = append(state.Withdrawn, string(id))
		}
	}
	for _, k := range m.withdrawn {
		if k.GetChanged() > after {
			state.Withdrawn = append(state.Withdrawn, k.GetKey().GetId())
		}
	}
	if uint64(m.keepersChanged) > after {
		state.Keepers = m.keepers
	}
	return state
}

// Snapshot returns the state as an encoded SavedState message. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	saved := &fleetpb.SavedState{
		Index:          m.index,
		Version:        uint64(m.version),
		Oldest:         uint64(m.oldest),
		Text:           m.text,
		Keepers:        m.keepers,
		KeepersChanged: uint64(m.keepersChanged),
		Voters:         m.voters,
		Withdrawn:      m.withdrawn,
	}
	for _, service := range slices.Sorted(maps.Keys(m.groups)) {
		saved.Groups = append(saved.Groups, m.groups[service])
	}
	for _, id := range slices.Sorted(maps.Keys(m.keys)) {
		saved.Keys = append(saved.Keys, m.keys[id])
	}
	for _, id := range m.answerOrder {
		saved.Answers = append(saved.Answers, m.answers[id])
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(saved)
	return data, trace.Wrap(err)
}

// SnapshotError reports a snapshot that cannot be decoded or is inconsistent.
type SnapshotError struct {
	Cause string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return "unusable snapshot of the control state: " + e.Cause
}

// Restore replaces the state with a snapshot, or returns a SnapshotError and leaves the state as it was.
func (m *Machine) Restore(data []byte) error {
	saved := &fleetpb.SavedState{}
	if err := proto.Unmarshal(data, saved); err != nil {
		return trace.Wrap(&SnapshotError{Cause: err.Error()})
	}
	if problem := snapshotProblem(saved); problem != "" {
		return trace.Wrap(&SnapshotError{Cause: problem})
	}
	m.reset()
	m.index = saved.GetIndex()
	m.version = ident.Version(saved.GetVersion())
	m.oldest = ident.Version(saved.GetOldest())
	m.text = saved.GetText()
	m.keepers = saved.GetKeepers()
	m.keepersChanged = ident.Version(saved.GetKeepersChanged())
	m.voters = cmp.Or(saved.GetVoters(), m.voters)
	m.withdrawn = saved.GetWithdrawn()
	for _, g := range saved.GetGroups() {
		m.groups[ident.Service(g.GetGroup().GetService())] = g
	}
	for _, k := range saved.GetKeys() {
		m.keys[ident.KeyID(k.GetKey().GetId())] = k
	}
	for _, a := range saved.GetAnswers() {
		m.answers[a.GetId()] = a
		m.answerOrder = append(m.answerOrder, a.GetId())
	}
	return nil
}

func snapshotProblem(saved *fleetpb.SavedState) string {
	switch {
	case saved.GetText() == nil || saved.GetKeepers() == nil:
		return "no text or no keepers"
	case saved.GetText().GetChanged() > saved.GetVersion() || saved.GetKeepersChanged() > saved.GetVersion():
		return "changes after its version"
	case len(saved.GetAnswers()) > maxAnswers || len(saved.GetWithdrawn()) > maxWithdrawn:
		return "more history than is kept"
	default:
		return ""
	}
}
