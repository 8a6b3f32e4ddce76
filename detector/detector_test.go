package detector_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/declarer"
	"foxtailwall/detector"
	"foxtailwall/timekeeper"
)

func TestDetector(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "detector")
}

// sequentialTest reports whether the counts so far raise an alarm.
type sequentialTest func(limit float64, c detector.Counts) bool

// betting applies Evaluate with a single limit. The other tests are baselines.
func betting(limit float64, c detector.Counts) bool {
	return detector.Evaluate(detector.Limits{Rated: limit}, detector.Stats{Rated: c}).Alarm
}

// threshold is a baseline that compares the running mean with a bound a tenth
// above the limit, after 50 events.
func threshold(limit float64, c detector.Counts) bool {
	return c.All >= 50 && float64(c.Bad)/float64(c.All) > 1.1*limit
}

// repeatedZ is a baseline that makes a z-test at 1% at each evaluation.
func repeatedZ(limit float64, c detector.Counts) bool {
	n := float64(c.All)
	return c.All >= 50 && (float64(c.Bad)/n-limit)/math.Sqrt(limit*(1-limit)/n) > 2.326
}

// alarmRate returns the share of runs with an alarm, and the mean number of
// events until the alarm in those runs. Each run evaluates the test after every
// ten events.
func alarmRate(t sequentialTest, limit, rate float64, runs, events int, seed uint64) (alarms, mean float64) {
	rng := rand.New(rand.NewPCG(seed, seed))
	for range runs {
		var c detector.Counts
		for c.All < int64(events) {
			for range 10 {
				c.All++
				if rng.Float64() < rate {
					c.Bad++
				}
			}
			if t(limit, c) {
				alarms++
				mean += float64(c.All)
				break
			}
		}
	}
	return alarms / float64(runs), mean / max(alarms, 1)
}

var _ = Describe("Evaluate", func() {
	// Guards against a guard that halts good rollouts because it evaluates
	// often, as the baselines do, and against one that needs more requests to
	// detect a bad version than the false-alarm bound requires.
	It("keeps its false-alarm bound and detects bad versions", func() {
		const seed, limit, runs, events = 73, 0.1, 400, 4000
		tests := []struct {
			name string
			test sequentialTest
		}{{"betting", betting}, {"threshold", threshold}, {"repeated z", repeatedZ}}
		alarms, meanEvents := map[string]float64{}, map[string]float64{}
		for _, t := range tests {
			for _, rate := range []float64{0.05, 0.08, limit, 0.15, 0.2, 0.4} {
				a, n := alarmRate(t.test, limit, rate, runs, events, seed)
				GinkgoWriter.Printf("%-10s rate %.2f: alarms %.3f, after %.0f events\n", t.name, rate, a, n)
				if rate == limit {
					alarms[t.name] = a
				}
				if rate == 0.2 {
					meanEvents[t.name] = n
					Expect(a).To(BeNumerically(">=", 0.99), t.name)
				}
			}
		}
		Expect(alarms["betting"]).To(BeNumerically("<=", detector.FalseAlarms))
		Expect(alarms["threshold"]).To(BeNumerically(">", 0.1))
		Expect(alarms["repeated z"]).To(BeNumerically(">", 0.1))
		Expect(meanEvents["betting"]).To(BeNumerically("<", 300))
	})

	// Guards against a bound that holds for each limit but not for all of them
	// together, and against results that depend on the order in which zones are
	// added.
	It("keeps the false-alarm bound over all limits and zones", func() {
		const seed, runs = 79, 400
		rng := rand.New(rand.NewPCG(seed, seed))
		l := detector.LimitsOf(declarer.Guard{MinQuality: 0.9, MaxErrors: 0.02, FirstToken: time.Second})
		totalAlarms, zoneAlarms := 0, 0
		for range runs {
			var zones [3]detector.Stats
			alarmed := false
			for range 200 {
				z := &zones[rng.IntN(3)]
				for range 10 {
					z.Rated = z.Rated.Add(randomEvent(rng, 0.1))
					z.Served = z.Served.Add(randomEvent(rng, 0.02))
					z.FirstTokens = z.FirstTokens.Add(randomEvent(rng, 0.05))
				}
				v := detector.Evaluate(l, zones[0].Add(zones[1]).Add(zones[2]))
				Expect(v).To(Equal(detector.Evaluate(l, zones[2].Add(zones[0].Add(zones[1])))))
				alarmed = alarmed || v.Alarm
			}
			if alarmed {
				totalAlarms++
			}
			if detector.Evaluate(l, zones[0]).Alarm {
				zoneAlarms++
			}
		}
		GinkgoWriter.Printf("false alarms at all three limits: %d of %d\n", totalAlarms, runs)
		Expect(float64(totalAlarms) / runs).To(BeNumerically("<=", detector.FalseAlarms))
		Expect(float64(zoneAlarms) / runs).To(BeNumerically("<=", detector.FalseAlarms))
	})

	// Guards against an alarm without limits or events.
	It("raises no alarm without limits or events", func() {
		bad := detector.Stats{Rated: detector.Counts{All: 100, Bad: 100}}
		Expect(detector.Evaluate(detector.Limits{}, bad).Alarm).To(BeFalse())
		v := detector.Evaluate(detector.Limits{Rated: 0.1, Served: 0.1}, detector.Stats{})
		Expect(v.Evidence).To(BeNumerically("~", 1, 1e-9))
		v = detector.Evaluate(detector.Limits{Rated: 0.1, Served: 0.1}, bad)
		Expect(v.Alarm).To(BeTrue())
		Expect(v.MinEvents).To(BeZero())
		Expect(v.Reason).To(Equal("answers that did not pass: 100 of 100, limit 0.1"))
	})
})

