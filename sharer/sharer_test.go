package sharer

import (
	"context"
	"math"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/counter"
	"foxtailwall/placer"
	"foxtailwall/timekeeper"
)

func TestSharer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sharer")
}

var _ = Describe("Hub", func() {
	var (
		clock   *timekeeper.Fake
		hub     *Hub
		leading bool
	)
	BeforeEach(func() {
		clock = timekeeper.NewFake(time.Unix(100, 0))
		leading = true
		hub = NewHub(HubSettings{Leading: func() bool { return leading }, Clock: clock})
	})
	record := func(host string, count uint64, loads ...load) []placer.Load {
		out, ok := hub.record(&report{Host: host, Started: 1, Count: count, Loads: loads})
		Expect(ok).To(BeTrue())
		return fromWire(out.Loads)
	}

	// Guards against hosts that count their own requests twice.
	It("answers a host with the loads of all others", func() {
		Expect(record("a", 1, load{Upstream: 1, Running: 2, Work: 100})).To(BeEmpty())
		Expect(record("b", 1, load{Upstream: 1, Running: 1, Work: 30}, load{Upstream: 2, Running: 1, Work: 5})).
			To(ConsistOf(placer.Load{Upstream: 1, Running: 2, Work: 100}))
		Expect(record("a", 2, load{Upstream: 1, Running: 1, Work: 50})).
			To(ConsistOf(placer.Load{Upstream: 1, Running: 1, Work: 30}, placer.Load{Upstream: 2, Running: 1, Work: 5}))
		Expect(record("c", 1)).
			To(ConsistOf(placer.Load{Upstream: 1, Running: 2, Work: 80}, placer.Load{Upstream: 2, Running: 1, Work: 5}))
	})

	// Guards against a host with a single request at an upstream that takes it
	// for silent although it sends data to other hosts.
	It("tells when any host last received data from an upstream", func() {
		record("a", 1, load{Upstream: 1, Running: 1, SinceReceived: 3}, load{Upstream: 2, Running: 1, SinceReceived: maxSinceReceived})
		clock.Advance(50 * time.Millisecond)
		record("b", 1, load{Upstream: 1, Running: 1, SinceReceived: 9})
		clock.Advance(50 * time.Millisecond)
		Expect(record("c", 1)).To(ConsistOf(
			placer.Load{Upstream: 1, Running: 2, SinceReceived: 400 * time.Millisecond},
			placer.Load{Upstream: 2, Running: 1, SinceReceived: maxSinceReceived * receivedUnit},
		))
	})

	// Guards against a list that is read as seldom as usual although hosts find other
	// upstreams at the addresses that it names.
	It("knows while hosts report that upstreams were replaced", func() {
		count := uint64(0)
		exchange := func(unreachable ...placer.Unreachable) {
			count++
			_, ok := hub.record(&report{Host: "a", Started: 1, Count: count, Unreachable: unreachable})
			Expect(ok).To(BeTrue())
		}
		exchange(placer.Unreachable{Upstream: 1})
		Expect(hub.UpstreamsReplaced()).To(BeFalse())
		exchange(placer.Unreachable{Upstream: 2, Misdirected: true})
		Expect(hub.UpstreamsReplaced()).To(BeTrue())
		clock.Advance(unreachableTTL + time.Millisecond)
		Expect(hub.UpstreamsReplaced()).To(BeFalse())
	})

	// Guards against hosts that learn late, or never, that an upstream has named a
	// rate limit or ended it, and against an older report that replaces a newer one.
	It("tells all hosts the newest rate limit of each upstream", func() {
		count := uint64(0)
		exchange := func(host string, limits ...limit) []limit {
			count++
			out, ok := hub.record(&report{Host: host, Started: 1, Count: count, Limits: limits})
			Expect(ok).To(BeTrue())
			return out.Limits
		}
		exchange("a", limit{Upstream: 1, PerSecond: 2100, Age: 300})
		Expect(exchange("b", limit{Upstream: 1, PerSecond: 5000, Age: 900})).To(ConsistOf(limit{Upstream: 1, PerSecond: 2100, Age: 300}))
		clock.Advance(time.Second)
		Expect(exchange("c", limit{Upstream: 1, Ended: true, Age: 100})).To(ConsistOf(limit{Upstream: 1, Ended: true, Age: 100}))

		By("a leader that was just elected")
		hub = NewHub(HubSettings{Leading: func() bool { return true }, Clock: clock})
		Expect(exchange("b", limit{Upstream: 1, PerSecond: 2100, Age: 400})).To(ConsistOf(limit{Upstream: 1, PerSecond: 2100, Age: 400}))

		By("an upstream that no host reports any longer")
		clock.Advance(limitTTL + time.Second)
		Expect(exchange("c")).To(BeEmpty())
	})

	// Guards against datagrams that grow with the number of limited upstreams, and
	// against limits that are never sent because of others.
	It("sends many rate limits in turn", func() {
		var all []placer.RateLimit
		for i := range uint32(3*maxLimits - 5) {
			all = append(all, placer.RateLimit{Upstream: i, PerSecond: 0.3})
		}
		sent := make(map[uint32]bool)
		for count := range uint64(3) {
			for _, l := range limitsFromWire(limitsToWire(all, count)) {
				Expect(l.PerSecond).To(BeNumerically("~", 0.3, 0.001))
				sent[l.Upstream] = true
			}
		}
		Expect(sent).To(HaveLen(len(all)))
	})

	// Guards against hosts that miss placements after they or the leader
	// restarted, and against datagrams that grow with the number of placements.
	It("tells each host the placements that it does not know yet", func() {
		some := func(n int) []placer.Placement {
			out := make([]placer.Placement, n)
			for i := range out {
				out[i] = placer.Placement{Group: uint32(i), Upstream: 1}
			}
			return out
		}
		report := func(host string, count, known uint64, placed ...placer.Placement) *answer {
			out, ok := hub.record(&report{Host: host, Started: 1, Count: count, Known: known, Placements: placed})
			Expect(ok).To(BeTrue())
			return out
		}
		report("a", 1, 0, some(30)...)
		first := report("b", 1, 0)
		Expect(first.Placements).To(Equal(some(30)))
		Expect(report("b", 2, first.Known).Placements).To(BeEmpty())
		report("a", 2, 0, some(maxPlacements)...)
		second := report("b", 3, first.Known)
		Expect(second.Placements).To(Equal(some(maxPlacements)))
		Expect(report("b", 4, second.Known).Placements).To(BeEmpty())

		By("a restart of the host, and of the leader")
		Expect(report("c", 1, 0).Placements).To(HaveLen(maxPlacements))
		clock.Advance(time.Second)
		hub = NewHub(HubSettings{Leading: func() bool { return true }, Clock: clock})
		report("a", 3, second.Known, some(5)...)
		Expect(report("b", 5, second.Known).Placements).To(Equal(some(5)))

		By("more placements than the log holds")
		for i := range uint64(maxLoggedPlacements) {
			report("a", 4+i, 0, some(2)...)
		}
		Expect(hub.placed.entries).To(HaveLen(maxLoggedPlacements))
		Expect(report("b", 6, first.Known).Placements).To(HaveLen(maxPlacements))
	})

	// Guards against hosts that each find out for themselves that an upstream has
	// crashed, and against avoiding it after it is back.
	It("tells for a short time which upstreams could not be reached", func() {
		one, two := placer.Unreachable{Upstream: 1}, placer.Unreachable{Upstream: 2, Misdirected: true}
		report := func(host string, count uint64, list ...placer.Unreachable) []placer.Unreachable {
			out, ok := hub.record(&report{Host: host, Started: 1, Count: count, Unreachable: list})
			Expect(ok).To(BeTrue())
			return out.Unreachable
		}
		report("a", 1, one, two)
		Expect(report("b", 1)).To(ConsistOf(one, two))
		clock.Advance(200 * time.Millisecond)
		report("a", 2, two)
		clock.Advance(200 * time.Millisecond)
		Expect(report("b", 2)).To(ConsistOf(two))
		clock.Advance(200 * time.Millisecond)
		Expect(report("b", 3)).To(BeEmpty())
	})

	// Guards against datagrams that arrive out of order or twice, and against
	// loads of an earlier run of a host that stay in the sums.
	It("uses only the newest report of a host", func() {
		record("a", 2, load{Upstream: 1, Running: 1, Work: 10})
		for _, count := range []uint64{1, 2} {
			_, ok := hub.record(&report{Host: "a", Started: 1, Count: count, Loads: []load{{Upstream: 1, Running: 9, Work: 9}}})
			Expect(ok).To(BeFalse())
		}
		Expect(record("b", 1)).To(ConsistOf(placer.Load{Upstream: 1, Running: 1, Work: 10}))
		_, ok := hub.record(&report{Host: "a", Started: 2, Count: 1})
		Expect(ok).To(BeTrue())
		Expect(record("b", 2)).To(BeEmpty())
	})

	// Guards against the loads of a stopped host, which would keep the other
	// hosts away from its upstreams forever.
	It("drops the loads of hosts that have stopped reporting", func() {
		record("a", 1, load{Upstream: 1, Running: 1, Work: 10})
		clock.Advance(hostTimeout)
		Expect(record("b", 1)).To(HaveLen(1))
		clock.Advance(expireInterval)
		Expect(record("b", 2)).To(BeEmpty())
	})

	// Guards against a leader that sorts all upstreams for every answer, and
	// against answers that omit the busiest upstreams.
	It("sends the loads of the busiest upstreams when there are too many", func() {
		var loads []load
		for i := range uint32(5 * maxLoads) {
			loads = append(loads, load{Upstream: i, Running: 1, Work: i})
		}
		record("a", 1, loads...)
		out := record("b", 1)
		Expect(out).To(HaveLen(maxLoads))
		for _, l := range out {
			Expect(l.Upstream).To(BeNumerically(">=", 4*maxLoads))
		}
		record("a", 2, load{Upstream: 0, Running: 1, Work: 9000})
		Expect(record("b", 2)).To(ConsistOf(placer.Load{Upstream: 0, Running: 1, Work: 9000}))
	})

	// Guards against a former leader that still sends its old loads.
	It("answers only while this host leads", func() {
		record("a", 1, load{Upstream: 1, Running: 1, Work: 10})
		leading = false
		_, ok := hub.record(&report{Host: "b", Started: 1, Count: 1})
		Expect(ok).To(BeFalse())
		leading = true
		Expect(record("b", 2)).To(BeEmpty())
	})
})

