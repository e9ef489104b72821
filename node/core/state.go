package core

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// state is the replicated state machine of the core. Apply is deterministic: it depends only on the state and the change.
type state struct {
	mu    sync.RWMutex
	parse func([]byte) (*catalog.Catalog, error)
	saved *fleetpb.SavedCore
	// catalog is the parsed configuration of saved, nil before the first one.
	catalog *catalog.Catalog
}

func newState(parse func([]byte) (*catalog.Catalog, error)) *state {
	return &state{parse: parse, saved: &fleetpb.SavedCore{}}
}

// Apply implements replica.Machine.
func (s *state) Apply(index uint64, change *fleetpb.Change) proto.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.saved.GetIndex() {
		return &fleetpb.Outcome{}
	}
	s.saved.Index = index
	switch kind := change.GetKind().(type) {
	case *fleetpb.Change_Configure:
		if kind.Configure.GetVersion() <= s.saved.GetConfiguration().GetVersion() && s.saved.GetConfiguration() != nil {
			return &fleetpb.Outcome{Done: true, Version: s.saved.GetConfiguration().GetVersion()}
		}
		parsed, err := s.unpack(kind.Configure)
		if err != nil {
			return &fleetpb.Outcome{Problem: err.Error()}
		}
		s.saved.Configuration, s.catalog = kind.Configure, parsed
	case *fleetpb.Change_Evacuate:
		zones := slices.DeleteFunc(slices.Clone(s.saved.GetEvacuated()), func(zone string) bool { return zone == kind.Evacuate.GetZone() })
		if kind.Evacuate.GetActive() {
			zones = append(zones, kind.Evacuate.GetZone())
			slices.Sort(zones)
		}
		s.saved.Evacuated = zones
	case *fleetpb.Change_Succession:
		s.saved.Successions = slices.DeleteFunc(s.saved.GetSuccessions(), func(other *fleetpb.SavedSuccession) bool {
			return other.GetSuccession().GetService() == kind.Succession.GetService()
		})
		s.saved.Successions = append(s.saved.Successions, &fleetpb.SavedSuccession{Succession: kind.Succession, Token: index})
	case *fleetpb.Change_Usage:
		return s.applyUsage(index, kind.Usage)
	case *fleetpb.Change_Recovery:
		if kind.Recovery.GetAdvance() > limit.WholeAdvance-min(s.saved.GetRecovery().GetAdvanced(), limit.WholeAdvance) {
			return &fleetpb.Outcome{Problem: advanceOut}
		}
		s.saved.Recovery = directory.ApplySaved(s.saved.GetRecovery(), index, kind.Recovery)
	}
	return &fleetpb.Outcome{Done: true, Version: index}
}

func (s *state) unpack(c *fleetpb.Configure) (*catalog.Catalog, error) {
	source, err := catalog.Unpack(c.GetPacked())
	if err != nil {
		return nil, err
	}
	return s.parse(source)
}

// Snapshot implements replica.Machine.
func (s *state) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return proto.MarshalOptions{Deterministic: true}.Marshal(s.saved)
}

// Restore implements replica.Machine.
func (s *state) Restore(data []byte) error {
	saved := &fleetpb.SavedCore{}
	if err := proto.Unmarshal(data, saved); err != nil {
		return err
	}
	var parsed *catalog.Catalog
	if c := saved.GetConfiguration(); c != nil {
		var err error
		if parsed, err = s.unpack(c); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved, s.catalog = saved, parsed
	return nil
}

func (s *state) configuration() *fleetpb.Configure {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.saved.GetConfiguration()
}

func (s *state) parsed() *catalog.Catalog {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.catalog
}

// evacuated returns the availability zones that are out of service. Apply replaces the slice and never changes it.
func (s *state) evacuated() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.saved.GetEvacuated()
}

// succession returns the latest order to promote in a service, or nil if there is none.
func (s *state) succession(service ident.Service) *fleetpb.Succession {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, other := range s.saved.GetSuccessions() {
		if other.GetSuccession().GetService() == string(service) {
			return other.GetSuccession()
		}
	}
	return nil
}

// recovery returns what a new leader starts with after a restart of the core. Apply replaces the message and never changes it.
func (s *state) recovery() *fleetpb.SavedRecovery {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.saved.GetRecovery()
}
