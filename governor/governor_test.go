package governor_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/declarer"
	"foxtailwall/governor"
	"foxtailwall/relayer"
	"foxtailwall/timekeeper"
)

const seed = 5

func TestGovernor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "governor")
}

// fixture runs a governor that always leads on a state machine.
type fixture struct {
	clock   *timekeeper.Fake
	machine *controller.Machine
	gov     *governor.Governor
	index   uint64
	rng     *rand.Rand
	term    uint64
	// noQuorum makes proposals fail.
	noQuorum bool
	// quarantines counts the proposed quarantines of each version.
	quarantines map[declarer.VersionRef]int
}

func newFixture(conf declarer.Config) *fixture {
	f := &fixture{
		clock: timekeeper.NewFake(time.Unix(1e9, 0).UTC()), machine: controller.New(nil),
		rng: rand.New(rand.NewPCG(seed, seed)), term: 1,
		quarantines: make(map[declarer.VersionRef]int),
	}
	f.changeLeader()
	change, err := controller.NewApply("north", "first", 0, conf)
	Expect(err).NotTo(HaveOccurred())
	a, err := f.propose(context.Background(), controller.Item{Apply: &change})
	Expect(err).NotTo(HaveOccurred())
	Expect(a.Apply.State).To(Equal(controller.Accepted))
	return f
}

// changeLeader replaces the governor by one without statistics, as on a new
// leader.
func (f *fixture) changeLeader() {
	f.term++
	f.gov = governor.New(governor.Settings{
		View: f.machine.View, Propose: f.propose, Clock: f.clock,
		Leading: func() (uint64, bool) { return f.term, true },
	})
}

// propose applies the item to the state machine as the next log entry.
func (f *fixture) propose(_ context.Context, it controller.Item) (controller.Answer, error) {
	if f.noQuorum {
		return controller.Answer{}, errors.New("no quorum")
	}
	if it.Quarantine != nil {
		f.quarantines[it.Quarantine.Ref]++
	}
	f.index++
	cmd, err := controller.Encode(controller.Command{At: f.clock.Now(), Items: []controller.Item{it}})
	if err != nil {
		return controller.Answer{}, err
	}
	res, err := controller.Decode(f.machine.Apply(f.index, cmd))
	if err != nil {
		return controller.Answer{}, err
	}
	return res.Answers[0], nil
}

// runSecond simulates one second in which the version gets n requests, all of
// them rated, with the given pass rate.
func (f *fixture) runSecond(ref declarer.VersionRef, n int64, quality float64) {
	passed := int64(0)
	for range n {
		if f.rng.Float64() < quality {
			passed++
		}
	}
	f.gov.AddReports([]relayer.Report{{Model: ref.Model, Version: ref.Version, Requests: n, Rated: n, Passed: passed}})
	f.clock.Advance(time.Second)
	f.gov.Step(context.Background())
}

func (f *fixture) progress() declarer.Progress {
	Expect(f.machine.View().Progress).To(HaveLen(1))
	return f.machine.View().Progress[0]
}

func config(rollout bool) declarer.Config {
	b := declarer.New("north")
	b.Model("m", "model", "v1").
		Version("v1", declarer.Price{}, 0.8).Version("v2", declarer.Price{}, 0.8)
	b.Workspace("w", "the only user").Allow("m")
	if rollout {
		b.Rollout("m", "v2", "newer").
			Guard(declarer.Guard{MinQuality: 0.7}).
			Stages(declarer.Stage{Share: 0.1, Soak: 5 * time.Second, Budget: 400}, declarer.Stage{Share: 1, Soak: 5 * time.Second, Budget: 4000})
	}
	return b.Config()
}

