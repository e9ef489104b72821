package member

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/key"
)

// format returns a view as text, in a fixed order.
func format(v *View) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "version %d text %d expires %d digest %d epoch %d\n", v.Version, v.TextVersion, v.Expires, v.Digest, v.Keepers.GetEpoch())
	for _, name := range slices.Sorted(maps.Keys(v.Groups)) {
		fmt.Fprintf(&b, "  group %s term %d primary %s\n", name, v.Groups[name].GetTerm(), v.Groups[name].GetPrimary())
	}
	for _, name := range slices.Sorted(maps.Keys(v.Routes)) {
		fmt.Fprintf(&b, "  route %s %+v\n", name, v.Routes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(v.ZonesOut)) {
		fmt.Fprintf(&b, "  zone %s out %v\n", name, v.ZonesOut[name])
	}
	for _, id := range []ident.KeyID{"k1", "k2"} {
		fmt.Fprintf(&b, "  key %s valid %v\n", id, v.Keys.Valid(id, "brno"))
	}
	for _, host := range v.Hosts {
		fmt.Fprintf(&b, "  host %s\n", host.GetHost())
	}
	for _, upstream := range []ident.Upstream{"o1", "o2"} {
		target := Target{"orders", upstream}
		fmt.Fprintf(&b, "  upstream %s announced %v in service %v allotted %d\n", upstream, v.Announced[target], v.InService(target), v.Allotments[target])
	}
	return b.String()
}

// Guards against a delta that removes entries it does not contain, a withdrawn key that stays valid, lists that are lost
// although their digest is unchanged, allotments that outlive the answer with them, and groups that outlive a full state.
func TestNext(t *testing.T) {
	text := func(out bool) *fleetpb.Text {
		return &fleetpb.Text{
			Zones:    []*fleetpb.Zone{{Name: "north", Out: out}},
			Services: []*fleetpb.Service{{Name: "orders", Routes: []*fleetpb.Route{{Name: "menu", Open: true, Readonly: true, Team: "brno"}}}},
		}
	}
	group := func(service string, term uint64, primary string) *fleetpb.Group {
		return &fleetpb.Group{Service: service, Term: term, Primary: primary, Members: []*fleetpb.Member{
			{Upstream: "o1", Zone: "north"}, {Upstream: "o2", Zone: "south"},
		}}
	}
	keyEntry := func(id string) *fleetpb.KeyEntry {
		return &fleetpb.KeyEntry{Id: id, Team: "brno", Hash: make([]byte, len(key.Hash{}))}
	}
	steps := []struct {
		name   string
		answer *fleetpb.SyncResponse
	}{
		{"full state", &fleetpb.SyncResponse{
			State: &fleetpb.State{
				Full: true, Version: 5, TextVersion: 2, Text: text(false), Keepers: &fleetpb.KeeperSet{Epoch: 3},
				Groups: []*fleetpb.Group{group("orders", 1, "o1"), group("dues", 4, "d1")},
				Keys:   []*fleetpb.KeyEntry{keyEntry("k1"), keyEntry("k2")},
			},
			Digest: 7, Hosts: []*fleetpb.Alive{{Host: "e1"}}, Upstreams: []string{"orders/o1", "orders/o2"},
			Allotments: []*fleetpb.Allotment{{Service: "orders", Upstream: "o1", Connections: 3}},
		}},
		{"delta with a new primary and a withdrawn key, lists left out", &fleetpb.SyncResponse{
			State:  &fleetpb.State{Version: 6, Groups: []*fleetpb.Group{group("orders", 2, "o2")}, Withdrawn: []string{"k1"}},
			Digest: 7, Allotments: []*fleetpb.Allotment{{Service: "orders", Upstream: "o2", Connections: 2}},
		}},
		{"zone out of service", &fleetpb.SyncResponse{State: &fleetpb.State{Version: 7, TextVersion: 3, Text: text(true)}, Digest: 7}},
		{"nothing new", &fleetpb.SyncResponse{Digest: 7}},
		{"an upstream is silent", &fleetpb.SyncResponse{Digest: 8, Upstreams: []string{"orders/o1"}}},
		{"full state without a group and without keys", &fleetpb.SyncResponse{
			State:  &fleetpb.State{Full: true, Version: 9, TextVersion: 3, Text: text(false), Groups: []*fleetpb.Group{group("orders", 2, "o2")}},
			Digest: 8,
		}},
	}
	view := &View{Keys: key.NewTable()}
	var all bytes.Buffer
	for i, step := range steps {
		before := *view
		shown := format(&View{Groups: before.Groups, Announced: before.Announced, ZonesOut: before.ZonesOut, Keys: key.NewTable()})
		next := view.next(step.answer, ident.Time(100*i), ident.Time(100*(i+1)))
		require.Equal(t, shown, format(&View{Groups: view.Groups, Announced: view.Announced, ZonesOut: view.ZonesOut, Keys: key.NewTable()}),
			"the previous view was changed, although others may read it")
		view = next
		fmt.Fprintf(&all, "%s\n  %s", step.name, format(view))
	}
	goldie.New(t).Assert(t, "next", all.Bytes())
	require.True(t, view.Valid(599))
	require.False(t, view.Valid(600), "valid at the end of the lease")
}

// Guards against transactions that go on in an availability zone out of service, since each new text begins the time anew.
func TestOutFor(t *testing.T) {
	target := Target{"orders", "o1"}
	view := &View{Keys: key.NewTable()}
	text := func(at ident.Time, out bool) {
		view = view.next(&fleetpb.SyncResponse{State: &fleetpb.State{
			Text:   &fleetpb.Text{Zones: []*fleetpb.Zone{{Name: "north", Out: out}}},
			Groups: []*fleetpb.Group{{Service: "orders", Members: []*fleetpb.Member{{Upstream: "o1", Zone: "north"}}}},
		}}, at, at)
	}
	for _, step := range []struct {
		at   ident.Time
		out  bool
		want time.Duration
	}{{100, false, 0}, {200, true, 0}, {500, true, 300}, {600, false, 0}, {700, true, 0}, {900, true, 200}} {
		text(step.at, step.out)
		require.Equal(t, step.want, view.OutFor(step.at, target), "at %d", step.at)
	}
	require.Zero(t, view.OutFor(900, Target{"orders", "gone"}))
}
