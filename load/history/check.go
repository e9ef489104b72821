package history

import (
	"cmp"
	"fmt"
	"slices"

	"tamarackshunt.dev/fleet/ident"
)

// Fault is a kind of violation.
type Fault string

// Kinds of violations.
const (
	// Lost is an acknowledged record that is missing from the final state.
	Lost Fault = "lost"
	// Doubled is a record that exists more than once or whose write ran more than once.
	Doubled Fault = "doubled"
	// Phantom is a record that exists although its write was answered as not run, or that no client wrote.
	Phantom Fault = "phantom"
	// Torn is a transaction of which only a part took effect.
	Torn Fault = "torn"
	// Stale is a read that missed an earlier acknowledged write of its session.
	Stale Fault = "stale"
)

// Violation is one event or record that breaks a guarantee of the proxy.
type Violation struct {
	Fault   Fault
	Session ident.Session
	ID      string
	Detail  string
}

// String returns the violation in one line.
func (v Violation) String() string {
	if v.ID == "" {
		return fmt.Sprintf("%s: session %s: %s", v.Fault, v.Session, v.Detail)
	}
	return fmt.Sprintf("%s: record %s of session %s: %s", v.Fault, v.ID, v.Session, v.Detail)
}

// Verdict holds the result of Check: numbers of events and the violations.
type Verdict struct {
	Acknowledged, NotRun, Unknown int
	Reads, Counts                 int
	Violations                    []Violation
}

// String returns the verdict in one line.
func (v Verdict) String() string {
	return fmt.Sprintf("%d writes acknowledged, %d not run, %d unknown, %d reads, %d counts, %d violations",
		v.Acknowledged, v.NotRun, v.Unknown, v.Reads, v.Counts, len(v.Violations))
}

// Check compares the outcomes of writes with the results of reads and with the final state; a nil final state isn't checked.
func Check(events []Event, final *FinalState) Verdict {
	c := &checker{
		final:           final,
		writeByID:       make(map[string]Write),
		writesBySession: make(map[ident.Session][]Write),
	}
	for _, event := range events {
		if w, ok := event.(Write); ok {
			c.addWrite(w)
		}
	}
	c.checkFinal()
	for _, event := range events {
		switch e := event.(type) {
		case Read:
			c.verdict.Reads++
			c.checkRead(e)
		case Count:
			c.verdict.Counts++
			c.checkCount(e)
		}
	}
	slices.SortStableFunc(c.verdict.Violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Fault, b.Fault), cmp.Compare(a.Session.String(), b.Session.String()), cmp.Compare(a.ID, b.ID))
	})
	return c.verdict
}

type checker struct {
	final           *FinalState
	writeByID       map[string]Write
	writesBySession map[ident.Session][]Write
	verdict         Verdict
}

func (c *checker) report(fault Fault, session ident.Session, id, format string, args ...any) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{fault, session, id, fmt.Sprintf(format, args...)})
}

func (c *checker) addWrite(w Write) {
	switch w.Outcome {
	case Acknowledged:
		c.verdict.Acknowledged++
	case NotRun:
		c.verdict.NotRun++
	case Unknown:
		c.verdict.Unknown++
	case Duplicate:
		c.report(Doubled, w.Session, w.IDs[0], "its one write was answered as a duplicate: %s", w.Cause)
	}
	for _, id := range w.IDs {
		c.writeByID[id] = w
	}
	c.writesBySession[w.Session] = append(c.writesBySession[w.Session], w)
}

func (c *checker) checkFinal() {
	if c.final == nil {
		return
	}
	for session, writes := range c.writesBySession {
		counted := 0
		for _, w := range writes {
			present := c.checkRecords(w)
			if w.Counted {
				counted += present
			}
		}
		if got := c.final.Counters[session]; got != counted {
			fault := Doubled
			if got < counted {
				fault = Torn
			}
			c.report(fault, session, "", "its counter is %d, and its records in transactions are %d", got, counted)
		}
	}
	for id := range c.final.Rows {
		if _, known := c.writeByID[id]; !known {
			c.report(Phantom, ident.Session{}, id, "nobody wrote it")
		}
	}
}

// checkRecords checks the records of one write and returns how many of them are in the final state.
func (c *checker) checkRecords(w Write) int {
	present := 0
	for _, id := range w.IDs {
		rows := c.final.Rows[id]
		if rows > 0 {
			present++
		}
		switch {
		case rows > 1:
			c.report(Doubled, w.Session, id, "there are %d rows at the end", rows)
		case rows == 0 && w.Outcome == Acknowledged:
			c.report(Lost, w.Session, id, "it was acknowledged and is not there at the end")
		case rows == 1 && w.Outcome == NotRun:
			c.report(Phantom, w.Session, id, "its write was answered as not run: %s", w.Cause)
		}
	}
	if present != 0 && present != len(w.IDs) && w.Outcome != Acknowledged {
		c.report(Torn, w.Session, w.IDs[0], "%d of the %d records of its transaction are there", present, len(w.IDs))
	}
	return present
}

func (c *checker) checkRead(r Read) {
	w, known := c.writeByID[r.ID]
	switch {
	case !known:
		if r.Found > 0 {
			c.report(Phantom, r.Session, r.ID, "a read saw it and nobody wrote it")
		}
	case r.Found > 1:
		c.report(Doubled, r.Session, r.ID, "a read saw %d rows", r.Found)
	case r.Found == 1 && w.Outcome == NotRun:
		c.report(Phantom, r.Session, r.ID, "a read saw it, and its write was answered as not run: %s", w.Cause)
	case r.Found == 1 && w.Start > r.End:
		c.report(Phantom, r.Session, r.ID, "a read saw it before it was written")
	case r.Found == 0 && w.Outcome == Acknowledged && w.Session == r.Session && w.End < r.Start:
		c.report(Stale, r.Session, r.ID, "it was acknowledged at %d, and the read from %d to %d did not see it", w.End, r.Start, r.End)
	}
}

// checkCount checks that a count includes all records acknowledged before it began, and no more than the records whose
// writes began before it ended and may have run.
func (c *checker) checkCount(n Count) {
	minCount, maxCount := 0, 0
	for _, w := range c.writesBySession[n.Session] {
		if w.Outcome == Acknowledged && w.End < n.Start {
			minCount += len(w.IDs)
		}
		if w.Outcome != NotRun && w.Start < n.End {
			maxCount += len(w.IDs)
		}
	}
	if n.Found < minCount {
		c.report(Stale, n.Session, "", "a count from %d to %d saw %d records of the %d acknowledged before", n.Start, n.End, n.Found, minCount)
	}
	if n.Found > maxCount {
		c.report(Phantom, n.Session, "", "a count from %d to %d saw %d records of at most %d written", n.Start, n.End, n.Found, maxCount)
	}
}

// LongestGap returns the longest time between two successive acknowledged writes of a service, and when it began. Only gaps
// that end after from count.
func LongestGap(events []Event, service ident.Service, from ident.Time) (longest, at ident.Time) {
	var acknowledged []ident.Time
	for _, event := range events {
		if w, ok := event.(Write); ok && w.Outcome == Acknowledged && w.Session.Service == service {
			acknowledged = append(acknowledged, w.At)
		}
	}
	slices.Sort(acknowledged)
	for i := 1; i < len(acknowledged); i++ {
		gap := acknowledged[i] - acknowledged[i-1]
		if acknowledged[i] > from && gap > longest {
			longest, at = gap, acknowledged[i-1]
		}
	}
	return longest, at
}
