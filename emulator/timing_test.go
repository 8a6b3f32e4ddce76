package emulator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/emulator"
)

func TestEmulator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "emulator")
}

// runToEnd steps the batch until it is empty and returns the time that passed.
func runToEnd(b *emulator.Batch, start time.Time) time.Duration {
	now := start
	for {
		d, ok := b.Begin(now)
		if !ok {
			return now.Sub(start)
		}
		now = now.Add(d)
		b.End(now)
	}
}

var _ = Describe("Batch", func() {
	start := time.Unix(0, 0)

	// Guards against step times that differ from the documented time model,
	// which would invalidate every comparison of policies.
	DescribeTable("takes the time that the time model predicts",
		func(jobs []*emulator.Job, want time.Duration) {
			b := emulator.NewBatch(emulator.Timing{
				Slots: 2, Budget: 100, Memory: 1000, Prefill: 1000,
				Step: 10 * time.Millisecond, PerSequence: time.Millisecond,
			}, emulator.NewCache(10, 0, 1))
			for _, j := range jobs {
				Expect(b.Add(j, start)).To(BeTrue())
			}
			Expect(runToEnd(b, start)).To(Equal(want))
		},
		// 50 prompt tokens take 50 ms and yield the first token; two steps of 11 ms follow.
		Entry("one request", []*emulator.Job{{Prompt: 50, Output: 3}}, 72*time.Millisecond),
		// The prompt exceeds the budget of 100: steps of 100 and 50 tokens.
		Entry("a chunked prompt", []*emulator.Job{{Prompt: 150, Output: 1}}, 150*time.Millisecond),
		// Both prompts in one step, then a step with two sequences.
		Entry("two concurrent requests", []*emulator.Job{{Prompt: 20, Output: 2}, {Prompt: 30, Output: 2}}, 62*time.Millisecond),
		// The third request waits 50 ms for a slot, then takes 30 ms.
		Entry("a queued request", []*emulator.Job{{Prompt: 20, Output: 1}, {Prompt: 30, Output: 1}, {Prompt: 30, Output: 1}}, 80*time.Millisecond),
		// Of the second's 128 tokens, 127 are cached when it is admitted after
		// the first two: 100 + 36 ms (28 of one prompt, 8 of the other), then 1 ms.
		Entry("a cached prefix", []*emulator.Job{
			{Prompt: 128, Output: 1, Prefix: []uint64{1, 2}}, {Prompt: 8, Output: 1},
			{Prompt: 128, Output: 1, Prefix: []uint64{1, 2}},
		}, 137*time.Millisecond),
	)

	// Guards against priorities that have no effect, or that reorder requests
	// of the same priority.
	It("admits by priority, then by arrival", func() {
		b := emulator.NewBatch(emulator.Timing{Slots: 1}, nil)
		jobs := make([]*emulator.Job, 4)
		for i, priority := range []int{0, 5, 0, 5} {
			jobs[i] = &emulator.Job{Prompt: 10, Output: 2, Priority: priority}
			Expect(b.Add(jobs[i], start)).To(BeTrue())
		}
		runToEnd(b, start)
		for _, pair := range [][2]int{{1, 3}, {3, 0}, {0, 2}} {
			Expect(jobs[pair[0]].Ended).To(Equal(jobs[pair[1]].Started))
		}
	})

	// Guards against lost or duplicate tokens, and against more running jobs
	// than slots, under random arrivals and cancellations.
	It("completes every request within the slot limit", func() {
		const seed = 11
		rng := rand.New(rand.NewPCG(seed, seed))
		b := emulator.NewBatch(emulator.Timing{Slots: 4, Budget: 64, Memory: 400, MaxWaiting: 1000}, emulator.NewCache(8, 0, seed))
		tokens, want, now := 0, 0, start
		var jobs []*emulator.Job
		for range 500 {
			j := &emulator.Job{Prompt: 1 + rng.IntN(200), Output: 1 + rng.IntN(40), Priority: rng.IntN(3), Prefix: []uint64{rng.Uint64N(12)}}
			Expect(b.Add(j, now)).To(BeTrue())
			jobs = append(jobs, j)
			if rng.IntN(10) == 0 {
				k := jobs[rng.IntN(len(jobs))]
				b.Remove(k)
			}
			d, _ := b.Begin(now)
			now = now.Add(d)
			Expect(b.Running()).To(BeNumerically("<=", 4))
			tokens += b.End(now)
		}
		for b.Running()+b.Waiting() > 0 {
			d, ok := b.Begin(now)
			Expect(ok).To(BeTrue())
			now = now.Add(d)
			tokens += b.End(now)
		}
		for _, j := range jobs {
			want += j.Produced
			if !j.Ended.IsZero() {
				Expect(j.Produced).To(Equal(j.Output))
			}
		}
		Expect(tokens).To(Equal(want))
	})
})
