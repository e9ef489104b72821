package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/lending"
	"tamarackshunt.dev/host/replica"
)

// newTestCore returns a core host without a log.
func newTestCore() *Core {
	c := &Core{
		state: newState(parseStub), directory: directory.New(), hosts: entryHosts{}, lender: lending.New(), startedAt: steady.Now(),
		saving: make(chan struct{}, 1), clock: expiry.NewClock(), readings: expiry.NewReadings(),
	}
	c.groups = newGroups(c)
	return c
}

// parsedCatalog returns a configuration with one service.
func parsedCatalog(t *testing.T) *catalog.Catalog {
	c, err := catalog.New(catalog.Description{Version: 1, Services: []catalog.Service{{Name: "svc", Connections: 18}}})
	require.NoError(t, err)
	return c
}

// Guards against a leader change after which 200 hosts are sent the whole directory at once, which fills the leader's link for
// longer than they wait, and after which the gateways of most upstreams move, since only the hosts that have already asked the new
// leader are listed.
func TestNextLeaderContinuesTheDirectory(t *testing.T) {
	const hosts = 200
	now := ident.Time(time.Hour)
	first := newTestCore()
	for i := range hosts {
		name := fmt.Sprintf("front-%03d", i)
		first.hosts.record(now, &fleetpb.WatchRequest{Host: name, Incarnation: 1, Zone: "z", Peer: name + ":1"})
	}
	digest, whole, _, err := first.directoryUpdate(now, 0)
	require.NoError(t, err)
	require.Len(t, whole.GetHosts(), hosts)

	next := newTestCore()
	next.inheritable.Set(whole, digest)
	now = now.Add(time.Minute)
	next.inheritDirectory(now)
	latest, sent, change, err := next.directoryUpdate(now, digest)
	require.NoError(t, err)
	require.Equal(t, digest, latest)
	require.Nil(t, sent)
	require.Nil(t, change)

	// Hosts that don't ask the new leader are dropped, and the others get that change only.
	for i := range hosts - 1 {
		name := fmt.Sprintf("front-%03d", i)
		next.hosts.record(now.Add(entryHostTimeout), &fleetpb.WatchRequest{Host: name, Incarnation: 1, Zone: "z", Peer: name + ":1"})
	}
	_, sent, change, err = next.directoryUpdate(now.Add(entryHostTimeout), digest)
	require.NoError(t, err)
	require.Nil(t, sent)
	require.Equal(t, []string{"front-199"}, change.GetRemovedHosts())
	require.Less(t, proto.Size(change), 100)
}

// Guards against one announcement that ends the whole directory for all hosts, and with it the configuration: its id is not UTF-8, so
// a directory that lists it can't be serialized.
func TestAnnouncementThatIsNoText(t *testing.T) {
	c := newTestCore()
	c.state.catalog = parsedCatalog(t)
	now := steady.Now()
	for _, id := range []string{"i-1", "i-\xff\xfe", "i-2"} {
		c.recordAnnouncement(&fleetpb.Announcement{Upstream: id, Service: "svc", Address: "10.0.0.1:" + fmt.Sprint(len(id)+int(id[2])), Zone: "z", Seq: 1})
	}
	_, whole, _, err := c.directoryUpdate(now, 0)
	require.NoError(t, err)
	require.Len(t, whole.GetUpstreams(), 2, "the others hold")
}

// Guards against a first leader after a restart of the whole core that publishes a list of the few hosts that have asked it so far:
// the gateways of the upstreams would move each time the list grows.
func TestFirstLeaderCollectsHosts(t *testing.T) {
	c := newTestCore()
	// An hour from now, so that the time to collect has not passed however slowly the test runs.
	leadership := replica.Leadership{Since: steady.Now().Add(time.Hour)}
	c.takeOver(leadership)
	require.Zero(t, c.takenOver.Load(), "the leader still collects hosts")
	leadership.Since = steady.Now().Add(-gatherTime)
	c.takeOver(leadership)
	require.Equal(t, int64(leadership.Since), c.takenOver.Load())

	c = newTestCore()
	c.inheritable.Set(&fleetpb.Directory{}, 1)
	leadership.Since = steady.Now().Add(time.Hour)
	c.takeOver(leadership)
	require.Equal(t, int64(leadership.Since), c.takenOver.Load(), "a leader that has followed a directory continues it at once")
}

// Guards against a core host that searches among the wrong hosts for the leader, asks one twice or asks itself.
func TestLeaderSearch(t *testing.T) {
	s := newLeaderSearch("self", []string{"self", "a", "b", "a"})
	s.name("b")
	require.Equal(t, []string{"b"}, s.next(), "the host that is taken for the leader is asked first")
	s.name("")
	require.Equal(t, []string{"a"}, s.next())
	s.name("new")
	s.name("b")
	require.Equal(t, []string{"new"}, s.next(), "a host that another one names is asked although it was not known")
	require.Empty(t, s.next())

	s = newLeaderSearch("self", []string{"a", "b"})
	require.Equal(t, []string{"a", "b"}, s.next(), "without a leader all are asked at once")
	require.Empty(t, s.next())
}

// Guards against a leader that is elected again and lists the hosts of the directory that it followed before its first election: hosts
// that ended since then would be gateways until they time out.
func TestLeaderElectedAgainListsNoEarlierHosts(t *testing.T) {
	followed := &fleetpb.Directory{Hosts: []*fleetpb.EntryHost{{Host: "ended", Zone: "z", Peer: "ended:1"}}}
	digest, err := directory.Digest(followed)
	require.NoError(t, err)
	c := newTestCore()
	c.inheritable.Set(followed, digest)
	now := ident.Time(time.Hour)
	c.inheritDirectory(now)
	_, whole, _, err := c.directoryUpdate(now, 0)
	require.NoError(t, err)
	require.Len(t, whole.GetHosts(), 1)
	now = now.Add(time.Hour)
	_, whole, _, err = c.directoryUpdate(now, 0)
	require.NoError(t, err)
	require.Empty(t, whole.GetHosts())

	now = now.Add(time.Second)
	c.inheritDirectory(now)
	_, whole, _, err = c.directoryUpdate(now, 0)
	require.NoError(t, err)
	require.Empty(t, whole.GetHosts())
}
