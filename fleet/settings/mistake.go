package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Mistake is one mistake in a YAML file.
type Mistake struct {
	File string
	// Line and Column count from 1, and are 1 when the place is unknown.
	Line   int
	Column int
	// Field is the path of the field, such as services[0].slots; empty when the mistake concerns no known field.
	Field string
	// Problem says what is wrong and what was expected.
	Problem string
	// Rule reports that the value was read but broke a rule, rather than that it could not be read.
	Rule bool
}

// String returns the mistake as file:line:column: field: problem.
func (m Mistake) String() string {
	place := fmt.Sprintf("%s:%d:%d", m.File, m.Line, m.Column)
	if m.Field == "" {
		return place + ": " + m.Problem
	}
	return place + ": " + m.Field + ": " + m.Problem
}

// Error reports every mistake found in a YAML file, in the order of their places.
type Error struct {
	Mistakes []Mistake
}

// Error returns one line for each mistake.
func (e *Error) Error() string {
	return strings.Join(e.Problems(), "\n")
}

// Problems returns the text of each mistake.
func (e *Error) Problems() []string {
	lines := make([]string, 0, len(e.Mistakes))
	for _, m := range e.Mistakes {
		lines = append(lines, m.String())
	}
	return lines
}

// IsBadParameterError lets trace.IsBadParameter recognize the error.
func (e *Error) IsBadParameterError() bool {
	return true
}

var (
	// placed matches what protoyaml puts before its messages, after the path: ":line:column ".
	placed = regexp.MustCompile(`^:(\d+):(\d+) `)
	// parser matches the message of the YAML parser.
	parser = regexp.MustCompile(`^yaml: line (\d+): `)
	// violation matches "field: message (rule id)".
	violation = regexp.MustCompile(`(?s)^([a-z][a-z0-9_.\[\]"]*): (.*) \([a-z0-9_.]+\)$`)
	// unknown matches the message for a field that the schema lacks.
	unknown = regexp.MustCompile(`^unknown field "([^"]*)"`)
)

// mistakes splits what protoyaml returned, which joins one error for each mistake.
func mistakes(path string, err error) []Mistake {
	joined, several := err.(interface{ Unwrap() []error })
	if !several {
		return []Mistake{mistake(path, err.Error())}
	}
	var all []Mistake
	for _, one := range joined.Unwrap() {
		all = append(all, mistake(path, one.Error()))
	}
	return all
}

func mistake(path, text string) Mistake {
	m := Mistake{File: path, Line: 1, Column: 1}
	rest, found := strings.CutPrefix(text, path)
	place := placed.FindStringSubmatch(rest)
	if found && place != nil {
		m.Line, _ = strconv.Atoi(place[1])
		m.Column, _ = strconv.Atoi(place[2])
		// The message is followed by lines that quote the source, which may hold secrets.
		text, _, _ = strings.Cut(rest[len(place[0]):], "\n")
	} else if line := parser.FindStringSubmatch(text); line != nil {
		m.Line, _ = strconv.Atoi(line[1])
		text = text[len(line[0]):]
		if strings.HasPrefix(text, "did not find expected") {
			m.Line++ // the parser, unlike its scanner, counts lines from 0
		}
	}
	m.Problem = text
	if parts := violation.FindStringSubmatch(text); parts != nil {
		m.Field, m.Problem, m.Rule = parts[1], parts[2], true
	} else if parts := unknown.FindStringSubmatch(text); parts != nil {
		m.Field = parts[1]
	}
	return m
}
