package sizer_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/sizer"
)

func TestSizer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sizer")
}

var _ = DescribeTable("NextSize",
	func(resp sizer.Response, size int, escalate bool) {
		resp.Sizes = 3
		if resp.RetryBudget == 0 {
			resp.RetryBudget = 1
		}
		next, ok := sizer.NextSize(resp)
		Expect(ok).To(Equal(escalate))
		if escalate {
			Expect(next).To(Equal(size))
		}
	},
	// Guards against keeping responses of a model that is too small for the
	// request.
	Entry("low confidence on idle engines", sizer.Response{Confidence: 20}, 2, true),
	Entry("confidence slightly too low", sizer.Response{Confidence: 55}, 1, true),
	// Guards against the cost of larger models where they do not help.
	Entry("high confidence", sizer.Response{Confidence: 80}, 0, false),
	Entry("response of the largest model", sizer.Response{Size: 2, Confidence: 10}, 0, false),
	Entry("fair confidence of a middle size", sizer.Response{Size: 1, Confidence: 50}, 0, false),
	Entry("low confidence of a middle size", sizer.Response{Size: 1, Confidence: 30}, 2, true),
	// Guards against escalations that use up the budget which failures and very
	// low confidence need.
	Entry("fair confidence with little budget", sizer.Response{Confidence: 40, RetryBudget: 0.08}, 0, false),
	Entry("very low confidence with little budget", sizer.Response{Confidence: 10, RetryBudget: 0.08}, 2, true),
	Entry("unknown confidence", sizer.Response{Confidence: -1}, 0, false),
	// Guards against escalations that slow down busy engines further.
	Entry("fair confidence on busy engines", sizer.Response{Confidence: 40, LatencyRatio: 0.6}, 0, false),
	Entry("very low confidence on busy engines", sizer.Response{Confidence: 5, LatencyRatio: 0.6}, 2, true),
	// Guards against an answer that is given up for one that comes too late, or that takes
	// the room of other requests.
	Entry("largest model too late", sizer.Response{Confidence: 20, InTime: func(size int) bool { return size < 2 }}, 0, false),
	Entry("next model in time", sizer.Response{Confidence: 55, InTime: func(size int) bool { return size < 2 }}, 1, true),
	Entry("overloaded engines", sizer.Response{Confidence: 0, LatencyRatio: 1.2}, 0, false),
)

var _ = Describe("LatencyTracker", func() {
	// Guards against treating a single slow response as load.
	It("follows the mean time to the first byte", func() {
		var t sizer.LatencyTracker
		key, now := sizer.Key{Service: "s", Model: "m"}, time.Unix(100, 0)
		Expect(t.LatencyRatio(key, time.Second, now)).To(BeZero())
		t.Record(key, 100*time.Millisecond, now)
		t.Record(key, 2*time.Second, now)
		Expect(t.LatencyRatio(key, time.Second, now)).To(BeNumerically("<", 0.35))
		for range 100 {
			t.Record(key, 2*time.Second, now)
		}
		Expect(t.LatencyRatio(key, time.Second, now)).To(BeNumerically(">", 1.5))
	})

	// Guards against never asking a larger model again after its engines were
	// slow, as after a restart of all hosts, because nothing measures them.
	It("decays without new samples", func() {
		var t sizer.LatencyTracker
		key, now := sizer.Key{Service: "s", Model: "m"}, time.Unix(100, 0)
		for range 100 {
			t.Record(key, 2*time.Second, now)
		}
		Expect(t.LatencyRatio(key, time.Second, now.Add(4*time.Second))).To(BeNumerically("<", 0.2))
	})
})
