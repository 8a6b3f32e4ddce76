package replicator

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"foxtailwall/journaler"
)

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// maxTries bounds the growth of the time between elections without a winner.
const maxTries = 8

type (
	role uint8

	// tuning holds the durations and sizes of the protocol.
	tuning struct {
		heartbeat time.Duration
		// election is the shortest election timeout; a random part of up to
		// half its length is added.
		election time.Duration
		lease    time.Duration
		// trailing is the number of entries that stay in memory behind a
		// snapshot.
		trailing uint64
		// chunk is the size in bytes of one part of a snapshot.
		chunk int
	}

	// core is the deterministic part of a member: messages and ticks in,
	// messages and entries to sync out. It does no input or output.
	core struct {
		tuning
		self  Member
		peers []Peer
		// seeds, bootstrap and voters are the options of a group that is
		// joined through seeds.
		seeds     func() []netip.AddrPort
		bootstrap bool
		voters    int
		rng       *rand.Rand
		now       time.Duration

		role   role
		meta   journaler.Meta
		leader string
		// leaderAt is when a leader was last heard. The start counts as such,
		// because the member may have answered a leader right before it.
		leaderAt time.Duration
		// since is when the election timeout began, and wait is its length.
		since time.Duration
		wait  time.Duration
		// tries counts the elections in a row that this member stood for.
		tries int64
		votes map[string]bool

		log     raftLog
		snap    journaler.Snapshot
		commit  uint64
		applied uint64
		confs   []confAt

		progress map[string]*progress
		// termStart is the index of the leader's first entry.
		termStart uint64
		beat      time.Duration

		incoming *incoming
		asked    time.Duration
		empties  map[string]bool

		// What the caller takes with ready.
		metaDirty bool
		reset     *journaler.Snapshot
		early     []envelope
		late      []envelope
	}

	// progress is what a leader knows about another member.
	progress struct {
		match, next uint64
		// bytes is about how much of the entries is not answered yet.
		bytes int
		// acked is the leader's clock when it sent the newest message that
		// the member answered.
		acked time.Duration
		// sending is the snapshot under way, chunkAt the offset of its next
		// part, and chunkSent is when the last part was sent.
		sending   *journaler.Snapshot
		chunkAt   int
		chunkSent time.Duration
	}

	envelope struct {
		addr netip.AddrPort
		m    *Message
	}
)

// newCore returns a core in the state that the journal recovered.
func newCore(t tuning, self Member, peers []Peer, rng *rand.Rand, st journaler.State) (*core, error) {
	c := &core{tuning: t, self: self, peers: peers, rng: rng, meta: st.Meta, snap: st.Snapshot}
	c.log = raftLog{base: st.Snapshot.Index, baseTerm: st.Snapshot.Term, entries: st.Entries}
	c.log.stable = c.log.last()
	c.commit, c.applied = st.Snapshot.Index, st.Snapshot.Index
	if err := c.loadConfs(); err != nil {
		return nil, err
	}
	c.becomeFollower(c.meta.Term, "")
	return c, nil
}

// step handles one message.
func (c *core) step(now time.Duration, m *Message) error {
	c.now = now
	if m.To != "" && m.To != c.self.ID {
		// The message is for an earlier identity at this address.
		return nil
	}
	switch m.Kind {
	case kindPreVote, kindVote:
		c.onVote(m)
	case kindPreVoteReply, kindVoteReply:
		c.onVoteReply(m)
	case kindAppend:
		return c.onAppend(m)
	case kindAppendReply:
		c.onAppendReply(m)
	case kindSnapshot:
		return c.onSnapshot(m)
	case kindSnapshotReply:
		c.onSnapshotReply(m)
	case kindJoin:
		c.onJoin(m)
	case kindJoinReply:
		return c.onJoinReply(m)
	}
	return nil
}

// tick handles the passing of time.
func (c *core) tick(now time.Duration) {
	c.now = now
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.empty() {
		c.askToJoin()
		return
	}
	if c.seeds != nil {
		c.askAgain()
	}
	if c.isVoter(c.self.ID) && now-c.since >= c.wait {
		c.campaign()
	}
}

func (c *core) tickLeader() {
	// The leader steps down when a majority has been silent, so that its
	// callers look for the leader that the majority may have elected.
	if c.now-c.quorumAcked() >= c.election+c.heartbeat {
		c.becomeFollower(c.meta.Term, "")
		return
	}
	if c.commit >= c.confs[len(c.confs)-1].index && !c.isVoter(c.self.ID) {
		// The leader was removed from the group.
		c.becomeFollower(c.meta.Term, "")
		return
	}
	if c.now-c.beat >= c.heartbeat {
		c.broadcast()
	}
	if c.seeds != nil {
		c.balance()
	} else {
		c.promote()
	}
	c.readdress(c.self)
}

