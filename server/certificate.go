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

// minCheckInterval is the minimum time between two checks of the certificate
// files.
const minCheckInterval = 10 * time.Second

type (
	// Certificate is a TLS certificate that is reloaded when its
	// files change. If the files cannot be loaded, for example while they are
	// being replaced, the previous pair stays in use. Create it with
	// LoadCertificate.
	Certificate struct {
		certFile, keyFile string
		clock             timekeeper.Clock
		scope             counter.Scope

		mu          sync.Mutex
		current     *tls.Certificate
		loadedState fileState
		checked     time.Time
	}

	// CertificateError reports that a certificate, its key or a CA file cannot
	// be loaded.
	CertificateError struct {
		CertFile, KeyFile string
		Err               error
	}

	// fileState holds the modification times and sizes of the files, by which a
	// change is detected.
	fileState struct {
		certTime, keyTime time.Time
		certSize, keySize int64
	}
)

// LoadCertificate reads a certificate and its key from PEM files. Errors are of
// type *CertificateError.
func LoadCertificate(certFile, keyFile string, clock timekeeper.Clock, scope counter.Scope) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, clock: clock, scope: scope}
	if err := c.load(); err != nil {
		return nil, &CertificateError{CertFile: certFile, KeyFile: keyFile, Err: err}
	}
	c.checked = clock.Now()
	return c, nil
}

// Error implements error.
func (e *CertificateError) Error() string {
	return fmt.Sprintf("certificate %s with key %s: %v", e.CertFile, e.KeyFile, e.Err)
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Err }

// Config returns a server configuration that uses the current certificate at
// each handshake.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.currentCertificate(), nil },
	}
}

// currentCertificate returns the current certificate, after reloading it if a
// check is due and the files have changed.
func (c *Certificate) currentCertificate() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clock.Since(c.checked) >= minCheckInterval {
		c.checked = c.clock.Now()
		if err := c.load(); err != nil {
			c.scope.Counter("server.certificateFailures").Inc(1)
		}
	}
	return c.current
}

// load reads the files if they have changed. It takes their times and sizes
// before it reads them, so that the next check notices a change in between.
func (c *Certificate) load() error {
	s, err := statFiles(c.certFile, c.keyFile)
	if err != nil {
		return err
	}
	if c.current != nil && s == c.loadedState {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return err
	}
	c.current, c.loadedState = &pair, s
	return nil
}

func statFiles(certFile, keyFile string) (fileState, error) {
	cert, err := os.Stat(certFile)
	if err != nil {
		return fileState{}, err
	}
	key, err := os.Stat(keyFile)
	if err != nil {
		return fileState{}, err
	}
	return fileState{
		certTime: cert.ModTime(), certSize: cert.Size(), keyTime: key.ModTime(), keySize: key.Size(),
	}, nil
}

// MutualConfig returns a mutual TLS configuration for clients and servers: both
// present the certificate and accept only peers whose certificate was issued by
// an authority in the CA file. Errors are of type *CertificateError.
func (c *Certificate) MutualConfig(caFile string) (*tls.Config, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, &CertificateError{CertFile: caFile, KeyFile: c.keyFile, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &CertificateError{CertFile: caFile, KeyFile: c.keyFile, Err: errNoCACertificate}
	}
	conf := c.Config()
	conf.RootCAs, conf.ClientCAs, conf.ClientAuth = pool, pool, tls.RequireAndVerifyClientCert
	conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.currentCertificate(), nil }
	return conf, nil
}

var errNoCACertificate = errors.New("the file contains no PEM certificate")
