package coordinator

import (
	"context"
	"fmt"
	"time"

	"foxtailwall/controller"
	"foxtailwall/stager"
	"foxtailwall/timekeeper"
)

// runListReader reads the list of upstreams every listInterval while this host
// leads, starting when it becomes leader. It reads the list sooner while hosts
// report that a listed upstream has been replaced.
func (c *Coordinator) runListReader(ctx context.Context) {
	var lastRead time.Time
	for timekeeper.Sleep(ctx, c.set.Clock, leaderCheckInterval) == nil {
		switch {
		case !c.Leading():
			if !lastRead.IsZero() {
				c.hub.ClearList()
			}
			lastRead = time.Time{}
		case lastRead.IsZero() || c.set.Clock.Since(lastRead) >= c.listInterval():
			lastRead = c.set.Clock.Now()
			c.readList(ctx)
		}
	}
}

// listInterval returns the time between two reads of the list.
func (c *Coordinator) listInterval() time.Duration {
	if c.loadHub.UpstreamsReplaced() {
		return outdatedListInterval
	}
	return listInterval
}

func (c *Coordinator) readList(ctx context.Context) {
	list, err := c.set.List(ctx)
	if err != nil {
		c.set.Scope.Counter("coordinator.listFailed").Inc(1)
		c.set.Log.Info().AnErr("cause", err).Msg("cannot read the list of upstreams")
		return
	}
	if !c.inventory.Update(list) && len(c.hub.Upstreams()) > 0 {
		c.hub.ConfirmList(c.inventory.List())
		return
	}
	c.listCount++
	if err := c.hub.SetList(fmt.Sprintf("%s/%d/%d", c.set.Name, c.set.Clock.Now().UnixNano(), c.listCount), c.inventory.List()); err != nil {
		c.set.Log.Error().Err(err).Msg("cannot encode the list of upstreams")
		return
	}
	c.set.Log.Info().Int("upstreams", len(list)).Msg("the list of upstreams has changed")
}

// runRollouts advances the running rollouts while this host leads.
func (c *Coordinator) runRollouts(ctx context.Context) {
	var rates stager.RateMeter
	for timekeeper.Sleep(ctx, c.set.Clock, rolloutInterval) == nil {
		if !c.Leading() {
			rates = stager.RateMeter{}
			continue
		}
		for _, r := range c.Published().Rollouts {
			if r.State == controller.RolloutRunning {
				c.advanceRollout(ctx, r, &rates)
			} else {
				rates.Forget(r.Service)
			}
		}
	}
}

// advanceRollout proposes the next step of a rollout, if it is due.
func (c *Coordinator) advanceRollout(ctx context.Context, r controller.OrderedRollout, rates *stager.RateMeter) {
	e := stager.Evidence{Counts: c.hub.Counts(), Running: c.hub.RunningOtherVersions(r.Service), Prepared: c.hub.ExclusionsReported(r.Service, r.Target)}
	e.PerSecond = rates.Update(r.Service, e.Counts, c.set.Clock.Now())
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
		c.set.Log.Info().Str("service", r.Service).AnErr("cause", err).Msg("cannot propose the next step of a rollout")
		return
	}
	target, others := stager.Sum(r, e.Counts)
	c.set.Log.Info().Str("service", r.Service).Str("target", r.Target).Str("state", string(step.State)).
		Int("share", step.Share).Bool("moving", step.Moving).Int("ready", e.Ready).Int("old", e.Old).
		Float64("perSecond", e.PerSecond).Uint64("targetAnswers", target.All).Uint64("targetBad", target.Bad).Uint64("targetFailed", target.Failed).
		Uint64("otherAnswers", others.All).Uint64("otherBad", others.Bad).Uint64("otherFailed", others.Failed).
		Msg("rollout advanced")
}
