package core

import (
	"time"

	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// directoryInterval is the least interval at which the directory for entry hosts is built anew. It is short beside the interval of
// their requests, of which there are many in it.
const directoryInterval = 50 * time.Millisecond

// unconfirmedWarmup is the warm-up, in milliseconds, for which an upstream is listed that has not announced itself since the core was
// restarted. It is about the interval of announcements.
const unconfirmedWarmup = 1000

// warmupLeft returns the rest of an upstream's warm-up in milliseconds. It is rounded up to whole seconds, so that it rarely
// changes the directory.
func warmupLeft(a *fleetpb.Announcement) uint32 {
	if a.GetWarmupMs() <= a.GetAgeMs() {
		return 0
	}
	const second = 1000
	return (a.GetWarmupMs() - a.GetAgeMs() + second - 1) / second * second
}

// entryDirectory returns the directory that is sent to entry hosts.
func (c *Core) entryDirectory(now ident.Time) *fleetpb.Directory {
	d := &fleetpb.Directory{Evacuated: c.state.evacuated(), Primaries: c.groups.primaries()}
	parsed := c.state.parsed()
	unconfirmed := c.directory.Unconfirmed()
	for _, a := range c.directory.List(now) {
		if parsed == nil {
			continue
		}
		service := parsed.Service(ident.Service(a.GetService()))
		if service == nil {
			continue
		}
		warmup := warmupLeft(a)
		if unconfirmed[ident.Upstream(a.GetUpstream())] && service.WarmupRate > 0 {
			// It may have been restarted with the core.
			warmup = unconfirmedWarmup
		}
		d.Upstreams = append(d.Upstreams, &fleetpb.Announcement{
			Upstream: a.GetUpstream(), Service: a.GetService(), Address: a.GetAddress(), Zone: a.GetZone(),
			Born: a.GetBorn(), Leaving: a.GetLeaving(), Capacity: a.GetCapacity(), WarmupMs: warmup,
		})
	}
	c.mu.Lock()
	d.Hosts = c.hosts.list(now)
	c.mu.Unlock()
	directory.Sort(d)
	return d
}

// directoryUpdate returns the digest of the directory for entry hosts, and what a host needs that has the directory with another
// digest: the change or the whole directory.
func (c *Core) directoryUpdate(now ident.Time, digest uint64) (uint64, *fleetpb.Directory, *fleetpb.DirectoryChange, error) {
	c.historyMu.Lock()
	defer c.historyMu.Unlock()
	if c.directoryAt == 0 || now.Sub(c.directoryAt) >= directoryInterval {
		current := c.entryDirectory(now)
		latest, err := c.history.Add(current)
		if err != nil {
			klog.ErrorS(err, "Directory not sent")
			return 0, nil, nil, err
		}
		c.directoryAt = now
		// This host may be elected again without having followed another leader.
		c.inheritable.Set(current, latest)
	}
	latest, whole, change := c.history.Update(digest)
	return latest, whole, change, nil
}
