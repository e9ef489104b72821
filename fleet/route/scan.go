package route

import (
	"strings"
)

// token is a word, a quoted identifier or a single symbol; literals and comments leave none.
type token struct {
	// text is in lower case for words and for quoted identifiers.
	text   string
	word   bool
	symbol byte
}

// scanner splits SQL text into the tokens that classification needs. It knows quoting and comments, so that their
// content never looks like a keyword.
type scanner struct {
	text string
	at   int
	// open is set when a literal, an identifier or a comment has no end.
	open bool
}

// statements splits text at semicolons outside of literals and comments; empty statements are left out.
func statements(text string) (list [][]token, complete bool) {
	s := scanner{text: text}
	var current []token
	for {
		t, ok := s.next()
		if !ok {
			break
		}
		if t.symbol == ';' {
			if len(current) > 0 {
				list = append(list, current)
			}
			current = nil
			continue
		}
		current = append(current, t)
	}
	if len(current) > 0 {
		list = append(list, current)
	}
	return list, !s.open
}

func (s *scanner) next() (token, bool) {
	for s.at < len(s.text) {
		c := s.text[s.at]
		rest := s.text[s.at:]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			s.at++
		case strings.HasPrefix(rest, "--"):
			s.line()
		case strings.HasPrefix(rest, "/*"):
			s.comment()
		case c == '\'':
			s.literal(false)
		case c == '"':
			return s.identifier(), true
		case c == '$' && s.dollar():
		case letter(c):
			if t, ok := s.word(); ok {
				return t, true
			}
		case digit(c):
			s.number()
		default:
			s.at++
			return token{symbol: c}, true
		}
	}
	return token{}, false
}

// letter accepts all bytes outside ASCII, as PostgreSQL does in identifiers.
func letter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func digit(c byte) bool { return c >= '0' && c <= '9' }

func (s *scanner) line() {
	end := strings.IndexByte(s.text[s.at:], '\n')
	if end < 0 {
		s.at = len(s.text)
		return
	}
	s.at += end + 1
}

// comment skips a block comment; they nest.
func (s *scanner) comment() {
	depth := 0
	for s.at < len(s.text) {
		switch {
		case strings.HasPrefix(s.text[s.at:], "/*"):
			depth++
			s.at += 2
		case strings.HasPrefix(s.text[s.at:], "*/"):
			depth--
			s.at += 2
			if depth == 0 {
				return
			}
		default:
			s.at++
		}
	}
	s.open = true
}

// literal skips a string literal; escapes says that a backslash protects the next character.
func (s *scanner) literal(escapes bool) {
	s.at++
	for s.at < len(s.text) {
		c := s.text[s.at]
		s.at++
		switch {
		case c == '\\' && escapes:
			s.at++
		case c == '\'' && s.at < len(s.text) && s.text[s.at] == '\'':
			s.at++
		case c == '\'':
			return
		}
	}
	s.open = true
}

func (s *scanner) identifier() token {
	start := s.at + 1
	for s.at++; s.at < len(s.text); s.at++ {
		if s.text[s.at] != '"' {
			continue
		}
		if s.at+1 < len(s.text) && s.text[s.at+1] == '"' {
			s.at++
			continue
		}
		s.at++
		return token{text: strings.ToLower(s.text[start : s.at-1])}
	}
	s.open = true
	return token{}
}

// dollar skips a dollar-quoted literal; a parameter such as $1 is not one.
func (s *scanner) dollar() bool {
	end := s.at + 1
	for end < len(s.text) && (letter(s.text[end]) || digit(s.text[end])) {
		end++
	}
	if end >= len(s.text) || s.text[end] != '$' || (end > s.at+1 && digit(s.text[s.at+1])) {
		return false
	}
	tag := s.text[s.at : end+1]
	closing := strings.Index(s.text[end+1:], tag)
	if closing < 0 {
		s.open = true
		s.at = len(s.text)
		return true
	}
	s.at = end + 1 + closing + len(tag)
	return true
}

// word returns an unquoted word, or nothing when it was the prefix of a literal such as E'...'.
func (s *scanner) word() (token, bool) {
	start := s.at
	for s.at < len(s.text) && (letter(s.text[s.at]) || digit(s.text[s.at]) || s.text[s.at] == '$') {
		s.at++
	}
	text := strings.ToLower(s.text[start:s.at])
	if s.at < len(s.text) && s.text[s.at] == '\'' {
		switch text {
		case "e":
			s.literal(true)
			return token{}, false
		case "b", "x", "n":
			s.literal(false)
			return token{}, false
		}
	}
	return token{text: text, word: true}, true
}

func (s *scanner) number() {
	for s.at < len(s.text) && (digit(s.text[s.at]) || letter(s.text[s.at]) || s.text[s.at] == '.') {
		s.at++
	}
}
