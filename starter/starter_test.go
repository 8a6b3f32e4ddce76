package starter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/accepter"
	"foxtailwall/controller"
	"foxtailwall/coordinator"
	"foxtailwall/dialer"
	"foxtailwall/forwarder"
	"foxtailwall/matcher"
	"foxtailwall/reserver"
	"foxtailwall/starter"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
	"foxtailwall/validator"
)

func TestStarter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "starter")
}

// eventTimeout bounds the waits for events of real hosts.
const eventTimeout = time.Minute

// codec is a minimal forwarder.Codec whose headers are X-Id, X-Output and, with the
// IDs of the prompt's parts separated by spaces, X-Parts.
type codec struct{}

func (codec) IDField() string { return "X-Id" }

func (codec) Request(h http.Header) forwarder.Envelope {
	envelope := forwarder.Envelope{ID: h.Get("X-Id")}
	for _, text := range strings.Fields(h.Get("X-Parts")) {
		id, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			panic(err)
		}
		envelope.Parts = append(envelope.Parts, forwarder.Part{ID: id, Tokens: 1})
	}
	if n, err := strconv.Atoi(h.Get("X-Output")); err == nil {
		envelope.Output = n
	}
	return envelope
}

func (codec) Fields(h http.Header, _ forwarder.Dispatch) []dialer.Field {
	return []dialer.Field{{Name: "X-Id", Value: h.Get("X-Id")}, {Name: "X-Parts", Value: h.Get("X-Parts")}}
}

func (codec) HostFields(h http.Header, _ forwarder.Delegation) []dialer.Field {
	return codec{}.Fields(h, forwarder.Dispatch{})
}

func (codec) Reply(h http.Header) forwarder.Reply {
	reply := forwarder.Reply{ID: h.Get("X-Id"), Signed: true, Confidence: -1, NotRun: h.Get("X-Not-Run") != ""}
	reply.Leaving, reply.Brittle = h.Get("X-Leaving") != "", h.Get("X-Brittle") != ""
	if d, err := time.ParseDuration(h.Get("X-Pause")); err == nil {
		reply.RetryAfter = d
	}
	if rate, err := strconv.ParseFloat(h.Get("X-Limit"), 64); err == nil {
		reply.RateLimit = &rate
	}
	return reply
}

var ports reserver.Ports

// reserveAddr returns a loopback address that a host may bind.
func reserveAddr() netip.AddrPort {
	ip := netip.MustParseAddr("127.0.0.1")
	port, err := ports.Next(ip)
	Expect(err).NotTo(HaveOccurred())
	return netip.AddrPortFrom(ip, port)
}

// deployment is one control host, one entry and its upstreams.
type deployment struct {
	control, entry starter.Settings
	opts           starter.Options
	stopEntry      context.CancelFunc
	ended          chan error
	// running ends when a host fails, so that the spec does not wait for it.
	running context.Context
	// stopControl stops the control host.
	stopControl context.CancelFunc
}

// startDeployment runs a deployment with the given upstreams until the spec ends.
func startDeployment(upstreams ...http.HandlerFunc) *deployment {
	d := newDeployment(upstreams...)
	d.start()
	return d
}

// newDeployment returns a deployment with the given upstreams that is not started.
func newDeployment(upstreams ...http.HandlerFunc) *deployment {
	var ups []tracker.Upstream
	for i, handler := range upstreams {
		srv := httptest.NewServer(handler)
		DeferCleanup(srv.Close)
		ups = append(ups, newUpstream(fmt.Sprint("u", i), srv))
	}
	return newDeploymentWithList(func() []tracker.Upstream { return ups })
}

// newUpstream returns the list's entry for a stand-in.
func newUpstream(id string, srv *httptest.Server) tracker.Upstream {
	return tracker.Upstream{ID: id, Service: "s", Zone: "a", Version: "v1", Address: netip.MustParseAddrPort(srv.Listener.Addr().String())}
}

