package takeover

import "tamarackshunt.dev/fleet/ident"

// Decision states that a service needs another primary.
type Decision struct {
	Cause string
	// Primary is the upstream to be replaced.
	Primary ident.Upstream
	// Planned is set when the primary is alive and should step down before another upstream is promoted.
	Planned bool
	// Serving is set when the primary answers hosts although its announcements do not arrive. It is only replaced if it has stepped
	// down, since it may acknowledge writes until then.
	Serving bool
	// Candidates are the upstreams that can become the primary.
	Candidates []ident.Upstream
	// Replicas is the number of members that may hold an acknowledged write besides the primary.
	Replicas int
}

// Choose returns the candidate with the latest position, or false if too few positions are known. If syncReplicas is above 0,
// every acknowledged write is on at least that many replicas. Enough replicas must then have reported their positions that at
// least one of them holds the write.
func Choose(d *Decision, positions map[ident.Upstream]ident.Position, syncReplicas int) (ident.Upstream, bool) {
	needed := 1
	if syncReplicas > 0 {
		needed = max(1, d.Replicas-syncReplicas+1)
	}
	if len(positions) < needed {
		return "", false
	}
	var best ident.Upstream
	for _, candidate := range d.Candidates {
		position, known := positions[candidate]
		if known && (best == "" || positions[best].Less(position)) {
			best = candidate
		}
	}
	return best, best != ""
}

// RefusedError reports a promotion order that was not executed and will not be.
type RefusedError struct {
	// Text is the answer of the other side, for operators.
	Text string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Text }
