package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
	"foxtailwall/tracker"
)

// addResettingUpstreams adds upstreams that answer each request on a connection of its
// own or, while reset is true, reset the connection after they have received the request.
// A request for the path /crash makes an upstream reset its connection and stop.
func (b *testbed) addResettingUpstreams(n int, reset *atomic.Bool) {
	for range n {
		l, err := ports.Listen()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { l.Close() }) // A crash closes it too.
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					if crash := r.URL.Path == "/p/crash"; crash || reset.Load() {
						if crash {
							l.Close()
						}
						_ = c.(*net.TCPConn).SetLinger(0) // Fails only on a closed connection.
						return
					}
					// The forwarder may have closed the connection.
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: u\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("X-Id"))
					_, _ = io.Copy(io.Discard, c)
				}()
			}
		}()
		b.upstreams = append(b.upstreams, tracker.Upstream{
			ID: fmt.Sprintf("r%d", len(b.upstreams)), Service: "s", Zone: "a", Version: "v1", Slots: 8,
			Address: netip.MustParseAddrPort(l.Addr().String()),
		})
	}
	b.placer.Update(append([]tracker.Upstream(nil), b.upstreams...))
}

var _ = Describe("A host whose connections to upstreams are reset", func() {
	// Guards against sound requests that are isolated, and upstreams that are ejected,
	// because the host's own path resets connections.
	It("counts as partitioned after a check, reports no crash, and recovers", func(ctx SpecContext) {
		b := newTestbed()
		var reset atomic.Bool
		b.addResettingUpstreams(6, &reset)
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 3})
		Expect(b.send("POST", "/p/", "x").status).To(Equal(200))
		reset.Store(true)
		for i := range 2 {
			a := b.send("POST", "/p/", "x", "X-Id", fmt.Sprint("id", i))
			Expect(a.status).To(Equal(http.StatusBadGateway))
		}
		Expect(b.placer.Partitioned()).To(BeFalse())
		e := b.fwd.Evidence(netip.AddrPort{})
		Expect(e.Breaks).To(BeEmpty(), "while the check is awaited")
		Expect(e.Crashes).To(BeEmpty(), "while the check is awaited")
		b.fwd.CheckUpstreams(ctx)
		Expect(b.placer.Partitioned()).To(BeTrue())
		e = b.fwd.Evidence(netip.AddrPort{})
		Expect(e.Breaks).To(BeEmpty())
		Expect(e.Crashes).To(BeEmpty())
		reset.Store(false)
		b.fwd.ProbeUpstream(ctx)
		Expect(b.placer.Partitioned()).To(BeFalse())
		Expect(b.send("POST", "/p/", "x").status).To(Equal(200))
	})

	// Guards against a host that passes requests to others because copies of one request
	// have crashed three of its upstreams, or all but one.
	It("does not count as partitioned if a request crashes the upstreams", func(ctx SpecContext) {
		b := newTestbed()
		var reset atomic.Bool
		b.addResettingUpstreams(6, &reset)
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 3})
		Expect(b.send("POST", "/p/", "x").status).To(Equal(200))
		Expect(b.send("POST", "/p/crash", "x", "X-Id", "crash").status).To(Equal(http.StatusBadGateway))
		Expect(b.placer.Suspected()).To(BeFalse())
		b.fwd.CheckUpstreams(ctx)
		Expect(b.placer.Partitioned()).To(BeFalse())
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 3})
		for i := range 2 {
			b.send("POST", "/p/crash", "x", "X-Id", fmt.Sprint("copy", i))
			b.fwd.CheckUpstreams(ctx)
			Expect(b.placer.Partitioned()).To(BeFalse())
			Expect(b.fwd.Evidence(netip.AddrPort{}).Breaks).NotTo(BeEmpty(), "crashes are reported after the check")
		}
		Expect(b.send("POST", "/p/", "x").status).To(Equal(200))
		Expect(b.placer.Partitioned()).To(BeFalse())
	})
})

var _ = Describe("A repeatable request whose connections are reset", func() {
	// Guards against a request that uses up its attempts before the host knows that it is
	// partitioned, and against one that may have run and is sent again or refused as not run.
	It("makes its last attempt through another host, but not if it may run only once", func() {
		for name, route := range routesOfEachKind() {
			for attempts := 2; attempts <= 3; attempts++ {
				route.MaxAttempts = attempts
				d := newDelegating(1, route)
				var reset atomic.Bool
				d.helpers[0].addUpstream(func(http.ResponseWriter, *http.Request) {})
				reset.Store(true)
				d.upstreams = nil
				d.addResettingUpstreams(6, &reset)
				d.placer.RecordReached()
				a := d.send("POST", "/p/", "x")
				if route.Kind == matcher.Idempotent || route.Resumable {
					Expect(a.status).To(Equal(200), name)
					Expect(d.helpers[0].ranUpstreams()).To(HaveLen(1), name)
					continue
				}
				Expect(a.status).To(Equal(http.StatusBadGateway), name)
				Expect(d.helpers[0].ranUpstreams()).To(BeEmpty(), name)
				// Two requests suffice for the suspicion, with which the third is passed on.
				Expect(d.send("POST", "/p/", "x", "X-Id", "id2").status).To(Equal(http.StatusBadGateway), name)
				Expect(d.send("POST", "/p/", "x", "X-Id", "id3").status).To(Equal(200), name)
			}
		}
	})
})
