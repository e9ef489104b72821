package upstream

import (
	"context"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/node/access"
)

// SetAccess makes the pool refuse statements whose keys do not allow them under the register's configuration. The pool must not be in use
// yet.
func (p *Pool) SetAccess(register *access.Register) {
	p.access = register
}

// Check decides whether a statement of a team may be sent now: its upstream is not evacuated, and its caller's key still belongs to the
// team. It returns the version of the configuration under which that holds, or a statement.Failure. inTransaction is set if the statement belongs to
// a transaction that is open on the upstream. Every rule that may change while an operation goes on is asked here, since each statement
// passes here on the caller's host and on the host that holds the connection, before and after it waits.
func (p *Pool) Check(team ident.Team, use *Use, inTransaction bool) (ident.Version, error) {
	if err := p.checkEvacuation(inTransaction); err != nil {
		return 0, err
	}
	if p.access == nil {
		return use.Version, nil
	}
	return p.access.Check(catalog.Permit{Team: team, Key: use.Key}, use.Version, inTransaction)
}

// watch returns a context that also ends when the key of a statement's caller does not allow it any more.
func (p *Pool) watch(ctx context.Context, team ident.Team, use *Use) (context.Context, context.CancelFunc) {
	if p.access == nil {
		return ctx, func() {}
	}
	return p.access.Watch(ctx, catalog.Permit{Team: team, Key: use.Key}, use.Version)
}
