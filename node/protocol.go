package main

import (
	"io"

	"tamarackshunt.dev/node/entry"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
)

// callers and upstreams are the host's sides of the platform's line protocol.
func callers(connection io.ReadWriter) entry.Caller { return wire.NewCaller(connection) }

func upstreams(connection io.ReadWriter) upstream.Session { return wire.NewUpstream(connection) }
