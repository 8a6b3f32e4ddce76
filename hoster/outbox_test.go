package hoster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
	"foxtailwall/timekeeper"
)

var _ = Describe("outbox on a disk", func() {
	// Guards against a bill that was synced and is not delivered after the
	// host was killed and started again.
	It("keeps what was held through kills, whatever was acknowledged before", func() {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		dir := GinkgoT().TempDir()
		open := func() *Host {
			h := &Host{set: Settings{DataFolder: dir}, clock: clock}
			Expect(h.openOutbox()).To(Succeed())
			return h
		}
		bill := func(id string) biller.Record {
			return biller.Record{ID: id, Revision: 1, Workspace: "w", Member: "m", Ending: biller.Complete, At: clock.Now().UTC()}
		}
		ids := func(h *Host) map[string]bool {
			out := map[string]bool{}
			for _, r := range h.outbox.box.Due(clock.Now().Add(biller.WitnessDelay), 1000) {
				out[r.ID] = true
			}
			return out
		}
		var last []string
		for life := range 5 {
			h := open()
			for _, id := range last {
				Expect(ids(h)).To(HaveKey(id))
			}
			last = nil
			for i := range 20 {
				r := bill(string(rune('a'+life)) + string(rune('a'+i)))
				Expect(h.outbox.box.Hold(clock.Now(), []biller.Record{r})).To(Succeed())
				if i%2 == 0 {
					Expect(h.outbox.box.Own(r)).To(Succeed())
					Expect(h.outbox.box.Acknowledge(biller.Marks([]biller.Record{r}))).To(Succeed())
					continue
				}
				last = append(last, r.ID)
			}
		}
	})
})
