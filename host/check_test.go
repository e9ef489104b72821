package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
)

// Guards against a host that listens on a non-loopback address without TLS, because no certificate is set or because one of
// its files is missing from the settings.
func TestCheckSettings(t *testing.T) {
	full := &fleetpb.HostTLS{Certificate: "c", Key: "k", Authority: "a"}
	callers := &fleetpb.HostTLS{Caller: &fleetpb.CallerTLS{Certificate: "c", Key: "k", Plaintext: true}}
	both := &fleetpb.HostTLS{Certificate: "c", Key: "k", Authority: "a", Caller: callers.GetCaller()}
	tests := []struct {
		name                 string
		caller, peer, listen string
		tls                  *fleetpb.HostTLS
		problem              string
	}{
		{"loopback", "127.0.0.1:1", "[::1]:2", "", nil, ""},
		{"both certificates", "10.0.0.1:1", "10.0.0.1:2", "0.0.0.0:2", both, ""},
		{"callers without a certificate", "10.0.0.1:1", "10.0.0.1:2", "", full, "caller: "},
		{"peers without a certificate", "10.0.0.1:1", "10.0.0.1:2", "", callers, "peer: "},
		{"listen without a certificate", "127.0.0.1:1", "127.0.0.1:2", "0.0.0.0:2", callers, "listen: "},
		{"no key", "127.0.0.1:1", "127.0.0.1:2", "", &fleetpb.HostTLS{Certificate: "c", Authority: "a"}, "tls: "},
		{"authority alone", "127.0.0.1:1", "127.0.0.1:2", "", &fleetpb.HostTLS{Authority: "a"}, "tls: "},
		{"name in place of an address", "localhost:1", "127.0.0.1:2", "", both, "caller: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := checkSettings("host.yaml", &fleetpb.HostSettings{
				Host: "e1", Caller: tt.caller, Peer: tt.peer, Listen: tt.listen, Tls: tt.tls,
			})
			if tt.problem == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tt.problem)
		})
	}
}
