package biller_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
	"foxtailwall/serializer"
)

const retention = time.Hour

// randomRecord returns a random revision of a record; the times of its
// revisions differ by less than MaxRevisionGap.
func randomRecord(rng *rand.Rand, id int, at time.Time) biller.Record {
	rev := rng.Uint32N(3)
	return biller.Record{
		ID: fmt.Sprintf("r%d", id), Revision: rev, Workspace: "w", Member: fmt.Sprintf("m%d", (id+int(rev))%3),
		Steps:     []biller.Step{{Model: "a", Version: "v", InputTokens: int64(id % 7), OutputTokens: int64(rev)}},
		CostNanos: int64(id + int(rev)), Ending: biller.Complete, At: at.Add(time.Duration(rev) * time.Minute),
	}
}

// totalsByMember computes the total of each member directly from the records.
func totalsByMember(recs map[string]biller.Record) map[string]biller.Total {
	out := map[string]biller.Total{}
	for _, r := range recs {
		t := out[r.Member]
		t.Workspace, t.Member = r.Workspace, r.Member
		t.Requests++
		t.CostNanos += r.CostNanos
		for _, s := range r.Steps {
			t.InputTokens += s.InputTokens
			t.OutputTokens += s.OutputTokens
		}
		out[r.Member] = t
	}
	return out
}

var _ = Describe("Ledger", func() {
	// Guards against a request that is billed twice or not at all when records
	// arrive late, repeated or out of order, are pruned after the retention,
	// the clock steps back, or snapshots are restored. The map of expected
	// records is never pruned, so a pruned record that is counted again shows as
	// a difference.
	It("counts each accepted record exactly once", func() {
		const seed, steps = 5, 20_000
		rng := rand.New(rand.NewPCG(seed, seed))
		now := time.UnixMilli(1_800_000_000_000)
		l := &biller.Ledger{}
		expected := map[string]biller.Record{}
		createdAt := map[int]time.Time{}
		refused, pruned, next := 0, 0, 0
		for step := range steps {
			now = now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
			if rng.IntN(500) == 0 {
				now = now.Add(-time.Duration(rng.IntN(4)) * time.Minute)
			}
			switch n := rng.IntN(20); {
			case n == 0:
				pruned += l.Prune(now, retention, 8)
			case n == 1 && rng.IntN(80) == 0:
				b, err := serializer.Marshal(l.Export())
				Expect(err).NotTo(HaveOccurred())
				var e biller.Export
				Expect(serializer.UnmarshalState(b, &e)).To(Succeed())
				l = &biller.Ledger{}
				l.Import(e)
				again, _ := serializer.Marshal(l.Export())
				Expect(again).To(Equal(b))
			default:
				id := next
				if rng.IntN(2) == 0 && next > 0 {
					id = next - 1 - rng.IntN(min(next, 1+rng.IntN(8000)))
				} else {
					createdAt[next] = now
					next++
				}
				r := randomRecord(rng, id, createdAt[id])
				if rejected := l.Add([]biller.Record{r}, now, retention); len(rejected) > 0 {
					refused++
					continue
				}
				if old, ok := expected[r.ID]; ok {
					r = biller.Merge(old, r)
				}
				expected[r.ID] = r
			}
			if step%1009 != 0 && step != steps-1 {
				continue
			}
			got := map[string]biller.Total{}
			for _, t := range l.Totals() {
				got[t.Member] = t
			}
			Expect(got).To(Equal(totalsByMember(expected)), "seed %d, step %d", seed, step)
		}
		Expect(expected).To(HaveLen(next), "every request was counted")
		Expect(refused).To(BeNumerically(">", 100))
		Expect(pruned).To(BeNumerically(">", 1000))
		Expect(l.Refusals()).To(Equal(int64(refused)))
	})

	// Guards against a delivery that is counted again after its record was
	// pruned: because the clock stepped back, because it is a later revision,
	// or because the request ran so long that its revisions are far apart.
	DescribeTable("never counts a pruned record again", func(known []time.Duration, late, arrives time.Duration) {
		createdAt := time.UnixMilli(1_800_000_000_000)
		record := func(age time.Duration) []biller.Record {
			return []biller.Record{{ID: "a", Revision: uint32(age / time.Minute), Workspace: "w", Member: "m", At: createdAt.Add(age)}}
		}
		l := &biller.Ledger{}
		for _, age := range known {
			Expect(l.Add(record(age), createdAt.Add(age), retention)).To(BeEmpty())
		}
		l.Prune(createdAt.Add(retention+biller.MaxRevisionGap+time.Second), retention, 10)
		l.Add(record(late), createdAt.Add(arrives), retention)
		Expect(l.Totals()).To(ConsistOf(HaveField("Requests", int64(1))))
	},
		Entry("clock stepped back", []time.Duration{0}, time.Duration(0), time.Duration(0)),
		Entry("later revision", []time.Duration{0}, 50*time.Minute, retention+30*time.Minute),
		Entry("revisions far apart", []time.Duration{0, 2 * time.Hour}, 2*time.Hour, 2*time.Hour+time.Minute),
	)

	// Guards against a revision that is counted as a new request because its
	// record was pruned by the age of the first revision.
	It("does not prune a record whose newest revision is recent", func() {
		createdAt := time.UnixMilli(1_800_000_000_000)
		l := &biller.Ledger{}
		l.Add([]biller.Record{{ID: "a", At: createdAt}}, createdAt, retention)
		l.Add([]biller.Record{{ID: "a", Revision: 1, At: createdAt.Add(2 * time.Hour)}}, createdAt.Add(2*time.Hour), retention)
		later := createdAt.Add(retention + biller.MaxRevisionGap + time.Second)
		Expect(l.Prune(later, retention, 10)).To(BeZero())
		Expect(l.Prune(later.Add(2*time.Hour), retention, 10)).To(Equal(1))
	})

	DescribeTable("refuses records it cannot count reliably", func(id string, age time.Duration, want biller.Reason) {
		now := time.UnixMilli(1_800_000_000_000)
		l := &biller.Ledger{}
		Expect(l.Add([]biller.Record{{ID: id, At: now.Add(-age)}}, now, retention)).
			To(Equal([]biller.RefusedRecord{{ID: id, Reason: want}}))
		Expect(l.Len()).To(BeZero())
	},
		Entry("older than the retention", "a", retention+time.Nanosecond, biller.TooOld),
		Entry("far in the future", "a", -2*time.Hour, biller.InFuture),
		Entry("without a request ID", "", time.Duration(0), biller.NoID),
	)
})

