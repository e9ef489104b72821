package workload

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// balancerInterval is the time between readiness checks of a host.
	balancerInterval = 100 * time.Millisecond
	// balancerTimeout ends a readiness check of a silent host.
	balancerTimeout = 500 * time.Millisecond
)

// Target is an entry host as the balancer knows it.
type Target struct {
	Caller, Peer string
}

// Balancer stands for the platform's load balancer: it sends requests to hosts that answer /ready.
type Balancer struct {
	client *http.Client
	mutex  sync.Mutex
	ready  []bool
	hosts  []Target
}

// NewBalancer checks hosts until ctx ends.
func NewBalancer(ctx context.Context, hosts []Target) *Balancer {
	b := &Balancer{hosts: hosts, ready: make([]bool, len(hosts)), client: &http.Client{Timeout: balancerTimeout}}
	for i := range hosts {
		b.ready[i] = true
		go b.watch(ctx, i)
	}
	return b
}

func (b *Balancer) watch(ctx context.Context, i int) {
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		ready := b.check(ctx, b.hosts[i])
		b.mutex.Lock()
		b.ready[i] = ready
		b.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Balancer) check(ctx context.Context, host Target) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.Peer+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Pick returns the address of a ready host for a random number, or of any host when none is ready.
func (b *Balancer) Pick(random int) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var ready []string
	for i, host := range b.hosts {
		if b.ready[i] {
			ready = append(ready, host.Caller)
		}
	}
	if len(ready) == 0 {
		return b.hosts[random%len(b.hosts)].Caller
	}
	return ready[random%len(ready)]
}
