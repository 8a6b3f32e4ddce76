package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
)

// Guards against sound requests and prompt parts that are isolated because a host has
// lost its connections to all upstreams at once, each of which counted as a crash of an
// upstream.
var _ = Describe("A host that loses all connections to upstreams at once", func() {
	It("does not report them as crashes of upstreams", func() {
		const upstreams, streams = 4, 12
		b := newTestbed()
		begun := make(chan struct{}, streams)
		for range upstreams {
			b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				writeEvent(w, 1)
				<-r.Context().Done()
			})
		}
		for i := range b.upstreams {
			b.upstreams[i].Zone = "a"
		}
		b.placer.Update(b.upstreams)
		b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 3, Resumable: true, MaxPause: time.Minute})
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() {
				defer GinkgoRecover()
				req, err := http.NewRequest(http.MethodPost, b.frontend.URL+"/p/", http.NoBody)
				Expect(err).NotTo(HaveOccurred())
				req.Header = http.Header{"X-Id": {fmt.Sprint("id", i)}, "X-Key": {"k"}, "X-Part": {fmt.Sprint(i % 3), fmt.Sprint(100 + i)}}
				resp, err := http.DefaultClient.Do(req)
				Expect(err).NotTo(HaveOccurred())
				defer resp.Body.Close()
				// An event that reaches the host after the first connections are lost would show
				// that it still reaches upstreams.
				_, err = resp.Body.Read(make([]byte, 1))
				Expect(err).NotTo(HaveOccurred())
				begun <- struct{}{}
				_, _ = io.Copy(io.Discard, resp.Body) // The stream breaks off.
			})
		}
		for range streams {
			Eventually(begun, time.Minute).Should(Receive())
		}
		for _, srv := range b.servers {
			srv.Listener.Close()
		}
		for _, srv := range b.servers {
			srv.CloseClientConnections()
		}
		wg.Wait()
		e := b.fwd.Evidence(netip.AddrPort{})
		Expect(e.Breaks).To(BeEmpty())
		Expect(e.Crashes).To(BeEmpty())
		// Once the host counts as partitioned, the breaks are not reported later either.
		Eventually(func() bool {
			b.send("POST", "/p/", "x", "X-Wait", "1000")
			return b.placer.Partitioned()
		}, time.Minute).Should(BeTrue())
		e = b.fwd.Evidence(netip.AddrPort{})
		Expect(e.Breaks).To(BeEmpty())
		Expect(e.Crashes).To(BeEmpty())
	})
})
