package coreclient

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/metering"
	"tamarackshunt.dev/fleet/steady"
)

// usageInterval is the interval of a host's usage reports. A host that is killed loses what it has counted since its last one.
const usageInterval = time.Second

var (
	usageCounted = metrics.NewCounter("tamarack_usage_operations_total")
	usageLate    = metrics.NewCounter("tamarack_usage_host_late_total")
	usageDropped = metrics.NewCounter("tamarack_usage_host_dropped_total")
)

// Usage counts the operations that this host sends to upstreams and reports them with the Client's requests. It implements
// upstream.Meter and is safe for concurrent use.
type Usage struct {
	mu    sync.Mutex
	meter *metering.Meter
	clock *metering.HostClock
	// reportedAt is when the last report was sent.
	reportedAt ident.Time
	// late and dropped are the counts of the meter that are logged.
	late, dropped uint64
	// indices are those of the teams in the configuration indexed.
	indices map[ident.Team]uint32
	indexed *catalog.Catalog
}

// NewUsage returns a Usage for windows of a length.
func NewUsage(window time.Duration) *Usage {
	return &Usage{meter: metering.NewMeter(window), clock: metering.NewHostClock(steady.Now(), timeOfDay())}
}

// timeOfDay returns the host's time of day, which may be wrong and may be stepped.
func timeOfDay() metering.Instant {
	return metering.Instant(time.Now().UnixNano())
}

// Begin implements upstream.Meter.
func (u *Usage) Begin(team ident.Team) (end func(ran bool)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	window := u.meter.Begin(u.clock.At(steady.Now()))
	return func(ran bool) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.meter.End(window, team, ran)
		if ran {
			usageCounted.Inc()
		}
	}
}

// addTo adds the host's time of day and the changed counts to a request if they are due, and returns the report that it added.
func (u *Usage) addTo(request *fleetpb.WatchRequest, teams *catalog.Catalog) *metering.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := steady.Now()
	if u.clock.Due(now) {
		request.ClockMs = u.clock.OnArrival(timeOfDay()).Milliseconds()
	}
	if teams == nil || now.Sub(u.reportedAt) < usageInterval && !request.GetLeaving() {
		return nil
	}
	report := u.meter.Report(u.clock.At(now))
	if report == nil {
		return nil
	}
	u.reportedAt = now
	u.index(teams)
	request.Usage = encodeReport(report, uint64(teams.Version), u.indices)
	return report
}

// index sets the indices to those of a configuration's teams.
func (u *Usage) index(teams *catalog.Catalog) {
	if u.indexed == teams {
		return
	}
	u.indexed, u.indices = teams, make(map[ident.Team]uint32, len(teams.Teams))
	for i := range teams.Teams {
		u.indices[teams.Teams[i].Name] = uint32(i)
	}
}

// finish makes the next report the last one of the host.
func (u *Usage) finish() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.meter.Finish()
}

// leaderLost makes the next request contain everything that is not closed: the next leader has nothing yet, and waits for each host
// before it closes a window.
func (u *Usage) leaderLost() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.meter.LeaderLost()
	u.reportedAt = 0
}

// receive records the response to a request that contained a report, or none if that is nil.
func (u *Usage) receive(sentAt, receivedAt ident.Time, report *metering.Report, response *fleetpb.WatchResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if response.GetTimeMs() != 0 {
		u.clock.Set(sentAt, receivedAt, metering.InstantOf(response.GetTimeMs()))
	}
	if receipt := response.GetUsage(); receipt != nil && report != nil {
		leadership := metering.Leadership(receipt.GetLeadership())
		if leadership != u.meter.Leadership() {
			// A leader waits for a report that builds on its own receipt.
			u.reportedAt = 0
		}
		u.meter.Confirm(report, metering.Receipt{Leadership: leadership, Closed: metering.Window(receipt.GetClosed())})
	}
	u.logLosses()
}

// logLosses logs and counts the statements that came too late to be reported.
func (u *Usage) logLosses() {
	late, dropped := u.meter.Late()-u.late, u.meter.Dropped()-u.dropped
	if late == 0 && dropped == 0 {
		return
	}
	u.late, u.dropped = u.meter.Late(), u.meter.Dropped()
	usageLate.Add(int(late))
	usageDropped.Add(int(dropped))
	klog.InfoS("Usage counted too late for its report", "late", late, "dropped", dropped)
}

// encodeReport returns a report as a message, with the teams as indices into those of a configuration version.
func encodeReport(report *metering.Report, version uint64, indices map[ident.Team]uint32) *fleetpb.UsageReport {
	message := &fleetpb.UsageReport{Leadership: uint64(report.Leadership), Version: version, Complete: uint64(report.Complete)}
	for window, counts := range report.Windows {
		encoded := &fleetpb.WindowUsage{Window: uint64(window)}
		for team, count := range counts {
			index, found := indices[team]
			if !found {
				encoded.Others = append(encoded.Others, &fleetpb.TeamUsage{Team: string(team), Count: count})
				continue
			}
			encoded.Teams = append(encoded.Teams, index)
			encoded.Counts = append(encoded.Counts, count)
		}
		message.Windows = append(message.Windows, encoded)
	}
	return message
}
