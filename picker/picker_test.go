package picker_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailwall/picker"
	"foxtailwall/timekeeper"
)

func TestPicker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "picker")
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

func targets(n int, zone string) []picker.Target {
	out := make([]picker.Target, n)
	for i := range out {
		out[i] = picker.Target{Address: address(i), Zone: zone, Slots: 8}
	}
	return out
}

// prefixHashes returns the hashes of the first n blocks of a document.
func prefixHashes(document, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(document)<<32 | uint64(i+1)
	}
	return out
}

var _ = Describe("Pick", func() {
	var clock *timekeeper.Fake
	BeforeEach(func() { clock = timekeeper.NewFake(time.Unix(1000, 0)) })

	// Guards against a cache hit that sends a request into a long queue, and
	// against a hit that is ignored although it saves time.
	DescribeTable("prefers a cache hit only while it saves more than the queue costs",
		func(waiting int, want int) {
			p := picker.New(picker.Settings{Zone: "a", Clock: clock, Spread: time.Microsecond, ServiceTime: time.Second})
			pool := p.Pool(targets(2, "a"))
			p.CacheEvents(address(1), 1, []picker.CacheEvent{{Seq: 1, Add: true, Prefix: prefixHashes(7, 1)[0]}})
			p.Report(address(1), picker.LoadReport{Incarnation: 1, At: clock.Now(), Running: 8, Waiting: waiting, Slots: 8})
			// The hit saves 8000 tokens, one second at the default rate.
			c, ok := p.Pick(picker.Request{Prefixes: prefixHashes(7, 1), PromptTokens: 8000}, pool)
			Expect(ok).To(BeTrue())
			Expect(c.Replica.Address).To(Equal(address(want)))
		},
		Entry("short queue", 2, 1),
		Entry("queue longer than the prefill", 12, 0),
	)

	// Guards against requests that leave their zone without need, and against a
	// zone that queues while another is idle.
	DescribeTable("uses another zone only when the own wait exceeds the threshold",
		func(waiting int, cross bool) {
			p := picker.New(picker.Settings{Zone: "a", Clock: clock, ServiceTime: time.Second, CrossZoneWait: time.Second})
			ts := targets(4, "a")
			ts[2].Zone, ts[3].Zone = "b", "b"
			pool := p.Pool(ts)
			for i := range 2 {
				p.Report(address(i), picker.LoadReport{Incarnation: 1, At: clock.Now(), Running: 8, Waiting: waiting, Slots: 8})
			}
			c, ok := p.Pick(picker.Request{}, pool)
			Expect(ok).To(BeTrue())
			Expect(c.CrossZone).To(Equal(cross))
		},
		Entry("wait of about 0.6 s", 2, false),
		Entry("wait of about 2 s", 13, true),
	)

	// Guards against a retry on the replica that just failed and against the
	// use of an ejected replica.
	It("skips excluded replicas and those of weight zero", func() {
		p := picker.New(picker.Settings{Zone: "a", Clock: clock})
		pool := p.Pool(targets(3, "a"))
		p.Replica(address(0)).SetWeight(0)
		p.CacheEvents(address(0), 1, []picker.CacheEvent{{Seq: 1, Add: true, Prefix: 1}})
		r := picker.Request{Prefixes: []uint64{1}, PromptTokens: 1e6, Exclude: []*picker.Replica{p.Replica(address(1))}}
		for range 100 {
			c, ok := p.Pick(r, pool)
			Expect(ok).To(BeTrue())
			Expect(c.Replica.Address).To(Equal(address(2)))
		}
		p.Replica(address(2)).SetWeight(0)
		_, ok := p.Pick(r, pool)
		Expect(ok).To(BeFalse())
	})

	// Guards against a prefix hit that selects a replica outside the pool,
	// which would run the request on another version.
	It("ignores a cache hit on a replica outside the pool", func() {
		p := picker.New(picker.Settings{Zone: "a", Clock: clock})
		p.Pool(targets(4, "a"))
		pool := p.Pool(targets(2, "a"))
		p.CacheEvents(address(3), 1, []picker.CacheEvent{{Seq: 1, Add: true, Prefix: 9}})
		c, _ := p.Pick(picker.Request{Prefixes: []uint64{9}, PromptTokens: 1e6}, pool)
		Expect(c.Replica.Address).To(BeElementOf(address(0), address(1)))
		Expect(c.CachedTokens).To(BeZero())
	})

	// Guards against hosts that see the same stale report and all choose the
	// least loaded replica. The baseline takes the lowest report plus the
	// host's requests, without randomness.
	It("spreads hosts that share a stale report", func() {
		const seed, hosts, replicas, requests = 11, 30, 60, 4
		rng := rand.New(rand.NewPCG(seed, seed))
		reported := make([]int, replicas)
		for i := range reported {
			reported[i] = 4 + rng.IntN(3)
		}
		spread, baseline := make([]int, replicas), make([]int, replicas)
		for h := range hosts {
			p := picker.New(picker.Settings{Zone: "a", Clock: clock, Seed: uint64(h)})
			pool := p.Pool(targets(replicas, "a"))
			own := make([]int, replicas)
			for i, n := range reported {
				p.Report(address(i), picker.LoadReport{Incarnation: 1, At: clock.Now(), Running: n, Slots: 8})
			}
			clock.Advance(time.Millisecond)
			for range requests {
				c, _ := p.Pick(picker.Request{}, pool)
				p.RecordSent(c.Replica)
				spread[int(c.Replica.Address.Addr().As4()[3])]++
				least := 0
				for i := range reported {
					if reported[i]+own[i] < reported[least]+own[least] {
						least = i
					}
				}
				own[least]++
				baseline[least]++
			}
		}
		highestLoad := func(added []int) (highest int) {
			for i, n := range added {
				highest = max(highest, reported[i]+n)
			}
			return highest
		}
		GinkgoWriter.Printf("highest load of a replica after one report interval: picker %d, baseline %d\n", highestLoad(spread), highestLoad(baseline))
		Expect(highestLoad(spread)).To(BeNumerically("<=", highestLoad(baseline)/2))
	})

	// Guards against an old report that keeps steering every host: the
	// difference it reports must lose weight, while the difference in this
	// host's requests stays.
	DescribeTable("gives a report less weight as it ages", func(age time.Duration, least, most int) {
		p := picker.New(picker.Settings{Zone: "a", Clock: clock})
		pool := p.Pool(targets(2, "a"))
		for i, n := range []int{0, 7} {
			p.Report(address(i), picker.LoadReport{Incarnation: 1, At: clock.Now().Add(-age), Running: n, Slots: 8})
		}
		p.RecordSent(p.Replica(address(0)))
		chosen := 0
		for range 1000 {
			if c, _ := p.Pick(picker.Request{}, pool); c.Replica.Address == address(0) {
				chosen++
			}
		}
		Expect(chosen).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
	},
		Entry("fresh", time.Duration(0), 850, 1000),
		Entry("old", 5*time.Second, 300, 499),
	)

	// Guards against a data race between Pick and the reports and cache events,
	// and against lost counts of requests in flight.
	It("counts requests in flight correctly under concurrent use", func() {
		p := picker.New(picker.Settings{Zone: "a", Clock: clock})
		pool := p.Pool(targets(8, "a"))
		var wg conc.WaitGroup
		for w := range 4 {
			wg.Go(func() {
				for i := range 500 {
					c, _ := p.Pick(picker.Request{Prefixes: prefixHashes(w, 3), PromptTokens: 900}, pool)
					t := p.RecordSent(c.Replica)
					p.Report(address(i%8), picker.LoadReport{Incarnation: 1, At: clock.Now(), Running: 1, Slots: 8})
					p.CacheEvents(address(i%8), 1, []picker.CacheEvent{{Seq: uint64(i), Add: true, Prefix: prefixHashes(w, 3)[i%3]}})
					p.Done(t, true)
				}
			})
		}
		wg.Wait()
		for _, r := range pool.Replicas() {
			Expect(r.InFlight()).To(BeZero())
		}
	})

	It("does not allocate memory in Pick", func() {
		p, pool, r := largePool(clock)
		Expect(testing.AllocsPerRun(100, func() { p.Pick(r, pool) })).To(BeZero())
	})
})

