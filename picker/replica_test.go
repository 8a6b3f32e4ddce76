package picker

import (
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/timekeeper"
)

// trackedRequest is one request of this host with its times.
type trackedRequest struct {
	ticket     Ticket
	sent, done time.Time
	open       bool
}

// recountLoad computes the load from all requests: the reported number,
// corrected for those sent or ended after the sample.
func recountLoad(reqs []*trackedRequest, reported int, at time.Time) int {
	n, open := reported, 0
	for _, r := range reqs {
		if r.open {
			open++
		}
		if r.sent.After(at) {
			n++
		}
		if !r.open && r.done.After(at) {
			n--
		}
	}
	return max(n, open)
}

var _ = Describe("load estimate", func() {
	// Guards against requests of this host that are counted twice or not at all
	// when reports lag, arrive out of order or belong to an old incarnation.
	It("matches a recount of all requests", func() {
		const seed = 21
		rng := rand.New(rand.NewPCG(seed, seed))
		for range 50 {
			now := time.Unix(1000, 0)
			r := newReplica(netip.AddrPort{}, time.Second)
			var reqs []*trackedRequest
			reported, at, incarnation := 0, now, uint64(0)
			r.applyReport(LoadReport{At: now}, now)
			for range 300 {
				now = now.Add(time.Duration(1+rng.IntN(20)) * time.Millisecond)
				switch k := rng.IntN(20); {
				case k < 9:
					reqs = append(reqs, &trackedRequest{ticket: r.recordSent(now), sent: now, open: true})
				case k < 17 && len(reqs) > 0:
					q := reqs[rng.IntN(len(reqs))]
					if q.open {
						q.open, q.done = false, now
						r.end(q.ticket, now, true)
					}
				case k < 19:
					rep := LoadReport{Incarnation: incarnation, At: now.Add(-time.Duration(rng.IntN(200)) * time.Millisecond), Running: rng.IntN(9)}
					r.applyReport(rep, now)
					if !rep.At.Before(at) {
						reported, at = rep.Running, rep.At
					}
				default:
					old := incarnation
					incarnation++
					r.applyReport(LoadReport{Incarnation: incarnation, At: now, Running: 1}, now)
					for _, q := range reqs { // requests of the old incarnation that end late
						if q.open {
							r.end(q.ticket, now, false)
						}
					}
					r.applyReport(LoadReport{Incarnation: old, At: now.Add(time.Second), Running: 9}, now)
					reqs, reported, at = nil, 1, now
				}
				Expect(r.knownRequests()).To(Equal(recountLoad(reqs, reported, at)))
			}
		}
	})
})

var _ = Describe("prefixIndex", func() {
	// Guards against a hit on a prefix that the replica may have evicted, lost
	// in a restart or reported too long ago, and against an index that a single
	// missed event empties. The reference model keeps a set of prefixes for
	// each replica and counts the missed events since each was added.
	It("matches a reference index under missed events, restarts, late events and expiry", func() {
		const seed, replicas, documents, depth = 5, 6, 4, 5
		rng := rand.New(rand.NewPCG(seed, seed))
		age := 30 * time.Second
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		x := newPrefixIndex(1000, age, clock.Now())
		x.maxMissed = 3
		var rs [replicas]*Replica
		var held [replicas]map[uint64]time.Time
		var missed [replicas]map[uint64]uint64
		var last, incarnation [replicas]uint64
		for i := range rs {
			rs[i], held[i], missed[i], incarnation[i] = &Replica{}, map[uint64]time.Time{}, map[uint64]uint64{}, 1
		}
		hash := func(doc, d int) uint64 { return uint64(doc*100 + d) }
		for range 20_000 {
			i := rng.IntN(replicas)
			clock.Advance(time.Duration(rng.IntN(40)) * 50 * time.Millisecond)
			now := clock.Now()
			inc, seq := incarnation[i], last[i]+1
			switch rng.IntN(40) {
			case 0:
				gap := 1 + rng.Uint64N(5)
				seq += gap
				for p := range held[i] {
					missed[i][p] += gap
					if missed[i][p] > 3 {
						delete(held[i], p)
					}
				}
			case 1:
				incarnation[i]++
				last[i] = 0
				inc, seq = incarnation[i], 1
				clear(held[i])
			case 2:
				seq = last[i] // a repeated event
			case 3:
				inc-- // an event of an old incarnation
			}
			e := CacheEvent{Seq: seq, Add: rng.IntN(3) > 0, Prefix: hash(rng.IntN(documents), 1+rng.IntN(depth))}
			x.applyEvents(rs[i], inc, []CacheEvent{e}, now)
			if inc == incarnation[i] && seq > last[i] {
				last[i] = seq
				delete(held[i], e.Prefix)
				if e.Add {
					held[i][e.Prefix], missed[i][e.Prefix] = now.Add(age), 0
				}
			}
			doc := rng.IntN(documents)
			var buf [maxMatches]match
			d := 1 + rng.IntN(depth)
			var got, want []*Replica
			for _, m := range x.appendHolders(hash(doc, d), d, x.sinceStart(now), buf[:0]) {
				got = append(got, m.replica)
			}
			for k := range rs {
				if until, ok := held[k][hash(doc, d)]; ok && x.sinceStart(until) > x.sinceStart(now) {
					want = append(want, rs[k])
				}
			}
			Expect(got).To(ConsistOf(want))
		}
		Expect(x.holders.Len()).To(BeNumerically("<=", 1000))
	})

	// Guards against a bisection that misses the longest held prefix, and
	// against an index that grows without bound.
	It("finds the holder of the longest prefix and stays bounded", func() {
		now := time.Unix(1000, 0)
		x := newPrefixIndex(64, time.Minute, now)
		deep, shallow := &Replica{}, &Replica{}
		prompt := make([]uint64, 40)
		for i := range prompt {
			prompt[i] = uint64(i + 1)
		}
		addPrefixes := func(r *Replica, from, n int) {
			for i := from; i < from+n; i++ {
				x.applyEvents(r, 1, []CacheEvent{{Seq: uint64(i), Add: true, Prefix: uint64(i)}}, now)
			}
		}
		addPrefixes(deep, 1, 31)
		addPrefixes(shallow, 1, 10)
		found := x.findHolders(prompt, now, make([]match, 0, maxMatches))
		Expect(found[0]).To(Equal(match{replica: deep, depth: 31}))
		Expect(containsReplica(found, shallow)).To(BeTrue())
		addPrefixes(deep, 1000, 500)
		Expect(x.holders.Len()).To(Equal(64))
	})
})
