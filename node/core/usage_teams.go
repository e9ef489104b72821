package core

import (
	"maps"
	"slices"
	"sync"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/metering"
)

// maxTeamVersions is the number of configuration versions whose teams the leader can name. Hosts are a few versions behind at most.
const maxTeamVersions = 8

// teamNames holds the teams of the latest configurations, which the hosts' reports name by index. It is safe for concurrent use.
type teamNames struct {
	mu       sync.Mutex
	versions map[uint64][]ident.Team
}

// add adds the teams of a configuration, which may be nil.
func (t *teamNames) add(c *catalog.Catalog) {
	if c == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	version := uint64(c.Version)
	if t.versions[version] != nil {
		return
	}
	if t.versions == nil {
		t.versions = map[uint64][]ident.Team{}
	}
	names := make([]ident.Team, 0, len(c.Teams))
	for i := range c.Teams {
		names = append(names, c.Teams[i].Name)
	}
	t.versions[version] = names
	if len(t.versions) > maxTeamVersions {
		delete(t.versions, slices.Min(slices.Collect(maps.Keys(t.versions))))
	}
}

// decode returns the report in a message, or false if it refers to a configuration that is not known or cannot be read.
func (t *teamNames) decode(message *fleetpb.UsageReport) (*metering.Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	names, found := t.versions[message.GetVersion()]
	report := &metering.Report{
		Leadership: metering.Leadership(message.GetLeadership()), Complete: metering.Window(message.GetComplete()),
		Windows: map[metering.Window]metering.Counts{},
	}
	for _, window := range message.GetWindows() {
		counts := decodeCounts(window.GetOthers())
		if len(window.GetTeams()) > 0 && !found || len(window.GetTeams()) != len(window.GetCounts()) {
			return nil, false
		}
		for i, index := range window.GetTeams() {
			if int(index) >= len(names) {
				return nil, false
			}
			counts[names[index]] = window.GetCounts()[i]
		}
		report.Windows[metering.Window(window.GetWindow())] = counts
	}
	return report, true
}