// startDeploymentWithList runs a deployment with the upstreams that list returns.
func startDeploymentWithList(list func() []tracker.Upstream) *deployment {
	d := newDeploymentWithList(list)
	d.start()
	return d
}

// newDeploymentWithList returns a deployment, not started, with the upstreams that list
// returns.
func newDeploymentWithList(list func() []tracker.Upstream) *deployment {
	d := &deployment{ended: make(chan error, 1)}
	d.opts = starter.Options{Clock: timekeeper.System{}, Protocol: starter.Protocol{
		Codec: codec{},
		Config: func(b []byte) (c matcher.Config, err error) {
			err = json.Unmarshal(b, &c)
			return c, err
		},
		// Each host owns its list.
		List:      func(context.Context) ([]tracker.Upstream, error) { return slices.Clone(list()), nil },
		Operators: d.operatorsHandler, ReadyPath: "/ready",
		Settings: func() (starter.Settings, error) { return d.entry, nil },
	}}
	operatorsAddr := reserveAddr()
	retries := starter.Retries{Ratio: 1, Window: 10 * time.Second, Slack: 10}
	d.control = starter.Settings{
		Name: "c", Zone: "a", Operators: operatorsAddr, Seeds: []netip.AddrPort{operatorsAddr}, Bootstrap: true,
		Peers: reserveAddr(), DataFolder: GinkgoT().TempDir(), Grace: time.Second,
	}
	d.entry = starter.Settings{
		Name: "e", Zone: "a", Callers: reserveAddr(), Ready: reserveAddr(), Peers: d.control.Peers, Seeds: d.control.Seeds,
		Delegated: reserveAddr(),
		Grace:     3 * time.Second, Retries: retries,
	}
	return d
}

// start runs the deployment until the spec ends.
func (d *deployment) start() {
	var fail context.CancelCauseFunc
	d.running, fail = context.WithCancelCause(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	d.stopControl = cancel
	done := make(chan struct{})
	controlOpts := d.opts
	go func() {
		defer GinkgoRecover()
		defer close(done)
		err := starter.RunControl(ctx, d.control, controlOpts)
		if err != nil {
			fail(err)
		}
		Expect(err).NotTo(HaveOccurred())
	}()
	entryCtx, stop := context.WithCancel(context.Background())
	d.stopEntry = stop
	entryOpts := d.opts
	entryOpts.MetricsPort = reserveAddr().Port()
	d.opts.MetricsPort = entryOpts.MetricsPort
	go func() {
		err := starter.RunEntry(entryCtx, d.entry, entryOpts)
		if err != nil {
			fail(err)
		}
		d.ended <- err
	}()
	DeferCleanup(func() {
		cancel()
		stop()
		<-done
	})
}

// startEntry runs an entry beside the first until the spec ends, and returns its
// settings.
func (d *deployment) startEntry(name string, o starter.Options) starter.Settings {
	s := d.entry
	s.Name, s.Callers, s.Ready, s.Delegated, s.Grace = name, reserveAddr(), reserveAddr(), reserveAddr(), time.Second
	o.MetricsPort = reserveAddr().Port()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(starter.RunEntry(ctx, s, o)).To(Succeed())
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
	return s
}

// eventually is Eventually, but ends at once if a host has failed.
func (d *deployment) eventually(actual any) AsyncAssertion {
	check := func() error { return context.Cause(d.running) }
	Expect(check()).To(Succeed())
	return Eventually(actual, eventTimeout).WithContext(d.running)
}

// operatorsHandler stores request bodies as documents; the version is in the path.
func (d *deployment) operatorsHandler(c *coordinator.Coordinator) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var doc controller.Document
		_, err := fmt.Sscanf(r.URL.Path, "/%d", &doc.Version)
		if err == nil {
			doc.Body, err = io.ReadAll(r.Body)
		}
		if err == nil {
			_, err = c.PutDocument(r.Context(), doc)
		}
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if r.Header.Get("X-Stop") != "" {
			d.stopControl()
			<-time.After(100 * time.Millisecond)
		}
	})
}