// ready hands over what must be synced and sent. Messages in early may be sent
// before the sync.
type ready struct {
	meta    *journaler.Meta
	entries []journaler.Entry
	reset   *journaler.Snapshot
	early   []envelope
	late    []envelope
}

// ready returns and clears the pending output. The caller syncs it and then
// calls synced.
func (c *core) ready() ready {
	r := ready{entries: c.log.unstable(), reset: c.reset, early: c.early, late: c.late}
	if c.metaDirty {
		m := c.meta
		r.meta = &m
		// A message may not reveal a term that is not durable yet.
		r.late = append(c.early, c.late...)
		r.early = nil
	}
	c.metaDirty, c.reset, c.early, c.late = false, nil, nil, nil
	return r
}

// synced says that everything of the last ready is durable.
func (c *core) synced() {
	c.log.stable = c.log.last()
	c.advance()
}

// committed returns the entries that can be applied.
func (c *core) committed() []journaler.Entry {
	if c.applied >= c.commit {
		return nil
	}
	return c.log.slice(c.applied+1, c.commit)
}

// propose appends an entry to the log of a leader and returns its index.
func (c *core) propose(kind uint8, data []byte) uint64 {
	index := c.log.last() + 1
	c.log.entries = append(c.log.entries, journaler.Entry{
		Index: index, Term: c.meta.Term, Kind: kind, Data: data,
	})
	return index
}

// leaseUntil returns the time until which no other member can lead, or zero
// while this one may not serve reads.
func (c *core) leaseUntil() time.Duration {
	if c.role != leader || c.applied < c.termStart {
		return 0
	}
	return c.quorumAcked() + c.lease
}

// quorumAcked returns the newest time such that a majority of the voters
// answered a message sent at that time or later.
func (c *core) quorumAcked() time.Duration {
	return quorum(c, func(id string) time.Duration {
		if id == c.self.ID {
			return c.now
		}
		if p := c.progress[id]; p != nil {
			return p.acked
		}
		return -c.election
	})
}

// advance moves the commit index of a leader. Only entries of its own term
// count by replicas, because an older entry on a majority can still be
// replaced.
func (c *core) advance() {
	if c.role != leader {
		return
	}
	n := quorum(c, func(id string) uint64 {
		if id == c.self.ID {
			return c.log.stable
		}
		if p := c.progress[id]; p != nil {
			return p.match
		}
		return 0
	})
	if n > c.commit && c.log.term(n) == c.meta.Term {
		c.commit = n
	}
}

// quorum returns the largest value that a majority of the voters reaches.
func quorum[T uint64 | time.Duration](c *core, of func(id string) T) T {
	var vs []T
	for _, m := range c.conf() {
		if m.Voter {
			vs = append(vs, of(m.ID))
		}
	}
	if len(vs) == 0 {
		var zero T
		return zero
	}
	slices.Sort(vs)
	return vs[(len(vs)-1)/2]
}

func (c *core) becomeFollower(term uint64, lead string) {
	if term > c.meta.Term {
		c.meta.Term, c.meta.Vote = term, ""
		c.metaDirty = true
	}
	c.role, c.leader = follower, lead
	c.votes, c.progress = nil, nil
	c.resetWait()
}

func (c *core) resetWait() {
	c.since = c.now
	c.tries = 0
	c.wait = c.election + time.Duration(c.rng.Int64N(int64(c.election/2)))
}

// waitAgain sets the time after which an election without a winner is
// repeated. It grows, so that slow links do not make votes split forever.
func (c *core) waitAgain() {
	c.since = c.now
	c.tries = min(c.tries+1, maxTries)
	c.wait = 2*c.heartbeat + time.Duration(c.rng.Int64N(2*int64(c.heartbeat)*c.tries))
}

// send queues a message that may only leave after the sync, as every answer
// about durable state.
func (c *core) send(addr netip.AddrPort, m *Message) {
	m.From = c.self.ID
	c.late = append(c.late, envelope{addr, m})
}

// sendEarly queues a message that does not depend on the sync.
func (c *core) sendEarly(addr netip.AddrPort, m *Message) {
	m.From = c.self.ID
	c.early = append(c.early, envelope{addr, m})
}
