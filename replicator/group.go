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
	// defaultHeartbeat is the interval of a leader's messages.
	defaultHeartbeat = 100 * time.Millisecond
	// defaultElection is the shortest election timeout. With its random part
	// a failed leader is replaced within 2 s.
	defaultElection = 700 * time.Millisecond
	// defaultLease is shorter than defaultElection by more than any
	// difference in the rate of two monotonic clocks.
	defaultLease = 500 * time.Millisecond

	// maxCommand bounds one command, in bytes.
	maxCommand = 4 << 20
	// inboxSize and callsSize bound what waits for the loop.
	inboxSize = 4096
	callsSize = 8192
	// maxBatch bounds the messages and the proposals of one turn, all of
	// which share one sync.
	maxBatch = 1024

	// defaultSnapshotEvery is the number of entries after which the machine
	// is saved and the log compacted.
	defaultSnapshotEvery = 10000
	// defaultTrailing is the number of entries that stay in memory behind a
	// snapshot, so that members a little behind need no snapshot.
	defaultTrailing = 1024
	// chunkSize is the size in bytes of one part of a snapshot.
	chunkSize = 1 << 20
	// minSnapshotBytes is the size of the entries after which the machine is
	// saved, unless its last snapshot is larger.
	minSnapshotBytes = 4 << 20
)

// States of a call.
const (
	callWaiting int32 = iota
	callTaken
	callCanceled
)

type (
	// Options configures a member.
	Options struct {
		// Name and Addr are this host's, as in Peers.
		Name string
		Addr netip.AddrPort
		// Peers lists all hosts of the group, this one included. It is not
		// used where Seeds is set.
		Peers []Peer
		// Seeds returns addresses at which other members may be found. With
		// it, the group takes in every host that asks to join.
		Seeds func() []netip.AddrPort
		// Bootstrap allows a first group to be formed by the seeds, once all
		// of them have answered that they have no log.
		Bootstrap bool
		// Voters is the number of voters to keep where Seeds is set; other
		// members follow the log and take the place of voters that are gone.
		Voters int
		// VerifyReads makes every Barrier ask a majority. It is needed where
		// the monotonic clock stands still while the machine is suspended,
		// because a lease then seems to hold for too long.
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
		// Trailing is the number of entries that stay in memory behind a
		// snapshot for members that lag; zero means 1,024.
		Trailing uint64
		// Rand and NewID are set by tests.
		Rand  *rand.Rand
		NewID func() string
	}

	// OptionError names an option that cannot be used.
	OptionError struct{ Option, Reason string }

	// Group is this host's member of the group. Make it with New.
	Group struct {
		opts    Options
		core    *core
		journal *journaler.Journal
		start   time.Time

		inbox *buffer.Ring[*Message]
		calls *buffer.Ring[*call]
		done  chan struct{}

		waiting  map[uint64]*call
		barriers []*call
		bytes    int

		// background lets snapshots be stored beside the loop; without it,
		// as in tests, a turn is one deterministic step.
		background bool
		saving     bool
		saved      chan saved
		savers     conc.WaitGroup

		// Read by other goroutines.
		lease   atomic.Int64
		applied atomic.Uint64
		public  atomic.Pointer[public]
	}

	// public is what other goroutines see of the member's state.
	public struct {
		term    uint64
		leads   bool
		ready   bool
		leader  Member
		members []Member
		confAt  uint64
	}

	// call is a proposal, a barrier or a membership change on its way through
	// the loop.
	call struct {
		cmd     []byte
		barrier bool
		change  func(*core) (uint64, error)

		state  atomic.Int32
		result chan outcome
		// term is the leader's term at the time of the proposal; since is
		// when a barrier began, and index what it waits for.
		term  uint64
		since time.Duration
		index uint64
	}

	// saved says that a snapshot was stored, or why not.
	saved struct {
		snap journaler.Snapshot
		err  error
	}

	outcome struct {
		data  []byte
		index uint64
		err   error
	}
)

