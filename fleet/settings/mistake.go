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
	// Line and Column count from 1, and are 1 when the location is unknown.
	Line   int
	Column int
	// Field is the path of the field, such as services[0].slots; empty when the mistake concerns no known field.
	Field string
	// Problem describes what is wrong and what was expected.
	Problem string
	// Rule is true when the value was read but violates a validation rule, and false when it could not be read.
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

// Error reports every mistake found in a YAML file, ordered by line and column.
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

// IsBadParameterError makes trace.IsBadParameter return true for the error.
func (e *Error) IsBadParameterError() bool {
	return true
}

var (
	// locationPrefix matches what protoyaml puts before its messages, after the path: ":line:column ".
	locationPrefix = regexp.MustCompile(`^:(\d+):(\d+) `)
	// yamlErrorPrefix matches the message of the YAML parser.
	yamlErrorPrefix = regexp.MustCompile(`^yaml: line (\d+): `)
	// ruleViolation matches "field: message (rule id)".
	ruleViolation = regexp.MustCompile(`(?s)^([a-z][a-z0-9_.\[\]"]*): (.*) \([a-z0-9_.]+\)$`)
	// unknownField matches the message for a field that the schema lacks.
	unknownField = regexp.MustCompile(`^unknown field "([^"]*)"`)
)

// splitMistakes splits an error of protoyaml, which joins one error for each mistake. Any other error is one mistake.
func splitMistakes(path string, err error) []Mistake {
	joined, several := err.(interface{ Unwrap() []error })
	if !several {
		return []Mistake{parseMistake(path, err.Error())}
	}
	var all []Mistake
	for _, one := range joined.Unwrap() {
		all = append(all, parseMistake(path, one.Error()))
	}
	return all
}

func parseMistake(path, text string) Mistake {
	m := Mistake{File: path, Line: 1, Column: 1}
	rest, found := strings.CutPrefix(text, path)
	place := locationPrefix.FindStringSubmatch(rest)
	if found && place != nil {
		m.Line, _ = strconv.Atoi(place[1])
		m.Column, _ = strconv.Atoi(place[2])
		// The lines after the message quote the source, which may contain secrets.
		text, _, _ = strings.Cut(rest[len(place[0]):], "\n")
	} else if line := yamlErrorPrefix.FindStringSubmatch(text); line != nil {
		m.Line, _ = strconv.Atoi(line[1])
		text = text[len(line[0]):]
		if strings.HasPrefix(text, "did not find expected") {
			m.Line++ // the parser, unlike its scanner, counts lines from 0
		}
	}
	m.Problem = text
	if parts := ruleViolation.FindStringSubmatch(text); parts != nil {
		m.Field, m.Problem, m.Rule = parts[1], parts[2], true
	} else if parts := unknownField.FindStringSubmatch(text); parts != nil {
		m.Field = parts[1]
	}
	return m
}
