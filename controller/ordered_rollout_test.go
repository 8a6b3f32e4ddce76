package controller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
)

var _ = Describe("Documents and ordered rollouts", func() {
	put := func(b *loggedMachine, version uint64, body string) uint64 {
		return b.applyEntry(controller.Item{Put: &controller.Document{Version: version, Body: []byte(body)}})[0].Put
	}
	order := func(b *loggedMachine, target string) *controller.OrderResult {
		o := &controller.RolloutOrder{Service: "s", Target: target, Duration: time.Minute}
		return b.applyEntry(controller.Item{Order: o})[0].Ordered
	}

	// Guards against a document that is replaced by an older one, or by
	// different content with the same version.
	It("keeps the document with the highest version", func() {
		b := newLoggedMachine(nil)
		Expect(put(b, 7, "a")).To(Equal(uint64(7)))
		Expect(put(b, 5, "b")).To(Equal(uint64(7)))
		Expect(put(b, 7, "c")).To(Equal(uint64(7)))
		Expect(string(b.Published().Document.Body)).To(Equal("a"))
		before := b.Published().Version
		Expect(put(b, 9, "d")).To(Equal(uint64(9)))
		Expect(b.Published().Version).To(BeNumerically(">", before))
	})

	// Guards against a rollout that restarts when its order is resent after a
	// lost answer, and against two concurrent rollouts of a service.
	It("accepts a repeated order without restarting the rollout", func() {
		b := newLoggedMachine(nil)
		first := order(b, "v2")
		b.at = b.at.Add(time.Second)
		again := order(b, "v2")
		Expect(again.Accepted).To(BeTrue())
		Expect(again.Rollout.StartedAt).To(Equal(first.Rollout.StartedAt))
		Expect(order(b, "v3").Accepted).To(BeFalse())
	})

	// Guards against a rollout that continues after it has ended.
	It("refuses steps of an ended rollout", func() {
		b := newLoggedMachine(nil)
		order(b, "v2")
		step := func(s controller.RolloutState, share int) bool {
			return b.applyEntry(controller.Item{Step: &controller.RolloutStep{Service: "s", Target: "v2", State: s, Share: share}})[0].OK
		}
		Expect(step(controller.RolloutRunning, 50)).To(BeTrue())
		Expect(step(controller.RolloutRolledBack, 0)).To(BeTrue())
		Expect(step(controller.RolloutCompleted, 1000)).To(BeFalse())
		Expect(b.Published().Rollouts).To(HaveLen(1))
		Expect(b.Published().Rollouts[0].State).To(Equal(controller.RolloutRolledBack))
	})

	// Guards against a snapshot that loses acknowledged changes.
	It("restores documents and rollouts from a snapshot", func() {
		b := newLoggedMachine(nil)
		put(b, 7, "a")
		order(b, "v2")
		data, err := b.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		c := newLoggedMachine(nil)
		Expect(c.Restore(data)).To(Succeed())
		Expect(c.Published()).To(Equal(b.Published()))
	})
})
