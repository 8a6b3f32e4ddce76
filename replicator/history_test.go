package replicator

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// loadUntil runs under load, without chance faults, until done or for a minute.
func (s *sim) loadUntil(what string, done func() bool) {
	for end := s.now + time.Minute; !done(); {
		Expect(s.now).To(BeNumerically("<", end), "%s does not happen:\n%s", what, s.state())
		if s.chance(0.3) {
			s.call()
		}
		s.step()
	}
}

// acknowledged runs until one more command than now is acknowledged.
func (s *sim) acknowledged() {
	before := s.ackedCommands()
	s.loadUntil("an acknowledgement", func() bool { return s.ackedCommands() > before })
}

func (s *sim) ackedCommands() int {
	n := 0
	for _, o := range s.ops {
		if o.acked && !o.read {
			n++
		}
	}
	return n
}

// halve cuts the network between the first n hosts and the others.
func (s *sim) halve(n int) {
	for i := range s.hosts {
		for k := range s.hosts {
			if (i < n) != (k < n) {
				s.cut[[2]int{i, k}] = true
			}
		}
	}
}

var _ = Describe("Group that is joined through seeds", func() {
	// Each history ends with the group whole again; every acknowledged command
	// must be there, once and in its place, and each member must vote.
	DescribeTable("keeps what was acknowledged",
		func(hosts, voters int, history func(s *sim)) {
			for seed := range uint64(12) {
				s := newSeededSim(1000+seed, hosts, voters)
				s.heal()
				s.acknowledged()
				history(s)
				s.heal()
				s.acknowledged()
				s.heal()
				Expect(s.check()).To(BeNumerically(">=", 2))
			}
		},
		// Guards against an acknowledgement that rests on a disk which is lost
		// next, and against a wiped member that votes before it has caught up.
		Entry("a disk is lost right after an acknowledgement, and another after the repair", 3, 3, func(s *sim) {
			s.wipe(s.leader())
			s.loadUntil("the repair", s.repaired)
			s.acknowledged()
			s.wipe(s.leader())
		}),
		// Guards against removals that lower the group below the disks that
		// may be lost while an empty host takes the place of one that is gone.
		Entry("a replacement and a lost disk overlap", 5, 5, func(s *sim) {
			s.replace(s.pick())
			s.acknowledged()
			for _, h := range s.hosts {
				if !h.emptied {
					s.wipe(h)
					break
				}
			}
			s.acknowledged()
		}),
		// Guards against two halves that both serve, and against the smaller
		// one changing the members.
		Entry("the group is cut in two", 5, 5, func(s *sim) {
			s.halve(2)
			s.loadUntil("a leader in the larger half", func() bool {
				lead := s.leader()
				return lead != nil && lead.peer.Addr.Port() >= s.hosts[2].peer.Addr.Port()
			})
			s.acknowledged()
			clear(s.cut)
			s.halve(3)
			s.acknowledged()
		}),
		// Guards against a group that waits for a member which no longer
		// exists, or forms anew, when no host is left that remembers it.
		Entry("all hosts are killed at once", 3, 3, func(s *sim) {
			s.acknowledged()
			for _, h := range s.hosts {
				s.crash(h)
			}
		}),
		// Guards against the loss of what only a disk that is lost with the
		// power of all others had.
		Entry("all hosts lose power and one its disk", 3, 3, func(s *sim) {
			s.acknowledged()
			lead := s.leader()
			for _, h := range s.hosts {
				if h != lead {
					s.crash(h)
				}
			}
			s.wipe(lead)
		}),
	)
})
