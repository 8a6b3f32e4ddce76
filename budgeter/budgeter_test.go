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
	// Guards against repeats beyond the shared bound in any sliding window,
	// whatever the load of the hosts is and however it changes.
	It("keeps the bound of all hosts together in every window", func() {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 1))
			clock := timekeeper.NewFake(time.Unix(0, 0))
			hosts := make([]*budgeter.Budget, 6)
			for i := range hosts {
				hosts[i] = budgeter.New(budgeter.Settings{Ratio: ratio, Window: window, Slack: slack, Clock: clock})
				hosts[i].SetHosts(len(hosts))
			}
			var requests, repeats []time.Duration
			rate := 1 + rng.IntN(20)
			for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
				clock.Advance(10 * time.Millisecond)
				if rng.IntN(500) == 0 {
					rate = rng.IntN(30)
				}
				for range rng.IntN(rate + 1) {
					h := hosts[rng.IntN(len(hosts))]
					h.Request("s")
					requests = append(requests, at)
					for range 3 {
						if h.Allow("s") {
							repeats = append(repeats, at)
						}
					}
				}
			}
			for start := time.Duration(0); start < 50*time.Second; start += 100 * time.Millisecond {
				most := max(count(requests, start, window), count(requests, start-window/2, window))
				Expect(float64(count(repeats, start, window))).To(
					BeNumerically("<=", ratio*float64(most)+slack), "seed %d at %s", seed, start)
			}
		}
	})

	// Guards against repeats that count although nobody received them, and
	// against a budget that grows by returning more than was taken.
	It("takes back what was not used", func() {
		clock := timekeeper.NewFake(time.Unix(0, 0))
		b := budgeter.New(budgeter.Settings{Ratio: 0, Window: window, Slack: 1.2, Clock: clock})
		b.Return("s")
		Expect(b.Has("s")).To(BeTrue())
		Expect(b.Allow("s")).To(BeTrue())
		Expect(b.Has("s")).To(BeFalse())
		Expect(b.Allow("s")).To(BeFalse())
		clock.Advance(window / 4)
		b.Return("s")
		Expect(b.Allow("s")).To(BeTrue())
		Expect(b.Allow("s")).To(BeFalse())
	})

	// Guards against a budget that stays used up after a quiet time.
	It("gives the budget back", func() {
		clock := timekeeper.NewFake(time.Unix(0, 0))
		b := budgeter.New(budgeter.Settings{Ratio: ratio, Window: window, Slack: 10, Clock: clock})
		for b.Allow("s") {
		}
		Expect(b.Left("s")).To(BeNumerically("<", 0.2))
		clock.Advance(time.Hour)
		Expect(b.Left("s")).To(Equal(1.0))
	})
})

func count(ts []time.Duration, start, d time.Duration) int {
	n := 0
	for _, t := range ts {
		if t >= start && t < start+d {
			n++
		}
	}
	return n
}
