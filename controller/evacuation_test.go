package controller_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
)

// evacuationForms are the forms of orders in the log: as rollouts, which commit 4610b62 stores
// too, and in entries of their own kind.
var evacuationForms = map[string]func(o controller.EvacuationOrder) []controller.Item{
	"as rollouts":                  controller.EvacuationOrder.Items,
	"in entries of their own kind": func(o controller.EvacuationOrder) []controller.Item { return []controller.Item{{Evacuation: &o}} },
}

func evacuate(b *loggedMachine, form, zone string, end bool) controller.EvacuationResult {
	answers := b.applyEntry(evacuationForms[form](controller.EvacuationOrder{Zone: zone, End: end})...)
	return *answers[len(answers)-1].Evacuated
}

func evacuatedZones(p controller.Published) []string {
	var out []string
	for _, e := range p.Evacuations {
		out = append(out, e.Zone)
	}
	return out
}

var _ = Describe("Evacuations of zones", func() {
	forms := func(spec func(form string)) {
		for form := range evacuationForms {
			spec(form)
		}
	}

	// Guards against an order that is refused or starts again when its acknowledgement
	// was lost and it is sent a second time.
	It("accept a repeated order without an effect", func() {
		forms(func(form string) {
			b := newLoggedMachine(nil)
			Expect(evacuate(b, form, "a", true)).To(Equal(controller.EvacuationResult{Accepted: true}))
			Expect(evacuate(b, form, "a", false)).To(Equal(controller.EvacuationResult{Accepted: true, Changed: true}))
			first := b.Published()
			Expect(evacuate(b, form, "a", false)).To(Equal(controller.EvacuationResult{Accepted: true}))
			Expect(b.Published()).To(Equal(first))
			Expect(evacuate(b, form, "b", false).Changed).To(BeTrue())
			Expect(evacuate(b, form, "a", true).Changed).To(BeTrue())
			Expect(evacuatedZones(b.Published())).To(Equal([]string{"b"}))
			Expect(b.View().Evacuated).To(Equal(b.Published().Evacuations))
			Expect(b.Published().Rollouts).To(BeEmpty(), "no leader advances an evacuation")
			Expect(b.Published().Version).To(BeNumerically(">", first.Version), "hosts are told")
		})
	})

	// Guards against an order that a restart from a snapshot forgets, and against a
	// snapshot of a release without evacuations that cannot be read.
	It("are restored from a snapshot", func() {
		forms(func(form string) {
			b := newLoggedMachine(nil)
			before, err := b.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			evacuate(b, form, "a", false)
			after, err := b.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			c := newLoggedMachine(nil)
			Expect(c.Restore(after)).To(Succeed())
			Expect(c.Published()).To(Equal(b.Published()))
			Expect(c.Restore(before)).To(Succeed())
			Expect(evacuatedZones(c.Published())).To(BeEmpty())
		})
	})

	// Guards against a zone that stays evacuated or is forgotten because its orders were
	// written by two builds, which use different forms.
	It("follow the later order, whatever its form", func() {
		forms(func(first string) {
			forms(func(second string) {
				b := newLoggedMachine(nil)
				evacuate(b, first, "a", false)
				Expect(evacuate(b, second, "a", false)).To(Equal(controller.EvacuationResult{Accepted: true}))
				Expect(evacuatedZones(b.Published())).To(Equal([]string{"a"}))
				Expect(evacuate(b, second, "a", true).Changed).To(BeTrue())
				Expect(evacuatedZones(b.Published())).To(BeEmpty())
				Expect(evacuate(b, first, "a", false).Changed).To(BeTrue())
				Expect(evacuatedZones(b.Published())).To(Equal([]string{"a"}))
			})
		})
	})

	// Guards against state that grows without bound.
	It("are bounded", func() {
		b := newLoggedMachine(nil)
		const form = "in entries of their own kind"
		for i := range 64 {
			Expect(evacuate(b, form, fmt.Sprint("z", i), false).Accepted).To(BeTrue())
		}
		Expect(evacuate(b, form, "one more", false).Accepted).To(BeFalse())
		Expect(evacuate(b, form, "z0", true).Accepted).To(BeTrue())
		Expect(evacuate(b, form, "one more", false).Accepted).To(BeTrue())
	})
})
