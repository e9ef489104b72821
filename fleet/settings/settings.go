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

// Read fills message from the YAML file at path; a mistake names file, line, column, field and what was expected.
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
	// The last break keeps nodes at the very end of the file on a line that protoyaml knows.
	data = []byte(breaks.Replace(string(data)) + "\n")
	root, found := document(path, data)
	if root == nil {
		return trace.Wrap(&Error{Mistakes: found})
	}
	validator, err := shared()
	if err != nil {
		return trace.Wrap(err)
	}
	options := protoyaml.UnmarshalOptions{Path: path, Validator: rules{validator}}
	if err := options.Unmarshal(data, message); err != nil {
		found = append(found, mistakes(path, err)...)
	}
	if len(found) > 0 {
		return trace.Wrap(&Error{Mistakes: arrange(root, found)})
	}
	return nil
}

// shared holds the validator, which compiles the rules of each message type once.
var shared = sync.OnceValues(func() (protovalidate.Validator, error) { return protovalidate.New() })

// arrange sorts mistakes by place, names the fields of values that could not be read, and leaves out the rules that
// such values break as a consequence.
func arrange(root *yaml.Node, found []Mistake) []Mistake {
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

// rules adapts protovalidate's validator, whose Validate takes options, to the one that protoyaml calls.
type rules struct {
	validator protovalidate.Validator
}

func (r rules) Validate(message proto.Message) error {
	return r.validator.Validate(message)
}
