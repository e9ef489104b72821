package session

import (
	"slices"
	"sync"
	"sync/atomic"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Limits of a keeper.
const (
	// DefaultSessions is the default limit of entries for each service. At 60 to 85 bytes each (BenchmarkTableBytes) a full
	// table takes about 20 MB, so several services fit into 128 MB on a host.
	DefaultSessions = 1 << 18
	// maxHistory is the number of epochs that a keeper stores while it cannot read a floor. Beyond it the oldest epochs are
	// dropped, so the keeper loses its authority until it has read a floor; the limit bounds the memory.
	maxHistory = 16
)

// KeeperOptions configure a keeper.
type KeeperOptions struct {
	// Self is this host with the incarnation of its current start.
	Self Member
	// MaxSessions is the maximum number of entries for each service; 0 means DefaultSessions.
	MaxSessions int
}

// Keeper records the positions of sessions and returns them for the sessions for which it is authoritative. It is safe for
// concurrent use.
type Keeper struct {
	self        Member
	maxSessions int
	lease       atomic.Int64
	tables      sync.Map // ident.Service to *Table
	// mu serializes changes of state; readers load the current value without it.
	mu    sync.Mutex
	state atomic.Pointer[keeperState]
}

// keeperState is immutable and replaced as a whole, so that a reader sees a consistent epoch, history and floors.
type keeperState struct {
	view *View
	// history contains the sets of consecutive epochs up to the adopted one, oldest first.
	history []*Set
	// floors contains the epoch for which each service's floor was read.
	floors map[ident.Service]ident.Epoch
	// started is set by the first Adopt, and earlierStarts contains the other starts of this host that its view named.
	started       bool
	earlierStarts []Member
}

// NewKeeper returns a Keeper without a lease, an epoch or floors, which is not authoritative for any session.
func NewKeeper(opts KeeperOptions) *Keeper {
	k := &Keeper{self: opts.Self, maxSessions: opts.MaxSessions}
	if k.maxSessions == 0 {
		k.maxSessions = DefaultSessions
	}
	k.state.Store(&keeperState{floors: map[ident.Service]ident.Epoch{}})
	return k
}

// SetLease sets the time until which the keeper may answer.
func (k *Keeper) SetLease(until ident.Time) {
	k.lease.Store(int64(until))
}

// Adopt applies a view of the keeper epochs; a view with an older epoch than the adopted one is ignored. The host reports the
// epoch as adopted only after this call, and the control leader settles the epoch only after that report.
func (k *Keeper) Adopt(view *View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := *k.state.Load()
	if !next.started {
		next.started, next.earlierStarts = true, view.otherStarts(k.self)
	}
	switch {
	case view == nil || view.Epoch() < next.view.Epoch():
	case view.Epoch() > next.view.Epoch():
		next.view, next.history = view, extendHistory(next.history, view)
	case !next.view.Settled:
		next.view = view
	}
	k.state.Store(&next)
}

// extendHistory appends the sets of a newer view. If an epoch in between is missing, the keeper cannot prove that it was a
// holder throughout, so the history restarts with the newer sets.
func extendHistory(history []*Set, view *View) []*Set {
	next := slices.Clone(history)
	for _, set := range []*Set{view.Previous, view.Current} {
		if set == nil {
			continue
		}
		if n := len(next); n > 0 {
			if set.Epoch <= next[n-1].Epoch {
				continue
			}
			if set.Epoch != next[n-1].Epoch+1 {
				next = next[:0:0]
			}
		}
		next = append(next, set)
	}
	if len(next) > maxHistory {
		next = next[len(next)-maxHistory:]
	}
	return next
}

// MissingFloors returns the adopted epoch and the services whose floor must be read from the primary for it. It returns none
// while the epoch is not settled or this host is not one of its keepers.
func (k *Keeper) MissingFloors(services []ident.Service) (ident.Epoch, []ident.Service) {
	state := k.state.Load()
	if state.view == nil || !state.view.Settled || !state.view.Current.contains(k.self) {
		return 0, nil
	}
	epoch := state.view.Epoch()
	var missing []ident.Service
	for _, service := range services {
		if state.floors[service] < epoch {
			missing = append(missing, service)
		}
	}
	return epoch, missing
}

func (s *Set) contains(self Member) bool {
	for _, z := range s.zones {
		if slices.ContainsFunc(z.members, self.same) {
			return true
		}
	}
	return false
}

// SetFloor sets the floor of a service to a position of its primary. The position must have been requested after MissingFloors
// returned the epoch, and confirmed under the primary's current term.
func (k *Keeper) SetFloor(service ident.Service, epoch ident.Epoch, position ident.Position) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.state.Load()
	if epoch <= old.floors[service] || epoch > old.view.Epoch() {
		return
	}
	// The table is raised before the state is stored: a reader that sees the floor's epoch must also see the floor.
	k.table(service).Raise(position)
	floors := make(map[ident.Service]ident.Epoch, len(old.floors)+1)
	oldest := epoch
	for s, e := range old.floors {
		floors[s] = e
		if s != service {
			oldest = min(oldest, e)
		}
	}
	floors[service] = epoch
	history := old.history
	for len(history) > 1 && history[0].Epoch < oldest {
		history = history[1:]
	}
	next := *old
	next.history, next.floors = history, floors
	k.state.Store(&next)
}

