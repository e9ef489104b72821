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
	// zoneChangeWindow is the time after a zone was taken out or returned in which failed requests count against that change.
	zoneChangeWindow = time.Minute
	// tokenStep is the interval by which a team's tokens are estimated; hosts report several times in it.
	tokenStep = time.Second
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

// Limit holds the limits of a team in the text, the operators' configuration.
type Limit struct {
	Team ident.Team
	// Rate is in requests per second, Burst in requests, and Weight is a relative share.
	Rate   float64
	Burst  float64
	Weight float64
}

// bucket holds what was counted during one interval of length Bucket.
type bucket struct {
	number int64
	teams  map[ident.Team]Counts
	// due is a lower bound of the requests of each team for which it had a token.
	due  map[ident.Team]float64
	gaps []time.Duration
	// changing is set if requests were counted during a zone change; failed is the number of those that failed.
	changing bool
	failed   uint64
}

// Meter keeps the last hour of counts.
type Meter struct {
	buckets        []bucket
	limits         map[ident.Team]Limit
	tokens         map[ident.Team]*tokenEstimate
	lastZoneChange ident.Time
	hasZoneChange  bool
	began          ident.Time
}

// New returns a meter without counts.
func New() *Meter {
	return &Meter{buckets: make([]bucket, Slow/Bucket), limits: map[ident.Team]Limit{}, tokens: map[ident.Team]*tokenEstimate{}}
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

// Count adds a team's requests that were counted since the last call.
func (m *Meter) Count(now ident.Time, team ident.Team, c Counts) {
	if c == (Counts{}) {
		return
	}
	m.addToStep(now, team, c)
	b := m.bucketAt(now)
	b.teams[team] = b.teams[team].Plus(c)
	if m.hasZoneChange && now.Sub(m.lastZoneChange) < zoneChangeWindow {
		b.changing = true
		b.failed += c.RefusedOther + c.Unknown
	}
}

// Gap adds a failover gap, the time for which a group had no primary.
func (m *Meter) Gap(now ident.Time, gap time.Duration) {
	b := m.bucketAt(now)
	b.gaps = append(b.gaps, gap)
}

// ZoneChanged records that an availability zone was taken out of service or returned.
func (m *Meter) ZoneChanged(now ident.Time) {
	m.lastZoneChange, m.hasZoneChange = now, true
}

// bucketAt returns the bucket for a time, cleared if it held an earlier interval.
func (m *Meter) bucketAt(now ident.Time) *bucket {
	number := numberOf(now)
	b := &m.buckets[int(number%int64(len(m.buckets)))]
	if b.number != number || b.teams == nil {
		*b = bucket{number: number, teams: map[ident.Team]Counts{}, due: map[ident.Team]float64{}}
	}
	return b
}

// window returns the buckets with data in the given length of time before now, oldest first.
func (m *Meter) window(now ident.Time, length time.Duration) []*bucket {
	last := numberOf(now)
	var found []*bucket
	for number := max(last-int64(length/Bucket)+1, 0); number <= last; number++ {
		b := &m.buckets[int(number%int64(len(m.buckets)))]
		if b.number == number && b.teams != nil {
			found = append(found, b)
		}
	}
	return found
}

// numberOf returns the number of a time's bucket since the start of logical time, which is never negative in a
// process.
func numberOf(now ident.Time) int64 {
	return int64(max(now, 0)) / int64(Bucket)
}

// tokensTaken returns the requests that took a token.
func (c Counts) tokensTaken() uint64 {
	return c.Served + c.RefusedOther + c.Unknown
}

// Since returns what was counted after an earlier report by the same host.
func (c Counts) Since(o Counts) Counts {
	return Counts{
		Asked:        increase(c.Asked, o.Asked),
		Served:       increase(c.Served, o.Served),
		RefusedRate:  increase(c.RefusedRate, o.RefusedRate),
		RefusedOther: increase(c.RefusedOther, o.RefusedOther),
		Unknown:      increase(c.Unknown, o.Unknown),
		ReadsReplica: increase(c.ReadsReplica, o.ReadsReplica),
		ReadsPrimary: increase(c.ReadsPrimary, o.ReadsPrimary),
		Writes:       increase(c.Writes, o.Writes),
	}
}

func increase(later, earlier uint64) uint64 {
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
