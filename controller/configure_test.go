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

// referenceModel is a simple model of configuration changes: it stores every
// accepted configuration in full and never evicts an answer.
type referenceModel struct {
	accepted []controller.Change
	configs  map[uint64]declarer.Config
	answers  map[string]controller.ApplyResult
	sent     map[string]string
}

// decide returns the expected answer to a change. An office may change only its
// own workspaces.
func (o *referenceModel) decide(index uint64, office, id string, base uint64, c declarer.Config) controller.ApplyResult {
	k, content := office+"/"+id, fmt.Sprint(base, c)
	if old, ok := o.answers[k]; ok {
		if o.sent[k] != content {
			return controller.ApplyResult{State: controller.Reused}
		}
		return old
	}
	o.sent[k] = content
	current := uint64(0)
	if n := len(o.accepted); n > 0 {
		current = o.accepted[n-1].Version
	}
	got := controller.ApplyResult{State: controller.Accepted, Version: index}
	switch {
	case base != current:
		got = controller.ApplyResult{State: controller.Conflict, Version: current}
		for _, a := range o.accepted {
			if a.Version > base {
				got.Since = append(got.Since, a)
			}
		}
		got.Since = got.Since[max(0, len(got.Since)-100):]
	case current > 0 && !onlyOwnChanges(office, o.configs[current], c):
		got = controller.ApplyResult{State: controller.Rejected, Version: current}
	default:
		o.accepted = append(o.accepted, controller.Change{Version: index, Office: office, ChangeID: id})
		o.configs[index] = c
	}
	o.answers[k] = got
	return got
}

// onlyOwnChanges reports whether all differences between a and b are in
// workspaces that the office owned in a or adds as its own.
func onlyOwnChanges(office string, a, b declarer.Config) bool {
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
			delete(after, w.Name) // The owner may transfer it to another office.
		}
	}
	return fmt.Sprint(before) == fmt.Sprint(after)
}

