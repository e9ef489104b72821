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

// lineBreaks replaces every kind of line break in YAML 1.1 by a newline. Protoyaml splits lines at newlines only, and
// panics when the YAML parser counts more lines than that.
var lineBreaks = strings.NewReplacer("\r\n", "\n", "\r", "\n", "\u0085", "\n", "\u2028", "\n", "\u2029", "\n")

// parseDocument returns the root node of data and the mistakes that protoyaml does not report. Protoyaml accepts an empty
// document without checking its rules, ignores everything after the first document, and uses the last of equal names.
func parseDocument(path string, data []byte) (*yaml.Node, []Mistake) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var first, second yaml.Node
	err := decoder.Decode(&first)
	if errors.Is(err, io.EOF) {
		return nil, []Mistake{{File: path, Line: 1, Column: 1, Problem: "the file is empty, expected a mapping"}}
	}
	if err != nil {
		return nil, splitMistakes(path, err)
	}
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, []Mistake{{
			File: path, Line: max(second.Line, 1), Column: max(second.Column, 1),
			Problem: "a second document starts here, expected one document",
		}}
	}
	root := first.Content[0]
	return root, duplicateNames(path, "", root)
}

// duplicateNames reports each name that a mapping contains more than once.
func duplicateNames(path, field string, node *yaml.Node) []Mistake {
	var found []Mistake
	lines := map[string]int{}
	eachChild(field, node, func(name, value *yaml.Node, field string) {
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
		found = append(found, duplicateNames(path, field, value)...)
	})
	return found
}

// fieldAt returns the path of the value at a line and column, or "" when no value starts there.
func fieldAt(field string, node *yaml.Node, line, column int) string {
	if node.Line == line && node.Column == column && node.Kind != yaml.MappingNode {
		return field
	}
	found := ""
	eachChild(field, node, func(_, value *yaml.Node, field string) {
		if found == "" {
			found = fieldAt(field, value, line, column)
		}
	})
	return found
}

// eachChild calls visit with every element of a mapping or sequence; elements of sequences have no name.
func eachChild(field string, node *yaml.Node, visit func(name, value *yaml.Node, field string)) {
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
