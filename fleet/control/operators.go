package control

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/key"
	"tamarackshunt.dev/fleet/text"
)

// ApplyChange parses the text of an operator's request. It returns the change to propose, or an answer that lists the
// mistakes in the text; version is the version in force.
func ApplyChange(request *fleetpb.ApplyRequest, version ident.Version) (*fleetpb.Change, *fleetpb.ApplyResponse) {
	parsed, err := text.Parse(request.GetFile(), request.GetSource())
	if err != nil {
		return nil, &fleetpb.ApplyResponse{Version: uint64(version), Problems: text.Problems(err)}
	}
	return &fleetpb.Change{Kind: &fleetpb.Change_Apply{Apply: &fleetpb.ApplyText{
		Id:       request.GetId(),
		Expected: request.GetExpected(),
		Source:   request.GetSource(),
		File:     request.GetFile(),
		Text:     parsed,
	}}}, nil
}

func (m *Machine) applyText(apply *fleetpb.ApplyText) proto.Message {
	digest := digestOf("apply", &fleetpb.ApplyText{Expected: apply.GetExpected(), Source: apply.GetSource()})
	first, problem := m.findAnswer(apply.GetId(), digest)
	if problem != "" {
		return m.refuseText(problem)
	}
	if answer := first.GetApply(); answer != nil {
		return answer
	}
	answer := m.decideText(apply)
	m.saveAnswer(&fleetpb.SavedAnswer{Id: apply.GetId(), Digest: digest, Kind: &fleetpb.SavedAnswer_Apply{Apply: answer}})
	return answer
}

func (m *Machine) decideText(apply *fleetpb.ApplyText) *fleetpb.ApplyResponse {
	if apply.GetText() == nil {
		return m.refuseText("the change holds no text that was read")
	}
	if apply.GetExpected() != m.text.GetVersion() {
		answer := m.refuseText(fmt.Sprintf("expected version %d, but version %d is in force", apply.GetExpected(), m.text.GetVersion()))
		answer.Raced = true
		return answer
	}
	before := m.Text()
	m.text = &fleetpb.SavedText{Applied: apply, Version: m.text.GetVersion() + 1, Changed: m.nextVersion()}
	m.markChanged(before, apply.GetText())
	return &fleetpb.ApplyResponse{Accepted: true, Version: m.text.GetVersion(), Winner: apply.GetId()}
}

// refuseText returns an answer that names the text in force, so that an operator who lost a race can see which
// request won.
func (m *Machine) refuseText(problem string) *fleetpb.ApplyResponse {
	return &fleetpb.ApplyResponse{
		Version:  m.text.GetVersion(),
		Winner:   m.text.GetApplied().GetId(),
		Problems: []string{problem},
	}
}

// markChanged marks groups and keys as changed when a new text adds or drops their service or team.
func (m *Machine) markChanged(before, after *fleetpb.Text) {
	for service, saved := range m.groups {
		if hasService(before, string(service)) != hasService(after, string(service)) {
			m.groups[service] = &fleetpb.SavedGroup{Group: saved.GetGroup(), Changed: uint64(m.version)}
		}
	}
	for id, saved := range m.keys {
		team := saved.GetKey().GetTeam()
		if hasTeam(before, team) != hasTeam(after, team) {
			m.keys[id] = &fleetpb.SavedKey{Key: saved.GetKey(), Changed: uint64(m.version)}
		}
	}
}

func (m *Machine) giveKey(give *fleetpb.GiveKeyRequest) proto.Message {
	return m.changeKey("give", give.GetId(), give, func() string {
		id := ident.KeyID(give.GetKey())
		switch {
		case !key.ValidID(id):
			return "the key's id must be 1 to 64 letters, digits, - and _"
		case len(give.GetHash()) != sha256.Size:
			return fmt.Sprintf("the key's hash has %d bytes, expected %d", len(give.GetHash()), sha256.Size)
		case !hasTeam(m.Text(), give.GetTeam()):
			return fmt.Sprintf("the text names no team %q", give.GetTeam())
		case m.keys[id] != nil || m.wasWithdrawn(id):
			return fmt.Sprintf("the key id %q was given before", id)
		}
		m.keys[id] = &fleetpb.SavedKey{
			Key:     &fleetpb.KeyEntry{Id: give.GetKey(), Team: give.GetTeam(), Hash: give.GetHash()},
			Changed: m.nextVersion(),
		}
		return ""
	})
}

