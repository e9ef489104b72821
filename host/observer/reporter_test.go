package observer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/observer"
)

// Guards against a failure or a change of role that is omitted from syncs like an unchanged observation.
func TestReporterOmitsOnlyUnchangedObservations(t *testing.T) {
	healthy := &fleetpb.Observed{Service: "orders", Upstream: "u1", Primary: true, Term: 1, SilentMs: 40}
	steps := []struct {
		name     string
		after    time.Duration
		observed *fleetpb.Observed
		reported int
	}{
		{"first", 0, healthy, 1},
		{"unchanged", 250 * time.Millisecond, healthy, 0},
		{"position changed", 0, &fleetpb.Observed{Service: "orders", Upstream: "u1", Primary: true, Term: 1, Position: &fleetpb.Position{Lsn: 9}}, 0},
		{"due again", 500 * time.Millisecond, healthy, 1},
		{"silent", 250 * time.Millisecond, &fleetpb.Observed{Service: "orders", Upstream: "u1", Primary: true, Term: 1, SilentMs: 301}, 1},
		{"refused", 0, &fleetpb.Observed{Service: "orders", Upstream: "u1", Primary: true, Term: 1, Refused: true}, 1},
		{"no longer primary", 0, &fleetpb.Observed{Service: "orders", Upstream: "u1", Term: 1}, 1},
		{"new term", 0, &fleetpb.Observed{Service: "orders", Upstream: "u1", Term: 2}, 1},
	}
	now := ident.Time(time.Second)
	var current *fleetpb.Observed
	reporter := observer.NewReporter(
		func() []*fleetpb.Observed { return []*fleetpb.Observed{current} },
		func() ident.Time { return now },
	)
	for _, step := range steps {
		now = now.Add(step.after)
		current = step.observed
		var request fleetpb.SyncRequest
		reporter.Report(&request)
		require.Len(t, request.GetObserved(), step.reported, step.name)
	}
}
