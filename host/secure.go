package main

import (
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/fleetpb"
)

// certificateStores holds the certificates of a host. A store is nil if the settings have no certificate for it.
type certificateStores struct {
	peer     *certificate.Store
	caller   *certificate.Store
	upstream *certificate.Store
}

// loadCertificates reads the certificates that the settings name.
func loadCertificates(s *fleetpb.HostSettings) (*certificateStores, error) {
	t := s.GetTls()
	stores := &certificateStores{}
	var err error
	if t.GetAuthority() != "" {
		files := certificate.Files{Certificate: t.GetCertificate(), Key: t.GetKey(), Authority: t.GetAuthority()}
		if s.GetData() != "" {
			// Other hosts verify the name of a control host.
			files.Name = s.GetHost()
		}
		if stores.peer, err = certificate.Load(files); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if caller := t.GetCaller(); caller != nil {
		stores.caller, err = certificate.Load(certificate.Files{Certificate: caller.GetCertificate(), Key: caller.GetKey()})
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if upstream := t.GetUpstream(); upstream != nil {
		stores.upstream, err = certificate.Load(certificate.Files{Authority: upstream.GetAuthority()})
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return stores, nil
}

// reloadCertificates reads all certificates again. One that cannot be read is not replaced.
func (d *deps) reloadCertificates() {
	for name, store := range map[string]*certificate.Store{
		"tls": d.certificates.peer, "tls.caller": d.certificates.caller, "tls.upstream": d.certificates.upstream,
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
