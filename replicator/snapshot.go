package replicator

import (
	"foxtailwall/journaler"
)

// maxTrailingFactor bounds the entries kept for a snapshot transfer, as a
// multiple of trailingEntries.
const maxTrailingFactor = 32

// incomingSnapshot is a snapshot of which some parts have arrived.
type incomingSnapshot struct {
	snap  journaler.Snapshot
	total int
}

// sendChunk sends the next part of the snapshot. A part that is not answered
// within half an election timeout is sent again.
func (c *core) sendChunk(m Member, p *progress, heartbeat bool) {
	if p.snapshot == nil {
		// A transfer continues with its snapshot even if there is a newer one,
		// because it might never end otherwise.
		s := c.snap
		p.snapshot, p.chunkOffset, p.chunkSentAt = &s, 0, c.now-c.electionTimeout
	}
	s := p.snapshot
	ch := &Chunk{Index: s.Index, Term: s.Term, Config: s.Config, Offset: p.chunkOffset, Total: len(s.Data)}
	if c.now-p.chunkSentAt >= c.electionTimeout/2 {
		p.chunkSentAt = c.now
		ch.Data = s.Data[p.chunkOffset:min(p.chunkOffset+c.chunkBytes, len(s.Data))]
	} else if !heartbeat {
		return
	} else {
		// A message without data resets the member's election timer and extends the
		// lease.
		ch.Offset = -1
	}
	c.queueBeforeSync(m.Addr, &Message{
		Kind: kindSnapshot, To: m.ID, Term: c.meta.Term, Sent: c.now, Member: &c.self, Chunk: ch,
	})
}

// handleSnapshotChunk adds a part of the leader's snapshot and installs the
// snapshot once it is complete.
func (c *core) handleSnapshotChunk(m *Message) error {
	if m.Member == nil || m.Chunk == nil {
		return nil
	}
	reply := &Message{Kind: kindSnapshotReply, To: m.From, Sent: m.Sent}
	if !c.acceptLeader(m) {
		reply.Term, reply.Reject = c.meta.Term, true
		c.queueAfterSync(m.Member.Addr, reply)
		return nil
	}
	reply.Term = c.meta.Term
	ch := m.Chunk
	if ch.Index <= c.commit {
		reply.Index = c.commit
	} else if ch.Offset >= 0 {
		at, err := c.addChunk(ch)
		if err != nil {
			return err
		}
		reply.Chunk = &Chunk{Index: ch.Index, Offset: at, Total: ch.Total}
		if ch.Index <= c.commit {
			reply.Index = c.commit
		}
	}
	c.queueAfterSync(m.Member.Addr, reply)
	return nil
}

// addChunk adds the part and returns the number of bytes that have arrived.
func (c *core) addChunk(ch *Chunk) (int, error) {
	in := c.incoming
	if in == nil || in.snap.Index != ch.Index || in.snap.Term != ch.Term || in.total != ch.Total {
		in = &incomingSnapshot{total: ch.Total}
		in.snap = journaler.Snapshot{Index: ch.Index, Term: ch.Term, Config: ch.Config}
		c.incoming = in
	}
	if ch.Offset == len(in.snap.Data) {
		in.snap.Data = append(in.snap.Data, ch.Data...)
	}
	if len(in.snap.Data) < in.total {
		return len(in.snap.Data), nil
	}
	c.incoming = nil
	return in.total, c.installSnapshot(in.snap)
}

// installSnapshot replaces the log with a complete snapshot.
func (c *core) installSnapshot(s journaler.Snapshot) error {
	members, err := decodeMembership(s.Config)
	if err != nil {
		// A snapshot from the leader has replaced the log in the meantime.
		return err
	}
	if c.log.hasTerm(s.Index) && c.log.term(s.Index) == s.Term {
		// The log already holds the snapshot's last entry, so only the commit index
		// is behind.
		c.commit = s.Index
		return nil
	}
	c.snap = s
	c.log = raftLog{baseIndex: s.Index, baseTerm: s.Term, syncedIndex: s.Index}
	c.commit, c.applied = s.Index, s.Index
	c.memberships = []indexedMembership{{index: s.Index, members: members}}
	c.installed = &s
	return nil
}

func (c *core) handleSnapshotReply(m *Message) {
	p := c.recordReply(m)
	if p == nil || m.Reject {
		return
	}
	to, ok := c.member(m.From)
	switch {
	case !ok:
		return
	case m.Index > 0:
		p.recordMatch(m.Index)
		p.snapshot = nil
		c.advanceCommit()
		c.replicateTo(to, false)
	case m.Chunk == nil || p.snapshot == nil || m.Chunk.Index != p.snapshot.Index:
		return
	case m.Chunk.Offset != p.chunkOffset && m.Chunk.Offset >= 0 && m.Chunk.Offset <= len(p.snapshot.Data):
		p.chunkOffset = m.Chunk.Offset
		p.chunkSentAt = c.now - c.electionTimeout
		c.replicateTo(to, false)
	}
}

// compactLog records a snapshot that the caller has saved and drops the entries
// that it makes obsolete.
func (c *core) compactLog(s journaler.Snapshot) {
	if s.Index <= c.snap.Index {
		// The leader's snapshot has replaced the log in the meantime.
		return
	}
	c.snap = s
	c.log.compact(c.compactIndex(s.Index))
	for len(c.memberships) > 1 && c.memberships[1].index <= s.Index {
		c.memberships = c.memberships[1:]
	}
}

// compactIndex returns the index up to which entries are dropped after a
// snapshot. It keeps the entries after an older snapshot that a live member is
// receiving, up to maxTrailingFactor times trailingEntries.
func (c *core) compactIndex(index uint64) uint64 {
	if index <= c.trailingEntries {
		return 0
	}
	from := index - c.trailingEntries
	lowest := index - min(index, maxTrailingFactor*c.trailingEntries)
	for id, p := range c.progress {
		if p.snapshot != nil && c.isLive(id) {
			from = min(from, max(p.snapshot.Index, lowest))
		}
	}
	return from
}

// snapshotHeader returns a snapshot at the applied index without the machine's
// state.
func (c *core) snapshotHeader() (journaler.Snapshot, error) {
	members := c.membershipAt(c.applied)
	b, err := encodeMembership(members)
	return journaler.Snapshot{
		Index: c.applied, Term: c.log.term(c.applied), Config: b,
	}, err
}
