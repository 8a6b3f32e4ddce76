package chooser_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gonum.org/v1/gonum/stat/distuv"

	"foxtailwall/chooser"
	"foxtailwall/declarer"
	"foxtailwall/timekeeper"
)

func TestChooser(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "chooser")
}

func candidate(name string, price int64, quality float64) chooser.Candidate {
	return chooser.Candidate{
		Ref: declarer.VersionRef{Model: name, Version: "v1"}, Assigned: true,
		Version: &declarer.Version{Name: "v1", Quality: quality, Price: declarer.Price{InputNanos: price, OutputNanos: price}},
	}
}

var (
	small  = candidate("small", 1, 0.85)
	medium = candidate("medium", 6, 0.85)
	large  = candidate("large", 20, 0.97)
	all    = chooser.Candidates{large, small, medium}
)

func stepModels(p chooser.Plan) (out []string) {
	for _, s := range p.Steps {
		out = append(out, s.Ref.Model)
	}
	return out
}

var _ = Describe("Plan", func() {
	var clock *timekeeper.Fake
	var l *chooser.Learner
	id := 0
	// recordRuns records n runs of the candidate that took the given time, and
	// rates the fraction pass of them as passed.
	recordRuns := func(c chooser.Candidate, step, n int, took time.Duration, pass float64) {
		for i := range n {
			id++
			l.RecordStep(fmt.Sprint(id), chooser.Run{
				Workspace: "w", Kind: declarer.KindShort, Ref: c.Ref, Step: step,
				InputTokens: 100, OutputTokens: 100, Took: took,
			})
			l.Rate(fmt.Sprint(id), float64(i) < pass*float64(n))
		}
		clock.Advance(2 * time.Second)
	}
	BeforeEach(func() {
		clock = timekeeper.NewFake(time.Unix(1_800_000_000, 0))
		l = chooser.NewLearner(chooser.Settings{Clock: clock})
		recordRuns(small, 0, 200, time.Second, 0.8)
		recordRuns(medium, 0, 200, 2*time.Second, 0.9)
		recordRuns(large, 0, 200, 4*time.Second, 0.97)
		recordRuns(medium, 1, 200, 2*time.Second, 0.3)
		recordRuns(large, 1, 200, 4*time.Second, 0.9)
	})

	// Guards against a plan that misses the target while another meets it,
	// costs more or takes longer than necessary, escalates a stream, or starts
	// a cascade that cannot finish in time.
	DescribeTable("selects by target, deadline and weighing", func(weigh declarer.Weigh, target float64, stream bool, left time.Duration, met bool, want ...string) {
		w := &declarer.Workspace{Name: "w", Weigh: weigh, Quality: map[declarer.Kind]float64{declarer.KindShort: target}}
		p, ok := chooser.New(l).Plan(chooser.Request{Workspace: w, Kind: declarer.KindShort, Stream: stream, TimeLeft: left, Candidates: all})
		Expect(ok).To(BeTrue())
		Expect(stepModels(p)).To(Equal(want), "%+v", p)
		Expect(p.MeetsTarget).To(Equal(met))
	},
		Entry("the cheapest model without a target", declarer.WeighCost, 0.0, false, time.Duration(0), true, "small"),
		Entry("a cascade when it is cheapest", declarer.WeighCost, 0.94, false, time.Duration(0), true, "small", "large"),
		Entry("a single model for a stream", declarer.WeighCost, 0.94, true, time.Duration(0), true, "large"),
		Entry("a single model when the cascade does not fit the deadline", declarer.WeighCost, 0.94, false, 4800*time.Millisecond, true, "large"),
		Entry("the cascade when both steps fit the deadline", declarer.WeighCost, 0.94, false, 6*time.Second, true, "small", "large"),
		Entry("the fastest model that meets the target", declarer.WeighLatency, 0.7, false, time.Duration(0), true, "small"),
		Entry("the fastest model that fits the deadline", declarer.WeighLatency, 0.7, false, 3*time.Second, true, "small"),
		Entry("the fastest model when none fits the deadline", declarer.WeighCost, 0.94, false, 500*time.Millisecond, false, "small"),
		Entry("the best model when none meets the target", declarer.WeighCost, 0.995, true, time.Duration(0), false, "large"),
	)

	// Guards against a workspace that stays with a strong model that misses the
	// target, because the cascade that would meet it never runs and so is never
	// rated; and against one that stays with a cascade whose ratings show that
	// it misses the target.
	It("tries a cascade that may meet the target until ratings rule it out", func() {
		w := &declarer.Workspace{Name: "w", Quality: map[declarer.Kind]float64{declarer.KindShort: 0.98}}
		plan := func() []string {
			p, _ := chooser.New(l).Plan(chooser.Request{Workspace: w, Kind: declarer.KindShort, Candidates: chooser.Candidates{small, large}})
			Expect(p.MeetsTarget).To(BeFalse())
			return stepModels(p)
		}
		l = chooser.NewLearner(chooser.Settings{Clock: clock})
		recordRuns(small, 0, 400, time.Second, 0.8)
		recordRuns(large, 0, 4000, time.Second, 0.95)
		recordRuns(large, 1, 10, time.Second, 1)
		Expect(plan()).To(Equal([]string{"small", "large"}))
		recordRuns(large, 1, 200, time.Second, 0.5)
		Expect(plan()).To(Equal([]string{"large"}))
	})

	// Guards against new sessions that get a candidate meant for pinned
	// sessions, or a quarantined one while there are others.
	It("plans only assigned candidates, and quarantined ones only if there are no others", func() {
		pinned, last := small, small
		pinned.Assigned, last.LastResort = false, true
		w := &declarer.Workspace{Name: "w"}
		plan := func(cs ...chooser.Candidate) (chooser.Plan, bool) {
			return chooser.New(l).Plan(chooser.Request{Workspace: w, Kind: declarer.KindShort, Candidates: cs})
		}
		p, _ := plan(pinned, last, large)
		Expect(stepModels(p)).To(Equal([]string{"large"}))
		p, _ = plan(pinned, last)
		Expect(stepModels(p)).To(Equal([]string{"small"}))
		_, ok := plan(pinned)
		Expect(ok).To(BeFalse())
	})

	// Guards against an explored share above the declared one.
	It("explores no more than the declared share", func() {
		const share, n = 0.1, 5000
		w := &declarer.Workspace{Name: "w", Explore: share}
		explored := 0
		for i := range n {
			p, _ := chooser.New(l).Plan(chooser.Request{Workspace: w, Kind: declarer.KindShort, Candidates: all})
			if p.Explores {
				explored++
			}
			Expect(float64(explored)).To(BeNumerically("<=", share*float64(i+1)))
		}
		Expect(float64(explored)).To(BeNumerically(">=", 0.8*share*n))
	})
})

