package isolator_test

import (
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/isolator"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

func TestIsolator(t *testing.T) {
	// The simulations keep little memory and allocate much: with the default, a third of
	// their time is garbage collection.
	debug.SetGCPercent(800)
	RegisterFailHandler(Fail)
	RunSpecs(t, "isolator")
}

// group is a leader and the hosts that report to it.
type group struct {
	clock  *timekeeper.Fake
	judge  *isolator.Judge
	hosts  []*isolator.Recorder
	active []controller.Isolation
	ids    int
}

func newGroup(hosts int) *group {
	g := &group{clock: timekeeper.NewFake(time.Unix(100, 0))}
	g.judge = isolator.NewJudge(g.clock)
	for range hosts {
		g.hosts = append(g.hosts, isolator.NewRecorder(g.clock))
	}
	return g
}

func part(id uint64) controller.PromptPart { return controller.PromptPart{Service: "s", ID: id} }

// newID returns a number that was not returned before.
func (g *group) newID() int { g.ids++; return g.ids }

// crash breaks one request with each of the prompts at a new engine, each at
// another host.
func (g *group) crash(prompts ...[]uint64) {
	upstream := tracker.Key{ID: fmt.Sprint("u", g.newID())}
	for i, parts := range prompts {
		g.hosts[i%len(g.hosts)].RecordBroken("s", upstream, uint64(g.newID()), parts)
	}
}

// exchange makes the reports and the judgement that follow within a second, and
// returns the parts that were isolated.
func (g *group) exchange() []uint64 {
	var out []uint64
	for range 10 {
		before := len(g.active)
		g.exchangeOnce()
		for _, i := range g.active[before:] {
			out = append(out, i.Part.ID)
		}
	}
	return out
}

// exchangeOnce makes the reports and the judgement of 0.1 s.
func (g *group) exchangeOnce() {
	g.clock.Advance(100 * time.Millisecond)
	for _, h := range g.hosts {
		g.judge.Add(h.Evidence())
		h.SetSuspects(g.judge.Suspects())
	}
	g.judge.SetIsolations(g.active)
	g.apply(g.judge.Next())
	g.apply(g.judge.Trials())
}

// apply applies steps, as the replicated log does, and tells the hosts.
func (g *group) apply(steps []controller.IsolationStep) {
	for _, st := range steps {
		active := slices.Clone(g.active)
		i := slices.IndexFunc(active, func(i controller.Isolation) bool { return i.Part == st.Part && i.Active })
		switch {
		case st.End:
			active = slices.Delete(active, i, i+1)
		case i < 0:
			n := controller.Isolation{Part: st.Part, Active: true, Since: g.clock.Now(), Held: st.Hold}
			if st.Hold {
				n.Trials, n.TrialBy = 1, st.Trial
			}
			active = append(active, n)
		case st.Trial != 0:
			active[i].Trials, active[i].TrialBy = active[i].Trials+1, st.Trial
		default:
			active[i].Held = false
		}
		g.active = active
		for _, h := range g.hosts {
			h.SetIsolations(active)
		}
	}
}

var _ = Describe("Judge", func() {
	// Guards against innocent parts that are isolated because every crash breaks
	// requests with them too.
	It("isolates the part that was there at every crash and never succeeded", func() {
		g := newGroup(3)
		g.hosts[2].RecordSuccess("s", []uint64{1, 2}, g.clock.Now())
		for i := range uint64(4) {
			g.crash([]uint64{1, 10 + i, 666}, []uint64{1, 20 + i}, []uint64{2, 30 + i})
		}
		g.clock.Advance(10 * time.Millisecond)
		g.hosts[1].RecordSuccess("s", []uint64{1, 40}, g.clock.Now())
		Expect(g.exchange()).To(Equal([]uint64{666}))
		Expect(g.exchange()).To(BeEmpty())
	})

	// Guards against crashes that are counted against the other parts of requests
	// after the part that caused them is isolated, from late reports as well.
	It("drops the crashes that an isolated part explains", func() {
		g := newGroup(2)
		for range 4 {
			g.crash([]uint64{1, 666}, []uint64{5})
		}
		g.crash([]uint64{2, 666}, []uint64{6})
		Expect(g.exchange()).To(Equal([]uint64{666}))
		for range 4 {
			// Requests with the part that were already at engines.
			g.crash([]uint64{1, 666}, []uint64{5})
		}
		for range 5 {
			Expect(g.exchange()).To(BeEmpty())
		}
	})

	// Guards against a request whose engines crash under others one after the
	// other, and whose own parts are then isolated.
	It("counts a request that several engines broke off once", func() {
		g := newGroup(1)
		for i := range 6 {
			g.hosts[0].RecordBroken("s", tracker.Key{ID: fmt.Sprint("u", i)}, 1, []uint64{7})
		}
		Expect(g.exchange()).To(BeEmpty())
	})

	// Guards against a part that is isolated for the crashes before its last
	// success, which hosts report for some seconds.
	It("clears a part of the crashes before a success", func() {
		g := newGroup(2)
		for range 4 {
			g.crash([]uint64{7})
		}
		g.clock.Advance(10 * time.Millisecond)
		g.hosts[1].RecordSuccess("s", []uint64{7}, g.clock.Now())
		for range 4 {
			Expect(g.exchange()).To(BeEmpty())
		}
		for range 3 {
			g.crash([]uint64{7})
		}
		Expect(g.exchange()).To(BeEmpty())
		g.crash([]uint64{7})
		Expect(g.exchange()).To(Equal([]uint64{7}))
	})

	// Guards against a part, or a request, that crashes upstreams and is cleared again and
	// again by responses that end after the crashes and whose attempts were sent before.
	It("clears no crash after the start of the attempt that succeeded", func() {
		g := newGroup(2)
		before := g.clock.Now()
		for i := range 4 {
			g.clock.Advance(50 * time.Millisecond)
			g.crash([]uint64{7})
			g.hosts[0].RecordBrokenRequest(isolator.BrokenRequest{Service: "s", Content: 8, Upstream: tracker.Key{ID: fmt.Sprint("v", i)}, ID: fmt.Sprint(i), Attempt: 1})
		}
		g.clock.Advance(10 * time.Millisecond)
		g.hosts[1].RecordSuccess("s", []uint64{7}, before)
		g.hosts[1].RecordRequestSuccess("s", 8, before)
		Expect(g.exchange()).To(ConsistOf(uint64(7), uint64(8)))

		By("an attempt that was sent after the crashes and succeeded before another one")
		g = newGroup(2)
		for range 4 {
			g.crash([]uint64{7})
		}
		g.clock.Advance(10 * time.Millisecond)
		g.hosts[1].RecordSuccess("s", []uint64{7}, g.clock.Now())
		g.clock.Advance(10 * time.Millisecond)
		g.hosts[1].RecordSuccess("s", []uint64{7}, before)
		Expect(g.exchange()).To(BeEmpty())
	})

	// Guards against a part that is never isolated because many more engines crash
	// under it, before hosts could clear it, than are counted.
	It("isolates a part under which many engines crash at once", func() {
		g := newGroup(20)
		for range 200 {
			g.crash([]uint64{1, 666}, []uint64{2})
		}
		g.clock.Advance(10 * time.Millisecond)
		g.hosts[0].RecordSuccess("s", []uint64{1, 2}, g.clock.Now())
		Expect(g.exchange()).To(Equal([]uint64{666}))
	})

	// Guards against isolating a part that many requests share because some engines
	// reset connections all the time: there are always crashes after the newest
	// success that the leader knows of.
	It("isolates no part with which requests succeed between crashes", func() {
		g := newGroup(3)
		for step := range 300 {
			h := g.hosts[step%3]
			g.clock.Advance(100 * time.Millisecond)
			h.RecordSuccess("s", []uint64{1}, g.clock.Now())
			g.clock.Advance(time.Millisecond)
			for range 6 {
				h.RecordBroken("s", tracker.Key{ID: fmt.Sprint("u", g.newID())}, uint64(g.newID()), []uint64{1})
			}
			g.judge.Add(h.Evidence())
			h.SetSuspects(g.judge.Suspects())
			Expect(g.judge.Next()).To(BeEmpty(), "after %d steps", step)
		}
	})

	// Guards against isolating a part for engines that reset some of their requests
	// but go on serving others.
	It("does not count engines that break requests for long as crashed", func() {
		g := newGroup(2)
		for range 10 {
			for engine := range 8 {
				g.hosts[engine%2].RecordBroken("s", tracker.Key{ID: fmt.Sprint("u", engine)}, uint64(g.newID()), []uint64{7})
			}
			for range 5 {
				g.exchangeOnce()
			}
		}
		Expect(g.active).To(BeEmpty())
	})

	// Guards against isolating the part that most requests share when it and a
	// rarer one were there at the same crashes.
	It("prefers the part that comes last in prompts", func() {
		g := newGroup(1)
		for range 4 {
			g.crash([]uint64{1, 666})
		}
		Expect(g.exchange()).To(BeEmpty(), "both were there at all crashes")
		g.crash([]uint64{1, 666})
		Expect(g.exchange()).To(Equal([]uint64{666}))
	})

	// Guards against a part that is never isolated because another one, which is rare
	// among all crashes, was there at more of them.
	It("isolates a part although a rarer one was there at more crashes", func() {
		g := newGroup(2)
		for i := range uint64(6) {
			g.crash([]uint64{5, 100 + i})
			for j := range uint64(5) {
				g.crash([]uint64{200 + 10*i + j})
			}
			Expect(g.exchange()).To(BeEmpty())
		}
		for i := range uint64(4) {
			g.crash([]uint64{300 + i, 666})
		}
		Expect(g.exchange()).To(Equal([]uint64{666}))
	})

	// Guards against a part that crashes many engines again after its isolation
	// has ended.
	It("isolates a part again after one crash", func() {
		g := newGroup(2)
		g.active = []controller.Isolation{{Part: part(666), Times: 1}}
		g.judge.SetIsolations(g.active)
		g.crash([]uint64{1, 666}, []uint64{1, 5})
		Expect(g.exchange()).To(Equal([]uint64{666}))
	})

	// Guards against evidence of an earlier lead that is used in a later one.
	It("keeps no evidence after a reset", func() {
		g := newGroup(1)
		for range 4 {
			g.crash([]uint64{7})
		}
		g.judge.Add(g.hosts[0].Evidence())
		g.judge.Reset()
		Expect(g.judge.Suspects()).To(BeEmpty())
	})
})

// fleet simulates engines that serve prompts of three parts for some seconds.
type fleet struct {
	*group
	rng *rand.Rand
	// running has the prompts at each engine.
	running [18][]runningPrompt
}

type runningPrompt struct {
	parts  []uint64
	sentAt time.Time
}

// prompt returns one of four first parts, which many requests share, and one of
// 2,000 further parts, which few do.
func (f *fleet) prompt() []uint64 { return []uint64{1 + f.rng.Uint64N(4), 100 + f.rng.Uint64N(2000)} }

// send lets a host send a prompt to an engine.
func (f *fleet) send(prompt []uint64) runningPrompt {
	f.hosts[f.rng.IntN(len(f.hosts))].RecordSent("s", prompt)
	return runningPrompt{prompt, f.clock.Now()}
}

// step lets 6 requests begin, which takes about 0.1 s at 60 a second, and a third
// of those that run succeed.
func (f *fleet) step() {
	for range 6 {
		e := f.rng.IntN(len(f.running))
		f.running[e] = append(f.running[e], f.send(f.prompt()))
	}
	for e, prompts := range f.running {
		var rest []runningPrompt
		for _, p := range prompts {
			if f.rng.IntN(3) > 0 {
				rest = append(rest, p)
				continue
			}
			host := f.hosts[f.rng.IntN(len(f.hosts))]
			host.RecordSuccess("s", p.parts, p.sentAt)
			host.RecordAnswered("s", p.sentAt)
		}
		f.running[e] = rest
	}
}

// crashEngine breaks everything that runs at one engine.
func (f *fleet) crashEngine(e int) {
	var prompts [][]uint64
	for _, p := range f.running[e] {
		prompts = append(prompts, p.parts)
	}
	f.crash(prompts...)
	f.running[e] = nil
}

// Guards against a judgement that comes too late, misses the part, or isolates
// innocent ones under a load in which every crash breaks many requests.
var _ = Describe("A fleet of engines", func() {
	const contact = 30 // steps of 0.1 s until hosts in touch must refuse the part
	It("loses few engines to a crashing part and isolates no other", func() {
		for seed := range uint64(100) {
			f := &fleet{group: newGroup(6), rng: rand.New(rand.NewPCG(seed, 23))}
			for range 20 {
				f.step()
				f.exchangeOnce()
			}
			fifth := -1
			for step, crashes := 0, 0; step < 200; step++ {
				if !f.isolated(666) && f.rng.IntN(2) == 0 {
					e := f.rng.IntN(len(f.running))
					f.running[e] = append(f.running[e], f.send(append(f.prompt(), 666)))
					f.crashEngine(e)
					if crashes++; crashes == 5 {
						fifth = step
					}
					Expect(fifth < 0 || step-fifth < contact).To(BeTrue(), "seed %d", seed)
				}
				f.step()
				f.exchangeOnce()
			}
			Expect(f.active).To(HaveLen(1), "seed %d", seed)
			Expect(f.isolated(666)).To(BeTrue(), "seed %d", seed)
		}
	})

	It("finds two crashing parts at once while engines crash for other reasons", func() {
		for seed := range uint64(100) {
			f := &fleet{group: newGroup(6), rng: rand.New(rand.NewPCG(seed, 25))}
			for step := range 300 {
				for i, id := range []uint64{666, 667} {
					if !f.isolated(id) && f.rng.IntN(3) == 0 {
						e := f.rng.IntN(len(f.running))
						f.running[e] = append(f.running[e], f.send(append(f.prompt(), id)))
						f.crashEngine(e)
					}
					if step%20 == 10*i {
						f.crashEngine(f.rng.IntN(len(f.running)))
					}
				}
				f.step()
				f.exchangeOnce()
			}
			Expect(f.isolated(666) && f.isolated(667)).To(BeTrue(), "seed %d", seed)
			Expect(f.active).To(HaveLen(2), "seed %d", seed)
		}
	})

	It("isolates nothing when engines crash for other reasons", func() {
		for seed := range uint64(100) {
			f := &fleet{group: newGroup(6), rng: rand.New(rand.NewPCG(seed, 24))}
			for range 300 {
				if f.rng.IntN(2) == 0 {
					f.crashEngine(f.rng.IntN(len(f.running)))
				}
				f.step()
				f.exchangeOnce()
			}
			Expect(f.active).To(BeEmpty(), "seed %d", seed)
		}
	})
})

// isolated reports whether a part is refused. Callers of these simulations do not wait for
// the end of a hold.
func (g *group) isolated(id uint64) bool {
	for _, i := range g.active {
		if i.Part == part(id) && i.Active && !i.Held {
			return true
		}
	}
	return false
}
