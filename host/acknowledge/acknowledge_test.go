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
	id               = ident.Session{Service: "orders", Team: "brno", User: "ema"}
	record           = ident.Position{Term: 1, LSN: 50}
	errNotReplicated = errors.New("not replicated")
)

// fleet provides the keeper with a clock and with a floor, its position for sessions without a record, that is below all
// positions of the test.
type fleet struct{ *clock.Clock }

func (fleet) Services() []ident.Service { return []ident.Service{"orders"} }

func (fleet) Current(context.Context, ident.Service) (ident.Position, error) {
	return ident.Position{Term: 1, LSN: 1}, nil
}

// fixedReplication ends each wait at once, with a position or an error.
type fixedReplication struct {
	position ident.Position
	err      error
}

func (r fixedReplication) WaitMajority(context.Context, ident.Service, ident.Position) (ident.Position, error) {
	return r.position, r.err
}

// Guards against an acknowledged write that a later read of its session may miss: its position was recorded under a term whose
// replicas may lack the write, or was not recorded by a holder, or the write was not replicated.
func TestAcknowledge(t *testing.T) {
	self := session.Member{Host: "e1", Zone: "north"}
	// Nothing listens on port 1.
	unresponsive := session.Member{Host: "e2", Zone: "south", Peer: "127.0.0.1:1"}
	laterTerm := ident.Position{Term: 3, LSN: 50}
	tests := []struct {
		name        string
		replication fixedReplication
		keepers     []session.Member
		recorded    ident.Position
		fails       bool
	}{
		{"same term", fixedReplication{position: record}, []session.Member{self}, record, false},
		{"later term", fixedReplication{position: laterTerm}, []session.Member{self}, laterTerm, false},
		{"unresponsive holder", fixedReplication{position: record}, []session.Member{self, unresponsive}, record, true},
		{"unresponsive holder and later term", fixedReplication{position: laterTerm}, []session.Member{self, unresponsive}, laterTerm, true},
		{"not replicated", fixedReplication{err: errNotReplicated}, []session.Member{self}, record, true},
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
			callCtx, stop := context.WithTimeout(ctx, wait)
			defer stop()
			err := acknowledge.New(c, tt.replication, node).Acknowledge(callCtx, id, record)
			require.Equal(t, tt.fails, err != nil, "%v", err)
			require.Eventually(t, func() bool {
				position, err := node.Position(ctx, id)
				return err == nil && position == tt.recorded
			}, 20*time.Second, time.Millisecond)
		})
	}
}
