package monitor_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/monitor"
	"foxtailwall/timekeeper"
)

func TestMonitor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "monitor")
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

func pool(name string, from, to int) monitor.Pool {
	p := monitor.Pool{Name: name}
	for i := from; i < to; i++ {
		p.Members = append(p.Members, address(i))
	}
	return p
}

var _ = Describe("Monitor", func() {
	var clock *timekeeper.Fake
	var m *monitor.Monitor
	BeforeEach(func() {
		clock = timekeeper.NewFake(time.Unix(1000, 0))
		m = monitor.New(monitor.Settings{Clock: clock})
		m.SetPools([]monitor.Pool{pool("v1", 0, 4)})
	})
	observe := func(i, n int, o monitor.Outcome) {
		for range n {
			m.Observe(address(i), 1, o)
		}
	}

	// Guards against an ejection that does not happen, or that happens after
	// too few failures or for outcomes that say nothing about the upstream.
	DescribeTable("decides on ejection after", func(outcomes func(), usable bool) {
		outcomes()
		Expect(m.Usable(address(0))).To(Equal(usable))
	},
		Entry("five failures in a row", func() { observe(0, 5, monitor.Failure) }, false),
		Entry("four failures in a row", func() { observe(0, 4, monitor.Failure) }, true),
		Entry("half of the requests failing", func() {
			for range 10 {
				observe(0, 1, monitor.Success)
				observe(0, 1, monitor.Failure)
			}
		}, false),
		Entry("failures before the window", func() {
			for range 9 {
				observe(0, 1, monitor.Success)
				observe(0, 1, monitor.Failure)
			}
			clock.Advance(11 * time.Second)
			observe(0, 1, monitor.Failure)
		}, true),
		Entry("three stalls", func() {
			for range 3 {
				observe(0, 1, monitor.Stall)
				observe(0, 5, monitor.Success)
			}
		}, false),
		Entry("silent connections", func() {
			for range 100 {
				m.CountSilentConnection(address(0))
			}
		}, true),
		Entry("failures of an older incarnation", func() {
			m.RecordIncarnation(address(0), 2)
			clock.Advance(time.Minute)
			observe(0, 50, monitor.Failure)
		}, true),
	)

	// Guards against an upstream that returns at full load, and against an
	// ejection time that does not grow or never shrinks again.
	It("doubles the ejection time and ramps the weight up afterwards", func() {
		for _, d := range []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second} {
			observe(0, 5, monitor.Failure)
			clock.Advance(d - 1)
			Expect(m.Weight(address(0))).To(BeZero())
			clock.Advance(1)
			Expect(m.Weight(address(0))).To(BeNumerically("~", 0.1, 0.01))
		}
		clock.Advance(10 * time.Second)
		Expect(m.Weight(address(0))).To(BeNumerically("~", 0.55, 0.01))
		clock.Advance(10 * time.Minute)
		Expect(m.Weight(address(0))).To(Equal(1.0))
		observe(0, 5, monitor.Failure)
		clock.Advance(5 * time.Second)
		Expect(m.Usable(address(0))).To(BeTrue())
	})

	// Guards against a leaving signal without an incarnation that is lost when
	// the first incarnation becomes known.
	It("applies a leaving signal to the first incarnation that becomes known", func() {
		m.MarkLeaving(address(0), 0)
		m.RecordIncarnation(address(0), 7)
		Expect(m.Usable(address(0))).To(BeFalse())
		m.RecordIncarnation(address(0), 8)
		Expect(m.Usable(address(0))).To(BeTrue())
	})

	// Guards against a leaving incarnation that a stale list or a late report
	// returns to service, and against ejections of more than half of the
	// members that are not leaving. The reference model keeps all incarnations
	// that were ever reported as leaving.
	It("keeps leaving incarnations out and ejects at most half of a pool under random events", func() {
		const seed, n = 31, 9
		type process struct {
			upstream    int
			incarnation uint64
		}
		rng := rand.New(rand.NewPCG(seed, seed))
		for range 20 {
			m = monitor.New(monitor.Settings{Clock: clock, Window: 100 * time.Second, EjectionTime: 50 * time.Second})
			pools := []monitor.Pool{pool("v1", 0, 6), pool("v2", 3, n)}
			m.SetPools(pools)
			reportedLeaving := map[process]bool{}
			var newest [n]uint64
			for range 600 {
				clock.Advance(time.Duration(rng.IntN(1000)) * time.Millisecond)
				p := process{rng.IntN(n), uint64(1 + rng.IntN(4))}
				a := address(p.upstream)
				newest[p.upstream] = max(newest[p.upstream], p.incarnation)
				switch k := rng.IntN(20); {
				case k == 0:
					m.MarkLeaving(a, p.incarnation)
					reportedLeaving[p] = true
				case k == 1:
					leaving := rng.IntN(3) == 0
					m.ApplyHostList([]monitor.Host{{Address: a, Incarnation: p.incarnation, Leaving: leaving}})
					reportedLeaving[p] = reportedLeaving[p] || leaving
				case k < 5:
					m.RecordIncarnation(a, p.incarnation)
				default:
					m.Observe(a, p.incarnation, monitor.Failure)
				}
				usable, ejected := map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
				for _, s := range m.Statuses() {
					usable[s.Address], ejected[s.Address] = s.Weight > 0, s.Ejected && !s.Leaving
				}
				for i := range n {
					isLeaving := reportedLeaving[process{i, newest[i]}]
					Expect(usable[address(i)]).To(Equal(!isLeaving && !ejected[address(i)]), "upstream %d", i)
				}
				for _, p := range pools {
					active, out := 0, 0
					for _, a := range p.Members {
						if usable[a] || ejected[a] {
							active++
						}
						if ejected[a] {
							out++
						}
					}
					Expect(2*out).To(BeNumerically("<=", active), p.Name)
				}
			}
		}
	})

	// Guards against a weight change that is not reported to
	// Settings.OnWeightChange: the reported weights must always equal those of
	// Weight.
	It("reports every weight change", func() {
		const seed = 8
		rng := rand.New(rand.NewPCG(seed, seed))
		reported := map[netip.AddrPort]float64{}
		m = monitor.New(monitor.Settings{Clock: clock, OnWeightChange: func(a netip.AddrPort, w float64) { reported[a] = w }})
		m.SetPools([]monitor.Pool{pool("v1", 0, 6)})
		for i := range 6 {
			reported[address(i)] = 1
		}
		for range 500 {
			clock.Advance(time.Duration(rng.IntN(500)) * time.Millisecond)
			a := address(rng.IntN(6))
			switch rng.IntN(8) {
			case 0:
				m.MarkLeaving(a, uint64(1+rng.IntN(3)))
			case 1:
				m.RecordIncarnation(a, uint64(1+rng.IntN(5)))
			default:
				m.Observe(a, 0, monitor.Outcome(rng.IntN(3)))
			}
			m.Refresh()
			for i := range 6 {
				Expect(reported[address(i)]).To(Equal(m.Weight(address(i))))
			}
		}
	})
})

func BenchmarkMonitor(b *testing.B) {
	m := monitor.New(monitor.Settings{})
	p := monitor.Pool{Name: "v1"}
	for i := range 1500 {
		p.Members = append(p.Members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80))
	}
	m.SetPools([]monitor.Pool{p})
	b.Run("Observe", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			m.Observe(p.Members[i%1500], 1, monitor.Success)
		}
	})
	b.Run("Usable", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			m.Usable(p.Members[i%1500])
		}
	})
}
