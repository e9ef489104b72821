package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	service = "druzstvo-ledger"
	key     = "u6wsjnbanfqasnmgkcuy"
	second  = "j8pjbvk9m68k7b2ex5wa"
	// newHolder is the tenant that a key is given to.
	newHolder = "wuno96b"
	// Bounds of the settings.
	drainTime    = 7 * time.Second
	evacuateTime = 5 * time.Second
	contactTime  = 5 * time.Second
	applyTime    = 3 * time.Second
	// addressReuse is addr_reuse_s, the time after which the address of an ended backend is used again.
	addressReuse = 2 * time.Second
)

func (f *fleet) tenants(keys ...string) []tenant {
	list := []tenant{{Name: "nypu920", Keys: keys, Rate: 300, Burst: 300}}
	for i := range f.extraTenants {
		list = append(list, tenant{Name: fmt.Sprintf("idle%d", i), Keys: []string{fmt.Sprintf("idlekey%d", i)}, Rate: 100, Burst: 100})
	}
	return list
}

// setUp starts the fleet with one group of three databases, of which the first is the primary.
func setUp(f *fleet, syncReplicas int) (*group, []*database, error) {
	g := newGroup(f.record, service, syncReplicas)
	f.groups[service] = g
	delays := []time.Duration{0, 2 * time.Millisecond, 12 * time.Millisecond}
	var list []*database
	for i, zone := range zones {
		if !f.spread {
			zone = zones[0]
		}
		d := g.add(fmt.Sprintf("i-%d%s", i+1, "f3a91c2"), net.JoinHostPort(f.ip(20+i), strconv.Itoa(portData)), zone, delays[i])
		d.primary = i == 0
		list = append(list, d)
	}
	go g.replicate(f.done)
	if err := f.startAll(); err != nil {
		return nil, nil, err
	}
	for _, d := range list {
		if err := d.start(); err != nil {
			return nil, nil, err
		}
		go f.announce(d)
	}
	time.Sleep(time.Second)
	if err := f.order(0, "/tamarackshunt/Config.Put", f.configuration(service, syncReplicas, f.tenants(key, second))); err != nil {
		return nil, nil, err
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return nil, nil, err
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if s, err := dialSession(f.front(0), "orders", key, "first"); err == nil {
			_, a := s.ask("STORE first 1")
			s.close()
			if a.ok {
				return g, list, nil
			}
		}
		if time.Now().After(end) {
			return nil, nil, errors.New("the fleet serves no write")
		}
	}
}

// client repeats requests in sessions until done is closed: each of its requests is one statement.
func (f *fleet) client(done <-chan struct{}, name string, front int, database string, pause time.Duration, text func(n int) string, answered func(id string, a answer)) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-done:
			if s != nil {
				s.close()
			}
			return
		case <-time.After(pause):
		}
		if s == nil {
			var err error
			if s, err = dialSession(f.front(front), database, key, name+"."+strconv.Itoa(n)); err != nil {
				continue
			}
		}
		request := text(n)
		id, a := s.ask(request)
		f.record.add("client %s: %s %s -> %s", name, id, request, a)
		answered(id, a)
		if a.lost {
			s.close()
			s = nil
		}
	}
}

// lost replaces one replica as planned. With trouble, the other replica receives nothing for a while and the primary crashes meanwhile.
func lost(f *fleet, trouble bool) error {
	g, list, err := setUp(f, 1)
	if err != nil {
		return err
	}
	a, b, c := list[0], list[1], list[2]
	var mu sync.Mutex
	answered := map[string]bool{}
	check := func(d *database, when string) {
		has := map[string]bool{}
		for _, entry := range d.log {
			has[entry.id] = true
		}
		mu.Lock()
		defer mu.Unlock()
		missing, example := 0, ""
		for id := range answered {
			if !has[id] {
				missing++
				example = max(example, id)
			}
		}
		if missing > 0 {
			f.record.violation("LOST: %s, %d writes that were acknowledged to clients are not in the log of %s, such as %s", when, missing, d.id, example)
		}
	}
	g.promoted = func(d *database) { check(d, "at its promotion") }
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			f.client(done, fmt.Sprintf("w%d", i), i%3, "orders", 40*time.Millisecond,
				func(n int) string { return fmt.Sprintf("STORE item%d-%d data%d", i, n, n) },
				func(id string, a answer) {
					if a.ok {
						mu.Lock()
						answered[id] = true
						mu.Unlock()
					}
				})
		})
	}
	time.Sleep(3 * time.Second)
	f.drain(b)
	drained := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(drained.Add(after))) }
	// With DEAF=0 that replica receives all the time, some milliseconds later than the other one.
	deaf := trouble && os.Getenv("DEAF") != "0"
	if deaf {
		at(3 * time.Second)
		g.mu.Lock()
		c.deaf = true
		g.mu.Unlock()
		f.record.say("replica %s receives nothing from now on", c.id)
	}
	if trouble {
		at(4500 * time.Millisecond)
		a.stop("crash of the primary")
	}
	at(drainTime + 300*time.Millisecond)
	f.deregister(b)
	time.Sleep(addressReuse)
	fresh := g.add("i-4f3a91c2", b.addr, b.zone, b.delay)
	g.mu.Lock()
	fresh.log, fresh.term = append([]commit(nil), b.log...), b.term
	g.mu.Unlock()
	if err := fresh.start(); err != nil {
		return err
	}
	go f.announce(fresh)
	if deaf {
		at(9 * time.Second)
		g.mu.Lock()
		c.deaf = false
		g.mu.Unlock()
		f.record.say("replica %s receives again", c.id)
	}
	if trouble {
		at(11500 * time.Millisecond)
		if err := a.start(); err != nil {
			return err
		}
	}
	at(22 * time.Second)
	close(done)
	clients.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.leader()
	if p == nil {
		return errors.New("there is no primary at the end")
	}
	check(p, "at the end")
	f.record.say("%d writes acknowledged to clients", len(answered))
	return nil
}

