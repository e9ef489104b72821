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
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/quorum"
	"tamarackshunt.dev/fleet/store"
	"tamarackshunt.dev/host/peer"
)

const (
	// inboxSize is the maximum number of messages queued for the loop. Further messages are dropped, which the log tolerates.
	inboxSize = 1024
	// batchSize is the maximum number of inputs of one step, and so of changes that share one sync to disk.
	batchSize = 256
)

// Machine is the state machine that the log replicates. Its methods are never called concurrently.
type Machine interface {
	// Apply applies the change to the state and returns the answer for the proposer. It must be deterministic: the result
	// may depend only on the state and the change. Membership changes and the empty entries of new leaders are not passed to it.
	Apply(index uint64, change *fleetpb.Change) proto.Message
	// Snapshot returns the complete state, serialized.
	Snapshot() ([]byte, error)
	// Restore replaces the state with the result of an earlier Snapshot.
	Restore(state []byte) error
}

// Options configure a replica.
type Options struct {
	Host ident.Host
	// Peer is the address at which the other members reach this replica's Handler.
	Peer string
	// Zone and Region are where the host runs. A voter policy in Bounds spreads the voters over them.
	Zone   ident.Zone
	Region ident.Region
	// InitialHosts are the control hosts of the fleet's first start, with their peer addresses. The log is bootstrapped when
	// all of them run with empty data folders.
	InitialHosts []*fleetpb.ControlHost
	// Replacement prevents a host with an empty data folder from bootstrapping a log.
	Replacement bool
	// Folder is the data folder.
	Folder string
	// Peers is used to call the other members and to authenticate their calls.
	Peers *peer.Network
	// Seed selects the random election timeouts.
	Seed    uint64
	Machine Machine
	// Clock returns the host's logical time; nil means a clock that starts with the replica.
	Clock func() ident.Time
	// Bounds defaults to quorum.DefaultBounds.
	Bounds quorum.Bounds
}

// Leadership describes the leader as this member knows it.
type Leadership struct {
	// Leader is the peer address of the leader and Host its host; both are empty when unknown.
	Leader string
	Host   ident.Host
	// Term is the log's term at this member.
	Term uint64
	// Leads is set when this member leads and its machine has applied every change of earlier terms.
	Leads bool
	// Confirmed is set while this member leads and no other member can. That holds until Until, by the replica's clock.
	Confirmed bool
	Until     ident.Time
	// Since is when this member became the leader. NoLeaderSince is at or before Since; no earlier leader was confirmed from
	// then on.
	Since         ident.Time
	NoLeaderSince ident.Time
	// LastContact is when another leader last contacted this member, or when it started with a log.
	LastContact ident.Time
	// Problem explains to operators why the leader does not accept this host as a member.
	Problem string
}

// Control returns this host's own leadership in the form that package control uses.
func (l Leadership) Control() control.Leadership {
	return control.Leadership{Leads: l.Leads, Since: l.Since, NoLeaderSince: l.NoLeaderSince, Until: l.Until}
}

// view is the part of the node's state that other goroutines read.
type view struct {
	status  quorum.Status
	members *fleetpb.Voters
}

// Replica is a running member of the control log. Its methods are safe for concurrent use.
type Replica struct {
	options Options
	clock   func() ident.Time
	store   *store.Store
	member  string
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

	stop       chan struct{}
	done       chan struct{}
	stopped    sync.Once
	failure    error
	goroutines sync.WaitGroup
}

