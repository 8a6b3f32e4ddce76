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
	// Guards against the failures of the test below in a group that hosts join
	// through seeds and whose members are wiped and replaced by empty ones at
	// other addresses, and against a second group formed by such a member.
	It("stays linearizable while members join through seeds and are replaced", func() {
		acked, wipes, replaced := 0, 0, 0
		for seed := range uint64(24) {
			s := newSeededSim(seed, 3+int(seed%3), 3)
			s.heal()
			s.faultsOff = false
			s.runWithFaults(2 * time.Minute)
			s.heal()
			acked += s.checkHistory()
			wipes += s.wipes
			replaced += s.replaced
		}
		GinkgoWriter.Println("acknowledged", acked, "wiped disks", wipes, "replaced", replaced)
		Expect(acked).To(BeNumerically(">", 5000))
		Expect(replaced).To(BeNumerically(">", 50))
	})

	// Guards against lost or reordered acknowledged commands, stale reads, a
	// command that takes effect after it was reported as not run, two leaders
	// that serve reads at once, and a group that does not recover.
	It("stays linearizable under faults of network, disks and hosts", func() {
		acked, wipes := 0, 0
		for seed := range uint64(24) {
			s := newSim(seed, 3+2*int(seed%2))
			s.heal()
			s.faultsOff = false
			s.runWithFaults(2 * time.Minute)
			s.heal()
			acked += s.checkHistory()
			wipes += s.wipes
		}
		GinkgoWriter.Println("acknowledged", acked, "wiped disks", wipes)
		Expect(acked).To(BeNumerically(">", 5000))
		Expect(wipes).To(BeNumerically(">", 100))
	})
})
