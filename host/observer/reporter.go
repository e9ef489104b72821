package observer

import (
	"sync"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// repeatAfter is the time after which an unchanged observation is sent again; the leader counts one for 1.5 s.
	repeatAfter = 750 * time.Millisecond
	// quiet is the silence up to which an upstream counts as unchanged; idle upstreams are asked every 100 ms.
	quiet = 300 * time.Millisecond
)

// Reporter adds observations to syncs. Unchanged ones are left out for a while, since they make up most of an idle host's
// control traffic.
type Reporter struct {
	observed func() []*fleetpb.Observed
	now      func() ident.Time
	mutex    sync.Mutex
	sent     map[upstream]sent
}

type upstream struct {
	service, name string
}

// sent is the last observation of an upstream that a sync carried.
type sent struct {
	at   ident.Time
	what *fleetpb.Observed
}

// NewReporter returns a reporter of what observed returns.
func NewReporter(observed func() []*fleetpb.Observed, now func() ident.Time) *Reporter {
	return &Reporter{observed: observed, now: now, sent: make(map[upstream]sent)}
}

// Report adds the observations that are due to a sync.
func (r *Reporter) Report(request *fleetpb.SyncRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	kept := make(map[upstream]sent, len(r.sent))
	for _, o := range r.observed() {
		key := upstream{o.GetService(), o.GetUpstream()}
		last, known := r.sent[key]
		if !known || due(now, last, o) {
			request.Observed = append(request.Observed, o)
			last = sent{now, o}
		}
		kept[key] = last
	}
	r.sent = kept
}

func due(now ident.Time, last sent, o *fleetpb.Observed) bool {
	switch {
	case now.Sub(last.at) >= repeatAfter:
		return true
	case o.GetRefused() || time.Duration(o.GetSilentMs())*time.Millisecond > quiet:
		return true
	}
	was := last.what
	return was.GetPrimary() != o.GetPrimary() || was.GetFollowing() != o.GetFollowing() || was.GetTerm() != o.GetTerm()
}
