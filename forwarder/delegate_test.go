package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/budgeter"
	"foxtailwall/delegator"
	"foxtailwall/dialer"
	"foxtailwall/forwarder"
	"foxtailwall/matcher"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

// delegating is a host that reaches no upstream, with the hosts to which it passes
// requests.
type delegating struct {
	*testbed
	helpers []*testbed
	// addresses are those at which the helpers take requests of hosts, in the same order.
	addresses []netip.AddrPort
	// passed counts the requests that were passed to helpers.
	passed atomic.Int64
}

// newDelegating returns a partitioned host with helpers that have the route.
func newDelegating(helpers int, route matcher.Route) *delegating {
	pool := &delegator.Pool{Clock: timekeeper.System{}}
	hostDialer := dialer.New(dialer.Options{})
	DeferCleanup(hostDialer.Close)
	budget := budgeter.Settings{Ratio: 1, Window: 10 * time.Second, Slack: 50, Clock: timekeeper.System{}}
	d := &delegating{testbed: newTestbedWithSettings(budget, forwarder.Settings{Hosts: pool, HostDialer: hostDialer})}
	d.setRoute(route)
	d.partition()
	for range helpers {
		h := newTestbed()
		h.setRoute(route)
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			d.passed.Add(1)
			h.fwd.ServeDelegated(w, r)
		}))
		srv.Config.BaseContext = h.fwd.BaseContext
		srv.Start()
		DeferCleanup(srv.Close)
		d.helpers = append(d.helpers, h)
		d.addresses = append(d.addresses, netip.MustParseAddrPort(srv.Listener.Addr().String()))
	}
	pool.Update(d.addresses)
	return d
}

// partition replaces the upstreams of a host by some that are not listening, and waits
// until the host counts as partitioned.
func (b *testbed) partition() {
	var ups []tracker.Upstream
	for i := range 4 {
		l, err := ports.Listen()
		Expect(err).NotTo(HaveOccurred())
		addr := netip.MustParseAddrPort(l.Addr().String())
		l.Close()
		ups = append(ups, tracker.Upstream{ID: fmt.Sprint("gone", i), Service: "s", Zone: "a", Version: "v1", Slots: 8, Address: addr})
	}
	b.placer.Update(ups)
	Eventually(func() bool {
		b.send("POST", "/p/", "x", "X-Wait", "1000")
		return b.placer.Partitioned()
	}, time.Minute).Should(BeTrue())
}

// retriesLeft returns the number of retries that the host's budget has left.
func (b *testbed) retriesLeft() int {
	n := 0
	for b.retries.Allow("s") {
		n++
	}
	for range n {
		b.retries.ReturnRetry("s")
	}
	return n
}

