package controller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/declarer"
)

// offices is the naive model of changes: every accepted one is kept whole, and
// every answer for good.
type offices struct {
	accepted []controller.Change
	configs  map[uint64]declarer.Config
	answers  map[string]controller.Applied
	sent     map[string]string
}

// decide answers a change in which office may only touch its own workspaces.
func (o *offices) decide(index uint64, office, id string, base uint64, c declarer.Config) controller.Applied {
	k, content := office+"/"+id, fmt.Sprint(base, c)
	if old, ok := o.answers[k]; ok {
		if o.sent[k] != content {
			return controller.Applied{State: controller.Reused}
		}
		return old
	}
	o.sent[k] = content
	current := uint64(0)
	if n := len(o.accepted); n > 0 {
		current = o.accepted[n-1].Version
	}
	got := controller.Applied{State: controller.Accepted, Version: index}
	switch {
	case base != current:
		got = controller.Applied{State: controller.Conflict, Version: current}
		for _, a := range o.accepted {
			if a.Version > base {
				got.Since = append(got.Since, a)
			}
		}
		got.Since = got.Since[max(0, len(got.Since)-100):]
	case current > 0 && !ownOnly(office, o.configs[current], c):
		got = controller.Applied{State: controller.Rejected, Version: current}
	default:
		o.accepted = append(o.accepted, controller.Change{Version: index, Office: office, ChangeID: id})
		o.configs[index] = c
	}
	o.answers[k] = got
	return got
}

// ownOnly reports whether both configurations agree on all workspaces that
// the office does not own.
func ownOnly(office string, a, b declarer.Config) bool {
	others := func(c declarer.Config) map[string]string {
		out := map[string]string{}
		for _, w := range c.Workspaces {
			if w.Owner != office {
				out[w.Name] = fmt.Sprint(w)
			}
		}
		return out
	}
	before, after := others(a), others(b)
	for _, w := range a.Workspaces {
		if w.Owner == office {
			delete(after, w.Name) // Its owner may hand it over.
		}
	}
	return fmt.Sprint(before) == fmt.Sprint(after)
}

// edit returns a configuration that differs from c in one workspace.
func edit(rng *rand.Rand, c declarer.Config, office string) declarer.Config {
	c.Workspaces = slices.Clone(c.Workspaces)
	owner := office
	if rng.IntN(6) == 0 {
		owner = "other"
	}
	w := workspace(fmt.Sprintf("w%d", rng.IntN(6)), owner, fmt.Sprint(rng.IntN(1000)))
	i := slices.IndexFunc(c.Workspaces, func(x declarer.Workspace) bool { return x.Name == w.Name })
	switch {
	case i < 0:
		c.Workspaces = append(c.Workspaces, w)
	case rng.IntN(3) == 0:
		c.Workspaces = slices.Delete(c.Workspaces, i, i+1)
	default:
		c.Workspaces[i] = w
	}
	return c
}

