package metering

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// settleDelay is the time after the end of a window before which it is not closed. Hosts learn the end a little apart.
const settleDelay = 500 * time.Millisecond

// closedKept is the number of closed windows for which the Ledger still recognizes late counts.
const closedKept = 4

// Ledger merges the counts of all hosts during one leadership of the core and decides when a window is closed. Repeated, late and
// reordered reports count once, since the counts of a host's start never fall. It is not safe for concurrent use.
type Ledger struct {
	length time.Duration
	// maxWait is the time after the end of a window at which it is closed without the hosts that are not complete.
	maxWait time.Duration
	sources map[Source]*sourceUsage
	// first is the earliest window known at the first start of the fleet.
	first Window
	// counted is the latest window that this leadership has closed.
	counted Window
}

// sourceUsage is what one start of a host has reported.
type sourceUsage struct {
	complete Window
	windows  map[Window]Counts
}

// NewLedger returns a ledger for windows of a length.
func NewLedger(length, maxWait time.Duration) *Ledger {
	return &Ledger{length: length, maxWait: maxWait, sources: map[Source]*sourceUsage{}}
}

// Record merges a host's report in a leadership, and returns the number of operations that came after their window was counted. A
// report that builds on the receipts of another leadership may lack counts, so it does not make the host complete.
func (l *Ledger) Record(leadership Leadership, source Source, report *Report) (late uint64) {
	usage := l.sources[source]
	if usage == nil {
		usage = &sourceUsage{windows: map[Window]Counts{}}
		l.sources[source] = usage
	}
	if report.Leadership == leadership {
		usage.complete = max(usage.complete, report.Complete)
	}
	for w, counts := range report.Windows {
		if w+closedKept <= l.counted {
			continue
		}
		merged := usage.windows[w]
		if merged == nil {
			merged = Counts{}
			usage.windows[w] = merged
		}
		for team, count := range counts {
			if count > merged[team] {
				if w <= l.counted {
					late += count - merged[team]
				}
				merged[team] = count
			}
		}
	}
	return late
}

// Closing is a window that can be closed.
type Closing struct {
	Window Window
	Counts Counts
	// Missing are the hosts that are not complete.
	Missing []ident.Host
	// Skipped is the number of windows before this one that are not reported, since no host has their counts any more.
	Skipped uint64
}

// Close returns the next window after last, the latest closed one, once it can be closed, and nil before. At the first start of the fleet
// last is 0, and the first window is the one in which the leader learned the time. live are the hosts in contact with the leader.
func (l *Ledger) Close(now Instant, last Window, live []Source) *Closing {
	current := WindowAt(now, l.length)
	closing := &Closing{Window: last + 1}
	switch {
	case last == 0:
		closing.Window = l.firstWindow(current)
	case closing.Window+MaxOpenWindows < current:
		closing.Skipped = uint64(current - MaxOpenWindows - closing.Window)
		closing.Window = current - MaxOpenWindows
	}
	end := closing.Window.End(l.length)
	if now < end.Add(settleDelay) {
		return nil
	}
	closing.Missing = l.missing(closing.Window, live)
	if len(closing.Missing) > 0 && now < end.Add(l.maxWait) {
		return nil
	}
	closing.Counts = l.sum(closing.Window)
	return closing
}

// Closed records that a window is closed, and returns the number of operations that came since Close returned it. What comes from now on is
// late as well.
func (l *Ledger) Closed(c *Closing) (late uint64) {
	late = l.sum(c.Window).Total() - c.Counts.Total()
	l.counted = max(l.counted, c.Window)
	l.forget()
	return late
}

// firstWindow returns the first window of the fleet: the earliest that a host has reported, or the one in which the leader learned the
// time. Windows that no host can hold any more come from a host whose clock was wrong before it knew the fleet's time.
func (l *Ledger) firstWindow(current Window) Window {
	if l.first == 0 {
		l.first = current
	}
	for _, usage := range l.sources {
		for w := range usage.windows {
			if w+MaxOpenWindows >= current {
				l.first = min(l.first, w)
			}
		}
	}
	return l.first
}

// missing returns the hosts that are not complete in a window: live ones, and those that counted something in it.
func (l *Ledger) missing(w Window, live []Source) []ident.Host {
	var hosts []ident.Host
	for _, source := range live {
		if usage := l.sources[source]; usage == nil || usage.complete < w {
			hosts = append(hosts, source.Host)
		}
	}
	for source, usage := range l.sources {
		if usage.complete < w && len(usage.windows[w]) > 0 {
			hosts = append(hosts, source.Host)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

func (l *Ledger) sum(w Window) Counts {
	total := Counts{}
	for _, usage := range l.sources {
		for team, count := range usage.windows[w] {
			total[team] += count
		}
	}
	return total
}

// forget drops closed windows for which late counts are not expected any more.
func (l *Ledger) forget() {
	for source, usage := range l.sources {
		for w := range usage.windows {
			if w+closedKept <= l.counted {
				delete(usage.windows, w)
			}
		}
		if len(usage.windows) == 0 && usage.complete+MaxOpenWindows < l.counted {
			delete(l.sources, source)
		}
	}
}
