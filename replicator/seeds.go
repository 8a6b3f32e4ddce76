package replicator

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// rejoinTimeouts is the number of election timeouts without a leader after
	// which a member asks to join again, because it may have been removed or its
	// address may have changed.
	rejoinTimeouts = 3
	// replaceVoterTimeouts is the number of election timeouts without an answer
	// after which a voter is replaced.
	replaceVoterTimeouts = 3
	// removeLearnerTimeouts is the number of election timeouts without an answer
	// after which a learner is removed.
	removeLearnerTimeouts = 15
	// maxLearners is the number of learners at which no further host is admitted.
	maxLearners = 8
)

// requestJoinFromSeeds asks the seeds to let this member join. With bootstrap
// set, the seed whose address sorts first forms a new group once no other seed
// has a log.
func (c *core) requestJoinFromSeeds() {
	seeds := c.seeds()
	c.sendJoinRequests(seeds)
	if !c.bootstrap || !slices.Contains(seeds, c.self.Addr) {
		return
	}
	for _, s := range seeds {
		if s != c.self.Addr && (!c.emptyPeers[s.String()] || s.Compare(c.self.Addr) < 0) {
			return
		}
	}
	c.formGroup()
}

// requestRejoin asks the seeds and all known members to let this member join
// again after a long time without a leader.
func (c *core) requestRejoin() {
	if c.now-c.lastLeaderContact < rejoinTimeouts*c.electionTimeout || c.now-c.lastJoinRequest < c.electionTimeout {
		return
	}
	c.lastJoinRequest = c.now
	to := slices.Clone(c.seeds())
	for _, m := range c.membership() {
		to = append(to, m.Addr)
	}
	c.sendJoinRequests(to)
}

func (c *core) sendJoinRequests(to []netip.AddrPort) {
	slices.SortFunc(to, netip.AddrPort.Compare)
	for _, a := range slices.Compact(to) {
		if a != c.self.Addr {
			c.queueAfterSync(a, &Message{Kind: kindJoin, Member: &c.self})
		}
	}
}

// forwardJoin forwards a join request to the leader, which need not be among
// the seeds.
func (c *core) forwardJoin(m *Message) {
	lead, ok := c.member(c.leaderID)
	if c.seeds != nil && c.role != leader && ok {
		c.queueAfterSync(lead.Addr, &Message{Kind: kindJoin, Member: m.Member})
	}
}

// admitLearner adds m as a learner. An older identity with its name or address
// has lost its disk or was replaced, and is removed first. If a change is
// refused, the member asks again.
func (c *core) admitLearner(m Member) {
	old, ok := findMember(c.membership(), func(o Member) bool { return o.Name == m.Name || o.Addr == m.Addr })
	switch {
	case ok && !c.isLive(old.ID) && old.ID != c.self.ID:
		_, _ = c.removeMember(old.ID)
	case ok:
		// The older identity still answers.
	case len(c.membership())-c.countVoters() < maxLearners:
		_, _ = c.addLearner(m)
	}
}

// balanceVoters maintains the configured number of voters: learners that have
// caught up replace missing or silent voters, and silent members that are not
// needed are removed. It makes one change at a time.
func (c *core) balanceVoters() {
	if c.checkChangeAllowed() != nil {
		return
	}
	silentVoter, hasSilentVoter := c.silentMember(true, replaceVoterTimeouts*c.electionTimeout)
	caughtUpLearner := slices.IndexFunc(c.membership(), func(m Member) bool {
		return !m.Voter && c.isLive(m.ID) && c.progress[m.ID].matchIndex >= c.commit
	})
	switch n := c.countVoters(); {
	case hasSilentVoter && n > c.voters:
		_, _ = c.removeMember(silentVoter.ID)
	case n > c.voters:
		c.setVoter(c.surplusVoter(), false)
	case caughtUpLearner >= 0 && (n < c.voters || n == c.voters && hasSilentVoter):
		c.setVoter(caughtUpLearner, true)
	default:
		if silentLearner, ok := c.silentMember(false, removeLearnerTimeouts*c.electionTimeout); ok {
			_, _ = c.removeMember(silentLearner.ID)
		}
	}
}

// setVoter proposes to make the member at the position a voter or a learner.
func (c *core) setVoter(position int, voter bool) {
	members := slices.Clone(c.membership())
	members[position].Voter = voter
	_, _ = c.proposeMembership(members)
}

// surplusVoter returns the position of the voter that joined last, except the
// leader.
func (c *core) surplusVoter() int {
	members := c.membership()
	for i := len(members) - 1; i > 0; i-- {
		if members[i].Voter && members[i].ID != c.self.ID {
			return i
		}
	}
	return 0
}

// silentMember returns a voter or a learner, other than this member, that has
// not answered for longer than silence.
func (c *core) silentMember(voter bool, silence time.Duration) (Member, bool) {
	return findMember(c.membership(), func(m Member) bool {
		p := c.progress[m.ID]
		return m.Voter == voter && m.ID != c.self.ID && p != nil && c.now-p.lastAckedSend > silence
	})
}

func (c *core) countVoters() int {
	n := 0
	for _, m := range c.membership() {
		if m.Voter {
			n++
		}
	}
	return n
}
