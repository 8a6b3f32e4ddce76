package hoster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
	"foxtailwall/timekeeper"
)

var _ = Describe("Outbox on disk", func() {
	// Guards against a billing record that was synced to disk and is lost when
	// the host is killed and restarted.
	It("keeps unacknowledged records when the host is killed and restarted", func() {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		dir := GinkgoT().TempDir()
		open := func() *Host {
			h := &Host{settings: Settings{DataFolder: dir}, clock: clock}
			Expect(h.openOutbox()).To(Succeed())
			return h
		}
		bill := func(id string) biller.Record {
			return biller.Record{ID: id, Revision: 1, Workspace: "w", Member: "m", Ending: biller.Complete, At: clock.Now().UTC()}
		}
		dueIDs := func(h *Host) map[string]bool {
			out := map[string]bool{}
			for _, r := range h.outbox.records.Due(clock.Now().Add(biller.WitnessDelay), 1000) {
				out[r.ID] = true
			}
			return out
		}
		var pending []string
		for restart := range 5 {
			h := open()
			for _, id := range pending {
				Expect(dueIDs(h)).To(HaveKey(id))
			}
			pending = nil
			for i := range 20 {
				r := bill(string(rune('a'+restart)) + string(rune('a'+i)))
				Expect(h.outbox.records.Hold(clock.Now(), []biller.Record{r})).To(Succeed())
				if i%2 == 0 {
					Expect(h.outbox.records.AddOwned(r)).To(Succeed())
					Expect(h.outbox.records.Acknowledge(biller.Marks([]biller.Record{r}))).To(Succeed())
					continue
				}
				pending = append(pending, r.ID)
			}
		}
	})
})