var _ = Describe("Learner", func() {
	// Guards against ratings that count twice, under another version or
	// workspace, or without decay. The reference keeps every rating and sums
	// the weights again each time.
	It("matches posteriors recomputed from all ratings", func() {
		const seed, halfLife = 67, time.Hour
		type rating struct {
			workspace string
			at        time.Time
			pass      bool
		}
		rng := rand.New(rand.NewPCG(seed, seed))
		clock := timekeeper.NewFake(time.Unix(1_800_000_000, 0))
		l := chooser.NewLearner(chooser.Settings{Clock: clock, HalfLife: halfLife})
		var ratings []rating
		workspaces := []string{"a", "b", "c"}
		pending := map[string]string{}
		for i := range 1500 {
			clock.Advance(time.Duration(2+rng.IntN(60)) * time.Second)
			w := workspaces[rng.IntN(3)]
			l.RecordStep(fmt.Sprint(i), chooser.Run{Workspace: w, Kind: declarer.KindShort, Ref: small.Ref})
			pending[fmt.Sprint(i)] = w
			// A rating may be late, repeated or never come.
			rated := fmt.Sprint(max(0, i-rng.IntN(50)))
			w, ok := pending[rated]
			pass := rng.Float64() < 0.7
			Expect(l.Rate(rated, pass)).To(Equal(ok))
			if delete(pending, rated); ok {
				ratings = append(ratings, rating{w, clock.Now(), pass})
			}
			queried := workspaces[rng.IntN(3)]
			prior := distuv.Beta{Alpha: 20 * 0.85, Beta: 20 * 0.15}
			var own distuv.Beta
			for _, r := range ratings {
				weight := math.Exp2(-float64(clock.Since(r.at)) / float64(halfLife))
				d := &prior
				if r.workspace == queried {
					d = &own
				}
				if r.pass {
					d.Alpha += weight
				} else {
					d.Beta += weight
				}
			}
			f := min(40/(prior.Alpha+prior.Beta), 1)
			want := distuv.Beta{Alpha: prior.Alpha*f + own.Alpha, Beta: prior.Beta*f + own.Beta}
			mean, lower := l.Quality(queried, declarer.KindShort, small)
			Expect(mean).To(BeNumerically("~", want.Mean(), 1e-9))
			Expect(lower).To(BeNumerically("~", want.Quantile(0.1), 1e-9))
		}
		Expect(l.Rate("unknown", true)).To(BeFalse())
	})

	// Guards against a learned pass rate that never decays while the rating
	// service is silent.
	It("returns to the declared quality as ratings age", func() {
		clock := timekeeper.NewFake(time.Unix(1_800_000_000, 0))
		l := chooser.NewLearner(chooser.Settings{Clock: clock})
		_, prior := l.Quality("w", declarer.KindShort, large)
		for i := range 500 {
			l.RecordStep(fmt.Sprint(i), chooser.Run{Workspace: "w", Kind: declarer.KindShort, Ref: large.Ref})
			l.Rate(fmt.Sprint(i), i%2 == 0)
		}
		last := 0.0
		for range 12 {
			clock.Advance(12 * time.Hour)
			mean, _ := l.Quality("w", declarer.KindShort, large)
			Expect(mean).To(BeNumerically(">", last))
			last = mean
		}
		mean, lower := l.Quality("w", declarer.KindShort, large)
		Expect(mean).To(BeNumerically("~", 0.97, 0.01))
		Expect(lower).To(BeNumerically("~", prior, 0.01))
	})
})

