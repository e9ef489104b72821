package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/ident"
)

func description() catalog.Description {
	return catalog.Description{
		Version: 3,
		Routes: []catalog.Route{
			{Name: "r1", Database: "db1", Prefix: "/", Timeout: time.Second, Service: "s1"},
			{Name: "r2", Database: "db2", Prefix: "/", Timeout: time.Second, Service: "s1", Kind: catalog.KindSession, Regions: []ident.Region{"east"}},
		},
		Services: []catalog.Service{{Name: "s1", Connections: 9}},
		Teams: []catalog.Team{
			{Name: "t1", Keys: []string{"k1", "k2"}},
			{Name: "t2", Keys: []string{"k3"}, Regions: []ident.Region{"west"}},
		},
	}
}

// Guards against contradictory descriptions that come into force.
func TestInvalid(t *testing.T) {
	for name, c := range map[string]struct {
		change func(d *catalog.Description)
		cause  catalog.Cause
	}{
		"unknown service":          {func(d *catalog.Description) { d.Routes[1].Service = "s2" }, catalog.CauseService},
		"same database and prefix": {func(d *catalog.Description) { d.Routes[1].Database = "db1" }, catalog.CauseRoute},
		"no timeout":               {func(d *catalog.Description) { d.Routes[0].Timeout = 0 }, catalog.CauseTimeout},
		"unknown kind":             {func(d *catalog.Description) { d.Routes[0].Kind = 9 }, catalog.CauseKind},
		"repeated service":         {func(d *catalog.Description) { d.Services = append(d.Services, d.Services[0]) }, catalog.CauseService},
		"repeated team": {func(d *catalog.Description) {
			d.Teams = append(d.Teams, catalog.Team{Name: "t1", Keys: []string{"k4"}})
		}, catalog.CauseTeam},
		"shared key": {func(d *catalog.Description) { d.Teams[1].Keys = append(d.Teams[1].Keys, "k2") }, catalog.CauseKey},
	} {
		d := description()
		c.change(&d)
		_, err := catalog.New(d)
		var invalid *catalog.InvalidError
		require.ErrorAs(t, err, &invalid, name)
		require.Equal(t, c.cause, invalid.Cause, name)
	}
	d := description()
	d.Routes[1].Database, d.Routes[1].Prefix = "db1", "/other"
	_, err := catalog.New(d)
	require.NoError(t, err, "routes of one database may differ in their prefix")
	d = description()
	d.Teams[0].Keys = []string{"k1", "k1"}
	_, err = catalog.New(d)
	require.NoError(t, err, "a team may list a key twice")
}

// Guards against keys that give access as another team, and against requests that run in regions that their route or
// team excludes.
func TestLookups(t *testing.T) {
	c, err := catalog.New(description())
	require.NoError(t, err)
	require.Equal(t, ident.Team("t1"), c.TeamOf("k2").Name)
	require.Nil(t, c.TeamOf("k9"))
	require.Nil(t, c.TeamOf(""))
	require.Equal(t, "r2", c.Route("db2").Name)
	require.Nil(t, c.Route("db3"))
	open, east := c.Route("db1"), c.Route("db2")
	require.True(t, catalog.Allows(open, nil, "north"))
	require.True(t, catalog.Allows(open, c.TeamOf("k3"), "west"))
	require.False(t, catalog.Allows(open, c.TeamOf("k3"), "east"))
	require.False(t, catalog.Allows(east, c.TeamOf("k3"), "east"), "the regions of both the route and the team must allow it")
	require.True(t, catalog.Allows(east, c.TeamOf("k1"), "east"))
}
