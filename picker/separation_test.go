package picker_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/picker"
	"foxtailwall/timekeeper"
)

var _ = Describe("separation", func() {
	const long, short = 4000, 100
	var clock *timekeeper.Fake
	BeforeEach(func() { clock = timekeeper.NewFake(time.Unix(1000, 0)) })

	// pickMixed makes 2000 picks, one in ten with a long prompt, and counts the
	// replicas of long and short prompts after the first 200, when the shares
	// of work are known.
	pickMixed := func(p *picker.Picker, pool *picker.Pool) (longs, shorts map[netip.AddrPort]int) {
		longs, shorts = map[netip.AddrPort]int{}, map[netip.AddrPort]int{}
		for i := range 2000 {
			into, tokens := shorts, short
			if i%10 == 0 {
				into, tokens = longs, long
			}
			c, ok := p.Pick(picker.Request{PromptTokens: tokens}, pool)
			Expect(ok).To(BeTrue())
			if i >= 200 {
				into[c.Replica.Address]++
			}
		}
		return longs, shorts
	}

	// Guards against first tokens that wait for the prefill of another
	// request's long prompt, against hosts that disagree on the replicas for
	// long prompts, and against long prompts sent out of an idle zone.
	It("separates long prompts from the others, on the same replicas for all hosts", func() {
		var first map[netip.AddrPort]int
		zones := map[netip.AddrPort]string{}
		for seed, zone := range []string{"a", "b", "c"} {
			p := picker.New(picker.Settings{Zone: zone, Clock: clock, Seed: uint64(seed)})
			ts := targets(8, "a")
			for i := range ts {
				ts[i].Zone = string("abc"[i%3])
			}
			ts = append(ts[seed:], ts[:seed]...)
			pool := p.Pool(ts)
			for _, t := range ts {
				zones[t.Address] = t.Zone
			}
			idle, _ := pickMixed(p, pool)
			for a := range idle {
				Expect(zones[a]).To(Equal(zone))
			}
			// A half-full batch on each replica exceeds the cross-zone
			// threshold.
			for _, t := range ts {
				p.Report(t.Address, picker.LoadReport{Incarnation: 1, At: clock.Now(), Running: 4, Slots: 8})
			}
			longs, shorts := pickMixed(p, pool)
			Expect(longs).To(HaveLen(1))
			for a := range longs {
				Expect(shorts).NotTo(HaveKey(a))
			}
			if first == nil {
				first = longs
			}
			Expect(longs).To(Equal(first))
		}
	})

	// Guards against a separation that queues requests while other replicas are
	// free, that finds no replica when those for long prompts are unusable, or
	// that applies to a pool too small for it.
	It("does not separate under load, without usable replicas or in small pools", func() {
		p := picker.New(picker.Settings{Zone: "a", Clock: clock})
		pool := p.Pool(targets(8, "a"))
		longs, _ := pickMixed(p, pool)
		for a := range longs {
			p.Report(a, picker.LoadReport{Incarnation: 1, At: clock.Now(), Running: 8, Waiting: 40, Slots: 8})
		}
		busy, shorts := pickMixed(p, pool)
		for a := range longs {
			Expect(busy).NotTo(HaveKey(a))
			Expect(shorts).NotTo(HaveKey(a))
			p.Replica(a).SetWeight(0)
		}
		out, _ := pickMixed(p, pool)
		Expect(len(out)).To(BeNumerically(">", 1))

		small := p.Pool(targets(2, "a"))
		for i := range 2 {
			p.Replica(address(i)).SetWeight(1)
			p.Report(address(i), picker.LoadReport{Incarnation: 1, At: clock.Now(), Slots: 8})
		}
		longs, shorts = pickMixed(p, small)
		Expect(longs).To(HaveLen(2))
		Expect(shorts).To(HaveLen(2))
	})
})
