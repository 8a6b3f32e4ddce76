package replicator

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"foxtailwall/buffer"
	"foxtailwall/counter"
	"foxtailwall/journaler"
	"foxtailwall/timekeeper"
)

const (
	// defaultHeartbeatInterval is the interval of a leader's heartbeats.
	defaultHeartbeatInterval = 100 * time.Millisecond
	// defaultElectionTimeout is the minimum election timeout. With the random
	// part added, a failed leader is replaced within 2 s.
	defaultElectionTimeout = 700 * time.Millisecond
	// defaultLeaseDuration is shorter than defaultElectionTimeout by more than
	// two monotonic clocks can drift apart in that time.
	defaultLeaseDuration = 500 * time.Millisecond

	// maxCommandBytes is the size limit of one command.
	maxCommandBytes = 4 << 20
	// maxQueuedMessages and maxQueuedCalls are the capacities of the queues that
	// Run reads.
	maxQueuedMessages = 4096
	maxQueuedCalls    = 8192
	// maxTurnBatch bounds the messages and the calls that runTurn takes from each
	// queue. They share one sync.
	maxTurnBatch = 1024

	// defaultSnapshotEvery is the number of applied entries after which the
	// state machine is saved and the log compacted.
	defaultSnapshotEvery = 10000
	// defaultTrailingEntries is the number of entries kept in memory behind a
	// snapshot, so that members slightly behind need no snapshot.
	defaultTrailingEntries = 1024
	// snapshotChunkBytes is the size of one part of a snapshot.
	snapshotChunkBytes = 1 << 20
	// minSnapshotLogBytes is the size of the entries since the last snapshot
	// after which another is taken. If the last snapshot is larger, its size
	// counts instead.
	minSnapshotLogBytes = 4 << 20
)

// States of a call.
const (
	callWaiting int32 = iota
	callClaimed
	callCanceled
)

type (
	// Options configures a member.
	Options struct {
		// Name and Addr are this host's, as in Peers.
		Name string
		Addr netip.AddrPort
		// Peers lists all hosts of the group, including this one. It is not used if
		// Seeds is set.
		Peers []Peer
		// Seeds returns addresses at which other members may be found. If it is
		// set, every host that asks may join the group.
		Seeds func() []netip.AddrPort
		// Bootstrap allows the seeds to form a new group once all of them have
		// answered that they have no log.
		Bootstrap bool
		// Voters is the number of voters to maintain if Seeds is set. Other members
		// are learners, which replace lost voters.
		Voters int
		// VerifyReads makes every Barrier contact a majority. It is needed where
		// the monotonic clock stops while the host is suspended, because a lease
		// then seems to hold for too long.
		VerifyReads bool
		FS          journaler.FS
		Machine     Machine
		Transport   Transport
		Clock       timekeeper.Clock
		Scope       counter.Scope
		Log         zerolog.Logger

		// Heartbeat, Election and Lease override the defaults of 100 ms,
		// 700 ms and 500 ms.
		Heartbeat, Election, Lease time.Duration
		// SnapshotEvery is the number of entries between snapshots; zero
		// means 10,000.
		SnapshotEvery uint64
		// Trailing is the number of entries kept in memory behind a snapshot for
		// members that lag; zero means 1,024.
		Trailing uint64
		// Format is the version of log entries that Machine applies.
		Format uint32
		// Rand and NewID are set by tests.
		Rand  *rand.Rand
		NewID func() string
	}

	// OptionError reports an invalid option.
	OptionError struct{ Option, Reason string }

	// Group is this host's member of the group. Create it with New.
	Group struct {
		opts    Options
		core    *core
		journal *journaler.Journal
		start   time.Time

		inbox *buffer.Ring[*Message]
		calls *buffer.Ring[*call]
		done  chan struct{}

		// pending holds proposals and membership changes by the index of their
		// entry.
		pending            map[uint64]*call
		barriers           []*call
		bytesSinceSnapshot int

		// asyncSnapshots stores snapshots in the background. Tests leave it unset,
		// so that runTurn is deterministic.
		asyncSnapshots  bool
		savingSnapshot  bool
		snapshotResults chan snapshotResult
		snapshotWriters conc.WaitGroup

		// Read by other goroutines.
		leaseEnd atomic.Int64
		applied  atomic.Uint64
		status   atomic.Pointer[memberStatus]
	}

	// memberStatus is the part of the member's state that other goroutines see.
	memberStatus struct {
		term    uint64
		leading bool
		// caughtUp says that all entries of earlier terms are applied.
		caughtUp bool
		leader   Member
		// leaderLostAt is the time since the member started at which it last
		// ceased to know a leader. It is not used while leader is set.
		leaderLostAt    time.Duration
		members         []Member
		membershipIndex uint64
		// lowest is the member that applies the lowest version of log entries, with
		// that version. It is used only while this member leads.
		lowest Member
	}

	// call is a proposal, a barrier or a membership change submitted to the loop.
	call struct {
		cmd     []byte
		format  uint32
		barrier bool
		change  func(*core) (uint64, error)

		state  atomic.Int32
		result chan outcome
		// term is the leader's term when the loop handled the call, startedAt is
		// when a barrier began, and index is the entry that the call waits for.
		term      uint64
		startedAt time.Duration
		index     uint64
	}

	// snapshotResult reports that a snapshot was stored, or why not.
	snapshotResult struct {
		snap journaler.Snapshot
		err  error
	}

	outcome struct {
		data  []byte
		index uint64
		err   error
	}
)

