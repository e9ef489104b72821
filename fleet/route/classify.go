package route

import "strings"

// Kind is what a statement may do, from the least to the most demanding.
type Kind int

// Kinds of statements.
const (
	Read Kind = iota
	BeginReadOnly
	Write
	Begin
	Commit
	Rollback
	SessionState
)

// Classify tells the kind of a statement by its leading keyword; what it does not know is a Write.
func Classify(sql string) Kind {
	words := strings.Fields(strings.ToLower(sql))
	if len(words) == 0 {
		return Read
	}
	switch strings.TrimRight(words[0], ";") {
	case "select", "show", "values", "table":
		return Read
	case "begin", "start":
		if strings.Contains(strings.ToLower(sql), "read only") {
			return BeginReadOnly
		}
		return Begin
	case "commit", "end":
		return Commit
	case "rollback", "abort":
		return Rollback
	case "set", "discard", "deallocate":
		return SessionState
	}
	return Write
}

// Strictest returns the more demanding of two kinds.
func Strictest(a, b Kind) Kind {
	return max(a, b)
}
