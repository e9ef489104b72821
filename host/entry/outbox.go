package entry

import (
	"net"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// streamThreshold is the size in bytes above which the buffered part of the answer to a read is sent to the caller. The
	// read cannot be retried after that.
	streamThreshold = 64 << 10
	// maxBuffered is the corresponding size in bytes for the answer to a write, as long as none of its commands has completed.
	// From the first completed command on, the answer is buffered whatever its size.
	maxBuffered = 1 << 20
)

// outbox buffers the answer to one batch until it may be sent to the caller.
type outbox struct {
	socket net.Conn
	buf    []byte
	// write keeps the answer buffered from the first completed command until the write is acknowledged.
	write bool
	sent  bool
	// status, unless it is 0, is sent to the caller in place of the upstream's transaction status. It is set while the
	// caller's BEGIN has not been sent to the upstream.
	status byte
	// completed counts commands that the upstream completed.
	completed int
	// failure is the first error of the upstream.
	failure *pgproto3.ErrorResponse
}

func (o *outbox) add(message pgproto3.BackendMessage) error {
	switch m := message.(type) {
	case *pgproto3.CommandComplete:
		o.completed++
	case *pgproto3.ErrorResponse:
		o.noteFailure(m)
	case *pgproto3.ReadyForQuery:
		if o.status != 0 {
			message = &pgproto3.ReadyForQuery{TxStatus: o.status}
		}
	}
	buf, err := message.Encode(o.buf)
	if err != nil {
		return trace.Wrap(err)
	}
	o.buf = buf
	if o.mayStream() {
		return o.flush()
	}
	return nil
}

func (o *outbox) noteFailure(m *pgproto3.ErrorResponse) {
	if o.failure == nil {
		copied := *m
		o.failure = &copied
	}
}

func (o *outbox) mayStream() bool {
	if o.write {
		return o.completed == 0 && len(o.buf) > maxBuffered
	}
	return len(o.buf) > streamThreshold
}

// flush sends the buffered messages to the caller.
func (o *outbox) flush() error {
	if len(o.buf) == 0 {
		return nil
	}
	o.sent = true
	_, err := o.socket.Write(o.buf)
	o.buf = o.buf[:0]
	return trace.Wrap(err)
}

// reset discards the buffered answer of a batch that did not run, so that it can run again.
func (o *outbox) reset() {
	o.buf = o.buf[:0]
	o.completed = 0
	o.failure = nil
}
