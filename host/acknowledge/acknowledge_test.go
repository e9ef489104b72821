package acknowledge_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/session"
	"tamarackshunt.dev/host/acknowledge"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/keeper"
	"tamarackshunt.dev/host/peer"
)

var (
	id     = ident.Session{Service: "orders", Team: "brno", User: "ema"}
	record = ident.Position{Term: 1, LSN: 50}
	errNot = errors.New("not replicated")
)

// fleet gives the keeper a clock and a floor below all positions of the test.
type fleet struct{ *clock.Clock }

func (fleet) Services() []ident.Service { return []ident.Service{"orders"} }

func (fleet) Current(context.Context, ident.Service) (ident.Position, error) {
	return ident.Position{Term: 1, LSN: 1}, nil
}

// replicated answers each write with a position or an error.
type replicated struct {
	position ident.Position
	err      error
}

func (r replicated) WaitMajority(context.Context, ident.Service, ident.Position) (ident.Position, error) {
	return r.position, r.err
}

// Guards against an acknowledged write that a read of its session misses: recorded under a term whose replicas may lack it,
// not recorded by a holder, or not replicated.
func TestAcknowledge(t *testing.T) {
	self := session.Member{Host: "e1", Zone: "north"}
	// Nothing listens on port 1.
	silent := session.Member{Host: "e2", Zone: "south", Peer: "127.0.0.1:1"}
	moved := ident.Position{Term: 3, LSN: 50}
	tests := []struct {
		name        string
		replication replicated
		keepers     []session.Member
		recorded    ident.Position
		fails       bool
	}{
		{"same term", replicated{position: record}, []session.Member{self}, record, false},
		{"later term", replicated{position: moved}, []session.Member{self}, moved, false},
		{"silent holder", replicated{position: record}, []session.Member{self, silent}, record, true},
		{"silent holder and later term", replicated{position: moved}, []session.Member{self, silent}, moved, true},
		{"not replicated", replicated{err: errNot}, []session.Member{self}, record, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := clock.New()
			node := keeper.New(keeper.Options{Self: self, Fleet: fleet{c}, Peers: peer.New(peer.Options{Secret: "fleet-secret-0000"}), Zones: []ident.Zone{"north"}})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				node.Run(ctx)
			}()
			t.Cleanup(func() {
				cancel()
				<-ended
			})
			node.Adopt(session.Conditions{
				View: &session.View{Current: session.NewSet(1, tt.keepers), Settled: true}, Lease: ident.Time(time.Hour),
			})
			wait := 20 * time.Second
			if tt.fails {
				wait = 100 * time.Millisecond
			}
			call, stop := context.WithTimeout(ctx, wait)
			defer stop()
			err := acknowledge.New(c, tt.replication, node).Acknowledge(call, id, record)
			require.Equal(t, tt.fails, err != nil, "%v", err)
			require.Eventually(t, func() bool {
				position, err := node.Position(ctx, id)
				return err == nil && position == tt.recorded
			}, 20*time.Second, time.Millisecond)
		})
	}
}
