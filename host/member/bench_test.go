package member_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
)

// counted counts the bytes of a connection in both directions.
type counted struct {
	net.Conn
	total *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.Add(int64(n))
	return n, err
}

// leaseOnly answers every sync with a lease and an unchanged state.
type leaseOnly struct{ fleetpb.Control }

func (leaseOnly) Sync(context.Context, *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
	return &fleetpb.SyncResponse{State: &fleetpb.State{Version: 9}, LeaseMs: 2000, Digest: 7}, nil
}

// BenchmarkObservations compares the traffic of observations that are part of a sync with that of a separate periodic report.
func BenchmarkObservations(b *testing.B) {
	for _, groups := range []int{1, 6, 24} {
		b.Run(fmt.Sprintf("groups=%d/piggybacked", groups), func(b *testing.B) { benchmarkSyncs(b, groups, false) })
		b.Run(fmt.Sprintf("groups=%d/separate", groups), func(b *testing.B) { benchmarkSyncs(b, groups, true) })
	}
}

func benchmarkSyncs(b *testing.B, groups int, separate bool) {
	const syncsPerSecond = 4
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: fleetpb.NewControlServer(leaseOnly{}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var total atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		return counted{conn, &total}, err
	}}
	client := fleetpb.NewControlProtobufClient("http://"+listener.Addr().String(), &http.Client{Transport: transport})
	b.ResetTimer()
	for range b.N {
		sync := &fleetpb.SyncRequest{Host: "h1", Incarnation: 1, Zone: "north", Region: "moravia", Peer: "127.0.0.1:7001", Known: 9, Digest: 7}
		report := &fleetpb.SyncRequest{Host: "h1"}
		if !separate {
			report = sync
		}
		report.Observed = observations(groups)
		call(b, client, sync)
		if separate {
			call(b, client, report)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(total.Load())/float64(b.N)*syncsPerSecond, "B/s")
}

func call(b *testing.B, client fleetpb.Control, request *fleetpb.SyncRequest) {
	if _, err := client.Sync(b.Context(), request); err != nil {
		b.Fatal(err)
	}
}

func observations(groups int) []*fleetpb.Observed {
	var list []*fleetpb.Observed
	for g := range groups {
		for m := range 3 {
			list = append(list, &fleetpb.Observed{
				Service: fmt.Sprintf("service-%d", g), Upstream: fmt.Sprintf("service-%d-%d", g, m), SilentMs: 40,
				Primary: m == 0, Following: m > 0, Term: 3, Position: &fleetpb.Position{Term: 3, Lsn: 123456},
			})
		}
	}
	return list
}