// largePool returns a pool of 1,500 loaded replicas, up to 15 of which hold
// part of the prompt of the returned request.
func largePool(clock timekeeper.Clock) (*picker.Picker, *picker.Pool, picker.Request) {
	const seed, replicas, blocks = 3, 1500, 400
	rng := rand.New(rand.NewPCG(seed, seed))
	p := picker.New(picker.Settings{Zone: "a", Clock: clock, Seed: seed})
	pool := p.Pool(targets(replicas, "a"))
	prefixes := prefixHashes(1, blocks)
	for i := range replicas {
		p.Report(address(i), picker.LoadReport{Incarnation: 1, At: clock.Now(), Running: rng.IntN(9), Slots: 8})
		if i%100 != 0 {
			continue
		}
		var events []picker.CacheEvent
		for j := range rng.IntN(blocks) {
			events = append(events, picker.CacheEvent{Seq: uint64(j + 1), Add: true, Prefix: prefixes[j]})
		}
		p.CacheEvents(address(i), 1, events)
	}
	return p, pool, picker.Request{Prefixes: prefixes, PromptTokens: 25_000}
}

func BenchmarkPick(b *testing.B) {
	p, pool, r := largePool(timekeeper.System{})
	policies := map[string]picker.Policy{
		"score": p, "least connections": picker.LeastConnections{}, "round robin": &picker.RoundRobin{},
	}
	for name, policy := range policies {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				policy.Pick(r, pool)
			}
		})
	}
}
