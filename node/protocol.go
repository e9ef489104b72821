package main

import (
	"io"

	"tamarackshunt.dev/node/entry"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
)

// connectionWithin is a connection whose long messages take their bytes from a memory.
type connectionWithin struct {
	io.ReadWriter
	wire.Memory
}

// newUpstreamWithin returns a protocol that opens the host's side over a connection to an upstream, whose answers take their bytes from a
// memory.
func newUpstreamWithin(memory wire.Memory) upstream.Protocol {
	return func(connection io.ReadWriter) upstream.Session {
		return wire.NewUpstream(connectionWithin{connection, memory})
	}
}

// newCaller and newUpstream open the host's side of the platform's line protocol over a connection.
func newCaller(connection io.ReadWriter) entry.Caller { return wire.NewCaller(connection) }

func newUpstream(connection io.ReadWriter) upstream.Session { return wire.NewUpstream(connection) }
