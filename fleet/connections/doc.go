// Package connections decides which hosts may open how many connections to an upstream, and how a host divides its connections
// among teams. An upstream accepts a number of connections from all hosts together, each belongs to one team, and opening one
// takes a statement's place. It is made for two loads: more teams than connections, and many hosts whose gateway fails at once.
// It opens no connections and has no clock: callers pass the time and report what happened.
package connections
