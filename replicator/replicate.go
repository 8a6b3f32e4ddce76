package replicator

import (
	"github.com/cockroachdb/errors"

	"foxtailwall/journaler"
)

const (
	// maxAppendBytes bounds the entries of one message, so that a heartbeat does
	// not wait for a long transfer.
	maxAppendBytes = 1 << 20
	// maxInFlightEntries and maxInFlightBytes bound the entries sent to a member
	// before it acknowledges them, so that a stalled member does not fill the
	// leader's memory.
	maxInFlightEntries = 8192
	maxInFlightBytes   = 16 << 20
)

// broadcast sends every other member its next entries, or a heartbeat if there
// are none.
func (c *core) broadcast() {
	c.lastBroadcast = c.now
	for _, m := range c.membership() {
		if m.ID != c.self.ID {
			c.replicateTo(m, true)
		}
	}
}

// replicateAll sends every other member the entries not sent to it yet.
func (c *core) replicateAll() {
	if c.role != leader {
		return
	}
	for _, m := range c.membership() {
		if m.ID != c.self.ID {
			c.replicateTo(m, false)
		}
	}
}

// replicateTo sends m its next entries, or a part of the snapshot if the log no
// longer holds them. If there is nothing to send, it sends an empty append if
// heartbeat is set.
func (c *core) replicateTo(m Member, heartbeat bool) {
	p := c.progress[m.ID]
	if p.nextIndex <= c.log.baseIndex {
		c.sendChunk(m, p, heartbeat)
		return
	}
	for {
		var es []journaler.Entry
		if p.nextIndex <= p.matchIndex+maxInFlightEntries && p.inFlightBytes < maxInFlightBytes {
			es = c.log.entriesFrom(p.nextIndex, maxAppendBytes)
		}
		if len(es) == 0 && !heartbeat {
			return
		}
		heartbeat = false
		prev := p.nextIndex - 1
		p.nextIndex += uint64(len(es))
		for i := range es {
			p.inFlightBytes += len(es[i].Data)
		}
		// The applied index is sent as the commit index, because a member that
		// answers its own callers must not be ahead of the leader's reads.
		c.queueBeforeSync(m.Addr, &Message{
			Kind: kindAppend, To: m.ID, Term: c.meta.Term, Index: prev, LogTerm: c.log.term(prev),
			Entries: es, Commit: c.applied, Sent: c.now, Member: &c.self,
		})
	}
}

// handleAppend adds the leader's entries to the log.
func (c *core) handleAppend(m *Message) error {
	if m.Member == nil {
		return nil
	}
	reply := &Message{Kind: kindAppendReply, To: m.From, Sent: m.Sent}
	if !c.acceptLeader(m) {
		reply.Term, reply.Reject = c.meta.Term, true
		c.queueAfterSync(m.Member.Addr, reply)
		return nil
	}
	reply.Term = c.meta.Term
	switch {
	case m.Index < c.commit:
		// Entries up to commit are committed, so the leader holds the same ones.
		reply.Index = c.commit
		if err := c.appendMissing(m); err != nil {
			return err
		}
		if end := m.Index + uint64(len(m.Entries)); end > c.commit {
			reply.Index = end
		}
	case !c.log.hasTerm(m.Index) || c.log.term(m.Index) != m.LogTerm:
		reply.Reject = true
		reply.Index = c.lastPossibleMatch(m.Index)
	default:
		if err := c.appendMissing(m); err != nil {
			return err
		}
		reply.Index = m.Index + uint64(len(m.Entries))
	}
	if !reply.Reject {
		c.commit = max(c.commit, min(m.Commit, reply.Index))
	}
	c.queueAfterSync(m.Member.Addr, reply)
	return nil
}

// acceptLeader recognizes the sender as leader unless its term is old.
func (c *core) acceptLeader(m *Message) bool {
	if m.Term < c.meta.Term {
		return false
	}
	if m.Term > c.meta.Term || c.role != follower || c.leaderID != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.electionTimerStart, c.lastLeaderContact = c.now, c.now
	return true
}

// appendMissing adds the entries of m that the log lacks and drops those that
// conflict. The entry before them is known to match.
func (c *core) appendMissing(m *Message) error {
	for i, e := range m.Entries {
		if e.Index <= c.commit || (c.log.hasTerm(e.Index) && c.log.term(e.Index) == e.Term) {
			continue
		}
		if e.Index > c.log.lastIndex()+1 {
			return errors.AssertionFailedf("entry %d follows entry %d", e.Index, c.log.lastIndex())
		}
		c.truncateMemberships(e.Index)
		c.log.truncateAndAppend(m.Entries[i:])
		return c.recordMemberships(m.Entries[i:])
	}
	return nil
}

// lastPossibleMatch returns the newest index, up to the given one, at which the
// logs may agree: the last entry, or the one before the entries of the
// conflicting term.
func (c *core) lastPossibleMatch(index uint64) uint64 {
	if index > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	term := c.log.term(index)
	for index > c.commit && index > c.log.baseIndex && c.log.term(index) == term {
		index--
	}
	return index
}

// handleAppendReply updates the member's progress and sends it more entries.
func (c *core) handleAppendReply(m *Message) {
	p := c.recordReply(m)
	if p == nil {
		return
	}
	if m.Reject {
		p.nextIndex = max(p.matchIndex, min(m.Index, c.log.lastIndex())) + 1
		p.inFlightBytes = 0
	} else {
		p.recordMatch(m.Index)
		c.advanceCommit()
	}
	if to, ok := c.member(m.From); ok {
		c.replicateTo(to, m.Reject)
	}
}

// recordReply records that a member answered and returns its progress, or nil
// if the reply is not for the term that this member leads.
func (c *core) recordReply(m *Message) *progress {
	if m.Term > c.meta.Term {
		c.becomeFollower(m.Term, "")
		return nil
	}
	if c.role != leader || m.Term < c.meta.Term {
		return nil
	}
	p := c.progress[m.From]
	if p != nil {
		if m.Sent >= p.lastAckedSend {
			// A late answer may be from before the member was replaced by another release.
			p.format, p.answered = m.Format, true
		}
		p.lastAckedSend = max(p.lastAckedSend, m.Sent)
	}
	return p
}

// recordMatch records that the member has synced the entries up to index. It
// reduces inFlightBytes in proportion, as if all entries had the same size.
func (p *progress) recordMatch(index uint64) {
	old := p.nextIndex - 1 - p.matchIndex
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if old == 0 || p.nextIndex-1 == p.matchIndex {
		p.inFlightBytes = 0
		return
	}
	p.inFlightBytes = int(float64(p.inFlightBytes) * float64(p.nextIndex-1-p.matchIndex) / float64(old))
}
