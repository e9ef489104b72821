package metering

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Meter counts the operations that begin to run through one entry host. An operation is counted in the window in which it was sent,
// once it is known that it was not refused; counts therefore never fall, and reports need no order. It is not safe for concurrent use.
type Meter struct {
	length  time.Duration
	windows map[Window]*openWindow
	// closed is the latest window of which the leader has said that it is closed.
	closed     Window
	leadership Leadership
	// complete is the latest window that this leadership knows as complete.
	complete Window
	// finished is set once the host begins no more operations.
	finished bool
	// late counts the operations of closed windows, dropped those of windows that were dropped before they were closed.
	late, dropped uint64
}

// openWindow is a window that the leader has not closed.
type openWindow struct {
	counts Counts
	// confirmed are the counts that the present leadership has.
	confirmed Counts
	// running is the number of operations without an answer.
	running int
}

// NewMeter returns a meter without counts for windows of a length.
func NewMeter(length time.Duration) *Meter {
	return &Meter{length: length, windows: map[Window]*openWindow{}}
}

// Begin records that an operation is sent at an instant, and returns its window for End.
func (m *Meter) Begin(at Instant) Window {
	w := WindowAt(at, m.length)
	m.open(w).running++
	return w
}

// End records the end of an operation. It is counted if it may have run.
func (m *Meter) End(w Window, team ident.Team, ran bool) {
	open := m.windows[w]
	switch {
	case open != nil:
		open.running--
		if ran {
			open.counts[team]++
		}
	case ran && w <= m.closed:
		m.late++
	case ran:
		m.dropped++
	}
	m.discardClosed()
}

// Late returns the number of operations that ended after their window was closed.
func (m *Meter) Late() uint64 { return m.late }

// Dropped returns the number of operations in windows that were dropped because too many were open.
func (m *Meter) Dropped() uint64 { return m.dropped }

func (m *Meter) open(w Window) *openWindow {
	open := m.windows[w]
	if open == nil {
		open = &openWindow{counts: Counts{}, confirmed: Counts{}}
		m.windows[w] = open
		m.dropOldest()
	}
	return open
}

// dropOldest keeps the number of windows bounded while no leader closes them.
func (m *Meter) dropOldest() {
	if len(m.windows) <= MaxOpenWindows {
		return
	}
	var oldest Window
	for w := range m.windows {
		if oldest == 0 || w < oldest {
			oldest = w
		}
	}
	m.dropped += m.windows[oldest].counts.Total()
	delete(m.windows, oldest)
}

// Report returns what has changed since the last receipt, or nil if nothing has.
func (m *Meter) Report(now Instant) *Report {
	report := &Report{Leadership: m.leadership, Complete: m.completeAt(now), Windows: map[Window]Counts{}}
	for w, open := range m.windows {
		if w <= m.closed {
			continue
		}
		changed := Counts{}
		for team, count := range open.counts {
			if open.confirmed[team] != count {
				changed[team] = count
			}
		}
		if len(changed) > 0 {
			report.Windows[w] = changed
		}
	}
	if len(report.Windows) == 0 && report.Complete == m.complete {
		return nil
	}
	return report
}

// completeAt returns the latest window up to which all windows have ended, for this host, and have no running operation.
func (m *Meter) completeAt(now Instant) Window {
	complete := WindowAt(now, m.length)
	if !m.finished {
		complete--
	}
	for w, open := range m.windows {
		if open.running > 0 && w <= complete {
			complete = w - 1
		}
	}
	return complete
}

// Finish records that the host begins no more operations, so the leader need not wait for the end of the present window.
func (m *Meter) Finish() {
	m.finished = true
}

// LeaderLost records that the next leader may have nothing of what earlier ones have confirmed.
func (m *Meter) LeaderLost() {
	m.leadership, m.complete = 0, 0
	for _, open := range m.windows {
		clear(open.confirmed)
	}
}

// Leadership returns the leadership of the last receipt, or 0.
func (m *Meter) Leadership() Leadership { return m.leadership }

// Confirm records the receipt of a report. The receipt of another leadership means that the leader lacks what earlier ones had, so
// everything that is open is reported again.
func (m *Meter) Confirm(report *Report, receipt Receipt) {
	if receipt.Leadership != m.leadership {
		m.LeaderLost()
		m.leadership = receipt.Leadership
	}
	if report.Leadership == receipt.Leadership {
		m.complete = max(m.complete, report.Complete)
	}
	for w, counts := range report.Windows {
		if open := m.windows[w]; open != nil {
			for team, count := range counts {
				open.confirmed[team] = max(open.confirmed[team], count)
			}
		}
	}
	m.closed = max(m.closed, receipt.Closed)
	m.discardClosed()
}

// discardClosed discards the closed windows in which no operation runs any more. What the others count from now on is late.
func (m *Meter) discardClosed() {
	for w, open := range m.windows {
		if w > m.closed {
			continue
		}
		for team, count := range open.counts {
			m.late += count - open.confirmed[team]
			open.confirmed[team] = count
		}
		if open.running == 0 {
			delete(m.windows, w)
		}
	}
}
