package main

import (
	"net"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
)

// checkSettings checks what the schema cannot express: addresses, and that traffic without TLS stays on loopback.
func checkSettings(path string, s *fleetpb.HostSettings) error {
	if s.GetCaller() == "" && s.GetData() == "" {
		return trace.BadParameter("%s: the host needs caller (an address for callers) or data (a folder), or both", path)
	}
	if err := checkTLS(s.GetTls()); err != nil {
		return trace.BadParameter("%s: tls: %s", path, err.Error())
	}
	peerTLS := s.GetTls().GetAuthority() != ""
	fields := []struct {
		name, address string
		secured       bool
	}{
		{"caller", s.GetCaller(), s.GetTls().GetCaller() != nil}, {"peer", s.GetPeer(), peerTLS}, {"listen", s.GetListen(), peerTLS},
	}
	for _, field := range fields {
		if field.address == "" {
			continue
		}
		if err := checkAddress(field.address, field.secured); err != nil {
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

// checkTLS rejects settings with only some of certificate, key and authority. The host would otherwise start without TLS.
func checkTLS(t *fleetpb.HostTLS) error {
	set := 0
	for _, file := range []string{t.GetCertificate(), t.GetKey(), t.GetAuthority()} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return trace.BadParameter("expected certificate, key and authority, or none of them")
	}
	return nil
}

// checkAddress rejects an address that is not on loopback unless connections to it use TLS.
func checkAddress(address string, secured bool) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return trace.BadParameter("%q is not an IP address with a port", address)
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return trace.BadParameter("%q does not begin with an IP address", address)
	}
	if !secured && !ip.IsLoopback() {
		return trace.BadParameter("%q is not a loopback address; other addresses need a certificate", address)
	}
	return nil
}
