package replicator

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"foxtailwall/journaler"
)

// Run drives the member until ctx ends or its disk fails. After a disk failure
// the member acknowledges nothing more, and Run returns the error.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.done)
	defer g.close()
	g.asyncSnapshots = true
	for {
		msgs, calls, err := g.awaitInput(ctx)
		if err != nil {
			return err
		}
		if err := g.runTurn(g.opts.Clock.Since(g.start), msgs, calls); err != nil {
			g.opts.Scope.Counter("replicator.failed").Inc(1)
			g.opts.Log.Error().Err(err).Msg("the control group member stopped")
			return err
		}
	}
}

// close ends the lease, waits for background snapshots and closes the journal.
func (g *Group) close() {
	g.leaseEnd.Store(0)
	g.snapshotWriters.Wait()
	if err := g.journal.Close(); err != nil {
		g.opts.Log.Warn().Err(err).Msg("the journal could not be closed")
	}
}

// awaitInput waits for messages, calls or the next tick.
func (g *Group) awaitInput(ctx context.Context) ([]*Message, []*call, error) {
	t := g.opts.Clock.NewTimer(g.opts.Heartbeat / 2)
	defer t.Stop()
	var msgs []*Message
	var calls []*call
	select {
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	case <-t.C():
	case m := <-g.inbox.C():
		msgs = append(msgs, m)
	case c := <-g.calls.C():
		calls = append(calls, c)
	}
	msgs = append(msgs, g.inbox.Drain(maxTurnBatch)...)
	calls = append(calls, g.calls.Drain(maxTurnBatch)...)
	return msgs, calls, nil
}

// runTurn is one iteration of Run: it handles the input, syncs the resulting
// output once and applies the committed entries.
func (g *Group) runTurn(now time.Duration, msgs []*Message, calls []*call) error {
	if err := g.collectSnapshotResult(); err != nil {
		return err
	}
	g.core.tick(now)
	for _, m := range msgs {
		if err := g.core.handleMessage(now, m); err != nil {
			return err
		}
	}
	for _, c := range calls {
		g.handleCall(c)
	}
	g.core.replicateAll()
	if err := g.syncAndSend(); err != nil {
		return err
	}
	if err := g.applyCommitted(); err != nil {
		return err
	}
	g.publishStatus()
	g.finishBarriers()
	return nil
}

// handleCall appends the entry of a call to the log, or registers a barrier.
func (g *Group) handleCall(c *call) {
	if !c.claim() {
		return
	}
	if g.core.role != leader {
		c.finish(outcome{err: g.notLeaderError()})
		return
	}
	switch {
	case c.barrier:
		c.startedAt, c.index, c.term = g.core.now, g.core.commit, g.core.meta.Term
		if len(g.barriers) == 0 {
			g.core.broadcast()
		}
		g.barriers = append(g.barriers, c)
		return
	case c.change != nil:
		index, err := c.change(g.core)
		if err != nil {
			c.finish(outcome{err: err})
			return
		}
		c.index = index
	default:
		if err := g.core.checkFormat(c.format); err != nil {
			g.opts.Scope.Counter("replicator.formatRefused").Inc(1)
			g.opts.Log.Warn().Err(err).Msg("a command was refused, because a member of the control group does not apply its version of log entries")
			c.finish(outcome{err: err})
			return
		}
		c.index = g.core.appendEntry(entryCommand, c.cmd)
	}
	c.term = g.core.meta.Term
	if old := g.pending[c.index]; old != nil {
		// The old entry was replaced here, but may still be committed by a
		// member that holds it.
		old.finish(outcome{err: &ProposalError{Err: errOverwritten}})
	}
	g.pending[c.index] = c
}

