package forwarder_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
)

// Guards against requests whose connection is closed without an answer because a
// value that a valid configuration may have is not expected.
var _ = DescribeTable("A request gets an answer under a configuration with",
	func(r matcher.Route) {
		for _, kind := range []matcher.Kind{matcher.Idempotent, matcher.NonIdempotent, matcher.Stream} {
			b := newTestbed()
			b.addUpstream(remainingEvents)
			r.Kind = kind
			b.setRoute(r)
			a := b.send("POST", "/p/", "x", "X-Model", "*")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(200))
		}
	},
	Entry("an empty list of sizes", matcher.Route{Sizes: []string{}}),
	Entry("unknown sizes", matcher.Route{Sizes: []string{"other"}, MaxAttempts: 3}),
	Entry("no attempts", matcher.Route{MaxAttempts: -1}),
	Entry("a negative target latency", matcher.Route{Target: -time.Second}),
	Entry("a negative pause", matcher.Route{MaxPause: -time.Second, Resumable: true, MaxAttempts: 3}),
	Entry("a priority out of range", matcher.Route{Priority: -100}),
)
