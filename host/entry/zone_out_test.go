package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/member"
)

// Guards invariant 8 against a transaction that goes on on a replica whose availability zone is out of service, and against one that is
// ended at once, or on a primary, which serves until it is replaced.
func TestTransactionInZoneOut(t *testing.T) {
	for name, c := range map[string]struct {
		primary string
		since   time.Duration
		ends    bool
	}{
		"replica, a moment ago":        {"u2", 0, false},
		"replica, for some seconds":    {"u2", 3 * time.Second, true},
		"primary, for some seconds":    {"u1", 3 * time.Second, false},
		"no primary, for some seconds": {"", 3 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			members := []*fleetpb.Member{{Upstream: "u1", Address: f.upstream.listener.Addr().String(), Zone: "z2"}}
			conn := f.connect(t, testService, testKey, "&default_query_exec_mode=simple_protocol")
			for _, sql := range []string{"begin", "select before"} {
				_, err := conn.Exec(t.Context(), sql)
				require.NoError(t, err)
			}
			f.deps.updateView(func(v *member.View) {
				v.Groups = map[ident.Service]*fleetpb.Group{testService: {Service: testService, Primary: c.primary, Term: 1, Members: members}}
				v.ZonesOut = map[ident.Zone]bool{"z2": true}
				v.ZonesOutSince = map[ident.Zone]ident.Time{"z2": f.clock.Now().Add(-c.since)}
			})
			_, err := conn.Exec(t.Context(), "select after")
			if !c.ends {
				require.NoError(t, err)
				return
			}
			requireCode(t, err, "08006")
			require.Zero(t, f.upstream.count("run select after"))
			require.Eventually(t, func() bool { return f.upstream.count("run ROLLBACK") == 1 }, time.Minute, time.Millisecond)
		})
	}
}
