package page

import (
	"bytes"
	"image/color"
	"math"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/fleetpb"
)

const (
	// Lengths are in points.
	plotWidth  vg.Length = 620
	plotHeight vg.Length = 150
	markRadius vg.Length = 1.4
	lineWidth  vg.Length = 1
	// headroom is the top of the axis of amounts relative to the bound or the largest amount, whichever is larger.
	headroom = 1.15
	percent  = 100
	// tickSeconds is the distance between marks on the time axis in seconds.
	tickSeconds = 600
)

var (
	lineColor  = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	boundColor = color.RGBA{R: 0xa8, G: 0x13, B: 0x1a, A: 0xff}
)

// drawPlot returns an SVG element that plots a level's points during the hour before unixMs.
func drawPlot(l *fleetpb.Level, unixMs uint64, bucketMs uint32) ([]byte, error) {
	p := plot.New()
	end := seconds(unixMs)
	p.X.Min, p.X.Max = end-burn.Slow.Seconds(), end
	p.X.Tick.Marker = plot.TickerFunc(clockTicks)
	p.Y.Label.Text = axisLabel(l.GetUnit())
	scale := 1.0
	if l.GetUnit() == fleetpb.Unit_UNIT_SHARE {
		scale = percent
	}
	top := scale * l.GetBound()
	for _, run := range splitAtGaps(l.GetPoints(), bucketMs) {
		points := make(plotter.XYs, 0, len(run))
		for _, point := range run {
			y := scale * point.GetAmount()
			top = max(top, y)
			points = append(points, plotter.XY{X: seconds(point.GetUnixMs()), Y: y})
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		line.Color, line.Width = lineColor, lineWidth
		marks.GlyphStyle = vgdraw.GlyphStyle{Color: lineColor, Radius: markRadius, Shape: vgdraw.CircleGlyph{}}
		p.Add(line, marks)
	}
	bound, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: scale * l.GetBound()}, {X: p.X.Max, Y: scale * l.GetBound()}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	bound.Color, bound.Width, bound.Dashes = boundColor, lineWidth, []vg.Length{4 * lineWidth, 3 * lineWidth}
	p.Add(bound)
	// Adding plotters has extended the axes to their data.
	p.X.Min, p.X.Max = end-burn.Slow.Seconds(), end
	p.Y.Min, p.Y.Max = 0, headroom*top
	if top == 0 {
		p.Y.Max = 1
	}
	return render(p)
}

// render returns the SVG element without the XML declaration, which is not valid inside HTML.
func render(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(vgdraw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, trace.Wrap(err)
	}
	start := bytes.Index(b.Bytes(), []byte("<svg"))
	if start < 0 {
		return nil, trace.NotFound("the plot holds no svg element")
	}
	return bytes.TrimSpace(b.Bytes()[start:]), nil
}

// splitAtGaps splits points where buckets are missing, so that no line is drawn across a time without data.
func splitAtGaps(points []*fleetpb.Point, bucketMs uint32) [][]*fleetpb.Point {
	var all [][]*fleetpb.Point
	for i, p := range points {
		// Half a bucket absorbs the rounding of times to milliseconds.
		if i == 0 || p.GetUnixMs() > points[i-1].GetUnixMs()+uint64(bucketMs)*3/2 {
			all = append(all, nil)
		}
		all[len(all)-1] = append(all[len(all)-1], p)
	}
	return all
}

// clockTicks returns a mark for every full ten minutes.
func clockTicks(from, to float64) []plot.Tick {
	var ticks []plot.Tick
	for at := math.Ceil(from/tickSeconds) * tickSeconds; at <= to; at += tickSeconds {
		ticks = append(ticks, plot.Tick{Value: at, Label: time.Unix(int64(at), 0).UTC().Format("15:04")})
	}
	return ticks
}

func axisLabel(unit fleetpb.Unit) string {
	switch unit {
	case fleetpb.Unit_UNIT_SHARE:
		return "%"
	case fleetpb.Unit_UNIT_SECONDS:
		return "s"
	default:
		return "requests"
	}
}

func seconds(unixMs uint64) float64 {
	return (time.Duration(unixMs) * time.Millisecond).Seconds()
}
