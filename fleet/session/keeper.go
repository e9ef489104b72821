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
	// DefaultSessions is the bound on entries for each service: 60 to 85 bytes each (BenchmarkTableBytes), so about 20 MB,
	// which leaves room for several services within 128 MB for a host.
	DefaultSessions = 1 << 18
	// maxHistory bounds the epochs that a keeper remembers while it cannot read a floor; beyond it the keeper gives up its
	// authority until it has one, rather than growing.
	maxHistory = 16
)

// KeeperOptions configure a keeper.
type KeeperOptions struct {
	// Self is this start of this host.
	Self Member
	// Sessions bounds the entries for each service; 0 means DefaultSessions.
	Sessions int
}

// Keeper records positions and answers for the sessions for which it is authoritative. Its methods may be called from
// several goroutines.
type Keeper struct {
	self     Member
	sessions int
	lease    atomic.Int64
	tables   sync.Map // ident.Service to *Table
	// mu orders changes of state; readers load the current value without it.
	mu    sync.Mutex
	state atomic.Pointer[keeperState]
}

// keeperState is replaced as a whole, so that a reader sees one epoch, its history and the floors together.
type keeperState struct {
	view *View
	// history holds the sets of consecutive epochs up to the adopted one, oldest first.
	history []*Set
	// floors holds the epoch for which each service's floor was read.
	floors map[ident.Service]ident.Epoch
}

// NewKeeper returns a keeper without a lease, an epoch or floors; it is authoritative for nothing.
func NewKeeper(opts KeeperOptions) *Keeper {
	k := &Keeper{self: opts.Self, sessions: opts.Sessions}
	if k.sessions == 0 {
		k.sessions = DefaultSessions
	}
	k.state.Store(&keeperState{floors: map[ident.Service]ident.Epoch{}})
	return k
}

// Lease sets the time until which the keeper may answer.
func (k *Keeper) Lease(until ident.Time) {
	k.lease.Store(int64(until))
}

// Adopt takes over a view of the keeper epochs; an older epoch than the adopted one is ignored. The host reports the
// epoch as adopted only after this call, and the control leader settles it only after that.
func (k *Keeper) Adopt(view *View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.state.Load()
	if view.Epoch() < old.view.Epoch() || view == nil {
		return
	}
	if view.Epoch() == old.view.Epoch() {
		if old.view.Settled {
			return
		}
		k.state.Store(&keeperState{view: view, history: old.history, floors: old.floors})
		return
	}
	k.state.Store(&keeperState{view: view, history: extend(old.history, view), floors: old.floors})
}

// extend appends the sets of a newer view. Without the set in between nothing proves that this keeper was a holder
// throughout, so the history starts anew.
func extend(history []*Set, view *View) []*Set {
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

// MissingFloors returns the services whose floor must be read from the primary for the returned epoch, and none while the
// epoch is not settled or this host is not a keeper of it.
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

// SetFloor stores the primary's position of a service. The position must have been requested after MissingFloors
// returned the epoch, and confirmed under the primary's current term.
func (k *Keeper) SetFloor(service ident.Service, epoch ident.Epoch, position ident.Position) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.state.Load()
	if epoch <= old.floors[service] || epoch > old.view.Epoch() {
		return
	}
	// The table is raised first: a reader that sees the floor's epoch must also see the floor.
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
	k.state.Store(&keeperState{view: old.view, history: history, floors: floors})
}

// Put records a position. Recording is always safe; the answer says whether the writer may count on it.
func (k *Keeper) Put(request *fleetpb.PutRequest) *fleetpb.PutResponse {
	state := k.state.Load()
	session := Name(request.GetSession())
	response := &fleetpb.PutResponse{Epoch: uint64(state.view.Epoch())}
	if !k.mayHold(state, ident.Epoch(request.GetEpoch()), Hash(session)) {
		return response
	}
	k.table(session.Service).Put(Hash(session), PositionOf(request.GetPosition()))
	response.Recorded = true
	return response
}

// mayHold accepts sessions of the adopted epoch and the one before. A writer that is ahead of this keeper is accepted
// too: only a newer view could tell whether this keeper is a holder in it. A restarted host accepts for its earlier
// start, which can answer nobody any more; so a restart delays no write until the next epoch.
func (k *Keeper) mayHold(state *keeperState, epoch ident.Epoch, hash uint64) bool {
	if epoch > state.view.Epoch() {
		return true
	}
	if state.view == nil {
		return false
	}
	if state.view.Current.assigns(k.self, hash) {
		return true
	}
	return state.view.Previous != nil && state.view.Previous.assigns(k.self, hash)
}

// Get answers with the session's position while the lease is valid at now and the keeper is authoritative.
func (k *Keeper) Get(now ident.Time, request *fleetpb.GetRequest) *fleetpb.GetResponse {
	state := k.state.Load()
	session := Name(request.GetSession())
	response := &fleetpb.GetResponse{Epoch: uint64(state.view.Epoch())}
	// Authority is judged before the table is read: a write that is acknowledged in between is concurrent with the read.
	if now >= ident.Time(k.lease.Load()) || !state.authoritative(k.self, session.Service, Hash(session)) {
		return response
	}
	response.Authoritative = true
	response.Position = PositionMessage(k.table(session.Service).Get(Hash(session)))
	return response
}

// authoritative reports whether self has been the session's holder in every epoch since it read the service's floor. The
// holder of the previous epoch alone does not answer, since writers may know already that the adopted epoch is settled.
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
	t, _ := k.tables.LoadOrStore(service, NewTable(k.sessions))
	return t.(*Table)
}

// Sessions returns the number of entries of a service.
func (k *Keeper) Sessions(service ident.Service) int {
	return k.table(service).Len()
}
