package monitor

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("windowCounts", func() {
	// Guards against outcomes that are counted twice or outlive the window. The
	// reference count keeps every outcome.
	It("matches a recount of all outcomes", func() {
		const seed, window = 17, 10 * time.Second
		rng := rand.New(rand.NewPCG(seed, seed))
		now := time.Unix(1000, 0)
		type entry struct {
			at time.Time
			o  Outcome
		}
		var all []entry
		var u upstream
		for range 3000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(300*time.Millisecond)))
			o := Outcome(rng.IntN(3))
			u.recordOutcome(o, now, window)
			all = append(all, entry{now, o})
			var want outcomeCounts
			for _, e := range all {
				if bucketNumber(e.at, window) <= bucketNumber(now, window)-windowBuckets {
					continue
				}
				want.all++
				if e.o != Success {
					want.failed++
				}
				if e.o == Stall {
					want.stalls++
				}
			}
			Expect(u.windowCounts(now, window)).To(Equal(want))
		}
	})
})
