package chooser_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/chooser"
	"foxtailwall/declarer"
	"foxtailwall/pinner"
)

// referenceAllowed applies the rules of Allowed directly to the lists of the
// view.
func referenceAllowed(v declarer.View, w declarer.Workspace, m declarer.Model, leased bool) (allowed, lastResort []declarer.VersionRef) {
	for _, version := range m.Versions {
		r := declarer.VersionRef{Model: m.Name, Version: version.Name}
		ok := false
		for _, a := range w.Models {
			if a.Model != m.Name {
				continue
			}
			ok = len(a.Versions) == 0
			for _, name := range a.Versions {
				ok = ok || name == version.Name
			}
		}
		for _, x := range v.Config.Withdrawals {
			ok = ok && (x.Model != r.Model || x.Version != r.Version)
		}
		for _, p := range v.Progress {
			if p.Model == r.Model && p.Version == r.Version {
				ok = ok && p.State != declarer.RolloutHalted && (leased || p.State != declarer.RolloutRunning)
			}
		}
		if m.CutOff == declarer.CutOffRefuse && !leased {
			ok = false
		}
		quarantined := false
		for _, q := range v.Quarantined {
			quarantined = quarantined || q == r
		}
		switch {
		case ok && quarantined:
			lastResort = append(lastResort, r)
		case ok:
			allowed = append(allowed, r)
		}
	}
	return allowed, lastResort
}

func randomView(rng *rand.Rand) declarer.View {
	var v declarer.View
	randomRef := func() declarer.VersionRef {
		return declarer.VersionRef{Model: fmt.Sprint("m", rng.IntN(2)), Version: fmt.Sprint("v", rng.IntN(3))}
	}
	for i := range 2 {
		m := declarer.Model{Name: fmt.Sprint("m", i), Stable: fmt.Sprint("v", rng.IntN(3))}
		for j := range 3 {
			m.Versions = append(m.Versions, declarer.Version{Name: fmt.Sprint("v", j), Quality: rng.Float64()})
		}
		if rng.IntN(3) == 0 {
			m.CutOff = declarer.CutOffRefuse
		}
		v.Config.Models = append(v.Config.Models, m)
		if rng.IntN(2) == 0 {
			states := []declarer.RolloutState{declarer.RolloutRunning, declarer.RolloutHalted, declarer.RolloutDone}
			v.Progress = append(v.Progress, declarer.Progress{
				Model: m.Name, Version: randomRef().Version, Share: rng.Float64(), State: states[rng.IntN(3)],
			})
		}
	}
	w := declarer.Workspace{Name: "w", Models: []declarer.Allowed{{Model: "m0"}}}
	if rng.IntN(2) == 0 {
		w.Models = append(w.Models, declarer.Allowed{Model: "m1", Versions: []string{"v0", "v2"}})
	}
	v.Config.Workspaces = []declarer.Workspace{w}
	for range rng.IntN(4) {
		r := randomRef()
		v.Config.Withdrawals = append(v.Config.Withdrawals, declarer.Withdrawal{Model: r.Model, Version: r.Version})
	}
	for range rng.IntN(4) {
		v.Quarantined = append(v.Quarantined, randomRef())
	}
	return v
}

var _ = Describe("Allowed", func() {
	// Guards against a candidate that the workspace does not allow, or that is
	// withdrawn, halted, quarantined, or in rollout without a lease (promises 1
	// and 2 in docs/promises.md), and against an allowed version that is left
	// out.
	It("matches the allowed versions computed directly from the view", func() {
		const seed = 61
		rng := rand.New(rand.NewPCG(seed, seed))
		for range 5000 {
			v := randomView(rng)
			c := declarer.NewCatalog(v)
			leased := rng.IntN(2) == 0
			session := fmt.Sprint("s", rng.IntN(1000))
			total := 0
			for _, m := range v.Config.Models {
				want, lastResort := referenceAllowed(v, v.Config.Workspaces[0], m, leased)
				if len(want) == 0 {
					want = lastResort
				}
				got := chooser.Allowed(c, "w", m.Name, leased, session)
				var refs []declarer.VersionRef
				for _, g := range got {
					refs = append(refs, g.Ref)
					Expect(g.Version.Name).To(Equal(g.Ref.Version))
				}
				Expect(refs).To(ConsistOf(want))
				total += len(got)
				a, ok := got.Assigned(m.Name)
				if p := c.Rollout(m.Name); ok && p != nil && a.Ref.Version == p.Version && p.State == declarer.RolloutRunning && m.Stable != p.Version {
					Expect(leased && pinner.Assigned(a.Ref, session, p.Share)).To(BeTrue())
				}
			}
			Expect(chooser.Allowed(c, "w", chooser.Auto, leased, session)).To(HaveLen(total))
			Expect(chooser.Allowed(c, "other", chooser.Auto, leased, session)).To(BeEmpty())
		}
	})

	// Guards against a rollout that reaches sessions outside its share, or that
	// continues without a lease.
	DescribeTable("assigns a version to new sessions",
		func(share float64, state declarer.RolloutState, leased bool, quarantined, want string) {
			v := declarer.View{Config: declarer.Config{
				Models: []declarer.Model{{Name: "m", Stable: "v1", Versions: []declarer.Version{
					{Name: "v0", Quality: 0.5}, {Name: "v1", Quality: 0.8}, {Name: "v2", Quality: 0.9},
				}}},
				Workspaces: []declarer.Workspace{{Name: "w", Models: []declarer.Allowed{{Model: "m"}}}},
				Rollouts:   []declarer.Rollout{{Model: "m", Version: "v2"}},
			}}
			if state != "" {
				v.Progress = []declarer.Progress{{Model: "m", Version: "v2", Share: share, State: state}}
			}
			if quarantined != "" {
				v.Quarantined = []declarer.VersionRef{{Model: "m", Version: quarantined}}
			}
			c := declarer.NewCatalog(v)
			all := chooser.Allowed(c, "w", "m", leased, "s")
			got, ok := all.Assigned("m")
			Expect(ok).To(BeTrue())
			Expect(got.Ref.Version).To(Equal(want))
			Expect(got.InRollout).To(Equal(state == declarer.RolloutRunning && want == "v2"))
			if got.InRollout { // as when the exposure budget is spent
				rest := all.Without(c, got.Ref)
				next, ok := rest.Assigned("m")
				Expect(ok).To(BeTrue())
				Expect(next.Ref.Version).To(Equal("v1"))
				Expect(rest.Contains(got.Ref)).To(BeFalse())
				Expect(all.Contains(got.Ref)).To(BeTrue())
			}
		},
		Entry("session in the rollout share", 1.0, declarer.RolloutRunning, true, "", "v2"),
		Entry("session outside the rollout share", 0.0, declarer.RolloutRunning, true, "", "v1"),
		Entry("host without a lease", 1.0, declarer.RolloutRunning, false, "", "v1"),
		Entry("before the rollout has any progress", 1.0, declarer.RolloutState(""), true, "", "v1"),
		Entry("rollout halted", 1.0, declarer.RolloutHalted, true, "", "v1"),
		Entry("rollout done", 0.0, declarer.RolloutDone, false, "", "v2"),
		Entry("new version quarantined", 1.0, declarer.RolloutDone, true, "v2", "v1"),
		Entry("stable version quarantined", 0.0, declarer.RolloutRunning, true, "v1", "v0"),
	)
})
