package routing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/balance"
	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
)

// newTestTable returns a table of a host in zone z0, with one upstream in each of three zones. The first one is the primary.
func newTestTable(t *testing.T, change func(d *fleetpb.Directory)) *Table {
	table := New(Options{Host: "h0", Zone: "z0", Region: "r0", Regions: map[ident.Zone]ident.Region{"z0": "r0", "z1": "r0", "z2": "r2"}})
	c, err := catalog.New(catalog.Description{
		Version:  1,
		Services: []catalog.Service{{Name: "svc", Connections: 18}},
		Routes:   []catalog.Route{{Name: "r", Database: "db", Timeout: time.Second, Service: "svc"}},
		Teams:    []catalog.Team{{Name: "home", Keys: []string{"k"}, Regions: []ident.Region{"r2"}}},
	})
	require.NoError(t, err)
	require.True(t, table.SetCatalog(c))
	d := &fleetpb.Directory{
		Primaries: []*fleetpb.PrimaryView{{Service: "svc", Upstream: "a"}},
		Hosts:     []*fleetpb.EntryHost{{Host: "h0", Zone: "z0"}, {Host: "h2", Zone: "z2"}},
	}
	for i, id := range []string{"a", "b", "c"} {
		d.Upstreams = append(d.Upstreams, &fleetpb.Announcement{
			Upstream: id, Service: "svc", Address: "127.0.0.1:" + id, Zone: []string{"z0", "z1", "z2"}[i], Born: 1,
		})
	}
	change(d)
	table.SetDirectory(d)
	return table
}

func candidates(table *Table, key string, since ident.Position) (ids string) {
	for _, c := range table.Candidates(table.Catalog().Route("db"), table.Catalog().TeamOf(key), since) {
		ids += string(c.Pool.Target().Upstream)
	}
	return ids
}

// Guards against statements sent to upstreams that are leaving, in an evacuated zone, in a region that the team excludes, or
// just observed to lack the position. Also guards against a preference for distant upstreams.
func TestCandidates(t *testing.T) {
	none := ident.Position{}
	for name, c := range map[string]struct {
		change  func(d *fleetpb.Directory)
		key     string
		want    string
		primary bool
	}{
		"the nearest first": {func(*fleetpb.Directory) {}, "", "abc", true},
		"leaving":           {func(d *fleetpb.Directory) { d.Upstreams[0].Leaving = true }, "", "bc", false},
		"evacuated":         {func(d *fleetpb.Directory) { d.Evacuated = []string{"z0", "z1"} }, "", "c", false},
		"home":              {func(*fleetpb.Directory) {}, "k", "c", false},
		"nothing left":      {func(d *fleetpb.Directory) { d.Evacuated = []string{"z2"} }, "k", "", false},
	} {
		table := newTestTable(t, c.change)
		require.Equal(t, c.want, candidates(table, c.key, none), name)
		pool := table.Primary(table.Catalog().Route("db"), table.Catalog().TeamOf(c.key))
		require.Equal(t, c.primary, pool != nil, name)
	}
	table := newTestTable(t, func(*fleetpb.Directory) {})
	table.Pool("svc", "b").RecordPosition(steady.Now(), ident.Position{Term: 1, LSN: 5})
	require.Equal(t, "ac", candidates(table, "", ident.Position{Term: 1, LSN: 6}))
	require.Equal(t, "abc", candidates(table, "", ident.Position{Term: 1, LSN: 5}))
	table.Pool("svc", "a").RecordFailure(steady.Now())
	require.Equal(t, "bca", candidates(table, "", none), "an upstream that failed is the last choice, but remains a candidate")
}