var _ = Describe("Outbox", func() {
	// Guards against a record that is lost or never removed when the control
	// group acknowledges late or an older revision, or when the host restarts
	// from its file before or after a rewrite.
	It("holds each record until its latest revision is acknowledged", func() {
		const seed, steps = 3, 20_000
		rng := rand.New(rand.NewPCG(seed, seed))
		now := time.UnixMilli(1_800_000_000_000)
		var file [][]byte
		rewrites := 0
		opts := biller.OutboxOptions{
			Append:  func(b []byte) error { file = append(file, b); return nil },
			Rewrite: func(b []byte) error { file = [][]byte{b}; rewrites++; return nil },
		}
		box := biller.NewOutbox(opts)
		want := map[string]biller.Record{} // The records that must be in the outbox.
		for step := range steps {
			at := fmt.Sprintf("seed %d, step %d", seed, step)
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			switch rng.IntN(5) {
			case 0, 1:
				r := randomRecord(rng, rng.IntN(step+1), now)
				if rng.IntN(2) == 0 {
					Expect(box.AddOwned(r)).To(Succeed())
					Expect(box.Persist(r)).To(Succeed())
				} else {
					Expect(box.Hold(now, []biller.Record{r})).To(Succeed())
				}
				if old, ok := want[r.ID]; ok {
					r = biller.Merge(old, r)
				}
				want[r.ID] = r
			case 2:
				for _, r := range box.Due(now, 5) {
					Expect(r).To(Equal(want[r.ID]), at)
				}
			case 3:
				due := box.Due(now.Add(biller.WitnessDelay), 8)
				ids := map[string]bool{}
				for _, r := range due {
					ids[r.ID] = true
				}
				Expect(ids).To(HaveLen(len(due)), "a record appears twice, "+at)
				marks := biller.Marks(due)
				if len(marks) > 0 && marks[0].Revision > 0 {
					marks[0].Revision-- // Acknowledge an older revision.
					due = due[1:]
				}
				Expect(box.Acknowledge(marks)).To(Succeed())
				for _, r := range due {
					delete(want, r.ID)
				}
			case 4:
				if rng.IntN(300) != 0 {
					continue
				}
				box = biller.NewOutbox(opts)
				for _, b := range file {
					Expect(box.Load(b, now)).To(Succeed())
				}
				for _, r := range box.Due(now.Add(biller.WitnessDelay), box.Len()) {
					// Records acknowledged since the last rewrite are loaded
					// again.
					if old, ok := want[r.ID]; ok {
						Expect(r.Revision).To(BeNumerically(">=", old.Revision), at)
					}
					want[r.ID] = r
				}
			}
			Expect(box.Len()).To(Equal(len(want)), at)
		}
		Expect(rewrites).To(BeNumerically(">", 1))
	})

	It("delivers own records at once and witnessed records after WitnessDelay", func() {
		now := time.UnixMilli(1_800_000_000_000)
		box := biller.NewOutbox(biller.OutboxOptions{Capacity: 2})
		Expect(box.Hold(now, []biller.Record{{ID: "theirs"}})).To(Succeed())
		Expect(box.AddOwned(biller.Record{ID: "mine"})).To(Succeed())
		Expect(box.Due(now, 10)).To(Equal([]biller.Record{{ID: "mine"}}))
		d, ok := box.UntilDue(now.Add(time.Second))
		Expect(ok).To(BeTrue())
		Expect(d).To(Equal(biller.WitnessDelay - time.Second))
		Expect(box.Due(now.Add(biller.WitnessDelay), 10)).To(HaveLen(2))
		var full *biller.FullError
		Expect(box.AddOwned(biller.Record{ID: "third"})).To(BeAssignableToTypeOf(full))
	})
})
