package server

import (
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// maxBatchRecords is the maximum number of records in one batch.
	maxBatchRecords = 256
	// heartbeat is the time between batches of an idle primary. It limits how recent the data of a replica is known to be.
	heartbeat = 20 * time.Millisecond
)

// replica is the state that a primary keeps of one connected replica.
type replica struct {
	name string
	term ident.Term

	mu            sync.Mutex
	flush, replay ident.LSN
	// sent holds the send times of the unacknowledged batches that reached the end of the log, by round, which is the number of
	// the batch. upToDateAt is the newest such time of an acknowledged batch.
	sent       map[uint64]time.Time
	upToDateAt time.Time
}

func (r *replica) row(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []string{
		r.name, strconv.FormatUint(uint64(r.term), 10), lsn(r.flush), lsn(r.replay),
		strconv.FormatInt(now.Sub(r.upToDateAt).Milliseconds(), 10),
	}
}

func (r *replica) recordSent(round uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[round] = now
}

func (r *replica) recordAck(ack *fleetpb.ReplicaAck) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flush, r.replay = ident.LSN(ack.GetFlushLsn()), ident.LSN(ack.GetReplayLsn())
	for round, at := range r.sent {
		if round > ack.GetRound() {
			continue
		}
		if at.After(r.upToDateAt) {
			r.upToDateAt = at
		}
		delete(r.sent, round)
	}
}

// replicate serves a replication connection: it reads the replica's request, then sends batches and receives
// acknowledgements.
func (ss *session) replicate(name string) {
	s := ss.server
	var request fleetpb.FollowRequest
	if !ss.receiveCopy(&request) {
		return
	}
	term := ident.Term(request.GetTerm())
	var ends []ident.Position
	for _, p := range request.GetEnds() {
		ends = append(ends, ident.Position{Term: ident.Term(p.GetTerm()), LSN: ident.LSN(p.GetLsn())})
	}
	prefix, err := s.ledger.Prefix(term, ends)
	if err != nil {
		ss.fail(err)
		_ = ss.backend.Flush()
		return
	}
	r := &replica{name: name, term: term, sent: map[uint64]time.Time{}, upToDateAt: time.Now().Add(-time.Hour)}
	start := &fleetpb.ReplicaBatch{Prefix: &fleetpb.Position{Term: uint64(prefix.Term), Lsn: uint64(prefix.LSN)}}
	if ss.sendCopy(start) != nil {
		return
	}
	s.mu.Lock()
	s.replicas[ss.id] = r
	s.mu.Unlock()
	go func() {
		// Closing the connection makes sendBatches return at its next heartbeat.
		defer ss.conn.Close()
		for {
			var ack fleetpb.ReplicaAck
			if !ss.receiveCopy(&ack) {
				return
			}
			s.faults.waitReplication(s.done, false)
			r.recordAck(&ack)
		}
	}()
	ss.sendBatches(r, prefix.LSN)
}

func (ss *session) sendBatches(r *replica, after ident.LSN) {
	s := ss.server
	timer := time.NewTicker(heartbeat)
	defer timer.Stop()
	for round := uint64(1); ; round++ {
		s.faults.waitReplication(s.done, true)
		now := time.Now()
		records, complete, changed, err := s.ledger.Read(r.term, after, maxBatchRecords)
		if err != nil {
			return
		}
		if complete {
			r.recordSent(round, now)
		}
		if ss.sendCopy(&fleetpb.ReplicaBatch{Round: round, Records: records}) != nil {
			return
		}
		if n := len(records); n > 0 {
			after = ident.LSN(records[n-1].GetPosition().GetLsn())
		}
		if !complete {
			continue
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-s.done:
			return
		}
	}
}

func (ss *session) receiveCopy(m proto.Message) bool {
	msg, err := ss.backend.Receive()
	if err != nil {
		return false
	}
	data, ok := msg.(*pgproto3.CopyData)
	return ok && proto.Unmarshal(data.Data, m) == nil
}

func (ss *session) sendCopy(m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	ss.backend.Send(&pgproto3.CopyData{Data: data})
	return ss.backend.Flush()
}
