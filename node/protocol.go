package main

import (
	"io"

	"tamarackshunt.dev/node/entry"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
)

// newCaller and newUpstream open the host's side of the platform's line protocol over a connection.
func newCaller(connection io.ReadWriter) entry.Caller { return wire.NewCaller(connection) }

func newUpstream(connection io.ReadWriter) upstream.Session { return wire.NewUpstream(connection) }
