package delegator_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/delegator"
	"foxtailwall/timekeeper"
)

func TestDelegator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "delegator")
}

// Guards against one host that gets all requests of a partitioned host, and against
// requests that wait for a host that cannot be reached.
var _ = Describe("Pool", func() {
	addresses := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")}

	It("spreads requests over the hosts and leaves out those that failed for a while", func() {
		clock := timekeeper.NewFake(time.Unix(0, 0))
		p := delegator.Pool{Clock: clock}
		_, ok := p.Pick(nil)
		Expect(ok).To(BeFalse())
		p.Update(addresses)
		counts := make(map[netip.AddrPort]int)
		var tickets []*delegator.Ticket
		for range 9 {
			t, ok := p.Pick(nil)
			Expect(ok).To(BeTrue())
			counts[t.Address()]++
			tickets = append(tickets, t)
		}
		Expect(counts).To(Equal(map[netip.AddrPort]int{addresses[0]: 3, addresses[1]: 3, addresses[2]: 3}))
		for i, t := range tickets {
			t.Done([]delegator.Outcome{delegator.Answered, delegator.Refused, delegator.Unreached}[i%3])
		}
		first, ok := p.Pick(nil)
		Expect(ok).To(BeTrue())
		_, ok = p.Pick([]netip.AddrPort{first.Address()})
		Expect(ok).To(BeFalse())
		clock.Advance(time.Second)
		p.Update(addresses)
		_, ok = p.Pick(addresses[:2])
		Expect(ok).To(BeTrue())
	})
})
