package comparer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/comparer"
)

var _ = Describe("Shipped", func() {
	policies := append([]comparer.Policy{comparer.RouterPolicy()}, comparer.Baselines()...)

	// Guards against changes of the chooser or the picker that make the router
	// worse than a naive policy in the cost or latency that the deployment weighs.
	DescribeTable("beats every naive policy that meets the targets",
		func(s comparer.Scenario, measures ...func(comparer.Result) float64) {
			r := comparer.Run(s, policies, comparer.Options{Seed: 1, Duration: time.Minute})
			Expect(r[0].Meets).To(BeTrue())
			Expect(r[0].Refused).To(BeZero())
			met := 0
			for _, naive := range r[1:] {
				if naive.Meets {
					met++
					for _, measure := range measures {
						Expect(measure(r[0])).To(BeNumerically("<", measure(naive)), naive.Policy)
					}
				}
			}
			Expect(met).To(BeNumerically(">=", 3))
		},
		Entry("cost of the cooperative", comparer.Cooperative(), func(r comparer.Result) float64 { return r.Cost }),
		Entry("first tokens and whole answers of the festival", comparer.Festival(),
			func(r comparer.Result) float64 { return r.FirstToken.P95.Seconds() },
			func(r comparer.Result) float64 { return r.Total.P95.Seconds() }),
	)

	// Guards against a bad version that stays in use, and against exposure counted
	// outside the fault or for other versions.
	It("quarantines a bad version", func() {
		s, ok := comparer.Festival().WithFault("bad")
		Expect(ok).To(BeTrue())
		r := comparer.Run(s, policies[:3], comparer.Options{Seed: 1, Duration: 2 * time.Minute})
		shipped, best, cheap := r[0].During, r[1].During, r[2].During
		Expect(best.Exposed).To(Equal(best.Requests))
		Expect(best.Requests).To(BeNumerically("~", r[1].Requests/3, r[1].Requests/20))
		Expect(cheap.Exposed).To(BeZero())
		Expect(shipped.Exposed).To(BeNumerically(">", 0))
		Expect(shipped.Exposed).To(BeNumerically("<", best.Exposed/4))
		Expect(shipped.Quality).To(BeNumerically(">", 1.5*best.Quality))
	})

	// Guards against failing to choose a version, or accepting answers of unproven
	// versions, while the rating service is down.
	It("meets the quality targets without ratings", func() {
		s, ok := comparer.Cooperative().WithFault("unrated")
		Expect(ok).To(BeTrue())
		r := comparer.Run(s, policies[:1], comparer.Options{Seed: 1, Duration: time.Minute})[0]
		Expect(r.Meets).To(BeTrue())
		Expect(r.During.Requests).To(BeNumerically(">", 500))
		Expect(r.During.Exposed).To(BeZero())
		// Cascades get no ratings and escalate, so requests cost more than on average.
		Expect(r.During.Cost).To(BeNumerically(">", r.Cost))
		_, ok = comparer.Cooperative().WithFault("flood")
		Expect(ok).To(BeFalse())
	})
})
