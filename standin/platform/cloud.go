package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Cloud accepts orders to promote an upstream and reports of usage, and sends the announcements of upstreams.
type Cloud struct {
	// Address is the address at which orders are accepted.
	Address       string
	mu            sync.Mutex
	groups        map[string]*Group
	fencingTokens map[string]uint64
	// promotions are the orders that were executed, as service/id.
	promotions []string
	// answersToDrop is the number of further orders that are executed but not answered.
	answersToDrop int
	// beforeOrder, if it is set, is called with the upstream of each order before the order is executed.
	beforeOrder func(id string)
	// Usage receives the reports of usage.
	Usage UsageLog
}

// NewCloud returns a Cloud that accepts orders until ctx ends.
func NewCloud(ctx context.Context) (*Cloud, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cloud{Address: listener.Addr().String(), groups: map[string]*Group{}, fencingTokens: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", c.failover)
	mux.Handle("POST /usage", &c.Usage)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return c, nil
}

// Add adds a group whose upstreams are announced and can be promoted.
func (c *Cloud) Add(g *Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups[g.Service] = g
}

// Promotions returns the orders that were executed, as service/id.
func (c *Cloud) Promotions() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.promotions...)
}

// DropOrderAnswers executes the next n orders and closes their connections without an answer.
func (c *Cloud) DropOrderAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersToDrop = n
}

// SetBeforeOrder sets a function that is called with the upstream of each order before the order is executed.
func (c *Cloud) SetBeforeOrder(f func(id string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeOrder = f
}

func (c *Cloud) failover(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || r.Header.Get("Duty-Holder") == "" || json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	before := c.beforeOrder
	c.mu.Unlock()
	if before != nil {
		before(order.ID)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[order.Service]
	if g == nil || token < c.fencingTokens[order.Service] || !g.promote(order.ID) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.fencingTokens[order.Service] = token
	c.promotions = append(c.promotions, order.Service+"/"+order.ID)
	if c.answersToDrop > 0 {
		c.answersToDrop--
		if hijacked, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = hijacked.Close()
		}
	}
}

// Announce sends the announcements of all upstreams at an interval until ctx ends, each to the first of the core's addresses
// that accepts it.
func (c *Cloud) Announce(ctx context.Context, core []string, every time.Duration) {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		var batch []announcement
		for _, g := range c.groups {
			batch = append(batch, g.announcements()...)
		}
		c.mu.Unlock()
		for _, a := range batch {
			for _, address := range core {
				if post(ctx, client, address, announcementPath, a) {
					break
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Paths of announcements and of the ends of upstreams, up to the escaped id of the upstream.
const (
	announcementPath = "/tamarackshunt/Instances.Heartbeat/"
	endPath          = "/tamarackshunt/Instances.Deregister/"
)

// End announces the end of an upstream to the first of the core's addresses that accepts it, and reports whether one did.
func (c *Cloud) End(ctx context.Context, core []string, u *Upstream) bool {
	client := &http.Client{Timeout: time.Second}
	body := fmt.Appendf(nil, `{"born":%d}`, u.born)
	return slices.ContainsFunc(core, func(address string) bool { return post(ctx, client, address, endPath, announcement{u.ID, body}) })
}

type announcement struct {
	id   string
	body []byte
}

func (g *Group) announcements() []announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []announcement
	for _, m := range g.members {
		if m.down || m.cutOff {
			continue
		}
		m.seq++
		state, role := "ready", "replica"
		if m.leaving {
			state = "draining"
		}
		if m == g.primary && !m.steppedDown {
			role = "primary"
		}
		body, err := json.Marshal(map[string]any{
			"service": g.Service, "addr": m.Address, "zone": m.Zone, "version": "v1", "capacity": m.Slots, "state": state,
			"warmup_left_ms": 0, "db_role": role, "seq": m.seq, "born": m.born,
		})
		if err == nil {
			list = append(list, announcement{m.ID, body})
		}
	}
	return list
}

func post(ctx context.Context, client *http.Client, address, path string, a announcement) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path+a.id, bytes.NewReader(a.body))
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
