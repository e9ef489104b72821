package measure

import (
	"context"
	"fmt"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/history"
	"tamarackshunt.dev/load/scenario"
	"tamarackshunt.dev/load/workload"
)

const (
	// idleTime is the time over which the traffic of idle hosts is counted: 40 syncs of each host.
	idleTime = 10 * time.Second
	// failovers is the number of primaries that are killed one after the other; it is odd so that the median is one of them.
	failovers = 5
	// failoverWrites is the number of writes acknowledged before and after each failure, so that each begins in a working fleet.
	failoverWrites = 40
	failoverPace   = 10 * time.Millisecond
	zonePace       = 40 * time.Millisecond
	// zoneWrites is the number of writes acknowledged before the zone is taken out, while it is out and after its return.
	zoneWrites = 200
)

// idleTraffic measures the bytes per second between each host without the control role and the control hosts, without load.
func idleTraffic(ctx context.Context, m *runState) (Result, error) {
	m.Pause(2 * time.Second)
	before := m.controlBytes()
	began := time.Now()
	m.Pause(idleTime)
	elapsed := time.Since(began).Seconds()
	worst, worstHost, total := 0.0, "", 0.0
	after := m.controlBytes()
	for host, bytes := range after {
		rate := float64(bytes-before[host]) / elapsed
		total += rate
		if rate > worst {
			worst, worstHost = rate, host
		}
	}
	return Result{
		Name:  "control traffic of an idle host",
		Value: fmt.Sprintf("mean %.0f B/s, worst %.0f B/s (%s)", total/float64(max(len(after), 1)), worst, worstHost),
		Bound: fmt.Sprintf("< %d B/s", boundIdleTraffic),
		Met:   worst > 0 && worst < boundIdleTraffic,
	}, ctx.Err()
}

// controlBytes returns the payload bytes of each host's connections to control hosts, in both directions, by host. It covers
// the hosts without the control role, or the control hosts if there are no others.
func (m *runState) controlBytes() map[string]uint64 {
	var control, others []string
	for _, h := range m.Fleet.Hosts {
		if h.Settings.GetData() != "" {
			control = append(control, h.Name)
		} else {
			others = append(others, h.Name)
		}
	}
	if len(others) == 0 {
		others = control
	}
	bytes := make(map[string]uint64)
	for _, host := range others {
		for _, c := range control {
			sent, received := m.Fleet.Network.Link(host, c).Bytes()
			bytes[host] += sent + received
		}
	}
	return bytes
}

// failoverGap kills the primary of one service several times, starting it again after each failover, and measures the longest
// time between acknowledged writes.
func failoverGap(ctx context.Context, m *runState) (Result, error) {
	service := m.Fleet.Services()[0]
	sessions := m.sessions(service, 4)
	if err := m.Run(scenario.Load{Seed: m.opts.Seed, Sessions: sessions, Mix: workload.Mix{Writes: 80}, Pace: failoverPace}); err != nil {
		return Result{}, err
	}
	var gaps []time.Duration
	for range failovers {
		if err := m.WaitForWrites(ctx, service, failoverWrites); err != nil {
			return Result{}, err
		}
		killed := m.Runner.Now()
		if err := m.failover(ctx, service); err != nil {
			return Result{}, err
		}
		if err := m.WaitForWrites(ctx, service, failoverWrites); err != nil {
			return Result{}, err
		}
		gap, _ := history.LongestGap(m.Runner.Events(), ident.Service(service), killed)
		gaps = append(gaps, time.Duration(gap))
		m.opts.Logf("failover gap %s", time.Duration(gap).Round(time.Millisecond))
	}
	slices.Sort(gaps)
	median, longest := gaps[len(gaps)/2], gaps[len(gaps)-1]
	return Result{
		Name:  fmt.Sprintf("failover gap, %d killed primaries", failovers),
		Value: fmt.Sprintf("median %s, most %s", median.Round(time.Millisecond), longest.Round(time.Millisecond)),
		Bound: fmt.Sprintf("median < %s, always < %s", boundGapMedian, boundGapMax),
		Met:   median < boundGapMedian && longest < boundGapMax,
	}, m.stopAndCheck()
}

func (m *runState) failover(ctx context.Context, service string) error {
	primary, term, err := m.Fleet.Primary(ctx, service, 0)
	if err != nil {
		return err
	}
	if err := primary.Kill(); err != nil {
		return err
	}
	if _, _, err := m.Fleet.Primary(ctx, service, term); err != nil {
		return err
	}
	return primary.Start()
}

// zoneChange takes an availability zone out of service and brings it back, and counts the requests that fail meanwhile.
func zoneChange(ctx context.Context, m *runState) (Result, error) {
	load := scenario.Load{Seed: m.opts.Seed, Users: 1, Mix: workload.Mix{Writes: 30}, Pace: zonePace, Balanced: true}
	if err := m.Run(load); err != nil {
		return Result{}, err
	}
	service := m.Fleet.Services()[0]
	if err := m.WaitForWrites(ctx, service, zoneWrites); err != nil {
		return Result{}, err
	}
	zone := m.Fleet.Deployment.GetText().GetZones()[0]
	for _, out := range []bool{true, false} {
		zone.Out = out
		if err := m.Fleet.Apply(ctx); err != nil {
			return Result{}, err
		}
		m.opts.Logf("availability zone %s: out=%v", zone.GetName(), out)
		// A zone that is out gets no new work after 4 s; the longer pause covers the time after that too.
		m.Pause(6 * time.Second)
		if err := m.WaitForWrites(ctx, service, zoneWrites); err != nil {
			return Result{}, err
		}
	}
	if err := m.stopAndCheck(); err != nil {
		return Result{}, err
	}
	codes := m.Runner.Codes()
	done := codes[""]
	delete(codes, "")
	failed := 0
	for _, n := range codes {
		failed += n
	}
	value := fmt.Sprintf("%d of %d", failed, failed+done)
	if failed > 0 {
		value += " (" + scenario.FormatCodes(codes) + ")"
	}
	return Result{
		Name:  fmt.Sprintf("failed requests while zone %s leaves and returns", zone.GetName()),
		Value: value, Bound: "0", Met: failed == 0 && done > 0,
	}, nil
}
