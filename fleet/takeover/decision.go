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
	// Evacuated and Ending are the other replicas that can report their positions. Where writes wait for replicas, one of them may hold a
	// write that no candidate has received. One that is about to end hands its log over to an upstream that starts at its address.
	Evacuated, Ending []ident.Upstream
	// Replicas is the number of upstreams that may hold an acknowledged write besides the primary. Departed of them are no members any
	// more and can't report their positions.
	Replicas, Departed int
	// Floor is a position that contains every acknowledged write which may be missing on the replicas that are counted.
	Floor ident.Position
	// Complete is an upstream that holds every acknowledged write, or empty: the former primary if it has run since it led the group, or the
	// one that has taken over its log.
	Complete ident.Upstream
}

// Choose returns the upstream to promote, given the positions that upstreams have reported, or false if an acknowledged write could be
// lost. Without synchronous replicas it is the candidate with the latest position. If syncReplicas is above 0, every acknowledged write is
// on at least that many replicas. Enough of them must then have reported their positions that at least one holds the write, and the one
// with the latest position is chosen: a candidate if one has it, or else an evacuated replica, which hands over its role once a candidate
// has caught up.
func Choose(d *Decision, positions map[ident.Upstream]ident.Position, syncReplicas int) (ident.Upstream, bool) {
	best := latest(d.Candidates, positions)
	if syncReplicas == 0 {
		return best, best != ""
	}
	if evacuated := latest(d.Evacuated, positions); evacuated != "" && (best == "" || positions[best].Less(positions[evacuated])) {
		best = evacuated
	}
	ending := latest(d.Ending, positions)
	if best == "" || positions[best].Less(positions[ending]) {
		return "", false
	}
	if _, reported := positions[d.Complete]; reported {
		return best, true
	}
	if positions[best].Less(d.Floor) || !d.suffice(positions, syncReplicas) {
		return "", false
	}
	return best, true
}

// latest returns the first of the upstreams with the latest reported position, or an empty name if none has reported one.
func latest(upstreams []ident.Upstream, positions map[ident.Upstream]ident.Position) ident.Upstream {
	var best ident.Upstream
	for _, id := range upstreams {
		position, known := positions[id]
		if known && (best == "" || positions[best].Less(position)) {
			best = id
		}
	}
	return best
}

// suffice reports whether one of the replicas that reported their positions must hold each acknowledged write. The primary is none of them.
func (d *Decision) suffice(positions map[ident.Upstream]ident.Position, syncReplicas int) bool {
	replicas := len(positions)
	if _, reported := positions[d.Primary]; reported {
		replicas--
	}
	return replicas >= max(1, d.Replicas-syncReplicas+1)
}

// RefusedError reports a promotion order that was not executed and will not be.
type RefusedError struct {
	// Text is the answer of the other side, for operators.
	Text string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Text }
