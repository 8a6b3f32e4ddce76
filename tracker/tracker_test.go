package tracker_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/tracker"
)

func TestTracker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tracker")
}

func up(id string, born int64, leaving bool) tracker.Upstream {
	return tracker.Upstream{ID: id, StartedAt: born, Address: netip.MustParseAddrPort("127.0.0.1:80"), Leaving: leaving}
}

var _ = Describe("Inventory", func() {
	// Guards against new requests to a leaving upstream that an outdated page
	// of the list shows as ready again.
	It("keeps an incarnation marked as leaving", func() {
		var v tracker.Inventory
		Expect(v.Update([]tracker.Upstream{up("a", 1, false)})).To(BeTrue())
		Expect(v.Update([]tracker.Upstream{up("a", 1, true)})).To(BeTrue())
		Expect(v.Update([]tracker.Upstream{up("a", 1, false)})).To(BeFalse())
		Expect(v.List()[0].Leaving).To(BeTrue())
	})

	// Guards against an upstream that never gets requests after it restarted
	// with the same ID.
	It("treats a restart with the same ID as a new incarnation", func() {
		var v tracker.Inventory
		v.Update([]tracker.Upstream{up("a", 1, true)})
		v.Update([]tracker.Upstream{up("a", 2, false)})
		Expect(v.List()[0].Leaving).To(BeFalse())
	})

	// Guards against needless updates to all hosts.
	It("reports no change if only the remaining cold time differs", func() {
		var v tracker.Inventory
		a := up("a", 1, false)
		a.ColdLeft = time.Second
		Expect(v.Update([]tracker.Upstream{a})).To(BeTrue())
		a.ColdLeft = time.Millisecond
		Expect(v.Update([]tracker.Upstream{a})).To(BeFalse())
	})
})
