package pool_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/pool"
)

// Guards invariants 3 (transactions of different callers never mix) and 13 (a shutdown interrupts no request): a
// connection goes to one caller at a time and only when it is clean, and a connection in use is not closed.
func TestPooledConnections(t *testing.T) {
	var out bytes.Buffer
	p := pool.New(pool.Options{})
	now := ident.Time(0)
	next := func(what string, waiting int) []pool.Action {
		actions := p.Next(now, waiting)
		fmt.Fprintf(&out, "%6d ms  %-40s waiting %d:", now/ms, what, waiting)
		for _, a := range actions {
			fmt.Fprintf(&out, " %T%v", a, a)
		}
		fmt.Fprintf(&out, "; %v\n", p.Count())
		now += 10 * ms
		return actions
	}
	require.Empty(t, next("nothing is allotted", 2))
	p.Allot(3)
	next("3 are allotted: open for work and ahead", 1)
	p.Opened(now, 1)
	next("the first is open", 1)
	p.Opened(now, 2)
	p.Began(now, 1)
	next("transaction; another caller", 1)
	p.Released(now, 2, true)
	next("released with session state", 1)
	p.Cleaned(now, 2)
	p.Opened(now, 3)
	next("cleaned", 1)
	next("all in use", 1)
	p.Allot(1)
	next("the allotment shrinks", 0)
	p.Released(now, 1, false)
	next("the transaction has ended", 0)
	p.Closed(now, 1)
	p.Released(now, 2, false)
	p.Released(now, 3, false)
	next("the others are released", 0)
	p.Closed(now, 3)
	require.Equal(t, map[pool.State]int{pool.StateIdle: 1}, p.Count())
	now += 31 * 60 * 1000 * ms
	next("too old", 0)
	p.Closed(now, 2)
	next("a new one instead", 0)
	p.Closed(now, 4)
	require.Empty(t, next("opening failed", 1))
	now = p.Due(now)
	next("after the pause", 1)
	p.Opened(now, 5)
	next("open again", 1)
	p.Leave()
	require.Empty(t, next("the host leaves", 1))
	p.Released(now, 5, false)
	next("the last caller is done", 0)
	goldie.New(t).Assert(t, "connections", out.Bytes())
}

// Guards against unneeded connections that are never released to other hosts, and against a Due that makes the user call
// Next without end.
func TestUnneededConnectionsAreClosed(t *testing.T) {
	p := pool.New(pool.Options{Idle: time.Second})
	p.Allot(8)
	for _, a := range p.Next(0, 4) {
		p.Opened(0, a.(pool.Open).ID)
	}
	require.Equal(t, uint32(5), p.Demand(0, 4).GetWanted())
	now := p.Due(0)
	require.Equal(t, 1000*ms, now)
	for _, a := range p.Next(now, 0) {
		p.Closed(now, a.(pool.Close).ID)
	}
	require.Equal(t, map[pool.State]int{pool.StateIdle: 1}, p.Count())
	require.Equal(t, ident.Time(pool.DefaultMaxAge), p.Due(now))
	require.Equal(t, uint32(1), p.Demand(now+60_000*ms, 0).GetWanted())
}
