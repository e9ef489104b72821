package entry

import (
	"net"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// streamAfter is the size of held answers of a read beyond which they are sent, which ends the chance to retry.
	streamAfter = 64 << 10
	// maxHeld bounds what is held for one caller; a larger answer to a write is streamed up to its completion.
	maxHeld = 1 << 20
)

// outbox collects the answer to one batch until it may go to the caller.
type outbox struct {
	socket net.Conn
	buf    []byte
	// write answers stay held from the first completed command on, until the write is acknowledged.
	write bool
	sent  bool
	// status replaces the transaction status of the upstream while the caller's BEGIN has not been sent; 0 leaves it.
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
		return o.completed == 0 && len(o.buf) > maxHeld
	}
	return len(o.buf) > streamAfter
}

// flush sends what is held to the caller.
func (o *outbox) flush() error {
	if len(o.buf) == 0 {
		return nil
	}
	o.sent = true
	_, err := o.socket.Write(o.buf)
	o.buf = o.buf[:0]
	return trace.Wrap(err)
}

// reset forgets the held answer of a batch that did not run, so that it can run again.
func (o *outbox) reset() {
	o.buf = o.buf[:0]
	o.completed = 0
	o.failure = nil
}
