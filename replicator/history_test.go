package replicator

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// runUntil runs under load, without random faults, until done returns true. It
// fails after a simulated minute.
func (s *sim) runUntil(what string, done func() bool) {
	for end := s.now + time.Minute; !done(); {
		Expect(s.now).To(BeNumerically("<", end), "timed out waiting for %s:\n%s", what, s.describe())
		if s.chance(0.3) {
			s.startOperation()
		}
		s.step()
	}
}

// runUntilAcknowledged runs until one more command is acknowledged.
func (s *sim) runUntilAcknowledged() {
	before := s.countAckedCommands()
	s.runUntil("an acknowledgement", func() bool { return s.countAckedCommands() > before })
}

func (s *sim) countAckedCommands() int {
	n := 0
	for _, o := range s.operations {
		if o.acked && !o.read {
			n++
		}
	}
	return n
}

// partition cuts the network between the first n hosts and the others.
func (s *sim) partition(n int) {
	for i := range s.hosts {
		for k := range s.hosts {
			if (i < n) != (k < n) {
				s.cutLinks[[2]int{i, k}] = true
			}
		}
	}
}

var _ = Describe("Group that hosts join through seeds", func() {
	// After each scenario the faults end. Every acknowledged command must then be
	// present once and in order, and all voters must be back.
	DescribeTable("keeps every acknowledged command",
		func(hosts, voters int, scenario func(s *sim)) {
			for seed := range uint64(12) {
				s := newSeededSim(1000+seed, hosts, voters)
				s.heal()
				s.runUntilAcknowledged()
				scenario(s)
				s.heal()
				s.runUntilAcknowledged()
				s.heal()
				Expect(s.checkHistory()).To(BeNumerically(">=", 2))
			}
		},
		// Guards against an acknowledged command that was stored only on a disk that
		// is lost next, and against a wiped member that votes before it has caught up.
		Entry("a disk is lost right after an acknowledgement, and another after the repair", 3, 3, func(s *sim) {
			s.wipeDisk(s.leader())
			s.runUntil("the repair", s.isRepaired)
			s.runUntilAcknowledged()
			s.wipeDisk(s.leader())
		}),
		// Guards against removals that leave too few voters to survive the loss of
		// a disk while an empty host replaces a lost one.
		Entry("a disk is lost while another host is being replaced", 5, 5, func(s *sim) {
			s.replaceHost(s.randomHost())
			s.runUntilAcknowledged()
			for _, h := range s.hosts {
				if !h.diskLost {
					s.wipeDisk(h)
					break
				}
			}
			s.runUntilAcknowledged()
		}),
		// Guards against two partitions that both serve requests, and against a
		// membership change by the smaller one.
		Entry("a network partition splits the group", 5, 5, func(s *sim) {
			s.partition(2)
			s.runUntil("a leader in the larger half", func() bool {
				lead := s.leader()
				return lead != nil && lead.peer.Addr.Port() >= s.hosts[2].peer.Addr.Port()
			})
			s.runUntilAcknowledged()
			clear(s.cutLinks)
			s.partition(3)
			s.runUntilAcknowledged()
		}),
		// Guards against a group that waits for a member which no longer exists, or
		// that forms a new group, after all its hosts have restarted.
		Entry("all hosts are killed at once", 3, 3, func(s *sim) {
			s.runUntilAcknowledged()
			for _, h := range s.hosts {
				s.crash(h)
			}
		}),
		// Guards against the loss of commands that only the lost disk held when all
		// other hosts lost power.
		Entry("all hosts lose power and one loses its disk", 3, 3, func(s *sim) {
			s.runUntilAcknowledged()
			lead := s.leader()
			for _, h := range s.hosts {
				if h != lead {
					s.crash(h)
				}
			}
			s.wipeDisk(lead)
		}),
	)
})
