// Package upstream keeps one host's connections to upstreams: opened under the name of a team, shared by the sessions of that
// team, and brought into each session's state before it uses them.
package upstream
