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

// start returns a core of member a with the given members, after a snapshot
// of their membership and one command of term 2.
func start(meta journaler.Meta, members ...Member) *core {
	if members == nil {
		members = []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	}
	conf, err := encodeConf(members)
	Expect(err).NotTo(HaveOccurred())
	t := tuning{heartbeat: defaultHeartbeat, election: defaultElection, lease: defaultLease, trailing: 10, chunk: 10}
	c, err := newCore(t, Member{ID: "a", Name: "a"}, nil, rand.New(rand.NewPCG(1, 1)), journaler.State{
		Meta:     meta,
		Snapshot: journaler.Snapshot{Index: 1, Term: 1, Config: conf},
		Entries:  []journaler.Entry{{Index: 2, Term: 2}},
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

// elect makes c the leader of term 3.
func elect(c *core) {
	now := 2 * defaultElection
	c.tick(now)
	Expect(c.step(now, &Message{Kind: kindPreVoteReply, From: "b", Term: 3})).To(Succeed())
	c.ready()
	Expect(c.step(now, &Message{Kind: kindVoteReply, From: "b", Term: 3})).To(Succeed())
	Expect(c.role).To(Equal(leader))
	c.ready()
	c.synced()
}

// ack lets a member confirm the entries up to index.
func ack(c *core, from string, index uint64) {
	Expect(c.step(c.now, &Message{Kind: kindAppendReply, From: from, Term: 3, Index: index, Sent: c.now})).To(Succeed())
}

var _ = Describe("core", func() {
	// Guards against two leaders of one term.
	It("votes once in a term, through a restart too", func() {
		c := start(journaler.Meta{Term: 2})
		ask := func(from string) bool {
			Expect(c.step(3*time.Second, &Message{
				Kind: kindVote, From: from, Term: 5, Index: 2, LogTerm: 2, Member: &Member{ID: from},
			})).To(Succeed())
			r := c.ready()
			return !r.late[0].m.Reject
		}
		Expect(ask("b")).To(BeTrue())
		Expect(ask("c")).To(BeFalse())
		c = start(c.meta)
		Expect(ask("c")).To(BeFalse())
		Expect(ask("b")).To(BeTrue())
	})

	// Guards against the commit of an entry that a leader of a term in
	// between can still replace.
	It("commits entries of earlier terms only with one of its own", func() {
		c := start(journaler.Meta{Term: 2})
		elect(c)
		ack(c, "b", 2)
		Expect(c.commit).To(Equal(uint64(1)))
		ack(c, "b", 3)
		Expect(c.commit).To(Equal(uint64(3)))
	})

	// Guards against a member that answers its own caller about a command
	// that the leader's lease reads do not show yet.
	It("announces as committed only what it has applied", func() {
		c := start(journaler.Meta{Term: 2})
		elect(c)
		ack(c, "b", 3)
		c.broadcast()
		for _, e := range c.ready().early {
			Expect(e.m.Commit).To(Equal(uint64(1)))
		}
	})

	// Guards against a leader that forgets its term in a crash and leads in
	// the same term again with another log.
	It("sends nothing in a term before the term is durable", func() {
		c := start(journaler.Meta{Term: 2}, Member{ID: "a", Voter: true}, Member{ID: "d"})
		c.tick(2 * defaultElection)
		Expect(c.role).To(Equal(leader))
		r := c.ready()
		Expect(r.meta.Vote).To(Equal("a"))
		Expect(r.early).To(BeEmpty())
		Expect(r.late).NotTo(BeEmpty())
	})

	// Guards against a host with a wiped disk that answers in the name of
	// its old identity.
	It("ignores messages for another identity", func() {
		c := start(journaler.Meta{Term: 2})
		Expect(c.step(time.Second, &Message{
			Kind: kindAppend, From: "b", To: "a-old", Term: 9, Member: &Member{ID: "b"},
		})).To(Succeed())
		Expect(c.ready().late).To(BeEmpty())
		Expect(c.meta.Term).To(Equal(uint64(2)))
	})

	// Guards against a leader whose memory fills with messages for a member
	// that does not answer, and against one that never sends to it again.
	It("bounds what is in flight to a silent member", func() {
		c := start(journaler.Meta{Term: 2})
		elect(c)
		ack(c, "b", 3)
		for range 40 {
			c.propose(entryCommand, make([]byte, 1<<20))
		}
		sent := func() (n int) {
			c.replicateAll()
			for _, e := range c.ready().early {
				if e.m.To == "b" {
					n += len(e.m.Entries)
				}
			}
			c.synced()
			return n
		}
		Expect(sent()).To(Equal(16))
		Expect(sent()).To(BeZero())
		ack(c, "b", 3+8)
		Expect(sent()).To(BeNumerically("~", 8, 1))
		ack(c, "b", 3+24)
		Expect(sent()).To(BeNumerically(">=", 15))
	})

	// Guards against two membership changes at once, whose majorities need
	// not intersect, and against a voter that lacks committed entries.
	It("changes the membership one at a time and promotes only who has caught up", func() {
		c := start(journaler.Meta{Term: 2})
		elect(c)
		var me *MembershipError
		_, err := c.add(Member{ID: "d"})
		Expect(errors.As(err, &me)).To(BeTrue(), "a change before the first entry of the term is committed")
		ack(c, "b", 3)
		_, err = c.add(Member{ID: "d"})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.remove("c")
		Expect(errors.As(err, &me)).To(BeTrue(), "a change while another is not committed")
		c.ready()
		c.synced()
		ack(c, "b", 4)
		Expect(c.commit).To(Equal(uint64(4)))
		ack(c, "d", 3)
		c.tick(c.now)
		Expect(c.isVoter("d")).To(BeFalse())
		ack(c, "d", 4)
		c.tick(c.now)
		Expect(c.isVoter("d")).To(BeTrue())
	})
})

var _ = Describe("calls", func() {
	// Guards against a caller that is told that a command did not run while
	// it is in the log.
	It("tell a canceled caller whether the command was taken", func() {
		s := newSim(1, 3)
		s.heal()
		g := s.leader().g
		for _, taken := range []bool{false, true} {
			ctx, cancel := context.WithCancel(context.Background())
			result := make(chan error)
			go func() {
				_, _, err := g.Propose(ctx, []byte("x"))
				result <- err
			}()
			c, err := g.calls.Take(context.Background())
			Expect(err).NotTo(HaveOccurred())
			if taken {
				Expect(c.take()).To(BeTrue())
			}
			cancel()
			Expect(NotRun(<-result)).To(Equal(!taken))
		}
	})

	// Guards against a refusal that says less than is known: once another
	// entry is committed in its place, a command certainly has no effect.
	It("end as not run when another leader's entry is committed instead", func() {
		s := newSim(2, 3)
		s.heal()
		old := s.leader()
		for i, h := range s.hosts {
			k := int(old.peer.Addr.Port()) - 7000
			s.cut[[2]int{i, k}], s.cut[[2]int{k, i}] = h != old, h != old
		}
		c := &call{cmd: make([]byte, 8), result: make(chan outcome, 1)}
		old.calls = append(old.calls, c)
		for l := old; l == nil || l == old || l.g.core.commit < l.g.core.termStart; l = s.leader() {
			s.step()
		}
		Expect(c.result).To(BeEmpty())
		s.heal()
		Expect(NotRun((<-c.result).err)).To(BeTrue())
	})

	// Guards against a member that nobody reaches after it was restarted with
	// another address, also while a peer list still holds the old one.
	It("follow a member that was restarted at another address", func() {
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
			m, _ := s.leader().g.core.member(moved.g.ID())
			Expect(m.Addr).To(Equal(moved.peer.Addr))
		}
		move()
		check()
		// Now it leads after its restart, so that nobody tells it.
		move()
		for _, h := range s.hosts {
			if h != moved {
				h.paused = s.now + time.Minute
			}
		}
		for moved.g == nil {
			s.step()
		}
		for _, h := range s.hosts {
			h.paused, h.inbox, s.net = 0, nil, nil
			h.g.core.becomeFollower(h.g.core.meta.Term, "")
			h.g.core.leaderAt = -defaultElection
			if h != moved {
				h.g.core.wait = time.Minute
			}
		}
		check()
		Expect(s.leader()).To(BeIdenticalTo(moved), s.state())
	})

	// Guards against a snapshot transfer that starts again whenever the
	// leader takes a newer snapshot, and so never ends under load.
	It("finish a snapshot transfer while newer snapshots are taken", func() {
		s := newSim(5, 3)
		s.heal()
		h := s.hosts[(slices.Index(s.hosts, s.leader())+1)%3]
		s.crash(h)
		h.down = s.now + time.Minute
		load := func(n int) {
			for range n {
				s.leader().calls = append(s.leader().calls, &call{cmd: make([]byte, 8), result: make(chan outcome, 1)})
				s.step()
			}
		}
		load(400)
		h.down = s.now
		s.leader().g.core.chunk = 100
		before := s.leader().g.core.snap.Index
		load(600)
		Expect(s.leader().g.core.snap.Index).To(BeNumerically(">", before+100))
		Expect(h.g.core.commit).To(BeNumerically(">", before))
		Expect(h.g.core.commit).To(BeNumerically(">", s.leader().g.core.commit-50))
	})

	// Guards against a stale read by a leader whose lease has ended and that
	// does not know yet whether another was elected.
	It("hold a barrier back until a majority has answered again", func() {
		s := newSim(3, 3)
		s.heal()
		lead := s.leader()
		s.now += defaultLease + 5*time.Millisecond
		Expect(lead.g.Leased()).To(BeFalse())
		c := &call{barrier: true, result: make(chan outcome, 1)}
		lead.calls = append(lead.calls, c)
		lead.inbox = nil
		s.turn(lead)
		Expect(lead.g.core.role).To(Equal(leader))
		Expect(c.result).To(BeEmpty())
		for len(c.result) == 0 {
			s.step()
		}
		Expect((<-c.result).err).NotTo(HaveOccurred())
	})
})
