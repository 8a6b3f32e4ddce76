package forwarder_test

import (
	"net/http"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/allotter"
	"foxtailwall/matcher"
)

var _ = Describe("Responses without end", func() {
	// Guards against upstreams whose responses do not end and that together take the
	// memory of the host, which is then killed with the requests of sound upstreams.
	DescribeTable("take a bounded memory together",
		func(kind matcher.Kind, status int) {
			const requests, limit = 8, 1 << 20
			// wholeLimit is the bound of a single response.
			const wholeLimit = 16 << 20
			b := newTestbedWithMemory(limit)
			var sent atomic.Int64
			var all sync.WaitGroup
			all.Add(requests)
			b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.WriteHeader(status)
				all.Done()
				all.Wait()
				for part := make([]byte, allotter.FreeBytes); r.Context().Err() == nil; {
					n, err := w.Write(part)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			b.setRoute(matcher.Route{Kind: kind, MaxAttempts: 1})
			var wg sync.WaitGroup
			for range requests {
				wg.Go(func() {
					defer GinkgoRecover()
					Expect(b.send("POST", "/p/", "x").status).To(Equal(502))
				})
			}
			wg.Wait()
			Expect(sent.Load()).To(BeNumerically("<", requests*wholeLimit/2))
		},
		Entry("failures of streams", matcher.Stream, 500), Entry("answers", matcher.NonIdempotent, 200),
		Entry("events", matcher.Stream, 200), Entry("refusals", matcher.NonIdempotent, 503),
	)
})
