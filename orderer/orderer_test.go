package orderer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/declarer"
	"foxtailwall/orderer"
	"foxtailwall/timekeeper"
)

func TestOrderer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "orderer")
}

const (
	longestOrder = 30 * time.Second
	lease        = 8 * time.Second
)

var v1, v2 = declarer.VersionRef{Model: "m", Version: "v1"}, declarer.VersionRef{Model: "m", Version: "v2"}

// fakeEngine is an engine that carries out one order at a time.
type fakeEngine struct {
	orderer.Engine
	state orderer.State
	// order is the current or last order; orderEnd is the time at which the
	// current one is complete, zero if there is none.
	order    orderer.Order
	orderEnd time.Time
}

// post starts an order that takes 1 to 20 s, but no longer than its deadline.
func (f *fakeEngine) post(order orderer.Order, now time.Time, rng *rand.Rand) orderer.Result {
	if f.ChecksFencing && order.Fence < f.state.Fence || !f.orderEnd.IsZero() || now.After(order.Deadline) {
		return orderer.Refused
	}
	f.state.Fence = max(f.state.Fence, order.Fence)
	f.order, f.orderEnd = order, now.Add(time.Duration(1+rng.IntN(20))*time.Second)
	if f.orderEnd.After(order.Deadline) {
		f.orderEnd = order.Deadline
	}
	if order.Action == orderer.Load {
		f.state.Loading = []declarer.VersionRef{order.Ref}
	} else {
		f.state.Unloading = []declarer.VersionRef{order.Ref}
	}
	return orderer.Accepted
}

// advance completes the current order if its time has come.
func (f *fakeEngine) advance(now time.Time) {
	if f.orderEnd.IsZero() || now.Before(f.orderEnd) {
		return
	}
	f.orderEnd, f.state.Loading, f.state.Unloading = time.Time{}, nil, nil
	loaded := slices.DeleteFunc(slices.Clone(f.state.Loaded), func(v declarer.VersionRef) bool { return v == f.order.Ref })
	if f.order.Action == orderer.Load {
		loaded = append(loaded, f.order.Ref)
	}
	f.state.Loaded = loaded
}

// address returns 10.0.0.i:80.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

