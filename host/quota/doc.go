// Package quota limits the requests of teams on a host: Quota.Run borrows tokens of all teams from their owner, which is the
// host that lends them out, and Quota.Take blocks until a request may run. Package limit makes the decisions.
package quota
