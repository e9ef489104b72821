package observer

import (
	"sync"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// repeatAfter is the time after which an unchanged observation is sent again; the leader uses an observation for 1.5 s.
	repeatAfter = 750 * time.Millisecond
	// maxSilence is the longest time without an answer for which an upstream counts as unchanged; idle upstreams are polled
	// every 100 ms.
	maxSilence = 300 * time.Millisecond
)

// Reporter adds observations to syncs. It omits unchanged ones until repeatAfter has passed, since they make up most of the
// control traffic of an idle host.
type Reporter struct {
	observed func() []*fleetpb.Observed
	now      func() ident.Time
	mutex    sync.Mutex
	sent     map[upstreamKey]sentObservation
}

type upstreamKey struct {
	service, name string
}

// sentObservation is the last observation of an upstream that was added to a sync, and the time of that sync.
type sentObservation struct {
	at          ident.Time
	observation *fleetpb.Observed
}

// NewReporter returns a reporter of the observations that observed returns.
func NewReporter(observed func() []*fleetpb.Observed, now func() ident.Time) *Reporter {
	return &Reporter{observed: observed, now: now, sent: make(map[upstreamKey]sentObservation)}
}

// Report adds to a sync the observations that are new, changed or due to be repeated.
func (r *Reporter) Report(request *fleetpb.SyncRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	kept := make(map[upstreamKey]sentObservation, len(r.sent))
	for _, o := range r.observed() {
		key := upstreamKey{o.GetService(), o.GetUpstream()}
		last, known := r.sent[key]
		if !known || due(now, last, o) {
			request.Observed = append(request.Observed, o)
			last = sentObservation{now, o}
		}
		kept[key] = last
	}
	r.sent = kept
}

// due reports whether an observation must be sent, given the last one that was sent.
func due(now ident.Time, last sentObservation, o *fleetpb.Observed) bool {
	switch {
	case now.Sub(last.at) >= repeatAfter:
		return true
	case o.GetRefused() || time.Duration(o.GetSilentMs())*time.Millisecond > maxSilence:
		return true
	}
	was := last.observation
	return was.GetPrimary() != o.GetPrimary() || was.GetFollowing() != o.GetFollowing() || was.GetTerm() != o.GetTerm()
}
