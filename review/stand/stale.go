package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["stale"] = stale }

const (
	// staleness is max_staleness_ms of the bounded routes.
	staleness = 1500 * time.Millisecond
	// replacementLimit bounds the wait for the replacement of the primary; the partition ends 2.5 s after it at the latest.
	replacementLimit = 4500 * time.Millisecond
)

// stale: a primary is partitioned from its replicas and the core and is replaced. A transaction that has only read is open there and is
// committed after that. A bounded read follows.
func stale(r *record, program string, trouble bool) ([]string, error) {
	f, g, near, _, there, stop, err := deploymentWithVictim(r, program)
	if err != nil {
		return nil, err
	}
	defer stop()
	number := strings.TrimPrefix(g.service, "svc-")
	writer, err := dial(r, "writer", there, "db-"+number, keyTwo)
	if err != nil {
		return nil, err
	}
	defer writer.close()
	if _, a := writer.query("STORE item old"); !a.ok() {
		return nil, fmt.Errorf("the first write failed: %s", a)
	}
	time.Sleep(2 * time.Second)

	old := g.primary
	if trouble {
		g.mu.Lock()
		old.cut, old.alone = true, true
		g.mu.Unlock()
		r.printf("the primary %s is partitioned from the core and from its replicas", old.id)
	}
	holder, err := dial(r, "holder", near, "db-"+number, keyOne)
	if err != nil {
		return nil, err
	}
	defer holder.close()
	if trouble {
		// The transaction begins while the platform carries out the order to replace the primary.
		select {
		case <-f.cloud.orders:
		case <-time.After(replacementLimit):
			return nil, errors.New("the primary was not replaced during the partition")
		}
	}
	holder.query("BEGIN")
	if _, a := holder.query("FETCH item"); !a.ok() {
		return nil, fmt.Errorf("the transaction failed: %s", a)
	}
	rests := time.Now()
	for g.leader() == old && trouble {
		if time.Since(rests) > time.Second {
			return nil, errors.New("the order to replace the primary was not executed")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if _, a := writer.query("STORE item new"); !a.ok() {
		return nil, fmt.Errorf("the second write failed: %s", a)
	}
	acknowledged := time.Now()
	r.printf("the write is acknowledged %d ms after the transaction's last statement", acknowledged.Sub(rests).Milliseconds())
	time.Sleep(500 * time.Millisecond)
	if _, a := holder.query("COMMIT"); !a.ok() {
		return nil, errors.New("the transaction was not committed")
	}
	committed := time.Now()
	r.printf("the commit is answered %d ms after the write's acknowledgement", committed.Sub(acknowledged).Milliseconds())
	reader, err := dial(r, "reader", near, "look-"+number, keyOne)
	if err != nil {
		return nil, err
	}
	defer reader.close()
	var breaks []string
	time.Sleep(time.Until(acknowledged.Add(staleness + 10*time.Millisecond)))
	for time.Since(committed) < staleness+200*time.Millisecond {
		sent := time.Now()
		_, a := reader.query("FETCH item")
		if age := sent.Sub(acknowledged); a.ok() && len(a.rows) == 1 && a.rows[0] != "new" && age > staleness {
			breaks = append(breaks, fmt.Sprintf("STALE: a bounded read, sent %d ms after the acknowledgement of a commit, ran on a log without it: %s", age.Milliseconds(), a))
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.mu.Lock()
	old.cut, old.alone = false, false
	g.mu.Unlock()
	return breaks, nil
}
