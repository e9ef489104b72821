package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/quorum"
	"tamarackshunt.dev/fleet/store"
	"tamarackshunt.dev/host/peer"
)

const (
	// inboxSize bounds the messages that wait for the loop; further ones are dropped, as the log tolerates.
	inboxSize = 1024
	// batchSize bounds the inputs of one step, and so the changes that share a sync.
	batchSize = 256
)

// Machine is the state that the log replicates. Calls to it never overlap.
type Machine interface {
	// Apply changes the state and returns the answer for the proposer. It must depend on nothing but the state and the
	// change. Membership changes and the empty entries of new leaders are not passed on.
	Apply(index uint64, change *fleetpb.Change) proto.Message
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with one that Snapshot returned.
	Restore(state []byte) error
}

// Options describe a replica.
type Options struct {
	Host ident.Host
	// Peer is the address under which the other members reach this one's Handler.
	Peer string
	// InitialHosts are the control hosts of the fleet's first start, with their peer addresses. The log is bootstrapped when
	// all of them run with empty data folders.
	InitialHosts []*fleetpb.ControlHost
	// Replacement keeps a host with an empty data folder from founding a log.
	Replacement bool
	// Folder is the data folder.
	Folder string
	// Peers carries messages to the other members, and admits theirs.
	Peers *peer.Network
	// Seed selects the random election timeouts.
	Seed    uint64
	Machine Machine
	// Clock is the host's logical time; nil means one that starts with the replica.
	Clock func() ident.Time
	// Bounds are quorum.DefaultBounds when zero.
	Bounds quorum.Bounds
}

// Leadership is what this member knows of the leader.
type Leadership struct {
	// Leader is the peer address of the leader, Host its host; empty when unknown.
	Leader string
	Host   ident.Host
	// Term of the log that this member is in.
	Term uint64
	// Leads is set when this member leads and its machine holds every change of earlier terms.
	Leads bool
	// Confirmed is set while no other member can lead, which holds until Until by the replica's clock.
	Confirmed bool
	Until     ident.Time
	// Since is when this member became the leader, and NoLeaderSince a time at or before it from which no earlier leader was
	// confirmed.
	Since         ident.Time
	NoLeaderSince ident.Time
	// Problem is why the leader does not take this host as a member, for operators.
	Problem string
}

// Control returns what this says about this host's own leadership, as the control leader takes it.
func (l Leadership) Control() control.Leadership {
	return control.Leadership{Leads: l.Leads, Since: l.Since, NoLeaderSince: l.NoLeaderSince, Until: l.Until}
}

// view is the state of the node that other goroutines read.
type view struct {
	status  quorum.Status
	members *fleetpb.Voters
}

// Replica is a running member. Its methods may be called from several goroutines.
type Replica struct {
	options Options
	clock   func() ident.Time
	store   *store.Store
	node    *quorum.Node

	messages  chan *fleetpb.Message
	proposals chan quorum.Input
	internal  chan quorum.Input
	writes    *queue[quorum.Persist]
	applies   *queue[quorum.Action]
	peers     *peers
	waiting   *waiting
	view      atomic.Pointer[view]
	applied   atomic.Uint64

	stop    chan struct{}
	done    chan struct{}
	stopped sync.Once
	failure error
	parts   sync.WaitGroup
}

