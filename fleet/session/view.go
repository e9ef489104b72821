package session

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Member is one incarnation of a host that keeps session positions.
type Member struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Zone        ident.Zone
	// Peer is the address for calls between hosts.
	Peer string
}

// same reports whether m and other are the same incarnation of the same host.
func (m Member) same(other Member) bool {
	return m.Host == other.Host && m.Incarnation == other.Incarnation
}

// Set is the list of keepers of one epoch.
type Set struct {
	Epoch ident.Epoch
	zones []zoneKeepers
}

type zoneKeepers struct {
	zone    ident.Zone
	members []Member
	seeds   []uint64
}

// NewSet groups the keepers of an epoch by availability zone.
func NewSet(epoch ident.Epoch, members []Member) *Set {
	set := &Set{Epoch: epoch}
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if c := strings.Compare(string(a.Zone), string(b.Zone)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Host), string(b.Host))
	})
	for _, m := range sorted {
		last := len(set.zones) - 1
		if last < 0 || set.zones[last].zone != m.Zone {
			set.zones = append(set.zones, zoneKeepers{zone: m.Zone})
			last++
		}
		set.zones[last].members = append(set.zones[last].members, m)
		set.zones[last].seeds = append(set.zones[last].seeds, xxhash.Sum64String(string(m.Host)))
	}
	return set
}

// Holders returns the session's holder in each availability zone with keepers, ordered by zone.
func (s *Set) Holders(session ident.Session) []Member {
	hash := Hash(session)
	holders := make([]Member, 0, len(s.zones))
	for _, z := range s.zones {
		holders = append(holders, z.holder(hash))
	}
	return holders
}

// Holds reports whether self is a holder of the session.
func (s *Set) Holds(self Member, session ident.Session) bool {
	return s.holds(self, Hash(session))
}

func (s *Set) holds(self Member, hash uint64) bool {
	m, found := s.holder(self.Zone, hash)
	return found && m.same(self)
}

func (s *Set) holder(zone ident.Zone, hash uint64) (Member, bool) {
	for _, z := range s.zones {
		if z.zone == zone {
			return z.holder(hash), true
		}
	}
	return Member{}, false
}

// holder uses rendezvous hashing: the member with the highest combined hash is the holder. Removing a member moves only its own
// sessions. The incarnation is not part of the hash, so a restarted host gets the sessions that it held before.
func (z zoneKeepers) holder(hash uint64) Member {
	best, weight := 0, uint64(0)
	for i, seed := range z.seeds {
		if w := mix(seed ^ hash); i == 0 || w > weight {
			best, weight = i, w
		}
	}
	return z.members[best]
}

// mix is the finalizer of splitmix64; it distributes the combination of two hashes over all bits.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Hash returns the 64-bit hash of a session, which determines its holders and is its key in a Table.
func Hash(session ident.Session) uint64 {
	var buffer [128]byte
	b := append(buffer[:0], session.Service...)
	b = append(b, 0)
	b = append(b, session.Team...)
	b = append(b, 0)
	b = append(b, session.User...)
	return xxhash.Sum64(b)
}

// View is a host's view of the keeper epochs: the adopted epoch and, until that is settled, the previous one. Previous is nil
// once the epoch is settled.
type View struct {
	Current  *Set
	Previous *Set
	Settled  bool
}

// NewView converts the keeper set of the control state; it returns nil while there is none.
func NewView(set *fleetpb.KeeperSet) *View {
	if set.GetEpoch() == 0 {
		return nil
	}
	view := &View{
		Current: NewSet(ident.Epoch(set.GetEpoch()), members(set.GetCurrent())),
		Settled: set.GetSettled(),
	}
	if !set.GetSettled() {
		view.Previous = NewSet(ident.Epoch(set.GetEpoch()-1), members(set.GetPrevious()))
	}
	return view
}

func members(keepers []*fleetpb.Keeper) []Member {
	list := make([]Member, 0, len(keepers))
	for _, k := range keepers {
		list = append(list, Member{
			Host:        ident.Host(k.GetHost()),
			Incarnation: ident.Incarnation(k.GetIncarnation()),
			Zone:        ident.Zone(k.GetZone()),
			Peer:        k.GetPeer(),
		})
	}
	return list
}

// Epoch returns the adopted epoch, or 0 without a view.
func (v *View) Epoch() ident.Epoch {
	if v == nil {
		return 0
	}
	return v.Current.Epoch
}

// otherStarts returns the members that are other starts of the host of self.
func (v *View) otherStarts(self Member) []Member {
	if v == nil {
		return nil
	}
	var starts []Member
	for _, set := range []*Set{v.Current, v.Previous} {
		if set == nil {
			continue
		}
		for _, z := range set.zones {
			for _, m := range z.members {
				if m.Host == self.Host && !m.same(self) {
					starts = append(starts, m)
				}
			}
		}
	}
	return starts
}

// Required returns the holders that must record a write: those of the epoch and, until it is settled, of the previous one.
func (v *View) Required(session ident.Session) []Member {
	holders := v.Current.Holders(session)
	if v.Settled || v.Previous == nil {
		return holders
	}
	for _, m := range v.Previous.Holders(session) {
		if !slices.ContainsFunc(holders, m.same) {
			holders = append(holders, m)
		}
	}
	return holders
}

// Name converts a session from its message.
func Name(n *fleetpb.SessionName) ident.Session {
	return ident.Session{
		Service: ident.Service(n.GetService()),
		Team:    ident.Team(n.GetTeam()),
		User:    ident.User(n.GetUser()),
	}
}

// Message converts a session to the message that hosts exchange.
func Message(s ident.Session) *fleetpb.SessionName {
	return &fleetpb.SessionName{Service: string(s.Service), Team: string(s.Team), User: []byte(s.User)}
}

// PositionOf converts a position from its message. A missing message gives the zero position, which every upstream covers.
func PositionOf(p *fleetpb.Position) ident.Position {
	return ident.Position{Term: ident.Term(p.GetTerm()), LSN: ident.LSN(p.GetLsn())}
}

// PositionMessage converts a position to the message that hosts exchange.
func PositionMessage(p ident.Position) *fleetpb.Position {
	return &fleetpb.Position{Term: uint64(p.Term), Lsn: uint64(p.LSN)}
}
