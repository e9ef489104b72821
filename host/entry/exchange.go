package entry

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/host/upstream"
)

// errStatement is returned after an error of the upstream, which skips the rest of the batch up to the next Sync.
var errStatement = errors.New("the upstream answered with an error")

// CallerError reports that the caller's connection failed while an answer was sent.
type CallerError struct {
	Cause error
}

func (e *CallerError) Error() string { return fmt.Sprintf("answering the caller: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Cause }

// exchange sends a batch over a connection and collects the answer.
// After an error the connection is lost, and it is unknown whether the batch ran.
func exchange(conn *upstream.Conn, b *batch, out *outbox) error {
	steps := b.plan(conn)
	for _, s := range steps {
		if s.message != nil {
			conn.Send(s.message)
		}
	}
	if b.flush {
		conn.Send(&pgproto3.Flush{})
	}
	if err := conn.Flush(); err != nil {
		conn.MarkStale()
		return trace.Wrap(err)
	}
	x := exchanger{conn: conn, out: out}
	skipping := false
	for _, s := range steps {
		if skipping && s.answer != answerReady {
			continue
		}
		err := x.await(s)
		if errors.Is(err, errStatement) {
			skipping = true
			continue
		}
		if err != nil {
			conn.MarkStale()
			return err
		}
	}
	return nil
}

type exchanger struct {
	conn *upstream.Conn
	out  *outbox
}

// await collects the answer to one step.
func (x *exchanger) await(s step) error {
	switch s.answer {
	case answerNothing:
		return nil
	case answerLocal:
		return x.add(s.local)
	case answerReady:
		return x.awaitReady()
	}
	for {
		message, err := x.conn.Receive()
		if err != nil {
			return err
		}
		ended, err := x.relay(s, message)
		if err != nil || ended {
			return err
		}
	}
}

// awaitReady relays everything up to ReadyForQuery, errors included.
func (x *exchanger) awaitReady() error {
	for {
		message, err := x.conn.Receive()
		if err != nil {
			return err
		}
		if _, isCopy := message.(*pgproto3.CopyInResponse); isCopy {
			if err := x.refuseCopy(); err != nil {
				return err
			}
			continue
		}
		if err := x.add(message); err != nil {
			return err
		}
		if _, isReady := message.(*pgproto3.ReadyForQuery); isReady {
			return nil
		}
	}
}

func (x *exchanger) refuseCopy() error {
	x.conn.Send(&pgproto3.CopyFail{Message: "COPY FROM STDIN is not supported"})
	return x.conn.Flush()
}

// relay adds one message to the outbox and reports whether it ends the answer to a step.
func (x *exchanger) relay(s step, message pgproto3.BackendMessage) (bool, error) {
	switch message.(type) {
	case *pgproto3.ErrorResponse:
		if err := x.add(message); err != nil {
			return true, err
		}
		return true, errStatement
	case *pgproto3.NoticeResponse:
		return false, x.add(message)
	case *pgproto3.CopyInResponse:
		return false, x.refuseCopy()
	}
	ended := endsAnswer(s.answer, message)
	if ended && s.prepares != nil {
		x.notePrepared(s)
	}
	if s.hide {
		return ended, nil
	}
	return ended, x.add(message)
}

func (x *exchanger) notePrepared(s step) {
	if s.named {
		x.conn.NotePrepared(s.prepares.name)
		return
	}
	x.conn.NoteUnnamed(s.prepares.name)
}

func (x *exchanger) add(message pgproto3.BackendMessage) error {
	if err := x.out.add(message); err != nil {
		return trace.Wrap(&CallerError{err})
	}
	return nil
}

// endsAnswer reports whether a message is the last one of an answer.
func endsAnswer(a answer, message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.ParseComplete:
		return a == answerParse
	case *pgproto3.BindComplete:
		return a == answerBind
	case *pgproto3.CloseComplete:
		return a == answerClose
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return a == answerDescribeStatement || a == answerDescribePortal
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return a == answerExecute
	}
	return false
}
