package replicator

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReplicator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replicator")
}

var _ = Describe("Group", func() {
	// Guards against lost or reordered acknowledged commands, stale reads, a
	// command that takes effect after a refusal as not run, two leaders that
	// serve reads at once, and a group that does not recover.
	It("stays linearizable under faults of network, disks and hosts", func() {
		acked, wipes := 0, 0
		for seed := range uint64(24) {
			s := newSim(seed, 3+2*int(seed%2))
			s.heal()
			s.calm = false
			s.run(2 * time.Minute)
			s.heal()
			acked += s.check()
			wipes += s.wipes
		}
		GinkgoWriter.Println("acknowledged", acked, "wiped disks", wipes)
		Expect(acked).To(BeNumerically(">", 5000))
		Expect(wipes).To(BeNumerically(">", 100))
	})
})
