package core

import "sync"

// signal wakes all goroutines that wait for an event. The zero value is ready for use.
type signal struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns a channel that is closed by the next broadcast.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// broadcast wakes all that wait.
func (s *signal) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
