package replicator

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"foxtailwall/journaler"
)

// indexedMembership is the membership from an index on. It takes effect as soon
// as its entry is in the log, committed or not.
type indexedMembership struct {
	index   uint64
	members []Member
}

func encodeMembership(ms []Member) ([]byte, error) {
	b, err := cbor.Marshal(ms)
	return b, errors.Wrap(err, "encode the membership")
}

func decodeMembership(b []byte) ([]Member, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var ms []Member
	err := cbor.Unmarshal(b, &ms)
	return ms, errors.Wrap(err, "decode the membership")
}

// loadMemberships reads the memberships from the snapshot and the log.
func (c *core) loadMemberships() error {
	members, err := decodeMembership(c.snap.Config)
	if err != nil {
		return err
	}
	c.memberships = []indexedMembership{{index: c.snap.Index, members: members}}
	return c.recordMemberships(c.log.entries)
}

// recordMemberships adds the memberships among new log entries.
func (c *core) recordMemberships(es []journaler.Entry) error {
	for _, e := range es {
		if e.Kind != entryConfig {
			continue
		}
		members, err := decodeMembership(e.Data)
		if err != nil {
			return err
		}
		c.memberships = append(c.memberships, indexedMembership{index: e.Index, members: members})
	}
	return nil
}

// truncateMemberships drops the memberships from index on.
func (c *core) truncateMemberships(index uint64) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// membership returns the newest membership, committed or not.
func (c *core) membership() []Member { return c.memberships[len(c.memberships)-1].members }

// membershipAt returns the membership in effect at index.
func (c *core) membershipAt(index uint64) []Member {
	i := len(c.memberships) - 1
	for i > 0 && c.memberships[i].index > index {
		i--
	}
	return c.memberships[i].members
}

// isEmpty reports whether the member has no log and belongs to no group.
func (c *core) isEmpty() bool { return len(c.membership()) == 0 && c.log.lastIndex() == 0 }

func (c *core) member(id string) (Member, bool) {
	return findMember(c.membership(), func(m Member) bool { return m.ID == id })
}

func (c *core) isVoter(id string) bool {
	m, ok := c.member(id)
	return ok && m.Voter
}

func findMember(ms []Member, ok func(Member) bool) (Member, bool) {
	if i := slices.IndexFunc(ms, ok); i >= 0 {
		return ms[i], true
	}
	return Member{}, false
}

// checkChangeAllowed returns the reason why the membership cannot be changed
// now, or nil. The leader's first entry must be committed, because an earlier
// leader's change could otherwise still take effect.
func (c *core) checkChangeAllowed() error {
	switch {
	case c.role != leader:
		return &NotLeaderError{}
	case c.commit < c.termStart:
		return &MembershipError{Reason: "the leader has just been elected; retry"}
	case c.memberships[len(c.memberships)-1].index > c.commit:
		return &MembershipError{Reason: "another change is under way; retry"}
	}
	return nil
}

// proposeMembership appends an entry with the new membership and the reported
// versions of log entries, which takes effect at once, and returns its index.
func (c *core) proposeMembership(members []Member) (uint64, error) {
	if err := c.checkChangeAllowed(); err != nil {
		return 0, err
	}
	if !c.hasLiveMajority(members) {
		return 0, &MembershipError{Reason: "a majority of the new voters has not answered recently"}
	}
	members = c.withFormats(members)
	b, err := encodeMembership(members)
	if err != nil {
		return 0, err
	}
	index := c.appendEntry(entryConfig, b)
	c.memberships = append(c.memberships, indexedMembership{index: index, members: members})
	for _, m := range members {
		c.trackProgress(m.ID)
	}
	for id := range c.progress {
		if _, ok := c.member(id); !ok {
			delete(c.progress, id)
		}
	}
	return index, nil
}

// hasLiveMajority reports whether a majority of the given voters answered
// within the last election timeout, so that the change can commit.
func (c *core) hasLiveMajority(members []Member) bool {
	voters, live := 0, 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if m.ID == c.self.ID || c.isLive(m.ID) {
			live++
		}
	}
	return live > voters/2
}

func (c *core) isLive(id string) bool {
	p := c.progress[id]
	return p != nil && c.now-p.lastAckedSend < c.electionTimeout
}

// addLearner adds m as a learner. An older identity with the same name must
// have been removed.
func (c *core) addLearner(m Member) (uint64, error) {
	m.Voter = false
	if _, ok := c.member(m.ID); ok {
		return 0, &MembershipError{Reason: "the member is already in the group"}
	}
	return c.proposeMembership(append(slices.Clone(c.membership()), m))
}

