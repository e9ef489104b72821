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
	// idleTime is the time over which the traffic of idle hosts is counted, 40 syncs of each host.
	idleTime = 10 * time.Second
	// failovers is the number of primaries that are killed one after the other; its median needs an odd number.
	failovers = 5
	// failoverWrites are acknowledged between two failures, so that each hits a fleet that serves.
	failoverWrites = 40
	failoverPace   = 10 * time.Millisecond
	zonePace       = 40 * time.Millisecond
	// zoneWrites are acknowledged while the zone is out and after its return.
	zoneWrites = 200
)

// idleTraffic counts the bytes between each host without the control role and the control hosts, without any caller.
func idleTraffic(ctx context.Context, m *run) (Result, error) {
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

// controlBytes returns the payload bytes of each host's connections to control hosts, both directions, by host; of control
// hosts only when the deployment has no others.
func (m *run) controlBytes() map[string]uint64 {
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

// failoverGap kills the primary of one service several times, and starts it again after each.
func failoverGap(ctx context.Context, m *run) (Result, error) {
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
	median, most := gaps[len(gaps)/2], gaps[len(gaps)-1]
	return Result{
		Name:  fmt.Sprintf("failover gap, %d killed primaries", failovers),
		Value: fmt.Sprintf("median %s, most %s", median.Round(time.Millisecond), most.Round(time.Millisecond)),
		Bound: fmt.Sprintf("median < %s, always < %s", boundGapMedian, boundGapMax),
		Met:   median < boundGapMedian && most < boundGapMax,
	}, m.finish()
}

func (m *run) failover(ctx context.Context, service string) error {
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

// zoneChange takes an availability zone out of service and brings it back under load.
func zoneChange(ctx context.Context, m *run) (Result, error) {
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
		// A zone that is out gets no new work after 4 s, so the time after that counts too.
		m.Pause(6 * time.Second)
		if err := m.WaitForWrites(ctx, service, zoneWrites); err != nil {
			return Result{}, err
		}
	}
	if err := m.finish(); err != nil {
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
