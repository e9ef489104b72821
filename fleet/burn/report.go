package burn

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"tamarackshunt.dev/fleet/ident"
)

// row is one line of the report.
type row struct {
	name      string
	objective string
	form      func(Value) string
	fast      Value
	slow      Value
	note      string
}

// Report returns the service levels as a table for operators.
func (m *Meter) Report(now ident.Time) string {
	fast, slow := m.Measure(now, Fast), m.Measure(now, Slow)
	rows := []row{
		{"reads served by replicas", "at least 90%", share, fast.ReplicaShare, slow.ReplicaShare, ""},
		{"failover gap, median", "under 3 s", seconds, fast.GapMedian, slow.GapMedian, ""},
		{"failover gap, longest", "under 20 s", seconds, fast.GapMost, slow.GapMost, ""},
		{"worst-served team", "at least 95%", share, fast.WorstServed, slow.WorstServed, teams(fast, slow)},
		{"wrongful refusals, at least", "none", count, fast.Wrongful, slow.Wrongful, ""},
		{"failures in zone changes", "none", count, fast.ZoneFailures, slow.ZoneFailures, ""},
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE LEVEL\t5 MIN\t1 H\tOBJECTIVE\tBURN 5 MIN\tBURN 1 H\tSTATE")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			r.name, r.form(r.fast), r.form(r.slow), r.objective, burned(r.fast), burned(r.slow), r.state())
	}
	_ = w.Flush()
	for _, r := range rows {
		if r.note != "" {
			b.WriteString(r.note + "\n")
		}
	}
	return b.String()
}

// state tells a miss that lasts from one that has just begun: the slow window holds the fast one.
func (r row) state() string {
	allowance := 1.0
	if r.objective == "none" {
		allowance = 0
	}
	switch {
	case !r.slow.Known:
		return "no data"
	case r.slow.Burn > allowance:
		return "missed"
	case r.fast.Burn > allowance:
		return "burning"
	default:
		return "met"
	}
}

func teams(fast, slow Measures) string {
	if !slow.WorstServed.Known || slow.WorstServed.Amount >= 1 {
		return ""
	}
	note := "Worst-served team over 1 h: " + string(slow.WorstTeam)
	if fast.WorstServed.Known && fast.WorstServed.Amount < 1 && fast.WorstTeam != slow.WorstTeam {
		note += "; over 5 min: " + string(fast.WorstTeam)
	}
	return note + "."
}

func share(v Value) string {
	if !v.Known {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*v.Amount)
}

func seconds(v Value) string {
	if !v.Known {
		return "-"
	}
	return fmt.Sprintf("%.2f s", v.Amount)
}

func count(v Value) string {
	if !v.Known {
		return "-"
	}
	return fmt.Sprintf("%.0f", v.Amount)
}

func burned(v Value) string {
	if !v.Known {
		return "-"
	}
	return fmt.Sprintf("%.2f", v.Burn)
}
