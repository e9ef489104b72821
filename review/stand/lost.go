package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["lost"] = lost }

const (
	lostWriters = 8
	// lastRound is when the last round begins, and roundPause the time between two rounds.
	lastRound  = 95 * time.Second
	roundPause = 4 * time.Second
	// partitionTime bounds a partition; the site files have primary_cut for 7.0 s at most.
	partitionTime = 6800 * time.Millisecond
)

// replicationDelay draws how much later a replica receives a commit: 60 ms in the mean, as the replicas of the Authority are behind.
func replicationDelay() time.Duration {
	const mean, spread, most = 60.0, 0.6, 360.0
	ms := mean * math.Exp(spread*rand.NormFloat64()-spread*spread/2)
	return time.Duration(min(ms, most) * float64(time.Millisecond))
}

// lost: a primary is partitioned from the core and is replaced, while callers that reach it write all the time. A commit is
// acknowledged once one replica has received it.
func lost(r *record, program string, trouble bool) ([]string, error) {
	f, groups, stop, err := deployment(r, program, "primary", 2, func(g *group) { g.syncReplicas, g.slots = 1, 3 })
	if err != nil {
		return nil, err
	}
	defer stop()
	g := groups[0]
	for _, b := range g.members {
		b.delay = replicationDelay
	}
	if err := warmUp(r, f, g); err != nil {
		return nil, err
	}
	acknowledged := map[string]time.Time{}
	promoted := 0
	for round := 0; time.Since(r.start) < lastRound; round++ {
		old := g.leader()
		stopWriting, done := make(chan struct{}), make(chan struct{})
		go func() {
			write(r, f, g, round, stopWriting, acknowledged)
			close(done)
		}()
		time.Sleep(500 * time.Millisecond)
		if trouble {
			g.mu.Lock()
			old.cut = true
			g.mu.Unlock()
			r.printf("round %d: the primary %s is partitioned from the core", round, old.id)
		}
		for cut := time.Now(); time.Since(cut) < partitionTime && g.leader() == old; {
			time.Sleep(20 * time.Millisecond)
		}
		if g.leader() != old {
			promoted++
		}
		g.mu.Lock()
		old.cut = false
		g.mu.Unlock()
		r.printf("round %d: the partition ends", round)
		time.Sleep(300 * time.Millisecond)
		close(stopWriting)
		<-done
		if breaks := lostCommits(r, g, acknowledged); len(breaks) > 0 {
			return breaks, nil
		}
		time.Sleep(roundPause)
	}
	if trouble && promoted == 0 {
		return nil, errors.New("no primary was replaced")
	}
	return nil, nil
}

// lostCommits returns the acknowledged commits that a promoted server lacked.
func lostCommits(r *record, g *group, acknowledged map[string]time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var breaks []string
	for _, id := range g.rolledBack {
		if at, found := acknowledged[id]; found {
			breaks = append(breaks, fmt.Sprintf("LOST: commit %s, acknowledged at %.3f, isn't in the log of the server that was promoted", id, at.Sub(r.start).Seconds()))
		}
	}
	return breaks
}

// warmUp runs one write through each machine, so that connections are open.
func warmUp(r *record, f *fleet, g *group) error {
	for i, m := range f.machines {
		c, err := dial(r, "warm-up", m, strings.Replace(g.service, "svc", "db", 1), keyOne)
		if err != nil {
			return err
		}
		_, a := c.query(fmt.Sprintf("STORE warm-up-%d x", i))
		c.close()
		if !a.ok() {
			return fmt.Errorf("a write before the trouble failed: %s", a)
		}
	}
	return nil
}

// write makes callers at several machines write, one write after the other, until stop is closed. It collects the acknowledged ones.
func write(r *record, f *fleet, g *group, round int, stop <-chan struct{}, acknowledged map[string]time.Time) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	for w := range lostWriters {
		wait.Go(func() {
			c, err := dial(r, fmt.Sprintf("writer-%d-%d", round, w), f.machines[w%len(f.machines)], strings.Replace(g.service, "svc", "db", 1), []string{keyOne, keyTwo}[w%2])
			if err != nil {
				return
			}
			defer c.close()
			for n := 0; !stopped(); n++ {
				id, a := c.query(fmt.Sprintf("STORE item-%d-%d-%d x", round, w, n))
				if a.ok() {
					mu.Lock()
					acknowledged[id] = time.Now()
					mu.Unlock()
				}
				if a.err != nil {
					return
				}
			}
		})
	}
	wait.Wait()
}
