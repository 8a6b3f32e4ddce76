package coordinator_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/coordinator"
)

// Guards against orders for a zone that only the leader takes, that a repetition at
// another host refuses, or that are lost with the processes or a disk.
var _ = Describe("An evacuation", func() {
	order := func(h *hosts, call func(ctx context.Context, zone string) error, zone string) {
		Eventually(func() error { return call(context.Background(), zone) }, eventTimeout).WithContext(h.ctx).Should(Succeed())
	}
	evacuated := func(c *coordinator.Coordinator) func() []string {
		return func() []string {
			var out []string
			for _, e := range c.Published().Evacuations {
				out = append(out, e.Zone)
			}
			return out
		}
	}

	It("is acknowledged by any host and kept through restarts", func() {
		h := newHosts(3)
		for i := range 3 {
			h.start(i, true)
		}
		for i := range 3 {
			order(h, h.running[i].StartEvacuation, "a")
		}
		order(h, h.running[0].StartEvacuation, "b")
		order(h, h.running[2].EndEvacuation, "b")
		for i := range 3 {
			h.stop(i)
		}
		h.folders[1] = GinkgoT().TempDir()
		for i := range 3 {
			h.start(i, false)
		}
		for i := range 3 {
			Eventually(evacuated(h.running[i]), eventTimeout).WithContext(h.ctx).Should(Equal([]string{"a"}))
		}
	})
})
