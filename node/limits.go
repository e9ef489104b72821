package main

import (
	"net"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/host/gate"
	"tamarackshunt.dev/platform/machine"
)

const (
	// maxOrder bounds a platform's call and maxPeerCall a call of another host in bytes. A configuration is parsed into several times its
	// size, and a statement has one copy for each step from the call to the upstream.
	maxOrder       = 16 << 20
	orderCopies    = 3
	maxPeerCall    = 64 << 20
	peerCallCopies = 5
)

// callerLimits returns the limits for callers: those that the settings name, and defaults for the machine's memory and descriptors.
func callerLimits(s *machine.Settings) (budget.Limits, budget.SessionLimits, error) {
	memory, descriptors := budget.Bytes(s.MemoryMB)*budget.MiB, s.Descriptors
	if memory == 0 {
		memory = gate.MachineMemory()
	}
	if descriptors == 0 {
		descriptors = gate.MachineDescriptors()
	}
	limits := budget.NewLimits(memory, descriptors).With(s.Callers.Limits)
	return limits, budget.NewSessionLimits().With(s.Callers.Session), limits.Check()
}

// listeners serves the HTTP listeners of a process within one Limiter.
type listeners struct {
	limiter *gate.Limiter
	limits  budget.Limits
}

// peers serves other hosts' calls at an address until the process ends.
func (l *listeners) peers(address string, handler http.Handler) error {
	return l.serve(address, gate.Calls{
		Listener: l.limits.PeerListener(), Handler: handler, MaxBody: maxPeerCall, Copies: peerCallCopies,
		Refuse: func(w http.ResponseWriter, err error) {
			_ = twirp.WriteError(w, twirp.ResourceExhausted.Error(err.Error()))
		},
	})
}

// calls serves the platform's calls at an address until the process ends.
func (l *listeners) calls(name, address string, handler http.Handler) error {
	return l.serve(address, gate.Calls{
		Listener: l.limits.CallListener(name), Handler: handler, MaxBody: maxOrder, Copies: orderCopies,
		Refuse: func(w http.ResponseWriter, err error) { http.Error(w, err.Error(), http.StatusServiceUnavailable) },
	})
}

func (l *listeners) serve(address string, calls gate.Calls) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	go func() {
		if err := l.limiter.Server(calls).Serve(listener); err != nil {
			klog.ErrorS(err, "Listener ended", "address", address)
		}
	}()
	return nil
}
