package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/budgeter"
	"foxtailwall/timekeeper"
)

func TestBudgeter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "budgeter")
}

const (
	ratio  = 0.9
	slack  = 50
	window = 10 * time.Second
)

var _ = Describe("Budget", func() {
	// Guards against retries above the shared limit in any sliding window,
	// whatever the load of each host and however it changes.
	It("bounds the retries of all hosts together in every window", func() {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 1))
			clock := timekeeper.NewFake(time.Unix(0, 0))
			hosts := make([]*budgeter.Budget, 6)
			for i := range hosts {
				hosts[i] = budgeter.New(budgeter.Settings{Ratio: ratio, Window: window, Slack: slack, Clock: clock})
				hosts[i].SetHosts(len(hosts))
			}
			var requests, retries []time.Duration
			rate := 1 + rng.IntN(20)
			for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
				clock.Advance(10 * time.Millisecond)
				if rng.IntN(500) == 0 {
					rate = rng.IntN(30)
				}
				for range rng.IntN(rate + 1) {
					h := hosts[rng.IntN(len(hosts))]
					h.AddRequest("s")
					requests = append(requests, at)
					for range 3 {
						if h.Allow("s") {
							retries = append(retries, at)
						}
					}
				}
			}
			for start := time.Duration(0); start < 50*time.Second; start += 100 * time.Millisecond {
				maxRequests := max(count(requests, start, window), count(requests, start-window/2, window))
				Expect(float64(count(retries, start, window))).To(
					BeNumerically("<=", ratio*float64(maxRequests)+slack), "seed %d at %s", seed, start)
			}
		}
	})

	// Guards against counting retries that reached no upstream, and against a
	// budget that grows because more retries are returned than were taken.
	It("takes back retries that reached no upstream", func() {
		clock := timekeeper.NewFake(time.Unix(0, 0))
		b := budgeter.New(budgeter.Settings{Ratio: 0, Window: window, Slack: 1.2, Clock: clock})
		b.ReturnRetry("s")
		Expect(b.CanRetry("s")).To(BeTrue())
		Expect(b.Allow("s")).To(BeTrue())
		Expect(b.CanRetry("s")).To(BeFalse())
		Expect(b.Allow("s")).To(BeFalse())
		clock.Advance(window / 4)
		b.ReturnRetry("s")
		Expect(b.Allow("s")).To(BeTrue())
		Expect(b.Allow("s")).To(BeFalse())
	})

	// Guards against a budget that stays exhausted after a quiet period.
	It("restores the budget after a quiet window", func() {
		clock := timekeeper.NewFake(time.Unix(0, 0))
		b := budgeter.New(budgeter.Settings{Ratio: ratio, Window: window, Slack: 10, Clock: clock})
		for b.Allow("s") {
		}
		Expect(b.FractionLeft("s")).To(BeNumerically("<", 0.2))
		clock.Advance(time.Hour)
		Expect(b.FractionLeft("s")).To(Equal(1.0))
	})
})

func count(times []time.Duration, start, duration time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= start && t < start+duration {
			n++
		}
	}
	return n
}
