package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/placer"
	"foxtailwall/timekeeper"
)

var _ = Describe("An evacuated zone", func() {
	newPlacer := func() *placer.Placer {
		p := placer.New(placer.Settings{Clock: timekeeper.NewFake(time.Unix(100, 0)), Zone: "a"})
		p.Update(fleet(2, 64))
		return p
	}

	// Guards against requests to a zone that is being emptied: of the host's own zone,
	// of groups whose prefix is cached there, and probes of a partitioned host.
	It("gets no requests until the evacuation ends", func() {
		p := newPlacer()
		for g := range uint64(50) {
			t, ok := p.Pick(placer.Request{Service: "s", Group: g + 1, Work: 100, SharedTokens: 9000})
			Expect(ok).To(BeTrue())
			t.Done(placer.Succeeded, time.Millisecond)
		}
		p.SetEvacuated([]string{"a", "b"})
		for g := range uint64(50) {
			t, ok := p.Pick(placer.Request{Service: "s", Group: g + 1, Work: 100, SharedTokens: 9000})
			Expect(ok).To(BeTrue())
			Expect(t.Upstream().Zone).To(Equal("c"))
			probed, ok := p.NextProbed()
			Expect(ok).To(BeTrue())
			Expect(probed.Zone).To(Equal("c"))
		}
		p.SetEvacuated([]string{"a", "b", "c"})
		_, ok := p.Pick(placer.Request{Service: "s"})
		Expect(ok).To(BeFalse())
		p.SetEvacuated(nil)
		t, ok := p.Pick(placer.Request{Service: "s"})
		Expect(ok).To(BeTrue())
		Expect(t.Upstream().Zone).To(Equal("a"))
	})

	// Guards against sessions of a rollout's trial that are refused because all upstreams
	// of the new version are in the evacuated zone.
	It("is known to hold all upstreams of a version", func() {
		p := newPlacer()
		list := fleet(2, 64)
		for i := range list {
			if list[i].Zone == "a" {
				list[i].Version = "v2"
			}
		}
		p.Update(list)
		Expect(p.Evacuated("s", "v2")).To(BeFalse())
		p.SetEvacuated([]string{"a"})
		Expect(p.Evacuated("s", "v2")).To(BeTrue())
		Expect(p.Evacuated("s", "v1")).To(BeFalse())
		Expect(p.Evacuated("s", "v3")).To(BeFalse(), "it has none at all")
	})
})
