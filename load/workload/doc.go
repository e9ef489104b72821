// Package workload writes and reads numbered records through a fleet from many concurrent sessions and records requests and
// answers in a history. Sessions use another host for each request unless they are sticky. Start starts the sessions and
// returns a Runner.
package workload
