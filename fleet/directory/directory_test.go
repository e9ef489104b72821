package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

func said(id, address string, born int64, seq uint64) *fleetpb.Announcement {
	return &fleetpb.Announcement{Upstream: id, Service: "svc", Address: address, Zone: "z", Born: born, Seq: seq}
}

func leaving(a *fleetpb.Announcement) *fleetpb.Announcement {
	a.Leaving = true
	return a
}

func ended(born int64) *fleetpb.Announcement {
	return &fleetpb.Announcement{Upstream: "a", Born: born, Gone: true, Leaving: true}
}

// Guards against announcements that arrive late, twice or after the end of their sender and bring back what is over.
func TestOrder(t *testing.T) {
	type step struct {
		said  *fleetpb.Announcement
		taken bool
	}
	for name, c := range map[string]struct {
		steps []step
		// list is what remains, as id@address, with ! for one that is leaving.
		list []string
	}{
		"later number": {[]step{{said("a", "x:1", 1, 1), true}, {leaving(said("a", "x:1", 1, 2)), true}}, []string{"a@x:1!"}},
		"late announcement": {
			[]step{{said("a", "x:1", 1, 1), true}, {leaving(said("a", "x:1", 1, 3)), true}, {said("a", "x:1", 1, 2), false}},
			[]string{"a@x:1!"},
		},
		"repeated":                  {[]step{{said("a", "x:1", 1, 1), true}, {said("a", "x:1", 1, 1), false}}, []string{"a@x:1"}},
		"new start, counts anew":    {[]step{{said("a", "x:1", 1, 9), true}, {said("a", "x:2", 2, 1), true}}, []string{"a@x:2"}},
		"late word of an old start": {[]step{{said("a", "x:2", 2, 1), true}, {said("a", "x:1", 1, 9), false}}, []string{"a@x:2"}},
		"end":                       {[]step{{said("a", "x:1", 1, 1), true}, {ended(0), true}, {said("a", "x:1", 1, 2), false}}, nil},
		"start after the end":       {[]step{{said("a", "x:1", 1, 1), true}, {ended(0), true}, {said("a", "x:1", 2, 1), true}}, []string{"a@x:1"}},
		"late end of an old start":  {[]step{{said("a", "x:1", 2, 1), true}, {ended(1), false}}, []string{"a@x:1"}},
		"end of an unknown one":     {[]step{{ended(1), false}}, nil},
		"address taken over": {
			[]step{{said("a", "x:1", 1, 1), true}, {said("b", "x:1", 2, 1), true}, {said("a", "x:1", 1, 2), false}},
			[]string{"b@x:1"},
		},
		"delayed word of the crashed one at the address": {
			[]step{{said("b", "x:1", 2, 1), true}, {said("a", "x:1", 1, 1), false}},
			[]string{"b@x:1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			for i, s := range c.steps {
				require.Equal(t, s.taken, d.Take(ident.Time(i), s.said), "step %d", i)
			}
			var list []string
			for _, a := range d.List(100) {
				entry := a.GetUpstream() + "@" + a.GetAddress()
				if a.GetLeaving() {
					entry += "!"
				}
				list = append(list, entry)
			}
			require.Equal(t, c.list, list)
		})
	}
}

// Guards against a memory that grows with every upstream there ever was.
func TestForget(t *testing.T) {
	d := directory.New()
	d.Take(0, said("a", "x:1", 1, 1))
	d.Take(0, said("b", "x:2", 1, 1))
	d.Take(ident.Time(30*time.Second), said("b", "x:2", 1, 2))
	require.Len(t, d.List(ident.Time(59*time.Second)), 2)
	list := d.List(ident.Time(61 * time.Second))
	require.Len(t, list, 1)
	require.Equal(t, uint32(31000), list[0].GetAgeMs())
}
