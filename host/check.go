package main

import (
	"net"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
)

// checkSettings checks what the schema cannot say: addresses, and that traffic without TLS stays on the machine.
func checkSettings(path string, s *fleetpb.HostSettings) error {
	if s.GetCaller() == "" && s.GetData() == "" {
		return trace.BadParameter("%s: the host needs caller (an address for callers) or data (a folder), or both", path)
	}
	fields := []struct{ name, address string }{
		{"caller", s.GetCaller()}, {"peer", s.GetPeer()}, {"listen", s.GetListen()},
	}
	for _, field := range fields {
		if field.address == "" {
			continue
		}
		if err := checkLoopback(field.address); err != nil {
			return trace.BadParameter("%s: %s: %s", path, field.name, err.Error())
		}
	}
	if s.GetData() == "" {
		return nil
	}
	for _, host := range s.GetControl() {
		if host.GetHost() == s.GetHost() {
			return nil
		}
	}
	if s.GetReplacement() {
		return nil
	}
	return trace.BadParameter("%s: control: a host with a data folder is one of the control hosts, expected an entry for %q", path, s.GetHost())
}

// checkLoopback rejects addresses that other machines reach, since there is no TLS yet.
func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return trace.BadParameter("%q is not an IP address with a port", address)
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return trace.BadParameter("%q does not begin with an IP address", address)
	}
	if !ip.IsLoopback() {
		return trace.BadParameter("%q is not a loopback address; without TLS only loopback is listened on", address)
	}
	return nil
}
