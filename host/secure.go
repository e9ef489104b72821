package main

import (
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/fleetpb"
)

// secure holds the certificates of a host; each store is nil where the settings name none.
type secure struct {
	peer     *certificate.Store
	caller   *certificate.Store
	upstream *certificate.Store
}

// loadSecure reads the certificates that the settings name.
func loadSecure(s *fleetpb.HostSettings) (*secure, error) {
	t := s.GetTls()
	c := &secure{}
	var err error
	if t.GetAuthority() != "" {
		files := certificate.Files{Certificate: t.GetCertificate(), Key: t.GetKey(), Authority: t.GetAuthority()}
		if s.GetData() != "" {
			// Other hosts verify the name of a control host.
			files.Name = s.GetHost()
		}
		if c.peer, err = certificate.Load(files); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if caller := t.GetCaller(); caller != nil {
		c.caller, err = certificate.Load(certificate.Files{Certificate: caller.GetCertificate(), Key: caller.GetKey()})
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if upstream := t.GetUpstream(); upstream != nil {
		c.upstream, err = certificate.Load(certificate.Files{Authority: upstream.GetAuthority()})
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return c, nil
}

// renew reads all certificates again; what cannot be read stays as it was.
func (d *deps) renew() {
	for name, store := range map[string]*certificate.Store{
		"tls": d.secure.peer, "tls.caller": d.secure.caller, "tls.upstream": d.secure.upstream,
	} {
		if store == nil {
			continue
		}
		if err := store.Reload(); err != nil {
			klog.ErrorS(nil, "certificates not renewed, the former ones stay in use", "settings", name, "problem", trace.UserMessage(err))
			continue
		}
		klog.InfoS("certificates renewed", "settings", name)
	}
	d.peers.ResetConnections()
}
