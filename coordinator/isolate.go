package coordinator

import (
	"context"

	"foxtailwall/controller"
	"foxtailwall/timekeeper"
)

// runIsolations starts and ends the isolation of prompt parts and requests while
// this host leads.
func (c *Coordinator) runIsolations(ctx context.Context) {
	for timekeeper.Sleep(ctx, c.set.Clock, isolationInterval) == nil {
		if !c.Leading() {
			c.judge.Reset()
			continue
		}
		isolations := c.Published().Isolations
		c.judge.SetIsolations(isolations)
		for _, part := range c.judge.Next() {
			c.stepIsolation(ctx, controller.IsolationStep{Part: part})
		}
		for _, st := range c.judge.Trials() {
			// Without trials, an isolation lasts until its time has passed.
			if controller.RequiredFormat(controller.Item{Isolation: &st}) <= c.lowestFormat() {
				c.stepIsolation(ctx, st)
			}
		}
		now := c.set.Clock.Now()
		for _, i := range isolations {
			if i.Active && i.Until.Before(now) {
				c.stepIsolation(ctx, controller.IsolationStep{Part: i.Part, End: true})
			}
		}
	}
}

// lowestFormat returns the lowest version of log entries that a member applies, 0 while no
// member is open.
func (c *Coordinator) lowestFormat() uint32 {
	if m := c.openMember.Load(); m != nil {
		return m.group.LowestFormat()
	}
	return 0
}

// stepIsolation proposes the start, a trial or the end of an isolation. A failure is only
// logged: the next turn proposes it again.
func (c *Coordinator) stepIsolation(ctx context.Context, st controller.IsolationStep) {
	a, err := c.propose(ctx, controller.Item{Isolation: &st})
	if err != nil {
		c.set.Log.Info().Stringer("part", st.Part).AnErr("cause", err).
			Msg("cannot propose the isolation of a prompt part or request")
		return
	}
	c.set.Log.Warn().Stringer("part", st.Part).Bool("ended", st.End).Bool("trial", st.Trial != 0).Bool("served", st.Served).Bool("changed", a.OK).
		Msg("isolation of a prompt part or request that crashes upstreams")
}
