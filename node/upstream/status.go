package upstream

import (
	"context"
	"errors"
	"time"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

const (
	// statusTimeout bounds a status request, including the retries while the upstream is busy.
	statusTimeout = 900 * time.Millisecond
	// statusRetryDelay is the delay between these retries.
	statusRetryDelay = 40 * time.Millisecond
	// statusPriority puts a status request before all statements that wait for a connection.
	statusPriority = -1
)

// Status sends a request that the upstream answers with its status, and repeats it while the upstream is busy. It goes before all
// statements that wait for a connection. The connection may be one of any team: the request belongs to none, and an upstream that
// has no room for another connection still answers it. Each time, check is called right before the request is sent, and Status returns its
// error: the process may have been suspended since Status was called, and upstreams carry out late requests too.
func (p *Pool) Status(ctx context.Context, request statement.Request, check func() error) (statement.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	conn, err := p.Get(ctx, p.usualTeam(), statusPriority)
	if err != nil {
		return statement.Status{}, err
	}
	defer conn.Release()
	for {
		if err := check(); err != nil {
			return statement.Status{}, err
		}
		status, err := conn.Status(request, statusTimeout)
		var refused *statement.Failure
		if !errors.As(err, &refused) || refused.Code != statement.CodeBusy || steady.Wait(ctx, statusRetryDelay) != nil {
			return status, err
		}
	}
}

// usualTeam returns the team of the connection that was last released, which is likely to have an idle connection, or an empty name.
func (p *Pool) usualTeam() ident.Team {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastTeam
}
