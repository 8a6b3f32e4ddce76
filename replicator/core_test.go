package replicator

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/journaler"
)

// newTestCore returns the core of member a in a group of the given members, by
// default the voters a, b and c. Its journal holds a snapshot with the
// membership at index 1 and one command of term 2.
func newTestCore(meta journaler.Meta, members ...Member) *core {
	if members == nil {
		members = []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	}
	membership, err := encodeMembership(members)
	Expect(err).NotTo(HaveOccurred())
	p := params{heartbeatInterval: defaultHeartbeatInterval, electionTimeout: defaultElectionTimeout, leaseDuration: defaultLeaseDuration, trailingEntries: 10, chunkBytes: 10}
	c, err := newCore(p, Member{ID: "a", Name: "a"}, nil, rand.New(rand.NewPCG(1, 1)), journaler.State{
		Meta:     meta,
		Snapshot: journaler.Snapshot{Index: 1, Term: 1, Config: membership},
		Entries:  []journaler.Entry{{Index: 2, Term: 2}},
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

// electLeader makes c the leader of term 3.
func electLeader(c *core) {
	now := 2 * defaultElectionTimeout
	c.tick(now)
	Expect(c.handleMessage(now, &Message{Kind: kindPreVoteReply, From: "b", Term: 3})).To(Succeed())
	c.takeOutput()
	Expect(c.handleMessage(now, &Message{Kind: kindVoteReply, From: "b", Term: 3})).To(Succeed())
	Expect(c.role).To(Equal(leader))
	c.takeOutput()
	c.markSynced()
}

// ackEntries acknowledges the entries up to index on behalf of a member.
func ackEntries(c *core, from string, index uint64) {
	Expect(c.handleMessage(c.now, &Message{Kind: kindAppendReply, From: from, Term: 3, Index: index, Sent: c.now})).To(Succeed())
}

var _ = Describe("core", func() {
	// Guards against two leaders in one term.
	It("votes once per term, even after a restart", func() {
		c := newTestCore(journaler.Meta{Term: 2})
		ask := func(from string) bool {
			Expect(c.handleMessage(3*time.Second, &Message{
				Kind: kindVote, From: from, Term: 5, Index: 2, LogTerm: 2, Member: &Member{ID: from},
			})).To(Succeed())
			r := c.takeOutput()
			return !r.afterSync[0].message.Reject
		}
		Expect(ask("b")).To(BeTrue())
		Expect(ask("c")).To(BeFalse())
		c = newTestCore(c.meta)
		Expect(ask("c")).To(BeFalse())
		Expect(ask("b")).To(BeTrue())
	})

	// Guards against committing an entry that the leader of an intermediate term
	// can still replace.
	It("commits entries of earlier terms only with an entry of its own term", func() {
		c := newTestCore(journaler.Meta{Term: 2})
		electLeader(c)
		ackEntries(c, "b", 2)
		Expect(c.commit).To(Equal(uint64(1)))
		ackEntries(c, "b", 3)
		Expect(c.commit).To(Equal(uint64(3)))
	})

	// Guards against a group without a leader for as long as one disk takes 0.3 s for a sync:
	// each new leader stepped down before the first answer could arrive.
	It("leads for an election timeout without an answer, and no longer", func() {
		c := newTestCore(journaler.Meta{Term: 2})
		electLeader(c)
		elected, limit := c.now, c.electionTimeout+c.heartbeatInterval
		c.tick(elected + limit - time.Millisecond)
		Expect(c.role).To(Equal(leader))
		Expect(c.leaseExpiry()).To(BeNumerically("<=", elected))
		c.tick(elected + limit)
		Expect(c.role).To(Equal(follower))
	})

	// Guards against a member that reports a command to its caller before the
	// leader's lease reads show it.
	It("sends its applied index as the commit index", func() {
		c := newTestCore(journaler.Meta{Term: 2})
		electLeader(c)
		ackEntries(c, "b", 3)
		c.broadcast()
		for _, e := range c.takeOutput().beforeSync {
			Expect(e.message.Commit).To(Equal(uint64(1)))
		}
	})

	// Guards against a leader that forgets its term in a crash and then leads the
	// same term again with a different log.
	It("sends no message of a new term before the term is durable", func() {
		c := newTestCore(journaler.Meta{Term: 2}, Member{ID: "a", Voter: true}, Member{ID: "d"})
		c.tick(2 * defaultElectionTimeout)
		Expect(c.role).To(Equal(leader))
		r := c.takeOutput()
		Expect(r.meta.Vote).To(Equal("a"))
		Expect(r.beforeSync).To(BeEmpty())
		Expect(r.afterSync).NotTo(BeEmpty())
	})

	// Guards against a host with a wiped disk that answers as its old identity.
	It("ignores messages for another identity", func() {
		c := newTestCore(journaler.Meta{Term: 2})
		Expect(c.handleMessage(time.Second, &Message{
			Kind: kindAppend, From: "b", To: "a-old", Term: 9, Member: &Member{ID: "b"},
		})).To(Succeed())
		Expect(c.takeOutput().afterSync).To(BeEmpty())
		Expect(c.meta.Term).To(Equal(uint64(2)))
	})

	// Guards against a leader whose memory fills with messages for a member that
	// does not answer, and against one that never resumes sending.
	It("bounds the entries in flight to a silent member", func() {
		c := newTestCore(journaler.Meta{Term: 2})
		electLeader(c)
		ackEntries(c, "b", 3)
		for range 40 {
			c.appendEntry(entryCommand, make([]byte, 1<<20))
		}
		sent := func() (n int) {
			c.replicateAll()
			for _, e := range c.takeOutput().beforeSync {
				if e.message.To == "b" {
					n += len(e.message.Entries)
				}
			}
			c.markSynced()
			return n
		}
		Expect(sent()).To(Equal(16))
		Expect(sent()).To(BeZero())
		ackEntries(c, "b", 3+8)
		Expect(sent()).To(BeNumerically("~", 8, 1))
		ackEntries(c, "b", 3+24)
		Expect(sent()).To(BeNumerically(">=", 15))
	})

	// Guards against two membership changes at once, whose majorities need
	// not intersect, and against a voter that lacks committed entries.
	It("makes one membership change at a time and promotes only learners that have caught up", func() {
		c := newTestCore(journaler.Meta{Term: 2})
		electLeader(c)
		var me *MembershipError
		_, err := c.addLearner(Member{ID: "d"})
		Expect(errors.As(err, &me)).To(BeTrue(), "add before the first entry of the term is committed")
		ackEntries(c, "b", 3)
		_, err = c.addLearner(Member{ID: "d"})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.removeMember("c")
		Expect(errors.As(err, &me)).To(BeTrue(), "remove while another change is not committed")
		c.takeOutput()
		c.markSynced()
		ackEntries(c, "b", 4)
		Expect(c.commit).To(Equal(uint64(4)))
		ackEntries(c, "d", 3)
		c.tick(c.now)
		Expect(c.isVoter("d")).To(BeFalse())
		ackEntries(c, "d", 4)
		c.tick(c.now)
		Expect(c.isVoter("d")).To(BeTrue())
	})
})

var _ = Describe("simulated group", func() {
	// Guards against reporting a command as not run while it is in the log.
	It("reports to a canceled caller whether the command may have run", func() {
		s := newSim(1, 3)
		s.heal()
		g := s.leader().group
		for _, claimed := range []bool{false, true} {
			ctx, cancel := context.WithCancel(context.Background())
			result := make(chan error)
			go func() {
				_, _, err := g.Propose(ctx, []byte("x"))
				result <- err
			}()
			c, err := g.calls.Take(context.Background())
			Expect(err).NotTo(HaveOccurred())
			if claimed {
				Expect(c.claim()).To(BeTrue())
			}
			cancel()
			Expect(NotRun(<-result)).To(Equal(!claimed))
		}
	})

	// Guards against an unknown outcome for a command that certainly has no
	// effect, because another entry was committed in its place.
	It("reports a command as not run when another leader's entry is committed instead", func() {
		s := newSim(2, 3)
		s.heal()
		old := s.leader()
		for i, h := range s.hosts {
			k := int(old.peer.Addr.Port()) - 7000
			s.cutLinks[[2]int{i, k}], s.cutLinks[[2]int{k, i}] = h != old, h != old
		}
		c := &call{cmd: make([]byte, 8), result: make(chan outcome, 1)}
		old.calls = append(old.calls, c)
		for l := old; l == nil || l == old || l.group.core.commit < l.group.core.termStart; l = s.leader() {
			s.step()
		}
		Expect(c.result).To(BeEmpty())
		s.heal()
		Expect(NotRun((<-c.result).err)).To(BeTrue())
	})

	// Guards against a member that stays unreachable after a restart at another
	// address, even if a peer list still holds the old one.
	It("records the address of a member that was restarted elsewhere", func() {
		s := newSim(4, 3)
		s.heal()
		moved := s.hosts[0]
		move := func() {
			s.crash(moved)
			moved.peer.Addr = netip.AddrPortFrom(moved.peer.Addr.Addr(), moved.peer.Addr.Port()+1000)
		}
		check := func() {
			s.heal()
			for range 100 {
				s.step()
			}
			m, _ := s.leader().group.core.member(moved.group.ID())
			Expect(m.Addr).To(Equal(moved.peer.Addr))
		}
		move()
		check()
		// The moved member becomes leader after this restart, so it must record its
		// new address itself.
		move()
		for _, h := range s.hosts {
			if h != moved {
				h.pausedUntil = s.now + time.Minute
			}
		}
		for moved.group == nil {
			s.step()
		}
		for _, h := range s.hosts {
			h.pausedUntil, h.inbox, s.packets = 0, nil, nil
			h.group.core.becomeFollower(h.group.core.meta.Term, "")
			h.group.core.lastLeaderContact = -defaultElectionTimeout
			if h != moved {
				h.group.core.electionWait = time.Minute
			}
		}
		check()
		Expect(s.leader()).To(BeIdenticalTo(moved), s.describe())
	})

	// Guards against a snapshot transfer that restarts whenever the leader takes
	// a newer snapshot, and so never ends under load.
	It("finishes a snapshot transfer while newer snapshots are taken", func() {
		s := newSim(5, 3)
		s.heal()
		h := s.hosts[(slices.Index(s.hosts, s.leader())+1)%3]
		s.crash(h)
		h.downUntil = s.now + time.Minute
		load := func(n int) {
			for range n {
				s.leader().calls = append(s.leader().calls, &call{cmd: make([]byte, 8), result: make(chan outcome, 1)})
				s.step()
			}
		}
		load(400)
		h.downUntil = s.now
		s.leader().group.core.chunkBytes = 100
		before := s.leader().group.core.snap.Index
		load(600)
		Expect(s.leader().group.core.snap.Index).To(BeNumerically(">", before+100))
		Expect(h.group.core.commit).To(BeNumerically(">", before))
		Expect(h.group.core.commit).To(BeNumerically(">", s.leader().group.core.commit-50))
	})

	// Guards against a stale read by a leader whose lease has expired and that
	// does not know whether another leader was elected.
	It("completes a barrier without a lease only after a majority has answered", func() {
		s := newSim(3, 3)
		s.heal()
		lead := s.leader()
		s.now += defaultLeaseDuration + 5*time.Millisecond
		Expect(lead.group.HoldsLease()).To(BeFalse())
		c := &call{barrier: true, result: make(chan outcome, 1)}
		lead.calls = append(lead.calls, c)
		lead.inbox = nil
		s.runTurn(lead)
		Expect(lead.group.core.role).To(Equal(leader))
		Expect(c.result).To(BeEmpty())
		for len(c.result) == 0 {
			s.step()
		}
		Expect((<-c.result).err).NotTo(HaveOccurred())
	})
})