var _ = Describe("toWire", func() {
	// Guards against datagrams that grow with the deployment.
	It("selects the loads with the most work", func() {
		loads := make([]placer.Load, 1500)
		for i := range loads {
			loads[i] = placer.Load{Upstream: uint32(i), Running: 40, Work: uint32(i), SinceReceived: time.Hour}
		}
		wire := toWire(loads)
		Expect(wire).To(HaveLen(maxLoads))
		Expect(wire[0].Work).To(Equal(uint32(1499)))
		Expect(len(encode(answer{Count: 1 << 40, Loads: wire}))).To(BeNumerically("<", 1400))
	})
})

var _ = Describe("datagrams", func() {
	// Guards against datagrams that a receiver cuts off and cannot read.
	It("fit into the receive buffers", func() {
		a := answer{Count: math.MaxUint64, Known: math.MaxUint64}
		for range maxLoads {
			a.Loads = append(a.Loads, load{Upstream: math.MaxUint32, Running: math.MaxUint16, Work: math.MaxUint32, SinceReceived: maxSinceReceived})
		}
		for range maxPlacements {
			a.Placements = append(a.Placements, placer.Placement{Group: math.MaxUint32, Upstream: math.MaxUint32})
		}
		for range maxUnreachable {
			a.Unreachable = append(a.Unreachable, placer.Unreachable{Upstream: math.MaxUint32, Misdirected: true})
		}
		for range maxLimits {
			a.Limits = append(a.Limits, limit{Upstream: math.MaxUint32, PerSecond: math.MaxUint32, Ended: true, Age: math.MaxUint32})
		}
		Expect(len(encode(a))).To(BeNumerically("<", maxDatagram))
		r := report{
			Host: strings.Repeat("h", 255), Started: math.MaxInt64, Count: a.Count, Known: a.Known,
			Loads: a.Loads, Placements: a.Placements, Unreachable: a.Unreachable, Limits: a.Limits,
		}
		Expect(len(encode(r))).To(BeNumerically("<", maxDatagram))
	})
})

