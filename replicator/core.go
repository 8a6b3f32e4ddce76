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

// maxBackoffAttempts is the number of failed elections in a row after which the
// wait between elections stops growing.
const maxBackoffAttempts = 8

type (
	role uint8

	// params holds the intervals and size limits of the protocol.
	params struct {
		heartbeatInterval time.Duration
		// electionTimeout is the minimum; up to half of it is added at random.
		electionTimeout time.Duration
		leaseDuration   time.Duration
		// trailingEntries is the number of entries kept in memory behind a
		// snapshot.
		trailingEntries uint64
		// chunkBytes is the size of one part of a snapshot.
		chunkBytes int
	}

	// core is the deterministic part of a member: it takes messages and ticks,
	// and produces messages to send and entries to sync. It does no input or
	// output.
	core struct {
		params
		self  Member
		peers []Peer
		// seeds, bootstrap and voters are the options of a group that hosts join
		// through seeds.
		seeds     func() []netip.AddrPort
		bootstrap bool
		voters    int
		rng       *rand.Rand
		now       time.Duration

		role     role
		meta     journaler.Meta
		leaderID string
		// lastLeaderContact is when a leader was last heard from, at first the
		// member's start, because it may have answered a leader right before that.
		lastLeaderContact time.Duration
		// electionTimerStart is when the election timer was reset; the member
		// starts an election electionWait later.
		electionTimerStart time.Duration
		electionWait       time.Duration
		// electionAttempts counts the elections in a row that this member started,
		// up to maxBackoffAttempts.
		electionAttempts int64
		votes            map[string]bool

		log         raftLog
		snap        journaler.Snapshot
		commit      uint64
		applied     uint64
		memberships []indexedMembership

		progress map[string]*progress
		// termStart is the index of the first entry of this leader's term.
		termStart uint64
		// leaderSince is when this leader was elected.
		leaderSince   time.Duration
		lastBroadcast time.Duration

		incoming        *incomingSnapshot
		lastJoinRequest time.Duration
		// emptyPeers records by name and by address whether a peer answered that it
		// has no log.
		emptyPeers map[string]bool

		// Output that takeOutput returns.
		metaDirty  bool
		installed  *journaler.Snapshot
		beforeSync []envelope
		afterSync  []envelope
	}

	// progress is the leader's view of another member.
	progress struct {
		matchIndex, nextIndex uint64
		// inFlightBytes estimates the size of the entries sent but not
		// acknowledged.
		inFlightBytes int
		// lastAckedSend is the leader's clock when it sent the newest message that
		// the member answered.
		lastAckedSend time.Duration
		// format is the version of log entries in the newest answer, which counts once
		// the member has answered.
		format   uint32
		answered bool
		// snapshot is the one being sent, chunkOffset the offset of its next part,
		// and chunkSentAt is when the last part was sent.
		snapshot    *journaler.Snapshot
		chunkOffset int
		chunkSentAt time.Duration
	}

	// envelope is a message and the address to send it to.
	envelope struct {
		addr    netip.AddrPort
		message *Message
	}
)

// newCore returns a core with the state recovered from the journal.
func newCore(p params, self Member, peers []Peer, rng *rand.Rand, st journaler.State) (*core, error) {
	c := &core{params: p, self: self, peers: peers, rng: rng, meta: st.Meta, snap: st.Snapshot}
	c.log = raftLog{baseIndex: st.Snapshot.Index, baseTerm: st.Snapshot.Term, entries: st.Entries}
	c.log.syncedIndex = c.log.lastIndex()
	c.commit, c.applied = st.Snapshot.Index, st.Snapshot.Index
	if err := c.loadMemberships(); err != nil {
		return nil, err
	}
	c.becomeFollower(c.meta.Term, "")
	return c, nil
}

// handleMessage processes a message received at now. After an error the member
// cannot continue.
func (c *core) handleMessage(now time.Duration, m *Message) error {
	c.now = now
	if m.To != "" && m.To != c.self.ID {
		// The message is for an earlier identity at this address.
		return nil
	}
	switch m.Kind {
	case kindPreVote, kindVote:
		c.handleVoteRequest(m)
	case kindPreVoteReply, kindVoteReply:
		c.handleVoteReply(m)
	case kindAppend:
		return c.handleAppend(m)
	case kindAppendReply:
		c.handleAppendReply(m)
	case kindSnapshot:
		return c.handleSnapshotChunk(m)
	case kindSnapshotReply:
		c.handleSnapshotReply(m)
	case kindJoin:
		c.handleJoin(m)
	case kindJoinReply:
		return c.handleJoinReply(m)
	}
	return nil
}

// tick starts what is due at now, such as heartbeats, elections and join
// requests.
func (c *core) tick(now time.Duration) {
	c.now = now
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.isEmpty() {
		c.requestJoin()
		return
	}
	if c.seeds != nil {
		c.requestRejoin()
	}
	if c.isVoter(c.self.ID) && now-c.electionTimerStart >= c.electionWait {
		c.startPreVote()
	}
}

