package upstream

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

var statementsEvacuated = metrics.NewCounter("tamarack_upstream_statements_evacuated_total")

// Evacuate makes the pool refuse statements because the upstream's availability zone is evacuated: new ones from now on, and those of
// open transactions after a grace period. It changes nothing if the pool is evacuated already.
func (p *Pool) Evacuate(now ident.Time, grace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evacuation.Begin(now, grace) {
		klog.InfoS("Upstream evacuated", "upstream", p.target.Upstream, "zone", p.target.Zone, "grace", grace)
	}
}

// EndEvacuation ends what Evacuate has begun.
func (p *Pool) EndEvacuation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evacuation.End() {
		klog.InfoS("Upstream no longer evacuated", "upstream", p.target.Upstream, "zone", p.target.Zone)
	}
}

func (p *Pool) isEvacuated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuation.Active()
}

// checkEvacuation returns a statement.Failure if a statement must not be sent because of an evacuation. inTransaction is set if it belongs
// to a transaction that is open on the upstream.
func (p *Pool) checkEvacuation(inTransaction bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evacuation.Allows(steady.Now(), inTransaction) {
		return nil
	}
	statementsEvacuated.Inc()
	failure := &statement.Failure{Code: statement.CodeMoved, Text: "the availability zone of the upstream is evacuated"}
	if inTransaction {
		failure.Code = statement.CodeAborted
	}
	return failure
}
