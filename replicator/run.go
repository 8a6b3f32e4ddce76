package replicator

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/journaler"
)

// Run drives the member until ctx ends or its disk fails. After a failure of
// the disk the member acknowledges nothing any more, and Run returns the
// error.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.done)
	defer g.close()
	g.background = true
	for {
		msgs, calls, err := g.await(ctx)
		if err != nil {
			return err
		}
		if err := g.turn(g.opts.Clock.Since(g.start), msgs, calls); err != nil {
			g.opts.Scope.Counter("replicator.failed").Inc(1)
			g.opts.Log.Error().Err(err).Msg("the control group member stopped")
			return err
		}
	}
}

// close ends the lease and the use of the directory.
func (g *Group) close() {
	g.lease.Store(0)
	g.savers.Wait()
	if err := g.journal.Close(); err != nil {
		g.opts.Log.Warn().Err(err).Msg("the journal could not be closed")
	}
}

// await waits for messages, calls or the next tick.
func (g *Group) await(ctx context.Context) ([]*Message, []*call, error) {
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
	msgs = append(msgs, g.inbox.Drain(maxBatch)...)
	calls = append(calls, g.calls.Drain(maxBatch)...)
	return msgs, calls, nil
}

// turn is one deterministic step: it handles the input, syncs once what came
// of it, and applies what is committed.
func (g *Group) turn(now time.Duration, msgs []*Message, calls []*call) error {
	if err := g.collect(); err != nil {
		return err
	}
	g.core.tick(now)
	for _, m := range msgs {
		if err := g.core.step(now, m); err != nil {
			return err
		}
	}
	for _, c := range calls {
		g.take(c)
	}
	g.core.replicateAll()
	if err := g.sync(); err != nil {
		return err
	}
	if err := g.apply(); err != nil {
		return err
	}
	g.publish()
	g.release()
	return nil
}

// take handles one call.
func (g *Group) take(c *call) {
	if !c.take() {
		return
	}
	if g.core.role != leader {
		c.finish(outcome{err: g.notLeader()})
		return
	}
	switch {
	case c.barrier:
		c.since, c.index, c.term = g.core.now, g.core.commit, g.core.meta.Term
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
		c.index = g.core.propose(entryCommand, c.cmd)
	}
	c.term = g.core.meta.Term
	if old := g.waiting[c.index]; old != nil {
		// The old entry was replaced here, but may still be committed by a
		// member that holds it.
		old.finish(outcome{err: &ProposalError{Err: errOverwritten}})
	}
	g.waiting[c.index] = c
}

// sync sends, syncs and sends as the core asks.
func (g *Group) sync() error {
	r := g.core.ready()
	g.sendAll(r.early)
	if r.reset != nil {
		if err := g.journal.Reset(*r.reset); err != nil {
			return err
		}
		if err := g.opts.Machine.Restore(r.reset.Data); err != nil {
			return errors.Wrap(err, "restore the machine")
		}
		g.bytes = 0
		g.passed(r.reset.Index)
	}
	if err := g.journal.Write(r.meta, r.entries); err != nil {
		return err
	}
	if len(r.entries) > 0 {
		g.opts.Scope.Counter("replicator.entries").Inc(int64(len(r.entries)))
		g.opts.Scope.Counter("replicator.syncs").Inc(1)
	}
	for _, e := range r.entries {
		g.bytes += len(e.Data)
	}
	g.core.synced()
	g.sendAll(r.late)
	return nil
}

func (g *Group) sendAll(es []envelope) {
	for _, e := range es {
		g.opts.Transport.Send(e.addr, e.m)
	}
}