var _ = Describe("Client", func() {
	// Guards against loads that do not reach the other hosts, and against
	// invalid datagrams that end the exchange.
	It("exchanges loads through the leader", func() {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 3)
		DeferCleanup(func() {
			cancel()
			for range cap(ended) {
				Expect(<-ended).To(Succeed())
			}
		})
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		Expect(err).NotTo(HaveOccurred())
		leader := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		hub := NewHub(HubSettings{Leading: func() bool { return true }, Clock: timekeeper.System{}})
		go func() { ended <- Serve(ctx, conn, hub, ServeOptions{Scope: counter.Scope{}}) }()
		stranger, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(leader))
		Expect(err).NotTo(HaveOccurred())
		defer stranger.Close()
		_, err = stranger.Write([]byte("not a report"))
		Expect(err).NotTo(HaveOccurred())

		received := make(map[string]chan []placer.Load)
		placed := make(chan []placer.Placement, 1000)
		limited := make(chan []placer.RateLimit, 1)
		for i, name := range []string{"a", "b"} {
			got := make(chan []placer.Load, 1000)
			received[name] = got
			c := NewClient(ClientSettings{
				Host: name, From: leader.Addr(), Leader: func() netip.AddrPort { return leader }, Hosts: func() int { return 2 },
				Loads: func() []placer.Load { return []placer.Load{{Upstream: uint32(i), Running: 1, Work: 7}} },
				Apply: func(l []placer.Load) {
					select {
					case got <- l:
					default:
					}
				},
				Placements: func(int) []placer.Placement { return []placer.Placement{{Group: uint32(i), Upstream: 3}} },
				ApplyPlacements: func(p []placer.Placement) {
					if name == "a" && len(p) > 0 {
						select {
						case placed <- p:
						default:
						}
					}
				},
				Unreachable:      func(int) []placer.Unreachable { return nil },
				ApplyUnreachable: func([]placer.Unreachable) {},
				Limits:           func() []placer.RateLimit { return []placer.RateLimit{{Upstream: 4, PerSecond: 2.1}} },
				ApplyLimits: func(l []placer.RateLimit) {
					if name == "a" && len(l) > 0 {
						select {
						case limited <- l:
						default:
						}
					}
				},
				Clock: timekeeper.System{},
			})
			go func() { ended <- c.Run(ctx) }()
		}
		Eventually(received["a"], time.Minute).Should(Receive(ConsistOf(placer.Load{Upstream: 1, Running: 1, Work: 7})))
		Eventually(placed, time.Minute).Should(Receive(ContainElement(placer.Placement{Group: 1, Upstream: 3})))
		Eventually(limited, time.Minute).Should(Receive(ConsistOf(And(HaveField("Upstream", uint32(4)), HaveField("PerSecond", 2.1)))))
		Eventually(received["b"], time.Minute).Should(Receive(ConsistOf(placer.Load{Upstream: 0, Running: 1, Work: 7})))
	})

	// Guards against a leader that is overloaded by the reports of many hosts.
	It("reports less often the more hosts there are", func() {
		for hosts, interval := range map[int]time.Duration{0: 50 * time.Millisecond, 60: 50 * time.Millisecond, 400: 300 * time.Millisecond} {
			c := NewClient(ClientSettings{Hosts: func() int { return hosts }, Clock: timekeeper.System{}})
			Expect(c.reportInterval()).To(Equal(interval))
		}
	})
})
