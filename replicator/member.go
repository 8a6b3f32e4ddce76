package replicator

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"foxtailwall/journaler"
)

// confAt is the membership from an index on. It holds as soon as its entry is
// in the log, committed or not.
type confAt struct {
	index uint64
	conf  []Member
}

func encodeConf(ms []Member) ([]byte, error) {
	b, err := cbor.Marshal(ms)
	return b, errors.Wrap(err, "encode the membership")
}

func decodeConf(b []byte) ([]Member, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var ms []Member
	err := cbor.Unmarshal(b, &ms)
	return ms, errors.Wrap(err, "decode the membership")
}

// loadConfs reads the memberships from snapshot and log.
func (c *core) loadConfs() error {
	conf, err := decodeConf(c.snap.Config)
	if err != nil {
		return err
	}
	c.confs = []confAt{{index: c.snap.Index, conf: conf}}
	return c.noteConfs(c.log.entries)
}

// noteConfs takes over the memberships among new entries.
func (c *core) noteConfs(es []journaler.Entry) error {
	for _, e := range es {
		if e.Kind != entryConfig {
			continue
		}
		conf, err := decodeConf(e.Data)
		if err != nil {
			return err
		}
		c.confs = append(c.confs, confAt{index: e.Index, conf: conf})
	}
	return nil
}

// truncateConfs forgets the memberships from index on.
func (c *core) truncateConfs(index uint64) {
	for len(c.confs) > 1 && c.confs[len(c.confs)-1].index >= index {
		c.confs = c.confs[:len(c.confs)-1]
	}
}

// conf returns the newest membership.
func (c *core) conf() []Member { return c.confs[len(c.confs)-1].conf }

// confAt returns the membership that holds at index.
func (c *core) confAt(index uint64) []Member {
	i := len(c.confs) - 1
	for i > 0 && c.confs[i].index > index {
		i--
	}
	return c.confs[i].conf
}

// empty reports whether the member has neither log nor group.
func (c *core) empty() bool { return len(c.conf()) == 0 && c.log.last() == 0 }

func (c *core) member(id string) (Member, bool) {
	return find(c.conf(), func(m Member) bool { return m.ID == id })
}

func (c *core) isVoter(id string) bool {
	m, ok := c.member(id)
	return ok && m.Voter
}

func find(ms []Member, ok func(Member) bool) (Member, bool) {
	if i := slices.IndexFunc(ms, ok); i >= 0 {
		return ms[i], true
	}
	return Member{}, false
}

// changeable says why the membership cannot be changed now, or nil. The
// leader's first entry must be committed, because a change by an earlier
// leader could otherwise still surface.
func (c *core) changeable() error {
	switch {
	case c.role != leader:
		return &NotLeaderError{}
	case c.commit < c.termStart:
		return &MembershipError{Reason: "the leader has just been elected; retry"}
	case c.confs[len(c.confs)-1].index > c.commit:
		return &MembershipError{Reason: "another change is under way; retry"}
	}
	return nil
}

// change makes conf the membership and returns the index of its entry.
func (c *core) change(conf []Member) (uint64, error) {
	if err := c.changeable(); err != nil {
		return 0, err
	}
	if !c.reachable(conf) {
		return 0, &MembershipError{Reason: "a majority of the new voters has not answered lately"}
	}
	b, err := encodeConf(conf)
	if err != nil {
		return 0, err
	}
	index := c.propose(entryConfig, b)
	c.confs = append(c.confs, confAt{index: index, conf: conf})
	for _, m := range conf {
		c.track(m.ID)
	}
	for id := range c.progress {
		if _, ok := c.member(id); !ok {
			delete(c.progress, id)
		}
	}
	return index, nil
}

// reachable reports whether a majority of the voters of conf answered lately,
// so that the change can commit.
func (c *core) reachable(conf []Member) bool {
	voters, live := 0, 0
	for _, m := range conf {
		if !m.Voter {
			continue
		}
		voters++
		if m.ID == c.self.ID || c.live(m.ID) {
			live++
		}
	}
	return live > voters/2
}

func (c *core) live(id string) bool {
	p := c.progress[id]
	return p != nil && c.now-p.acked < c.election
}

// add makes m a learner. An older identity of the same name must be gone.
func (c *core) add(m Member) (uint64, error) {
	m.Voter = false
	if _, ok := c.member(m.ID); ok {
		return 0, &MembershipError{Reason: "the member is already in the group"}
	}
	return c.change(append(slices.Clone(c.conf()), m))
}

