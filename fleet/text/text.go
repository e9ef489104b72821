package text

import (
	"cmp"
	"errors"
	"slices"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/settings"
)

// MaxBytes limits the source of a text, which the control log stores and sends to every host.
const MaxBytes = 1 << 20

// Error reports every mistake found in a text, ordered by line and column.
type Error = settings.Error

// Mistake is one mistake in a text.
type Mistake = settings.Mistake

// Parse reads the YAML source of a text, or returns an *Error with every mistake; file is used only in error messages.
// References are checked only when every value could be read, since an unreadable value makes its references wrong too.
func Parse(file string, source []byte) (*fleetpb.Text, error) {
	if len(source) > MaxBytes {
		return nil, trace.Wrap(&Error{Mistakes: []Mistake{{
			File: file, Line: 1, Column: 1, Problem: "the text is too long, expected at most 1 MiB",
		}}})
	}
	text := &fleetpb.Text{}
	var found []Mistake
	if err := settings.Parse(file, source, text); err != nil {
		var mistakes *Error
		if !errors.As(err, &mistakes) {
			return nil, trace.Wrap(err)
		}
		found = mistakes.Mistakes
		if slices.ContainsFunc(found, func(m Mistake) bool { return !m.Rule }) {
			return nil, trace.Wrap(mistakes)
		}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(source, &root); err != nil {
		return nil, trace.Wrap(err)
	}
	c := &checker{file: file, root: &root, text: text, mistakes: found}
	c.check()
	if len(c.mistakes) == 0 {
		return text, nil
	}
	slices.SortStableFunc(c.mistakes, func(a, b Mistake) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return nil, trace.Wrap(&Error{Mistakes: c.mistakes})
}

// Problems returns the text of each mistake in err when it is an *Error, otherwise the message of err.
func Problems(err error) []string {
	var mistakes *Error
	if errors.As(err, &mistakes) {
		return mistakes.Problems()
	}
	return []string{trace.UserMessage(err)}
}
