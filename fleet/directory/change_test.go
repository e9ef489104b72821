package directory_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/fleetpb"
)

// drawDirectory returns a sorted directory with random entries of a few names.
func drawDirectory(t *rapid.T) *fleetpb.Directory {
	d := &fleetpb.Directory{}
	for i := range 4 {
		if rapid.Bool().Draw(t, "host") {
			d.Hosts = append(d.Hosts, &fleetpb.EntryHost{Host: fmt.Sprint("h", i), Peer: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "peer")})
		}
		if rapid.Bool().Draw(t, "upstream") {
			d.Upstreams = append(d.Upstreams, &fleetpb.Announcement{Upstream: fmt.Sprint("u", i), Leaving: rapid.Bool().Draw(t, "leaving")})
		}
		if rapid.Bool().Draw(t, "primary") {
			d.Primaries = append(d.Primaries, &fleetpb.PrimaryView{Service: fmt.Sprint("s", i), Upstream: rapid.SampledFrom([]string{"u0", "u1"}).Draw(t, "primary of")})
		}
		if rapid.Bool().Draw(t, "zone") {
			d.Evacuated = append(d.Evacuated, fmt.Sprint("z", i))
		}
	}
	directory.Sort(d)
	return d
}

// Guards against a host whose directory differs from the leader's after a change: an upstream that left, or a zone that is out of
// service, would still get work there.
func TestChangeLeadsToTheSameDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDirectory(t), drawDirectory(t)
		got := directory.Apply(from, directory.Diff(from, to))
		require.True(t, proto.Equal(to, got), "%v\n%v", to, got)
		want, err := directory.Digest(to)
		require.NoError(t, err)
		digest, err := directory.Digest(got)
		require.NoError(t, err)
		require.Equal(t, want, digest)
	})
}

// Guards against control traffic that grows with hosts times hosts: while 200 hosts restart one after the other, each of the
// others gets the change of one entry and not the whole list.
func TestRollingRestartSendsChanges(t *testing.T) {
	const hosts = 200
	var history directory.History
	all := func(leaving int) *fleetpb.Directory {
		d := &fleetpb.Directory{}
		for i := range hosts {
			if i != leaving {
				d.Hosts = append(d.Hosts, &fleetpb.EntryHost{Host: fmt.Sprintf("front-zone-%03d", i), Zone: "zone", Peer: fmt.Sprintf("10.0.0.%d:7000", i)})
			}
		}
		directory.Sort(d)
		return d
	}
	digest, err := history.Add(all(-1))
	require.NoError(t, err)
	_, whole, _ := history.Update(0)
	require.NotNil(t, whole, "a host that has no directory gets the whole one")
	has, sent := whole, 0
	for i := range hosts {
		_, err := history.Add(all(i))
		require.NoError(t, err)
		latest, whole, change := history.Update(digest)
		require.Nil(t, whole)
		has, digest = directory.Apply(has, change), latest
		sent += proto.Size(change)
	}
	require.True(t, proto.Equal(all(hosts-1), has))
	require.Less(t, sent, 2*proto.Size(all(-1)), "all changes together are smaller than two directories")

	// A host that missed more changes than are kept gets the whole directory.
	_, whole, change := history.Update(1)
	require.NotNil(t, whole)
	require.Nil(t, change)
}