func (c *core) tickLeader() {
	// A leader that a majority has not answered steps down, so that its callers
	// look for the leader that the majority may have elected. The time counts from
	// its own election at the earliest, since the first answers follow a sync.
	if c.now-max(c.quorumAckTime(), c.leaderSince) >= c.electionTimeout+c.heartbeatInterval {
		c.becomeFollower(c.meta.Term, "")
		return
	}
	if c.commit >= c.memberships[len(c.memberships)-1].index && !c.isVoter(c.self.ID) {
		// The leader was removed from the group.
		c.becomeFollower(c.meta.Term, "")
		return
	}
	if c.now-c.lastBroadcast >= c.heartbeatInterval {
		c.broadcast()
	}
	if c.seeds != nil {
		c.balanceVoters()
	} else {
		c.promoteLearner()
	}
	c.updateAddress(c.self)
	c.storeFormats()
}

// pendingOutput holds what must be synced and sent. The messages in beforeSync
// may be sent before the sync.
type pendingOutput struct {
	meta       *journaler.Meta
	entries    []journaler.Entry
	installed  *journaler.Snapshot
	beforeSync []envelope
	afterSync  []envelope
}

// takeOutput returns and clears the pending output. The caller syncs it and
// then calls markSynced.
func (c *core) takeOutput() pendingOutput {
	r := pendingOutput{entries: c.log.unsynced(), installed: c.installed, beforeSync: c.beforeSync, afterSync: c.afterSync}
	if c.metaDirty {
		m := c.meta
		r.meta = &m
		// A message may not reveal a term that is not durable yet.
		r.afterSync = append(c.beforeSync, c.afterSync...)
		r.beforeSync = nil
	}
	c.metaDirty, c.installed, c.beforeSync, c.afterSync = false, nil, nil, nil
	return r
}

// markSynced records that the output of the last takeOutput is durable.
func (c *core) markSynced() {
	c.log.syncedIndex = c.log.lastIndex()
	c.advanceCommit()
}

// entriesToApply returns the committed entries that are not applied yet.
func (c *core) entriesToApply() []journaler.Entry {
	if c.applied >= c.commit {
		return nil
	}
	return c.log.entriesBetween(c.applied+1, c.commit)
}

// appendEntry appends an entry to the leader's log and returns its index.
func (c *core) appendEntry(kind uint8, data []byte) uint64 {
	index := c.log.lastIndex() + 1
	c.log.entries = append(c.log.entries, journaler.Entry{
		Index: index, Term: c.meta.Term, Kind: kind, Data: data,
	})
	return index
}

// leaseExpiry returns the time until which no other member can lead, or zero
// while this one may not serve reads.
func (c *core) leaseExpiry() time.Duration {
	if c.role != leader || c.applied < c.termStart {
		return 0
	}
	return c.quorumAckTime() + c.leaseDuration
}

// quorumAckTime returns the newest time such that a majority of the voters
// answered a message sent at that time or later.
func (c *core) quorumAckTime() time.Duration {
	return quorumValue(c, func(id string) time.Duration {
		if id == c.self.ID {
			return c.now
		}
		if p := c.progress[id]; p != nil {
			return p.lastAckedSend
		}
		return -c.electionTimeout
	})
}

// advanceCommit raises the leader's commit index to the newest entry that a
// majority has synced. Only an entry of the leader's own term counts, because
// an older entry on a majority can still be replaced.
func (c *core) advanceCommit() {
	if c.role != leader {
		return
	}
	n := quorumValue(c, func(id string) uint64 {
		if id == c.self.ID {
			return c.log.syncedIndex
		}
		if p := c.progress[id]; p != nil {
			return p.matchIndex
		}
		return 0
	})
	if n > c.commit && c.log.term(n) == c.meta.Term {
		c.commit = n
	}
}

// quorumValue returns the largest value that a majority of the voters has
// reached, where valueOf gives the value of a voter.
func quorumValue[T uint64 | time.Duration](c *core, valueOf func(id string) T) T {
	var vs []T
	for _, m := range c.membership() {
		if m.Voter {
			vs = append(vs, valueOf(m.ID))
		}
	}
	if len(vs) == 0 {
		var zero T
		return zero
	}
	slices.Sort(vs)
	return vs[(len(vs)-1)/2]
}

func (c *core) becomeFollower(term uint64, newLeader string) {
	if term > c.meta.Term {
		c.meta.Term, c.meta.Vote = term, ""
		c.metaDirty = true
	}
	c.role, c.leaderID = follower, newLeader
	c.votes, c.progress = nil, nil
	c.resetElectionTimer()
}

func (c *core) resetElectionTimer() {
	c.electionTimerStart = c.now
	c.electionAttempts = 0
	c.electionWait = c.electionTimeout + time.Duration(c.rng.Int64N(int64(c.electionTimeout/2)))
}

// backOffElection sets the wait before an election without a winner is
// repeated. The wait grows, so that slow links do not make votes split forever.
func (c *core) backOffElection() {
	c.electionTimerStart = c.now
	c.electionAttempts = min(c.electionAttempts+1, maxBackoffAttempts)
	c.electionWait = 2*c.heartbeatInterval + time.Duration(c.rng.Int64N(2*int64(c.heartbeatInterval)*c.electionAttempts))
}

// queueAfterSync queues a message that must not be sent before the sync, such
// as any reply about durable state.
func (c *core) queueAfterSync(addr netip.AddrPort, m *Message) {
	m.From, m.Format = c.self.ID, c.self.Format
	c.afterSync = append(c.afterSync, envelope{addr, m})
}

// queueBeforeSync queues a message that need not wait for the sync.
func (c *core) queueBeforeSync(addr netip.AddrPort, m *Message) {
	m.From, m.Format = c.self.ID, c.self.Format
	c.beforeSync = append(c.beforeSync, envelope{addr, m})
}
