package server

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// followRetry is the time between attempts to replicate from the primary.
	followRetry = 100 * time.Millisecond
	// followTimeout is how long a connection stays open without a message from the primary, which sends a batch at each
	// heartbeat.
	followTimeout = 3 * time.Second
	// lagQueueLength is the number of batches that a lagging replica queues before it stops reading.
	lagQueueLength = 4096
)

// follower is the state of the replication from a primary.
type follower struct {
	mu      sync.Mutex
	cancel  context.CancelFunc
	term    ident.Term
	address string
	// streaming is set while batches are received.
	streaming bool
}

// follow starts replication from a primary in place of the former one. It does nothing if the upstream already follows
// that primary under that term.
func (s *Server) follow(address string, term ident.Term) {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	if s.follower.term == term && s.follower.address == address {
		return
	}
	if s.follower.cancel != nil {
		s.follower.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.follower.cancel, s.follower.term, s.follower.address, s.follower.streaming = cancel, term, address, false
	klog.Infof("following %s under term %d", address, term)
	go func() {
		defer cancel()
		for ctx.Err() == nil && s.ledger.State().Term == term {
			if err := s.stream(ctx, address, term); err != nil {
				klog.V(1).Infof("replication from %s under term %d: %v", address, term, err)
			}
			s.setStreaming(term, false)
			_ = s.sleep(ctx, followRetry)
		}
	}()
}

func (s *Server) stopFollowing() {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	if s.follower.cancel != nil {
		s.follower.cancel()
	}
	s.follower.streaming = false
}

func (s *Server) setStreaming(term ident.Term, streaming bool) {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	if s.follower.term == term {
		s.follower.streaming = streaming
	}
}

// following reports whether the replication stream of the term runs.
func (s *Server) following(term ident.Term) bool {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	return s.follower.streaming && s.follower.term == term
}

// delayedBatch is a batch that is applied at its due time, after the lag.
type delayedBatch struct {
	batch *fleetpb.ReplicaBatch
	due   time.Time
}

// stream replicates from the primary until the connection or the term ends.
func (s *Server) stream(ctx context.Context, address string, term ident.Term) error {
	dialer := net.Dialer{Timeout: followTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	frontend := pgproto3.NewFrontend(conn, conn)
	if err := s.handshake(conn, frontend); err != nil {
		return trace.Wrap(err)
	}
	request := &fleetpb.FollowRequest{Term: uint64(term)}
	for _, p := range s.ledger.Ends() {
		request.Ends = append(request.Ends, &fleetpb.Position{Term: uint64(p.Term), Lsn: uint64(p.LSN)})
	}
	if err := sendFrontend(frontend, request); err != nil {
		return trace.Wrap(err)
	}
	start, err := receiveBatch(conn, frontend)
	if err != nil {
		return trace.Wrap(err)
	}
	prefix := ident.Position{Term: ident.Term(start.GetPrefix().GetTerm()), LSN: ident.LSN(start.GetPrefix().GetLsn())}
	if err := s.ledger.StartFollow(term, prefix); err != nil {
		return trace.Wrap(err)
	}
	s.setStreaming(term, true)
	queue := make(chan delayedBatch, lagQueueLength)
	defer close(queue)
	go func() {
		defer cancel()
		s.applyBatches(ctx, frontend, term, queue)
	}()
	for {
		batch, err := receiveBatch(conn, frontend)
		if err != nil {
			return trace.Wrap(err)
		}
		s.faults.waitReplication(s.done, false)
		select {
		case queue <- delayedBatch{batch, time.Now().Add(s.faults.lag())}:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// applyBatches applies batches when they are due and acknowledges them.
func (s *Server) applyBatches(ctx context.Context, frontend *pgproto3.Frontend, term ident.Term, queue <-chan delayedBatch) {
	for d := range queue {
		if s.sleep(ctx, time.Until(d.due)) != nil {
			return
		}
		s.faults.waitFreeze(s.done)
		if err := s.ledger.Apply(term, d.batch.GetRecords()); err != nil {
			klog.V(1).Infof("replication under term %d: %v", term, err)
			return
		}
		last := uint64(s.ledger.State().Last.LSN)
		s.faults.waitReplication(s.done, true)
		ack := &fleetpb.ReplicaAck{Round: d.batch.GetRound(), FlushLsn: last, ReplayLsn: last}
		if sendFrontend(frontend, ack) != nil {
			return
		}
	}
}

func (s *Server) handshake(conn net.Conn, frontend *pgproto3.Frontend) error {
	if err := conn.SetReadDeadline(time.Now().Add(followTimeout)); err != nil {
		return trace.Wrap(err)
	}
	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": s.options.User, "application_name": s.options.Upstream, "replication": "tamarack",
	}})
	if err := frontend.Flush(); err != nil {
		return trace.Wrap(err)
	}
	for {
		msg, err := frontend.Receive()
		if err != nil {
			return trace.Wrap(err)
		}
		switch msg := msg.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			frontend.Send(&pgproto3.PasswordMessage{Password: s.options.Password})
			if err := frontend.Flush(); err != nil {
				return trace.Wrap(err)
			}
		case *pgproto3.ErrorResponse:
			return trace.AccessDenied("%s", msg.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

func receiveBatch(conn net.Conn, frontend *pgproto3.Frontend) (*fleetpb.ReplicaBatch, error) {
	if err := conn.SetReadDeadline(time.Now().Add(followTimeout)); err != nil {
		return nil, trace.Wrap(err)
	}
	msg, err := frontend.Receive()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	switch msg := msg.(type) {
	case *pgproto3.CopyData:
		var batch fleetpb.ReplicaBatch
		if err := proto.Unmarshal(msg.Data, &batch); err != nil {
			return nil, trace.Wrap(err)
		}
		return &batch, nil
	case *pgproto3.ErrorResponse:
		return nil, trace.CompareFailed("%s", msg.Message)
	}
	return nil, trace.BadParameter("unexpected message of the primary")
}

func sendFrontend(frontend *pgproto3.Frontend, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	frontend.Send(&pgproto3.CopyData{Data: data})
	return trace.Wrap(frontend.Flush())
}
