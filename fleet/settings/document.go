package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// breaks turns every line break of YAML 1.1 into the only one by which protoyaml splits lines; it panics when the YAML
// parser counts more lines than that.
var breaks = strings.NewReplacer("\r\n", "\n", "\r", "\n", "\u0085", "\n", "\u2028", "\n", "\u2029", "\n")

// document returns the root node of data and its mistakes that protoyaml does not report: it accepts an empty document
// without checking its rules, ignores everything after the first document, and takes the last of equal names.
func document(path string, data []byte) (*yaml.Node, []Mistake) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var first, second yaml.Node
	err := decoder.Decode(&first)
	if errors.Is(err, io.EOF) {
		return nil, []Mistake{{File: path, Line: 1, Column: 1, Problem: "the file is empty, expected a mapping"}}
	}
	if err != nil {
		return nil, mistakes(path, err)
	}
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, []Mistake{{
			File: path, Line: max(second.Line, 1), Column: max(second.Column, 1),
			Problem: "a second document starts here, expected one document",
		}}
	}
	root := first.Content[0]
	return root, repeated(path, "", root)
}

// repeated reports each name that a mapping holds more than once.
func repeated(path, field string, node *yaml.Node) []Mistake {
	var found []Mistake
	lines := map[string]int{}
	each(field, node, func(name, value *yaml.Node, field string) {
		if name != nil {
			if line, taken := lines[name.Value]; taken {
				found = append(found, Mistake{
					File: path, Line: name.Line, Column: name.Column, Field: field,
					Problem: fmt.Sprintf("is already at line %d, expected once", line),
				})
			} else {
				lines[name.Value] = name.Line
			}
		}
		found = append(found, repeated(path, field, value)...)
	})
	return found
}

// fieldAt returns the path of the value at a line and column, or "" when no value starts there.
func fieldAt(field string, node *yaml.Node, line, column int) string {
	if node.Line == line && node.Column == column && node.Kind != yaml.MappingNode {
		return field
	}
	found := ""
	each(field, node, func(_, value *yaml.Node, field string) {
		if found == "" {
			found = fieldAt(field, value, line, column)
		}
	})
	return found
}

// each calls visit with every element of a mapping or sequence; elements of sequences have no name.
func each(field string, node *yaml.Node, visit func(name, value *yaml.Node, field string)) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			inner := node.Content[i].Value
			if field != "" {
				inner = field + "." + inner
			}
			visit(node.Content[i], node.Content[i+1], inner)
		}
	case yaml.SequenceNode:
		for i, value := range node.Content {
			visit(nil, value, field+"["+strconv.Itoa(i)+"]")
		}
	default:
	}
}
