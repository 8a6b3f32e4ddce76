package syncer_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"foxtailwall/controller"
	"foxtailwall/encoder"
	"foxtailwall/messenger"
	"foxtailwall/syncer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

// slowConn is a connection from which at most a fixed rate is read.
type slowConn struct {
	net.Conn
	limiter *rate.Limiter
}

func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), c.limiter.Burst())])
	if werr := c.limiter.WaitN(context.Background(), n); werr != nil {
		return n, werr
	}
	return n, err
}

// partBytes is the size of the parts that the calls of the specs ask for.
const partBytes = 64 << 10

// report is what a host sends of a syncer.Report.
type report struct {
	Host      string `cbor:"host"`
	Published uint64 `cbor:"published"`
	Document  uint64 `cbor:"document"`
	PartBytes int    `cbor:"partBytes"`
}

// document returns a document whose body does not compress.
func document(version uint64, size int) controller.Document {
	body := make([]byte, size)
	rng := rand.NewChaCha8([32]byte{byte(version)})
	_, _ = rng.Read(body) // It never fails.
	return controller.Document{Version: version, Body: body}
}

var _ = Describe("A large configuration", func() {
	var (
		src *source
		hub *syncer.Hub
		mux *messenger.Mux
	)
	BeforeEach(func() {
		src = &source{leading: true, changed: make(chan struct{})}
		hub = syncer.NewHub(syncer.HubSettings{Source: src, Clock: timekeeper.System{}})
		mux = messenger.NewMux()
		syncer.Handle(mux, hub)
	})
	publish := func(p controller.Published) {
		src.mu.Lock()
		defer src.mu.Unlock()
		src.pub = p
		close(src.changed)
		src.changed = make(chan struct{})
	}

	post := func(r report, acceptEncoding string) *httptest.ResponseRecorder {
		body, err := encoder.CBOR{}.Marshal(&r)
		Expect(err).NotTo(HaveOccurred())
		req := httptest.NewRequest(http.MethodPost, "/foxtailwall.sync/watch", bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/cbor")
		req.Header.Set("Accept-Encoding", acceptEncoding)
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, req)
		Expect(rec.Code).To(Equal(http.StatusOK))
		return rec
	}

	// Guards against a configuration that never reaches a host, because its link
	// carries less than the whole within one call and each call starts over.
	DescribeTable("reaches a host whose link", func(linkBytesPerSecond rate.Limit, size int) {
		doc := document(7, size)
		publish(controller.Published{Version: 3, Document: doc})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		srv := messenger.NewServer(mux, nil)
		go srv.Serve(l)
		DeferCleanup(srv.Close)
		leader := netip.MustParseAddrPort(l.Addr().String())
		src.leader = leader
		limiter := rate.NewLimiter(linkBytesPerSecond, 4<<10)
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, address)
			return slowConn{c, limiter}, err
		}
		peer := messenger.NewPeer(leader, nil, messenger.WithDial(dial))
		var mu sync.Mutex
		var got controller.Published
		c := syncer.NewClient(syncer.ClientSettings{
			Seeds: func() []netip.AddrPort { return []netip.AddrPort{leader} }, Clock: timekeeper.System{},
			Report: func() syncer.Report {
				mu.Lock()
				defer mu.Unlock()
				return syncer.Report{Host: "a", Published: got.Version}
			},
			Apply: func(u *syncer.Update) {
				if u.Published != nil {
					mu.Lock()
					defer mu.Unlock()
					got = *u.Published
				}
			},
			Call: func(ctx context.Context, to netip.AddrPort, r *syncer.Report) (*syncer.Update, error) {
				return messenger.Call[syncer.Report, syncer.Update](ctx, peer, "sync/watch", r)
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go c.Run(ctx)
		received := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return bytes.Equal(got.Document.Body, doc.Body)
		}
		Eventually(received, time.Minute).Should(BeTrue())
	},
		Entry("carries it in several calls only", rate.Limit(1_250_000), 2<<20), // 10 Mbit/s
		Entry("carries less than a part in a call", rate.Limit(60_000), 100<<10),
	)

	// Guards against a leader that is deposed while it encodes and compresses the
	// same configuration for each host.
	It("is encoded once for all hosts", func() {
		const size = 1 << 20
		publish(controller.Published{Version: 3, Document: document(7, size)})
		compressed := post(report{Host: "a", PartBytes: partBytes}, "gzip")
		Expect(compressed.Header().Get("Content-Encoding")).To(BeEmpty(), "compressed for this host alone")
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		const hosts = 50
		for range hosts {
			post(report{Host: "b", PartBytes: partBytes}, "gzip")
		}
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", hosts*size), "bytes allocated for 50 hosts")
	})

	// Guards against the whole configuration being sent to all hosts at each step
	// of a rollout.
	It("is not sent again with a step of a rollout", func() {
		doc := document(7, 100)
		rollout := controller.OrderedRollout{RolloutOrder: controller.RolloutOrder{Service: "s", Target: "v2"}, Share: 20}
		publish(controller.Published{Version: 4, Document: doc, Rollouts: []controller.OrderedRollout{rollout}})
		rec := post(report{Host: "a", Published: 3, Document: 7, PartBytes: partBytes}, "identity")
		var u syncer.Update
		Expect(encoder.CBOR{}.Unmarshal(rec.Body.Bytes(), &u)).To(Succeed())
		Expect(u.Published.Rollouts).To(HaveLen(1))
		Expect(u.Published.Document.Version).To(Equal(uint64(7)))
		Expect(u.Published.Document.Body).To(BeEmpty())
	})

	// Guards against a host that never has a whole configuration, because a newer
	// one is published whenever it has received some parts.
	It("is received to its end although newer ones are published", func() {
		var parts []*syncer.Part
		r := syncer.Report{Host: "a", PartBytes: 1000}
		for version := uint64(1); ; version++ {
			if version <= 3 {
				publish(controller.Published{Version: version, Document: document(version, 5000)})
			}
			u := hub.Watch(context.Background(), &r)
			Expect(u.Part).NotTo(BeNil())
			parts = append(parts, u.Part)
			r.Partial = &syncer.Partial{Name: u.Part.Name, Received: u.Part.Offset + len(u.Part.Bytes)}
			if u.Published != nil {
				Expect(u.Published.Version).To(Equal(uint64(1)))
				break
			}
		}
		for _, p := range parts {
			Expect(p.Name).To(Equal(parts[0].Name))
		}
	})

	// Guards against a list that is decoded as a document, or lost, when a host
	// needs both at once.
	It("reaches a host together with a list and a rollout", func() {
		var ups []tracker.Upstream
		for i := range 500 {
			ups = append(ups, tracker.Upstream{ID: fmt.Sprint("u", i*7919%500), Service: "s"})
		}
		Expect(hub.SetList("l", ups)).To(Succeed())
		doc := document(7, 200_000)
		rollouts := []controller.OrderedRollout{{RolloutOrder: controller.RolloutOrder{Service: "s", Target: "v2"}}}
		publish(controller.Published{Version: 4, Document: doc, Rollouts: rollouts})
		leader := netip.MustParseAddrPort("127.0.0.1:1")
		var have syncer.Update
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := syncer.NewClient(syncer.ClientSettings{
			Seeds: func() []netip.AddrPort { return []netip.AddrPort{leader} }, Clock: timekeeper.System{},
			Report: func() syncer.Report {
				r := syncer.Report{Host: "a"}
				if have.Published != nil {
					r.Published = have.Published.Version
				}
				if have.Upstreams != nil {
					r.List = have.Upstreams.Name
				}
				return r
			},
			Apply: func(u *syncer.Update) {
				if u.Published != nil {
					have.Published = u.Published
				}
				if u.Upstreams != nil {
					have.Upstreams = u.Upstreams
				}
				if have.Published != nil && have.Upstreams != nil {
					cancel()
				}
			},
			Call: func(ctx context.Context, _ netip.AddrPort, r *syncer.Report) (*syncer.Update, error) {
				return hub.Watch(ctx, r), nil
			},
		})
		c.Run(ctx)
		Expect(have.Published.Document).To(Equal(doc))
		Expect(have.Published.Rollouts).To(Equal(rollouts))
		Expect(have.Upstreams.Upstreams).To(Equal(ups))
	})
})
