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
	// balancerTimeout bounds a readiness check, as a host may be unresponsive.
	balancerTimeout = 500 * time.Millisecond
)

// Target holds the addresses of an entry host for callers and for readiness checks.
type Target struct {
	Caller, Peer string
}

// Balancer simulates the platform's load balancer, which sends requests only to hosts that answer /ready.
type Balancer struct {
	client *http.Client
	mutex  sync.Mutex
	ready  []bool
	hosts  []Target
}

// NewBalancer returns a balancer that checks the readiness of hosts until ctx ends; it assumes that they are ready at first.
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

// Pick maps a random number to the address of a ready host, or of any host when none is ready.
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
