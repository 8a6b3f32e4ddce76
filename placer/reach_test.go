package placer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/placer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

// Guards against hosts that refuse the requests of all services because all upstreams of
// one have stopped and no request of another was under way.
var _ = Describe("A host whose upstreams of one service have all stopped", func() {
	It("goes on sending requests to other services and finds out that it reaches them", func() {
		clock := timekeeper.NewFake(time.Unix(100, 0))
		p := placer.New(placer.Settings{Clock: clock, Zone: "a"})
		var list []tracker.Upstream
		for i := range 6 {
			list = append(list, tracker.Upstream{ID: fmt.Sprint("e", i), Service: "engines", Zone: "a", Version: "v1", Slots: 8})
		}
		list = append(list, tracker.Upstream{ID: "p", Service: "plain", Zone: "a", Version: "v1", Slots: 8})
		p.Update(list)
		for range 6 {
			t, ok := p.Pick(placer.Request{Service: "engines"})
			Expect(ok).To(BeTrue())
			t.Done(placer.NotListening, 0)
			clock.Advance(100 * time.Millisecond)
		}
		Expect(p.Partitioned()).To(BeTrue())
		Expect(p.PartitionedFrom("engines")).To(BeTrue())
		Expect(p.PartitionedFrom("plain")).To(BeFalse())
		u, ok := p.NextProbed()
		Expect(ok).To(BeTrue())
		Expect(u.ID).To(Equal("p"))
		p.RecordReached()
		Expect(p.Partitioned()).To(BeFalse())
	})

	It("is partitioned once an upstream of each service that it has tried has failed", func() {
		clock := timekeeper.NewFake(time.Unix(100, 0))
		p := placer.New(placer.Settings{Clock: clock, Zone: "a"})
		var list []tracker.Upstream
		for i, service := range []string{"engines", "engines", "engines", "plain"} {
			list = append(list, tracker.Upstream{ID: fmt.Sprint("u", i), Service: service, Zone: "a", Version: "v1", Slots: 8})
		}
		p.Update(list)
		for _, service := range []string{"engines", "engines", "engines", "plain"} {
			t, ok := p.Pick(placer.Request{Service: service})
			Expect(ok).To(BeTrue())
			clock.Advance(150 * time.Millisecond)
			t.Done(placer.Silent, 0)
		}
		Expect(p.PartitionedFrom("engines")).To(BeTrue())
		Expect(p.PartitionedFrom("plain")).To(BeTrue())
	})
})