// New opens the member's directory and restores its machine. Errors are an
// *OptionError, a *journaler.CorruptError or a failure of the disk.
func New(o Options) (*Group, error) {
	if err := o.complete(); err != nil {
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
			return nil, errors.Wrap(err, "restore the machine")
		}
	}
	t := tuning{
		heartbeat: o.Heartbeat, election: o.Election, lease: o.Lease,
		trailing: o.Trailing, chunk: chunkSize,
	}
	self := Member{ID: st.Meta.Member, Name: o.Name, Addr: o.Addr}
	c, err := newCore(t, self, o.Peers, o.Rand, st)
	if err != nil {
		return nil, err
	}
	c.seeds, c.bootstrap, c.voters = o.Seeds, o.Bootstrap, o.Voters
	if o.VerifyReads {
		c.startWithoutLease()
	}
	g := &Group{
		opts: o, core: c, journal: j, start: o.Clock.Now(),
		inbox: buffer.New[*Message](inboxSize), calls: buffer.New[*call](callsSize),
		done: make(chan struct{}), waiting: make(map[uint64]*call), saved: make(chan saved, 1),
	}
	for _, e := range st.Entries {
		g.bytes += len(e.Data)
	}
	g.publish()
	return g, nil
}

func (o *Options) complete() error {
	o.Heartbeat = orDefault(o.Heartbeat, defaultHeartbeat)
	o.Election = orDefault(o.Election, defaultElection)
	o.Lease = orDefault(o.Lease, defaultLease)
	o.SnapshotEvery = orDefault(o.SnapshotEvery, defaultSnapshotEvery)
	o.Trailing = orDefault(o.Trailing, defaultTrailing)
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

// Receive takes messages from other members. It drops them when the member
// is overloaded; the senders repeat.
func (g *Group) Receive(ms ...*Message) {
	for _, m := range ms {
		if !g.inbox.Offer(m) {
			g.opts.Scope.Counter("replicator.dropped").Inc(1)
		}
	}
}

// Propose appends the command to the log and returns the result of applying
// it and its index. Use NotRun on the error to learn whether the command
// certainly has no effect; a *NotLeaderError names the leader.
func (g *Group) Propose(ctx context.Context, cmd []byte) (result []byte, index uint64, err error) {
	if len(cmd) > maxCommand {
		return nil, 0, &TooLargeError{Size: len(cmd), Limit: maxCommand}
	}
	out := g.do(ctx, &call{cmd: cmd})
	return out.data, out.index, out.err
}

// Barrier returns once the machine of this member, which must lead, reflects
// everything that was acknowledged before the call anywhere, and returns the
// index of the newest entry applied. It needs no messages while the lease
// holds, and a round to a majority otherwise.
func (g *Group) Barrier(ctx context.Context) (uint64, error) {
	if !g.opts.VerifyReads && g.Leased() {
		return g.applied.Load(), nil
	}
	out := g.do(ctx, &call{barrier: true})
	return out.index, out.err
}

// Leased reports whether this member leads and no other can have been elected
// at this moment.
func (g *Group) Leased() bool {
	return g.opts.Clock.Since(g.start) < time.Duration(g.lease.Load())
}

// Leader returns the leader as far as this member knows it.
func (g *Group) Leader() (Member, bool) {
	p := g.public.Load()
	return p.leader, p.leader.ID != ""
}

// Leading returns the term in which this member leads, and whether it does
// and has applied all entries of earlier terms.
func (g *Group) Leading() (term uint64, ok bool) {
	p := g.public.Load()
	return p.term, p.leads && p.ready
}

// ID returns the identity of this member.
func (g *Group) ID() string { return g.core.self.ID }

// Applied returns the index of the newest entry applied to the machine.
func (g *Group) Applied() uint64 { return g.applied.Load() }

// Members returns the newest membership that this member knows.
func (g *Group) Members() []Member { return slices.Clone(g.public.Load().members) }

// Add makes m, which must run and have an empty log, a learner; it becomes a
// voter once it has caught up. Peers of the options join by themselves.
func (g *Group) Add(ctx context.Context, m Member) error {
	return g.do(ctx, &call{change: func(c *core) (uint64, error) { return c.add(m) }}).err
}

// Remove takes the member with the identity out of the group.
func (g *Group) Remove(ctx context.Context, id string) error {
	return g.do(ctx, &call{change: func(c *core) (uint64, error) { return c.remove(id) }}).err
}

// do hands a call to the loop and waits for its outcome.
func (g *Group) do(ctx context.Context, c *call) outcome {
	if p := g.public.Load(); !p.leads {
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
		return c.abandon(canceled(ctx, true), canceled(ctx, false))
	case <-g.done:
		return c.abandon(&ProposalError{NotRun: true, Err: errStopped}, &ProposalError{Err: errStopped})
	}
}

// abandon ends the wait for a call: with notRun if the loop has not taken it,
// with its outcome if there is one, else with unknown.
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

// take claims the call for the loop; it fails if the caller has given up.
func (c *call) take() bool { return c.state.CompareAndSwap(callWaiting, callTaken) }

func (c *call) finish(out outcome) { c.result <- out }

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
