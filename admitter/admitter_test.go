package admitter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/admitter"
)

var epoch = time.Unix(1000, 0)

// learned returns a service whose engines read 40 tokens per ms and take 10 ms per token.
func learned() *admitter.Service {
	var s admitter.Service
	var speed admitter.Speed
	for i := range 50 {
		work := float64(1000 * (i%5 + 1))
		s.RecordFirstByte("m", work, time.Duration(work/40*float64(time.Millisecond)), &speed, epoch)
		s.RecordGeneration("m", 50, 4, 500*time.Millisecond)
		s.RecordHeld(600 * time.Millisecond)
		s.RecordSent(2000)
	}
	return &s
}

var _ = Describe("Choose", func() {
	request := &admitter.Request{Model: "m", Work: 2000, Tokens: 3000, OutputTokens: 50, Deadline: epoch.Add(10 * time.Second)}
	idle := admitter.Candidate{Slots: 8, Memory: 100_000, Reading: 2000, Speed: 1, Home: true}

	DescribeTable("ranks upstreams", func(change func(first, second *admitter.Candidate), want int, wantFits bool) {
		cands := []admitter.Candidate{idle, idle}
		change(&cands[0], &cands[1])
		i, fits := admitter.Choose(cands, request, learned(), epoch, admitter.Spread{})
		Expect(i).To(Equal(want))
		Expect(fits).To(Equal(wantFits))
	},
		// Guards against a slow upstream that is chosen because it has as little work.
		Entry("by their speed", func(a, _ *admitter.Candidate) { a.Speed = 0.5 }, 1, true),
		Entry("by their work", func(a, _ *admitter.Candidate) { a.Work = 500 }, 1, true),
		Entry("by the prefix that they have cached", func(a, b *admitter.Candidate) { a.Penalty, b.Work = 5000, 4000 }, 1, true),
		// Guards against engines that queue or preempt requests while others have room.
		Entry("by their slots", func(a, b *admitter.Candidate) { a.Running, b.Work = 8, 90_000 }, 1, true),
		Entry("by their token memory", func(a, b *admitter.Candidate) { a.Running, a.Tokens, b.Work = 1, 98_000, 90_000 }, 1, true),
		// Guards against a request that no upstream could ever take.
		Entry("with room for a large request if idle", func(a, b *admitter.Candidate) { a.Memory, b.Running = 1000, 8 }, 0, true),
		// Guards against an answer that begins early and ends after the deadline.
		Entry("by the deadline", func(a, b *admitter.Candidate) { a.Speed, a.Reading, b.Work = 0.04, 10, 9000 }, 1, true),
		Entry("without room", func(a, b *admitter.Candidate) { a.Running, b.Running, a.Work = 8, 9, 10 }, 1, false),
	)

	It("knows no upstream of an empty list", func() {
		i, fits := admitter.Choose(nil, request, learned(), epoch, admitter.Spread{})
		Expect(i).To(Equal(-1))
		Expect(fits).To(BeFalse())
	})

	// Guards against all hosts choosing the same upstream before they see each other's
	// requests, and against spreading when there is no need.
	It("spreads the work of many hosts over equally good upstreams", func() {
		cands := make([]admitter.Candidate, 40)
		for i := range cands {
			cands[i] = idle
			cands[i].Work = float64(i % 4 * 1000)
		}
		used := make(map[int]int)
		for n := range 400 {
			i, fits := admitter.Choose(cands, request, learned(), epoch, admitter.Spread{Unseen: 2500, Random: float64(n) / 401})
			Expect(fits).To(BeTrue())
			used[i]++
		}
		Expect(len(used)).To(BeNumerically(">", 8))
		for _, n := range used {
			Expect(n).To(BeNumerically("<", 100))
		}
		for n := range 40 {
			i, _ := admitter.Choose(cands, request, learned(), epoch, admitter.Spread{Unseen: 500, Random: float64(n) / 40})
			Expect(cands[i].Work).To(BeZero())
		}
	})
})

