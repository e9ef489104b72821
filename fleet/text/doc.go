// Package text parses and validates the operators' configuration, which the code calls the text: its fields, its values,
// and the references between its sections.
package text