// Put records a position if this keeper may hold the session. Recording is always safe; the response states whether the writer
// may count this holder.
func (k *Keeper) Put(request *fleetpb.PutRequest) *fleetpb.PutResponse {
	state := k.state.Load()
	session := Name(request.GetSession())
	response := &fleetpb.PutResponse{Epoch: uint64(state.view.Epoch())}
	if !k.accepts(state, ident.Epoch(request.GetEpoch()), Hash(session)) {
		return response
	}
	k.table(session.Service).Put(Hash(session), PositionOf(request.GetPosition()))
	response.Recorded = true
	return response
}

// accepts reports whether a Put is accepted: this host must be a holder in the adopted epoch or in the previous one. A Put of a
// newer epoch is always accepted, because only a newer view shows whether this keeper is a holder in it. A restarted host
// accepts Puts for its earlier starts, which no longer answer reads; otherwise a restart would delay writes until the next
// epoch. They are those that the host's first view named: what a later view names may have started after this host.
func (k *Keeper) accepts(state *keeperState, epoch ident.Epoch, hash uint64) bool {
	if epoch > state.view.Epoch() {
		return true
	}
	if state.view == nil {
		return false
	}
	if state.assigns(state.view.Current, k.self, hash) {
		return true
	}
	return state.view.Previous != nil && state.assigns(state.view.Previous, k.self, hash)
}

// assigns reports whether self or an earlier start of its host is a holder of the session in a set.
func (s *keeperState) assigns(set *Set, self Member, hash uint64) bool {
	m, found := set.holder(self.Zone, hash)
	return found && (m.same(self) || slices.ContainsFunc(s.earlierStarts, m.same))
}

// Get returns the session's position if the lease is valid at now and the keeper is authoritative for the session.
func (k *Keeper) Get(now ident.Time, request *fleetpb.GetRequest) *fleetpb.GetResponse {
	state := k.state.Load()
	session := Name(request.GetSession())
	response := &fleetpb.GetResponse{Epoch: uint64(state.view.Epoch())}
	// Authority is checked before the table is read: a write that is acknowledged in between is concurrent with the read.
	if now >= ident.Time(k.lease.Load()) || !state.authoritative(k.self, session.Service, Hash(session)) {
		return response
	}
	response.Authoritative = true
	response.Position = PositionMessage(k.table(session.Service).Get(Hash(session)))
	return response
}

// authoritative reports whether self has been the session's holder in every epoch since it read the service's floor. A holder
// of the previous epoch only is not authoritative, since writers may already have a view in which the adopted epoch is settled.
func (s *keeperState) authoritative(self Member, service ident.Service, hash uint64) bool {
	floor, found := s.floors[service]
	if !found || len(s.history) == 0 || s.history[0].Epoch > floor {
		return false
	}
	for _, set := range s.history {
		if set.Epoch >= floor && !set.holds(self, hash) {
			return false
		}
	}
	return true
}

func (k *Keeper) table(service ident.Service) *Table {
	if t, found := k.tables.Load(service); found {
		return t.(*Table)
	}
	t, _ := k.tables.LoadOrStore(service, NewTable(k.maxSessions))
	return t.(*Table)
}

// Sessions returns the number of entries of a service.
func (k *Keeper) Sessions(service ident.Service) int {
	return k.table(service).Len()
}
