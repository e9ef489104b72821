package rejections

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/sqlstate"
)

// maxGroups bounds the groups of rejections that are reported in one sync, so that control traffic stays small under overload.
const maxGroups = 16

// Log groups rejections by service, team and reason until a sync has reported them to the control leader. Its methods are safe
// for concurrent use.
type Log struct {
	host    ident.Host
	mutex   sync.Mutex
	pending map[group]*tally
	// sent holds the groups of the last sync. They are part of the next one again, unless Delivered was called.
	sent map[group]*tally
}

type group struct {
	service ident.Service
	team    ident.Team
	reason  sqlstate.Reason
}

type tally struct {
	count int
	last  time.Time
	cause string
}

// New returns an empty log.
func New(host ident.Host) *Log {
	return &Log{host: host, pending: make(map[group]*tally)}
}

// Add records one rejection of a session's request; a new group is dropped when there are maxGroups already.
func (l *Log) Add(session ident.Session, rejection *sqlstate.Rejection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := group{session.Service, session.Team, rejection.Reason}
	t := l.pending[key]
	if t == nil {
		if len(l.pending) >= maxGroups {
			return
		}
		t = &tally{}
		l.pending[key] = t
	}
	t.count++
	t.last = time.Now()
	t.cause = "user " + string(session.User) + ": " + rejection.Error()
}

// Report adds to the request of a sync all rejections that have not been delivered.
func (l *Log) Report(request *fleetpb.SyncRequest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.sent == nil {
		l.sent = make(map[group]*tally)
	}
	for key, t := range l.pending {
		switch waiting := l.sent[key]; {
		case waiting != nil:
			waiting.count, waiting.last, waiting.cause = waiting.count+t.count, t.last, t.cause
		case len(l.sent) < maxGroups:
			l.sent[key] = t
		}
	}
	l.pending = make(map[group]*tally)
	for key, t := range l.sent {
		request.Rejections = append(request.Rejections, &fleetpb.Event{
			UnixMs:  uint64(t.last.UnixMilli()),
			Host:    string(l.host),
			Kind:    "rejected",
			Subject: string(key.service) + "/" + string(key.team),
			Cause:   fmt.Sprintf("%s %s, last for %s", countText(t.count), key.reason, t.cause),
		})
	}
	sort.Slice(request.Rejections, func(i, j int) bool { return request.Rejections[i].Subject < request.Rejections[j].Subject })
}

func countText(n int) string {
	if n == 1 {
		return "once"
	}
	return fmt.Sprintf("%d times", n)
}

// Delivered drops the rejections of the last sync.
func (l *Log) Delivered() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent = nil
}
