package allotment

import (
	"sync"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/pool"
)

// Allotment allots the connections of upstreams, with one allocator for each upstream that hosts have requested. Its methods
// are safe for concurrent use.
type Allotment struct {
	mutex      sync.Mutex
	since      ident.Time
	leads      bool
	limits     map[string]int
	allocators map[upstream]*pool.Allocator
}

type upstream struct {
	service, name string
}

// New returns an Allotment, which allots nothing until this host leads.
func New() *Allotment {
	return &Allotment{}
}

// SetLeadership drops all allocators when the leadership changes, since they hold demands from an earlier leadership.
func (a *Allotment) SetLeadership(_ ident.Time, leadership control.Leadership) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if leadership.Leads && a.leads && leadership.Since == a.since {
		return
	}
	a.leads = leadership.Leads
	a.since = leadership.Since
	a.allocators = make(map[upstream]*pool.Allocator)
}

// SetState sets the connection limits of services from the configuration text in force.
func (a *Allotment) SetState(_ ident.Time, text *fleetpb.Text, _ []*fleetpb.Group) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.limits = make(map[string]int, len(text.GetServices()))
	for _, service := range text.GetServices() {
		a.limits[service.GetName()] = int(service.GetConnections())
	}
	for key, allocator := range a.allocators {
		allocator.SetLimit(a.limits[key.service])
	}
}

// Allot records the demands of one sync and returns the allotments for them.
func (a *Allotment) Allot(now ident.Time, request *fleetpb.SyncRequest, _ []*fleetpb.Alive) []*fleetpb.Allotment {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	host := ident.Host(request.GetHost())
	if request.GetGone() {
		for _, allocator := range a.allocators {
			allocator.RemoveHost(host)
		}
		return nil
	}
	var answers []*fleetpb.Allotment
	for _, demand := range request.GetDemand() {
		limit, found := a.limits[demand.GetService()]
		if !found || !a.leads {
			continue
		}
		allocator := a.allocator(upstream{demand.GetService(), demand.GetUpstream()}, limit)
		incarnation := ident.Incarnation(request.GetIncarnation())
		answers = append(answers, &fleetpb.Allotment{
			Service:     demand.GetService(),
			Upstream:    demand.GetUpstream(),
			Connections: uint32(allocator.Report(now, host, incarnation, demand, now.Add(control.Lease))),
		})
	}
	return answers
}

func (a *Allotment) allocator(key upstream, limit int) *pool.Allocator {
	allocator := a.allocators[key]
	if allocator == nil {
		allocator = pool.NewAllocator(pool.AllocatorOptions{Limit: limit, GraceUntil: a.since.Add(control.Lease)})
		a.allocators[key] = allocator
	}
	return allocator
}