var _ = Describe("Apply", func() {
	// Guards against two racing offices that both win, a change that is lost
	// or taken twice when its answer was lost, a resend that gets another
	// answer after later changes or a restored snapshot, and an office that
	// changes what the other one owns.
	It("decides as the naive model, under races and resends", func() {
		const seed, steps = 29, 4000
		rng := rand.New(rand.NewPCG(seed, seed))
		b := newBench(nil)
		naive := &offices{configs: map[uint64]declarer.Config{}, answers: map[string]controller.Applied{}, sent: map[string]string{}}
		type sent struct {
			office, id string
			base       uint64
			config     declarer.Config
		}
		var log []sent
		seen := map[controller.ApplyState]int{}
		for step := range steps {
			d := b.Declared()
			s := sent{office: []string{"a", "b"}[rng.IntN(2)], id: fmt.Sprint(rng.IntN(steps)), base: d.Version}
			if n := len(naive.accepted); n > 1 && rng.IntN(3) == 0 {
				s.base = naive.accepted[n-2].Version // It races with the newest change.
			}
			s.config = edit(rng, naive.configs[s.base], s.office)
			if len(log) > 0 && rng.IntN(3) == 0 {
				s = log[rng.IntN(len(log))]
			}
			log = append(log, s)
			got := b.apply(s.office, s.id, s.base, s.config)
			want := naive.decide(b.index, s.office, s.id, s.base, s.config)
			at := fmt.Sprintf("seed %d, step %d: %v", seed, step, got.Faults)
			Expect(got.State).To(Equal(want.State), at)
			seen[got.State]++
			if want.State != controller.Reused {
				Expect(got.Version).To(Equal(want.Version), at)
				Expect(got.Since).To(HaveLen(len(want.Since)), at)
			}
			for i, c := range got.Since {
				Expect([]any{c.Version, c.Office, c.ChangeID}).To(Equal(
					[]any{want.Since[i].Version, want.Since[i].Office, want.Since[i].ChangeID}), at)
			}
			if rng.IntN(200) == 0 {
				snap, err := b.Snapshot()
				Expect(err).NotTo(HaveOccurred())
				b.Machine = controller.New(nil)
				Expect(b.Restore(snap)).To(Succeed())
			}
		}
		for _, s := range []controller.ApplyState{controller.Accepted, controller.Conflict, controller.Rejected, controller.Reused} {
			Expect(seen[s]).To(BeNumerically(">", 50), string(s))
		}
	})

	// Guards against a configuration of which only a part takes effect, and
	// against an operator who is shown one fault at a time.
	It("refuses an invalid configuration whole with all faults", func() {
		b := newBench(func(c declarer.Config) []string { return []string{"first", "second"} })
		before := b.View()
		c := declarer.Config{
			Workspaces: []declarer.Workspace{workspace("w", "a", ""), workspace("w", "a", "")},
			Models:     []declarer.Model{model("m", "b", "v1", "v1")},
			Rollouts:   []declarer.Rollout{rollout("m", "a", "v1", 1)},
		}
		got := b.apply("a", "1", 0, c)
		Expect(got.State).To(Equal(controller.Rejected))
		Expect(got.Faults).To(HaveLen(4))
		Expect(b.View()).To(Equal(before))
	})

	DescribeTable("refuses a change that is not whole", func(damage func(*controller.Apply)) {
		b := newBench(nil)
		a := change("a", "1", 0, declarer.Config{})
		damage(a)
		Expect(b.do(controller.Item{Apply: a})[0].Apply.State).To(Equal(controller.Rejected))
	},
		Entry("no office", func(a *controller.Apply) { a.Office = "" }),
		Entry("no change ID", func(a *controller.Apply) { a.ChangeID = "" }),
		Entry("other bytes than the digest", func(a *controller.Apply) { a.Config = append(a.Config, 0) }),
	)
})

