package route

import (
	"strings"
)

// token is a word, a quoted identifier or a single symbol. Literals and comments produce no token.
type token struct {
	// text is the word or quoted identifier, in lower case.
	text string
	// word is set for a word, which may be a keyword, and not for a quoted identifier.
	word bool
	// symbol is the byte of a single symbol, 0 for words and quoted identifiers.
	symbol byte
}

// scanner splits SQL text into the tokens that classification needs. It recognizes quoting and comments, so that their content
// is never treated as a keyword.
type scanner struct {
	text   string
	offset int
	// unterminated is set if a literal, an identifier or a comment has no end.
	unterminated bool
}

// splitStatements splits text at semicolons outside of literals and comments, and omits empty statements. complete is false if
// a literal, an identifier or a comment has no end.
func splitStatements(text string) (list [][]token, complete bool) {
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
	return list, !s.unterminated
}

func (s *scanner) next() (token, bool) {
	for s.offset < len(s.text) {
		c := s.text[s.offset]
		rest := s.text[s.offset:]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			s.offset++
		case strings.HasPrefix(rest, "--"):
			s.skipLineComment()
		case strings.HasPrefix(rest, "/*"):
			s.skipBlockComment()
		case c == '\'':
			s.skipLiteral(false)
		case c == '"':
			return s.identifier(), true
		case c == '$' && s.skipDollarQuoted():
		case isLetter(c):
			if t, ok := s.word(); ok {
				return t, true
			}
		case isDigit(c):
			s.skipNumber()
		default:
			s.offset++
			return token{symbol: c}, true
		}
	}
	return token{}, false
}

// isLetter also accepts all bytes outside ASCII, as PostgreSQL does in identifiers.
func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func (s *scanner) skipLineComment() {
	end := strings.IndexByte(s.text[s.offset:], '\n')
	if end < 0 {
		s.offset = len(s.text)
		return
	}
	s.offset += end + 1
}

// skipBlockComment skips a block comment; block comments can be nested.
func (s *scanner) skipBlockComment() {
	depth := 0
	for s.offset < len(s.text) {
		switch {
		case strings.HasPrefix(s.text[s.offset:], "/*"):
			depth++
			s.offset += 2
		case strings.HasPrefix(s.text[s.offset:], "*/"):
			depth--
			s.offset += 2
			if depth == 0 {
				return
			}
		default:
			s.offset++
		}
	}
	s.unterminated = true
}

// skipLiteral skips a string literal; with escapes a backslash escapes the next character.
func (s *scanner) skipLiteral(escapes bool) {
	s.offset++
	for s.offset < len(s.text) {
		c := s.text[s.offset]
		s.offset++
		switch {
		case c == '\\' && escapes:
			s.offset++
		case c == '\'' && s.offset < len(s.text) && s.text[s.offset] == '\'':
			s.offset++
		case c == '\'':
			return
		}
	}
	s.unterminated = true
}

func (s *scanner) identifier() token {
	start := s.offset + 1
	for s.offset++; s.offset < len(s.text); s.offset++ {
		if s.text[s.offset] != '"' {
			continue
		}
		if s.offset+1 < len(s.text) && s.text[s.offset+1] == '"' {
			s.offset++
			continue
		}
		s.offset++
		return token{text: strings.ToLower(s.text[start : s.offset-1])}
	}
	s.unterminated = true
	return token{}
}

// skipDollarQuoted skips a dollar-quoted literal. It returns false if there is none, as for a parameter such as $1.
func (s *scanner) skipDollarQuoted() bool {
	end := s.offset + 1
	for end < len(s.text) && (isLetter(s.text[end]) || isDigit(s.text[end])) {
		end++
	}
	if end >= len(s.text) || s.text[end] != '$' || (end > s.offset+1 && isDigit(s.text[s.offset+1])) {
		return false
	}
	tag := s.text[s.offset : end+1]
	closing := strings.Index(s.text[end+1:], tag)
	if closing < 0 {
		s.unterminated = true
		s.offset = len(s.text)
		return true
	}
	s.offset = end + 1 + closing + len(tag)
	return true
}

// word returns an unquoted word. It returns false if the word is the prefix of a literal such as E'...', and skips the literal.
func (s *scanner) word() (token, bool) {
	start := s.offset
	for s.offset < len(s.text) && (isLetter(s.text[s.offset]) || isDigit(s.text[s.offset]) || s.text[s.offset] == '$') {
		s.offset++
	}
	text := strings.ToLower(s.text[start:s.offset])
	if s.offset < len(s.text) && s.text[s.offset] == '\'' {
		switch text {
		case "e":
			s.skipLiteral(true)
			return token{}, false
		case "b", "x", "n":
			s.skipLiteral(false)
			return token{}, false
		}
	}
	return token{text: text, word: true}, true
}

func (s *scanner) skipNumber() {
	for s.offset < len(s.text) && (isDigit(s.text[s.offset]) || isLetter(s.text[s.offset]) || s.text[s.offset] == '.') {
		s.offset++
	}
}