// editWorkspace returns a copy of c in which one workspace is added, changed or
// removed.
func editWorkspace(rng *rand.Rand, c declarer.Config, office string) declarer.Config {
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
	// Guards against two racing changes that are both accepted, a change that
	// is lost or applied twice when its answer is lost, a resend that gets a
	// different answer after later changes or a restore, and an office that
	// changes another office's declarations.
	It("agrees with the reference model under races and resends", func() {
		const seed, steps = 29, 4000
		rng := rand.New(rand.NewPCG(seed, seed))
		b := newLoggedMachine(nil)
		reference := &referenceModel{configs: map[uint64]declarer.Config{}, answers: map[string]controller.ApplyResult{}, sent: map[string]string{}}
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
			if n := len(reference.accepted); n > 1 && rng.IntN(3) == 0 {
				s.base = reference.accepted[n-2].Version // Races with the newest change.
			}
			s.config = editWorkspace(rng, reference.configs[s.base], s.office)
			if len(log) > 0 && rng.IntN(3) == 0 {
				s = log[rng.IntN(len(log))]
			}
			log = append(log, s)
			got := b.apply(s.office, s.id, s.base, s.config)
			want := reference.decide(b.index, s.office, s.id, s.base, s.config)
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

	// Guards against a configuration that is partly applied, and against an
	// answer that lists only the first fault.
	It("rejects an invalid configuration as a whole and lists all faults", func() {
		b := newLoggedMachine(func(c declarer.Config) []string { return []string{"first", "second"} })
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

	DescribeTable("rejects an incomplete or corrupt change", func(damage func(*controller.Apply)) {
		b := newLoggedMachine(nil)
		a := newApply("a", "1", 0, declarer.Config{})
		damage(a)
		Expect(b.applyEntry(controller.Item{Apply: a})[0].Apply.State).To(Equal(controller.Rejected))
	},
		Entry("no office", func(a *controller.Apply) { a.Office = "" }),
		Entry("no change ID", func(a *controller.Apply) { a.ChangeID = "" }),
		Entry("digest of other content", func(a *controller.Apply) { a.Config = append(a.Config, 0) }),
	)
})

var _ = Describe("Promote", func() {
	var b *loggedMachine
	conf := declarer.Config{
		Models:   []declarer.Model{model("m", "a", "v1", "v1", "v2")},
		Rollouts: []declarer.Rollout{rollout("m", "a", "v2", 0.1, 0.5, 1)},
	}
	step := func(a controller.PromoteAction, stage int) *controller.PromoteResult {
		p := &controller.Promote{Model: "m", Version: "v2", Action: a, Stage: stage, Reason: "errors"}
		return b.applyEntry(controller.Item{Promote: p})[0].Promote
	}
	change := func(id string, edit func(*declarer.Config)) *controller.ApplyResult {
		c := b.Declared().Config
		c.Rollouts = slices.Clone(c.Rollouts)
		edit(&c)
		return b.apply("a", id, b.Declared().Version, c)
	}
	withdraw := func(c *declarer.Config) {
		c.Withdrawals = []declarer.Withdrawal{{Model: "m", Version: "v2", Intent: declarer.Intent{Owner: "a"}}}
	}
	stable := func() string { return b.View().Config.Models[0].Stable }
	quarantine := func(v string, back, last bool) bool {
		x := &controller.Quarantine{Ref: declarer.VersionRef{Model: "m", Version: v}, Return: back, AllowLast: last}
		return b.applyEntry(controller.Item{Quarantine: x})[0].Quarantine.OK
	}

	BeforeEach(func() {
		b = newLoggedMachine(nil)
		Expect(b.apply("a", "0", 0, conf).State).To(Equal(controller.Accepted))
	})

	It("goes through the stages and makes the version stable", func() {
		Expect(step(controller.Done, 0).OK).To(BeFalse())
		Expect(step(controller.Advance, 0).Progress.Share).To(Equal(0.5))
		Expect(step(controller.Advance, 0).OK).To(BeFalse(), "a repeated step has no effect")
		Expect(step(controller.Advance, 1).OK).To(BeTrue())
		Expect(step(controller.Advance, 2).OK).To(BeFalse(), "there is no stage after the last")
		Expect(stable()).To(Equal("v1"))
		Expect(step(controller.Done, 2).OK).To(BeTrue())
		Expect(stable()).To(Equal("v2"))
		Expect(b.Declared().Config.Models[0].Stable).To(Equal("v1"), "the declared configuration is unchanged")
	})

	// Guards against a version that is rolled out again after its guard halted
	// the rollout.
	It("never resumes a halted rollout without a new declaration", func() {
		Expect(step(controller.Halt, 0).OK).To(BeTrue())
		Expect(step(controller.Advance, 0).OK).To(BeFalse())
		Expect(step(controller.Done, 0).OK).To(BeFalse())
		change("1", func(c *declarer.Config) { c.Workspaces = []declarer.Workspace{workspace("w", "a", "")} })
		Expect(b.View().Progress[0].State).To(Equal(declarer.RolloutHalted))
		change("2", func(c *declarer.Config) { c.Rollouts[0].Why = "fixed" })
		Expect(b.View().Progress[0].State).To(Equal(declarer.RolloutRunning))
	})

	// Guards against a late step that was meant for an earlier rollout of the
	// same version.
	It("refuses a step based on an earlier declaration", func() {
		since := b.View().Progress[0].Since
		b.at = b.at.Add(time.Minute)
		change("1", func(c *declarer.Config) { c.Rollouts[0].Why = "again" })
		p := &controller.Promote{Model: "m", Version: "v2", Action: controller.Advance, Since: since}
		Expect(b.applyEntry(controller.Item{Promote: p})[0].Promote.OK).To(BeFalse())
	})

	// Guards against a withdrawn version that is promoted or stays in use.
	It("halts the rollout of a withdrawn version, even a finished one", func() {
		change("1", withdraw)
		Expect(b.View().Progress[0].State).To(Equal(declarer.RolloutHalted))
		Expect(b.View().Progress[0].Share).To(BeZero())
		Expect(step(controller.Advance, 0).OK).To(BeFalse())
		change("2", func(c *declarer.Config) { c.Withdrawals = nil; c.Rollouts[0].Why = "fixed" })
		step(controller.Advance, 0)
		step(controller.Advance, 1)
		step(controller.Done, 2)
		Expect(stable()).To(Equal("v2"))
		change("3", withdraw)
		Expect(stable()).To(Equal("v1"))
	})

	// Guards against reporting the configuration version of an earlier or
	// unrelated change for a withdrawal.
	It("returns the configuration version that added a withdrawal", func() {
		v2 := declarer.VersionRef{Model: "m", Version: "v2"}
		first := change("1", withdraw).Version
		change("2", func(c *declarer.Config) { c.Workspaces = []declarer.Workspace{workspace("w", "a", "")} })
		Expect(b.WithdrawnAt(v2)).To(Equal(first))
		change("3", func(c *declarer.Config) { c.Withdrawals = nil })
		again := change("4", withdraw).Version
		Expect(b.WithdrawnAt(v2)).To(Equal(again))
		many := change("5", func(c *declarer.Config) {
			for i := range 500 {
				c.Workspaces = append(c.Workspaces, workspace(fmt.Sprint("w", i), "a", ""))
			}
		}).Version
		Expect(b.WithdrawnAt(v2)).To(Equal(many), "the change's list is truncated")
	})

	// Guards against a model that goes back to its old version because the
	// finished rollout was removed from the configuration.
	It("rejects the removal of a finished rollout until its version is declared stable", func() {
		step(controller.Advance, 0)
		step(controller.Advance, 1)
		step(controller.Done, 2)
		Expect(change("1", func(c *declarer.Config) { c.Rollouts = nil }).State).To(Equal(controller.Rejected))
		got := change("2", func(c *declarer.Config) {
			c.Rollouts = nil
			c.Models = []declarer.Model{model("m", "a", "v2", "v1", "v2")}
		})
		Expect(got.State).To(Equal(controller.Accepted))
		Expect(stable()).To(Equal("v2"))
	})

	// Guards against a model without a usable version, and against the
	// promotion of a quarantined version.
	It("refuses to quarantine the last usable version unless allowed", func() {
		Expect(quarantine("v9", false, false)).To(BeFalse())
		Expect(quarantine("v2", false, false)).To(BeTrue())
		Expect(step(controller.Advance, 0).OK).To(BeFalse())
		Expect(quarantine("v1", false, false)).To(BeFalse())
		Expect(quarantine("v2", true, false)).To(BeTrue())
		Expect(b.View().Quarantined).To(BeEmpty())
		change("1", func(c *declarer.Config) { c.Rollouts = nil })
		Expect(quarantine("v1", false, false)).To(BeTrue())
		Expect(quarantine("v2", false, false)).To(BeFalse())
		Expect(quarantine("v2", false, true)).To(BeTrue())
		Expect(b.View().Quarantined).To(HaveLen(2))
	})

	// Guards against a quarantine that leaves only the version of a halted
	// rollout, which may not run, or sends all requests to a version in rollout
	// beyond its budget.
	DescribeTable("counts a version as a replacement once its rollout is done", func(allowed bool, steps ...controller.PromoteAction) {
		for i, a := range steps {
			Expect(step(a, i).OK).To(BeTrue())
		}
		Expect(quarantine("v1", false, false)).To(Equal(allowed))
		Expect(quarantine("v1", false, true)).To(BeTrue())
	},
		Entry("first stage", false),
		Entry("last stage", false, controller.Advance, controller.Advance),
		Entry("halted", false, controller.Halt),
		Entry("done", true, controller.Advance, controller.Advance, controller.Done),
	)
})
