package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/node/upstream"
)

// Guards against hosts that select different gateways from the same directory, a gateway in another availability zone, and
// a change of gateway when an unrelated host is added or removed.
func TestGateway(t *testing.T) {
	var hosts []*fleetpb.EntryHost
	for i := range 12 {
		hosts = append(hosts, &fleetpb.EntryHost{Host: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%3)})
	}
	assigned := map[string]int{}
	for i := range 300 {
		target := upstream.Target{Upstream: ident.Upstream(fmt.Sprintf("i-%d", i)), Zone: ident.Zone(fmt.Sprintf("z%d", i%3))}
		chosen := gatewayIn(new(Table).orderOf(hosts, target), target)
		require.Equal(t, string(target.Zone), chosen.GetZone())
		assigned[chosen.GetHost()]++
		for removed := range hosts {
			others := append(append([]*fleetpb.EntryHost(nil), hosts[removed+1:]...), hosts[:removed]...)
			if hosts[removed] != chosen {
				require.Equal(t, chosen, gatewayIn(new(Table).orderOf(others, target), target), "the gateway depends neither on the order nor on other hosts")
			}
		}
	}
	for host, n := range assigned {
		require.Less(t, n, 75, "%s is the gateway of far more upstreams than its share of 25", host)
	}
	require.Nil(t, gatewayIn(new(Table).orderOf(hosts, upstream.Target{Zone: "elsewhere"}), upstream.Target{Zone: "elsewhere"}))
}

// Guards against one small host that is the gateway of several busy upstreams while others of its zone are that of none.
func TestOrdersAreEven(t *testing.T) {
	var hosts []connections.Host
	var upstreams []connections.Upstream
	for i := range 10 {
		hosts = append(hosts, connections.Host{ID: ident.Host(fmt.Sprint("h", i)), Zone: "z"})
		upstreams = append(upstreams, connections.Upstream{ID: ident.Upstream(fmt.Sprint("i-", i)), Zone: "z"})
	}
	gateways := map[int]bool{}
	for _, order := range connections.Orders(hosts, upstreams) {
		gateways[order[0]] = true
	}
	require.Len(t, gateways, len(hosts))
}
