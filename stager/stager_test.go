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
	duration  = 24 * time.Second
	perSecond = 100
	sessions  = 700
)

// play rolls a version out under load. bad says whether an answer of the
// target on the route is bad, at a time after the order and at a share.
func play(seed uint64, bad func(route string, at time.Duration, share int) float64) (r controller.OrderedRollout, done time.Duration, exposed int, moves int) {
	rng := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	r = controller.OrderedRollout{
		RolloutOrder: controller.RolloutOrder{Service: "s", Target: "v2", Duration: duration},
		StartedAt:    start, State: controller.RolloutRunning,
	}
	var a stager.Assigner
	counts := make(map[stager.Line]stager.Count)
	type run struct {
		target bool
		at     time.Duration
	}
	on := make(map[uint64]run)
	routes := []string{"a", "b", "c"}
	for at := time.Duration(0); at < duration+10*time.Second && r.State == controller.RolloutRunning; at += 200 * time.Millisecond {
		now := start.Add(at)
		for range perSecond / 5 {
			session := uint64(rng.IntN(sessions))
			target := a.Target(r, session, now)
			// A session ends 5 s after its last request.
			if was, ok := on[session]; ok && was.target != target && at < duration/2 && at-was.at < 5*time.Second {
				moves++
			}
			on[session] = run{target, at}
			version, route, p := "v1", routes[rng.IntN(3)], 0.02
			if target {
				version = "v2"
				exposed++
				p = bad(route, at, r.Share)
			}
			l := stager.Line{Service: "s", Version: version, Route: route}
			c := counts[l]
			c.All++
			if rng.Float64() < p {
				c.Bad++
			}
			counts[l] = c
		}
		if s, ok := stager.Next(r, now, stager.Evidence{Counts: counts, Ready: 3, Old: 3, Running: 4}); ok {
			r.State, r.Share, r.Moving = s.State, s.Share, s.Moving
			done = at
		}
	}
	return r, done, exposed, moves
}

var _ = Describe("Next", func() {
	// Guards against a good version that is taken back or comes too late, and
	// against sessions that change their version in the trial.
	It("completes a good version in time", func() {
		for seed := range uint64(50) {
			r, done, _, moves := play(seed, func(string, time.Duration, int) float64 { return 0.02 })
			Expect(r.State).To(Equal(controller.RolloutCompleted), "seed %d", seed)
			Expect(done).To(BeNumerically("<", duration))
			Expect(moves).To(BeZero())
		}
	})

	// Guards against a bad version that stays, and against its exposure beyond
	// 15% of all requests and 30.
	DescribeTable("takes a bad version back",
		func(bad func(route string, at time.Duration, share int) float64) {
			for seed := range uint64(50) {
				r, done, exposed, _ := play(seed, bad)
				Expect(r.State).To(Equal(controller.RolloutRolledBack), "seed %d", seed)
				Expect(done).To(BeNumerically("<", duration))
				Expect(float64(exposed)).To(BeNumerically("<", 0.15*perSecond*duration.Seconds()+30), "seed %d", seed)
			}
		},
		Entry("half of all fail", func(string, time.Duration, int) float64 { return 0.5 }),
		Entry("a third fails", func(string, time.Duration, int) float64 { return 0.33 }),
		Entry("on one route only", func(route string, _ time.Duration, _ int) float64 {
			if route == "b" {
				return 0.5
			}
			return 0.02
		}),
		Entry("some time after the start", func(_ string, at time.Duration, _ int) float64 {
			if at > 6*time.Second {
				return 0.5
			}
			return 0.02
		}),
		Entry("under load only", func(_ string, _ time.Duration, share int) float64 {
			if share > 300 {
				return 0.5
			}
			return 0.02
		}),
	)

	// Guards against a rollout to a version that has no upstreams yet, and one
	// that goes on after its end.
	It("waits for upstreams and stops at the end", func() {
		r := controller.OrderedRollout{State: controller.RolloutRunning, StartedAt: time.Unix(0, 0)}
		r.Duration = time.Minute
		_, ok := stager.Next(r, time.Unix(50, 0), stager.Evidence{Running: -1})
		Expect(ok).To(BeFalse())
		r.State = controller.RolloutCompleted
		_, ok = stager.Next(r, time.Unix(50, 0), stager.Evidence{Ready: 1})
		Expect(ok).To(BeFalse())
	})

	// Guards against failures that strike all versions and are taken for the
	// target's.
	It("compares with the other versions", func() {
		r := controller.OrderedRollout{State: controller.RolloutRunning, StartedAt: time.Unix(0, 0)}
		r.Service, r.Target, r.Duration = "s", "v2", time.Minute
		counts := map[stager.Line]stager.Count{
			{Service: "s", Version: "v1", Route: "a"}: {All: 200, Bad: 80},
			{Service: "s", Version: "v2", Route: "a"}: {All: 20, Bad: 9},
		}
		s, ok := stager.Next(r, time.Unix(5, 0), stager.Evidence{Counts: counts, Ready: 1})
		Expect(ok).To(BeTrue())
		Expect(s.State).To(Equal(controller.RolloutRunning))
	})
})

var _ = Describe("Assigner", func() {
	// Replays sessions whose requests reach other hosts by turns. Guards
	// against sessions that begin on the old version and run on the target in
	// the trial, or the other way round.
	It("keeps sessions on their version across hosts", func() {
		const hosts, tick = 8, 100 * time.Millisecond
		moves, onTarget := 0, 0
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 3))
			as := make([]stager.Assigner, hosts)
			start := time.Unix(1000, 0)
			r := controller.OrderedRollout{
				RolloutOrder: controller.RolloutOrder{Service: "s", Target: "v2", Duration: duration}, State: controller.RolloutRunning,
			}
			last := make(map[uint64]bool)
			for at := -6 * time.Second; at < duration/2; at += tick {
				now := start.Add(at)
				for range 10 {
					// New sessions begin all the time.
					session := rng.Uint64N(200) + uint64(at/(3*time.Second)+10)*150
					host := &as[rng.IntN(hosts)]
					target := false
					if at >= 0 {
						target = host.Target(r, session, now)
					} else {
						host.Note("s", session, false, now)
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
					for i := range as {
						for j := range as {
							as[j].Keep("s", "v2", as[i].Kept(r, now))
						}
					}
				}
				if at == time.Second {
					r.Share = 20
				}
			}
		}
		Expect(onTarget).To(BeNumerically(">", 100))
		Expect(moves).To(BeNumerically("<=", 20), "one for each rollout")
	})
})
