package hoster

import (
	"crypto/tls"

	"foxtailwall/server"
)

// tlsConfigs holds the TLS configurations of a host. Nil means no TLS, which the
// settings must request explicitly.
type tlsConfigs struct {
	caller, peer, upstream *tls.Config
}

// loadTLS reads the certificates for callers, peers and upstreams. They are
// read again when their files change; CA files are read only once.
func (h *Host) loadTLS() error {
	var err error
	if h.tls.peer, err = h.mutualTLS(h.settings.PeerTLS); err != nil {
		return err
	}
	if h.tls.upstream, err = h.mutualTLS(h.settings.UpstreamTLS); err != nil {
		return err
	}
	if !h.settings.Entry || h.settings.CallerTLS.Insecure {
		return nil
	}
	cert, err := server.LoadCertificate(h.settings.CallerTLS.Cert, h.settings.CallerTLS.Key, h.clock, h.scope)
	if err != nil {
		return err
	}
	h.tls.caller = cert.Config()
	return nil
}

// mutualTLS returns a configuration with which both ends authenticate by
// certificate, or nil if TLS is turned off.
func (h *Host) mutualTLS(f TLSFiles) (*tls.Config, error) {
	if f.Insecure {
		return nil, nil
	}
	cert, err := server.LoadCertificate(f.Cert, f.Key, h.clock, h.scope)
	if err != nil {
		return nil, err
	}
	return cert.MutualConfig(f.CA)
}