// withdrawKey also succeeds for a key that is already withdrawn, since the state is then the one that was requested.
func (m *Machine) withdrawKey(withdraw *fleetpb.WithdrawKeyRequest) proto.Message {
	return m.changeKey("withdraw", withdraw.GetId(), withdraw, func() string {
		id := ident.KeyID(withdraw.GetKey())
		saved := m.keys[id]
		if saved == nil {
			if m.wasWithdrawn(id) {
				return ""
			}
			return fmt.Sprintf("no key has the id %q", id)
		}
		delete(m.keys, id)
		m.withdrawn = append(m.withdrawn, &fleetpb.SavedKey{
			Key:     &fleetpb.KeyEntry{Id: saved.GetKey().GetId(), Team: saved.GetKey().GetTeam()},
			Changed: m.nextVersion(),
		})
		if len(m.withdrawn) > maxWithdrawn {
			m.oldest = ident.Version(m.withdrawn[0].GetChanged())
			m.withdrawn = m.withdrawn[1:]
		}
		return ""
	})
}

// changeKey answers a resent request with the first answer. Otherwise it runs change, which returns the reason of a
// refusal or "".
func (m *Machine) changeKey(kind, id string, request proto.Message, change func() string) proto.Message {
	digest := digestOf(kind, request)
	first, problem := m.findAnswer(id, digest)
	if problem != "" {
		return &fleetpb.KeyResponse{Version: uint64(m.version), Problem: problem}
	}
	if answer := first.GetKey(); answer != nil {
		return answer
	}
	problem = change()
	answer := &fleetpb.KeyResponse{Done: problem == "", Version: uint64(m.version), Problem: problem}
	m.saveAnswer(&fleetpb.SavedAnswer{Id: id, Digest: digest, Kind: &fleetpb.SavedAnswer_Key{Key: answer}})
	return answer
}

func (m *Machine) wasWithdrawn(id ident.KeyID) bool {
	for _, saved := range m.withdrawn {
		if saved.GetKey().GetId() == string(id) {
			return true
		}
	}
	return false
}

// findAnswer returns the first answer to an idempotency id, or the reason why the id cannot be used.
func (m *Machine) findAnswer(id string, digest []byte) (*fleetpb.SavedAnswer, string) {
	if id == "" {
		return nil, "the request has no idempotency id"
	}
	first := m.answers[id]
	if first != nil && !bytes.Equal(first.GetDigest(), digest) {
		return nil, fmt.Sprintf("the idempotency id %q was used for another request", id)
	}
	return first, ""
}

func (m *Machine) saveAnswer(answer *fleetpb.SavedAnswer) {
	m.answers[answer.GetId()] = answer
	m.answerOrder = append(m.answerOrder, answer.GetId())
	if len(m.answerOrder) > maxAnswers {
		delete(m.answers, m.answerOrder[0])
		m.answerOrder = m.answerOrder[1:]
	}
}

func digestOf(kind string, request proto.Message) []byte {
	// Marshal fails only for invalid UTF-8 in strings; equal requests then still get equal digests.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(request)
	sum := sha256.Sum256(append([]byte(kind+"\x00"), data...))
	return sum[:]
}

func hasService(t *fleetpb.Text, name string) bool {
	for _, s := range t.GetServices() {
		if s.GetName() == name {
			return true
		}
	}
	return false
}

func hasTeam(t *fleetpb.Text, name string) bool {
	for _, team := range t.GetTeams() {
		if team.GetName() == name {
			return true
		}
	}
	return false
}
