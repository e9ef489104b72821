package statement

import "strings"

type kind int

const (
	word kind = iota
	// quoted is an identifier in double quotes, and text a string in single quotes.
	quoted
	number
	text
	// param is the number of a parameter such as $1, without the dollar sign.
	param
	punct
)

type token struct {
	kind kind
	text string
}

// lex splits SQL text into tokens; words are in lower case, and comments are left out.
func lex(sql string) ([]token, error) {
	var tokens []token
	for i := 0; i < len(sql); {
		c := sql[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		case strings.HasPrefix(sql[i:], "--"):
			end := strings.IndexByte(sql[i:], '\n')
			if end < 0 {
				return tokens, nil
			}
			i += end + 1
		case strings.HasPrefix(sql[i:], "/*"):
			end := strings.Index(sql[i:], "*/")
			if end < 0 {
				return nil, &Error{"42601", "unterminated comment"}
			}
			i += end + len("*/")
		case c == '\'' || c == '"':
			value, n, err := lexQuoted(sql[i:])
			if err != nil {
				return nil, err
			}
			k := text
			if c == '"' {
				k = quoted
			}
			tokens = append(tokens, token{k, value})
			i += n
		case isLetter(c):
			n := prefixLength(sql[i:], func(b byte) bool { return isLetter(b) || isDigit(b) })
			tokens = append(tokens, token{word, strings.ToLower(sql[i : i+n])})
			i += n
		case isDigit(c):
			n := prefixLength(sql[i:], func(b byte) bool { return isDigit(b) || b == '.' })
			tokens = append(tokens, token{number, sql[i : i+n]})
			i += n
		case c == '$' && i+1 < len(sql) && isDigit(sql[i+1]):
			n := prefixLength(sql[i+1:], isDigit)
			tokens = append(tokens, token{param, sql[i+1 : i+1+n]})
			i += n + 1
		default:
			tokens = append(tokens, token{punct, string(c)})
			i++
		}
	}
	return tokens, nil
}

// lexQuoted returns the text of a quoted token and its length in the source. A doubled quote is an escaped quote.
func lexQuoted(sql string) (string, int, error) {
	quote := sql[0]
	var b strings.Builder
	for i := 1; i < len(sql); i++ {
		if sql[i] != quote {
			b.WriteByte(sql[i])
			continue
		}
		if i+1 < len(sql) && sql[i+1] == quote {
			b.WriteByte(quote)
			i++
			continue
		}
		return b.String(), i + 1, nil
	}
	return "", 0, &Error{"42601", "unterminated quoted string"}
}

func prefixLength(s string, in func(byte) bool) int {
	n := 0
	for n < len(s) && in(s[n]) {
		n++
	}
	return n
}

func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}
