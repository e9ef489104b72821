package routing

import (
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/gateway"
)

// Guards against an entry of the directory, from whichever writer, that ends the process which follows the directory.
func FuzzDirectory(f *testing.F) {
	for _, a := range []*fleetpb.Announcement{
		{Upstream: "a", Service: "svc", Address: "127.0.0.1:65536", Zone: "z", Capacity: 1 << 31, WarmupMs: 1<<32 - 1, Born: -1, Seq: 1<<64 - 1},
		{Upstream: "", Service: "svc"},
		{Service: "other", Leaving: true, Gone: true},
	} {
		data, err := proto.Marshal(&fleetpb.Directory{
			Upstreams: []*fleetpb.Announcement{a, a}, Primaries: []*fleetpb.PrimaryView{{Service: "svc", Upstream: a.GetUpstream()}, {}},
			Hosts: []*fleetpb.EntryHost{{}, {Host: "h", Zone: "z"}}, Evacuated: []string{"", "z"},
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d := &fleetpb.Directory{}
		if proto.Unmarshal(data, d) != nil {
			return
		}
		table := newTestTable(t, func(*fleetpb.Directory) {})
		table.options.Gateways = gateway.NewClient(http.DefaultClient, func(address string) string { return "http://" + address })
		table.SetDirectory(d)
		table.SetDirectory(d)
		route := table.Catalog().Routes[0]
		if pool := table.Primary(&route, nil); pool != nil {
			_ = table.Executor(pool, &route, nil)
		}
		_ = table.Candidates(&route, nil, ident.Position{})
		_ = table.Reports(steady.Now())
		if _, err := catalog.New(table.Catalog().Description); err != nil {
			t.Fatal("the configuration has changed")
		}
	})
}
