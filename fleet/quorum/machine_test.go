package quorum_test

import (
	"fmt"
	"sort"
	"strings"

	"tamarackshunt.dev/fleet/fleetpb"
)

// stateMachine is a simplified control state: one versioned text, and the answers to past requests.
type stateMachine struct {
	version uint64
	text    string
	answers map[string]*fleetpb.ApplyResponse
	winner  string
}

func (m *stateMachine) apply(change *fleetpb.Change) *fleetpb.ApplyResponse {
	apply := change.GetApply()
	if apply == nil {
		return nil
	}
	if answer := m.answers[apply.GetId()]; answer != nil {
		return answer
	}
	answer := &fleetpb.ApplyResponse{Accepted: apply.GetExpected() == m.version}
	if answer.Accepted {
		m.version++
		m.text, m.winner = string(apply.GetSource()), apply.GetId()
	}
	answer.Version, answer.Winner = m.version, m.winner
	m.answers[apply.GetId()] = answer
	return answer
}

func (m *stateMachine) snapshot() []byte {
	lines := []string{fmt.Sprint(m.version), m.text, m.winner}
	for id, answer := range m.answers {
		lines = append(lines, fmt.Sprintf("%s %t %d %s", id, answer.Accepted, answer.Version, answer.Winner))
	}
	sort.Strings(lines[3:])
	return []byte(strings.Join(lines, "\n"))
}

func restoreStateMachine(state []byte) *stateMachine {
	lines := strings.Split(string(state), "\n")
	m := &stateMachine{text: lines[1], winner: lines[2], answers: map[string]*fleetpb.ApplyResponse{}}
	_, _ = fmt.Sscan(lines[0], &m.version)
	for _, line := range lines[3:] {
		var id string
		answer := &fleetpb.ApplyResponse{}
		_, _ = fmt.Sscan(line, &id, &answer.Accepted, &answer.Version, &answer.Winner)
		m.answers[id] = answer
	}
	return m
}
