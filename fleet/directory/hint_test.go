package directory_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// gone returns the saved end of an upstream.
func gone(a *fleetpb.Announcement) *fleetpb.Announcement {
	a.Gone, a.Leaving = true, true
	return a
}

// listed returns the listed upstreams as id@address, with ! for one that is leaving and ? for one that has not announced itself.
func listed(d *directory.Directory, now ident.Time) []string {
	unconfirmed := d.Unconfirmed()
	var list []string
	for _, a := range d.List(now) {
		text := a.GetUpstream() + "@" + a.GetAddress()
		if a.GetLeaving() {
			text += "!"
		}
		if unconfirmed[ident.Upstream(a.GetUpstream())] {
			text += "?"
		}
		list = append(list, text)
	}
	return list
}

// Guards against saved entries that bring back an upstream that has ended, moved or begun to leave, that replace a newer
// announcement, or that stay listed although their upstream does not run any more.
func TestRestore(t *testing.T) {
	const start = ident.Time(time.Hour)
	for name, c := range map[string]struct {
		// before are announcements that arrive before the restored entries, after those that follow.
		before, saved, after []*fleetpb.Announcement
		list, later          []string
		settled              directory.Confirmation
	}{
		"not announced": {
			saved: []*fleetpb.Announcement{announce("a", "x:1", 1, 9)},
			list:  []string{"a@x:1?"}, settled: directory.Confirmation{Restored: 1, Dropped: 1},
		},
		"announced": {
			saved: []*fleetpb.Announcement{announce("a", "x:1", 1, 9)}, after: []*fleetpb.Announcement{announce("a", "x:1", 1, 12)},
			list: []string{"a@x:1"}, later: []string{"a@x:1"}, settled: directory.Confirmation{Restored: 1, Confirmed: 1},
		},
		"late announcement from before the entry": {
			saved: []*fleetpb.Announcement{announce("a", "x:1", 1, 9)}, after: []*fleetpb.Announcement{announce("a", "x:1", 1, 8)},
			list: []string{"a@x:1?"}, settled: directory.Confirmation{Restored: 1, Dropped: 1},
		},
		"announced before": {
			before: []*fleetpb.Announcement{announce("a", "y:1", 2, 1)}, saved: []*fleetpb.Announcement{announce("a", "x:1", 1, 9)},
			list: []string{"a@y:1"}, later: []string{"a@y:1"},
		},
		"restarted": {
			saved: []*fleetpb.Announcement{announce("a", "x:1", 1, 9)}, after: []*fleetpb.Announcement{announce("a", "y:1", 2, 1)},
			list: []string{"a@y:1"}, later: []string{"a@y:1"}, settled: directory.Confirmation{Restored: 1, Confirmed: 1},
		},
		"address taken over": {
			saved: []*fleetpb.Announcement{announce("a", "x:1", 1, 9)}, after: []*fleetpb.Announcement{announce("b", "x:1", 2, 1)},
			list: []string{"b@x:1"}, later: []string{"b@x:1"}, settled: directory.Confirmation{Restored: 1, Dropped: 1},
		},
		"address taken over before": {
			before: []*fleetpb.Announcement{announce("b", "x:1", 2, 1)}, saved: []*fleetpb.Announcement{announce("a", "x:1", 1, 9)},
			list: []string{"b@x:1"}, later: []string{"b@x:1"},
		},
		"has taken over an address since": {
			before: []*fleetpb.Announcement{announce("a", "x:1", 1, 9)}, saved: []*fleetpb.Announcement{announce("b", "x:1", 2, 1)},
			list: []string{"b@x:1?"}, settled: directory.Confirmation{Restored: 1, Dropped: 1},
		},
		"leaving": {
			saved: []*fleetpb.Announcement{leaving(announce("a", "x:1", 1, 9))},
			list:  []string{"a@x:1!?"}, settled: directory.Confirmation{Restored: 1, Dropped: 1},
		},
		"ended, and announced late": {
			saved: []*fleetpb.Announcement{gone(announce("a", "x:1", 1, 9))}, after: []*fleetpb.Announcement{announce("a", "x:1", 1, 12)},
		},
		"ends": {
			saved: []*fleetpb.Announcement{announce("a", "x:1", 1, 9)}, after: []*fleetpb.Announcement{end(0)},
			settled: directory.Confirmation{Restored: 1, Confirmed: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			for _, a := range c.before {
				d.Record(start, a)
			}
			d.Restore(start, c.saved)
			for _, a := range c.after {
				d.Record(start.Add(time.Second), a)
			}
			require.Equal(t, c.list, listed(d, start.Add(time.Second)))
			later := start.Add(5 * time.Second)
			require.Equal(t, c.later, listed(d, later))
			require.Equal(t, c.settled, d.Confirmation(later))
		})
	}
}

