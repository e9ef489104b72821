package upstream

import (
	"sync"
	"time"

	"tamarackshunt.dev/fleet/balance"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

// loadMeter holds what a pool measures of its upstream's load and what the upstream's gateway has reported.
type loadMeter struct {
	mu      sync.Mutex
	service balance.ServiceTime
	tracker balance.Tracker
}

// RecordLoad records the load that the upstream's gateway has reported. The zero load is no report.
func (p *Pool) RecordLoad(now ident.Time, load balance.Load) {
	if load.Slots == 0 {
		return
	}
	p.loads.mu.Lock()
	defer p.loads.mu.Unlock()
	p.loads.tracker.RecordLoad(now, load)
}

// RecordReply records an answer of the upstream to this host.
func (p *Pool) RecordReply(now ident.Time) {
	p.loads.mu.Lock()
	defer p.loads.mu.Unlock()
	p.loads.tracker.RecordAnswer(now)
}

// RecordSent counts a statement that this host sends to the upstream, after BeginStatement.
func (p *Pool) RecordSent(now ident.Time) {
	alone := p.Load(now).InFlight <= 1
	p.loads.mu.Lock()
	defer p.loads.mu.Unlock()
	p.loads.tracker.RecordSent(now, alone)
}

// Report returns the load that the upstream's gateway has reported, as known to this host.
func (p *Pool) Report(now ident.Time) balance.Report {
	p.loads.mu.Lock()
	defer p.loads.mu.Unlock()
	return p.loads.tracker.Report(now)
}

// MeasuredLoad returns the upstream's load from the statements on this pool. It is the upstream's whole load if this host is its
// gateway.
func (p *Pool) MeasuredLoad(now ident.Time) balance.Load {
	load, warmupRate := p.limiter.load(now)
	p.loads.mu.Lock()
	defer p.loads.mu.Unlock()
	load.Service = p.loads.service.Mean()
	if warmupRate > 0 {
		load.Service = max(load.Service, time.Duration(float64(load.Slots)/warmupRate*float64(time.Second)))
	}
	return load
}

// recordService records the time that a statement took if it succeeded. Failures are left out, since an upstream that refuses
// statements quickly would seem fast.
func (p *Pool) recordService(began ident.Time, result *statement.Result, err error) {
	if err != nil || result.Failure != nil {
		return
	}
	now := steady.Now()
	load, _ := p.limiter.load(now)
	p.loads.mu.Lock()
	defer p.loads.mu.Unlock()
	p.loads.service.Record(now.Sub(began), load.Running, load.Slots)
}

// load returns the statements that wait for a slot or a connection and those that run, the slots, and the warm-up rate, which is 0
// unless the upstream warms up.
func (l *limiter) load(now ident.Time) (balance.Load, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := balance.Load{
		Waiting: l.scheduler.Waiting() + l.scheduler.Reserved(),
		Running: l.scheduler.Running(),
		Slots:   l.scheduler.Limit() - spareStatements,
	}
	return load, l.scheduler.WarmupRate(now)
}