// syncAndSend makes the core's output durable. It sends each message before or
// after the sync, as the core requires.
func (g *Group) syncAndSend() error {
	r := g.core.takeOutput()
	g.sendAll(r.beforeSync)
	if r.installed != nil {
		if err := g.journal.Reset(*r.installed); err != nil {
			return err
		}
		if err := g.opts.Machine.Restore(r.installed.Data); err != nil {
			return errors.Wrap(err, "restore the state machine")
		}
		g.bytesSinceSnapshot = 0
		g.failSkippedCalls(r.installed.Index)
	}
	if err := g.journal.Write(r.meta, r.entries); err != nil {
		return err
	}
	if len(r.entries) > 0 {
		g.opts.Scope.Counter("replicator.entries").Inc(int64(len(r.entries)))
		g.opts.Scope.Counter("replicator.syncs").Inc(1)
	}
	for _, e := range r.entries {
		g.bytesSinceSnapshot += len(e.Data)
	}
	g.core.markSynced()
	g.sendAll(r.afterSync)
	return nil
}

func (g *Group) sendAll(es []envelope) {
	for _, e := range es {
		g.opts.Transport.Send(e.addr, e.message)
	}
}

// applyCommitted applies the committed entries, answers their callers and takes
// a snapshot if one is due.
func (g *Group) applyCommitted() error {
	entries := g.core.entriesToApply()
	type answer struct {
		c   *call
		out outcome
	}
	var answers []answer
	for _, e := range entries {
		var data []byte
		if e.Kind == entryCommand {
			data = g.opts.Machine.Apply(e.Index, e.Data)
		}
		if c := g.pending[e.Index]; c != nil {
			delete(g.pending, e.Index)
			out := outcome{data: data, index: e.Index}
			if c.term != e.Term {
				out = outcome{err: &ProposalError{NotRun: true, Err: errOverwritten}}
			}
			answers = append(answers, answer{c, out})
		}
	}
	if len(entries) > 0 {
		g.core.applied = entries[len(entries)-1].Index
	}
	// Stored before the callers get their answers, so that Applied covers every
	// answered command.
	g.applied.Store(g.core.applied)
	for _, a := range answers {
		a.c.finish(a.out)
	}
	return g.snapshotIfDue()
}

// snapshotIfDue takes a snapshot once the entries since the last one are
// numerous or large enough.
func (g *Group) snapshotIfDue() error {
	c := g.core
	grown := g.bytesSinceSnapshot >= max(minSnapshotLogBytes, len(c.snap.Data))
	if g.savingSnapshot || c.applied <= c.snap.Index || (!grown && c.applied-c.snap.Index < g.opts.SnapshotEvery) {
		return nil
	}
	s, err := c.snapshotHeader()
	if err != nil {
		return err
	}
	encode, err := g.freezeMachine()
	if err != nil {
		return errors.Wrap(err, "take a snapshot of the state machine")
	}
	g.savingSnapshot, g.bytesSinceSnapshot = true, 0
	if !g.asyncSnapshots {
		g.snapshotResults <- g.saveSnapshot(s, encode)
		return g.collectSnapshotResult()
	}
	// Heartbeats and syncs must not wait for the encoding and storing of a large
	// state.
	g.snapshotWriters.Go(func() { g.snapshotResults <- g.saveSnapshot(s, encode) })
	return nil
}

