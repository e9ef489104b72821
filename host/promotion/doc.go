// Package promotion executes the actions of package failover as SQL statements on upstreams. Runner.Do starts an action, and
// Options.Deliver receives its answer.
package promotion
