package coreclient

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/node/routing"
)

const (
	testWindow = 5e9
	// testTime is the fleet's time in Unix milliseconds, the start of a window that differs from the machine's time of day.
	testTime = 5_000_000
)

// usageUnderTest is the usage of a host that has received the fleet's time, with the teams of a configuration.
func usageUnderTest(t *testing.T) (*Usage, *catalog.Catalog) {
	teams, err := catalog.New(catalog.Description{Version: 3, Teams: []catalog.Team{{Name: "one"}, {Name: "two"}}})
	require.NoError(t, err)
	u := NewUsage(testWindow)
	now := steady.Now()
	u.receive(now, now, nil, &fleetpb.WatchResponse{TimeMs: testTime})
	return u, teams
}

// count counts operations of a team, the last of which is refused.
func count(u *Usage, team ident.Team, operations int) {
	for i := range operations {
		u.Begin(team)(i < operations-1)
	}
}

// Guards against counts in a window of the host's own time of day, teams that are reported under another one's index or not at all, and
// reports that repeat what the leader has.
func TestUsageReport(t *testing.T) {
	u, teams := usageUnderTest(t)
	count(u, "two", 4)
	count(u, "removed", 2)
	request := &fleetpb.WatchRequest{}
	report := u.addTo(request, teams)
	require.Zero(t, request.GetClockMs(), "the host has just got the fleet's time")
	want := &fleetpb.UsageReport{Version: 3, Complete: 999, Windows: []*fleetpb.WindowUsage{
		{Window: 1000, Teams: []uint32{1}, Counts: []uint64{3}, Others: []*fleetpb.TeamUsage{{Team: "removed", Count: 1}}},
	}}
	require.True(t, proto.Equal(want, request.GetUsage()), request.GetUsage())

	receipt := &fleetpb.WatchResponse{Usage: &fleetpb.UsageReceipt{Leadership: 7}}
	u.receive(1, 2, report, receipt)
	u.receive(1, 2, u.addTo(request, teams), receipt)
	require.True(t, proto.Equal(&fleetpb.UsageReport{Leadership: 7, Version: 3, Complete: 999}, request.GetUsage()), "the leader has the counts")
	count(u, "one", 2)
	require.Nil(t, u.addTo(&fleetpb.WatchRequest{}, teams), "reports are sent at an interval")
	request = &fleetpb.WatchRequest{Leaving: true}
	u.addTo(request, teams)
	want = &fleetpb.UsageReport{Leadership: 7, Version: 3, Complete: 999, Windows: []*fleetpb.WindowUsage{{Window: 1000, Teams: []uint32{0}, Counts: []uint64{1}}}}
	require.True(t, proto.Equal(want, request.GetUsage()), request.GetUsage())
}

// Guards against a new leader that waits for hosts which have nothing new to report and do not know that it has nothing.
func TestUsageAfterLeaderLost(t *testing.T) {
	u, teams := usageUnderTest(t)
	request := &fleetpb.WatchRequest{}
	for range 2 {
		u.receive(1, 2, u.addTo(request, teams), &fleetpb.WatchResponse{Usage: &fleetpb.UsageReceipt{Leadership: 7}})
	}
	require.Nil(t, u.addTo(&fleetpb.WatchRequest{Leaving: true}, teams))
	u.leaderLost()
	u.receive(1, 2, u.addTo(request, teams), &fleetpb.WatchResponse{Usage: &fleetpb.UsageReceipt{Leadership: 8}})
	require.NotNil(t, u.addTo(request, teams))
	require.True(t, proto.Equal(&fleetpb.UsageReport{Leadership: 8, Version: 3, Complete: 999}, request.GetUsage()), request.GetUsage())
}

// Guards against a host that never asks for the fleet's time, and one that has no configuration to name its teams by.
func TestUsageAsksForTime(t *testing.T) {
	u := NewUsage(testWindow)
	count(u, "one", 2)
	request := &fleetpb.WatchRequest{}
	require.Nil(t, u.addTo(request, nil))
	require.NotZero(t, request.GetClockMs())
}

// Guards against new fields in the requests of a fleet that does not report usage.
func TestUsageOff(t *testing.T) {
	c := New(Options{Host: "e", Incarnation: 7, Peers: peer.New(peer.Options{Trusted: true}), Table: routing.New(routing.Options{})})
	request, usage := c.nextRequest()
	require.Nil(t, usage)
	require.True(t, proto.Equal(&fleetpb.WatchRequest{Host: "e", Incarnation: 7}, request), request)
}
