package forwarder_test

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/budgeter"
	"foxtailwall/forwarder"
	"foxtailwall/matcher"
	"foxtailwall/placer"
	"foxtailwall/timekeeper"
)

var _ = Describe("Requests to engines without a free slot", func() {
	// slots is that of the engines which setRoute configures.
	const slots = 8
	var (
		b       *testbed
		release chan struct{}
		answers chan response
	)
	BeforeEach(func() {
		b = newTestbedWithSettings(
			budgeter.Settings{Ratio: 1, Window: 10 * time.Second, Slack: 50, Clock: timekeeper.System{}},
			forwarder.Settings{Placer: placer.New(placer.Settings{
				Clock: timekeeper.System{}, Zone: "a", Admission: placer.AdmissionSettings{MaxWaiting: 1},
			})},
		)
		release, answers = make(chan struct{}), make(chan response, 2*slots)
		blocked := release
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			if r.Header.Get("X-Stream") == "" {
				writeEvent(w, 1)
				<-blocked
			}
			writeEvent(w, 2)
		})
		b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 1, Timeout: 10 * time.Minute, Target: 8 * time.Minute})
		for range 20 {
			Expect(b.send("POST", "/p/", "x", "X-Stream", "short").status).To(Equal(http.StatusOK))
		}
		for range slots {
			go func() { answers <- b.send("POST", "/p/", "x") }()
		}
		Eventually(func() uint32 {
			if loads := b.placer.Loads(); len(loads) > 0 {
				return loads[0].Running
			}
			return 0
		}, time.Minute).Should(BeEquivalentTo(slots))
	})

	// Guards against requests that an engine queues where they cannot be reordered or
	// withdrawn, and against a refusal without a time to return.
	It("wait at the host, which refuses what exceeds its queue", func() {
		waiting := make(chan response, 1)
		go func() { waiting <- b.send("POST", "/p/", "x", "X-Stream", "short") }()
		Eventually(func() int { return b.placer.Waiting("s") }, time.Minute).Should(Equal(1))
		refused := b.send("POST", "/p/", "x", "X-Stream", "short")
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.body).To(Equal("queueFull\n"))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(b.ranUpstreams()).To(HaveLen(20 + slots))
		close(release)
		Expect((<-waiting).status).To(Equal(http.StatusOK))
		for range slots {
			Expect((<-answers).status).To(Equal(http.StatusOK))
		}
	})

	// Guards against a place that is kept for a caller that has left.
	It("leave the queue with their caller", func() {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.frontend.URL+"/p/", strings.NewReader("x"))
			if err == nil {
				req.Header = http.Header{"X-Id": {"gone"}, "X-Key": {"k"}}
				_, err = http.DefaultClient.Do(req)
			}
			ended <- err
		}()
		Eventually(func() int { return b.placer.Waiting("s") }, time.Minute).Should(Equal(1))
		cancel()
		Expect(<-ended).To(MatchError(context.Canceled))
		Eventually(func() int { return b.placer.Waiting("s") }, time.Minute).Should(BeZero())
		close(release)
		for range slots {
			Expect((<-answers).status).To(Equal(http.StatusOK))
		}
		Expect(b.ranUpstreams()).To(HaveLen(20 + slots))
	})
})