var _ = Describe("Decide", func() {
	request := func() *admitter.Request {
		return &admitter.Request{
			Model: "m", Work: 2000, OutputTokens: 50, Arrived: epoch, Objective: epoch.Add(2 * time.Second), Deadline: epoch.Add(6 * time.Second),
		}
	}
	full := admitter.Room{Running: 80, Own: 8, Slots: 80, Hosts: 10, FirstByteIn: 1200 * time.Millisecond, AnswerIn: 1700 * time.Millisecond}

	It("lets a request wait for a quarter of its objective", func() {
		d := admitter.Decide(request(), learned(), full, epoch)
		Expect(d.Verdict).To(Equal(admitter.Wait))
		Expect(d.Until).To(Equal(epoch.Add(500 * time.Millisecond)))
	})

	// Guards against a wait past the point at which the answer is still in time.
	It("ends the wait while an answer is possible", func() {
		r := request()
		r.Deadline = epoch.Add(800 * time.Millisecond)
		d := admitter.Decide(r, learned(), admitter.Room{Running: 80, Own: 40, Slots: 80, Hosts: 2}, epoch)
		Expect(d.Verdict).To(Equal(admitter.Wait))
		Expect(d.Until.Sub(epoch)).To(BeNumerically("~", 250*time.Millisecond, 5*time.Millisecond))
	})

	// Guards against requests that are accepted although they end after their deadline.
	It("refuses at once what cannot be answered before the deadline", func() {
		room := full
		room.Ahead, room.AnswerIn = 200, 9*time.Second
		d := admitter.Decide(request(), learned(), room, epoch)
		Expect(d.Verdict).To(Equal(admitter.Refuse))
		Expect(d.Reason).To(Equal(admitter.NoTime))
		Expect(d.RetryAfter).To(Equal(2 * time.Second))
	})

	// Guards against a request that waits for a place that it cannot get in time, or that
	// is sent without one, where a limit of the caller must be kept.
	It("decides by the room that the caller expects", func() {
		decide := func(in, runTime time.Duration, now time.Time) admitter.Decision {
			r := request()
			r.RunTime = runTime
			return admitter.Decide(r, &admitter.Service{}, admitter.Room{In: in, Required: true}, now)
		}
		Expect(decide(5*time.Second, time.Second, epoch).Verdict).To(Equal(admitter.Wait))
		Expect(decide(5*time.Second, 3*time.Second, epoch).Reason).To(Equal(admitter.NoTime))
		Expect(decide(time.Second, 0, epoch.Add(time.Second)).RetryAfter).To(Equal(time.Second))
	})

	// Guards against an upstream's queue of late requests, which makes all others late.
	It("sends a request after its wait only if it may be in time", func() {
		later := epoch.Add(500 * time.Millisecond)
		Expect(admitter.Decide(request(), learned(), full, later).Verdict).To(Equal(admitter.Send))
		room := full
		room.FirstByteIn, room.AnswerIn = 3*time.Second, 4*time.Second
		d := admitter.Decide(request(), learned(), room, later)
		Expect(d.Verdict).To(Equal(admitter.Refuse))
		Expect(d.Reason).To(Equal(admitter.Late))
		Expect(d.RetryAfter).To(BeNumerically(">=", 50*time.Millisecond))
		r := request()
		r.SendLate = true
		Expect(admitter.Decide(r, learned(), room, later).Verdict).To(Equal(admitter.Send))
	})
})

var _ = Describe("Service", func() {
	// Guards against decisions by guesses while nothing was measured.
	It("knows nothing at first", func() {
		var s admitter.Service
		Expect(s.Knows("m")).To(BeFalse())
		Expect(learned().Knows("m")).To(BeTrue())
		Expect(learned().MeanTokens()).To(BeNumerically("~", 2000))
	})

	It("learns the time to the first byte and between tokens", func() {
		c := admitter.Candidate{Work: 38_000, Reading: 2000, Speed: 1, Running: 8, Slots: 8}
		first, answer := learned().QueuedIn(&c, &admitter.Request{Model: "m", OutputTokens: 50})
		Expect(first).To(BeNumerically("~", time.Second, 20*time.Millisecond))
		Expect(answer - first).To(BeNumerically("~", 500*time.Millisecond, 10*time.Millisecond))
	})

	// Guards against an upstream that is avoided long after it was slow.
	It("forgets the speed of an upstream within seconds", func() {
		s, now := learned(), epoch
		var speed admitter.Speed
		for range 10 {
			s.RecordFirstByte("m", 4000, 400*time.Millisecond, &speed, now)
		}
		Expect(speed.At(now)).To(BeNumerically("<", 0.5))
		Expect(speed.At(now.Add(12 * time.Second))).To(BeNumerically(">", 0.9))
	})

	// Guards against upstreams that look slow because they have answered short prompts,
	// whose time is that of the network.
	It("takes no speed from short times", func() {
		var speed admitter.Speed
		learned().RecordFirstByte("m", 400, 20*time.Millisecond, &speed, epoch)
		Expect(speed.At(epoch)).To(Equal(1.0))
	})

	It("expects some requests to have ended since loads were reported", func() {
		Expect(learned().Ended(16, 100*time.Millisecond)).To(Equal(2))
		Expect(learned().Ended(16, 10*time.Second)).To(Equal(8))
	})
})
