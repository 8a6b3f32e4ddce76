package replicator

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// orphanElections is the number of election timeouts without a leader
	// after which a member asks to be taken in again: it may have been
	// removed, or its address may have changed.
	orphanElections = 3
	// deadElections is the number of election timeouts of silence after which
	// another member takes the place of a voter.
	deadElections = 3
	// forgetElections is the number of election timeouts of silence after
	// which a member without a vote is forgotten.
	forgetElections = 15
	// maxLearners bounds the members without a vote.
	maxLearners = 8
)

// askSeeds asks the seeds whether there is a group to join, and forms one if
// none has a log.
func (c *core) askSeeds() {
	seeds := c.seeds()
	c.askAt(seeds)
	if !c.bootstrap || !slices.Contains(seeds, c.self.Addr) {
		return
	}
	for _, s := range seeds {
		if s != c.self.Addr && (!c.empties[s.String()] || s.Compare(c.self.Addr) < 0) {
			return
		}
	}
	c.form()
}

// askAgain asks the seeds and all known members to take this member in again
// when it has not heard a leader for long.
func (c *core) askAgain() {
	if c.now-c.leaderAt < orphanElections*c.election || c.now-c.asked < c.election {
		return
	}
	c.asked = c.now
	to := slices.Clone(c.seeds())
	for _, m := range c.conf() {
		to = append(to, m.Addr)
	}
	c.askAt(to)
}

func (c *core) askAt(to []netip.AddrPort) {
	slices.SortFunc(to, netip.AddrPort.Compare)
	for _, a := range slices.Compact(to) {
		if a != c.self.Addr {
			c.send(a, &Message{Kind: kindJoin, Member: &c.self})
		}
	}
}

// forwardJoin hands the wish of a host to join on to the leader, which need not
// be among the seeds.
func (c *core) forwardJoin(m *Message) {
	lead, ok := c.member(c.leader)
	if c.seeds != nil && c.role != leader && ok {
		c.send(lead.Addr, &Message{Kind: kindJoin, Member: m.Member})
	}
}

// admit makes m a learner. An older identity with its name or address has lost
// its disk or was replaced, and is removed first. A refusal of a change means
// that it is too early; the member asks again.
func (c *core) admit(m Member) {
	old, ok := find(c.conf(), func(o Member) bool { return o.Name == m.Name || o.Addr == m.Addr })
	switch {
	case ok && !c.live(old.ID) && old.ID != c.self.ID:
		_, _ = c.remove(old.ID)
	case ok:
		// The older identity still answers.
	case len(c.conf())-c.countVoters() < maxLearners:
		_, _ = c.add(m)
	}
}

// balance keeps the number of voters: learners that have caught up are
// promoted while voters are missing or silent, and silent members that are not
// needed are removed. One change is made at a time.
func (c *core) balance() {
	if c.changeable() != nil {
		return
	}
	dead, hasDead := c.silentMember(true, deadElections*c.election)
	spare := slices.IndexFunc(c.conf(), func(m Member) bool {
		return !m.Voter && c.live(m.ID) && c.progress[m.ID].match >= c.commit
	})
	switch n := c.countVoters(); {
	case hasDead && n > c.voters:
		_, _ = c.remove(dead.ID)
	case n > c.voters:
		c.setVoter(c.surplus(), false)
	case spare >= 0 && (n < c.voters || n == c.voters && hasDead):
		c.setVoter(spare, true)
	default:
		if gone, ok := c.silentMember(false, forgetElections*c.election); ok {
			_, _ = c.remove(gone.ID)
		}
	}
}

// setVoter gives the member at the position a vote or takes it away.
func (c *core) setVoter(at int, voter bool) {
	conf := slices.Clone(c.conf())
	conf[at].Voter = voter
	_, _ = c.change(conf)
}

// surplus returns the position of the voter that joined last, but for the
// leader.
func (c *core) surplus() int {
	conf := c.conf()
	for i := len(conf) - 1; i > 0; i-- {
		if conf[i].Voter && conf[i].ID != c.self.ID {
			return i
		}
	}
	return 0
}

// silentMember returns another member that has not answered for the time.
func (c *core) silentMember(voter bool, silence time.Duration) (Member, bool) {
	return find(c.conf(), func(m Member) bool {
		p := c.progress[m.ID]
		return m.Voter == voter && m.ID != c.self.ID && p != nil && c.now-p.acked > silence
	})
}

func (c *core) countVoters() int {
	n := 0
	for _, m := range c.conf() {
		if m.Voter {
			n++
		}
	}
	return n
}