// New opens the data folder and starts the member. Errors of package store report a folder that cannot be used.
func New(options Options) (*Replica, error) {
	if err := check(options); err != nil {
		return nil, trace.Wrap(err)
	}
	incarnation, err := randomIncarnation()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	disk, state, err := store.Open(store.Options{Folder: options.Folder, Host: options.Host, Incarnation: incarnation})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Replica{
		options:   options,
		clock:     options.Clock,
		store:     disk,
		messages:  make(chan *fleetpb.Message, inboxSize),
		proposals: make(chan quorum.Input, batchSize),
		internal:  make(chan quorum.Input, batchSize),
		writes:    newQueue[quorum.Persist](),
		applies:   newQueue[quorum.Action](),
		waiting:   newWaiting(),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	if r.clock == nil {
		start := time.Now()
		r.clock = func() ident.Time { return ident.Time(time.Since(start)) }
	}
	if err := r.start(state); err != nil {
		_ = disk.Close()
		return nil, trace.Wrap(err)
	}
	return r, nil
}

func check(options Options) error {
	switch {
	case options.Host == "" || options.Peer == "" || options.Folder == "":
		return trace.BadParameter("a replica needs a host, a peer address and a data folder")
	case len(options.InitialHosts) == 0:
		return trace.BadParameter("a replica needs the initial control hosts")
	case options.Peers == nil:
		return trace.BadParameter("a replica needs its peers")
	case options.Machine == nil:
		return trace.BadParameter("a replica needs a machine")
	}
	return nil
}

// randomIncarnation is not drawn from the seed: two empty folders of one host must never get the same member id.
func randomIncarnation() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, trace.Wrap(err)
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

func (r *Replica) start(state *store.State) error {
	hosts := make([]*fleetpb.Voter, 0, len(r.options.InitialHosts))
	for _, host := range r.options.InitialHosts {
		hosts = append(hosts, &fleetpb.Voter{Host: host.GetHost(), Peer: host.GetPeer()})
	}
	node, actions, err := quorum.New(r.clock(), quorum.Options{
		Self:         &fleetpb.Voter{Host: string(r.options.Host), Peer: r.options.Peer, Member: state.Member},
		InitialHosts: hosts,
		Replacement:  r.options.Replacement,
		Seed:         r.options.Seed,
		Bounds:       r.options.Bounds,
		HardState:    state.HardState,
		Snapshot:     state.Snapshot,
		Entries:      state.Entries,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	r.node = node
	r.peers = newPeers(r.options.Peers, r.stop, &r.parts)
	r.publish()
	r.parts.Add(3)
	go r.write()
	go r.applyAll()
	go r.loop(actions)
	go r.finish()
	return nil
}

// Propose appends a change and returns the machine's answer once it is applied here. It returns a NotLeaderError or a
// NotRunError when the change is never applied, and an UnknownOutcomeError when it may still be.
func (r *Replica) Propose(ctx context.Context, change *fleetpb.Change) (proto.Message, error) {
	return r.call(ctx, func(id uint64) quorum.Input { return quorum.Propose{ID: id, Change: change} })
}

// AddVoter adds a host, which joins as a learner when it starts with an empty data folder and votes once it has caught up.
// A host that lost its disk needs no call: it takes its own place.
func (r *Replica) AddVoter(ctx context.Context, host ident.Host, peer string) error {
	_, err := r.call(ctx, func(id uint64) quorum.Input { return quorum.AddLearner{ID: id, Host: string(host), Peer: peer} })
	return trace.Wrap(err)
}

// RemoveVoter removes a host that is not coming back.
func (r *Replica) RemoveVoter(ctx context.Context, host ident.Host) error {
	_, err := r.call(ctx, func(id uint64) quorum.Input { return quorum.Remove{ID: id, Host: string(host)} })
	return trace.Wrap(err)
}

func (r *Replica) call(ctx context.Context, input func(id uint64) quorum.Input) (proto.Message, error) {
	id, answer := r.waiting.open()
	select {
	case r.proposals <- input(id):
	case <-r.stop:
		r.waiting.drop(id)
		return nil, trace.Wrap(&NotRunError{&ClosedError{}})
	case <-ctx.Done():
		r.waiting.drop(id)
		return nil, trace.Wrap(&NotRunError{ctx.Err()})
	}
	select {
	case a := <-answer:
		return a.message, trace.Wrap(a.err)
	case <-r.done:
		return known(answer, &ClosedError{})
	case <-ctx.Done():
		return known(answer, ctx.Err())
	}
}

// known returns an answer that came at the same time as the end of the wait for it.
func known(answer <-chan answer, cause error) (proto.Message, error) {
	select {
	case a := <-answer:
		return a.message, trace.Wrap(a.err)
	default:
		return nil, trace.Wrap(&UnknownOutcomeError{cause})
	}
}

// Leadership returns what this member knows of the leader now.
func (r *Replica) Leadership() Leadership {
	status := r.view.Load().status
	leads := status.Role == quorum.Leader && status.Ready && r.applied.Load() >= status.First
	return Leadership{
		Leader:        status.Leader,
		Host:          status.LeaderHost,
		Term:          status.Term,
		Leads:         leads,
		Confirmed:     leads && r.clock() < status.Until,
		Until:         status.Until,
		Since:         status.Since,
		NoLeaderSince: status.NoLeaderSince,
		Problem:       status.Problem,
	}
}

// StalestVoter returns the voter that this leader has not heard from for the longest time, and when it last heard from it;
// nothing on a member that does not lead.
func (r *Replica) StalestVoter() (ident.Host, ident.Time) {
	status := r.view.Load().status
	return status.StalestVoter, status.StalestContact
}

// Members returns the voters and learners by this member's log, or nil before it has one.
func (r *Replica) Members() *fleetpb.Voters {
	return proto.CloneOf(r.view.Load().members)
}

// Now returns the time of the clock that Leadership counts by.
func (r *Replica) Now() ident.Time {
	return r.clock()
}

// Done is closed once the replica has stopped, by Close or by a failure.
func (r *Replica) Done() <-chan struct{} {
	return r.done
}

// Err returns why the replica stopped by itself, or nil; it is valid once Done is closed.
func (r *Replica) Err() error {
	<-r.done
	return r.failure
}

// Close hands over the leadership, unless ctx ends first, and stops the replica.
func (r *Replica) Close(ctx context.Context) error {
	r.handOver(ctx)
	r.halt(nil)
	return trace.Wrap(r.Err())
}

func (r *Replica) handOver(ctx context.Context) {
	if r.view.Load().status.Role != quorum.Leader {
		return
	}
	select {
	case r.internal <- quorum.Transfer{}:
	case <-r.stop:
		return
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(r.bounds().Tick)
	defer ticker.Stop()
	for r.view.Load().status.Role == quorum.Leader {
		select {
		case <-ticker.C:
		case <-r.stop:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (r *Replica) bounds() quorum.Bounds {
	if r.options.Bounds == (quorum.Bounds{}) {
		return quorum.DefaultBounds
	}
	return r.options.Bounds
}

// halt stops all parts; the first failure is kept.
func (r *Replica) halt(err error) {
	r.stopped.Do(func() {
		r.failure = err
		close(r.stop)
		r.writes.close()
		r.applies.close()
	})
}

// finish closes the store after all parts have ended.
func (r *Replica) finish() {
	<-r.stop
	r.parts.Wait()
	if err := r.store.Close(); err != nil && r.failure == nil {
		r.failure = trace.Wrap(err)
	}
	close(r.done)
}

// translate gives errors of the node the types of this package.
func translate(err error) error {
	var notLeader *quorum.NotLeaderError
	if errors.As(err, &notLeader) {
		return &NotLeaderError{Leader: notLeader.Leader}
	}
	return &NotRunError{err}
}