// putConfig stores a configuration and retries until it is acknowledged.
func (d *deployment) putConfig(c matcher.Config) {
	body, err := json.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	d.eventually(func() int {
		resp, err := http.Post(fmt.Sprintf("http://%s/%d", d.control.Operators, c.Version), "", strings.NewReader(string(body)))
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}).Should(Equal(200))
}

// status returns a function that requests the path and returns the status code,
// or 0 if there is no answer.
func status(addr netip.AddrPort, path string) func() int {
	return func() int {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr.String()+path, nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Id", "1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
}

func config(version uint64, prefix string) matcher.Config {
	return matcher.Config{
		Version: version, Services: []matcher.Service{{Name: "s"}},
		Routes: []matcher.Route{{
			Name: "r", Host: "127.0.0.1", Prefix: prefix, Kind: matcher.Idempotent, Timeout: 5 * time.Second,
			MaxAttempts: 2, Splits: []matcher.Split{{Service: "s", Weight: 1}},
		}},
	}
}

var _ = Describe("a deployment", func() {
	// Guards against a configuration from operators or a list of upstreams from
	// the platform that does not reach the request path.
	It("serves requests by the operator's newest configuration", func() {
		d := startDeployment(func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Id", r.Header.Get("X-Id")) })
		d.eventually(status(d.entry.Ready, "/ready")).Should(Equal(503))
		d.putConfig(config(3, "/a/"))
		d.eventually(status(d.entry.Ready, "/ready")).Should(Equal(200))
		Expect(status(d.entry.Callers, "/a/x")()).To(Equal(200))
		metrics := netip.AddrPortFrom(d.entry.Peers.Addr(), d.opts.MetricsPort)
		Expect(status(metrics, "/metrics")()).To(Equal(200))
		d.putConfig(config(2, "/old/"))
		d.putConfig(config(4, "/b/"))
		d.eventually(status(d.entry.Callers, "/b/x")).Should(Equal(200))
		Expect(status(d.entry.Callers, "/a/x")()).To(Equal(404))
		Expect(status(d.entry.Callers, "/old/x")()).To(Equal(404))
	})

	// Guards against a shutdown that cuts off running requests, and against an
	// entry that still reports ready during it.
	It("lets running requests end when it is stopped", func() {
		started, release := make(chan struct{}), make(chan struct{})
		d := startDeployment(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			close(started)
			<-release
		})
		d.putConfig(config(1, "/a/"))
		d.eventually(status(d.entry.Ready, "/ready")).Should(Equal(200))
		got := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			got <- status(d.entry.Callers, "/a/x")()
		}()
		<-started
		d.stopEntry()
		d.eventually(status(d.entry.Ready, "/ready")).Should(Equal(503))
		close(release)
		Expect(<-got).To(Equal(200))
		Expect(<-d.ended).To(Succeed())
	})
})

