package server

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/counter"
	"foxtailwall/timekeeper"
)

// reloadEvery is how often, at most, the certificate files are looked at.
const reloadEvery = 10 * time.Second

type (
	// Certificate is a TLS certificate that is read again when its files
	// change. A pair that cannot be read, as in the middle of a replacement,
	// leaves the one before in use. Make it with LoadCertificate.
	Certificate struct {
		certFile, keyFile string
		clock             timekeeper.Clock
		scope             counter.Scope

		mu      sync.Mutex
		current *tls.Certificate
		stamp   stamp
		looked  time.Time
	}

	// CertificateError says that a certificate cannot be used.
	CertificateError struct {
		CertFile, KeyFile string
		Err               error
	}

	// stamp tells one state of the files from another.
	stamp struct {
		certTime, keyTime time.Time
		certSize, keySize int64
	}
)

// LoadCertificate reads a certificate and its key from PEM files. It returns
// a *CertificateError.
func LoadCertificate(certFile, keyFile string, clock timekeeper.Clock, scope counter.Scope) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, clock: clock, scope: scope}
	if err := c.load(); err != nil {
		return nil, &CertificateError{CertFile: certFile, KeyFile: keyFile, Err: err}
	}
	c.looked = clock.Now()
	return c, nil
}

// Error implements error.
func (e *CertificateError) Error() string {
	return fmt.Sprintf("certificate %s with key %s: %v", e.CertFile, e.KeyFile, e.Err)
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Err }

// Config returns a server configuration that uses the certificate as it is at
// each handshake.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get(), nil },
	}
}

func (c *Certificate) get() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clock.Since(c.looked) >= reloadEvery {
		c.looked = c.clock.Now()
		if err := c.load(); err != nil {
			c.scope.Counter("server.certificateFailures").Inc(1)
		}
	}
	return c.current
}

// load reads the files if they have changed. The stamp is taken before the
// files are read, so that a change in between is seen the next time.
func (c *Certificate) load() error {
	s, err := stampOf(c.certFile, c.keyFile)
	if err != nil {
		return err
	}
	if c.current != nil && s == c.stamp {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return err
	}
	c.current, c.stamp = &pair, s
	return nil
}

func stampOf(certFile, keyFile string) (stamp, error) {
	cert, err := os.Stat(certFile)
	if err != nil {
		return stamp{}, err
	}
	key, err := os.Stat(keyFile)
	if err != nil {
		return stamp{}, err
	}
	return stamp{
		certTime: cert.ModTime(), certSize: cert.Size(), keyTime: key.ModTime(), keySize: key.Size(),
	}, nil
}

// MutualConfig returns a configuration for both ends of a connection: each
// presents the certificate and accepts only peers whose certificate was issued
// by an authority in the CA file. It returns a *CertificateError.
func (c *Certificate) MutualConfig(caFile string) (*tls.Config, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, &CertificateError{CertFile: caFile, KeyFile: c.keyFile, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &CertificateError{CertFile: caFile, KeyFile: c.keyFile, Err: errNoAuthority}
	}
	conf := c.Config()
	conf.RootCAs, conf.ClientCAs, conf.ClientAuth = pool, pool, tls.RequireAndVerifyClientCert
	conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.get(), nil }
	return conf, nil
}

var errNoAuthority = errors.New("the file holds no PEM certificate")
