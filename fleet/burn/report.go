package burn

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"tamarackshunt.dev/fleet/ident"
)

// Report returns the service levels as a table for operators.
func (m *Meter) Report(now ident.Time) string {
	rows := m.Levels(now)
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE LEVEL\t5 MIN\t1 H\tOBJECTIVE\tBURN 5 MIN\tBURN 1 H\tSTATE")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			r.Name, r.Unit.Format(r.Fast), r.Unit.Format(r.Slow), r.Objective, formatBurn(r.Fast), formatBurn(r.Slow), r.State)
	}
	_ = w.Flush()
	for _, r := range rows {
		if r.Note != "" {
			b.WriteString(r.Note + "\n")
		}
	}
	return b.String()
}

func worstTeamNote(fast, slow Measures) string {
	if !slow.WorstServed.Known || slow.WorstServed.Amount >= 1 {
		return ""
	}
	note := "Worst-served team over 1 h: " + string(slow.WorstTeam)
	if fast.WorstServed.Known && fast.WorstServed.Amount < 1 && fast.WorstTeam != slow.WorstTeam {
		note += "; over 5 min: " + string(fast.WorstTeam)
	}
	return note + "."
}

func formatBurn(v Value) string {
	if !v.Known {
		return "-"
	}
	return fmt.Sprintf("%.2f", v.Burn)
}