func randomEvent(rng *rand.Rand, rate float64) detector.Counts {
	c := detector.Counts{All: 1}
	if rng.Float64() < rate {
		c.Bad = 1
	}
	return c
}

var _ = Describe("Watch", func() {
	var clock *timekeeper.Fake
	BeforeEach(func() { clock = timekeeper.NewFake(time.Unix(1000, 0)) })
	// addBatches adds up to n batches of five rated answers and returns how
	// many it took to leave the state, or n.
	addBatches := func(w *detector.Watch, rng *rand.Rand, rate float64, n int) int {
		before, _ := w.State()
		for i := range n {
			clock.Advance(time.Second)
			var s detector.Stats
			for range 5 {
				s.Rated = s.Rated.Add(randomEvent(rng, rate))
			}
			if w.Add(s) != before {
				return i + 1
			}
		}
		return n
	}

	// Guards against a detector that needs long to notice a change after a long
	// good period, like the baseline: the sequential test over all counts.
	It("detects a change soon after a long good period", func() {
		const seed, runs, good = 83, 20, 5000
		watch, baseline := 0, 0
		for r := range runs {
			rng := rand.New(rand.NewPCG(seed, uint64(r)))
			w := detector.NewWatch(detector.Limits{Rated: 0.1}, detector.Settings{Clock: clock})
			Expect(addBatches(w, rng, 0.05, good)).To(Equal(good))
			watch += addBatches(w, rng, 0.3, 1000)
			c := detector.Counts{All: 5 * good, Bad: 5 * good / 20}
			for !betting(0.1, c) {
				baseline++
				for range 5 {
					c = c.Add(randomEvent(rng, 0.3))
				}
			}
		}
		GinkgoWriter.Printf("batches until detection: watch %d, test over all counts %d\n", watch/runs, baseline/runs)
		Expect(watch).To(BeNumerically("<", baseline/10))
	})

	// Guards against a mean time between false alarms that is below
	// FalseAlarmInterval; the interval is short enough to be reached.
	It("keeps the mean interval between false alarms", func() {
		const seed, runs, interval = 89, 100, 500
		rng := rand.New(rand.NewPCG(seed, seed))
		total := 0
		for range runs {
			w := detector.NewWatch(detector.Limits{Rated: 0.1}, detector.Settings{Clock: clock, FalseAlarmInterval: interval})
			total += addBatches(w, rng, 0.1, 50*interval)
		}
		GinkgoWriter.Printf("mean batches until a false alarm: %d, required %d\n", total/runs, interval)
		Expect(total / runs).To(BeNumerically(">=", interval))
	})

	// Guards against a version that returns without evidence or alternates
	// between states near its limit, and against a quarantine time that does
	// not grow.
	It("returns a version only on evidence and doubles the quarantine time", func() {
		const seed = 97
		rng := rand.New(rand.NewPCG(seed, seed))
		w := detector.NewWatch(detector.Limits{Rated: 0.1}, detector.Settings{Clock: clock, QuarantineTime: time.Minute})
		addBatches(w, rng, 0.4, 1000)
		state, reason := w.State()
		Expect(state).To(Equal(detector.Quarantined))
		Expect(reason).To(ContainSubstring("did not pass"))
		for _, seconds := range []int{60, 120, 240} {
			Expect(addBatches(w, rng, 0, 10_000)).To(Equal(seconds))
			addBatches(w, rng, 0.4, 1000)
			state, _ = w.State()
			Expect(state).To(Equal(detector.Quarantined))
		}
		addBatches(w, rng, 0, 10_000)
		Expect(addBatches(w, rng, 0.1, 200)).To(Equal(200))
		state, _ = w.State()
		Expect(state).To(Equal(detector.Probation))
		addBatches(w, rng, 0.03, 1000)
		state, _ = w.State()
		Expect(state).To(Equal(detector.Healthy))
	})
})

func BenchmarkEvaluate(b *testing.B) {
	l := detector.Limits{Rated: 0.1, Served: 0.02, FirstTokens: 0.05}
	c := detector.Counts{All: 1000, Bad: 12}
	for b.Loop() {
		detector.Evaluate(l, detector.Stats{Rated: c, Served: c, FirstTokens: c})
	}
}
