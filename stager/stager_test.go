package stager_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/stager"
)

func TestStager(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stager")
}

const (
	duration          = 24 * time.Second
	requestsPerSecond = 100
	sessions          = 700
	// chainDelay is the time from an answer to the leader's decision, and from there
	// to the last host that obeys it.
	chainDelay = 1500 * time.Millisecond
)

// load is the load of a simulated rollout.
type load struct {
	perSecond, sessions int
	duration            time.Duration
}

// usualLoad is that of a few hosts.
var usualLoad = load{perSecond: requestsPerSecond, sessions: sessions, duration: duration}

// simulateRollout runs a rollout under load. badRate returns the rate of bad
// answers of the target for a route, the time since the order and the share of
// the target. The results are the final rollout, the time of its last step since
// the order, the number of requests on the target and the number of times that
// a session changed its version during the trial.
func simulateRollout(seed uint64, l load, badRate func(route string, at time.Duration, share int) float64) (r controller.OrderedRollout, done time.Duration, exposed int, moves int) {
	rng := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	r = controller.OrderedRollout{
		RolloutOrder: controller.RolloutOrder{Service: "s", Target: "v2", Duration: l.duration},
		StartedAt:    start, State: controller.RolloutRunning,
	}
	var a stager.Assigner
	var rates stager.RateMeter
	counts := make(map[stager.CountKey]stager.Count)
	type run struct {
		target bool
		at     time.Duration
	}
	lastRuns := make(map[uint64]run)
	routes := []string{"a", "b", "c"}
	for at := time.Duration(0); at < l.duration+10*time.Second && r.State == controller.RolloutRunning; at += 200 * time.Millisecond {
		now := start.Add(at)
		for range l.perSecond / 5 {
			session := uint64(rng.IntN(l.sessions))
			target := a.RunsOnTarget(r, session, now)
			// A session ends 5 s after its last request.
			if was, ok := lastRuns[session]; ok && was.target != target && at < l.duration/2 && at-was.at < 5*time.Second {
				moves++
			}
			lastRuns[session] = run{target, at}
			version, route, rate := "v1", routes[rng.IntN(3)], 0.02
			if target {
				version = "v2"
				exposed++
				rate = badRate(route, at, r.Share)
			}
			key := stager.CountKey{Service: "s", Version: version, Route: route}
			c := counts[key]
			c.All++
			if rng.Float64() < rate {
				c.Bad++
			}
			counts[key] = c
		}
		e := stager.Evidence{Counts: counts, Ready: 3, Old: 3, Running: 4, PerSecond: rates.Update("s", counts, now), Prepared: at >= time.Second}
		if s, ok := stager.Next(r, now, e); ok {
			r.State, r.Share, r.Moving = s.State, s.Share, s.Moving
			done = at
		}
	}
	return r, done, exposed, moves
}

