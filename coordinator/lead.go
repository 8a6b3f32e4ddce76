package coordinator

import (
	"context"
	"fmt"
	"time"

	"foxtailwall/controller"
	"foxtailwall/stager"
	"foxtailwall/timekeeper"
)

// runList reads the list of upstreams while this host leads, at once when it
// begins to.
func (c *Coordinator) runList(ctx context.Context) {
	var read time.Time
	for timekeeper.Sleep(ctx, c.set.Clock, listTick) == nil {
		switch {
		case !c.Leading():
			if !read.IsZero() {
				c.hub.ClearList()
			}
			read = time.Time{}
		case read.IsZero() || c.set.Clock.Since(read) >= listEvery:
			read = c.set.Clock.Now()
			c.readList(ctx)
		}
	}
}

func (c *Coordinator) readList(ctx context.Context) {
	list, err := c.set.List(ctx)
	if err != nil {
		c.set.Scope.Counter("coordinator.listFailed").Inc(1)
		c.set.Log.Info().AnErr("cause", err).Msg("the list of upstreams was not read")
		return
	}
	if !c.inv.Update(list) && len(c.hub.Upstreams()) > 0 {
		c.hub.ConfirmList()
		return
	}
	c.lists++
	if err := c.hub.SetList(fmt.Sprintf("%s/%d/%d", c.set.Name, c.set.Clock.Now().UnixNano(), c.lists), c.inv.List()); err != nil {
		c.set.Log.Error().Err(err).Msg("the list of upstreams cannot be told")
		return
	}
	c.set.Log.Info().Int("upstreams", len(list)).Msg("the list of upstreams has changed")
}

// runRollouts moves rollouts on while this host leads.
func (c *Coordinator) runRollouts(ctx context.Context) {
	for timekeeper.Sleep(ctx, c.set.Clock, orderEvery) == nil {
		if !c.Leading() {
			continue
		}
		for _, r := range c.Published().Rollouts {
			if r.State == controller.RolloutRunning {
				c.moveOn(ctx, r)
			}
		}
	}
}

func (c *Coordinator) moveOn(ctx context.Context, r controller.OrderedRollout) {
	e := stager.Evidence{Counts: c.hub.Counts(), Running: c.hub.RunningOtherVersions(r.Service), Prepared: c.hub.ExclusionsReported(r.Service, r.Target)}
	for _, u := range c.hub.Upstreams() {
		switch {
		case u.Service != r.Service || u.Leaving:
		case u.Version == r.Target:
			e.Ready++
		default:
			e.Old++
		}
	}
	step, ok := stager.Next(r, c.set.Clock.Now(), e)
	if !ok {
		return
	}
	if _, err := c.propose(ctx, controller.Item{Step: &step}); err != nil {
		c.set.Log.Info().Str("service", r.Service).AnErr("cause", err).Msg("the step of a rollout was not taken")
		return
	}
	c.set.Log.Info().Str("service", r.Service).Str("target", r.Target).Str("state", string(step.State)).
		Int("share", step.Share).Bool("moving", step.Moving).Int("ready", e.Ready).Int("old", e.Old).
		Msg("rollout moved on")
}
