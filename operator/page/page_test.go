package page_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"regexp"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/operator/page"
)

const (
	start  = 1767225600000 // 2026-01-01 00:00:00 UTC
	bucket = 10_000
)

// fixedReport returns a report in which one level has a gap in its data, one has a single point and one has none.
func fixedReport() *fleetpb.ReportResponse {
	share := &fleetpb.Level{
		Name: "reads served by replicas", Objective: "at least 90%", Unit: fleetpb.Unit_UNIT_SHARE, Bound: 0.9,
		Fast:  &fleetpb.Reading{Known: true, Amount: 0.85, Burn: 1.5},
		Slow:  &fleetpb.Reading{Known: true, Amount: 0.96, Burn: 0.4},
		State: "burning",
	}
	for i := range uint64(30) {
		if i < 10 || i > 19 {
			share.Points = append(share.Points, &fleetpb.Point{UnixMs: start + i*bucket, Amount: 1 - float64(i%7)/20})
		}
	}
	return &fleetpb.ReportResponse{
		Text: "SERVICE LEVEL  5 MIN\n", LeaderHost: "c1", SinceUnixMs: start, UnixMs: start + 35*60*1000, BucketMs: bucket,
		Levels: []*fleetpb.Level{share, {
			Name: "failover gap, longest", Objective: "under 20 s", Unit: fleetpb.Unit_UNIT_SECONDS, Bound: 20,
			Fast: &fleetpb.Reading{}, Slow: &fleetpb.Reading{Known: true, Amount: 21, Burn: 1.05}, State: "missed",
			Points: []*fleetpb.Point{{UnixMs: start + 90_000, Amount: 21}},
		}, {
			Name: "wrongful refusals, at least", Objective: "none", Unit: fleetpb.Unit_UNIT_REQUESTS,
			Fast: &fleetpb.Reading{}, Slow: &fleetpb.Reading{}, State: "no data",
		}},
	}
}

// Guards against a page that omits a level, shows a wrong state or objective, or draws a line across a time without data.
func TestPage(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, page.Write(&b, fixedReport()))
	goldie.New(t).Assert(t, "page", b.Bytes())
}

// Guards against strings from the leader that run as scripts in an operator's browser, and against plots that are not
// well-formed XML, which browsers do not show.
func TestPageEscapes(t *testing.T) {
	const hostile = `</pre></title><script>alert("1")</script>' onload='x`
	report := fixedReport()
	report.Text, report.LeaderHost = hostile, hostile
	for _, l := range report.GetLevels() {
		l.Name, l.Objective, l.State, l.Note = hostile, hostile, hostile, hostile
	}
	var b bytes.Buffer
	require.NoError(t, page.Write(&b, report))
	require.NotContains(t, b.String(), "<script")
	require.NotContains(t, b.String(), "onload='")
	plots := regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAll(b.Bytes(), -1)
	require.Len(t, plots, len(report.GetLevels()))
	for _, plot := range plots {
		decoder := xml.NewDecoder(bytes.NewReader(plot))
		var err error
		for err == nil {
			_, err = decoder.Token()
		}
		require.True(t, errors.Is(err, io.EOF), "%v", err)
	}
}

// Guards against a page with an empty or infinite axis when an amount is not a finite number.
func TestPageRefusesInfiniteAmounts(t *testing.T) {
	for _, amount := range []float64{math.NaN(), math.Inf(1)} {
		report := fixedReport()
		report.Levels[0].Points[3].Amount = amount
		require.ErrorContains(t, page.Write(io.Discard, report), "reads served by replicas")
	}
}
