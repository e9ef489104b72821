package connections_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/ident"
)

// outage has the hosts of three regions and what another host knows of them.
type outage struct {
	hosts []connections.Host
	gone  map[ident.Zone]bool
}

func newOutage() *outage {
	o := &outage{gone: map[ident.Zone]bool{}}
	for _, zone := range []ident.Zone{"home-a", "home-b", "near-a", "far-a"} {
		for i := range 4 {
			o.hosts = append(o.hosts, connections.Host{
				ID: ident.Host(fmt.Sprint(zone, i)), Zone: zone, Region: ident.Region(zone[:len(zone)-2]),
			})
		}
	}
	return o
}

// chosen returns the zone of the host that is asked for an upstream of home-a, or an empty one if there is none. With homes, only hosts of
// the upstream's region may get the statements.
func (o *outage) chosen(upstream ident.Upstream, homes bool) ident.Zone {
	order := connections.Order(o.hosts, connections.Upstream{ID: upstream, Zone: "home-a", Region: "home"})
	standings := make([]connections.Standing, len(order))
	for i, at := range order {
		host := o.hosts[at]
		if o.gone[host.Zone] {
			standings[i] = connections.StandingGone
		}
		standings[i] = standings[i].For(!homes || host.Region == "home")
	}
	if i := connections.Choose(standings); i >= 0 {
		return o.hosts[order[i]].Zone
	}
	return ""
}

// Replays the loss of a home's zones one after the other. Guards against statements with homes that are led to another region, and against
// their refusal while a host of the home holds connections.
func TestHomesLoseTheirHosts(t *testing.T) {
	for i := range 100 {
		upstream := ident.Upstream(fmt.Sprint("i-", i))
		o := newOutage()
		for _, homes := range []bool{false, true} {
			require.Equal(t, ident.Zone("home-a"), o.chosen(upstream, homes))
		}
		o.gone["home-a"] = true
		for _, homes := range []bool{false, true} {
			require.Equal(t, ident.Zone("home-b"), o.chosen(upstream, homes))
		}
		o.gone["home-b"] = true
		require.Contains(t, []ident.Zone{"near-a", "far-a"}, o.chosen(upstream, false))
		require.Empty(t, o.chosen(upstream, true))
		o.gone["home-a"] = false
		require.Equal(t, ident.Zone("home-a"), o.chosen(upstream, true))
	}
}
