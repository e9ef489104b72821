package entry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/steady"
)

// Guards against a write that is refused while its primary is being replaced, and one that waits on although the new primary is known.
func TestWriteIsHeldUntilThereIsAPrimary(t *testing.T) {
	h := newHost(t, 0)
	without := proto.Clone(h.directory).(*fleetpb.Directory)
	without.Primaries = nil
	h.table.SetDirectory(without)
	c := h.connect("primary")
	c.send("QUERY 1 STORE a 1")
	changed := h.table.Changed("svc")
	h.table.SetDirectory(without)
	select {
	case <-changed:
		t.Fatal("nothing has changed")
	default:
	}
	h.table.SetDirectory(h.directory)
	<-changed
	c.awaitIdle()
}

// Guards against a read that waits for an upstream, or is refused, although another one can run it.
func TestReadMovesToAnotherUpstream(t *testing.T) {
	record := &recorder{}
	h := newHostWith(t, 0, record.open)
	c := h.connect("bounded")
	for _, id := range []string{"i-1", "i-2"} {
		pool := h.table.Pool("svc", "i-1")
		if id == "i-2" {
			pool = h.table.Pool("svc", "i-2")
		}
		// This host may send nothing to the upstream for now.
		pool.SetWarmup(steady.Now().Add(time.Hour), 0)
		c.send("QUERY " + id + " FETCH a")
		c.awaitIdle()
		pool.SetWarmup(steady.Now(), 0)
	}
	require.True(t, slices.Contains(record.recordedIDs(), "i-1"))
}
