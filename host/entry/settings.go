package entry

import "strings"

// settings are the SET statements that a caller ran outside transactions; they follow it from connection to connection.
type settings struct {
	statements []string
	joined     string
}

// maxSettings bounds what one caller may set; beyond it SET is rejected.
const maxSettings = 64

// add keeps a SET statement, or forgets all of them at DISCARD ALL and RESET ALL.
func (s *settings) add(sql string) bool {
	words := strings.Fields(strings.ToLower(strings.TrimRight(sql, "; \t\n")))
	if len(words) == 2 && (words[0] == "discard" || words[0] == "reset") && words[1] == "all" {
		*s = settings{}
		return true
	}
	if len(s.statements) >= maxSettings {
		return false
	}
	s.statements = append(s.statements, sql)
	s.joined = strings.Join(s.statements, "\x00")
	return true
}
