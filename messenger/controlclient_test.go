package messenger_test

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/claimer"
	"foxtailwall/timekeeper"
)

var _ = Describe("Work left for later", func() {
	// Guards against responses that are never stored: those that gathered
	// while no host led went out in one call, which exceeded the limit of the
	// replicated log.
	It("is sent in calls that the replicated log takes", func(ctx context.Context) {
		const responses, limit = 100, 4 << 20
		l, members := controlGroup(1, timekeeper.System{})
		c := controlClient(l, timekeeper.System{}, 100*time.Millisecond)
		keys := make([]claimer.Key, responses)
		for i := range keys {
			keys[i] = newKey()
			_, err := c.Claim(ctx, claimer.Request{Key: keys[i], RequestID: keys[i].Key})
			Expect(err).NotTo(HaveOccurred())
		}
		lead := func(claims *netip.AddrPort) {
			l.mu.Lock()
			defer l.mu.Unlock()
			members[0].claims, l.limit = claims, limit
		}
		lead(&netip.AddrPort{})
		for _, k := range keys {
			Expect(c.Finish(ctx, k, k.Key, claimer.Response{Status: 201, Body: make([]byte, claimer.MaxResponse)})).NotTo(Succeed())
		}
		lead(nil)
		for _, k := range keys {
			Eventually(func() (claimer.State, error) {
				res, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "again"})
				return res.State, err
			}).WithTimeout(20 * time.Second).Should(Equal(claimer.Finished))
		}
	}, NodeTimeout(time.Minute))
})