// undone evacuates a zone, takes it back and evacuates it again. With trouble, one core host is frozen while the middle order is sent.
func undone(f *fleet, trouble bool) error {
	g, _, err := setUp(f, 0)
	if err != nil {
		return err
	}
	const zone = "vychod-a"
	var mu sync.Mutex
	var from time.Time
	after := 0
	g.ran = func(d *database, _, id, text string) {
		mu.Lock()
		defer mu.Unlock()
		f.record.add("database %s runs %s %s", d.id, id, text)
		if d.zone == zone && !from.IsZero() && time.Now().After(from) {
			if after++; after == 1 {
				f.record.violation("EVAC: %s ran at %s in the evacuated zone %s", id, d.id, zone)
			}
		}
	}
	done := make(chan struct{})
	defer close(done)
	for i := range 3 {
		go f.client(done, fmt.Sprintf("r%d", i), 2, "look", 50*time.Millisecond,
			func(n int) string { return fmt.Sprintf("FETCH item%d", n) }, func(string, answer) {})
	}
	time.Sleep(2 * time.Second)
	leader := f.leaderIndex()
	frozen := (leader + 1) % len(f.machines)
	other := (leader + 2) % len(f.machines)
	f.record.say("the leader of the core is %s", f.machines[leader].name)
	if err := f.order(other, "/tamarackshunt/Evacuate.Begin/"+zone, nil); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	core := f.machines[frozen].processes["core"]
	if trouble {
		core.signal(syscall.SIGSTOP)
		f.record.say("core process of %s frozen", f.machines[frozen].name)
	}
	thaw := time.Now().Add(4 * time.Second)
	time.Sleep(100 * time.Millisecond)
	if err := f.order(frozen, "/tamarackshunt/Evacuate.End/"+zone, nil); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if err := f.order(other, "/tamarackshunt/Evacuate.Begin/"+zone, nil); err != nil {
		return err
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(thaw))
	if trouble {
		core.signal(syscall.SIGCONT)
		f.record.say("core process of %s goes on", f.machines[frozen].name)
	}
	mu.Lock()
	// All machines are in touch again, and the evacuation is in force.
	from = time.Now().Add(contactTime + 200*time.Millisecond)
	if bound := acknowledged.Add(evacuateTime); bound.After(from) {
		from = bound
	}
	mu.Unlock()
	time.Sleep(contactTime + 6*time.Second)
	mu.Lock()
	defer mu.Unlock()
	f.record.say("%d statements ran in the evacuated zone after the bound", after)
	return nil
}

