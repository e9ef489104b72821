package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const evacuatedZone = 0

func evacuation(f *fleet, trouble bool) int {
	path := func(order string) string { return "Evacuate." + order + "/" + zone(evacuatedZone) }
	if !f.orderFrom(1, "POST", path("Begin"), "") {
		return notRun
	}
	for cycle := range 3 {
		away := cycle % hosts
		began := time.Now()
		if trouble {
			f.cores[away].signal(syscall.SIGSTOP)
			f.printf("core of %s frozen", zone(away))
		}
		if !f.orderFrom(away, "POST", path("End"), "") {
			return notRun
		}
		time.Sleep(300 * time.Millisecond)
		if !f.orderFrom((away+1)%hosts, "POST", path("Begin"), "") {
			return notRun
		}
		acknowledged := time.Now()
		time.Sleep(time.Until(began.Add(4 * time.Second)))
		if trouble {
			f.cores[away].signal(syscall.SIGCONT)
			f.printf("core of %s goes on", zone(away))
		}
		// From here on all machines are in touch, and evacuate_ms is over.
		time.Sleep(time.Until(acknowledged.Add(5200 * time.Millisecond)))
		time.Sleep(time.Until(began.Add(9200 * time.Millisecond)))
		if n := f.readsAt(evacuatedZone, time.Second); n > 0 {
			f.printf("%d reads reached the backend of %s, %v after its evacuation was acknowledged", n, zone(evacuatedZone), time.Since(acknowledged).Round(time.Millisecond))
			return broken
		}
	}
	return held
}

// readsAt sends reads through all entry hosts and returns how many the backend of a zone answered.
func (f *fleet) readsAt(at int, during time.Duration) int {
	n, total := 0, 0
	for end, round := time.Now().Add(during), 0; time.Now().Before(end); round++ {
		f.write(round)
		for i := range hosts {
			c, err := f.dial(i, "bounded", "key-one", fmt.Sprintf("read-%d-%d-%d", i, round, time.Now().UnixNano()))
			if err != nil {
				continue
			}
			a := c.do("FETCH a")
			c.close()
			total++
			if strings.HasPrefix(a.signature, fmt.Sprintf("signed-by-i-%d-", at)) {
				if n++; n <= 3 {
					f.printf("read %s at host %s answered by the backend of %s: %s", a.id, zone(i), zone(at), a.signature)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.printf("%d reads sent, %d of them ran at the backend of %s", total, n, zone(at))
	return n
}

// write sends a write, so that the replicas have something to receive.
func (f *fleet) write(round int) {
	c, err := f.dial(round%hosts, "primary", "key-one", fmt.Sprintf("write-%d-%d", round, time.Now().UnixNano()))
	if err != nil {
		return
	}
	defer c.close()
	if a := c.do(fmt.Sprintf("STORE a %d", round)); a.err != nil || a.failure != "" {
		f.printf("write %s: %v %s", a.id, a.err, a.failure)
	}
}
