package entry

import (
	"sort"
	"sync"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// tallies counts the requests of each team since the start of the host.
type tallies struct {
	mutex sync.Mutex
	teams map[ident.Team]*fleetpb.Tally
}

func newTallies() *tallies {
	return &tallies{teams: make(map[ident.Team]*fleetpb.Tally)}
}

// update changes the tally of a team under the lock.
func (t *tallies) update(team ident.Team, change func(*fleetpb.Tally)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	tally := t.teams[team]
	if tally == nil {
		tally = &fleetpb.Tally{Team: string(team)}
		t.teams[team] = tally
	}
	change(tally)
}

// snapshot returns copies of all tallies, ordered by team.
func (t *tallies) snapshot() []*fleetpb.Tally {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	copies := make([]*fleetpb.Tally, 0, len(t.teams))
	for _, tally := range t.teams {
		copies = append(copies, &fleetpb.Tally{
			Team: tally.Team, Asked: tally.Asked, Served: tally.Served, RefusedRate: tally.RefusedRate,
			RefusedOther: tally.RefusedOther, Unknown: tally.Unknown, ReadsReplica: tally.ReadsReplica,
			ReadsPrimary: tally.ReadsPrimary, Writes: tally.Writes,
		})
	}
	sort.Slice(copies, func(i, j int) bool { return copies[i].Team < copies[j].Team })
	return copies
}
