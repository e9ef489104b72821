package core

import (
	"context"
	"slices"

	"tamarackshunt.dev/fleet/steady"
)

// leaderSearch chooses which core hosts to ask next while the leader is unknown: first the hosts that others name as the leader,
// then all that are not asked yet. A host that is not the leader changes nothing, so all of them can be asked at once.
type leaderSearch struct {
	known []string
	named []string
	asked map[string]bool
}

// newLeaderSearch returns a search among the known hosts. It never asks this host itself.
func newLeaderSearch(self string, known []string) *leaderSearch {
	return &leaderSearch{known: known, asked: map[string]bool{self: true, "": true}}
}

// name adds a host that may be the leader.
func (s *leaderSearch) name(leader string) {
	s.named = append(s.named, leader)
}

// next returns the hosts to ask next, or none when the search is over.
func (s *leaderSearch) next() []string {
	if hosts := s.unasked(s.named); len(hosts) > 0 {
		return hosts
	}
	return s.unasked(s.known)
}

// unasked returns the hosts that are not asked yet and marks them as asked.
func (s *leaderSearch) unasked(hosts []string) []string {
	var next []string
	for _, host := range hosts {
		if !s.asked[host] {
			s.asked[host] = true
			next = append(next, host)
		}
	}
	return next
}

// leaderResponse is a response that only the leader completes; other hosts name the leader that they know.
type leaderResponse interface {
	GetDone() bool
	GetLeader() string
}

// callLeader makes a call to the leader, which it searches for among the members and the seeds if this host is not in contact
// with one. It returns a NoLeaderError if no host answered as the leader.
func callLeader[T leaderResponse](ctx context.Context, c *Core, call func(ctx context.Context, host string) (T, error)) (T, error) {
	search := newLeaderSearch(c.options.Peer, c.coreHosts())
	leadership := c.replica.Leadership()
	if steady.Now().Sub(leadership.LastContact) < leaderContactTimeout {
		search.name(leadership.Leader)
	}
	cause := errNotLeader
	for hosts := search.next(); len(hosts) > 0; hosts = search.next() {
		response, err := callAll(ctx, search, hosts, call)
		if err == nil && response.GetDone() {
			return response, nil
		}
		if err != nil {
			cause = err
		}
	}
	var none T
	return none, &NoLeaderError{cause}
}

// callAll makes a call to several core hosts at once. It returns as soon as one of them answers as the leader; otherwise it adds
// the hosts that they name to the search and returns the last response and error.
func callAll[T leaderResponse](
	ctx context.Context, search *leaderSearch, hosts []string, call func(ctx context.Context, host string) (T, error),
) (T, error) {
	type result struct {
		response T
		err      error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, len(hosts))
	for _, host := range hosts {
		go func() {
			response, err := call(ctx, host)
			results <- result{response, err}
		}()
	}
	var last T
	var lastErr error
	for range hosts {
		r := <-results
		switch {
		case r.err != nil:
			lastErr = r.err
		case r.response.GetDone():
			return r.response, nil
		default:
			last = r.response
			search.name(r.response.GetLeader())
		}
	}
	return last, lastErr
}

// coreHosts returns the peer addresses of the members and of the seeds.
func (c *Core) coreHosts() []string {
	return slices.Concat(c.members(), c.options.Seeds())
}
