package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["revoked"] = revoked }

const (
	// revokeLimit is revoke_ms, which is longer than config_apply_ms (3 s).
	revokeLimit = 5 * time.Second
	// txStatements is the number of statements of the transaction, and txPause the pause between them, below tx_idle_ms.
	txStatements = 11
	txPause      = 2 * time.Second
)

// revoked: a key is taken away from a connected client whose transaction is open.
func revoked(r *record, program string, trouble bool) ([]string, error) {
	f, groups, stop, err := deployment(r, program, "primary", 2, nil)
	if err != nil {
		return nil, err
	}
	defer stop()
	holder, err := dial(r, "holder", f.machines[1], "db-1", keyTwo)
	if err != nil {
		return nil, err
	}
	defer holder.close()
	holder.query("BEGIN")
	if _, a := holder.query("STORE item-0 x"); !a.ok() {
		return nil, errors.New("the transaction failed before the trouble")
	}
	var routes, services []string
	for s := 1; s <= 3; s++ {
		routes = append(routes, routeText(fmt.Sprintf("r-%d", s), fmt.Sprintf("db-%d", s), "primary", fmt.Sprintf("svc-%d", s)))
		services = append(services, serviceText(fmt.Sprintf("svc-%d", s), 0))
	}
	key := keyTwo
	if trouble {
		key = "another4key"
	}
	version8 := configurationText(8, routes, services, []string{tenantText("tenant-one", keyOne), tenantText("tenant-two", key)})
	if err := f.configure(10*time.Second, version8); err != nil {
		return nil, err
	}
	acknowledged := time.Now()
	r.printf("version 8 is acknowledged")
	sent := map[string]time.Time{}
	for n := 1; n <= txStatements; n++ {
		time.Sleep(txPause)
		text := fmt.Sprintf("STORE item-%d x", n)
		if n == txStatements {
			text = "COMMIT"
		}
		at := time.Now()
		id, a := holder.query(text)
		sent[id] = at
		if !a.ok() {
			break
		}
	}
	if c, err := dial(r, "newcomer", f.machines[1], "db-1", keyTwo); err == nil {
		r.printf("a new session with the key is accepted")
		c.close()
	} else {
		r.printf("a new session with the key: %v", err)
	}
	if !trouble {
		return nil, nil
	}
	var breaks []string
	g := groups[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.runs {
		if at, found := sent[s.id]; found && at.Sub(acknowledged) > revokeLimit {
			breaks = append(breaks, fmt.Sprintf("CONFIG: %q, sent %.1f s after the acknowledgement of the version that dropped its key, is run for %s",
				s.text, at.Sub(acknowledged).Seconds(), s.tenant))
		}
	}
	return breaks, nil
}
