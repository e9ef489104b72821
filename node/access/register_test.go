package access_test

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/access"
)

// configuration returns a version with the keys of two teams.
func configuration(t *testing.T, version ident.Version, first, second []string) *catalog.Catalog {
	c, err := catalog.New(catalog.Description{Version: version, Teams: []catalog.Team{{Name: "first", Keys: first}, {Name: "second", Keys: second}}})
	require.NoError(t, err)
	return c
}

func permit(team ident.Team, key string) catalog.Permit {
	return catalog.Permit{Team: team, Key: catalog.NewKeyID(key)}
}

// Guards against statements that are allowed, or refused, under an older configuration than one that is known here or at the host that sends
// them, and against refusals that promise something else than what is true.
func TestCheck(t *testing.T) {
	r := access.New()
	_, err := r.Check(permit("first", "k1"), 3, false)
	require.NoError(t, err, "a host without a configuration relies on the one that sends the statement")
	require.True(t, r.SetCatalog(configuration(t, 5, []string{"k1"}, []string{"k2"})))
	for name, c := range map[string]struct {
		permit        catalog.Permit
		verified      ident.Version
		inTransaction bool
		code          statement.Code
	}{
		"held":                      {permit("first", "k1"), 0, false, statement.CodeNone},
		"held, verified before":     {permit("first", "k1"), 4, true, statement.CodeNone},
		"withdrawn":                 {permit("first", "k3"), 0, false, statement.CodeDenied},
		"withdrawn, in transaction": {permit("first", "k3"), 4, true, statement.CodeAborted},
		"moved":                     {permit("first", "k2"), 4, false, statement.CodeBusy},
		"moved, in transaction":     {permit("first", "k2"), 4, true, statement.CodeAborted},
		"unknown here only":         {permit("first", "k3"), 6, false, statement.CodeNone},
		"verified under the same":   {permit("first", "k1"), 5, false, statement.CodeNone},
		"no key needed":             {catalog.Permit{Team: "first"}, 0, true, statement.CodeNone},
		"no key and team":           {catalog.Permit{}, 0, false, statement.CodeNone},
	} {
		version, err := r.Check(c.permit, c.verified, c.inTransaction)
		if c.code == statement.CodeNone {
			require.NoError(t, err, name)
			require.Equal(t, max(5, c.verified), version, name)
			continue
		}
		var failure *statement.Failure
		require.ErrorAs(t, err, &failure, name)
		require.Equal(t, c.code, failure.Code, name)
	}
	require.False(t, r.SetCatalog(configuration(t, 4, []string{"k3"}, nil)), "an older version changes nothing")
	_, err = r.Check(permit("first", "k3"), 0, false)
	require.Error(t, err)
}

// Guards against operations that wait on although their key was withdrawn, and against operations of other keys that end.
func TestWatch(t *testing.T) {
	r := access.New()
	require.True(t, r.SetCatalog(configuration(t, 1, []string{"k1", "k2", "k3"}, nil)))
	watch := func(p catalog.Permit) context.Context {
		ctx, stop := r.Watch(t.Context(), p, 0)
		t.Cleanup(stop)
		return ctx
	}
	withdrawn, moved, held := watch(permit("first", "k1")), watch(permit("first", "k2")), watch(permit("first", "k3"))
	public := watch(catalog.Permit{Team: "first"})
	stopped, stop := r.Watch(t.Context(), permit("first", "k3"), 0)
	stop()
	require.Error(t, stopped.Err())
	require.True(t, r.SetCatalog(configuration(t, 2, []string{"k3"}, []string{"k2"})))
	for _, ended := range []context.Context{withdrawn, moved, watch(permit("first", "k1"))} {
		require.ErrorIs(t, ended.Err(), context.Canceled)
	}
	for _, goesOn := range []context.Context{held, public, watch(permit("second", "k2"))} {
		require.NoError(t, goesOn.Err())
	}
	verified, stop := r.Watch(t.Context(), permit("first", "k1"), 4)
	defer stop()
	require.True(t, r.SetCatalog(configuration(t, 3, nil, nil)))
	require.NoError(t, verified.Err(), "another host knows a newer configuration")
	require.True(t, r.SetCatalog(configuration(t, 5, nil, nil)))
	require.Error(t, verified.Err())
}

// Guards against an operation that begins while its key is withdrawn and is missed by the change.
func TestWatchDuringChange(t *testing.T) {
	for range 500 {
		r := access.New()
		require.True(t, r.SetCatalog(configuration(t, 1, []string{"k1"}, nil)))
		next := configuration(t, 2, nil, nil)
		var watched context.Context
		var changes sync.WaitGroup
		changes.Go(func() { r.SetCatalog(next) })
		watched, stop := r.Watch(t.Context(), permit("first", "k1"), 0)
		changes.Wait()
		require.Error(t, watched.Err())
		stop()
	}
}
