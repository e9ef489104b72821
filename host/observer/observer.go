package observer

import (
	"context"
	"slices"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/peer"
)

// refreshInterval is the interval at which Run reads the control state even if no change was signaled.
const refreshInterval = 250 * time.Millisecond

// Member is an upstream of a group and its address.
type Member struct {
	Upstream ident.Upstream
	Address  string
}

// Group is the database group of a service as the control state has it.
type Group struct {
	Service ident.Service
	Members []Member
	// Size is the configured number of members.
	Size    int
	Term    ident.Term
	Primary ident.Upstream
	// Base is the position of the primary's last record before its promotion.
	Base ident.Position
}

// Fleet provides the control state as this host knows it.
type Fleet interface {
	Groups() []Group
	// Hosts returns the live hosts that can observe groups, including this one.
	Hosts() []Host
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Options configure an Observer.
type Options struct {
	Self  ident.Host
	Fleet Fleet
	// User and Password are the credentials for the upstreams.
	User, Password string
	// TLS holds the certificate authority of the upstreams; nil means connections without TLS.
	TLS *certificate.Store
	// Peers authenticates the calls of other hosts.
	Peers *peer.Network
}

// Observer observes the groups for which Choose selects this host.
type Observer struct {
	options    Options
	start      time.Time
	syncNeeded chan struct{}

	mu      sync.Mutex
	watches map[ident.Service]*watch
}

// New returns an observer; Run starts it.
func New(options Options) *Observer {
	return &Observer{options: options, start: time.Now(), syncNeeded: make(chan struct{}, 1), watches: map[ident.Service]*watch{}}
}

func (o *Observer) now() ident.Time {
	return ident.Time(time.Since(o.start))
}

// Run observes until the context ends, and returns after all connections are closed.
func (o *Observer) Run(ctx context.Context) {
	timer := time.NewTicker(refreshInterval)
	defer timer.Stop()
	for {
		changed := o.options.Fleet.Changed()
		o.update(ctx)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			o.stop(nil)
			return
		}
	}
}

// update starts and ends watches according to the control state.
func (o *Observer) update(ctx context.Context) {
	hosts := o.options.Fleet.Hosts()
	own := map[ident.Service]bool{}
	for _, g := range o.options.Fleet.Groups() {
		chosen := Choose(g.Service, hosts)
		if !slices.ContainsFunc(chosen, func(h Host) bool { return h.ID == o.options.Self }) {
			continue
		}
		own[g.Service] = true
		o.mu.Lock()
		w := o.watches[g.Service]
		if w == nil {
			w = newWatch(o, g.Service)
			o.watches[g.Service] = w
		}
		o.mu.Unlock()
		w.configure(ctx, g)
	}
	o.stop(own)
}

// stop ends the watches of all services but the given ones.
func (o *Observer) stop(keep map[ident.Service]bool) {
	o.mu.Lock()
	var ended []*watch
	for service, w := range o.watches {
		if !keep[service] {
			ended = append(ended, w)
			delete(o.watches, service)
		}
	}
	o.mu.Unlock()
	for _, w := range ended {
		w.close()
	}
}

func (o *Observer) watch(service ident.Service) *watch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.watches[service]
}

// SyncNeeded returns a channel that receives a value when an upstream starts to refuse connections, so that the host can send
// its next sync at once.
func (o *Observer) SyncNeeded() <-chan struct{} {
	return o.syncNeeded
}

// Observed returns the current observations for the next sync, ordered by service and member.
func (o *Observer) Observed() []*fleetpb.Observed {
	o.mu.Lock()
	var services []ident.Service
	for s := range o.watches {
		services = append(services, s)
	}
	o.mu.Unlock()
	slices.Sort(services)
	var all []*fleetpb.Observed
	for _, s := range services {
		if w := o.watch(s); w != nil {
			all = append(all, w.observed()...)
		}
	}
	return all
}

// Positions returns the positions of a group as this host knows them, or false if it does not observe the group.
func (o *Observer) Positions(service ident.Service) (group.Positions, bool) {
	w := o.watch(service)
	if w == nil {
		return group.Positions{}, false
	}
	p, _ := w.positions()
	return p, true
}
