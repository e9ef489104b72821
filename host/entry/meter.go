package entry

import (
	"encoding/binary"
	"io"
	"math/bits"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/host/gate"
)

const (
	// copiesOfMessage is the number of copies of a message beside the one received: two while it is cloned for its batch, one while it is
	// classified, and the one that is sent to an upstream.
	copiesOfMessage = 4
	// smallMessages is the size in bytes up to which messages are part of what each connection costs.
	smallMessages = 32 << 10
	// startupHeader is the length of the header of messages before the startup message is complete, and typedHeader that of later ones.
	startupHeader = 8
	typedHeader   = 5
	// protocolVersion is the code of a startup message, version 3.0; other codes are requests that come before it.
	protocolVersion = 3 << 16
)

// meter takes the memory of a caller's messages before the protocol's reader allocates it.
type meter struct {
	from    io.Reader
	session *gate.Session
	header  []byte
	// rest is the number of bytes of the current message that have not been read yet.
	rest int
	// typed is set after the startup message, from which on messages begin with their type.
	typed bool
	// begun and delivered count the typed messages whose header was read and which the owner has received.
	begun, delivered int
	// small is the size of the messages whose bytes were not taken yet.
	small   int
	charges []charge
}

// charge is what was taken for the messages up to the one with a number.
type charge struct {
	message int
	// size is the messages' size in bytes.
	size, taken int
	// copied is set once the copies are taken as well.
	copied bool
}

// Read implements io.Reader. The bytes of a message are taken when its beginning is read, or with the next call if that was before the
// caller was authenticated: the first messages may be sent together.
func (m *meter) Read(into []byte) (int, error) {
	if err := m.take(); err != nil {
		return 0, err
	}
	n, err := m.from.Read(into)
	m.follow(into[:n])
	if m.session.Starting() {
		return n, err
	}
	if refused := m.take(); refused != nil {
		return 0, refused
	}
	return n, err
}

// take takes the bytes of the messages that have begun.
func (m *meter) take() error {
	if m.small <= smallMessages {
		return nil
	}
	// The reader of the protocol rounds its buffers up to a power of two.
	buffer := 1 << bits.Len(uint(m.small-1))
	if err := m.session.Take(buffer); err != nil {
		return err
	}
	m.charges = append(m.charges, charge{message: m.begun, size: m.small, taken: buffer})
	m.small = 0
	return nil
}

// received records that the owner has received a message, and takes its copies.
func (m *meter) received() error {
	m.delivered++
	for i := range m.charges {
		c := &m.charges[i]
		if c.copied || c.message > m.delivered {
			continue
		}
		m.session.Received()
		if err := m.session.Take(c.size * copiesOfMessage); err != nil {
			return err
		}
		c.taken += c.size * copiesOfMessage
		c.copied = true
		m.session.Continued()
	}
	return nil
}

// follow finds the beginnings of messages in what was read.
func (m *meter) follow(read []byte) {
	for len(read) > 0 {
		if m.rest > 0 {
			skipped := min(m.rest, len(read))
			m.rest -= skipped
			read = read[skipped:]
			continue
		}
		size := startupHeader
		if m.typed {
			size = typedHeader
		}
		part := min(size-len(m.header), len(read))
		m.header = append(m.header, read[:part]...)
		read = read[part:]
		if len(m.header) == size {
			m.begin()
		}
	}
}

// begin starts a message whose header was read. Lengths that are too small or too large are left to the reader of the protocol.
func (m *meter) begin() {
	header := m.header
	m.header = m.header[:0]
	if !m.typed {
		m.rest = max(0, int(binary.BigEndian.Uint32(header))-startupHeader)
		m.typed = binary.BigEndian.Uint32(header[4:]) == protocolVersion
		return
	}
	m.begun++
	m.rest = max(0, int(binary.BigEndian.Uint32(header[1:]))-4)
	if m.rest <= maxMessage {
		m.small += m.rest
	}
}

// settle gives back what the messages took that the owner has received and answered.
func (m *meter) settle() {
	for len(m.charges) > 0 && m.charges[0].message <= m.delivered {
		m.session.Give(m.charges[0].taken)
		m.charges = m.charges[1:]
	}
	if m.begun == m.delivered {
		m.small = 0
	}
	if len(m.charges) == 0 {
		m.charges = nil
	}
}

// stateCost returns the cost and the number of what a caller's session keeps between batches.
func (c *caller) stateCost() (budget.Bytes, int) {
	var bytes budget.Bytes
	for name, s := range c.statements {
		bytes += budget.Cost(name, s.sql)
	}
	for name := range c.portals {
		bytes += budget.Cost(name, "")
	}
	for _, sql := range c.settings.statements {
		// The statements are kept one by one and joined.
		bytes += 2 * budget.Cost(sql, "")
	}
	return bytes, len(c.statements) + len(c.portals) + len(c.settings.statements)
}