// New opens the data folder and starts the member. It returns errors of package store when the folder cannot be used.
func New(options Options) (*Replica, error) {
	if err := validate(options); err != nil {
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

func validate(options Options) error {
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

// randomIncarnation returns a random number that does not depend on the seed, since two empty data folders of one host must
// never get the same member id.
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
		Self:         r.self(state.Member),
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
	r.node, r.member = node, state.Member
	klog.InfoS("Control log opened", "host", r.options.Host, "member", state.Member, "created", state.Created,
		"term", state.HardState.GetTerm(), "snapshot", state.Snapshot.GetIndex(), "entries", len(state.Entries))
	r.peers = newPeers(r.options.Peers, r.stop, &r.goroutines)
	r.publish()
	r.goroutines.Add(3)
	go r.writeLoop()
	go r.applyLoop()
	go r.loop(actions)
	go r.finish()
	return nil
}

// self returns this member as the log contains it.
func (r *Replica) self(member string) *fleetpb.Voter {
	return &fleetpb.Voter{
		Host: string(r.options.Host), Peer: r.options.Peer, Member: member, Zone: string(r.options.Zone), Region: string(r.options.Region),
	}
}

// Propose appends a change to the log and returns the machine's answer once the change is applied on this host. It returns a
// NotLeaderError or a NotRunError if the change is never applied, and an UnknownOutcomeError if it may still be applied. A change
// that can't be serialized is not run: a log that could not store it would stop this host, and the next leader after it.
func (r *Replica) Propose(ctx context.Context, change *fleetpb.Change) (proto.Message, error) {
	return r.ProposeUntil(ctx, change, 0)
}

// ProposeUntil is like Propose for a change that must not be appended after a time of the replica's clock; 0 means any time. The end of ctx
// is no such limit: a process that was suspended may notice it only after it has appended the change.
func (r *Replica) ProposeUntil(ctx context.Context, change *fleetpb.Change, until ident.Time) (proto.Message, error) {
	if _, err := proto.Marshal(change); err != nil {
		return nil, trace.Wrap(&NotRunError{err})
	}
	return r.call(ctx, func(id uint64) quorum.Input { return quorum.Propose{ID: id, Change: change, Until: until} })
}

// AddLearner adds a host, which joins as a learner when it starts with an empty data folder. A host that lost its disk need not
// be added again, as it rejoins in place of its former member.
func (r *Replica) AddLearner(ctx context.Context, host ident.Host, peer string, zone ident.Zone, region ident.Region) error {
	_, err := r.call(ctx, func(id uint64) quorum.Input {
		return quorum.AddLearner{ID: id, Host: string(host), Peer: peer, Zone: string(zone), Region: string(region)}
	})
	return trace.Wrap(err)
}

// SetContacts names the peer addresses that this host asks for admission while it has no log, besides Options.InitialHosts.
func (r *Replica) SetContacts(peers []string) {
	r.submit(quorum.Contacts{Peers: peers})
}

// call passes an input to the loop and waits for its outcome.
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
		return answerOrUnknown(answer, &ClosedError{})
	case <-ctx.Done():
		return answerOrUnknown(answer, ctx.Err())
	}
}

// answerOrUnknown returns the answer if it arrived just as the wait for it ended, and an UnknownOutcomeError otherwise.
func answerOrUnknown(answer <-chan answer, cause error) (proto.Message, error) {
	select {
	case a := <-answer:
		return a.message, trace.Wrap(a.err)
	default:
		return nil, trace.Wrap(&UnknownOutcomeError{cause})
	}
}

// Leadership returns the leader as this member knows it now.
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
		LastContact:   status.LeaderContact,
		Problem:       status.Problem,
	}
}

// Members returns the voters and learners according to this member's log, or nil while it has no log.
func (r *Replica) Members() *fleetpb.Voters {
	return proto.CloneOf(r.view.Load().members)
}

// Member returns this host's member id.
func (r *Replica) Member() string {
	return r.member
}

// Done returns a channel that is closed once the replica has stopped, by Close or by a failure.
func (r *Replica) Done() <-chan struct{} {
	return r.done
}

// Err waits for the replica to stop, and returns the failure that stopped it, or nil.
func (r *Replica) Err() error {
	<-r.done
	return r.failure
}

// Close transfers the leadership to another member, unless ctx ends first, and stops the replica.
func (r *Replica) Close(ctx context.Context) error {
	r.transferLeadership(ctx)
	r.halt(nil)
	return trace.Wrap(r.Err())
}

func (r *Replica) transferLeadership(ctx context.Context) {
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

// halt stops all goroutines. Only the first call has an effect, so the first failure is kept.
func (r *Replica) halt(err error) {
	r.stopped.Do(func() {
		r.failure = err
		close(r.stop)
		r.writes.close()
		r.applies.close()
	})
}

// finish closes the store after all goroutines have ended.
func (r *Replica) finish() {
	<-r.stop
	r.goroutines.Wait()
	if err := r.store.Close(); err != nil && r.failure == nil {
		r.failure = trace.Wrap(err)
	}
	close(r.done)
}

// translate converts errors of the node to the error types of this package.
func translate(err error) error {
	var notLeader *quorum.NotLeaderError
	if errors.As(err, &notLeader) {
		return &NotLeaderError{Leader: notLeader.Leader}
	}
	return &NotRunError{err}
}