// removeMember removes the member with the identity id, but never the last
// voter.
func (c *core) removeMember(id string) (uint64, error) {
	m, ok := c.member(id)
	if !ok {
		return 0, &MembershipError{Reason: "the member is not in the group"}
	}
	members := slices.DeleteFunc(slices.Clone(c.membership()), func(o Member) bool { return o.ID == m.ID })
	if !slices.ContainsFunc(members, func(o Member) bool { return o.Voter }) {
		return 0, &MembershipError{Reason: "the group would have no voter"}
	}
	return c.proposeMembership(members)
}

// updateAddress records the new address of a member that was restarted
// elsewhere with its directory. Such a member does not receive the leader's
// messages, and requests votes.
func (c *core) updateAddress(m Member) {
	i := slices.IndexFunc(c.membership(), func(o Member) bool { return o.ID == m.ID && o.Addr != m.Addr })
	if c.role != leader || i < 0 {
		return
	}
	members := slices.Clone(c.membership())
	members[i].Addr = m.Addr
	// If the change is refused, the member asks again.
	_, _ = c.proposeMembership(members)
}

// promoteLearner makes a learner a voter once it has synced all committed
// entries.
func (c *core) promoteLearner() {
	for i, m := range c.membership() {
		if m.Voter || !c.isLive(m.ID) || c.progress[m.ID].matchIndex < c.commit {
			continue
		}
		members := slices.Clone(c.membership())
		members[i].Voter = true
		// If the change is refused, the next tick tries again.
		_, _ = c.proposeMembership(members)
		return
	}
}

// requestJoin asks the seeds or peers to let this member join, and forms a new
// group if none of them has one and this member comes first.
func (c *core) requestJoin() {
	if c.now-c.lastJoinRequest < c.heartbeatInterval && c.lastJoinRequest > 0 {
		return
	}
	c.lastJoinRequest = c.now
	if c.emptyPeers == nil {
		c.emptyPeers = make(map[string]bool)
	}
	if c.seeds != nil {
		c.requestJoinFromSeeds()
		return
	}
	for _, p := range c.peers {
		if p.Name != c.self.Name {
			c.queueAfterSync(p.Addr, &Message{Kind: kindJoin, Member: &c.self})
		}
	}
	c.formGroupIfFirst()
}

// handleJoin answers a request to join. A leader also adds the member or
// updates its address.
func (c *core) handleJoin(m *Message) {
	if m.Member == nil {
		return
	}
	if m.From == m.Member.ID {
		c.queueAfterSync(m.Member.Addr, &Message{Kind: kindJoinReply, To: m.From, Member: &c.self, Empty: c.isEmpty()})
		c.forwardJoin(m)
	}
	if c.role != leader || m.Member.Name == c.self.Name || !c.mayJoin(*m.Member) {
		return
	}
	if _, ok := c.member(m.Member.ID); ok {
		c.updateAddress(*m.Member)
		return
	}
	if c.seeds != nil {
		c.admitLearner(*m.Member)
		return
	}
	old, ok := findMember(c.membership(), func(o Member) bool { return o.Name == m.Member.Name })
	// If the change is refused, the member asks again.
	if !ok {
		_, _ = c.addLearner(*m.Member)
	} else if !c.isLive(old.ID) {
		_, _ = c.removeMember(old.ID)
	}
}

// mayJoin reports whether m may join: any host if seeds are set, otherwise only
// a configured peer or a host with the name of a member.
func (c *core) mayJoin(m Member) bool {
	if c.seeds != nil {
		return true
	}
	if slices.ContainsFunc(c.peers, func(p Peer) bool { return p.Name == m.Name }) {
		return true
	}
	_, ok := findMember(c.membership(), func(o Member) bool { return o.Name == m.Name })
	return ok
}

func (c *core) handleJoinReply(m *Message) error {
	if !c.isEmpty() || m.Member == nil || c.emptyPeers == nil {
		return nil
	}
	c.emptyPeers[m.Member.Name] = m.Empty
	c.emptyPeers[m.Member.Addr.String()] = m.Empty
	return nil
}

// formGroupIfFirst forms a new group if this member's name sorts first and all
// other peers have answered that they have no log.
func (c *core) formGroupIfFirst() {
	for _, p := range c.peers {
		if p.Name != c.self.Name && (!c.emptyPeers[p.Name] || cmp.Less(p.Name, c.self.Name)) {
			return
		}
	}
	c.formGroup()
}

// formGroup makes this member the only voter of a new group.
func (c *core) formGroup() {
	self := c.self
	self.Voter = true
	members := []Member{self}
	b, err := encodeMembership(members)
	if err != nil {
		return
	}
	c.meta.Term = 1
	c.metaDirty = true
	c.log.entries = []journaler.Entry{{Index: 1, Term: 1, Kind: entryConfig, Data: b}}
	c.memberships = append(c.memberships, indexedMembership{index: 1, members: members})
	// A group of one elects its only member at once.
	c.startPreVote()
}