// freezeMachine captures the state machine's current state and returns the
// function that encodes it, which may run while further entries are applied.
func (g *Group) freezeMachine() (func() ([]byte, error), error) {
	if f, ok := g.opts.Machine.(Freezer); ok {
		return f.Freeze(), nil
	}
	data, err := g.opts.Machine.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

func (g *Group) saveSnapshot(s journaler.Snapshot, encode func() ([]byte, error)) snapshotResult {
	data, err := encode()
	if err != nil {
		return snapshotResult{s, errors.Wrap(err, "encode a snapshot of the state machine")}
	}
	s.Data = slices.Clip(data)
	return snapshotResult{s, g.journal.Save(s)}
}

// collectSnapshotResult compacts the log if a snapshot has been stored. It does
// not wait.
func (g *Group) collectSnapshotResult() error {
	select {
	case r := <-g.snapshotResults:
		g.savingSnapshot = false
		if r.err != nil {
			return r.err
		}
		g.core.compactLog(r.snap)
		g.opts.Scope.Counter("replicator.snapshots").Inc(1)
	default:
	}
	return nil
}

// failSkippedCalls ends the calls whose entries a snapshot replaced, because
// their outcome cannot be determined.
func (g *Group) failSkippedCalls(index uint64) {
	for i, c := range g.pending {
		if i <= index {
			delete(g.pending, i)
			c.finish(outcome{err: &ProposalError{Err: errors.New("a snapshot replaced the entry")}})
		}
	}
}

// finishBarriers answers the barriers that are satisfied or have failed.
func (g *Group) finishBarriers() {
	c := g.core
	g.barriers = slices.DeleteFunc(g.barriers, func(b *call) bool {
		switch {
		case c.role != leader || c.meta.Term != b.term:
			b.finish(outcome{err: g.notLeaderError()})
		case c.applied >= max(b.index, c.termStart) && c.quorumAckTime() >= b.startedAt:
			b.finish(outcome{index: c.applied})
		default:
			return false
		}
		return true
	})
}

func (g *Group) notLeaderError() error {
	m, _ := g.core.member(g.core.leaderID)
	return &NotLeaderError{Leader: m}
}

// publishStatus makes the member's state visible to other goroutines.
func (g *Group) publishStatus() {
	c := g.core
	g.leaseEnd.Store(int64(c.leaseExpiry()))
	g.applied.Store(c.applied)
	lead, _ := c.member(c.leaderID)
	next := &memberStatus{
		term: c.meta.Term, leading: c.role == leader, caughtUp: c.applied >= c.termStart,
		leader: lead, members: c.membership(), membershipIndex: c.memberships[len(c.memberships)-1].index,
		lowest: c.lowestFormat(),
	}
	old := g.status.Load()
	if old != nil && old.equal(next) {
		return
	}
	if old != nil && lead.ID == "" {
		next.leaderLostAt = old.leaderLostAt
		if old.leader.ID != "" {
			next.leaderLostAt = c.now
		}
	}
	g.status.Store(next)
	g.logMembership(old, next)
	g.logLowestFormat(old, next)
	if old == nil || old.leader.ID != lead.ID {
		g.opts.Scope.Counter("replicator.leaderChanges").Inc(1)
		g.opts.Log.Info().Str("leader", lead.Name).Uint64("term", c.meta.Term).Msg("control group leader changed")
	}
}

// logMembership logs the members when they change. A host that lost its disk counts for the
// majority only once it is a voter again.
func (g *Group) logMembership(old, next *memberStatus) {
	if len(next.members) == 0 || old != nil && old.membershipIndex == next.membershipIndex && len(old.members) == len(next.members) {
		return
	}
	var voters, learners []string
	for _, m := range next.members {
		if m.Voter {
			voters = append(voters, m.Name)
		} else {
			learners = append(learners, m.Name)
		}
	}
	g.opts.Log.Info().Strs("voters", voters).Strs("learners", learners).Msg("members of the control group")
}

// logLowestFormat logs a change of the lowest version of log entries that the members
// apply. Entries of a later version are refused, and a member that went back to an earlier
// release does not apply those in the log.
func (g *Group) logLowestFormat(old, next *memberStatus) {
	if !next.leading || old != nil && old.leading && old.lowest == next.lowest {
		return
	}
	level := zerolog.InfoLevel
	if next.lowest.Format < g.opts.Format {
		level = zerolog.WarnLevel
	}
	g.opts.Log.WithLevel(level).Str("member", next.lowest.Name).Uint32("format", next.lowest.Format).Uint32("own", g.opts.Format).
		Msg("lowest version of log entries that a member of the control group applies")
}

func (p *memberStatus) equal(o *memberStatus) bool {
	return p.term == o.term && p.leading == o.leading && p.caughtUp == o.caughtUp && p.leader == o.leader && p.lowest == o.lowest &&
		p.membershipIndex == o.membershipIndex && len(p.members) == len(o.members)
}
