// Package statement recognises the few SQL statements that the stand-in upstream runs.
package statement
