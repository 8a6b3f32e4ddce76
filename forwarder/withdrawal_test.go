package forwarder_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
	"foxtailwall/tracker"
)

// withHeader adds a header field to the responses of a handler.
func withHeader(name, value string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		h(w, r)
	}
}

// sendMany sends requests and returns the number of those that reached the first
// upstream.
func (b *testbed) sendMany(n int) int {
	before := len(b.ranUpstreams())
	for range n {
		b.send("POST", "/p/", "x")
	}
	reached := 0
	for _, id := range b.ranUpstreams()[before:] {
		if id == "u0" {
			reached++
		}
	}
	return reached
}

// Guards against requests to an upstream that has said in its responses that it
// leaves, or that it wants none for a while, before the list of upstreams says so.
var _ = Describe("An upstream that withdraws", func() {
	It("gets no further request after any response that says that it leaves", func() {
		for name, route := range requestKinds {
			route.MaxAttempts = 3
			for _, status := range responseStatuses {
				for _, notRun := range []bool{false, true} {
					if status == http.StatusMisdirectedRequest {
						continue // Another upstream has the address.
					}
					b := newTestbed()
					b.addUpstream(withHeader("X-Leaving", "1", statusHandler(status, notRun)))
					b.addUpstream(remainingEvents)
					b.setRoute(route)
					b.send("POST", "/p/", "x")
					Expect(b.sendMany(5)).To(BeZero(), "%s: status %d, not run: %t", name, status, notRun)
				}
			}
		}
	})

	It("gets no further request after a response to a resumed stream says that it leaves", func() {
		b := newTestbed()
		b.addUpstream(withHeader("X-Leaving", "1", firstEvent))
		b.addUpstream(withHeader("X-Leaving", "1", statusHandler(http.StatusBadGateway, false)))
		b.addUpstream(remainingEvents)
		b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 3, Resumable: true})
		Expect(b.send("POST", "/p/", "x").err).NotTo(HaveOccurred())
		before := len(b.ranUpstreams())
		for range 5 {
			Expect(b.send("POST", "/p/", "x").status).To(Equal(200))
		}
		Expect(b.ranUpstreams()[before:]).To(HaveEach("u2"))
	})

	It("does not end what runs there", func() {
		b := newTestbed()
		release := make(chan struct{})
		end := sync.OnceFunc(func() { close(release) })
		b.addUpstream(withHeader("X-Leaving", "1", func(w http.ResponseWriter, r *http.Request) {
			writeEvent(w, 1)
			if r.Header.Get("X-Id") == "long" {
				<-release
			}
			writeEvent(w, 2)
		}))
		DeferCleanup(end) // Before the server is closed, which waits for its handlers.
		b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 1})
		done := make(chan response)
		go func() { done <- b.send("POST", "/p/", "x", "X-Id", "long") }()
		Eventually(b.ranUpstreams, time.Minute).Should(HaveLen(1))
		Eventually(func() int { return b.send("POST", "/p/", "x").status }, 5*time.Second).Should(Equal(503))
		end()
		Expect((<-done).body).To(Equal("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"))
	})

	It("gets requests again as a new incarnation", func() {
		b := newTestbed()
		b.addUpstream(withHeader("X-Leaving", "1", remainingEvents))
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 1})
		Expect(b.send("POST", "/p/", "x").status).To(Equal(200))
		Expect(b.send("POST", "/p/", "x").status).To(Equal(503))
		b.upstreams[0].StartedAt++
		b.placer.Update(append([]tracker.Upstream(nil), b.upstreams...))
		Expect(b.send("POST", "/p/", "x").status).To(Equal(200))
	})

	It("gets no request during the pause that it asks for with status 503", func() {
		for name, route := range requestKinds {
			route.MaxAttempts = 3
			for _, notRun := range []bool{false, true} {
				b := newTestbed()
				b.addUpstream(withHeader("X-Pause", "1h", statusHandler(http.StatusServiceUnavailable, notRun)))
				b.addUpstream(remainingEvents)
				b.setRoute(route)
				b.send("POST", "/p/", "x")
				Expect(b.sendMany(5)).To(BeZero(), "%s, not run: %t", name, notRun)
			}
		}
	})

	It("has its callers return after the end of its pause if there is no other", func() {
		b := newTestbed()
		pause := "1h"
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			withHeader("X-Pause", pause, statusHandler(http.StatusServiceUnavailable, true))(w, r)
		})
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 3})
		a := b.send("POST", "/p/", "x")
		Expect(a.status).To(Equal(503))
		Expect(a.body).To(Equal("upstreamsPaused\n"))
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(And(BeNumerically(">", 9.9*60), BeNumerically("<", 20*60)), "the pause is bounded")
		Expect(b.sendMany(5)).To(BeZero())
	})

	It("serves again once its pause has ended", func() {
		b := newTestbed()
		paused := false
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			if !paused {
				paused = true
				withHeader("X-Pause", "300ms", statusHandler(http.StatusServiceUnavailable, true))(w, r)
				return
			}
			_, _ = fmt.Fprint(w, "done")
		})
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 3})
		Expect(b.send("POST", "/p/", "x").status).To(Equal(503))
		Eventually(func() string { return b.send("POST", "/p/", "x").body }, time.Minute).Should(Equal("done"))
		Expect(b.ranUpstreams()).To(HaveLen(2))
	})
})
