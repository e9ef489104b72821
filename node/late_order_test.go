package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// operatorWait is the time for which an operator waits for an answer before it calls another host.
	operatorWait = time.Second
	// freezeLength is longer than that, and long enough for the election of another leader; shortFreeze is shorter.
	freezeLength = 2500 * time.Millisecond
	shortFreeze  = 500 * time.Millisecond
	// spreadTime is the time within which a change reaches all entry hosts, several of their intervals.
	spreadTime = 2 * time.Second
)

// zone is the availability zone of the orders. It has no upstreams, so that no primary has to be replaced.
const zone = "z9"

// evacuateOrder returns the call that takes a zone out of service or back into it.
func evacuateOrder(zone string, active bool) string {
	return "Evacuate." + map[bool]string{true: "Begin", false: "End"}[active] + "/" + zone
}

// call sends a call of the operator to a core host and returns a channel with the status, 0 for no answer. The connection stays open for as long
// as no answer comes, even if nobody waits for it any more.
func (f *fleet) call(host int, path string) <-chan int {
	status := make(chan int, 1)
	go func() {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Post("http://"+f.controlAddresses()[host]+"/tamarackshunt/"+path, "", strings.NewReader(""))
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	return status
}

// order sends an order to one host after the other, beginning with the given one, until one acknowledges it within operatorWait.
func (f *fleet) order(host int, path string) {
	f.t.Helper()
	end := time.Now().Add(eventuallyTimeout)
	for try := 0; time.Now().Before(end); try++ {
		select {
		case status := <-f.call((host+try)%3, path):
			if status == http.StatusOK {
				return
			}
		case <-time.After(operatorWait):
		}
		time.Sleep(pollInterval)
	}
	require.Fail(f.t, "order not acknowledged", path)
}

// duringFreeze sends a call to a core host that is frozen for a while, and runs a function meanwhile. It returns the channel with the status of
// the call, which the host reads when it wakes.
func (f *fleet) duringFreeze(host int, length time.Duration, path string, run func()) <-chan int {
	process := f.cores[host].command.Process
	signal := func(s syscall.Signal) { require.NoError(f.t, process.Signal(s)) }
	signal(syscall.SIGSTOP)
	// On a busy machine threads go on for milliseconds, enough to answer the call.
	f.eventually("stopped", func() bool { return stopped(process.Pid) })
	wake := time.NewTimer(length)
	status := f.call(host, path)
	run()
	<-wake.C
	signal(syscall.SIGCONT)
	return status
}

// stopped reports whether all threads of a process are stopped.
func stopped(pid int) bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		_, state, found := strings.Cut(string(stat), ") ")
		if err != nil || !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(threads) > 0
}

// lastEvacuated matches the zones out of service in a log line of an entry host.
var lastEvacuated = regexp.MustCompile(`^.* evacuated=(\S*)`)

// evacuated reports whether a zone is out of service in the latest directory of all entry hosts, or in that of none of them if active is false.
func (f *fleet) evacuated(zone string, active bool) bool {
	for _, entry := range f.entries {
		zones := ""
		for line := range strings.Lines(entry.log.String()) {
			if match := lastEvacuated.FindStringSubmatch(line); match != nil {
				zones = match[1]
			}
		}
		if strings.Contains(zones, zone) != active {
			return false
		}
	}
	return true
}

// Guards against an evacuation that was acknowledged and is undone by an older order, which its operator had given up: a core host that was
// frozen reads the older order when it wakes. The host may be the leader or not, and the order may be of either kind.
func TestLateOrder(t *testing.T) {
	f := newFleet(t)
	for host := range 3 {
		for _, active := range []bool{true, false} {
			f.order(host, evacuateOrder(zone, active))
			late := f.duringFreeze(host, freezeLength, evacuateOrder(zone, !active), func() {
				time.Sleep(operatorWait)
				f.order(host+1, evacuateOrder(zone, !active))
				f.order(host+1, evacuateOrder(zone, active))
			})
			name := fmt.Sprintf("host %d, evacuated %t", host, active)
			require.NotEqual(t, http.StatusOK, <-late, name)
			f.eventually(name, func() bool { return f.evacuated(zone, active) })
			time.Sleep(spreadTime)
			require.True(t, f.evacuated(zone, active), name)
		}
	}
}

// Guards against a check of late orders that refuses what an operator waits for: an order to a host that is frozen for less than the operator's
// wait, the first order after a freeze, and orders on two zones at once.
func TestOrdersInTime(t *testing.T) {
	f := newFleet(t)
	const otherZone = "z8"
	for host := range 3 {
		short := f.duringFreeze(host, shortFreeze, evacuateOrder(zone, true), func() {})
		if <-short != http.StatusOK {
			// A freeze may cost the core its leader for a moment. The operator then sends the order again.
			f.order(host, evacuateOrder(zone, true))
		}
		f.eventually("evacuated", func() bool { return f.evacuated(zone, true) })
		f.duringFreeze(host, freezeLength, evacuateOrder(zone, true), func() {})
		other := f.call(host, evacuateOrder(otherZone, true))
		f.order(host, evacuateOrder(zone, false))
		if <-other != http.StatusOK {
			f.order(host, evacuateOrder(otherZone, true))
		}
		f.eventually("taken back", func() bool { return f.evacuated(zone, false) && f.evacuated(otherZone, true) })
		f.order(host, evacuateOrder(zone, false))
		f.order(host, evacuateOrder(otherZone, false))
	}
}