// remove takes the identity out of the group.
func (c *core) remove(id string) (uint64, error) {
	m, ok := c.member(id)
	if !ok {
		return 0, &MembershipError{Reason: "the member is not in the group"}
	}
	conf := slices.DeleteFunc(slices.Clone(c.conf()), func(o Member) bool { return o.ID == m.ID })
	if !slices.ContainsFunc(conf, func(o Member) bool { return o.Voter }) {
		return 0, &MembershipError{Reason: "the group would have no voter"}
	}
	return c.change(conf)
}

// readdress notes the new address of a member that was restarted elsewhere
// with its directory. Such a member does not hear the leader, and asks for
// votes.
func (c *core) readdress(m Member) {
	i := slices.IndexFunc(c.conf(), func(o Member) bool { return o.ID == m.ID && o.Addr != m.Addr })
	if c.role != leader || i < 0 {
		return
	}
	conf := slices.Clone(c.conf())
	conf[i].Addr = m.Addr
	// A refusal means that it is too early; the member asks again.
	_, _ = c.change(conf)
}

// promote makes a learner a voter once it has synced all that is committed.
func (c *core) promote() {
	for i, m := range c.conf() {
		if m.Voter || !c.live(m.ID) || c.progress[m.ID].match < c.commit {
			continue
		}
		conf := slices.Clone(c.conf())
		conf[i].Voter = true
		// A refusal means that it is too early; the next tick tries again.
		_, _ = c.change(conf)
		return
	}
}

// askToJoin asks all peers whether there is a group to join.
func (c *core) askToJoin() {
	if c.now-c.asked < c.heartbeat && c.asked > 0 {
		return
	}
	c.asked = c.now
	if c.empties == nil {
		c.empties = make(map[string]bool)
	}
	if c.seeds != nil {
		c.askSeeds()
		return
	}
	for _, p := range c.peers {
		if p.Name != c.self.Name {
			c.send(p.Addr, &Message{Kind: kindJoin, Member: &c.self})
		}
	}
	c.found()
}

// onJoin answers a member without a log; a leader takes it in.
func (c *core) onJoin(m *Message) {
	if m.Member == nil {
		return
	}
	if m.From == m.Member.ID {
		c.send(m.Member.Addr, &Message{Kind: kindJoinReply, To: m.From, Member: &c.self, Empty: c.empty()})
		c.forwardJoin(m)
	}
	if c.role != leader || m.Member.Name == c.self.Name || !c.known(*m.Member) {
		return
	}
	if _, ok := c.member(m.Member.ID); ok {
		c.readdress(*m.Member)
		return
	}
	if c.seeds != nil {
		c.admit(*m.Member)
		return
	}
	old, ok := find(c.conf(), func(o Member) bool { return o.Name == m.Member.Name })
	// A refusal means that it is too early; the member asks again.
	if !ok {
		_, _ = c.add(*m.Member)
	} else if !c.live(old.ID) {
		_, _ = c.remove(old.ID)
	}
}

// known reports whether the member is a configured peer or replaces a member.
func (c *core) known(m Member) bool {
	if c.seeds != nil {
		return true
	}
	if slices.ContainsFunc(c.peers, func(p Peer) bool { return p.Name == m.Name }) {
		return true
	}
	_, ok := find(c.conf(), func(o Member) bool { return o.Name == m.Name })
	return ok
}

func (c *core) onJoinReply(m *Message) error {
	if !c.empty() || m.Member == nil || c.empties == nil {
		return nil
	}
	c.empties[m.Member.Name] = m.Empty
	c.empties[m.Member.Addr.String()] = m.Empty
	return nil
}

// found forms a new group if this member's name sorts first and no other peer
// has a log.
func (c *core) found() {
	for _, p := range c.peers {
		if p.Name != c.self.Name && (!c.empties[p.Name] || cmp.Less(p.Name, c.self.Name)) {
			return
		}
	}
	c.form()
}

// form makes this member the only voter of a new group.
func (c *core) form() {
	self := c.self
	self.Voter = true
	conf := []Member{self}
	b, err := encodeConf(conf)
	if err != nil {
		return
	}
	c.meta.Term = 1
	c.metaDirty = true
	c.log.entries = []journaler.Entry{{Index: 1, Term: 1, Kind: entryConfig, Data: b}}
	c.confs = append(c.confs, confAt{index: 1, conf: conf})
	// Nobody else can stand for election in a group of one.
	c.campaign()
}
