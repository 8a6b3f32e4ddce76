package server_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/counter"
	"foxtailwall/dialer"
	"foxtailwall/router"
	"foxtailwall/server"
	"foxtailwall/timekeeper"
)

// writePair writes a new self-signed certificate with the serial number and its
// key to dir.
func writePair(dir string, serial int64) (certFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Unix(1<<33, 0), DNSNames: []string{"h"}}
	cert, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	der, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	write := func(name, kind string, b []byte) {
		Expect(os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600)).To(Succeed())
		at := time.Unix(1000+serial, 0) // Makes the change visible on file systems with coarse timestamps.
		Expect(os.Chtimes(name, at, at)).To(Succeed())
	}
	write(certFile, "CERTIFICATE", cert)
	write(keyFile, "PRIVATE KEY", der)
	return certFile, keyFile
}

var _ = Describe("Certificate", func() {
	// Guards against a renewed certificate that is used only after a restart,
	// and against a partly written file that breaks all handshakes.
	It("reloads changed files and keeps the last valid pair", func() {
		dir := GinkgoT().TempDir()
		certFile, keyFile := writePair(dir, 1)
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		c, err := server.LoadCertificate(certFile, keyFile, clock, counter.Scope{})
		Expect(err).NotTo(HaveOccurred())
		serial := func() int64 {
			clock.Advance(time.Minute)
			got, err := c.Config().GetCertificate(nil)
			Expect(err).NotTo(HaveOccurred())
			return got.Leaf.SerialNumber.Int64()
		}
		Expect(serial()).To(Equal(int64(1)))
		writePair(dir, 2)
		Expect(serial()).To(Equal(int64(2)))
		Expect(os.WriteFile(certFile, []byte("half"), 0o600)).To(Succeed())
		Expect(serial()).To(Equal(int64(2)))
		_, err = server.LoadCertificate(certFile, keyFile, clock, counter.Scope{})
		Expect(err).To(BeAssignableToTypeOf(&server.CertificateError{}))
	})

	// Guards against connections to an upstream without TLS, or without the
	// client certificate of this host, although mutual TLS is configured.
	It("connects to upstreams with mutual TLS", func() {
		certFile, keyFile := writePair(GinkgoT().TempDir(), 1)
		pair, err := tls.LoadX509KeyPair(certFile, keyFile)
		Expect(err).NotTo(HaveOccurred())
		pool := x509.NewCertPool()
		pool.AddCert(pair.Leaf)
		e := newUnstartedEngine(1)
		e.TLS = &tls.Config{Certificates: []tls.Certificate{pair}, ClientAuth: tls.RequireAnyClientCert}
		e.StartTLS()
		DeferCleanup(e.Close)
		conf := testConfig([]netip.AddrPort{addrOf(e.Listener)}, nil, false)
		mutual := &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, ServerName: "h"}
		status := func(c *tls.Config) int {
			h := startHost(conf, func(_ *server.Options, _ *router.Options, o *dialer.Options) { o.TLS = c })
			resp, _ := h.send("POST", "/v1/chat/completions", wholeBody)
			return resp.StatusCode
		}
		Expect(status(mutual)).To(Equal(http.StatusOK))
		Expect(status(&tls.Config{RootCAs: pool, ServerName: "h"})).NotTo(Equal(http.StatusOK))
		Expect(status(nil)).NotTo(Equal(http.StatusOK))
	})
})
