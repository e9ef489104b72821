// Package route classifies SQL statements and chooses the upstream that runs each one.
//
// Classification looks at keywords only. Unknown statements go to the primary. A statement that looks like a read but writes is
// refused by a replica with SQLSTATE 25006; the user of this package then sends it to the primary.
package route
