package core

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/steady"
)

var (
	announcements      = metrics.NewCounter("tamarack_core_announcements_total")
	staleAnnouncements = metrics.NewCounter("tamarack_core_announcements_stale_total")
	lateAnnouncements  = metrics.NewCounter("tamarack_core_announcements_late_total")
)

// Announce records an upstream's announcement, forwards it to the other core hosts, so that they know the upstreams when one of
// them becomes the leader, and returns once the leader has it. It returns an expiry.LateError for one that checkOrder refuses.
func (c *Core) Announce(ctx context.Context, a *fleetpb.Announcement) error {
	announcements.Inc()
	if err := c.checkOrder(ctx, a, senderTimeout); err != nil {
		return err
	}
	c.recordAnnouncement(a)
	if c.leads() {
		c.forwardAnnouncement(ctx, a)
		c.saveEnd(ctx, a)
		return nil
	}
	cause := errNotLeader
	results := c.forwardAnnouncement(ctx, a)
	for range cap(results) {
		err := <-results
		if err == nil {
			return nil
		}
		if !errors.Is(err, errNotLeader) {
			cause = err
		}
	}
	return &NoLeaderError{cause}
}

// forwardAnnouncement sends an announcement to all other core hosts. Each of them adds a result to the returned channel: nil from
// the leader, and an error from the others.
func (c *Core) forwardAnnouncement(ctx context.Context, a *fleetpb.Announcement) <-chan error {
	batch := &fleetpb.AnnounceBatch{Announcements: []*fleetpb.Announcement{a}}
	hosts := newLeaderSearch(c.options.Peer, c.coreHosts()).next()
	results := make(chan error, len(hosts))
	for _, host := range hosts {
		go func() { results <- c.passOn(ctx, host, batch) }()
	}
	return results
}

// passOn sends announcements to a core host. It returns errNotLeader if that host has recorded them but is not the leader.
func (c *Core) passOn(ctx context.Context, host string, batch *fleetpb.AnnounceBatch) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), forwardTimeout)
	defer cancel()
	result, err := c.peer(host).PassOn(ctx, batch)
	if err != nil {
		klog.V(1).InfoS("Announcement not forwarded", "host", host, "problem", problem(err))
		return err
	}
	for _, newer := range result.GetNewer() {
		c.recordAnnouncement(newer)
	}
	if !result.GetLeads() {
		return errNotLeader
	}
	return nil
}

// checkOrder returns an expiry.LateError for an announcement that names no start of its upstream and whose sender, which waits for a time,
// has given it up. Such announcements of two starts can't be ordered: the end of an earlier start would end the one that runs.
func (c *Core) checkOrder(ctx context.Context, a *fleetpb.Announcement, wait time.Duration) error {
	now := steady.Now()
	age := now.Sub(c.pauses.Arrived(ctx, now, steady.Awake()))
	if a.GetBorn() != 0 || age <= wait && !expiry.Closed(ctx) {
		return nil
	}
	lateAnnouncements.Inc()
	klog.InfoS("Announcement not recorded", "upstream", a.GetUpstream(), "gone", a.GetGone(), "ageMs", age.Milliseconds())
	return &expiry.LateError{By: max(0, age-wait)}
}

func (c *Core) recordAnnouncement(a *fleetpb.Announcement) {
	if !c.directory.Record(steady.Now(), a) {
		staleAnnouncements.Inc()
	}
}
