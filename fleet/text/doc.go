// Package text reads and checks the operators' configuration: its shape, its values, and the references between its
// sections.
package text
