package controller

import (
	"time"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// report fills a response with the service levels; wall is the wall-clock time at now.
func (s service) report(now ident.Time, wall time.Time, response *fleetpb.ReportResponse) {
	unix := func(at ident.Time) uint64 { return uint64(wall.Add(-now.Sub(at)).UnixMilli()) }
	meter := s.leader.Meter()
	response.Text = s.leader.Report(now)
	response.LeaderHost = string(s.options.Host)
	response.UnixMs = unix(now)
	response.SinceUnixMs = unix(meter.Began())
	response.BucketMs = uint32(burn.Bucket.Milliseconds())
	series := meter.Series(now)
	for i, level := range meter.Levels(now) {
		message := &fleetpb.Level{
			Name: level.Name, Objective: level.Objective, Unit: units[level.Unit], Bound: level.Bound,
			Fast: reading(level.Fast), Slow: reading(level.Slow), State: level.State, Note: level.Note,
		}
		for _, p := range series[i] {
			message.Points = append(message.Points, &fleetpb.Point{UnixMs: unix(p.At), Amount: p.Amount})
		}
		response.Levels = append(response.Levels, message)
	}
}

var units = map[burn.Unit]fleetpb.Unit{
	burn.Share:    fleetpb.Unit_UNIT_SHARE,
	burn.Seconds:  fleetpb.Unit_UNIT_SECONDS,
	burn.Requests: fleetpb.Unit_UNIT_REQUESTS,
}

func reading(v burn.Value) *fleetpb.Reading {
	return &fleetpb.Reading{Known: v.Known, Amount: v.Amount, Burn: v.Burn}
}
