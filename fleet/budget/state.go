package budget

// entryBytes is what an entry of a session's state costs beside its name and its content.
const entryBytes = 128

// State counts the values and prepared statements of a session.
type State struct {
	limits  SessionLimits
	bytes   Bytes
	entries int
}

// NewState returns the state of a session without values and prepared statements.
func NewState(limits SessionLimits) State { return State{limits: limits} }

// Cost returns the bytes of an entry with a name and a content.
func Cost(name, content string) Bytes { return Bytes(len(name)+len(content)) + entryBytes }

// Bytes returns the sum of the entries' costs.
func (s *State) Bytes() Bytes { return s.bytes }

// Admits reports whether the state stays within its limits when an entry of the old cost, or none if it is 0, becomes one of the new cost.
func (s *State) Admits(old, cost Bytes) bool {
	entries := s.entries
	if old == 0 {
		entries++
	}
	return s.bytes-old+cost <= s.limits.State && entries <= s.limits.Entries
}

// Replace counts an entry of the new cost in place of one of the old cost; a cost of 0 is an entry that is not there.
func (s *State) Replace(old, cost Bytes) {
	s.bytes += cost - old
	if old == 0 {
		s.entries++
	}
	if cost == 0 {
		s.entries--
	}
}
