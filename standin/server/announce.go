package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/certificate"
)

// announceLease is how long an announcement is valid. The upstream renews it every third of that time.
const announceLease = 3 * time.Second

// Announcement is the JSON body of an announcement.
type Announcement struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	LeaseMs  int64  `json:"leaseMs"`
	Leaving  bool   `json:"leaving"`
}

// Announcer announces one upstream to the fleet.
type Announcer struct {
	// Hosts are the peer addresses of hosts. Each announcement is sent to one after the other until one accepts it.
	Hosts []string
	// Calls provides the HTTP clients for the announcements.
	Calls  *certificate.Hosts
	Key    string
	Body   Announcement
	Faults *Faults

	leaving atomic.Bool
	wake    chan struct{}
	next    int
}

// NewAnnouncer returns an announcer that is not yet running.
func NewAnnouncer(calls *certificate.Hosts, hosts []string, key string, body Announcement, faults *Faults) *Announcer {
	body.LeaseMs = announceLease.Milliseconds()
	return &Announcer{Hosts: hosts, Calls: calls, Key: key, Body: body, Faults: faults, wake: make(chan struct{}, 1)}
}

// Leave announces the upstream as leaving, at once and from now on.
func (a *Announcer) Leave() {
	a.leaving.Store(true)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run announces the upstream periodically until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(announceLease / 3)
	defer ticker.Stop()
	accepted := true
	for {
		a.Faults.waitFreeze(ctx.Done())
		err := a.announce(ctx)
		if err != nil && accepted {
			klog.Warningf("announcement of %s not accepted: %v", a.Body.Upstream, err)
		}
		accepted = err == nil
		select {
		case <-ticker.C:
		case <-a.wake:
		case <-ctx.Done():
			return
		}
	}
}

// announce sends the announcement to each host once until one accepts it, starting with the one that accepted last.
func (a *Announcer) announce(ctx context.Context) error {
	body := a.Body
	body.Leaving = a.leaving.Load()
	data, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	for range a.Hosts {
		if err = a.post(ctx, a.Hosts[a.next%len(a.Hosts)], data); err == nil {
			return nil
		}
		a.next++
	}
	return trace.Wrap(err)
}

func (a *Announcer) post(ctx context.Context, host string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceLease/3)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.Calls.URL(host)+"/announce", bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+a.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := a.Calls.Client(0).Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("%s answered %s", host, response.Status)
	}
	return nil
}