// apply applies the committed entries, answers their callers and saves the
// machine when the log has grown.
func (g *Group) apply() error {
	entries := g.core.committed()
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
		if c := g.waiting[e.Index]; c != nil {
			delete(g.waiting, e.Index)
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
	// A reader that sees an answer must find its index applied.
	g.applied.Store(g.core.applied)
	for _, a := range answers {
		a.c.finish(a.out)
	}
	return g.compact()
}

// compact saves the machine once enough entries have been applied since the
// last time.
func (g *Group) compact() error {
	c := g.core
	grown := g.bytes >= max(minSnapshotBytes, len(c.snap.Data))
	if g.saving || c.applied <= c.snap.Index || (!grown && c.applied-c.snap.Index < g.opts.SnapshotEvery) {
		return nil
	}
	s, err := c.snapshotAt()
	if err != nil {
		return err
	}
	encode, err := g.freeze()
	if err != nil {
		return errors.Wrap(err, "take a snapshot of the machine")
	}
	g.saving, g.bytes = true, 0
	if !g.background {
		g.saved <- g.save(s, encode)
		return g.collect()
	}
	// Heartbeats and syncs must not wait for a large state or file.
	g.savers.Go(func() { g.saved <- g.save(s, encode) })
	return nil
}

// freeze fixes the state of the machine as it is now and returns the function
// that encodes it, which may run while the machine goes on.
func (g *Group) freeze() (func() ([]byte, error), error) {
	if f, ok := g.opts.Machine.(Freezer); ok {
		return f.Freeze(), nil
	}
	data, err := g.opts.Machine.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

func (g *Group) save(s journaler.Snapshot, encode func() ([]byte, error)) saved {
	data, err := encode()
	if err != nil {
		return saved{s, errors.Wrap(err, "encode a snapshot of the machine")}
	}
	s.Data = slices.Clip(data)
	return saved{s, g.journal.Save(s)}
}

// collect takes over a snapshot that has been stored.
func (g *Group) collect() error {
	select {
	case r := <-g.saved:
		g.saving = false
		if r.err != nil {
			return r.err
		}
		g.core.compacted(r.snap)
		g.opts.Scope.Counter("replicator.snapshots").Inc(1)
	default:
	}
	return nil
}

// passed ends the calls whose entries were skipped by a snapshot, so that
// their outcome cannot be learned.
func (g *Group) passed(index uint64) {
	for i, c := range g.waiting {
		if i <= index {
			delete(g.waiting, i)
			c.finish(outcome{err: &ProposalError{Err: errors.New("a snapshot replaced the entry")}})
		}
	}
}

// release ends the barriers that are reached or have failed.
func (g *Group) release() {
	c := g.core
	g.barriers = slices.DeleteFunc(g.barriers, func(b *call) bool {
		switch {
		case c.role != leader || c.meta.Term != b.term:
			b.finish(outcome{err: g.notLeader()})
		case c.applied >= max(b.index, c.termStart) && c.quorumAcked() >= b.since:
			b.finish(outcome{index: c.applied})
		default:
			return false
		}
		return true
	})
}

func (g *Group) notLeader() error {
	m, _ := g.core.member(g.core.leader)
	return &NotLeaderError{Leader: m}
}

// publish shows the member's state to other goroutines.
func (g *Group) publish() {
	c := g.core
	g.lease.Store(int64(c.leaseUntil()))
	g.applied.Store(c.applied)
	lead, _ := c.member(c.leader)
	next := &public{
		term: c.meta.Term, leads: c.role == leader, ready: c.applied >= c.termStart,
		leader: lead, members: c.conf(), confAt: c.confs[len(c.confs)-1].index,
	}
	old := g.public.Load()
	if old != nil && old.same(next) {
		return
	}
	g.public.Store(next)
	if old == nil || old.leader.ID != lead.ID {
		g.opts.Scope.Counter("replicator.leaderChanges").Inc(1)
		g.opts.Log.Info().Str("leader", lead.Name).Uint64("term", c.meta.Term).Msg("control group leader changed")
	}
}

func (p *public) same(o *public) bool {
	return p.term == o.term && p.leads == o.leads && p.ready == o.ready && p.leader == o.leader &&
		p.confAt == o.confAt && len(p.members) == len(o.members)
}
