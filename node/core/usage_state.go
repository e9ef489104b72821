package core

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/metering"
)

// maxSavedUsages is the number of closed windows that the log's state contains. All members must use the same number.
const maxSavedUsages = 32

// applyUsage closes a window of usage, reserves another token for a closed one, or records the outcome of its report. The list and its
// entries are replaced and never changed, since they are read without the lock.
func (s *state) applyUsage(index uint64, change *fleetpb.Usage) *fleetpb.Outcome {
	usages := s.saved.GetUsages()
	at := slices.IndexFunc(usages, func(u *fleetpb.SavedUsage) bool { return u.GetUsage().GetWindow() == change.GetWindow() })
	switch {
	case at < 0 && (change.GetOutcome() != 0 || change.GetWindow() <= lastWindow(usages)):
		return &fleetpb.Outcome{Problem: fmt.Sprintf("window %d is not closed or not known any more", change.GetWindow())}
	case at < 0:
		usages = append(slices.Clone(usages), &fleetpb.SavedUsage{Usage: change, Token: index})
		s.saved.Usages = usages[max(0, len(usages)-maxSavedUsages):]
	case usages[at].GetUsage().GetOutcome() != 0:
		return &fleetpb.Outcome{Problem: fmt.Sprintf("the report of window %d has an outcome", change.GetWindow())}
	default:
		s.saved.Usages = slices.Clone(usages)
		s.saved.Usages[at] = updatedUsage(index, usages[at], change)
	}
	return &fleetpb.Outcome{Done: true, Version: index}
}

// updatedUsage returns a closed window with another token, or with its outcome and without its counts.
func updatedUsage(index uint64, saved *fleetpb.SavedUsage, change *fleetpb.Usage) *fleetpb.SavedUsage {
	next := proto.CloneOf(saved)
	if change.GetOutcome() != 0 {
		next.Usage.Outcome, next.Usage.Counts = change.GetOutcome(), nil
		return next
	}
	next.Usage.Holder, next.Token = change.GetHolder(), index
	return next
}

// lastWindow returns the latest closed window, or 0.
func lastWindow(usages []*fleetpb.SavedUsage) uint64 {
	if len(usages) == 0 {
		return 0
	}
	return usages[len(usages)-1].GetUsage().GetWindow()
}

func (s *state) usages() []*fleetpb.SavedUsage {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.saved.GetUsages()
}

// lastUsage returns the latest closed window, or 0.
func (s *state) lastUsage() metering.Window {
	return metering.Window(lastWindow(s.usages()))
}

// pendingUsages returns the closed windows whose reports have no outcome, oldest first.
func (s *state) pendingUsages() []metering.Pending {
	var pending []metering.Pending
	for _, u := range s.usages() {
		if u.GetUsage().GetOutcome() == 0 {
			pending = append(pending, metering.Pending{Window: metering.Window(u.GetUsage().GetWindow()), Token: u.GetToken()})
		}
	}
	return pending
}

// usageCounts returns the counts of a closed window, or nil if it is not pending.
func (s *state) usageCounts(w metering.Window) metering.Counts {
	for _, u := range s.usages() {
		if u.GetUsage().GetWindow() == uint64(w) && u.GetUsage().GetOutcome() == 0 {
			return decodeCounts(u.GetUsage().GetCounts())
		}
	}
	return nil
}

func decodeCounts(list []*fleetpb.TeamUsage) metering.Counts {
	counts := make(metering.Counts, len(list))
	for _, u := range list {
		counts[ident.Team(u.GetTeam())] = u.GetCount()
	}
	return counts
}

// encodeCounts returns counts in the order of the teams' names.
func encodeCounts(counts metering.Counts) []*fleetpb.TeamUsage {
	list := make([]*fleetpb.TeamUsage, 0, len(counts))
	for team, count := range counts {
		list = append(list, &fleetpb.TeamUsage{Team: string(team), Count: count})
	}
	slices.SortFunc(list, func(a, b *fleetpb.TeamUsage) int { return strings.Compare(a.GetTeam(), b.GetTeam()) })
	return list
}
