package controller_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
)

var _ = Describe("Evacuations of zones", func() {
	order := func(b *loggedMachine, zone string, end bool) controller.EvacuationResult {
		return *b.applyEntry(controller.Item{Evacuation: &controller.EvacuationOrder{Zone: zone, End: end}})[0].Evacuated
	}
	zones := func(b *loggedMachine) []string {
		var out []string
		for _, e := range b.Published().Evacuations {
			out = append(out, e.Zone)
		}
		return out
	}

	// Guards against an order that is refused or starts again when its acknowledgement
	// was lost and it is sent a second time.
	It("accept a repeated order without an effect", func() {
		b := newLoggedMachine(nil)
		Expect(order(b, "a", true)).To(Equal(controller.EvacuationResult{Accepted: true}))
		Expect(order(b, "a", false)).To(Equal(controller.EvacuationResult{Accepted: true, Changed: true}))
		first := b.Published()
		Expect(order(b, "a", false)).To(Equal(controller.EvacuationResult{Accepted: true}))
		Expect(b.Published()).To(Equal(first))
		Expect(order(b, "b", false).Changed).To(BeTrue())
		Expect(order(b, "a", true).Changed).To(BeTrue())
		Expect(zones(b)).To(Equal([]string{"b"}))
		Expect(b.Published().Version).To(BeNumerically(">", first.Version), "hosts are told")
	})

	// Guards against an order that a restart from a snapshot forgets, and against a
	// snapshot of a release without evacuations that cannot be read.
	It("are restored from a snapshot", func() {
		b := newLoggedMachine(nil)
		before, err := b.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		order(b, "a", false)
		after, err := b.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		c := newLoggedMachine(nil)
		Expect(c.Restore(after)).To(Succeed())
		Expect(c.Published()).To(Equal(b.Published()))
		Expect(c.Restore(before)).To(Succeed())
		Expect(zones(c)).To(BeEmpty())
	})

	// Guards against state that grows without bound.
	It("are bounded", func() {
		b := newLoggedMachine(nil)
		for i := range 64 {
			Expect(order(b, fmt.Sprint("z", i), false).Accepted).To(BeTrue())
		}
		Expect(order(b, "one more", false).Accepted).To(BeFalse())
		Expect(order(b, "z0", true).Accepted).To(BeTrue())
		Expect(order(b, "one more", false).Accepted).To(BeTrue())
	})
})
