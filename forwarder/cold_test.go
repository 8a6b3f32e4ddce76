package forwarder_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
	"foxtailwall/placer"
	"foxtailwall/timekeeper"
)

var _ = Describe("A cold upstream", func() {
	const perSecond = 2
	var b *testbed
	BeforeEach(func() { b = newTestbed() })

	// setCold makes u0 cold for a minute and the others warm.
	setCold := func() {
		b.placer.SetHosts(1, 0)
		b.placer.SetColdRates(map[string]placer.ColdRate{"s": {PerSecond: perSecond, Start: time.Minute}})
		b.placer.SetColdTimes(map[uint64]time.Duration{b.upstreams[0].Key().Hash(): time.Minute}, timekeeper.System{}.Now())
	}
	ranAt := func(id string) (n int) {
		for _, ran := range b.ranUpstreams() {
			if ran == id {
				n++
			}
		}
		return n
	}
	// allowed is the number of requests that it may get within a time.
	allowed := func(took time.Duration) int {
		return (int(took/time.Second) + 1) * (1.5*perSecond + 5)
	}

	// Guards against an upstream that gets its usual share while it is cold, and against
	// requests that are refused although another one could serve them.
	DescribeTable("gets no more than it tolerates while others serve the rest", func(kind matcher.Kind, fields ...string) {
		b.addUpstream(sound)
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			// An upstream that responds sooner than an unused one is assumed to is preferred.
			<-time.After(40 * time.Millisecond)
			sound(w, r)
		})
		b.setRoute(matcher.Route{Kind: kind, MaxAttempts: 2, Resumable: kind == matcher.Stream})
		setCold()
		clock := timekeeper.System{}
		start := clock.Now()
		Eventually(func() int {
			a := b.send("POST", "/p/", "x", append(fields, "X-Id", fmt.Sprint("r", len(b.ranUpstreams())))...)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(http.StatusOK))
			return ranAt("u0")
		}).WithTimeout(time.Minute).WithPolling(time.Millisecond).Should(BeNumerically(">=", 2))
		Expect(ranAt("u0")).To(BeNumerically("<=", allowed(clock.Since(start))))
	},
		Entry("idempotent requests", matcher.Idempotent),
		Entry("requests that may run once", matcher.NonIdempotent),
		Entry("streams", matcher.Stream, "X-Stream", "1"),
	)

	// Guards against requests that exceed the rate, or count as run, because no other
	// upstream is left.
	It("gets no more than it tolerates if there is no other", func() {
		b.addUpstream(sound)
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 2})
		setCold()
		b.placer.SetHosts(300, 1) // Its share is less than a permit within the wait.
		clock := timekeeper.System{}
		start := clock.Now()
		refused := 0
		for i := range 30 {
			if a := b.send("POST", "/p/", "x", "X-Id", fmt.Sprint("r", i)); a.status != http.StatusOK {
				refused++
				Expect(a.status).To(Equal(http.StatusServiceUnavailable))
				Expect(a.body).To(Equal("upstreamsCold\n"))
				Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		Expect(ranAt("u0")).To(And(Equal(30-refused), BeNumerically("<=", allowed(clock.Since(start)))))
	})

	// Guards against a request that is refused although the host has a permit within
	// milliseconds.
	It("gets a request that has waited for its permit", func() {
		b.addUpstream(sound)
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		setCold()
		b.placer.SetColdRates(map[string]placer.ColdRate{"s": {PerSecond: 20, Start: time.Minute}})
		for i := range 5 {
			Expect(b.send("GET", "/p/", "", "X-Id", fmt.Sprint("r", i)).status).To(Equal(http.StatusOK))
		}
	})

	// Guards against a rollout that is undone because the upstreams of the new version
	// have just started.
	It("has no late responses", func() {
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Id") == "slow" {
				<-time.After(300 * time.Millisecond)
			}
			sound(w, r)
		})
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 1})
		for i := range 3 {
			Expect(b.send("GET", "/p/", "", "X-Id", fmt.Sprint(i)).status).To(Equal(http.StatusOK))
		}
		setCold()
		b.placer.SetColdRates(map[string]placer.ColdRate{"s": {PerSecond: 20, Start: time.Minute}})
		Expect(b.send("GET", "/p/", "", "X-Id", "slow").status).To(Equal(http.StatusOK))
		Expect(b.badAnswers()).To(Equal([2]uint64{4, 0}))
		b.placer.SetColdRates(nil)
		Expect(b.send("GET", "/p/", "", "X-Id", "slow").status).To(Equal(http.StatusOK))
		Expect(b.badAnswers()).To(Equal([2]uint64{5, 1}), "a warm one has")
	})
})