var _ = Describe("Promote", func() {
	var b *bench
	conf := declarer.Config{
		Models:   []declarer.Model{model("m", "a", "v1", "v1", "v2")},
		Rollouts: []declarer.Rollout{rollout("m", "a", "v2", 0.1, 0.5, 1)},
	}
	step := func(a controller.PromoteAction, stage int) *controller.Promoted {
		p := &controller.Promote{Model: "m", Version: "v2", Action: a, Stage: stage, Reason: "errors"}
		return b.do(controller.Item{Promote: p})[0].Promote
	}
	next := func(id string, edit func(*declarer.Config)) *controller.Applied {
		c := b.Declared().Config
		c.Rollouts = slices.Clone(c.Rollouts)
		edit(&c)
		return b.apply("a", id, b.Declared().Version, c)
	}
	withdraw := func(c *declarer.Config) {
		c.Withdrawals = []declarer.Withdrawal{{Model: "m", Version: "v2", Intent: declarer.Intent{Owner: "a"}}}
	}
	stable := func() string { return b.View().Config.Models[0].Stable }
	q := func(v string, back, last bool) bool {
		x := &controller.Quarantine{Ref: declarer.VersionRef{Model: "m", Version: v}, Return: back, Last: last}
		return b.do(controller.Item{Quarantine: x})[0].Quarantine.OK
	}

	BeforeEach(func() {
		b = newBench(nil)
		Expect(b.apply("a", "0", 0, conf).State).To(Equal(controller.Accepted))
	})

	It("goes through the stages and makes the version stable", func() {
		Expect(step(controller.Done, 0).OK).To(BeFalse())
		Expect(step(controller.Advance, 0).Progress.Share).To(Equal(0.5))
		Expect(step(controller.Advance, 0).OK).To(BeFalse(), "a step that arrives twice does nothing")
		Expect(step(controller.Advance, 1).OK).To(BeTrue())
		Expect(step(controller.Advance, 2).OK).To(BeFalse(), "there is no stage after the last")
		Expect(stable()).To(Equal("v1"))
		Expect(step(controller.Done, 2).OK).To(BeTrue())
		Expect(stable()).To(Equal("v2"))
		Expect(b.Declared().Config.Models[0].Stable).To(Equal("v1"), "the declared text stays")
	})

	// Guards against a version that comes back after its guard stopped it.
	It("never resumes a halted rollout without a new declaration", func() {
		Expect(step(controller.Halt, 0).OK).To(BeTrue())
		Expect(step(controller.Advance, 0).OK).To(BeFalse())
		Expect(step(controller.Done, 0).OK).To(BeFalse())
		next("1", func(c *declarer.Config) { c.Workspaces = []declarer.Workspace{workspace("w", "a", "")} })
		Expect(b.View().Progress[0].State).To(Equal(declarer.RolloutHalted))
		next("2", func(c *declarer.Config) { c.Rollouts[0].Why = "fixed" })
		Expect(b.View().Progress[0].State).To(Equal(declarer.RolloutRunning))
	})

	// Guards against a step that was decided on an earlier rollout.
	It("refuses a step of an earlier declaration", func() {
		since := b.View().Progress[0].Since
		b.at = b.at.Add(time.Minute)
		next("1", func(c *declarer.Config) { c.Rollouts[0].Why = "again" })
		p := &controller.Promote{Model: "m", Version: "v2", Action: controller.Advance, Since: since}
		Expect(b.do(controller.Item{Promote: p})[0].Promote.OK).To(BeFalse())
	})

	// Guards against a withdrawn version that is promoted or stays in use.
	It("halts the rollout of a withdrawn version, even a finished one", func() {
		next("1", withdraw)
		Expect(b.View().Progress[0].State).To(Equal(declarer.RolloutHalted))
		Expect(b.View().Progress[0].Share).To(BeZero())
		Expect(step(controller.Advance, 0).OK).To(BeFalse())
		next("2", func(c *declarer.Config) { c.Withdrawals = nil; c.Rollouts[0].Why = "mended" })
		step(controller.Advance, 0)
		step(controller.Advance, 1)
		step(controller.Done, 2)
		Expect(stable()).To(Equal("v2"))
		next("3", withdraw)
		Expect(stable()).To(Equal("v1"))
	})

	// Guards against a withdrawal that is said to be in force for the version
	// of an earlier or an unrelated change.
	It("tells the version that brought a withdrawal", func() {
		v2 := declarer.VersionRef{Model: "m", Version: "v2"}
		first := next("1", withdraw).Version
		next("2", func(c *declarer.Config) { c.Workspaces = []declarer.Workspace{workspace("w", "a", "")} })
		Expect(b.WithdrawnAt(v2)).To(Equal(first))
		next("3", func(c *declarer.Config) { c.Withdrawals = nil })
		again := next("4", withdraw).Version
		Expect(b.WithdrawnAt(v2)).To(Equal(again))
		many := next("5", func(c *declarer.Config) {
			for i := range 500 {
				c.Workspaces = append(c.Workspaces, workspace(fmt.Sprint("w", i), "a", ""))
			}
		}).Version
		Expect(b.WithdrawnAt(v2)).To(Equal(many), "its list is shortened")
	})

	// Guards against a model that falls back to its old version because the
	// finished rollout was taken out of the text.
	It("wants the version as stable before a finished rollout ends", func() {
		step(controller.Advance, 0)
		step(controller.Advance, 1)
		step(controller.Done, 2)
		Expect(next("1", func(c *declarer.Config) { c.Rollouts = nil }).State).To(Equal(controller.Rejected))
		got := next("2", func(c *declarer.Config) {
			c.Rollouts = nil
			c.Models = []declarer.Model{model("m", "a", "v2", "v1", "v2")}
		})
		Expect(got.State).To(Equal(controller.Accepted))
		Expect(stable()).To(Equal("v2"))
	})

	// Guards against a model without a usable version, and against a
	// quarantined version that is promoted.
	It("quarantines all versions but the last", func() {
		Expect(q("v9", false, false)).To(BeFalse())
		Expect(q("v2", false, false)).To(BeTrue())
		Expect(step(controller.Advance, 0).OK).To(BeFalse())
		Expect(q("v1", false, false)).To(BeFalse())
		Expect(q("v2", true, false)).To(BeTrue())
		Expect(b.View().Quarantined).To(BeEmpty())
		next("1", func(c *declarer.Config) { c.Rollouts = nil })
		Expect(q("v1", false, false)).To(BeTrue())
		Expect(q("v2", false, false)).To(BeFalse())
		Expect(q("v2", false, true)).To(BeTrue())
		Expect(b.View().Quarantined).To(HaveLen(2))
	})

	// Guards against a quarantine that leaves a halted version as the only
	// one, which may not run, or sends all requests to a version in rollout,
	// past its budget.
	DescribeTable("counts a version as a replacement once its rollout is done", func(allowed bool, steps ...controller.PromoteAction) {
		for i, a := range steps {
			Expect(step(a, i).OK).To(BeTrue())
		}
		Expect(q("v1", false, false)).To(Equal(allowed))
		Expect(q("v1", false, true)).To(BeTrue())
	},
		Entry("first stage", false),
		Entry("last stage", false, controller.Advance, controller.Advance),
		Entry("halted", false, controller.Halt),
		Entry("done", true, controller.Advance, controller.Advance, controller.Done),
	)
})
