package entry

import "strings"

// settings holds the SET statements that a caller ran outside transactions. Each upstream connection gets them before it
// runs the caller's next transaction.
type settings struct {
	statements []string
	// joined is all statements as one string, which identifies them for upstream.Conn.Configure.
	joined string
}

// maxSettings bounds the statements that are kept for one caller. Further ones are rejected.
const maxSettings = 64

// add stores a SET or RESET statement, and reports whether it was within maxSettings.
func (s *settings) add(sql string) bool {
	if len(s.statements) >= maxSettings {
		return false
	}
	s.statements = append(s.statements, sql)
	s.joined = strings.Join(s.statements, "\x00")
	return true
}

// keywords returns the words of a statement in lower case, without a final semicolon.
func keywords(sql string) []string {
	return strings.Fields(strings.ToLower(strings.TrimRight(strings.TrimSpace(sql), "; \t\n")))
}

// sessionStatement applies a statement to the session state that the host keeps, and returns its command tag.
// The tag is empty when the statement needs state of one upstream connection. ok is false beyond maxSettings.
func (c *caller) sessionStatement(sql string) (tag string, ok bool) {
	words := keywords(sql)
	if len(words) < 2 {
		return "", true
	}
	c.stateChanged = true
	switch words[0] {
	case "set":
		return "SET", c.settings.add(sql)
	case "reset":
		if words[1] == "all" {
			c.settings = settings{}
			return "RESET", true
		}
		return "RESET", c.settings.add(sql)
	case "discard":
		c.settings = settings{}
		c.statements = make(map[string]*statement)
		return "DISCARD " + strings.ToUpper(words[1]), true
	case "deallocate":
		c.deallocate(sql)
		return "DEALLOCATE", true
	}
	return "", true
}

// deallocate drops the prepared statement that a DEALLOCATE statement names, or all of them. PostgreSQL folds a name without quotes
// to lower case, and only the word ALL without quotes means all statements.
func (c *caller) deallocate(sql string) {
	name := strings.TrimRight(strings.TrimSpace(sql), "; \t\n")
	name = trimWord(name, "deallocate")
	name = trimWord(name, "prepare")
	if quoted, ok := strings.CutPrefix(name, `"`); ok {
		delete(c.statements, strings.ReplaceAll(strings.TrimSuffix(quoted, `"`), `""`, `"`))
		return
	}
	name = strings.ToLower(name)
	if name == "all" {
		c.statements = make(map[string]*statement)
		return
	}
	delete(c.statements, name)
}

// trimWord removes a leading word in any case and the space after it; a text that does not begin with the word is unchanged.
func trimWord(text, word string) string {
	end := strings.IndexAny(text, " \t\n")
	if end < 0 || !strings.EqualFold(text[:end], word) {
		return text
	}
	return strings.TrimSpace(text[end:])
}
