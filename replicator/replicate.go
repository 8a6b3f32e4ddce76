package replicator

import (
	"github.com/cockroachdb/errors"

	"foxtailwall/journaler"
)

const (
	// maxAppendBytes bounds the entries of one message, so that a heartbeat
	// is not stuck behind a long transfer.
	maxAppendBytes = 1 << 20
	// maxInFlight and maxInFlightBytes bound the entries sent to a member
	// ahead of its answers, so that a stalled member does not fill the
	// leader's memory.
	maxInFlight      = 8192
	maxInFlightBytes = 16 << 20
)

// broadcast sends every member what it lacks, at least a heartbeat.
func (c *core) broadcast() {
	c.beat = c.now
	for _, m := range c.conf() {
		if m.ID != c.self.ID {
			c.replicate(m, true)
		}
	}
}

// replicateAll sends every member the entries that it was not sent yet.
func (c *core) replicateAll() {
	if c.role != leader {
		return
	}
	for _, m := range c.conf() {
		if m.ID != c.self.ID {
			c.replicate(m, false)
		}
	}
}

// replicate sends the member its next entries. Without any, it sends an empty
// append if beat is set.
func (c *core) replicate(m Member, beat bool) {
	p := c.progress[m.ID]
	if p.next <= c.log.base {
		c.sendChunk(m, p, beat)
		return
	}
	for {
		var es []journaler.Entry
		if p.next <= p.match+maxInFlight && p.bytes < maxInFlightBytes {
			es = c.log.limited(p.next, maxAppendBytes)
		}
		if len(es) == 0 && !beat {
			return
		}
		beat = false
		prev := p.next - 1
		p.next += uint64(len(es))
		for i := range es {
			p.bytes += len(es[i].Data)
		}
		// The commit index that is sent is the applied one: a member that
		// answers its own caller must not be ahead of the leader's reads.
		c.sendEarly(m.Addr, &Message{
			Kind: kindAppend, To: m.ID, Term: c.meta.Term, Index: prev, LogTerm: c.log.term(prev),
			Entries: es, Commit: c.applied, Sent: c.now, Member: &c.self,
		})
	}
}

// onAppend takes entries from the leader.
func (c *core) onAppend(m *Message) error {
	if m.Member == nil {
		return nil
	}
	reply := &Message{Kind: kindAppendReply, To: m.From, Sent: m.Sent}
	if !c.accept(m) {
		reply.Term, reply.Reject = c.meta.Term, true
		c.send(m.Member.Addr, reply)
		return nil
	}
	reply.Term = c.meta.Term
	switch {
	case m.Index < c.commit:
		// What is committed here is identical on the leader.
		reply.Index = c.commit
		if err := c.appendFrom(m); err != nil {
			return err
		}
		if end := m.Index + uint64(len(m.Entries)); end > c.commit {
			reply.Index = end
		}
	case !c.log.has(m.Index) || c.log.term(m.Index) != m.LogTerm:
		reply.Reject = true
		reply.Index = c.hint(m.Index)
	default:
		if err := c.appendFrom(m); err != nil {
			return err
		}
		reply.Index = m.Index + uint64(len(m.Entries))
	}
	if !reply.Reject {
		c.commit = max(c.commit, min(m.Commit, reply.Index))
	}
	c.send(m.Member.Addr, reply)
	return nil
}

// accept recognises the sender as leader unless its term is old.
func (c *core) accept(m *Message) bool {
	if m.Term < c.meta.Term {
		return false
	}
	if m.Term > c.meta.Term || c.role != follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.since, c.leaderAt = c.now, c.now
	return true
}

// appendFrom adds the entries of m that the log lacks. The entry before them
// is known to match.
func (c *core) appendFrom(m *Message) error {
	for i, e := range m.Entries {
		if e.Index <= c.commit || (c.log.has(e.Index) && c.log.term(e.Index) == e.Term) {
			continue
		}
		if e.Index > c.log.last()+1 {
			return errors.AssertionFailedf("entry %d follows entry %d", e.Index, c.log.last())
		}
		c.truncateConfs(e.Index)
		c.log.replace(m.Entries[i:])
		return c.noteConfs(m.Entries[i:])
	}
	return nil
}

// hint returns the index at which the leader should try next: the last entry,
// or the one before the run of entries of the conflicting term.
func (c *core) hint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	term := c.log.term(index)
	for index > c.commit && index > c.log.base && c.log.term(index) == term {
		index--
	}
	return index
}

// onAppendReply records what a member holds.
func (c *core) onAppendReply(m *Message) {
	p := c.replied(m)
	if p == nil {
		return
	}
	if m.Reject {
		p.next = max(p.match, min(m.Index, c.log.last())) + 1
		p.bytes = 0
	} else {
		p.confirm(m.Index)
		c.advance()
	}
	if to, ok := c.member(m.From); ok {
		c.replicate(to, m.Reject)
	}
}

// replied notes the answer of a member and returns its progress, or nil if
// the answer is not for this term.
func (c *core) replied(m *Message) *progress {
	if m.Term > c.meta.Term {
		c.becomeFollower(m.Term, "")
		return nil
	}
	if c.role != leader || m.Term < c.meta.Term {
		return nil
	}
	p := c.progress[m.From]
	if p != nil {
		p.acked = max(p.acked, m.Sent)
	}
	return p
}

// confirm notes that the member holds the entries up to index. What is in
// flight shrinks in proportion, as if all entries had one size.
func (p *progress) confirm(index uint64) {
	old := p.next - 1 - p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if old == 0 || p.next-1 == p.match {
		p.bytes = 0
		return
	}
	p.bytes = int(float64(p.bytes) * float64(p.next-1-p.match) / float64(old))
}