var _ = Describe("Orderer", func() {
	// Guards against orders of two owners under way at the same engine, and
	// against wants that are never met. Owners change, pause past the end of
	// their lease and then send the orders planned before, responses are lost,
	// and engines restart.
	It("never mixes the orders of two owners and meets the wants despite pauses, lost responses and restarts", func() {
		const seed, engines, want = 107, 8, 4
		sentAfterPause := 0
		for run := range 10 {
			rng := rand.New(rand.NewPCG(seed, uint64(run)))
			clock := timekeeper.NewFake(time.Unix(1_800_000_000, 0))
			fakes := make([]*fakeEngine, engines)
			var list []orderer.Engine
			for i := range fakes {
				e := orderer.Engine{Address: address(i), Zone: "a", ChecksFencing: i%2 == 0}
				fakes[i] = &fakeEngine{Engine: e, state: orderer.State{Incarnation: 1, Loaded: []declarer.VersionRef{v1}}}
				list = append(list, e)
			}
			var owners []*orderer.Orderer
			for i := range 3 {
				o := orderer.New(orderer.Settings{
					Clock: clock, Seed: uint64(i), Lease: lease, LongestOrder: longestOrder, LoadRate: 1, LoadBurst: 2, Jitter: 1,
				})
				o.SetEngines(list)
				o.SetWants([]orderer.Want{{Zone: "a", Ref: v2, Engines: want}, {Zone: "a", Ref: v1, Engines: engines - want}})
				owners = append(owners, o)
			}
			// delayed holds the orders that a paused owner sends when it
			// resumes, at step resumeAt.
			var delayed []orderer.Order
			resumeAt := 0
			send := func(o *orderer.Orderer, order orderer.Order) {
				f := fakes[order.Address.Addr().As4()[3]]
				running, busy := f.order, !f.orderEnd.IsZero()
				r := f.post(order, clock.Now(), rng)
				if !f.ChecksFencing && busy {
					Expect(running.Fence).To(Equal(order.Fence), "orders of two owners are under way at the same engine")
				}
				if rng.IntN(5) == 0 {
					r = orderer.Lost
				}
				o.RecordResult(order, r)
			}
			restart := func(f *fakeEngine) {
				*f = fakeEngine{Engine: f.Engine, state: orderer.State{Incarnation: f.state.Incarnation + 1, Fence: f.state.Fence}}
			}
			fence, current := uint64(1), 0
			owners[0].StartOwnership(1, clock.Now().Add(lease), false)
			for step := range 600 {
				clock.Advance(time.Second)
				now := clock.Now()
				for _, f := range fakes {
					f.advance(now)
				}
				o := owners[current]
				changing := step < 300 && len(delayed) == 0
				switch {
				case changing && rng.IntN(20) == 0:
					restart(fakes[1])
					clock.Advance(time.Second)
					o.Observe(address(1), fakes[1].state)
					clock.Advance(time.Second)
					delayed, resumeAt = o.Next(), step+1+rng.IntN(int(longestOrder/time.Second))
					current, fence = (current+1)%3, fence+1
					clock.Advance(lease)
					owners[current].StartOwnership(fence, clock.Now().Add(lease), true)
					continue
				case changing && rng.IntN(40) == 0:
					restart(fakes[rng.IntN(engines)])
				case len(delayed) > 0 && step == resumeAt:
					for _, order := range delayed {
						if !fakes[order.Address.Addr().As4()[3]].ChecksFencing {
							send(o, order)
							sentAfterPause++
						}
					}
					delayed = nil
				}
				o.Renew(fence, now.Add(lease))
				for _, a := range o.EnginesToRead() {
					o.Observe(a, fakes[a.Addr().As4()[3]].state)
				}
				for _, order := range o.Next() {
					send(o, order)
				}
			}
			held := map[declarer.VersionRef]int{}
			for _, f := range fakes {
				Expect(len(f.state.Loaded)).To(BeNumerically("<=", 1))
				for _, v := range f.state.Loaded {
					held[v]++
				}
			}
			Expect(held).To(Equal(map[declarer.VersionRef]int{v1: engines - want, v2: want}), fmt.Sprint("run ", run))
		}
		Expect(sentAfterPause).To(BeNumerically(">", 10))
	})

	// Guards against the loss of capacity in a rollout: while v2 is loaded, the
	// number of engines with v1 must never fall below the wanted one, whatever
	// orders are under way.
	It("never leaves fewer engines with the stable version than wanted", func() {
		const engines = 9
		clock := timekeeper.NewFake(time.Unix(1_800_000_000, 0))
		rng := rand.New(rand.NewPCG(109, 109))
		o := orderer.New(orderer.Settings{Clock: clock, LongestOrder: longestOrder})
		fakes := make([]*fakeEngine, engines)
		var list []orderer.Engine
		for i := range fakes {
			list = append(list, orderer.Engine{Address: address(i), Zone: "a"})
			fakes[i] = &fakeEngine{Engine: list[i], state: orderer.State{Incarnation: 1, Loaded: []declarer.VersionRef{v1}}}
		}
		o.SetEngines(list)
		loads := 0
		o.StartOwnership(1, clock.Now().Add(time.Hour), false)
		for step := range 300 {
			shares := []float64{0.01, 0.05, 0.25, 1}
			stage := min(step/60, 2)
			stable, next := orderer.Split(engines, 1, shares[stage], shares[stage+1])
			Expect(stable + next).To(BeNumerically("<=", engines))
			Expect(min(stable, next)).To(BeNumerically(">=", 1))
			o.SetWants([]orderer.Want{{Zone: "a", Ref: v2, Engines: next}, {Zone: "a", Ref: v1, Engines: stable}})
			clock.Advance(time.Second)
			for _, f := range fakes {
				f.advance(clock.Now())
				o.Observe(f.Address, f.state)
			}
			for _, order := range o.Next() {
				Expect(fakes[order.Address.Addr().As4()[3]].post(order, clock.Now(), rng)).To(Equal(orderer.Accepted))
				if order.Action == orderer.Load {
					loads++
				}
			}
			n := 0
			for _, f := range fakes {
				if slices.Contains(f.state.Loaded, v1) && !slices.Contains(f.state.Unloading, v1) {
					n++
				}
			}
			Expect(n).To(BeNumerically(">=", stable))
		}
		Expect(loads).To(BeNumerically(">=", 3))
	})

	// Guards against a zone that returns as a whole and requests all its weights
	// at once, or continues while the weight store throttles loads.
	It("limits the rate of loads when a zone returns", func() {
		const engines, rate, burst, pausedFrom, pausedTo = 30, 0.2, 2, 50, 70
		clock := timekeeper.NewFake(time.Unix(1_800_000_000, 0))
		o := orderer.New(orderer.Settings{Clock: clock, LoadRate: rate, LoadBurst: burst})
		var list []orderer.Engine
		for i := range engines {
			list = append(list, orderer.Engine{Address: address(i), Zone: "a"})
		}
		o.SetEngines(list)
		o.SetWants([]orderer.Want{{Zone: "a", Ref: v1, Engines: engines}})
		o.StartOwnership(1, clock.Now().Add(time.Hour), false)
		for _, e := range list {
			o.Observe(e.Address, orderer.State{Incarnation: 1})
		}
		Expect(o.Next()).To(BeEmpty(), "every engine waits a random time before its first order")
		loads := 0
		for step := range 200 {
			if step == pausedFrom {
				o.PauseLoads((pausedTo - pausedFrom) * time.Second)
			}
			clock.Advance(time.Second)
			n := len(o.Next())
			if step >= pausedFrom && step+1 < pausedTo {
				Expect(n).To(BeZero())
			}
			loads += n
			Expect(float64(loads)).To(BeNumerically("<=", burst+rate*float64(step+1)))
		}
		Expect(loads).To(Equal(engines))
	})

	// Guards against an owner that sends orders outside its lease, after an
	// engine has seen a newer token, or too early to engines that check no
	// tokens and so cannot distinguish it from the previous owner.
	It("sends orders only while it owns the engines, and later to those without token checks", func() {
		clock := timekeeper.NewFake(time.Unix(1_800_000_000, 0))
		o := orderer.New(orderer.Settings{Clock: clock, Lease: lease, LongestOrder: longestOrder, Jitter: time.Nanosecond})
		o.SetEngines([]orderer.Engine{{Address: address(0), Zone: "a"}, {Address: address(1), Zone: "a", ChecksFencing: true}})
		o.SetWants([]orderer.Want{{Zone: "a", Ref: v1, Engines: 2}})
		readStates := func(fence uint64) {
			for _, a := range o.EnginesToRead() {
				o.Observe(a, orderer.State{Incarnation: 1, Fence: fence})
			}
			clock.Advance(time.Millisecond)
		}
		readStates(0)
		Expect(o.Next()).To(BeEmpty())
		o.StartOwnership(5, clock.Now().Add(time.Hour), true)
		Expect(o.Next()).To(BeEmpty(), "the previous owner may have changed the engines")
		readStates(0)
		orders := o.Next()
		Expect(orders).To(HaveLen(1))
		Expect(orders[0].Address).To(Equal(address(1)))
		Expect(orders[0].Fence).To(Equal(uint64(5)))
		o.RecordResult(orders[0], orderer.Lost)
		Expect(o.EnginesToRead()).To(ConsistOf(address(1)))
		clock.Advance(lease + longestOrder)
		Expect(o.Next()).To(HaveLen(1))
		readStates(6)
		Expect(o.Owns()).To(BeFalse())
		Expect(o.Next()).To(BeEmpty())
	})
})

func BenchmarkNext(b *testing.B) {
	clock := timekeeper.NewFake(time.Unix(1_800_000_000, 0))
	o := orderer.New(orderer.Settings{Clock: clock})
	var list []orderer.Engine
	for i := range 1500 {
		list = append(list, orderer.Engine{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80), Zone: string(rune('a' + i%9))})
	}
	o.SetEngines(list)
	for _, e := range list {
		o.Observe(e.Address, orderer.State{Incarnation: 1, Loaded: []declarer.VersionRef{v1}})
	}
	var wants []orderer.Want
	for z := range 9 {
		wants = append(wants, orderer.Want{Zone: string(rune('a' + z)), Ref: v2, Engines: 80}, orderer.Want{Zone: string(rune('a' + z)), Ref: v1, Engines: 160})
	}
	o.SetWants(wants)
	o.StartOwnership(1, clock.Now().Add(time.Hour), false)
	for b.Loop() {
		o.Next()
	}
}