// New opens the member's directory and restores the state machine. Errors are
// an *OptionError, a *journaler.CorruptError or a failure of the disk.
func New(o Options) (*Group, error) {
	if err := o.applyDefaultsAndValidate(); err != nil {
		return nil, err
	}
	j, st, err := journaler.Open(o.FS)
	if err != nil {
		return nil, err
	}
	if st.Meta.Member == "" {
		st.Meta.Member = o.NewID()
		if err := j.Write(&st.Meta, nil); err != nil {
			return nil, err
		}
	}
	if st.Snapshot.Index > 0 {
		if err := o.Machine.Restore(st.Snapshot.Data); err != nil {
			return nil, errors.Wrap(err, "restore the state machine")
		}
	}
	p := params{
		heartbeatInterval: o.Heartbeat, electionTimeout: o.Election, leaseDuration: o.Lease,
		trailingEntries: o.Trailing, chunkBytes: snapshotChunkBytes,
	}
	self := Member{ID: st.Meta.Member, Name: o.Name, Addr: o.Addr, Format: o.Format}
	c, err := newCore(p, self, o.Peers, o.Rand, st)
	if err != nil {
		return nil, err
	}
	c.seeds, c.bootstrap, c.voters = o.Seeds, o.Bootstrap, o.Voters
	if o.VerifyReads {
		c.skipStartupWait()
	}
	g := &Group{
		opts: o, core: c, journal: j, start: o.Clock.Now(),
		inbox: buffer.New[*Message](maxQueuedMessages), calls: buffer.New[*call](maxQueuedCalls),
		done: make(chan struct{}), pending: make(map[uint64]*call), snapshotResults: make(chan snapshotResult, 1),
	}
	for _, e := range st.Entries {
		g.bytesSinceSnapshot += len(e.Data)
	}
	g.publishStatus()
	return g, nil
}

func (o *Options) applyDefaultsAndValidate() error {
	o.Heartbeat = orDefault(o.Heartbeat, defaultHeartbeatInterval)
	o.Election = orDefault(o.Election, defaultElectionTimeout)
	o.Lease = orDefault(o.Lease, defaultLeaseDuration)
	o.SnapshotEvery = orDefault(o.SnapshotEvery, defaultSnapshotEvery)
	o.Trailing = orDefault(o.Trailing, defaultTrailingEntries)
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	if o.Rand == nil {
		var b [16]byte
		// Read never fails.
		_, _ = crand.Read(b[:])
		o.Rand = rand.New(rand.NewPCG(binary.LittleEndian.Uint64(b[:]), binary.LittleEndian.Uint64(b[8:])))
	}
	switch {
	case o.Clock == nil || o.FS == nil || o.Machine == nil || o.Transport == nil:
		return &OptionError{"Clock, FS, Machine, Transport", "must be set"}
	case o.Lease+o.Heartbeat > o.Election:
		return &OptionError{"Lease", "must be shorter than Election by at least Heartbeat"}
	case o.Seeds != nil && o.Voters < 1:
		return &OptionError{"Voters", "must be at least 1 where Seeds is set"}
	case o.Seeds == nil && !slices.Contains(o.Peers, Peer{Name: o.Name, Addr: o.Addr}):
		return &OptionError{"Peers", fmt.Sprintf("must contain this host, %s at %s", o.Name, o.Addr)}
	}
	return nil
}

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("option %s: %s", e.Option, e.Reason) }

// Receive queues messages from other members. It drops them when the queue is
// full; the senders repeat them.
func (g *Group) Receive(ms ...*Message) {
	for _, m := range ms {
		if !g.inbox.Offer(m) {
			g.opts.Scope.Counter("replicator.dropped").Inc(1)
		}
	}
}

