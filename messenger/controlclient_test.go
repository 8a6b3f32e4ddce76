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

var _ = Describe("Background submission", func() {
	// Guards against responses that are never stored because all that were
	// queued while there was no leader are sent in one call, which exceeds the
	// command size limit of the replicated log.
	It("stays within the command size limit of the replicated log", func(ctx context.Context) {
		const responses, limit = 100, 4 << 20
		l, members := startControlGroup(1, timekeeper.System{})
		c := startControlClient(l, timekeeper.System{}, 100*time.Millisecond)
		keys := make([]claimer.Key, responses)
		for i := range keys {
			keys[i] = newKey()
			_, err := c.Claim(ctx, claimer.Request{Key: keys[i], RequestID: keys[i].Key})
			Expect(err).NotTo(HaveOccurred())
		}
		setBelievedLeader := func(leader *netip.AddrPort) {
			l.mu.Lock()
			defer l.mu.Unlock()
			members[0].believedLeader, l.maxCommandBytes = leader, limit
		}
		setBelievedLeader(&netip.AddrPort{})
		for _, k := range keys {
			Expect(c.Finish(ctx, k, k.Key, claimer.Response{Status: 201, Body: make([]byte, claimer.MaxResponse)})).NotTo(Succeed())
		}
		setBelievedLeader(nil)
		for _, k := range keys {
			Eventually(func() (claimer.State, error) {
				res, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "again"})
				return res.State, err
			}).WithTimeout(20 * time.Second).Should(Equal(claimer.Finished))
		}
	}, NodeTimeout(time.Minute))

	// Guards against responses that are never stored because the call that
	// carries them takes longer than the client waits for the leader, and is
	// repeated with the same items each time.
	It("sends smaller calls after one that was not answered in time", func(ctx context.Context) {
		const responses = 10
		l, members := startControlGroup(1, timekeeper.System{})
		gate := make(chan struct{})
		DeferCleanup(func() { close(gate) })
		c := startControlClient(l, timekeeper.System{}, 500*time.Millisecond)
		keys := make([]claimer.Key, responses)
		for i := range keys {
			keys[i] = newKey()
			_, err := c.Claim(ctx, claimer.Request{Key: keys[i], RequestID: keys[i].Key})
			Expect(err).NotTo(HaveOccurred())
		}
		setBelievedLeader := func(leader *netip.AddrPort) {
			l.mu.Lock()
			defer l.mu.Unlock()
			members[0].believedLeader, l.gate, l.stallBytes = leader, gate, 3*claimer.MaxResponse
		}
		setBelievedLeader(&netip.AddrPort{})
		for _, k := range keys {
			Expect(c.Finish(ctx, k, k.Key, claimer.Response{Status: 201, Body: make([]byte, claimer.MaxResponse)})).NotTo(Succeed())
		}
		setBelievedLeader(nil)
		for _, k := range keys {
			Eventually(func() (claimer.State, error) {
				res, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "again"})
				return res.State, err
			}).WithTimeout(20 * time.Second).Should(Equal(claimer.Finished))
		}
	}, NodeTimeout(time.Minute))
})
