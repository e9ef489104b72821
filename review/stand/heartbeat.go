package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["heartbeat"] = heartbeat }

// heartbeat: another writer's heartbeat, with an id whose bytes are no text, reaches the core. Then the operator changes the
// configuration.
func heartbeat(r *record, program string, trouble bool) ([]string, error) {
	f, _, stop, err := deployment(r, program, "primary", 2, nil)
	if err != nil {
		return nil, err
	}
	defer stop()
	if trouble {
		sendUnreadable(f)
	}
	time.Sleep(time.Second)
	// Version 8 takes the key of tenant-two away and adds the route db-new.
	routes := []string{routeText("r-new", "db-new", "primary", "svc-1")}
	var services []string
	for s := 1; s <= 3; s++ {
		routes = append(routes, routeText(fmt.Sprintf("r-%d", s), fmt.Sprintf("db-%d", s), "primary", fmt.Sprintf("svc-%d", s)))
		services = append(services, serviceText(fmt.Sprintf("svc-%d", s), 0))
	}
	version8 := configurationText(8, routes, services, []string{tenantText("tenant-one", keyOne), tenantText("tenant-two", "another4key")})
	if err := f.configure(10*time.Second, version8); err != nil {
		return nil, err
	}
	r.printf("version 8 is acknowledged")
	time.Sleep(6 * time.Second)
	var breaks []string
	for _, m := range f.machines {
		r.printf("%s is ready: %t", m.name, f.ready(m))
		if c, err := dial(r, "withdrawn-key@"+m.name, m, "db-1", keyTwo); err == nil {
			if _, a := c.query("STORE withdrawn-" + m.name + " x"); a.ok() {
				breaks = append(breaks, fmt.Sprintf("CONFIG: %s runs a write for a key that the configuration dropped, 6 s after the acknowledgement", m.name))
			}
			c.close()
		} else {
			r.printf("withdrawn key at %s: %v", m.name, err)
		}
		c, err := dial(r, "new-route@"+m.name, m, "db-new", keyOne)
		if err == nil {
			c.query("FETCH a")
			c.close()
			continue
		}
		r.printf("new route at %s: %v", m.name, err)
		if strings.Contains(err.Error(), "NODB") {
			breaks = append(breaks, fmt.Sprintf("CONFIG: %s refuses a route that is there, 6 s after the acknowledgement: %v", m.name, err))
		}
	}
	return breaks, nil
}

// sendUnreadable sends one heartbeat, as senders of heartbeats do: to the next node until one acknowledges it.
func sendUnreadable(f *fleet) {
	body, _ := json.Marshal(map[string]any{
		"service": "svc-1", "addr": f.prefix + ".190:8240", "zone": "zone-a", "version": "v1", "capacity": 2, "state": "ready",
		"warmup_left_ms": 0, "db_role": "replica", "seq": 1, "born": time.Now().UnixMilli(),
	})
	for _, m := range f.core() {
		response, err := f.client.Post("http://"+m.address(portControl)+"/tamarackshunt/Instances.Heartbeat/i-%ff%fe", "application/json", bytes.NewReader(body))
		if err != nil {
			f.record.printf("heartbeat of i-%%ff%%fe to %s: %v", m.name, err)
			continue
		}
		_ = response.Body.Close()
		f.record.printf("heartbeat of i-%%ff%%fe to %s: status %d", m.name, response.StatusCode)
		if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusBadRequest {
			return
		}
	}
}