// revoked takes a key away while its client is in a transaction.
func revoked(f *fleet, trouble bool) error {
	g, _, err := setUp(f, 0)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	ranFor := map[string]string{}
	g.ran = func(d *database, team, id, text string) {
		f.record.add("database %s runs %s %s for %s", d.id, id, text, team)
		mu.Lock()
		defer mu.Unlock()
		ranFor[id] = team
	}
	// With MOVED=1 the key is not dropped but given to another tenant.
	moved := os.Getenv("MOVED") == "1"
	s, err := dialSession(f.front(1), "orders", second, "tx")
	if err != nil {
		return err
	}
	defer s.close()
	var acknowledged time.Time
	ask := func(text string) answer {
		sent := time.Now()
		id, a := s.ask(text)
		f.record.say("client: %s %s -> %s, state %s", id, text, a, s.state)
		mu.Lock()
		defer mu.Unlock()
		team := ranFor[id]
		late := !acknowledged.IsZero() && sent.After(acknowledged.Add(applyTime))
		switch {
		case late && moved && team != "" && team != newHolder:
			f.record.violation("UNASKED: %s %q was sent %.1f s after the key had been given to %s, and ran for %s", id, text,
				sent.Sub(acknowledged).Seconds(), newHolder, team)
		case late && !moved && team != "":
			f.record.violation("CONFIG: %s %q was sent %.1f s after the key had been dropped, and ran", id, text, sent.Sub(acknowledged).Seconds())
		}
		return a
	}
	if a := ask("BEGIN"); !a.ok {
		return errors.New("no transaction")
	}
	if a := ask("STORE rent1 before"); !a.ok {
		return errors.New("no write")
	}
	if trouble {
		list := f.tenants(key)
		if moved {
			list = append(list, tenant{Name: newHolder, Keys: []string{second}, Rate: 300, Burst: 300})
		}
		if err := f.order(0, "/tamarackshunt/Config.Put", f.configuration(service, 0, list)); err != nil {
			return err
		}
		mu.Lock()
		acknowledged = time.Now()
		mu.Unlock()
	}
	for n := range 6 {
		time.Sleep(1500 * time.Millisecond)
		ask(fmt.Sprintf("FETCH rent%d", n))
	}
	ask("STORE rent2 after")
	ask("COMMIT")
	fresh, err := dialSession(f.front(1), "orders", second, "fresh")
	if err == nil {
		fresh.close()
	}
	f.record.say("a new session with the key: %v", err)
	return nil
}

// evacuee evacuates a zone while a client reads in a transaction there.
func evacuee(f *fleet, trouble bool) error {
	g, _, err := setUp(f, 0)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	where := map[string]string{}
	g.ran = func(d *database, _, id, text string) {
		f.record.add("database %s runs %s %s", d.id, id, text)
		mu.Lock()
		defer mu.Unlock()
		where[id] = d.zone
	}
	s, err := dialSession(f.front(2), "look", key, "tx")
	if err != nil {
		return err
	}
	s.ask("BEGIN FETCH")
	id, a := s.ask("FETCH item0")
	mu.Lock()
	zone := where[id]
	mu.Unlock()
	f.record.say("client: %s FETCH item0 -> %s in %s", id, a, zone)
	if !a.ok {
		return errors.New("no transaction")
	}
	defer s.close()
	var acknowledged time.Time
	if trouble {
		if err := f.order(0, "/tamarackshunt/Evacuate.Begin/"+zone, nil); err != nil {
			return err
		}
		acknowledged = time.Now()
	}
	for n := range 9 {
		time.Sleep(time.Second)
		sent := time.Now()
		id, a := s.ask(fmt.Sprintf("FETCH item%d", n))
		mu.Lock()
		at := where[id]
		mu.Unlock()
		f.record.say("client: %s FETCH -> %s in %s", id, a, at)
		if !acknowledged.IsZero() && sent.After(acknowledged.Add(evacuateTime)) && at == zone {
			f.record.violation("EVAC: %s ran in %s %.1f s after its evacuation was acknowledged", id, zone, sent.Sub(acknowledged).Seconds())
		}
	}
	s.ask("COMMIT")
	return nil
}

// homes kills the entry processes of the region that is the home of a route at the same moment.
func homes(f *fleet, trouble bool) error {
	f.spread, f.extraTenants, f.homes = false, 15, []string{"zapad"}
	g, list, err := setUp(f, 0)
	if err != nil {
		return err
	}
	const home, client = "zapad-a", "vychod-a"
	var mu sync.Mutex
	from := map[string]int{}
	g.ranFrom = func(d *database, c net.Conn, id, text string) {
		owner, zone := f.owner(c)
		mu.Lock()
		defer mu.Unlock()
		from[owner]++
		f.record.add("database %s ran %s, which came from %s", d.id, id, owner)
		if zone != home && zone != client && zone != "" && from[owner] == 1 {
			f.record.violation("HOME: %s %q of a client in %s came to %s from %s, in a region that is neither a home of the route nor the client's",
				id, text, client, d.id, owner)
		}
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			f.client(done, fmt.Sprintf("r%d", i), 2, "look", 50*time.Millisecond,
				func(n int) string { return fmt.Sprintf("FETCH item%d", n) }, func(string, answer) {})
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		killed := 0
		for _, m := range f.machines {
			if m.zone == home {
				m.processes["entry"].signal(syscall.SIGKILL)
				killed++
			}
		}
		f.record.say("the entry processes of %s killed, %d of %d", home, killed, len(f.machines))
		time.Sleep(2 * time.Second)
		for _, m := range f.machines {
			if m.zone != home {
				continue
			}
			<-m.processes["entry"].exited
			if err := f.start(m, "entry"); err != nil {
				return err
			}
		}
		f.record.say("the entry processes of %s started again", home)
	}
	time.Sleep(5 * time.Second)
	close(done)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	for owner, n := range from {
		f.record.say("%d statements came from %q", n, owner)
	}
	f.record.say("the databases are in %s, %s and %s", list[0].zone, list[1].zone, list[2].zone)
	return nil
}
