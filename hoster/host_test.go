package hoster_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"foxtailwall/controller"
	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/hoster"
	"foxtailwall/messenger"
	"foxtailwall/timekeeper"
)

// authority issues certificates for 127.0.0.1.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(dir string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	a := &authority{dir: dir, cert: cert, key: key}
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	Expect(os.WriteFile(filepath.Join(a.dir, name), b, 0o600)).To(Succeed())
}

// issue writes a certificate and its key, and returns the files.
func (a *authority) issue(name string) hoster.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	a.write(name+".pem", "CERTIFICATE", der)
	kb, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	a.write(name+".key", "EC PRIVATE KEY", kb)
	path := func(ext string) string { return filepath.Join(a.dir, name+ext) }
	return hoster.TLSFiles{Cert: path(".pem"), Key: path(".key"), CA: filepath.Join(a.dir, "ca.pem")}
}

// client returns the configuration of a client that trusts the authority and
// shows a certificate if files are given.
func (a *authority) client(f *hoster.TLSFiles) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	conf := &tls.Config{RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	if f != nil {
		pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		Expect(err).NotTo(HaveOccurred())
		conf.Certificates = []tls.Certificate{pair}
	}
	return conf
}

func listen() (net.Listener, netip.AddrPort) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return l, netip.MustParseAddrPort(l.Addr().String())
}

var _ = Describe("Host", func() {
	// Guards against a side that falls back to clear text, and against a
	// process without a certificate that can change the configuration.
	It("serves with TLS on every side and refuses peers without a certificate", func(ctx context.Context) {
		dir := GinkgoT().TempDir()
		ca := newAuthority(dir)
		files := ca.issue("host")

		l, engineAddr := listen()
		engine := emulator.NewEngine(emulator.EngineConfig{Name: "e", Seed: 1, Versions: []emulator.Version{{Model: "m", Version: "v1", Quality: 1}}})
		DeferCleanup(engine.Close)
		engineCtx, stopEngine := context.WithCancel(context.Background())
		DeferCleanup(stopEngine)
		go emulator.Serve(engineCtx, l, engine, ca.client(&files))

		listeners := map[netip.AddrPort]net.Listener{}
		reserve := func() netip.AddrPort {
			l, a := listen()
			listeners[a] = l
			return a
		}
		set := settings()
		set.Callers, set.Operators, set.Peers = reserve(), reserve(), reserve()
		set.Hosts[0].Addr, set.DataFolder = set.Peers, filepath.Join(dir, "data")
		set.CallerTLS, set.PeerTLS, set.UpstreamTLS = files, files, files
		set.Grace, set.Drain = time.Millisecond, 10*time.Second
		host, err := hoster.New(set, hoster.Options{
			Clock: timekeeper.System{}, Log: zerolog.Nop(),
			Listen: func(a netip.AddrPort) (net.Listener, error) { return listeners[a], nil },
		})
		Expect(err).NotTo(HaveOccurred())
		hostCtx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- host.Run(hostCtx) }()

		b := declarer.New("office")
		b.Model("m", "model", "v1").Version("v1", declarer.Price{InputNanos: 1, OutputNanos: 2}, 0.9)
		b.Upstream("e", "engine", "a", engineAddr).Serves("m", "v1")
		b.Workspace("w", "workspace").Allow("m").Member("shop", declarer.KeyDigest("key"))
		change, err := controller.NewApply("office", "", 0, b.Config())
		Expect(err).NotTo(HaveOccurred())

		stranger := messenger.Operator{Clock: timekeeper.System{}, Peers: []*messenger.Peer{messenger.NewPeer(set.Peers, ca.client(nil))}}
		_, err = stranger.Apply(ctx, change)
		Expect(err).To(HaveOccurred())
		office := messenger.Operator{Clock: timekeeper.System{}, Peers: []*messenger.Peer{messenger.NewPeer(set.Peers, ca.client(&files))}}
		got, err := office.Apply(ctx, change)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.State).To(Equal(controller.Accepted))

		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: ca.client(nil).RootCAs}}}
		send := func() int {
			body, err := json.Marshal(map[string]any{"model": "m", "max_tokens": 3, "messages": []map[string]string{{"role": "user", "content": "a"}}})
			Expect(err).NotTo(HaveOccurred())
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+set.Callers.String()+"/v1/chat/completions", bytes.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer key")
			resp, err := client.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			return resp.StatusCode
		}
		Eventually(send).WithContext(ctx).WithTimeout(time.Minute).Should(Equal(http.StatusOK))
		Eventually(func() (int, error) {
			out, err := office.Export(ctx)
			return len(out.Records), err
		}).WithContext(ctx).WithTimeout(time.Minute).Should(Equal(1))

		stop()
		Expect(<-done).To(Succeed())
	}, NodeTimeout(2*time.Minute))
})