// outcome holds the mean cost and quality of the requests of a simulation.
type outcome struct{ cost, quality float64 }

// simulate serves requests of random difficulty. An answer passes if the skill
// of its version exceeds the difficulty; one in twenty results is inverted.
// Apart from the answers rated in time, three in ten are rated, up to 200
// requests late, and a tenth of those ratings is lost.
func simulate(policy chooser.Policy, l *chooser.Learner, clock *timekeeper.Fake, seed uint64, requests int) outcome {
	rng := rand.New(rand.NewPCG(seed, seed))
	w := &declarer.Workspace{Name: "w", Explore: 0.05, Quality: map[declarer.Kind]float64{declarer.KindShort: 0.9}}
	skill := map[string]float64{"small": 0.74, "medium": 0.82, "large": 0.97}
	due := make(map[int][]func())
	var sum outcome
	for i := range requests {
		clock.Advance(500 * time.Millisecond)
		for _, rate := range due[i] {
			rate()
		}
		delete(due, i)
		p, _ := policy.Plan(chooser.Request{Workspace: w, Kind: declarer.KindShort, Candidates: all})
		difficulty, passed := rng.Float64(), false
		for step, s := range p.Steps {
			passed = skill[s.Ref.Model] > difficulty
			if rng.Float64() < 0.05 {
				passed = !passed
			}
			output := int64(100 + rng.IntN(200))
			id := fmt.Sprint(i, "/", step)
			l.RecordStep(id, chooser.Run{
				Workspace: "w", Kind: declarer.KindShort, Ref: s.Ref, Step: step,
				InputTokens: 300, OutputTokens: output, Took: time.Second,
			})
			sum.cost += float64((300 + output) * s.Version.Price.InputNanos)
			inTime := len(p.Steps) == 2 && step == 0 && rng.Float64() < 0.8
			if len(p.Steps) == 2 && step == 0 {
				l.RecordRatingWait(declarer.KindShort, inTime)
			}
			if inTime || rng.Float64() < 0.3*0.9 {
				pass := passed
				due[i+1+rng.IntN(200)] = append(due[i+1+rng.IntN(200)], func() { l.Rate(id, pass) })
			}
			if inTime && passed || !inTime && l.AcceptsUnrated(w, declarer.KindShort, s) {
				break
			}
		}
		if passed {
			sum.quality++
		}
	}
	return outcome{sum.cost / float64(requests), sum.quality / float64(requests)}
}

var _ = Describe("simulation", func() {
	// Guards against a chooser that misses the target, or that meets it at no
	// lower cost than the baseline policies.
	It("meets the target at a lower cost than the baseline policies", func() {
		const seed, requests = 71, 10_000
		results := map[string]outcome{}
		for name, policy := range map[string]chooser.Policy{
			"learned": nil, "always best": chooser.AlwaysBest{}, "always cheapest": chooser.AlwaysCheapest{}, "round robin": &chooser.RoundRobin{},
		} {
			clock := timekeeper.NewFake(time.Unix(1_800_000_000, 0))
			l := chooser.NewLearner(chooser.Settings{Clock: clock, Seed: seed})
			if policy == nil {
				policy = chooser.New(l)
			}
			results[name] = simulate(policy, l, clock, seed, requests)
			GinkgoWriter.Printf("%s: cost %.0f nanos, quality %.4f\n", name, results[name].cost, results[name].quality)
		}
		Expect(results["learned"].quality).To(BeNumerically(">=", 0.9))
		Expect(results["learned"].cost).To(BeNumerically("<", 0.7*results["always best"].cost))
		Expect(results["always cheapest"].quality).To(BeNumerically("<", 0.9))
		Expect(results["round robin"].quality).To(BeNumerically("<", 0.9))
	})
})

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{3, 33} {
		b.Run(fmt.Sprint(n, " candidates"), func(b *testing.B) {
			l := chooser.NewLearner(chooser.Settings{})
			w := &declarer.Workspace{Name: "w", Quality: map[declarer.Kind]float64{declarer.KindShort: 0.9}}
			r := chooser.Request{Workspace: w, Kind: declarer.KindShort}
			for i := range n {
				r.Candidates = append(r.Candidates, candidate(fmt.Sprint("m", i), int64(i+1), 0.6+0.01*float64(i)))
			}
			policy := chooser.New(l)
			b.ReportAllocs()
			for b.Loop() {
				policy.Plan(r)
			}
		})
	}
}
