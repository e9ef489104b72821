package observer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/observer"
)

// Guards against hosts that choose different observers for a service, and against observers that are all in one availability
// zone.
func TestChoose(t *testing.T) {
	var hosts, reversed []observer.Host
	for i := range 12 {
		h := observer.Host{ID: ident.Host(fmt.Sprintf("h%d", i)), Zone: ident.Zone(fmt.Sprintf("z%d", i%3))}
		hosts = append(hosts, h)
		reversed = append([]observer.Host{h}, reversed...)
	}
	for i := range 20 {
		service := ident.Service(fmt.Sprintf("s%d", i))
		chosen := observer.Choose(service, hosts)
		require.Equal(t, chosen, observer.Choose(service, reversed))
		zones := map[ident.Zone]bool{}
		for _, h := range chosen {
			zones[h.Zone] = true
		}
		require.Len(t, zones, 3)
	}
	require.Len(t, observer.Choose("s", hosts[:2]), 2)
	oneZone := []observer.Host{hosts[0], hosts[3], hosts[6], hosts[9]}
	require.Len(t, observer.Choose("s", oneZone), 3, "further hosts observe while there are fewer zones")
}
