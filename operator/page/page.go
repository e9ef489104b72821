package page

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/fleetpb"
)

const timeFormat = "2006-01-02 15:04:05 UTC"

//go:embed page.html
var source string

var layout = template.Must(template.New("page").Parse(source))

// pageData is the input of the layout. Its strings come from the leader and are escaped by html/template.
type pageData struct {
	Made   string
	Since  string
	Leader string
	Bucket time.Duration
	Levels []levelData
	Text   string
}

type levelData struct {
	Name      string
	Objective string
	Fast      string
	Slow      string
	FastBurn  string
	SlowBurn  string
	State     string
	Note      string
	Points    int
	// Plot is an SVG element without text from the leader.
	Plot template.HTML
}

// Write writes the HTML page of a report.
func Write(w io.Writer, report *fleetpb.ReportResponse) error {
	c := pageData{
		Made:   FormatTime(report.GetUnixMs()),
		Since:  FormatTime(report.GetSinceUnixMs()),
		Leader: report.GetLeaderHost(),
		Bucket: time.Duration(report.GetBucketMs()) * time.Millisecond,
		Text:   report.GetText(),
	}
	for _, l := range report.GetLevels() {
		svg, err := drawPlot(l, report.GetUnixMs(), report.GetBucketMs())
		if err != nil {
			return trace.Wrap(err, "plotting %q", l.GetName())
		}
		unit := units[l.GetUnit()]
		c.Levels = append(c.Levels, levelData{
			Name: l.GetName(), Objective: l.GetObjective(), State: l.GetState(), Note: l.GetNote(),
			Fast: unit.Format(burnValue(l.GetFast())), Slow: unit.Format(burnValue(l.GetSlow())),
			FastBurn: formatBurn(l.GetFast()), SlowBurn: formatBurn(l.GetSlow()),
			Points: len(l.GetPoints()),
			Plot:   template.HTML(svg), //nolint:gosec // drawPlot puts only numbers and constant labels into the SVG.
		})
	}
	return trace.Wrap(layout.Execute(w, c))
}

// FormatTime formats a Unix time in milliseconds as UTC.
func FormatTime(unixMs uint64) string {
	return time.UnixMilli(int64(unixMs)).UTC().Format(timeFormat)
}

// units maps the units on the wire; an unknown unit is shown as requests.
var units = map[fleetpb.Unit]burn.Unit{
	fleetpb.Unit_UNIT_UNSPECIFIED: burn.Requests,
	fleetpb.Unit_UNIT_SHARE:       burn.Share,
	fleetpb.Unit_UNIT_SECONDS:     burn.Seconds,
	fleetpb.Unit_UNIT_REQUESTS:    burn.Requests,
}

func burnValue(r *fleetpb.Reading) burn.Value {
	return burn.Value{Known: r.GetKnown(), Amount: r.GetAmount(), Burn: r.GetBurn()}
}

func formatBurn(r *fleetpb.Reading) string {
	if !r.GetKnown() {
		return "-"
	}
	return fmt.Sprintf("%.2f", r.GetBurn())
}