// Guards against requests that are cut off without an answer because they were
// accepted just before or during a planned stop under load, on kept and on new
// connections, or because their caller reads slowly.
var _ = Describe("a planned stop under load", func() {
	It("answers every request that was accepted", func() {
		const callers = 12
		d := startDeployment(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			<-time.After(20 * time.Millisecond)
			fmt.Fprint(w, strings.Repeat("x", 1<<10))
		})
		conf := config(1, "/a/")
		conf.Routes[0].Timeout = time.Second
		d.putConfig(conf)
		d.eventually(status(d.entry.Ready, "/ready")).Should(Equal(200))

		slow, err := net.Dial("tcp", d.entry.Callers.String())
		Expect(err).NotTo(HaveOccurred())
		defer slow.Close()
		fmt.Fprintf(slow, "GET /a/slow HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: slow\r\n\r\n")

		stopSending := make(chan struct{})
		results := make(chan map[string]int, callers)
		for i := range callers {
			go func() {
				defer GinkgoRecover()
				counts := make(map[string]int)
				defer func() { results <- counts }()
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
				for n := 0; ; n++ {
					select {
					case <-stopSending:
						return
					default:
					}
					req, err := http.NewRequest(http.MethodPost, "http://"+d.entry.Callers.String()+"/a/x", strings.NewReader("body"))
					Expect(err).NotTo(HaveOccurred())
					req.GetBody = nil // The client must not send it again by itself.
					req.Header.Set("X-Id", fmt.Sprintf("%d-%d", i, n))
					resp, err := client.Do(req)
					if err != nil {
						counts[err.Error()]++
						continue
					}
					body, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					switch {
					case err != nil:
						counts[err.Error()]++
					case resp.StatusCode == http.StatusOK && len(body) != 1<<10:
						counts["cut body"]++
					default:
						counts[resp.Status]++
					}
				}
			}()
		}
		<-time.After(200 * time.Millisecond)
		d.stopEntry()
		d.eventually(status(d.entry.Ready, "/ready")).Should(Equal(503))
		<-time.After(500 * time.Millisecond)
		close(stopSending)
		total := make(map[string]int)
		for range callers {
			for what, n := range <-results {
				total[what] += n
			}
		}
		ok := total["200 OK"]
		delete(total, "200 OK")
		delete(total, "503 Service Unavailable") // Refused as not run, with Retry-After.
		Expect(total).To(BeEmpty())
		Expect(ok).To(BeNumerically(">", callers))
		answer, err := io.ReadAll(slow)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(HavePrefix("HTTP/1.1 200 OK"))
		Expect(string(answer)).To(HaveSuffix(strings.Repeat("x", 1<<10)))
		Expect(<-d.ended).To(Succeed())
	})
})

// Guards against a host that starts with unusable settings.
var _ = DescribeTable("invalid settings are rejected",
	func(change func(*starter.Settings), setting string) {
		s := starter.Settings{
			Name: "e", Callers: netip.MustParseAddrPort("127.0.0.1:1"), Ready: netip.MustParseAddrPort("127.0.0.1:2"),
			Peers: netip.MustParseAddrPort("127.0.0.1:3"), Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:4")},
			Grace: time.Second, Retries: starter.Retries{Window: time.Second},
		}
		change(&s)
		err := starter.RunEntry(context.Background(), s, starter.Options{Clock: timekeeper.System{}})
		var settingErr *validator.SettingError
		Expect(errors.As(err, &settingErr)).To(BeTrue())
		Expect(settingErr.Setting).To(Equal(setting))
	},
	Entry("no name", func(s *starter.Settings) { s.Name = "" }, "name"),
	Entry("no address for callers", func(s *starter.Settings) { s.Callers = netip.AddrPort{} }, "callers"),
	Entry("no readiness address", func(s *starter.Settings) { s.Ready = netip.AddrPort{} }, "ready"),
	Entry("no address for peers", func(s *starter.Settings) { s.Peers = netip.AddrPort{} }, "peers"),
	Entry("no seeds", func(s *starter.Settings) { s.Seeds = nil }, "seeds"),
	Entry("no grace period", func(s *starter.Settings) { s.Grace = 0 }, "grace"),
	Entry("too many waiting requests", func(s *starter.Settings) { s.Admission.MaxWaiting = 10_001 }, "admission.maxWaiting"),
	Entry("negative bytes of waiting requests", func(s *starter.Settings) { s.Admission.MaxWaitingBytes = -1 }, "admission.maxWaitingBytes"),
	Entry("no retry window", func(s *starter.Settings) { s.Retries.Window = 0 }, "retries.window"),
	Entry("hardly any descriptors", func(s *starter.Settings) { s.Limits.Descriptors = 10 }, "descriptors"),
	Entry("more connections than descriptors", func(s *starter.Settings) { s.Limits = accepter.Settings{Descriptors: 100, Connections: 100} }, "max-connections"),
)
