package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

func announce(id, address string, born int64, seq uint64) *fleetpb.Announcement {
	return &fleetpb.Announcement{Upstream: id, Service: "svc", Address: address, Zone: "z", Born: born, Seq: seq}
}

func leaving(a *fleetpb.Announcement) *fleetpb.Announcement {
	a.Leaving = true
	return a
}

func end(born int64) *fleetpb.Announcement {
	return &fleetpb.Announcement{Upstream: "a", Born: born, Gone: true, Leaving: true}
}

// Guards against announcements that arrive late, twice or after the end of their sender and restore an earlier state.
func TestOrder(t *testing.T) {
	type step struct {
		announcement *fleetpb.Announcement
		accepted     bool
	}
	for name, c := range map[string]struct {
		steps []step
		// list is the resulting list, as id@address, with ! for an upstream that is leaving.
		list []string
	}{
		"end before the first announcement": {
			[]step{{end(1), false}, {announce("a", "x:1", 1, 1), false}},
			nil,
		},
		"end before the first announcement of a later start": {
			[]step{{end(1), false}, {announce("a", "x:1", 2, 1), true}},
			[]string{"a@x:1"},
		},
		"end of a later start before its first announcement": {
			[]step{{announce("a", "x:1", 1, 9), true}, {end(2), true}, {announce("a", "x:2", 2, 1), false}},
			nil,
		},
		"end of a later start before its first announcement, after the end of an earlier one": {
			[]step{{announce("a", "x:1", 1, 9), true}, {end(1), true}, {end(2), false}, {announce("a", "x:2", 2, 1), false}},
			nil,
		},
		"start after the end of a later start before its first announcement": {
			[]step{{announce("a", "x:1", 1, 9), true}, {end(2), true}, {announce("a", "x:2", 3, 1), true}},
			[]string{"a@x:2"},
		},
		"end of an unknown start": {
			[]step{{end(0), false}, {announce("a", "x:1", 1, 1), true}},
			[]string{"a@x:1"},
		},
		"later number": {
			[]step{{announce("a", "x:1", 1, 1), true}, {leaving(announce("a", "x:1", 1, 2)), true}},
			[]string{"a@x:1!"},
		},
		"late announcement": {
			[]step{{announce("a", "x:1", 1, 1), true}, {leaving(announce("a", "x:1", 1, 3)), true}, {announce("a", "x:1", 1, 2), false}},
			[]string{"a@x:1!"},
		},
		"repeated": {
			[]step{{announce("a", "x:1", 1, 1), true}, {announce("a", "x:1", 1, 1), false}},
			[]string{"a@x:1"},
		},
		"new start, lower number": {
			[]step{{announce("a", "x:1", 1, 9), true}, {announce("a", "x:2", 2, 1), true}},
			[]string{"a@x:2"},
		},
		"late announcement of an old start": {
			[]step{{announce("a", "x:2", 2, 1), true}, {announce("a", "x:1", 1, 9), false}},
			[]string{"a@x:2"},
		},
		"end": {
			[]step{{announce("a", "x:1", 1, 1), true}, {end(0), true}, {announce("a", "x:1", 1, 2), false}},
			nil,
		},
		"start after the end": {
			[]step{{announce("a", "x:1", 1, 1), true}, {end(0), true}, {announce("a", "x:1", 2, 1), true}},
			[]string{"a@x:1"},
		},
		"late end of an old start":   {[]step{{announce("a", "x:1", 2, 1), true}, {end(1), false}}, []string{"a@x:1"}},
		"end of an unknown upstream": {[]step{{end(1), false}}, nil},
		"address taken over": {
			[]step{{announce("a", "x:1", 1, 1), true}, {announce("b", "x:1", 2, 1), true}, {announce("a", "x:1", 1, 2), false}},
			[]string{"b@x:1"},
		},
		"delayed announcement of the previous upstream at the address": {
			[]step{{announce("b", "x:1", 2, 1), true}, {announce("a", "x:1", 1, 1), false}},
			[]string{"b@x:1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			for i, s := range c.steps {
				require.Equal(t, s.accepted, d.Record(ident.Time(i), s.announcement), "step %d", i)
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

// Guards against a directory that keeps every upstream that was ever announced.
func TestForget(t *testing.T) {
	d := directory.New()
	d.Record(0, announce("a", "x:1", 1, 1))
	d.Record(0, announce("b", "x:2", 1, 1))
	d.Record(ident.Time(30*time.Second), announce("b", "x:2", 1, 2))
	require.Len(t, d.List(ident.Time(59*time.Second)), 2)
	list := d.List(ident.Time(61 * time.Second))
	require.Len(t, list, 1)
	require.Equal(t, uint32(31000), list[0].GetAgeMs())
}

// Guards against a host that was down when an upstream ended and uses it again after a delayed announcement: the hosts that know
// of the end answer with it.
func TestNewerIsWhatRefusesAnAnnouncement(t *testing.T) {
	now := ident.Time(time.Hour)
	informed, restarted := directory.New(), directory.New()
	require.True(t, informed.Record(now, announce("a", "x:1", 1, 1)))
	require.True(t, informed.Record(now, end(1)))
	late := announce("a", "x:1", 1, 1)
	require.True(t, restarted.Record(now, late))
	require.False(t, informed.Record(now, late))
	newer := informed.Newer(late)
	require.True(t, newer.GetGone())
	require.True(t, restarted.Record(now, newer))
	require.Empty(t, restarted.List(now))
	require.Nil(t, informed.Newer(announce("a", "x:1", 2, 1)), "a later start is not refused")

	// The address was taken over by another upstream.
	require.True(t, informed.Record(now, announce("b", "x:2", 5, 1)))
	require.Equal(t, "b", informed.Newer(announce("c", "x:2", 4, 9)).GetUpstream())
}
