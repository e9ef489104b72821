package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/node/upstream"
)

// Guards against hosts that select different gateways from the same directory, a gateway in another availability zone, and
// a change of gateway when an unrelated host is added or removed.
func TestGatewayOf(t *testing.T) {
	var hosts []*fleetpb.EntryHost
	for i := range 12 {
		hosts = append(hosts, &fleetpb.EntryHost{Host: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%3)})
	}
	assigned := map[string]int{}
	for i := range 300 {
		target := upstream.Target{Upstream: ident.Upstream(fmt.Sprintf("i-%d", i)), Zone: ident.Zone(fmt.Sprintf("z%d", i%3))}
		chosen := gatewayOf(hosts, target)
		require.Equal(t, string(target.Zone), chosen.GetZone())
		assigned[chosen.GetHost()]++
		for removed := range hosts {
			others := append(append([]*fleetpb.EntryHost(nil), hosts[removed+1:]...), hosts[:removed]...)
			if hosts[removed] != chosen {
				require.Equal(t, chosen, gatewayOf(others, target), "the gateway depends neither on the order nor on other hosts")
			}
		}
	}
	for host, n := range assigned {
		require.Less(t, n, 75, "%s is the gateway of far more upstreams than its share of 25", host)
	}
	require.Nil(t, gatewayOf(hosts, upstream.Target{Zone: "elsewhere"}))
}