// Guards against restored upstreams that stay open for ever, because the next leadership of the same host replaced them by later entries.
func TestRestoreAgain(t *testing.T) {
	d, start := directory.New(), ident.Time(time.Hour)
	d.Restore(start, []*fleetpb.Announcement{announce("a", "x:1", 1, 9)})
	d.Restore(start.Add(time.Second), []*fleetpb.Announcement{announce("a", "x:1", 1, 10)})
	require.Equal(t, 1, d.Confirmation(start.Add(2*time.Second)).Open())
	require.Zero(t, d.Confirmation(start.Add(5*time.Second)).Open())
}

// Guards against entries in the log for each announcement, and against a change that is saved late or not at all: what has ended must
// be known after a restart.
func TestDiffSaved(t *testing.T) {
	base := []*fleetpb.Announcement{announce("a", "x:1", 1, 1), announce("b", "x:2", 1, 1)}
	hosts := []*fleetpb.EntryHost{{Host: "e1"}, {Host: "e2"}}
	primary := announce("a", "x:1", 1, 2)
	primary.Primary = true
	for name, c := range map[string]struct {
		upstreams []*fleetpb.Announcement
		hosts     []*fleetpb.EntryHost
		urgency   directory.Urgency
	}{
		"next announcements": {[]*fleetpb.Announcement{announce("a", "x:1", 1, 2), announce("b", "x:2", 1, 3)}, hosts, directory.Same},
		"host gone":          {base, hosts[:1], directory.Lazy},
		"new host":           {base, append(slices.Clone(hosts), &fleetpb.EntryHost{Host: "e3"}), directory.Due},
		"new upstream":       {append(slices.Clone(base), announce("c", "x:3", 1, 1)), hosts, directory.Due},
		"new primary":        {[]*fleetpb.Announcement{primary, base[1]}, hosts, directory.Due},
		"silent upstream":    {base[:1], hosts, directory.Due},
		"restart":            {[]*fleetpb.Announcement{announce("a", "x:1", 2, 1), base[1]}, hosts, directory.Due},
		"leaving":            {[]*fleetpb.Announcement{leaving(announce("a", "x:1", 1, 2)), base[1]}, hosts, directory.Urgent},
		"end":                {[]*fleetpb.Announcement{gone(announce("a", "x:1", 1, 2)), base[1]}, hosts, directory.Urgent},
	} {
		t.Run(name, func(t *testing.T) {
			saved := &fleetpb.SavedRecovery{Upstreams: base, Hosts: hosts, Advanced: 25}
			change, urgency := directory.DiffSaved(saved, c.upstreams, c.hosts)
			require.Equal(t, c.urgency, urgency)
			next := directory.ApplySaved(saved, 1, change)
			require.EqualValues(t, 25, next.GetAdvanced())
			_, left := directory.DiffSaved(next, c.upstreams, c.hosts)
			require.Equal(t, directory.Same, left, "the saved state is the present one")
			require.True(t, proto.Equal(saved, &fleetpb.SavedRecovery{Upstreams: base, Hosts: hosts, Advanced: 25}), "it was not changed in place")
		})
	}
}

// Guards against a saved state that lists an upstream's age or warm-up, which differ at each look, or that forgets its end.
func TestSnapshot(t *testing.T) {
	const start = ident.Time(time.Hour)
	d := directory.New()
	warming := announce("b", "x:2", 1, 1)
	warming.WarmupMs = 700
	d.Record(start, warming)
	d.Record(start, announce("a", "x:1", 1, 1))
	d.Record(start, end(1))
	first, second := d.Snapshot(start), d.Snapshot(start.Add(time.Second))
	_, urgency := directory.DiffSaved(&fleetpb.SavedRecovery{Upstreams: first}, second, nil)
	require.Equal(t, directory.Same, urgency)
	require.Len(t, first, 2)
	require.True(t, first[0].GetGone())
	require.Zero(t, first[1].GetWarmupMs())
}
