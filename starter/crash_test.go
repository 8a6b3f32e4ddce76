package starter_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
)

const (
	// crashingPath is the path of requests that crash the upstreams of the specs.
	crashingPath = "/a/crash"
	// isolatedRequestCode is the text of the refusal of such a request.
	isolatedRequestCode = "requestIsolated"
)

// Guards against a request that crashes one upstream after the other whenever a
// caller sends it again, and against refusing others of the same route.
var _ = Describe("A request that crashes upstreams", func() {
	DescribeTable("is refused once it is known, and no other", func(kind matcher.Kind, attempts int) {
		upstreams := &crashingEngines{}
		for range 6 {
			upstreams.start()
		}
		DeferCleanup(func() {
			for _, u := range upstreams.running {
				u.srv.Close()
			}
		})
		d := startDeploymentWithList(upstreams.list)
		c := config(1, "/a/")
		if kind == matcher.Stream {
			c = engineConfig(1)
		}
		c.Routes[0].Kind, c.Routes[0].MaxAttempts = kind, attempts
		d.putConfig(c)
		d.eventually(status(d.entry.Ready, "/ready")).Should(Equal(200))
		next := 0
		send := func(path, body string) (int, string) {
			next++
			return d.post(fmt.Sprint("r", next), path, body, "")
		}
		crashing := func() string { _, text := send(crashingPath, "order 7"); return text }
		d.eventually(crashing).Should(Equal(isolatedRequestCode))

		crashes := upstreams.count()
		for range 20 {
			Expect(crashing()).To(Equal(isolatedRequestCode))
		}
		Expect(upstreams.count()).To(Equal(crashes), "requests that reached upstreams")
		sound := func() int { code, _ := send("/a/sound", "order 7"); return code }
		d.eventually(sound).Should(Equal(http.StatusOK)) // Upstreams are ejected for a while after a crash.
		for range 20 {
			Expect(sound()).To(Equal(http.StatusOK))
		}
	},
		Entry("idempotent", matcher.Idempotent, 2),
		Entry("not idempotent", matcher.NonIdempotent, 1),
		Entry("a stream", matcher.Stream, 3),
	)
})