var _ = Describe("Next", func() {
	// Guards against the rollback or late completion of a good version, and
	// against sessions that change their version during the trial.
	It("completes the rollout of a good version in time", func() {
		for seed := range uint64(50) {
			r, done, _, moves := simulateRollout(seed, usualLoad, func(string, time.Duration, int) float64 { return 0.02 })
			Expect(r.State).To(Equal(controller.RolloutCompleted), "seed %d", seed)
			Expect(done).To(BeNumerically("<", duration))
			Expect(moves).To(BeZero())
		}
	})

	// Guards against a bad version that is not rolled back, or that gets more
	// than 15% of all requests plus 30 before it is.
	DescribeTable("rolls back a bad version",
		func(bad func(route string, at time.Duration, share int) float64) {
			for seed := range uint64(50) {
				r, done, exposed, _ := simulateRollout(seed, usualLoad, bad)
				Expect(r.State).To(Equal(controller.RolloutRolledBack), "seed %d", seed)
				Expect(done).To(BeNumerically("<", duration))
				Expect(float64(exposed)).To(BeNumerically("<", 0.15*requestsPerSecond*duration.Seconds()+30), "seed %d", seed)
			}
		},
		Entry("half of the requests fail", func(string, time.Duration, int) float64 { return 0.5 }),
		Entry("a third of the requests fail", func(string, time.Duration, int) float64 { return 0.33 }),
		Entry("failures on one route only", func(route string, _ time.Duration, _ int) float64 {
			if route == "b" {
				return 0.5
			}
			return 0.02
		}),
		Entry("failures start after 6 s", func(_ string, at time.Duration, _ int) float64 {
			if at > 6*time.Second {
				return 0.5
			}
			return 0.02
		}),
		Entry("failures under load only", func(_ string, _ time.Duration, share int) float64 {
			if share > 300 {
				return 0.5
			}
			return 0.02
		}),
	)

	// Guards against a version that many users get during the trial although it only
	// looks bad under load: at 1,500 requests a second, its 50th bad answer comes
	// long before a larger share shows that it is bad.
	It("rolls back within 5 s after the 50th bad answer, however many requests there are", func() {
		for seed := range uint64(50) {
			for _, perSecond := range []int{200, 850, 1500, 6000} {
				bad, fiftiethAt := 0, time.Duration(0)
				l := load{perSecond: perSecond, sessions: 100 * perSecond, duration: 15600 * time.Millisecond}
				rng := rand.New(rand.NewPCG(seed, 28))
				r, done, _, _ := simulateRollout(seed, l, func(_ string, at time.Duration, share int) float64 {
					if rng.IntN(2) == 0 {
						if bad++; bad == 50 {
							fiftiethAt = at
						}
					}
					if share < 200 {
						return 0.02
					}
					return 0.35
				})
				Expect(r.State).To(Equal(controller.RolloutRolledBack), "seed %d, %d a second", seed, perSecond)
				if bad < 50 {
					continue
				}
				Expect(done-fiftiethAt).To(BeNumerically("<", 5*time.Second-chainDelay), "seed %d, %d a second", seed, perSecond)
			}
		}
	})

	// Guards against a rollout to a version without upstreams, and against
	// steps of a rollout that has ended.
	It("returns no step without ready upstreams or after the rollout has ended", func() {
		r := controller.OrderedRollout{State: controller.RolloutRunning, StartedAt: time.Unix(0, 0)}
		r.Duration = time.Minute
		_, ok := stager.Next(r, time.Unix(50, 0), stager.Evidence{Running: -1})
		Expect(ok).To(BeFalse())
		r.State = controller.RolloutCompleted
		_, ok = stager.Next(r, time.Unix(50, 0), stager.Evidence{Ready: 1})
		Expect(ok).To(BeFalse())
	})

	// Guards against a version that fails two of five requests and is completed since, on
	// overloaded upstreams, more than half of the other versions' answers are late.
	It("rolls back a version that fails while the others are slow", func() {
		r := controller.OrderedRollout{State: controller.RolloutRunning, StartedAt: time.Unix(0, 0)}
		r.Service, r.Target, r.Duration = "s", "v2", time.Minute
		counts := map[stager.CountKey]stager.Count{
			{Service: "s", Version: "v1", Route: "a"}: {All: 8999, Bad: 5119, Failed: 90},
			{Service: "s", Version: "v2", Route: "a"}: {All: 25, Bad: 10, Failed: 10},
		}
		s, ok := stager.Next(r, time.Unix(5, 0), stager.Evidence{Counts: counts, Ready: 1})
		Expect(ok).To(BeTrue())
		Expect(s.State).To(Equal(controller.RolloutRolledBack))
	})

	// Guards against a limit on the target's rate of bad answers alone: here the
	// other versions fail almost as often.
	It("does not roll back because of failures that affect all versions", func() {
		r := controller.OrderedRollout{State: controller.RolloutRunning, StartedAt: time.Unix(0, 0)}
		r.Service, r.Target, r.Duration = "s", "v2", time.Minute
		counts := map[stager.CountKey]stager.Count{
			{Service: "s", Version: "v1", Route: "a"}: {All: 200, Bad: 80, Failed: 80},
			{Service: "s", Version: "v2", Route: "a"}: {All: 20, Bad: 9, Failed: 9},
		}
		s, ok := stager.Next(r, time.Unix(5, 0), stager.Evidence{Counts: counts, Ready: 1})
		Expect(ok).To(BeTrue())
		Expect(s.State).To(Equal(controller.RolloutRunning))
	})
})

var _ = Describe("Assigner", func() {
	// Guards against sessions that change their version during the trial
	// because their requests reach different hosts.
	It("keeps sessions on their version across hosts", func() {
		const hosts, tick = 8, 100 * time.Millisecond
		moves, onTarget := 0, 0
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 3))
			assigners := make([]stager.Assigner, hosts)
			start := time.Unix(1000, 0)
			r := controller.OrderedRollout{
				RolloutOrder: controller.RolloutOrder{Service: "s", Target: "v2", Duration: duration}, State: controller.RolloutRunning,
			}
			last := make(map[uint64]bool)
			for at := -6 * time.Second; at < duration/2; at += tick {
				now := start.Add(at)
				for range 10 {
					// New sessions start every 3 s.
					session := rng.Uint64N(200) + uint64(at/(3*time.Second)+10)*150
					host := &assigners[rng.IntN(hosts)]
					target := false
					if at >= 0 {
						target = host.RunsOnTarget(r, session, now)
					} else {
						host.RecordUse("s", session, false, now)
					}
					if was, ok := last[session]; ok && was != target {
						moves++
					}
					last[session] = target
					if target {
						onTarget++
					}
				}
				if at >= 0 && at%(4*tick) == 0 {
					for i := range assigners {
						for j := range assigners {
							assigners[j].AddExcludedSessions("s", "v2", assigners[i].ExcludedSessions(r, now))
						}
					}
				}
				if at == time.Second {
					r.Share = 20
				}
			}
		}
		Expect(onTarget).To(BeNumerically(">", 100))
		Expect(moves).To(BeNumerically("<=", 20), "at most one per rollout on average")
	})
})