var _ = Describe("Governor", func() {
	v1 := declarer.VersionRef{Model: "m", Version: "v1"}
	v2 := declarer.VersionRef{Model: "m", Version: "v2"}

	// Guards against a good version that is never promoted.
	It("advances a good version through all stages", func() {
		f := newFixture(config(true))
		for range 40 {
			f.runSecond(v2, 20, 0.85)
		}
		Expect(f.progress().State).To(Equal(declarer.RolloutDone))
	})

	// Guards against a bad version that gets more requests than the guard needs
	// to detect it.
	It("halts a bad version before its request budget is spent", func() {
		f := newFixture(config(true))
		sent := 0
		for f.progress().State == declarer.RolloutRunning && sent < 400 {
			f.runSecond(v2, 10, 0.3)
			sent += 10
		}
		Expect(f.progress().State).To(Equal(declarer.RolloutHalted))
		Expect(sent).To(BeNumerically("<", 400))
	})

	// Guards against a rollout that stops at a leader change, and against a new
	// leader that starts again from an earlier stage.
	It("continues a rollout after a leader change", func() {
		f := newFixture(config(true))
		for f.progress().Stage == 0 {
			f.runSecond(v2, 20, 0.85)
		}
		f.changeLeader()
		for range 40 {
			f.runSecond(v2, 20, 0.85)
			Expect(f.progress().Stage).To(Equal(1))
		}
		Expect(f.progress().State).To(Equal(declarer.RolloutDone))
	})

	// Guards against a version that degrades after its rollout and stays in use,
	// and against a model whose versions are all quarantined.
	It("quarantines a version that degrades, but not a model's last one", func() {
		f := newFixture(config(false))
		for range 60 {
			f.runSecond(v1, 20, 0.8)
		}
		Expect(f.machine.View().Quarantined).To(BeEmpty())
		for range 30 {
			f.runSecond(v1, 20, 0.2)
		}
		Expect(f.machine.View().Quarantined).To(ConsistOf(v1))
		for range 30 {
			f.runSecond(v2, 20, 0.2)
		}
		Expect(f.machine.View().Quarantined).To(ConsistOf(v1))
	})

	// Guards against a quarantine that never ends because the leader that
	// decided on it was replaced, and against one that ends at once.
	It("ends a quarantine after its hold time, also after a leader change", func() {
		f := newFixture(config(false))
		for range 30 {
			f.runSecond(v1, 20, 0.2)
		}
		f.changeLeader()
		f.runSecond(v1, 0, 0)
		Expect(f.machine.View().Quarantined).To(ConsistOf(v1))
		f.clock.Advance(time.Hour)
		f.runSecond(v1, 0, 0)
		Expect(f.machine.View().Quarantined).To(BeEmpty())
	})

	// Guards against the start or end of a quarantine being lost because the
	// control group was unreachable when it was decided.
	It("proposes the start and end of a quarantine again after a failed proposal", func() {
		f := newFixture(config(false))
		f.noQuorum = true
		for range 30 {
			f.runSecond(v1, 20, 0.2)
		}
		Expect(f.machine.View().Quarantined).To(BeEmpty())
		f.noQuorum = false
		f.runSecond(v1, 0, 0)
		Expect(f.machine.View().Quarantined).To(ConsistOf(v1))
		f.noQuorum = true
		f.clock.Advance(time.Hour)
		f.runSecond(v1, 0, 0)
		Expect(f.machine.View().Quarantined).To(ConsistOf(v1))
		f.noQuorum = false
		f.runSecond(v1, 0, 0)
		Expect(f.machine.View().Quarantined).To(BeEmpty())
	})

	// Guards against a refused quarantine that fills the log with an entry
	// each second, and against one that is never proposed again.
	It("proposes a refused quarantine again after a delay", func() {
		f := newFixture(config(false))
		for range 30 {
			f.runSecond(v1, 20, 0.2)
		}
		for range 120 {
			f.runSecond(v2, 20, 0.2)
		}
		Expect(f.machine.View().Quarantined).To(ConsistOf(v1))
		Expect(f.quarantines[v1]).To(Equal(1))
		Expect(f.quarantines[v2]).To(And(BeNumerically(">=", 3), BeNumerically("<=", 5)))
	})

	// Guards against a host that becomes leader again and repeats a quarantine
	// that another leader has ended in the meantime.
	It("takes the quarantines from the log when it becomes leader again", func() {
		f := newFixture(config(false))
		for range 30 {
			f.runSecond(v1, 20, 0.2)
		}
		Expect(f.machine.View().Quarantined).To(ConsistOf(v1))
		_, err := f.propose(context.Background(), controller.Item{Quarantine: &controller.Quarantine{Ref: v1, Return: true}})
		Expect(err).NotTo(HaveOccurred())
		f.term++
		f.runSecond(v1, 0, 0)
		Expect(f.machine.View().Quarantined).To(BeEmpty())
	})
})
