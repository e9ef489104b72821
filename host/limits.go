package main

import (
	"net/http"
	"runtime/debug"

	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/host/gate"
)

const (
	// memoryLimitPercent is the garbage collector's soft memory limit in percent of the memory that the settings name. The rest is for code,
	// and for buffers that the reader of the protocol keeps for reuse over two collections.
	memoryLimitPercent = 60
	// maxCall bounds a call over HTTP in bytes. callCopies is the number of copies of a body while its call runs.
	maxCall    = 64 << 20
	callCopies = 5
)

// callerLimits returns the limits for callers: those that the settings name, and defaults for the memory and the descriptors.
func callerLimits(s *fleetpb.CallerLimits) (budget.Limits, budget.SessionLimits, error) {
	memory, descriptors := megabytes(s.GetMemory()), int(s.GetDescriptors())
	if memory == 0 {
		memory = gate.MachineMemory()
	}
	if descriptors == 0 {
		descriptors = gate.MachineDescriptors()
	}
	limits := budget.NewLimits(memory, descriptors).With(budget.Limits{
		Total: megabytes(s.GetTotal()), Reserve: megabytes(s.GetReserve()), Session: megabytes(s.GetSession()),
		Address: megabytes(s.GetAddress()), Team: megabytes(s.GetTeam()), Sessions: int(s.GetSessions()), Peers: int(s.GetPeers()),
	})
	session := budget.NewSessionLimits().With(budget.SessionLimits{
		First: budget.Bytes(s.GetFirst()) * budget.KiB, State: budget.Bytes(s.GetState()) * budget.KiB, Entries: int(s.GetEntries()),
		Start: s.GetStart().AsDuration(), Message: s.GetMessage().AsDuration(), Answer: s.GetAnswer().AsDuration(),
	})
	return limits, session, limits.Check()
}

func megabytes(n uint32) budget.Bytes { return budget.Bytes(n) * budget.MiB }

// limitMemory sets a soft memory limit, so that the garbage collector keeps the process below the memory that the settings name.
func limitMemory(s *fleetpb.CallerLimits) {
	if memory := s.GetMemory(); memory > 0 {
		debug.SetMemoryLimit(int64(megabytes(memory)) * memoryLimitPercent / 100)
	}
}

// newServer returns the server for peers, operators, announcements and metrics.
func (d *deps) newServer() *http.Server {
	return d.limiter.Server(gate.Calls{
		Listener: d.limits.PeerListener(), Handler: d.handler(), MaxBody: maxCall, Copies: callCopies,
		Refuse: func(w http.ResponseWriter, err error) {
			_ = twirp.WriteError(w, twirp.ResourceExhausted.Error(err.Error()))
		},
	})
}
