package hoster

import (
	"crypto/tls"

	"foxtailwall/server"
)

// sides holds the TLS configurations of a host; nil means clear text, which
// the settings must name explicitly.
type sides struct {
	caller, peer, upstream *tls.Config
}

// loadTLS reads the certificates of all sides. They are read again when their
// files change; the authorities of a CA file are not.
func (h *Host) loadTLS() error {
	var err error
	if h.tls.peer, err = h.mutual(h.set.PeerTLS); err != nil {
		return err
	}
	if h.tls.upstream, err = h.mutual(h.set.UpstreamTLS); err != nil {
		return err
	}
	if !h.set.Entry || h.set.CallerTLS.Insecure {
		return nil
	}
	cert, err := server.LoadCertificate(h.set.CallerTLS.Cert, h.set.CallerTLS.Key, h.clock, h.scope)
	if err != nil {
		return err
	}
	h.tls.caller = cert.Config()
	return nil
}

// mutual returns the configuration of a side on which both ends show a
// certificate.
func (h *Host) mutual(f TLSFiles) (*tls.Config, error) {
	if f.Insecure {
		return nil, nil
	}
	cert, err := server.LoadCertificate(f.Cert, f.Key, h.clock, h.scope)
	if err != nil {
		return nil, err
	}
	return cert.MutualConfig(f.CA)
}
