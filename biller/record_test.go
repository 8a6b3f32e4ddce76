package biller_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
)

func TestBiller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "biller")
}

var _ = Describe("Merge", func() {
	// Guards against a result that depends on which host delivers first.
	It("returns the same record for any order of arrival", func() {
		const seed = 7
		rng := rand.New(rand.NewPCG(seed, seed))
		for range 200 {
			recs := make([]biller.Record, 4)
			for i := range recs {
				recs[i] = biller.Record{
					ID: "r", Revision: rng.Uint32N(3), CostNanos: rng.Int64N(3),
					Workspace: "w", Member: string(rune('a' + rng.IntN(2))),
					Ending: biller.Complete, At: time.Unix(rng.Int64N(2), 0),
				}
			}
			want := mergeAll(recs)
			rng.Shuffle(len(recs), func(i, j int) { recs[i], recs[j] = recs[j], recs[i] })
			Expect(mergeAll(recs)).To(Equal(want))
			Expect(biller.Merge(want, want)).To(Equal(want))
		}
	})
})

// mergeAll merges all records in order.
func mergeAll(recs []biller.Record) biller.Record {
	out := recs[0]
	for _, r := range recs[1:] {
		out = biller.Merge(out, r)
	}
	return out
}
