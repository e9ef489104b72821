package settings

import (
	"cmp"
	"os"
	"slices"
	"sync"
	"unicode/utf8"

	"buf.build/go/protovalidate"
	"buf.build/go/protoyaml"
	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
)

// Read fills message from the YAML file at path. Mistakes are reported as by Parse, with line, column, field and what was
// expected.
func Read(path string, message proto.Message) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return Parse(path, data, message)
}

// Parse fills message from YAML data, or returns an *Error with every mistake; path only names the source in errors.
func Parse(path string, data []byte, message proto.Message) error {
	if !utf8.Valid(data) {
		return trace.Wrap(&Error{Mistakes: []Mistake{{File: path, Line: 1, Column: 1, Problem: "not UTF-8, expected UTF-8"}}})
	}
	// With a final newline, a node at the very end of the file is on a line that protoyaml has counted.
	data = []byte(lineBreaks.Replace(string(data)) + "\n")
	root, found := parseDocument(path, data)
	if root == nil {
		return trace.Wrap(&Error{Mistakes: found})
	}
	validator, err := sharedValidator()
	if err != nil {
		return trace.Wrap(err)
	}
	options := protoyaml.UnmarshalOptions{Path: path, Validator: validatorAdapter{validator}}
	if err := options.Unmarshal(data, message); err != nil {
		found = append(found, splitMistakes(path, err)...)
	}
	if len(found) > 0 {
		return trace.Wrap(&Error{Mistakes: arrangeMistakes(root, found)})
	}
	return nil
}

// sharedValidator returns the validator that all calls share, so that the rules of each message type are compiled once.
var sharedValidator = sync.OnceValues(func() (protovalidate.Validator, error) { return protovalidate.New() })

// arrangeMistakes sorts mistakes by location and adds the fields of values that could not be read. It drops rule violations
// at the location of such a value, which are only a consequence.
func arrangeMistakes(root *yaml.Node, found []Mistake) []Mistake {
	type place struct{ line, column int }
	unread := map[place]bool{}
	for i, m := range found {
		if m.Rule {
			continue
		}
		unread[place{m.Line, m.Column}] = true
		if m.Field == "" {
			found[i].Field = fieldAt("", root, m.Line, m.Column)
		}
	}
	found = slices.DeleteFunc(found, func(m Mistake) bool { return m.Rule && unread[place{m.Line, m.Column}] })
	slices.SortStableFunc(found, func(a, b Mistake) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return found
}

// validatorAdapter adapts protovalidate's validator, whose Validate accepts options, to the interface of protoyaml.
type validatorAdapter struct {
	validator protovalidate.Validator
}

func (a validatorAdapter) Validate(message proto.Message) error {
	return a.validator.Validate(message)
}
