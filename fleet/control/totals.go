package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/ident"
)

// totals returns the request counts of each team, summed over the hosts since their starts.
func (l *Leader) totals() map[ident.Team]burn.Counts {
	sum := map[ident.Team]burn.Counts{}
	for _, h := range l.hosts {
		for team, counts := range h.counts {
			sum[team] = sum[team].Plus(counts)
		}
	}
	return sum
}

func teamTable(sum map[ident.Team]burn.Counts) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TEAM\tASKED\tSERVED\tREFUSED FOR RATE\tREFUSED OTHERWISE\tUNKNOWN\tREPLICA READS\tPRIMARY READS\tWRITES")
	for _, team := range slices.Sorted(maps.Keys(sum)) {
		c := sum[team]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", team,
			c.Asked, c.Served, c.RefusedRate, c.RefusedOther, c.Unknown, c.ReadsReplica, c.ReadsPrimary, c.Writes)
	}
	_ = w.Flush()
	return b.String()
}