// Guards against requests that another host runs twice, answers wrongly or for too
// long, or counts besides this host's own.
var _ = Describe("A request that a partitioned host passes to another host", func() {
	answer := func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		if r.Header.Get("X-Stream") == "" {
			fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, body, r.Header.Get("X-Ws"))
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvent(w, 1)
		writeEvent(w, 2)
	}

	It("reaches an upstream once, unchanged, and its response the caller", func() {
		for name, route := range routesOfEachKind() {
			d := newDelegating(1, route)
			d.helpers[0].addUpstream(answer)
			fields, want := []string{"Delegated-Attempts", "99", "Delegated-Outcome", "notRun"}, "PUT /p/a%2Fb?x=1 body w"
			if route.Kind == matcher.Stream {
				fields, want = append(fields, "X-Stream", "1"), "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
			}
			a := d.send("PUT", "/p/a%2Fb?x=1", "body", fields...)
			Expect(a.status).To(Equal(200), name)
			Expect(a.body).To(Equal(want), name)
			Expect(a.header.Get("X-Sign")).To(Equal("u0"), name)
			Expect(a.header).NotTo(HaveKey("Delegated-Outcome"), name)
			Expect(d.helpers[0].ranUpstreams()).To(HaveLen(1), name)
		}
	})

	It("is passed on once only, and refused as not run if no host reaches an upstream", func() {
		for name, route := range routesOfEachKind() {
			d := newDelegating(2, route)
			for _, h := range d.helpers {
				h.addUpstream(answer)
				h.partition()
			}
			before := d.passed.Load()
			a := d.send("POST", "/p/", "x")
			Expect(a.status).To(Equal(http.StatusServiceUnavailable), name)
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty(), name)
			Expect(d.passed.Load()-before).To(BeNumerically("<=", 2), name)
			for _, h := range d.helpers {
				Expect(h.ranUpstreams()).To(BeEmpty(), name)
			}
		}
	})

	It("is answered 502 and not sent again if it may have run and may run only once", func() {
		for _, name := range []string{"may run once", "stream that runs once"} {
			d := newDelegating(2, routesOfEachKind()[name])
			for _, h := range d.helpers {
				h.addUpstream(closeConn)
			}
			Expect(d.send("POST", "/p/", "x").status).To(Equal(http.StatusBadGateway), name)
			Expect(d.passed.Load()).To(Equal(int64(1)), name)
		}
	})

	It("goes to the next host if the first one leaves", func() {
		for name, route := range routesOfEachKind() {
			route.Timeout = time.Minute
			d := newDelegating(2, route)
			for _, h := range d.helpers {
				h.addUpstream(answer)
			}
			d.helpers[0].fwd.Leave(forwarder.Departure{End: time.Now()})
			for range 3 {
				Expect(d.send("POST", "/p/", "x", "X-Stream", "1").status).To(Equal(200), name)
			}
			Expect(d.helpers[0].ranUpstreams()).To(BeEmpty(), name)
			Expect(d.helpers[1].ranUpstreams()).To(HaveLen(3), name)
		}
	})

	It("has the time and the attempts that are left", func() {
		d := newDelegating(1, matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		left := make(chan time.Duration, 8)
		for range 4 {
			d.helpers[0].addUpstream(func(w http.ResponseWriter, r *http.Request) {
				t, err := time.ParseDuration(r.Header.Get("X-Left"))
				Expect(err).NotTo(HaveOccurred())
				left <- t
				w.WriteHeader(http.StatusInternalServerError)
			})
		}
		a := d.send("POST", "/p/", "x", "X-Wait", "3000")
		Expect(a.status).To(Equal(http.StatusInternalServerError))
		Expect(d.helpers[0].ranUpstreams()).To(HaveLen(2))
		Expect(<-left).To(BeNumerically("<=", 3*time.Second))
	})

	It("ends at the upstream when the caller leaves", func() {
		for name, route := range routesOfEachKind() {
			d := newDelegating(1, route)
			running, ended := make(chan struct{}), make(chan struct{})
			d.helpers[0].addUpstream(func(_ http.ResponseWriter, r *http.Request) {
				// The context ends with the connection only once the body was read.
				_, err := io.Copy(io.Discard, r.Body)
				Expect(err).NotTo(HaveOccurred())
				close(running)
				<-r.Context().Done()
				close(ended)
			})
			req, err := http.NewRequest(http.MethodPost, d.frontend.URL+"/p/", strings.NewReader("x"))
			Expect(err).NotTo(HaveOccurred())
			req.Header = http.Header{"X-Id": {"id1"}, "X-Key": {"k"}}
			ctx, leave := context.WithCancel(context.Background())
			go do(req.WithContext(ctx))
			Eventually(running, time.Minute).Should(BeClosed(), name)
			leave()
			Eventually(ended, time.Minute).Should(BeClosed(), name)
		}
	})

	It("is counted for the retry budget by the host that sends it to upstreams", func() {
		d := newDelegating(1, matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		d.helpers[0].addUpstream(answer)
		own, helper := d.retriesLeft(), d.helpers[0].retriesLeft()
		for range 10 {
			Expect(d.send("POST", "/p/", "x").status).To(Equal(200))
		}
		Expect(d.retriesLeft()).To(Equal(own))
		Expect(d.helpers[0].retriesLeft()).To(Equal(helper + 9)) // 0.9 for each request.
	})
})

// Guards against a host that goes on passing requests to others after it reaches
// upstreams again.
var _ = Describe("A partitioned host", func() {
	It("sends requests to upstreams again once one has answered a probe", func() {
		d := newDelegating(1, matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		d.addUpstream(func(http.ResponseWriter, *http.Request) {})
		Expect(d.placer.Partitioned()).To(BeTrue())
		d.fwd.ProbeUpstream(GinkgoT().Context())
		Expect(d.placer.Partitioned()).To(BeFalse())
		Expect(d.send("POST", "/p/", "x").status).To(Equal(200))
		Expect(d.passed.Load()).To(BeZero())
	})
})