// Guards against reads that all go to the near upstream, although its gateway reports a long queue and many hosts choose alike, and
// against a choice that is not counted.
func TestCandidatesByReports(t *testing.T) {
	table := newTestTable(t, func(d *fleetpb.Directory) {
		for i := range 40 {
			d.Hosts = append(d.Hosts, &fleetpb.EntryHost{Host: fmt.Sprintf("other%d", i), Zone: "z0"})
		}
	})
	since := ident.Position{}
	before := choices[balance.ReasonMoved].Get()
	for _, id := range []ident.Upstream{"a", "b", "c"} {
		load := balance.Load{Slots: 2, Service: 10 * time.Millisecond}
		if id == "a" {
			load.Waiting, load.Running = 200, 2
		}
		table.Pool("svc", id).RecordLoad(steady.Now(), load)
	}
	require.NotEqual(t, 'a', rune(candidates(table, "", since)[0]))
	require.Equal(t, before+1, choices[balance.ReasonMoved].Get())
	table.Pool("svc", "b").RecordFailure(steady.Now())
	require.Equal(t, 'b', rune(candidates(table, "", since)[2]), "an upstream that failed is the last choice, however idle")
}

// Guards against an older configuration that replaces a newer one, and against a new directory that discards the pools of
// unchanged upstreams.
func TestChanges(t *testing.T) {
	table := newTestTable(t, func(*fleetpb.Directory) {})
	older, err := catalog.New(catalog.Description{Version: 1})
	require.NoError(t, err)
	require.False(t, table.SetCatalog(older))
	a, b := table.Pool("svc", "a"), table.Pool("svc", "b")
	table.SetDirectory(&fleetpb.Directory{
		Primaries: []*fleetpb.PrimaryView{{Service: "svc", Upstream: "b"}},
		Upstreams: []*fleetpb.Announcement{
			{Upstream: "a", Service: "svc", Address: "127.0.0.1:a", Zone: "z0", Born: 1},
			{Upstream: "b", Service: "svc", Address: "127.0.0.1:b", Zone: "z1", Born: 2},
		},
	})
	require.Same(t, a, table.Pool("svc", "a"))
	require.NotSame(t, b, table.Pool("svc", "b"), "a restart under the same id gets a new pool")
	require.Nil(t, table.Pool("svc", "c"))
}

// Guards against connections to upstreams that stay open after the host has shut down.
func TestRunClosesConnections(t *testing.T) {
	table := newTestTable(t, func(*fleetpb.Directory) {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	table.Run(ctx)
	for _, id := range []ident.Upstream{"a", "b", "c"} {
		require.True(t, table.Pool("svc", id).Closed(), id)
	}
}

// Guards against limits of connections and warm-up rates that stay those of an earlier configuration until the next change of
// the directory.
func TestConfigurationChangesLimits(t *testing.T) {
	table := newTestTable(t, func(*fleetpb.Directory) {})
	require.Equal(t, 18-connections.Reserve(18, false), table.Pool("svc", "a").Limit())
	next, err := catalog.New(catalog.Description{
		Version: 2, Services: []catalog.Service{{Name: "svc", Connections: 9}},
		Routes: []catalog.Route{{Name: "r", Database: "db", Timeout: time.Second, Service: "svc"}},
	})
	require.NoError(t, err)
	pool := table.Pool("svc", "a")
	require.True(t, table.SetCatalog(next))
	require.Same(t, pool, table.Pool("svc", "a"))
	require.Equal(t, 9-connections.Reserve(9, false), pool.Limit())
}

// Guards against reports that every host sends for every primary, so that control traffic grows with hosts times services, and
// against a report of an answer that is too old to count.
func TestReports(t *testing.T) {
	table := newTestTable(t, func(*fleetpb.Directory) {})
	now := steady.Now().Add(time.Minute)
	require.Empty(t, table.Reports(now), "no answer yet")
	pool := table.Pool("svc", "a")
	pool.RecordReachable()
	require.Empty(t, table.Reports(now), "another host's connection got the answer")
	pool.RecordAnswer(now.Add(-time.Second))
	reports := table.Reports(now)
	require.Len(t, reports, 1)
	require.Equal(t, uint32(1000), reports[0].GetAnsweredMs())
	require.Empty(t, table.Reports(now.Add(5*time.Second)))
	table.Pool("svc", "b").RecordAnswer(now)
	require.Len(t, table.Reports(now), 1, "only the primary is reported")
}
