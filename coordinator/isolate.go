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
		for _, st := range c.judge.Next() {
			if st.Hold && !c.canApply(st) {
				st = controller.IsolationStep{Part: st.Part}
			}
			c.stepIsolation(ctx, st)
		}
		for _, st := range c.judge.Trials() {
			// Without trials, an isolation lasts until its time has passed.
			if c.canApply(st) {
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

// canApply reports whether all members of the group apply the step, false while no member
// is open.
func (c *Coordinator) canApply(st controller.IsolationStep) bool {
	m := c.openMember.Load()
	return m != nil && controller.RequiredFormat(controller.Item{Isolation: &st}) <= m.group.LowestFormat()
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
	c.set.Log.Warn().Stringer("part", st.Part).Bool("ended", st.End).Bool("hold", st.Hold).Bool("trial", st.Trial != 0).Bool("served", st.Served).Bool("changed", a.OK).
		Msg("isolation of a prompt part or request that crashes upstreams")
}
