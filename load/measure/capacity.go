package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/load/launch"
	"tamarackshunt.dev/load/scenario"
)

const (
	// observationTime is the time over which each size is observed: 20 syncs of each host.
	observationTime = 5 * time.Second
	syncInterval    = 250 * time.Millisecond
)

// dimension is one respect in which a fleet can grow.
type dimension struct {
	name  string
	sizes []int
	// grow grows the fleet from one size to the next.
	grow func(ctx context.Context, c *capacity, from, to int) error
}

var dimensions = []dimension{
	{"hosts in the control state", []int{25, 100, 200}, growHosts},
	{"services", []int{20, 80, 160}, growServices},
	{"teams", []int{50, 200, 400}, growTeams},
	{"keys", []int{50, 200, 400}, growKeys},
	{"idle callers of one host", []int{250, 1000, 2000}, growCallers},
	{"sessions that have written", []int{250, 1000, 2000}, growSessions},
	{"configuration changes", []int{20, 80, 160}, growChanges},
}

// capacity holds the state of the measurement of one dimension.
type capacity struct {
	*scenario.Experiment
	// host is the observed host, which is not the control leader.
	host   *launch.Host
	leader *launch.Host
	// ctx ends the simulated hosts and the idle callers of the dimension.
	ctx context.Context
}

// observation holds the traffic and the usage at one size.
type observation struct {
	size int
	// syncBytes is the number of bytes between host and leader for each sync, and growBytes the number of additional bytes that
	// the growth to this size took for each added unit.
	syncBytes float64
	growBytes float64
	leader    Usage
	host      Usage
	// leaderShare and hostShare are processor times as fractions of one core.
	leaderShare float64
	hostShare   float64
}

// Capacity measures the traffic, processor time and memory of a host and of the control leader at several sizes of each
// dimension, and prints the results and their slopes.
func Capacity(ctx context.Context, opts scenario.Options, out io.Writer) error {
	opts.Relays = true
	slopes := &Table{
		Title:  "Slopes between the smallest and the largest size, for each unit",
		Header: []string{"dimension", "bytes/sync", "bytes/host to add", "leader processor", "leader memory", "host processor", "host memory"},
		Note:   "A sync happens every 250 ms. Processor is in parts of a core. Three hosts, small deployment with the delays of its zones.",
	}
	for _, d := range dimensions {
		if err := measureDimension(ctx, opts, d, out, slopes); err != nil {
			return trace.Wrap(err, "%s", d.name)
		}
	}
	return trace.Wrap(slopes.Write(out))
}

func measureDimension(ctx context.Context, opts scenario.Options, d dimension, out io.Writer, slopes *Table) error {
	opts.Deployment = proto.Clone(opts.Deployment).(*fleetpb.Deployment)
	e, err := scenario.Start(ctx, opts)
	if err != nil {
		return err
	}
	defer e.CloseIgnoringError()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c := &capacity{Experiment: e, ctx: ctx}
	if c.leader, err = e.Fleet.Leader(ctx); err != nil {
		return err
	}
	for _, h := range e.Fleet.Hosts {
		if h != c.leader {
			c.host = h
		}
	}
	observations, err := c.observeSizes(ctx, d)
	if err != nil {
		return err
	}
	if err := printDimension(d, observations, out); err != nil {
		return err
	}
	addSlope(d, observations, slopes)
	return trace.NewAggregate(e.Close(), e.RemoveDir())
}

func (c *capacity) observeSizes(ctx context.Context, d dimension) ([]observation, error) {
	first, err := c.observe(ctx, 0)
	if err != nil {
		return nil, err
	}
	observations := []observation{first}
	for i, size := range d.sizes {
		from := 0
		if i > 0 {
			from = d.sizes[i-1]
		}
		before, began := c.controlBytes(), time.Now()
		if err := d.grow(ctx, c, from, size); err != nil {
			return nil, err
		}
		c.Pause(time.Second)
		idle := first.syncBytes * time.Since(began).Seconds() / syncInterval.Seconds()
		grown := float64(c.controlBytes()-before) - idle
		now, err := c.observe(ctx, size)
		if err != nil {
			return nil, err
		}
		now.growBytes = grown / float64(size-from)
		observations = append(observations, now)
	}
	return observations, nil
}

// controlBytes returns the payload bytes between the observed host and the control leader.
func (c *capacity) controlBytes() uint64 {
	sent, received := c.Fleet.Network.Link(c.host.Name, c.leader.Name).Bytes()
	return sent + received
}

func (c *capacity) observe(ctx context.Context, size int) (observation, error) {
	bytes, began := c.controlBytes(), time.Now()
	leader, err := ReadUsage(c.leader.PID())
	if err != nil {
		return observation{}, err
	}
	host, err := ReadUsage(c.host.PID())
	if err != nil {
		return observation{}, err
	}
	c.Pause(observationTime)
	elapsed := time.Since(began)
	o := observation{size: size, syncBytes: float64(c.controlBytes()-bytes) / (elapsed.Seconds() / syncInterval.Seconds())}
	if o.leader, err = ReadUsage(c.leader.PID()); err != nil {
		return o, err
	}
	if o.host, err = ReadUsage(c.host.PID()); err != nil {
		return o, err
	}
	o.leaderShare = o.leader.Sub(leader).CPU.Seconds() / elapsed.Seconds()
	o.hostShare = o.host.Sub(host).CPU.Seconds() / elapsed.Seconds()
	return o, ctx.Err()
}

func printDimension(d dimension, observations []observation, out io.Writer) error {
	t := &Table{Title: d.name, Header: []string{
		"size", "bytes/sync", "bytes/host to add one", "leader processor", "leader memory", "host processor", "host memory",
	}}
	for _, o := range observations {
		t.Add(o.size, fmt.Sprintf("%.0f", o.syncBytes), fmt.Sprintf("%.0f", o.growBytes), fmt.Sprintf("%.2f%%", percent*o.leaderShare),
			mebibytes(o.leader.RSS), fmt.Sprintf("%.2f%%", percent*o.hostShare), mebibytes(o.host.RSS))
	}
	return trace.Wrap(t.Write(out))
}

func mebibytes(n int64) string { return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20)) }

func addSlope(d dimension, observations []observation, slopes *Table) {
	first, last := observations[0], observations[len(observations)-1]
	units := float64(last.size - first.size)
	share := func(a, b float64) string { return fmt.Sprintf("%.5f%%", percent*(b-a)/units) }
	memory := func(a, b Usage) string { return fmt.Sprintf("%.1f KiB", float64(b.RSS-a.RSS)/units/1024) }
	slopes.Add(d.name, fmt.Sprintf("%.2f", (last.syncBytes-first.syncBytes)/units), fmt.Sprintf("%.0f", last.growBytes),
		share(first.leaderShare, last.leaderShare), memory(first.leader, last.leader),
		share(first.hostShare, last.hostShare), memory(first.host, last.host))
}
