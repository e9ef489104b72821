package burn

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Lengths of the windows and of their buckets.
const (
	Fast = 5 * time.Minute
	Slow = time.Hour
	// Bucket is the resolution of the windows and of Series.
	Bucket = 10 * time.Second
	// zoneChange is how long after a zone left or returned failed requests count against that change.
	zoneChange = time.Minute
	// step is the time over which a team's tokens are followed; hosts report several times in it.
	step = time.Second
)

// Counts are numbers of requests, as in fleetpb.Tally.
type Counts struct {
	Asked        uint64
	Served       uint64
	RefusedRate  uint64
	RefusedOther uint64
	Unknown      uint64
	ReadsReplica uint64
	ReadsPrimary uint64
	Writes       uint64
}

// Limit is what the text grants a team.
type Limit struct {
	Team ident.Team
	// Rate is in requests per second, Burst in requests, and Weight is a relative share.
	Rate   float64
	Burst  float64
	Weight float64
}

// slot holds what happened during one bucket of time.
type slot struct {
	number int64
	teams  map[ident.Team]Counts
	due    map[ident.Team]float64
	gaps   []time.Duration
	// failed counts requests that failed during a zone change, of the asked ones.
	changing bool
	failed   uint64
	asked    uint64
}

// Meter keeps the last hour of counts.
type Meter struct {
	slots  []slot
	limits map[ident.Team]Limit
	tokens map[ident.Team]*tokens
	zoneAt ident.Time
	zoned  bool
	began  ident.Time
}

// New returns a meter without counts.
func New() *Meter {
	return &Meter{slots: make([]slot, Slow/Bucket), limits: map[ident.Team]Limit{}, tokens: map[ident.Team]*tokens{}}
}

// SetLimits replaces the limits of teams.
func (m *Meter) SetLimits(limits []Limit) {
	clear(m.limits)
	for _, l := range limits {
		if l.Weight == 0 {
			l.Weight = 1
		}
		m.limits[l.Team] = l
	}
}

// Count adds requests that were counted since the last call.
func (m *Meter) Count(now ident.Time, team ident.Team, c Counts) {
	if c == (Counts{}) {
		return
	}
	m.follow(now, team, c)
	s := m.at(now)
	s.teams[team] = s.teams[team].Plus(c)
	if m.zoned && now.Sub(m.zoneAt) < zoneChange {
		s.changing = true
		s.asked += c.Asked
		s.failed += c.RefusedOther + c.Unknown
	}
}

// Gap adds the time for which a group had no primary.
func (m *Meter) Gap(now ident.Time, gap time.Duration) {
	s := m.at(now)
	s.gaps = append(s.gaps, gap)
}

// ZoneChanged notes that an availability zone was taken out or returned.
func (m *Meter) ZoneChanged(now ident.Time) {
	m.zoneAt, m.zoned = now, true
}

// at returns the slot for a time, emptied if it held an older one.
func (m *Meter) at(now ident.Time) *slot {
	number := numberOf(now)
	s := &m.slots[int(number%int64(len(m.slots)))]
	if s.number != number || s.teams == nil {
		*s = slot{number: number, teams: map[ident.Team]Counts{}, due: map[ident.Team]float64{}}
	}
	return s
}

// window returns the slots of the time before now, oldest first.
func (m *Meter) window(now ident.Time, length time.Duration) []*slot {
	last := numberOf(now)
	var found []*slot
	for number := max(last-int64(length/Bucket)+1, 0); number <= last; number++ {
		s := &m.slots[int(number%int64(len(m.slots)))]
		if s.number == number && s.teams != nil {
			found = append(found, s)
		}
	}
	return found
}

// numberOf counts buckets from the start of logical time, which is never negative in a process.
func numberOf(now ident.Time) int64 {
	return int64(max(now, 0)) / int64(Bucket)
}

// got returns the requests that took a token.
func (c Counts) got() uint64 {
	return c.Served + c.RefusedOther + c.Unknown
}

// Since returns what was counted after an earlier report by the same host.
func (c Counts) Since(o Counts) Counts {
	return Counts{
		Asked:        grown(c.Asked, o.Asked),
		Served:       grown(c.Served, o.Served),
		RefusedRate:  grown(c.RefusedRate, o.RefusedRate),
		RefusedOther: grown(c.RefusedOther, o.RefusedOther),
		Unknown:      grown(c.Unknown, o.Unknown),
		ReadsReplica: grown(c.ReadsReplica, o.ReadsReplica),
		ReadsPrimary: grown(c.ReadsPrimary, o.ReadsPrimary),
		Writes:       grown(c.Writes, o.Writes),
	}
}

func grown(later, earlier uint64) uint64 {
	return max(later, earlier) - earlier
}

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Asked:        c.Asked + o.Asked,
		Served:       c.Served + o.Served,
		RefusedRate:  c.RefusedRate + o.RefusedRate,
		RefusedOther: c.RefusedOther + o.RefusedOther,
		Unknown:      c.Unknown + o.Unknown,
		ReadsReplica: c.ReadsReplica + o.ReadsReplica,
		ReadsPrimary: c.ReadsPrimary + o.ReadsPrimary,
		Writes:       c.Writes + o.Writes,
	}
}
