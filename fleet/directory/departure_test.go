package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Guards against a directory that forgets an upstream which may hold an acknowledged write, whichever way it has left the list, and
// against one that remembers it although another upstream has its log.
func TestDepartures(t *testing.T) {
	const now = ident.Time(time.Hour)
	leaving := announce("a", "x:1", 1, 2)
	leaving.Leaving = true
	other := announce("o", "x:1", 5, 1)
	other.Service = "other"
	for name, c := range map[string]struct {
		records []*fleetpb.Announcement
		after   time.Duration
		want    []ident.Upstream
	}{
		"listed":                       {nil, 0, nil},
		"ended":                        {[]*fleetpb.Announcement{end(1)}, 0, []ident.Upstream{"a"}},
		"end repeated":                 {[]*fleetpb.Announcement{end(1), end(1)}, 0, []ident.Upstream{"a"}},
		"ended long ago":               {[]*fleetpb.Announcement{end(1)}, 30 * time.Minute, []ident.Upstream{"a"}},
		"ended, forgotten":             {[]*fleetpb.Announcement{end(1)}, 2 * time.Hour, nil},
		"ended, succeeded":             {[]*fleetpb.Announcement{end(1), announce("b", "x:1", 5, 1)}, 0, nil},
		"ended, the address is reused": {[]*fleetpb.Announcement{end(1), other}, 0, []ident.Upstream{"a"}},
		"leaving, succeeded":           {[]*fleetpb.Announcement{leaving, announce("b", "x:1", 5, 1)}, 0, nil},
		"crashed, its address taken":   {[]*fleetpb.Announcement{announce("b", "x:1", 5, 1)}, 0, []ident.Upstream{"a"}},
		"started again":                {[]*fleetpb.Announcement{announce("a", "x:1", 5, 1)}, 0, []ident.Upstream{"a"}},
		"silent":                       {nil, 61 * time.Second, []ident.Upstream{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			require.True(t, d.Record(now, announce("a", "x:1", 1, 1)))
			for _, a := range c.records {
				d.Record(now, a)
			}
			var got []ident.Upstream
			for _, left := range d.Departures(now.Add(c.after)) {
				got = append(got, left.Upstream)
				require.Equal(t, ident.Service("svc"), left.Service)
			}
			require.Equal(t, c.want, got)
		})
	}

	d := directory.New()
	require.True(t, d.Record(now, announce("a", "x:1", 1, 1)))
	later := now.Add(61 * time.Second)
	require.Len(t, d.Departures(later), 1)
	require.True(t, d.Record(later, announce("a", "x:1", 1, 2)))
	require.Empty(t, d.Departures(later), "a silent upstream has returned")

	restarted := directory.New()
	require.True(t, d.Record(later, end(1)))
	restarted.Restore(later, d.Snapshot(later))
	require.Len(t, restarted.Departures(later), 1, "a host that was restarted knows of it from the control log")
}
