package promoter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/declarer"
	"foxtailwall/detector"
	"foxtailwall/promoter"
)

func TestPromoter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "promoter")
}

var (
	start   = time.Unix(1_800_000_000, 0)
	rollout = declarer.Rollout{
		Model: "engraver", Version: "v2",
		Stages: []declarer.Stage{
			{Share: 0.01, Soak: time.Minute, Budget: 100},
			{Share: 0.2, Soak: time.Minute, Budget: 1000},
			{Share: 1, Soak: time.Minute},
		},
		Guard: declarer.Guard{MinQuality: 0.9},
	}
)

func ratedStats(all, bad int64) detector.Stats {
	return detector.Stats{Rated: detector.Counts{All: all, Bad: bad}}
}

// referencePromoter is a simple promoter that keeps its state in memory and
// checks one rule after the other.
type referencePromoter struct {
	stage          int
	stageStart     time.Time
	ended          promoter.Action
	requiredEvents []int64
}

func (n *referencePromoter) next(s detector.Stats, now time.Time) promoter.Action {
	if n.ended != "" {
		return promoter.Stay
	}
	if detector.Evaluate(detector.LimitsOf(rollout.Guard), s).Alarm {
		n.ended = promoter.Halt
		return promoter.Halt
	}
	if now.Sub(n.stageStart) < rollout.Stages[n.stage].Soak || s.Rated.All < n.requiredEvents[n.stage] {
		return promoter.Stay
	}
	if n.stage++; n.stage == len(rollout.Stages) {
		n.ended = promoter.Done
		return promoter.Done
	}
	n.stageStart = now
	return promoter.Advance
}

var _ = Describe("Next", func() {
	// Guards against a decision that depends on state of one leader, a skipped
	// stage, and a halted or finished rollout that continues. Each call gets
	// only the progress of the previous one.
	It("agrees with a reference that keeps its state in memory", func() {
		const seed = 101
		rng := rand.New(rand.NewPCG(seed, seed))
		ends, overBudget := map[promoter.Action]int{}, 0
		for range 300 {
			rate := []float64{0.02, 0.05, 0.3}[rng.IntN(3)]
			now, stats := start, detector.Stats{}
			p := promoter.Next(rollout, declarer.Progress{}, stats, now).Progress
			reference := &referencePromoter{stageStart: now, requiredEvents: []int64{10, 40, 70}}
			for range 200 {
				now = now.Add(time.Duration(rng.IntN(20)) * time.Second)
				for range rng.IntN(4) {
					stats.Rated.All++
					if rng.Float64() < rate {
						stats.Rated.Bad++
					}
				}
				p.Spent += rng.Int64N(40)
				t := promoter.Next(rollout, p, stats, now)
				Expect(t.Action).To(Equal(reference.next(stats, now)))
				Expect(t.Changed).To(Equal(t.Progress != p))
				p = t.Progress
				switch reference.ended {
				case promoter.Halt:
					Expect(p.State).To(Equal(declarer.RolloutHalted))
					Expect(p.Share).To(BeZero())
				case promoter.Done:
					Expect(p.State).To(Equal(declarer.RolloutDone))
				default:
					Expect(p.Stage).To(Equal(reference.stage))
					share := rollout.Stages[reference.stage].Share
					if p.Spent >= promoter.Budget(rollout.Stages[reference.stage]) {
						share = 0
						overBudget++
					}
					Expect(p.Share).To(Equal(share))
				}
			}
			ends[reference.ended]++
		}
		Expect(overBudget).To(BeNumerically(">", 50))
		Expect(ends[promoter.Halt]).To(BeNumerically(">", 50))
		Expect(ends[promoter.Done]).To(BeNumerically(">", 50))
	})

	// Guards against a rollout that advances without measurements, and against
	// a rollout without a guard that never advances.
	DescribeTable("advances only after enough events", func(guard declarer.Guard, s detector.Stats, want promoter.Action) {
		r := rollout
		r.Guard = guard
		p := promoter.Start(r, start)
		t := promoter.Next(r, p, s, start.Add(time.Minute))
		Expect(t.Action).To(Equal(want), t.Reason)
	},
		Entry("no events", rollout.Guard, ratedStats(0, 0), promoter.Stay),
		Entry("too few events", rollout.Guard, ratedStats(9, 0), promoter.Stay),
		Entry("enough events", rollout.Guard, ratedStats(10, 0), promoter.Advance),
		Entry("events for one of two limits", declarer.Guard{MinQuality: 0.9, MaxErrors: 0.1}, ratedStats(100, 0), promoter.Stay),
		Entry("no guard", declarer.Guard{}, ratedStats(0, 0), promoter.Advance),
		Entry("quality below the limit", rollout.Guard, ratedStats(50, 30), promoter.Halt),
	)

	// Guards against an index out of range after the declaration of a running
	// rollout lost stages.
	It("continues from the last stage when stages are removed", func() {
		p := promoter.Start(rollout, start)
		p.Stage = 2
		r := rollout
		r.Stages = r.Stages[:1]
		t := promoter.Next(r, p, ratedStats(100, 0), start.Add(time.Hour))
		Expect(t.Action).To(Equal(promoter.Done))
	})
})

var _ = Describe("Exposure", func() {
	// Guards against hosts that together assign more requests than the budget
	// of the stage while they do not know of each other's requests.
	It("keeps all hosts together within the budget", func() {
		const seed = 103
		rng := rand.New(rand.NewPCG(seed, seed))
		for range 100 {
			hosts := 1 + rng.IntN(330)
			exposures := make([]promoter.Exposure, hosts)
			p := promoter.Start(rollout, start)
			for stage := range 2 {
				p.Stage, p.Share, p.Spent = stage, rollout.Stages[stage].Share, 0
				taken := 0
				for range 20 * rollout.Stages[stage].Budget {
					if i := rng.IntN(hosts); exposures[i].Take(rollout, p, hosts, i) {
						taken++
					}
				}
				Expect(taken).To(BeNumerically("<=", rollout.Stages[stage].Budget))
				Expect(taken).To(BeNumerically(">=", rollout.Stages[stage].Budget/2))
				total := int64(0)
				for i := range exposures {
					total += exposures[i].Spent(p)
				}
				Expect(total).To(Equal(int64(taken)))
				p.Spent = total
				if taken == rollout.Stages[stage].Budget {
					Expect(exposures[0].Take(rollout, p, hosts, 0)).To(BeFalse())
				}
			}
			p.State = declarer.RolloutHalted
			Expect(exposures[0].Take(rollout, p, hosts, 0)).To(BeFalse())
		}
	})
})

func BenchmarkNext(b *testing.B) {
	p := promoter.Start(rollout, start)
	for b.Loop() {
		promoter.Next(rollout, p, ratedStats(1000, 12), start)
	}
}
