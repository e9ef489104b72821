package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
)

// Guards against keys that still allow a team's operations after they were withdrawn or given to another team.
func TestStanding(t *testing.T) {
	c, err := catalog.New(description())
	require.NoError(t, err)
	for name, s := range map[string]struct {
		permit   catalog.Permit
		standing catalog.Standing
	}{
		"a team's key":         {catalog.Permit{Team: "t1", Key: catalog.NewKeyID("k1")}, catalog.StandingHeld},
		"its other key":        {catalog.Permit{Team: "t1", Key: catalog.NewKeyID("k2")}, catalog.StandingHeld},
		"another team's key":   {catalog.Permit{Team: "t1", Key: catalog.NewKeyID("k3")}, catalog.StandingMoved},
		"a key without a team": {catalog.Permit{Team: "t1", Key: catalog.NewKeyID("k4")}, catalog.StandingWithdrawn},
		"no key is needed":     {catalog.Permit{Team: "t4"}, catalog.StandingHeld},
	} {
		require.Equal(t, s.standing, c.Standing(s.permit), name)
	}
	require.Zero(t, catalog.NewKeyID(""))
	require.NotEqual(t, catalog.NewKeyID("k1"), catalog.NewKeyID("k2"))
}
