// Package statement parses the few SQL statements that the stand-in upstream supports. Parse turns SQL text into values of
// the statement types, and describes the types of the parameters.
package statement
