package replicator

import (
	"foxtailwall/journaler"
)

// maxTrailing bounds the entries kept for a snapshot transfer, as a multiple of
// those that are kept anyway.
const maxTrailing = 32

// incoming is a snapshot that arrives in parts.
type incoming struct {
	snap  journaler.Snapshot
	total int
}

// sendChunk sends the next part of the snapshot. A part that was not answered
// is repeated with a later heartbeat.
func (c *core) sendChunk(m Member, p *progress, beat bool) {
	if p.sending == nil {
		// A transfer goes on with its snapshot when there is a newer one,
		// because it might never end otherwise.
		s := c.snap
		p.sending, p.chunkAt, p.chunkSent = &s, 0, c.now-c.election
	}
	s := p.sending
	ch := &Chunk{Index: s.Index, Term: s.Term, Config: s.Config, Offset: p.chunkAt, Total: len(s.Data)}
	if c.now-p.chunkSent >= c.election/2 {
		p.chunkSent = c.now
		ch.Data = s.Data[p.chunkAt:min(p.chunkAt+c.chunk, len(s.Data))]
	} else if !beat {
		return
	} else {
		// Only keeps the member's election timer and the lease alive.
		ch.Offset = -1
	}
	c.sendEarly(m.Addr, &Message{
		Kind: kindSnapshot, To: m.ID, Term: c.meta.Term, Sent: c.now, Member: &c.self, Chunk: ch,
	})
}

// onSnapshot takes a part of the leader's snapshot and replaces the log once
// it is whole.
func (c *core) onSnapshot(m *Message) error {
	if m.Member == nil || m.Chunk == nil {
		return nil
	}
	reply := &Message{Kind: kindSnapshotReply, To: m.From, Sent: m.Sent}
	if !c.accept(m) {
		reply.Term, reply.Reject = c.meta.Term, true
		c.send(m.Member.Addr, reply)
		return nil
	}
	reply.Term = c.meta.Term
	ch := m.Chunk
	if ch.Index <= c.commit {
		reply.Index = c.commit
	} else if ch.Offset >= 0 {
		at, err := c.collect(ch)
		if err != nil {
			return err
		}
		reply.Chunk = &Chunk{Index: ch.Index, Offset: at, Total: ch.Total}
		if ch.Index <= c.commit {
			reply.Index = c.commit
		}
	}
	c.send(m.Member.Addr, reply)
	return nil
}

// collect adds the part and returns how much has arrived.
func (c *core) collect(ch *Chunk) (int, error) {
	in := c.incoming
	if in == nil || in.snap.Index != ch.Index || in.snap.Term != ch.Term || in.total != ch.Total {
		in = &incoming{total: ch.Total}
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
	return in.total, c.install(in.snap)
}

// install takes over a whole snapshot.
func (c *core) install(s journaler.Snapshot) error {
	conf, err := decodeConf(s.Config)
	if err != nil {
		return err
	}
	if c.log.has(s.Index) && c.log.term(s.Index) == s.Term {
		// The log reaches as far, so only its commit index is behind.
		c.commit = s.Index
		return nil
	}
	c.snap = s
	c.log = raftLog{base: s.Index, baseTerm: s.Term, stable: s.Index}
	c.commit, c.applied = s.Index, s.Index
	c.confs = []confAt{{index: s.Index, conf: conf}}
	c.reset = &s
	return nil
}

func (c *core) onSnapshotReply(m *Message) {
	p := c.replied(m)
	if p == nil || m.Reject {
		return
	}
	to, ok := c.member(m.From)
	switch {
	case !ok:
		return
	case m.Index > 0:
		p.confirm(m.Index)
		p.sending = nil
		c.advance()
		c.replicate(to, false)
	case m.Chunk == nil || p.sending == nil || m.Chunk.Index != p.sending.Index:
		return
	case m.Chunk.Offset != p.chunkAt && m.Chunk.Offset >= 0 && m.Chunk.Offset <= len(p.sending.Data):
		p.chunkAt = m.Chunk.Offset
		p.chunkSent = c.now - c.election
		c.replicate(to, false)
	}
}

// compacted takes over a snapshot that the caller made of the machine at the
// applied index and saved.
func (c *core) compacted(s journaler.Snapshot) {
	if s.Index <= c.snap.Index {
		// The leader's snapshot has replaced the log in the meantime.
		return
	}
	c.snap = s
	c.log.compact(c.keepFrom(s.Index))
	for len(c.confs) > 1 && c.confs[1].index <= s.Index {
		c.confs = c.confs[1:]
	}
}

// keepFrom returns the index up to which entries are dropped after a snapshot:
// a live member that is receiving an older snapshot needs those that follow
// it, within bounds.
func (c *core) keepFrom(index uint64) uint64 {
	if index <= c.trailing {
		return 0
	}
	from := index - c.trailing
	least := index - min(index, maxTrailing*c.trailing)
	for id, p := range c.progress {
		if p.sending != nil && c.live(id) {
			from = min(from, max(p.sending.Index, least))
		}
	}
	return from
}

// snapshotAt returns the snapshot of the machine's state at the applied index.
func (c *core) snapshotAt() (journaler.Snapshot, error) {
	conf := c.confAt(c.applied)
	b, err := encodeConf(conf)
	return journaler.Snapshot{
		Index: c.applied, Term: c.log.term(c.applied), Config: b,
	}, err
}
