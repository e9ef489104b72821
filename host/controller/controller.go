package controller

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/replica"
)

const (
	// tickInterval is the time between two checks of leases and leadership.
	tickInterval = 50 * time.Millisecond
	// proposeTimeout bounds a proposal that results from a decision of the leader itself.
	proposeTimeout = time.Second
	// maxPendingProposals bounds the queue of such proposals; further ones are dropped and made again later.
	maxPendingProposals = 64
)

var (
	proposals        = metrics.NewCounter(`tamarack_control_proposals_total`)
	proposalsFailed  = metrics.NewCounter(`tamarack_control_proposals_failed_total`)
	proposalsDropped = metrics.NewCounter(`tamarack_control_proposals_dropped_total`)
)

// Options configure a Controller.
type Options struct {
	Host    ident.Host
	Secrets *fleetpb.Secrets
	// Clock returns the logical time, which the control log uses too.
	Clock func() ident.Time
	Parts Parts
	// Peers sends calls to other control hosts and authenticates the calls of hosts.
	Peers *peer.Network
}

// Controller runs the control role of one host. Its methods are safe for concurrent use.
type Controller struct {
	options Options

	mu      sync.Mutex
	machine *control.Machine
	leader  *control.Leader
	log     Log
	// leadership is the value that was last passed to the parts.
	leadership control.Leadership

	changes chan *fleetpb.Change
	stop    chan struct{}
	done    chan struct{}
	stopped sync.Once
	started bool
}

// New returns a Controller, which does not lead before Start sets its control log.
func New(options Options) (*Controller, error) {
	switch {
	case options.Host == "":
		return nil, trace.BadParameter("a controller needs a host")
	case options.Secrets.GetFleet() == "" || options.Secrets.GetOperator() == "" || options.Secrets.GetAnnounce() == "":
		return nil, trace.BadParameter("a controller needs the fleet secret, the operator secret and the announcement key")
	case options.Peers == nil:
		return nil, trace.BadParameter("a controller needs its peers")
	case options.Clock == nil:
		return nil, trace.BadParameter("a controller needs a clock")
	}
	machine := control.NewMachine()
	return &Controller{
		options: options,
		machine: machine,
		leader:  control.NewLeader(control.LeaderOptions{Host: options.Host, Machine: machine, Meter: burn.New()}),
		changes: make(chan *fleetpb.Change, maxPendingProposals),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}, nil
}

// Start sets the control log and leads whenever the log reports this host as the leader. It must be called once.
func (c *Controller) Start(log Log) {
	c.mu.Lock()
	c.log = log
	c.started = true
	c.mu.Unlock()
	var parts sync.WaitGroup
	parts.Go(c.runTicks)
	parts.Go(c.runProposals)
	go func() {
		parts.Wait()
		close(c.done)
	}()
}

// Close stops the Controller; the control log is closed separately, before or after it.
func (c *Controller) Close() {
	c.stopped.Do(func() { close(c.stop) })
	c.mu.Lock()
	started := c.started
	c.mu.Unlock()
	if started {
		<-c.done
	}
}

// Machine returns the state machine that the control log replicates.
func (c *Controller) Machine() *Machine {
	return &Machine{c}
}

// Propose proposes a change on behalf of a part and returns the state machine's answer.
func (c *Controller) Propose(ctx context.Context, change *fleetpb.Change) (proto.Message, error) {
	c.mu.Lock()
	log := c.log
	c.mu.Unlock()
	if log == nil {
		return nil, trace.Wrap(&control.NotLeaderError{})
	}
	proposals.Inc()
	answer, err := log.Propose(ctx, change)
	if err != nil {
		proposalsFailed.Inc()
	}
	return answer, trace.Wrap(err)
}

func (c *Controller) runTicks() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.mu.Lock()
			now, _ := c.refreshLeadership()
			c.execute(c.leader.Tick(now))
			c.mu.Unlock()
		case <-c.stop:
			return
		}
	}
}

// runProposals proposes the changes that the leader itself decided on, one after another.
func (c *Controller) runProposals() {
	for {
		select {
		case change := <-c.changes:
			ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
			if _, err := c.Propose(ctx, change); err != nil {
				klog.V(1).InfoS("Proposal failed", "change", change, "err", err)
			}
			cancel()
		case <-c.stop:
			return
		}
	}
}

// refreshLeadership reads the leadership from the log, notifies the parts if it changed, and returns it with the time.
// The caller holds the lock.
func (c *Controller) refreshLeadership() (ident.Time, replica.Leadership) {
	now := c.options.Clock()
	var leadership replica.Leadership
	if c.log != nil {
		leadership = c.log.Leadership()
	}
	own := leadership.Control()
	c.execute(c.leader.SetLeadership(now, own))
	changed := own.Leads != c.leadership.Leads || own.Leads && own.Since != c.leadership.Since
	c.leadership = own
	if changed {
		for _, part := range c.options.Parts.all() {
			part.SetLeadership(now, own)
		}
		c.publishState(now)
	}
	return now, leadership
}

// publishState passes the current state to the parts. The caller holds the lock.
func (c *Controller) publishState(now ident.Time) {
	text, groups := c.machine.Text(), c.machine.Groups()
	for _, part := range c.options.Parts.all() {
		part.SetState(now, text, groups)
	}
}

// execute executes the actions of the leader. The caller holds the lock.
func (c *Controller) execute(actions []control.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.Propose:
			select {
			case c.changes <- a.Change:
			default:
				proposalsDropped.Inc()
			}
		case control.Record:
			klog.InfoS("Control event", "kind", a.Event.Kind, "subject", a.Event.Subject, "cause", a.Event.Cause)
		}
	}
}

// Machine is the replicated state machine of a Controller, to which the control log applies changes.
type Machine struct {
	controller *Controller
}

// Apply applies a committed change and returns the answer for its proposer.
func (m *Machine) Apply(index uint64, change *fleetpb.Change) proto.Message {
	c := m.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	before := c.machine.Version()
	answer := c.machine.Apply(index, change)
	c.execute(c.leader.Applied(now, change, answer))
	if c.machine.Version() != before {
		c.publishState(now)
	}
	return answer
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.controller.mu.Lock()
	defer m.controller.mu.Unlock()
	data, err := m.controller.machine.Snapshot()
	return data, trace.Wrap(err)
}

// Restore replaces the state with one that Snapshot returned.
func (m *Machine) Restore(state []byte) error {
	c := m.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.machine.Restore(state); err != nil {
		return trace.Wrap(err)
	}
	now := c.options.Clock()
	c.execute(c.leader.Restored(now))
	c.publishState(now)
	return nil
}
