package controller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
)

var _ = Describe("Isolations of prompt parts", func() {
	part := func(id uint64) controller.PromptPart { return controller.PromptPart{Service: "s", ID: id} }
	step := func(b *loggedMachine, id uint64, end bool) bool {
		return b.applyEntry(controller.Item{Isolation: &controller.IsolationStep{Part: part(id), End: end}})[0].OK
	}

	// Guards against a part that is isolated for ever, or tried again as often and
	// as soon after each relapse.
	It("last longer each time and are forgotten in the end", func() {
		b := newLoggedMachine(nil)
		Expect(step(b, 7, true)).To(BeFalse(), "end without a start")
		var last time.Duration
		for times := 1; times <= 10; times++ {
			Expect(step(b, 7, false)).To(BeTrue())
			Expect(step(b, 7, false)).To(BeFalse(), "second start")
			got := b.Published().Isolations[0]
			Expect(got.Active).To(BeTrue())
			Expect(got.Times).To(Equal(times))
			duration := got.Until.Sub(b.at)
			Expect(duration).To(BeNumerically(">=", min(2*last, 24*time.Hour)))
			last = duration
			Expect(step(b, 7, true)).To(BeTrue())
			Expect(b.Published().Isolations[0].Active).To(BeFalse())
		}
		Expect(last).To(Equal(24 * time.Hour))
		b.at = b.at.Add(25 * time.Hour)
		Expect(step(b, 8, false)).To(BeTrue())
		Expect(b.Published().Isolations).To(HaveLen(1))
		Expect(b.Published().Isolations[0].Part).To(Equal(part(8)))
	})

	// Guards against state that grows without bound, and against dropping an
	// isolation in force while there are others.
	It("are bounded, and those that have ended are dropped first", func() {
		b := newLoggedMachine(nil)
		for id := range uint64(256) {
			step(b, id, false)
			b.at = b.at.Add(time.Second)
		}
		step(b, 100, true)
		step(b, 1000, false)
		list := b.Published().Isolations
		Expect(list).To(HaveLen(256))
		for _, i := range list {
			Expect(i.Active).To(BeTrue())
		}
		step(b, 1001, false)
		Expect(b.Published().Isolations).To(HaveLen(256))
		Expect(b.Published().Isolations[0].Part).To(Equal(part(1)), "the oldest is dropped")
	})

	// Guards against an isolation that is lost when control hosts restart.
	It("are restored from a snapshot", func() {
		b := newLoggedMachine(nil)
		step(b, 7, false)
		data, err := b.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		c := newLoggedMachine(nil)
		Expect(c.Restore(data)).To(Succeed())
		Expect(c.Published()).To(Equal(b.Published()))
	})

	// Guards against trials that are not counted, and against a harmless part that is
	// isolated again after one crash because it was isolated by mistake before.
	It("count their trials and are forgotten once one was served", func() {
		b := newLoggedMachine(nil)
		trial := controller.Item{Isolation: &controller.IsolationStep{Part: part(7), Trial: 9}}
		Expect(b.applyEntry(trial)[0].OK).To(BeFalse(), "no isolation")
		Expect(step(b, 7, false)).To(BeTrue())
		Expect(b.Published().Isolations[0].Since).To(BeTemporally("==", b.at))
		for n := 1; n <= controller.MaxIsolationTrials; n++ {
			Expect(b.applyEntry(trial)[0].OK).To(BeTrue())
			Expect(b.Published().Isolations[0].Trials).To(Equal(n))
			Expect(b.Published().Isolations[0].TrialBy).To(Equal(uint64(9)))
		}
		Expect(b.applyEntry(trial)[0].OK).To(BeFalse(), "too many")
		served := controller.Item{Isolation: &controller.IsolationStep{Part: part(7), End: true, Served: true}}
		Expect(b.applyEntry(served)[0].OK).To(BeTrue())
		Expect(b.Published().Isolations).To(BeEmpty())
		Expect(b.applyEntry(served)[0].OK).To(BeFalse())
	})

	// Guards against a hold that is lost, that does not count its trial, or that starts
	// again while the part is isolated.
	It("may begin with a hold, which a further start ends", func() {
		b := newLoggedMachine(nil)
		hold := controller.Item{Isolation: &controller.IsolationStep{Part: part(7), Hold: true, Trial: 9}}
		Expect(b.applyEntry(hold)[0].OK).To(BeTrue())
		want := b.Published().Isolations[0]
		Expect(want).To(And(HaveField("Active", true), HaveField("Held", true), HaveField("Trials", 1), HaveField("TrialBy", uint64(9))))
		Expect(b.applyEntry(hold)[0].OK).To(BeFalse())
		data, err := b.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		c := newLoggedMachine(nil)
		Expect(c.Restore(data)).To(Succeed())
		Expect(c.Published()).To(Equal(b.Published()))
		b.at = b.at.Add(time.Second)
		Expect(step(b, 7, false)).To(BeTrue())
		want.Held = false
		Expect(b.Published().Isolations).To(Equal([]controller.Isolation{want}))
		Expect(b.applyEntry(hold)[0].OK).To(BeFalse())
	})
})
