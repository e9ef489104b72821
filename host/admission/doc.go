// Package admission holds callers to the limits of package budget: a Gate counts the connections of a process and what they make it
// hold, a Session is one connection with its deadlines, and Server limits the calls over HTTP.
package admission
