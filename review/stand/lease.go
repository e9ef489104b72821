package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { scenarios["lease"] = lease }

const (
	keyOne, keyTwo = "u6wsjnbanfqasnmgkcuy", "j8pjbvk9m68k7b2ex5wa"
	limitsText     = `"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000}`
)

func routeText(name, database, kind, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/","type":%q,"timeout_ms":800,"slo_ms":400,"priority":1,"service":%q,"max_attempts":2,"max_staleness_ms":1500,"public":false,"allowed_regions":[]}`,
		name, database, kind, service)
}

func serviceText(name string, sync int) string {
	return fmt.Sprintf(`{"name":%q,"health_path":"/healthz","max_conns":18,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0,"sync_replicas":%d}`, name, sync)
}

func tenantText(name string, keys ...string) string {
	for i := range keys {
		keys[i] = fmt.Sprintf("%q", keys[i])
	}
	return fmt.Sprintf(`{"name":%q,"api_keys":[%s],"priority":1,"rate_per_s":144,"burst":144,"allowed_regions":[]}`, name, strings.Join(keys, ","))
}

func configurationText(version int, routes, services, tenants []string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],%s,"tenants":[%s]}`,
		version, strings.Join(routes, ","), strings.Join(services, ","), limitsText, strings.Join(tenants, ","))
}

// deployment starts a small deployment: services named svc-1 to svc-3, each with its primary in another zone, served by routes
// db-1 to db-3 of a kind and by bounded routes look-1 to look-3. It returns once every machine serves.
func deployment(r *record, program, kind string, perZone int, adjust func(*group)) (*fleet, []*group, func(), error) {
	f, err := newFleet(r, program, perZone)
	if err != nil {
		return nil, nil, nil, err
	}
	stopBeats := make(chan struct{})
	stop := func() {
		close(stopBeats)
		f.stop()
	}
	if f.cloud, err = startCloud(r, f.prefix+".200:8466"); err != nil {
		f.stop()
		return nil, nil, nil, err
	}
	var groups []*group
	var routes, services []string
	for s := range 3 {
		g := &group{record: r, service: fmt.Sprintf("svc-%d", s+1), term: 1, slots: 2}
		if adjust != nil {
			adjust(g)
		}
		f.cloud.groups[g.service] = g
		for i := range 3 {
			zone := f.zones[(s+i)%3]
			b, err := startBackend(g, fmt.Sprintf("i-%d%c%06x", s+1, 'a'+i, time.Now().UnixNano()%0xffffff), zone, fmt.Sprintf("%s.%d:8240", f.prefix, 100+10*s+i))
			if err != nil {
				stop()
				return nil, nil, nil, err
			}
			go b.announce(f, stopBeats)
		}
		groups = append(groups, g)
		routes = append(routes, routeText(fmt.Sprintf("r-%d", s+1), fmt.Sprintf("db-%d", s+1), kind, g.service),
			routeText(fmt.Sprintf("b-%d", s+1), fmt.Sprintf("look-%d", s+1), "bounded", g.service))
		services = append(services, serviceText(g.service, g.syncReplicas))
	}
	err = f.start()
	if err == nil {
		err = f.configure(20*time.Second, configurationText(7, routes, services, []string{tenantText("tenant-one", keyOne), tenantText("tenant-two", keyTwo)}))
	}
	if err == nil {
		err = f.waitReady(20*time.Second, f.machines...)
	}
	if err != nil {
		stop()
		return nil, nil, nil, err
	}
	// Announcements of all servers reach all machines within two intervals.
	time.Sleep(3 * time.Second)
	return f, groups, stop, nil
}

// leasesOpen returns the number of connections that a machine keeps for transactions of other machines, from its metrics page.
func (f *fleet) leasesOpen(m *machine) string {
	_, body := f.get(fmt.Sprintf("http://%s/metrics", m.address(portMetrics)))
	for line := range strings.Lines(body) {
		if value, found := strings.CutPrefix(line, "tamarack_gateway_leases_open "); found {
			return strings.TrimSpace(value)
		}
	}
	return "0"
}

const (
	earlyClients = 6
	laterClients = 12
)

// lease: clients have open transactions, as a machine without a disk is killed and starts again; others open transactions then.
func lease(r *record, program string, trouble bool) ([]string, error) {
	f, g, victim, here, there, stop, err := deploymentWithVictim(r, program)
	if err != nil {
		return nil, err
	}
	defer stop()
	database := strings.Replace(g.service, "svc", "db", 1)
	var early, later []*client
	defer func() {
		for _, c := range append(early, later...) {
			c.close()
		}
	}()
	for i := range earlyClients {
		c, err := dial(r, fmt.Sprintf("early-%d", i), here, database, keyOne)
		if err != nil {
			return nil, err
		}
		early = append(early, c)
		if _, a := c.query("BEGIN"); !a.ok() {
			return nil, errors.New("BEGIN failed before the trouble")
		}
		if _, a := c.query(fmt.Sprintf("STORE early-%d-a first", i)); !a.ok() {
			return nil, fmt.Errorf("STORE failed before the trouble: %s", a)
		}
	}
	if trouble {
		if os.Getenv("RESTART") == "planned" {
			terminateUnderWork(f, victim, early)
		} else {
			f.kill(victim, "entry")
		}
		if err := f.startProcess(victim, "entry", false); err != nil {
			return nil, err
		}
		if err := f.waitReady(2*time.Second, victim); err != nil {
			return nil, err
		}
		if os.Getenv("RESTART") == "planned" {
			// The other machines learn that it is back.
			time.Sleep(800 * time.Millisecond)
		}
	}
	refused := map[string]string{}
	for i := range laterClients {
		c, err := dial(r, fmt.Sprintf("later-%d", i), there, database, keyTwo)
		if err != nil {
			return nil, err
		}
		later = append(later, c)
		c.query("BEGIN")
		c.query(fmt.Sprintf("STORE later-%d-a first", i))
	}
	for i, c := range early {
		if _, a := c.query(fmt.Sprintf("STORE early-%d-b second", i)); a.ok() {
			c.query("COMMIT")
		} else {
			c.query("ROLLBACK")
		}
	}
	for i, c := range later {
		_, a := c.query("COMMIT")
		if !a.ok() {
			word, _, _ := strings.Cut(a.failure, " ")
			refused[fmt.Sprintf("later-%d-a", i)] = word
		}
	}
	return append(foreignStatements(g, append(early, later...)), keptAfterPromise(g, refused)...), nil
}

// terminateUnderWork sends SIGTERM to a machine's entry process and waits for its end. The clients go on with their transactions.
func terminateUnderWork(f *fleet, victim *machine, clients []*client) {
	command := victim.processes["entry"]
	ended := make(chan struct{})
	f.record.printf("SIGTERM to %s entry, process %d", victim.name, command.Process.Pid)
	_ = command.Process.Signal(syscall.SIGTERM)
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	const pause, before = 500 * time.Millisecond, 2 * time.Second
	for sent := time.Now(); time.Since(sent) < before; time.Sleep(pause) {
		for _, c := range clients {
			c.query("FETCH anything")
		}
	}
	<-ended
	f.record.printf("%s entry has ended", victim.name)
}

var errNoVictim = errors.New("no machine without a disk keeps the connections of a primary")

// deploymentWithVictim starts a deployment in which chooseVictim finds a machine.
func deploymentWithVictim(r *record, program string) (f *fleet, g *group, victim, here, there *machine, stop func(), err error) {
	// Which machine keeps the connections depends on the servers' random ids.
	for range 4 {
		var groups []*group
		if f, groups, stop, err = deployment(r, program, "primary", 3, nil); err != nil {
			return nil, nil, nil, nil, nil, nil, err
		}
		if g, victim, here, there, err = chooseVictim(r, f, groups); err == nil {
			return f, g, victim, here, there, stop, nil
		}
		stop()
		if !errors.Is(err, errNoVictim) {
			break
		}
	}
	return nil, nil, nil, nil, nil, nil, err
}

// chooseVictim returns a service and the machine without a disk that keeps its primary's connections for other machines, and two
// machines of other zones. It finds that machine by an open transaction.
func chooseVictim(r *record, f *fleet, groups []*group) (g *group, victim, here, there *machine, err error) {
	for _, g := range groups {
		var others []*machine
		for _, m := range f.machines {
			if m.zone != g.primary.zone && !m.disk {
				others = append(others, m)
			}
		}
		here, there := others[0], others[1]
		c, err := dial(r, "probe", here, strings.Replace(g.service, "svc", "db", 1), keyOne)
		if err != nil {
			return nil, nil, nil, nil, err
		}
		c.query("BEGIN")
		_, a := c.query("FETCH probe")
		for _, m := range f.machines {
			if a.ok() && m.zone == g.primary.zone && !m.disk && f.leasesOpen(m) != "0" {
				victim = m
			}
		}
		c.query("ROLLBACK")
		c.close()
		if victim != nil {
			r.printf("service %s: connections are kept by %s; clients at %s and %s", g.service, victim.name, here.name, there.name)
			return g, victim, here, there, nil
		}
	}
	return nil, nil, nil, nil, errNoVictim
}

// foreignStatements returns the statements that ran inside another client's transaction or under another tenant's name.
func foreignStatements(g *group, clients []*client) []string {
	owner, key := map[string]string{}, map[string]string{}
	for _, c := range clients {
		for id := range c.ids {
			owner[id], key[id] = c.name, map[bool]string{true: "tenant-one", false: "tenant-two"}[strings.HasPrefix(c.name, "early")]
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var breaks []string
	transactions := map[int]string{}
	for _, s := range g.runs {
		if owner[s.id] == "" {
			continue
		}
		if first, found := transactions[s.transaction]; found && s.transaction != 0 && first != owner[s.id] {
			breaks = append(breaks, fmt.Sprintf("PINNED: %q of %s ran inside the transaction of %s", s.text, owner[s.id], first))
		} else {
			transactions[s.transaction] = owner[s.id]
		}
		if s.tenant != key[s.id] {
			breaks = append(breaks, fmt.Sprintf("UNASKED: %q of %s, a client of %s, ran as a request of %s", s.text, owner[s.id], key[s.id], s.tenant))
		}
	}
	return breaks
}

// keptAfterPromise returns the items that were committed although their client was given a promise that nothing is kept.
func keptAfterPromise(g *group, refused map[string]string) []string {
	promises := map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MOVED": true, "MAXCONN": true}
	var breaks []string
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.primary.log {
		for _, w := range e.writes {
			if promises[refused[w[0]]] {
				breaks = append(breaks, fmt.Sprintf("REFUSED: the write of %s is committed although its client was answered %s", w[0], refused[w[0]]))
			}
		}
	}
	return breaks
}
