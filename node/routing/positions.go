package routing

import (
	"context"
	"errors"
	"time"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

// probeTimeout bounds a query for the primary's position.
const probeTimeout = 1500 * time.Millisecond

// RecordPosition records a position from an answer that proves that its upstream was the primary. The request must have been
// sent after asOf.
func (t *Table) RecordPosition(service ident.Service, position ident.Position, asOf ident.Time) {
	if g := t.group(service); g != nil && position != (ident.Position{}) {
		g.freshness.Record(position, asOf)
	}
}

// NoPositionError reports that no known position is recent enough for a read.
type NoPositionError struct{ Cause error }

// Error implements error.
func (e *NoPositionError) Error() string {
	return "no recent position of the primary: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoPositionError) Unwrap() error { return e.Cause }

// Since returns a position that includes every write acknowledged before a time, and queries the primary when none is known.
// Reads rarely wait for that, since Since also queries in the background when the latest known position will soon be too old:
// when it is newer than that time by less than half the route's staleness.
func (t *Table) Since(ctx context.Context, route *catalog.Route, team *catalog.Team, at ident.Time) (ident.Position, error) {
	g := t.group(route.Service)
	if g == nil {
		return ident.Position{}, &NoPositionError{errors.New("the service has no upstreams")}
	}
	position, found := g.freshness.Since(at)
	if latest, _ := g.freshness.Latest(); found && latest >= at.Add(route.Staleness/2) {
		return position, nil
	}
	done := t.probe(g, route, team)
	if found {
		return position, nil
	}
	select {
	case <-done:
	case <-ctx.Done():
		return ident.Position{}, &NoPositionError{ctx.Err()}
	}
	if position, found := g.freshness.Since(at); found {
		return position, nil
	}
	return ident.Position{}, &NoPositionError{errors.New("the primary did not answer")}
}

// probe starts a query for the primary's position and returns a channel that is closed at its end. Concurrent reads share
// one query.
func (t *Table) probe(g *group, route *catalog.Route, team *catalog.Team) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.probing != nil {
		return g.probing
	}
	done := make(chan struct{})
	g.probing = done
	go func() {
		defer func() {
			g.mu.Lock()
			g.probing = nil
			g.mu.Unlock()
			close(done)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		pool := t.Primary(route, team)
		if pool == nil {
			t.RequestRefresh()
			return
		}
		if err := t.queryPosition(ctx, pool, team.ID()); err != nil {
			t.RequestRefresh()
		}
	}()
	return done
}

// queryPosition opens a transaction and records its position. Only a primary opens one, so the position includes every write
// acknowledged before. It contains nothing of a caller, so any host may pass it on.
func (t *Table) queryPosition(ctx context.Context, pool *upstream.Pool, team ident.Team) error {
	asOf := steady.Now()
	outcome, err := t.newExecutor(pool, scope{}, team, 0).Execute(ctx, upstream.Use{Opening: upstream.OpenPrimary})
	if err != nil {
		return err
	}
	t.RecordPosition(pool.Target().Service, outcome.Opened, asOf)
	return nil
}