// Propose appends the command to the log and returns the result of applying it
// and its index. NotRun reports whether an error means that the command
// certainly has no effect; a *NotLeaderError names the leader.
func (g *Group) Propose(ctx context.Context, cmd []byte) (result []byte, index uint64, err error) {
	return g.ProposeFormat(ctx, cmd, 0)
}

// ProposeFormat is Propose for a command that only members that apply log entries
// of the given version understand. If a member does not, the error is a *FormatError.
func (g *Group) ProposeFormat(ctx context.Context, cmd []byte, format uint32) (result []byte, index uint64, err error) {
	if len(cmd) > maxCommandBytes {
		return nil, 0, &TooLargeError{Size: len(cmd), Limit: maxCommandBytes}
	}
	out := g.submit(ctx, &call{cmd: cmd, format: format})
	return out.data, out.index, out.err
}

// Barrier returns once the machine of this member reflects everything that any
// member acknowledged before the call, and returns the index of the newest
// applied entry. This member must be the leader. While the lease holds, Barrier
// needs no messages, and otherwise a round trip to a majority.
func (g *Group) Barrier(ctx context.Context) (uint64, error) {
	if !g.opts.VerifyReads && g.HoldsLease() {
		return g.applied.Load(), nil
	}
	out := g.submit(ctx, &call{barrier: true})
	return out.index, out.err
}

// HoldsLease reports whether this member holds the leader's lease, so that no
// other member can have been elected.
func (g *Group) HoldsLease() bool {
	return g.opts.Clock.Since(g.start) < time.Duration(g.leaseEnd.Load())
}

// Leader returns the leader known to this member, if any.
func (g *Group) Leader() (Member, bool) {
	p := g.status.Load()
	return p.leader, p.leader.ID != ""
}

// LeaderlessFor returns how long this member has known no leader, zero while it
// knows one. A leader that fails is replaced within 2 s, so a member that has
// known none for longer is probably cut off.
func (g *Group) LeaderlessFor() time.Duration {
	p := g.status.Load()
	if p.leader.ID != "" {
		return 0
	}
	return g.opts.Clock.Since(g.start) - p.leaderLostAt
}

// Leading returns the current term, and whether this member leads and has
// applied all entries of earlier terms.
func (g *Group) Leading() (term uint64, ok bool) {
	p := g.status.Load()
	return p.term, p.leading && p.caughtUp
}

// ID returns the identity of this member's directory.
func (g *Group) ID() string { return g.core.self.ID }

// Applied returns the index of the newest entry applied to the state machine.
func (g *Group) Applied() uint64 { return g.applied.Load() }

// LowestFormat returns the lowest version of log entries that a member applies, as
// far as this member knows, which must lead for a current answer.
func (g *Group) LowestFormat() uint32 { return g.status.Load().lowest.Format }

// Members returns the newest membership known to this member.
func (g *Group) Members() []Member { return slices.Clone(g.status.Load().members) }

// Add makes m a learner, which becomes a voter once it has caught up. m must be
// running with an empty log. Hosts listed in Options.Peers join by themselves.
func (g *Group) Add(ctx context.Context, m Member) error {
	return g.submit(ctx, &call{change: func(c *core) (uint64, error) { return c.addLearner(m) }}).err
}

// Remove removes the member with the given identity from the group.
func (g *Group) Remove(ctx context.Context, id string) error {
	return g.submit(ctx, &call{change: func(c *core) (uint64, error) { return c.removeMember(id) }}).err
}

// submit queues a call for the loop and waits for its outcome.
func (g *Group) submit(ctx context.Context, c *call) outcome {
	if p := g.status.Load(); !p.leading {
		return outcome{err: &NotLeaderError{Leader: p.leader}}
	}
	c.result = make(chan outcome, 1)
	if !g.calls.Offer(c) {
		return outcome{err: &ProposalError{NotRun: true, Err: errOverloaded}}
	}
	select {
	case out := <-c.result:
		return out
	case <-ctx.Done():
		return c.abandon(canceledError(ctx, true), canceledError(ctx, false))
	case <-g.done:
		return c.abandon(&ProposalError{NotRun: true, Err: errStopped}, &ProposalError{Err: errStopped})
	}
}

// abandon stops waiting for a call. It returns notRun if the loop has not
// claimed the call, the outcome if there is one, and unknown otherwise.
func (c *call) abandon(notRun, unknown error) outcome {
	if c.state.CompareAndSwap(callWaiting, callCanceled) {
		return outcome{err: notRun}
	}
	select {
	case out := <-c.result:
		return out
	default:
		return outcome{err: unknown}
	}
}

// claim marks the call as taken by the loop. It fails if the caller has stopped
// waiting.
func (c *call) claim() bool { return c.state.CompareAndSwap(callWaiting, callClaimed) }

func (c *call) finish(out outcome) { c.result <- out }

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
