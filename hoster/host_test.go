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
	"github.com/sourcegraph/conc"

	"foxtailwall/controller"
	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/hoster"
	"foxtailwall/messenger"
	"foxtailwall/refuser"
	"foxtailwall/reserver"
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

// issue writes a certificate for 127.0.0.1 and its key, and returns their files.
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

// tlsConfig returns a configuration for clients and servers that trusts the
// authority and presents the certificate of f, if f is not nil.
func (a *authority) tlsConfig(f *hoster.TLSFiles) *tls.Config {
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

// deployment is a running host with one engine.
type deployment struct {
	settings   hoster.Settings
	engine     *emulator.Engine
	engineAddr netip.AddrPort
	stop       func() error
}

// startDeployment starts an engine and a host that is the only member of its
// control group. The other hosts are listed but not started.
func startDeployment(conf emulator.EngineConfig, files hoster.TLSFiles, engineTLS *tls.Config, others ...hoster.Spec) *deployment {
	d := &deployment{settings: settings()}
	d.settings.Hosts = append(d.settings.Hosts, others...)
	var l net.Listener
	l, d.engineAddr = listen()
	d.engine = emulator.NewEngine(conf)
	DeferCleanup(d.engine.Close)
	ctx, stopEngine := context.WithCancel(context.Background())
	DeferCleanup(stopEngine)
	go emulator.Serve(ctx, l, d.engine, engineTLS)

	listeners := map[netip.AddrPort]net.Listener{}
	reserve := func() netip.AddrPort {
		l, a := listen()
		listeners[a] = l
		return a
	}
	d.settings.Callers, d.settings.Operators, d.settings.Peers = reserve(), reserve(), reserve()
	d.settings.Hosts[0].Addr, d.settings.DataFolder = d.settings.Peers, GinkgoT().TempDir()
	d.settings.CallerTLS, d.settings.PeerTLS, d.settings.UpstreamTLS = files, files, files
	d.settings.Grace, d.settings.Drain = time.Millisecond, 10*time.Second
	host, err := hoster.New(d.settings, hoster.Options{
		Clock: timekeeper.System{}, Log: zerolog.Nop(),
		Listen: func(a netip.AddrPort) (net.Listener, error) { return listeners[a], nil },
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx) }()
	d.stop = func() error {
		cancel()
		return <-done
	}
	return d
}

// config returns a configuration in which the engine serves the versions.
func (d *deployment) config(versions ...string) declarer.Config {
	b := declarer.New("office")
	m := b.Model("m", "model", versions[len(versions)-1])
	u := b.Upstream("e", "engine", "a", d.engineAddr)
	for _, v := range versions {
		m.Version(v, declarer.Price{InputNanos: 1, OutputNanos: 2}, 0.9)
		u.Serves("m", v)
	}
	b.Workspace("w", "workspace").Allow("m").Member("shop", declarer.KeyDigest("key"))
	return b.Config()
}

// sendRequest sends a chat request for the model and returns the HTTP status, or
// 0 if the connection fails.
func (d *deployment) sendRequest(ctx context.Context, client *http.Client, scheme string) int {
	body, err := json.Marshal(map[string]any{"model": "m", "max_tokens": 3, "messages": []map[string]string{{"role": "user", "content": "a"}}})
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+d.settings.Callers.String()+"/v1/chat/completions", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer key")
	resp, err := client.Do(req)
	if err != nil {
		return 0 // The port is not open yet.
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

var _ = Describe("Host", func() {
	// Guards against a port that falls back to clear text, and against a
	// process without a certificate that can change the configuration.
	It("serves all ports with TLS and refuses peers without a certificate", func(ctx context.Context) {
		ca := newAuthority(GinkgoT().TempDir())
		files := ca.issue("host")
		d := startDeployment(emulator.EngineConfig{Name: "e", Seed: 1, Versions: []emulator.Version{{Model: "m", Version: "v1", Quality: 1}}}, files, ca.tlsConfig(&files))
		change, err := controller.NewApply("office", "", 0, d.config("v1"))
		Expect(err).NotTo(HaveOccurred())

		unauthenticated := messenger.OperatorClient{Clock: timekeeper.System{}, Peers: []*messenger.Peer{messenger.NewPeer(d.settings.Peers, ca.tlsConfig(nil))}}
		_, err = unauthenticated.Apply(ctx, change)
		Expect(err).To(HaveOccurred())
		operator := messenger.OperatorClient{Clock: timekeeper.System{}, Peers: []*messenger.Peer{messenger.NewPeer(d.settings.Peers, ca.tlsConfig(&files))}}
		got, err := operator.Apply(ctx, change)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.State).To(Equal(controller.Accepted))

		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: ca.tlsConfig(nil).RootCAs}}}
		Eventually(d.sendRequest).WithContext(ctx).WithArguments(client, "https").WithTimeout(time.Minute).Should(Equal(http.StatusOK))
		Eventually(func() (int, error) {
			out, err := operator.Export(ctx)
			if err != nil {
				return 0, err
			}
			return len(out.Records), nil
		}).WithContext(ctx).WithTimeout(time.Minute).Should(Equal(1))
		Expect(d.stop()).To(Succeed())
	}, NodeTimeout(2*time.Minute))

	// Guards against a declared version that no engine ever loads, and against
	// requests sent to an engine that has not loaded it yet.
	It("orders an engine to load the version that is declared for it", func(ctx context.Context) {
		d := startDeployment(emulator.EngineConfig{
			Name: "e", Seed: 1, Versions: []emulator.Version{{Model: "m", Version: "v1", Quality: 1}},
			Loadable: []emulator.Version{{Model: "m", Version: "v2", Quality: 1}},
		}, hoster.TLSFiles{Insecure: true}, nil)
		operator := messenger.OperatorClient{Clock: timekeeper.System{}, Peers: []*messenger.Peer{messenger.NewPeer(d.settings.Peers, nil)}}
		change, err := controller.NewApply("office", "", 0, d.config("v2"))
		Expect(err).NotTo(HaveOccurred())
		_, err = operator.Apply(ctx, change)
		Expect(err).NotTo(HaveOccurred())
		Eventually(d.sendRequest).WithContext(ctx).WithArguments(http.DefaultClient, "http").
			WithTimeout(time.Minute).WithPolling(100 * time.Millisecond).Should(Equal(http.StatusOK))
		for _, run := range d.engine.Ran() {
			Expect(run.Version).To(Equal("v2"))
		}
		Expect(d.engine.Orders()).NotTo(BeEmpty())
		Expect(d.stop()).To(Succeed())
	}, NodeTimeout(2*time.Minute))

	// Guards against a host that goes on sending requests to an evacuated zone, or none
	// after the evacuation has ended, and against an order for a zone that does not exist.
	It("sends nothing to an evacuated zone", func(ctx context.Context) {
		d := startDeployment(emulator.EngineConfig{Name: "e", Seed: 1, Versions: []emulator.Version{{Model: "m", Version: "v1", Quality: 1}}}, hoster.TLSFiles{Insecure: true}, nil)
		operator := messenger.OperatorClient{Clock: timekeeper.System{}, Peers: []*messenger.Peer{messenger.NewPeer(d.settings.Peers, nil)}}
		change, err := controller.NewApply("office", "", 0, d.config("v1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = operator.Apply(ctx, change)
		Expect(err).NotTo(HaveOccurred())
		status := func(status int) {
			GinkgoHelper()
			Eventually(d.sendRequest).WithContext(ctx).WithArguments(http.DefaultClient, "http").
				WithTimeout(time.Minute).WithPolling(50 * time.Millisecond).Should(Equal(status))
		}
		status(http.StatusOK)
		_, err = operator.Evacuate(ctx, controller.EvacuationOrder{Zone: "b"})
		Expect(err).To(MatchError(ContainSubstring(`"b"`)))
		for _, changed := range []bool{true, false} {
			got, err := operator.Evacuate(ctx, controller.EvacuationOrder{Zone: "a"})
			Expect(err).NotTo(HaveOccurred())
			Expect(*got).To(Equal(controller.EvacuationResult{Accepted: true, Changed: changed}))
		}
		status(http.StatusServiceUnavailable)
		ran := len(d.engine.Ran())
		Expect(d.sendRequest(ctx, http.DefaultClient, "http")).To(Equal(http.StatusServiceUnavailable))
		Expect(d.engine.Ran()).To(HaveLen(ran))
		state, err := operator.Status(ctx, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Evacuated).To(ConsistOf(HaveField("Zone", "a")))
		_, err = operator.Evacuate(ctx, controller.EvacuationOrder{Zone: "a", End: true})
		Expect(err).NotTo(HaveOccurred())
		status(http.StatusOK)
		Expect(d.stop()).To(Succeed())
	}, NodeTimeout(2*time.Minute))

	// Guards against a queue of a running host that is missing from the status, and
	// against requests that wait by the bounds of an earlier configuration.
	It("lists what waits and what it has refused in the status", func(ctx context.Context) {
		d := startDeployment(emulator.EngineConfig{
			Name: "e", Seed: 1, Versions: []emulator.Version{{Model: "m", Version: "v1", Quality: 1}}, Timing: emulator.Timing{Step: time.Hour},
		}, hoster.TLSFiles{Insecure: true}, nil)
		operator := messenger.OperatorClient{Clock: timekeeper.System{}, Peers: []*messenger.Peer{messenger.NewPeer(d.settings.Peers, nil)}}
		conf := d.config("v1")
		conf.Workspaces[0].Concurrent, conf.Workspaces[0].Queue = 1, 1
		change, err := controller.NewApply("office", "", 0, conf)
		Expect(err).NotTo(HaveOccurred())
		applied, err := operator.Apply(ctx, change)
		Expect(err).NotTo(HaveOccurred())

		// One request runs, one waits, and all others are refused.
		requests, cancel := context.WithCancel(ctx)
		var wg conc.WaitGroup
		for range 2 {
			wg.Go(func() {
				for requests.Err() == nil {
					d.sendRequest(requests, http.DefaultClient, "http")
					_ = timekeeper.Sleep(requests, timekeeper.System{}, 10*time.Millisecond)
				}
			})
		}
		Eventually(func() int {
			limited, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			return d.sendRequest(limited, http.DefaultClient, "http")
		}).WithContext(ctx).WithTimeout(time.Minute).WithPolling(10 * time.Millisecond).Should(Equal(http.StatusTooManyRequests))
		Eventually(operator.Status).WithContext(ctx).WithArguments(false).WithTimeout(time.Minute).WithPolling(50 * time.Millisecond).Should(
			HaveField("Hosts", ConsistOf(HaveField("Queue", HaveValue(And(
				HaveField("Waiting", ConsistOf(And(HaveField("Workspace", "w"), HaveField("Priority", 5), HaveField("Requests", 1)))),
				HaveField("Refused", HaveKey(string(refuser.QueueFull)))))))))

		// A changed configuration applies to the request that waits.
		conf.Workspaces[0].Concurrent = 2
		change, err = controller.NewApply("office", "", applied.Version, conf)
		Expect(err).NotTo(HaveOccurred())
		Expect(operator.Apply(ctx, change)).To(HaveField("State", controller.Accepted))
		Eventually(operator.Status).WithContext(ctx).WithArguments(false).WithTimeout(time.Minute).WithPolling(50 * time.Millisecond).Should(
			HaveField("Hosts", ConsistOf(HaveField("Queue.Waiting", BeEmpty()))))
		cancel()
		wg.Wait()
		Expect(d.stop()).To(Succeed())
	}, NodeTimeout(2*time.Minute))

	// Guards against a zone that is cut off before the leader starts, never
	// confirms a version and is therefore missing from the status.
	It("lists a cut-off zone in the status", func(ctx context.Context) {
		var ports reserver.Ports
		port, err := ports.Next()
		Expect(err).NotTo(HaveOccurred())
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		d := startDeployment(emulator.EngineConfig{Name: "e", Seed: 1}, hoster.TLSFiles{Insecure: true}, nil, hoster.Spec{Name: "far", Zone: "far zone", Addr: a})
		operator := messenger.OperatorClient{Clock: timekeeper.System{}, Peers: []*messenger.Peer{messenger.NewPeer(d.settings.Peers, nil)}}
		change, err := controller.NewApply("office", "", 0, d.config("v1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = operator.Apply(ctx, change)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() (*messenger.VersionStatus, error) {
			s, err := operator.Status(ctx, false)
			if err != nil {
				return nil, err
			}
			return s.Standing, nil
		}).WithContext(ctx).WithTimeout(time.Minute).WithPolling(100 * time.Millisecond).Should(
			HaveValue(And(HaveField("InForce", true), HaveField("Pending", BeEmpty()), HaveField("CutOff", ConsistOf("far zone")))))
		Expect(d.stop()).To(Succeed())
	}, NodeTimeout(2*time.Minute))
})
