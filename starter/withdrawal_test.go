package starter_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/timekeeper"
)

// Guards against hosts that go on sending requests to an upstream that leaves or
// wants a pause because the list of upstreams still has it as ready.
var _ = Describe("An upstream that the list has as ready", func() {
	var arrivals atomic.Int64
	// serve starts a deployment with one upstream, whose first response has the status
	// and a header field.
	serve := func(code int, name, value string) *deployment {
		arrivals.Store(0)
		d := startDeployment(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			if arrivals.Add(1) == 1 {
				w.Header().Set(name, value)
				w.WriteHeader(code)
			}
		})
		d.putConfig(config(1, "/a/"))
		d.eventually(status(d.entry.Ready, "/ready")).Should(Equal(200))
		return d
	}

	It("gets no further request after it has said that it leaves", func() {
		d := serve(http.StatusOK, "X-Leaving", "1")
		Expect(status(d.entry.Callers, "/a/x")()).To(Equal(200))
		for range 20 {
			Expect(status(d.entry.Callers, "/a/x")()).To(Equal(503))
		}
		Expect(arrivals.Load()).To(Equal(int64(1)))
	})

	It("gets no request until the end of the pause that it asked for", func() {
		const pause = time.Second
		clock := timekeeper.System{}
		d := serve(http.StatusServiceUnavailable, "X-Pause", pause.String())
		sent := clock.Now()
		Expect(status(d.entry.Callers, "/a/x")()).To(BeNumerically(">=", 500))
		d.eventually(status(d.entry.Callers, "/a/x")).Should(Equal(200))
		Expect(clock.Since(sent)).To(BeNumerically(">=", pause))
		Expect(arrivals.Load()).To(Equal(int64(2)))
	})
})
