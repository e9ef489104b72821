package replica

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
)

var (
	diskSyncs         = metrics.NewCounter("tamarack_log_syncs_total")
	syncedEntries     = metrics.NewCounter("tamarack_log_synced_entries_total")
	appliedEntries    = metrics.NewCounter("tamarack_log_applied_entries_total")
	restoredSnapshots = metrics.NewCounter("tamarack_log_restored_snapshots_total")
	snapshotsTaken    = metrics.NewCounter("tamarack_log_snapshots_total")
)

// loop is the only goroutine that uses the node: it collects inputs, steps the node and dispatches the resulting actions. It
// never blocks on the disk or the network.
func (r *Replica) loop(actions []quorum.Action) {
	defer r.goroutines.Done()
	ticker := time.NewTicker(r.bounds().Tick)
	defer ticker.Stop()
	r.perform(actions)
	for {
		var inputs []quorum.Input
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			inputs = append(inputs, quorum.Tick{})
		case m := <-r.messages:
			inputs = append(inputs, quorum.Receive{Message: m})
		case in := <-r.proposals:
			inputs = append(inputs, in)
		case in := <-r.internal:
			inputs = append(inputs, in)
		}
		r.perform(r.node.Step(r.clock(), r.drain(inputs)...))
	}
}

// drain adds the inputs that are already queued, up to batchSize, so that concurrent proposals share one sync to disk.
func (r *Replica) drain(inputs []quorum.Input) []quorum.Input {
	for len(inputs) < batchSize {
		select {
		case m := <-r.messages:
			inputs = append(inputs, quorum.Receive{Message: m})
		case in := <-r.proposals:
			inputs = append(inputs, in)
		case in := <-r.internal:
			inputs = append(inputs, in)
		default:
			return inputs
		}
	}
	return inputs
}

// perform publishes the node's status and then dispatches the actions. The status comes first because a leader that transfers
// its leadership must not count as confirmed once the transfer message is sent.
func (r *Replica) perform(actions []quorum.Action) {
	r.publish()
	for _, action := range actions {
		switch action := action.(type) {
		case quorum.Persist:
			r.writes.push(action)
		case quorum.Send:
			r.peers.send(action)
		case quorum.Proposed:
			r.waiting.proposed(action)
		case quorum.RoleChange:
			s := action.Status
			klog.InfoS("Control log role", "host", r.options.Host, "role", s.Role, "term", s.Term, "leader", s.Leader, "ready", s.Ready, "problem", s.Problem)
		case quorum.MembersChange:
			klog.InfoS("Control log member change", "host", r.options.Host, "change", action.Kind, "member", action.Host, "silentMs", action.Silence.Milliseconds(), "voters", action.Voters, "active", action.Active)
		case quorum.Apply, quorum.Restore, quorum.TakeSnapshot:
			r.applies.push(action)
		}
	}
}

func (r *Replica) publish() {
	members := r.node.Members()
	if last := r.view.Swap(&view{status: r.node.Status(), members: members}); last != nil && last.members != members {
		klog.InfoS("Control log members", "host", r.options.Host, "voters", hostNames(members.GetVoters()), "learners", hostNames(members.GetLearners()))
	}
}

func hostNames(members []*fleetpb.Voter) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.GetHost())
	}
	slices.Sort(names)
	return names
}

// writeLoop saves what the node wants to persist. Everything queued during one sync to disk is saved with the next.
func (r *Replica) writeLoop() {
	defer r.goroutines.Done()
	for {
		writes, open := r.writes.take()
		if !open {
			return
		}
		if err := r.store.Save(writes...); err != nil {
			klog.ErrorS(err, "Control log cannot be stored", "host", r.options.Host)
			r.halt(err)
			return
		}
		diskSyncs.Inc()
		for _, w := range writes {
			syncedEntries.Add(len(w.Entries))
		}
		if !r.submit(quorum.Persisted{Seq: writes[len(writes)-1].Seq}) {
			return
		}
	}
}

func (r *Replica) submit(in quorum.Input) bool {
	select {
	case r.internal <- in:
		return true
	case <-r.stop:
		return false
	}
}

// applyLoop passes committed entries and snapshots to the machine.
func (r *Replica) applyLoop() {
	defer r.goroutines.Done()
	for {
		actions, open := r.applies.take()
		if !open {
			return
		}
		for _, action := range actions {
			if !r.run(action) {
				return
			}
		}
	}
}

// run performs one action on the machine, and returns false if the replica is stopping.
func (r *Replica) run(action quorum.Action) bool {
	switch action := action.(type) {
	case quorum.Apply:
		for _, entry := range action.Entries {
			r.apply(entry)
		}
	case quorum.Restore:
		if err := r.options.Machine.Restore(action.Snapshot.GetState()); err != nil {
			klog.ErrorS(err, "Control state cannot be restored", "host", r.options.Host)
			r.halt(err)
			return false
		}
		restoredSnapshots.Inc()
		r.applied.Store(action.Snapshot.GetIndex())
		r.waiting.skipped(action.Snapshot.GetIndex())
	case quorum.TakeSnapshot:
		state, err := r.options.Machine.Snapshot()
		if err != nil {
			// Without a snapshot the log is not compacted; the node's next request tries again.
			klog.ErrorS(err, "Snapshot of the control state failed", "host", r.options.Host)
			return true
		}
		snapshotsTaken.Inc()
		return r.submit(quorum.Compact{Index: action.Index, State: state})
	}
	return true
}

func (r *Replica) apply(entry *fleetpb.Entry) {
	var answer proto.Message
	change := entry.GetChange()
	if change.GetKind() != nil && change.GetVoters() == nil {
		answer = r.options.Machine.Apply(entry.GetIndex(), change)
	}
	appliedEntries.Inc()
	r.applied.Store(entry.GetIndex())
	r.waiting.applied(entry, answer)
}
