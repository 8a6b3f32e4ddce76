package forwarder

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailwall/controller"
	"foxtailwall/placer"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

const (
	// attemptLimit bounds the attempts of a request, including those that reached
	// no upstream: a refused connection costs about a millisecond, and many
	// upstreams may stop at once.
	attemptLimit = 24
	// minAttemptTime is the least remaining time with which an attempt is started.
	minAttemptTime = 20 * time.Millisecond
	// placeWait is how long a request waits for a place at a brittle upstream, at most
	// maxPlaceWaits times: until the loads of 300 other hosts have arrived once or twice.
	placeWait     = 25 * time.Millisecond
	maxPlaceWaits = 16
	// baseRequestWork is the work of a request besides that of its tokens, in
	// tokens.
	baseRequestWork = 100
)

// refuseAttempt returns a refusal if no further attempt is allowed.
func (c *call) refuseAttempt() *refusal {
	if ref := c.interruption(); ref != nil {
		return ref
	}
	remaining := c.deadline.Sub(c.f.settings.Clock.Now())
	switch {
	case remaining < minAttemptTime:
		return newRefusal(http.StatusGatewayTimeout, refuser.DeadlineExceeded, 0)
	case c.attempts >= attemptLimit, c.delivered >= c.maxAttempts():
		return newRefusal(http.StatusBadGateway, refuser.UpstreamFailed, busyRetryAfter)
	}
	return c.refuseIsolated()
}

// placeAttempt chooses the upstream for the next attempt, or returns a refusal
// if no attempt is possible. Both are nil if it has waited and is to be called again.
func (c *call) placeAttempt() (*placer.Ticket, *refusal) {
	if ref := c.refusePartitioned(); ref != nil {
		return nil, ref
	}
	c.excludeNewRollout()
	req := c.placementRequest()
	t, ref := c.pickUpstream(req)
	if t == nil && ref == nil && len(c.tried) > 0 {
		// All upstreams were tried; retrying one is better than failing.
		req.Tried = nil
		t, ref = c.pickUpstream(req)
	}
	if ref != nil {
		return nil, ref
	}
	ok := t != nil
	if !ok && c.f.settings.Placer.RateLimited(c.service.Name) {
		return nil, newRefusal(http.StatusServiceUnavailable, refuser.RateLimited, limitedRetryAfter)
	}
	if !ok {
		if wait, ref := c.refuseCold(); wait || ref != nil {
			return nil, ref
		}
	}
	if !ok {
		if left := c.f.settings.Placer.PauseLeft(c.service.Name); left > 0 {
			// No caller returns before the pause ends.
			return nil, newRefusal(http.StatusServiceUnavailable, refuser.UpstreamsPaused, time.Duration(float64(left)/minRetryJitter))
		}
		if brittle, soon := c.f.settings.Placer.Brittle(c.service.Name); brittle {
			if soon && c.waitForPlace() {
				return nil, nil
			}
			c.f.settings.Scope.Counter("forwarder.withoutPlace").Inc(1)
			return nil, newRefusal(http.StatusServiceUnavailable, refuser.UpstreamsFull, fullRetryAfter)
		}
		return nil, newRefusal(http.StatusServiceUnavailable, refuser.NoUpstream, noUpstreamRetryAfter)
	}
	c.isRetry = c.delivered+c.misdirected > 0
	if c.isRetry && !c.takeRetry() {
		t.Done(placer.Abandoned, 0)
		return nil, newRefusal(http.StatusBadGateway, refuser.RetryBudget, busyRetryAfter)
	}
	c.attempts++
	c.upstream = t.Upstream()
	c.tried = append(c.tried, c.upstream.Key())
	return t, nil
}

// placementRequest returns what the placement of the next attempt depends on.
func (c *call) placementRequest() placer.Request {
	req := placer.Request{
		Service: c.service.Name, Versions: c.versionFilter(), MaxConns: c.service.MaxConns, Tried: c.tried,
		ID: xxhash.Sum64String(c.envelope.ID),
	}
	if c.service.Engine != nil {
		req.Group = c.prefixGroup()
		req.Work, req.SharedWork, req.SharedTokens = c.promptWork()
		req.Admission = c.admissionRequest()
	}
	return req
}

// waitForPlace waits until this host may have a place at a brittle upstream. It reports
// whether the time for it is not used up.
func (c *call) waitForPlace() bool {
	if c.placeWaits >= maxPlaceWaits {
		return false
	}
	c.placeWaits++
	// The caller notices the end of the context.
	_ = timekeeper.Sleep(c.r.Context(), c.f.settings.Clock, placeWait)
	return true
}

// takeRetry takes a retry from the budget, unless the request has one already.
func (c *call) takeRetry() bool {
	if c.hasRetry {
		c.hasRetry = false
		return true
	}
	return c.f.settings.Budget.Allow(c.service.Name)
}

// returnRetry returns a retry that no attempt has used to the budget.
func (c *call) returnRetry() {
	if c.hasRetry {
		c.hasRetry = false
		c.f.settings.Budget.ReturnRetry(c.service.Name)
	}
}

// promptWork returns the work for the part of the prompt that is the request's
// own, the work for the shared prefix, both in tokens of the largest model, and
// the unweighted tokens of the prefix. Work is assumed proportional to the
// model's cost.
func (c *call) promptWork() (ownWork, sharedWork, sharedTokens float64) {
	for _, p := range c.envelope.Parts {
		sharedTokens += float64(p.Tokens)
	}
	ownWork = float64(c.envelope.Input)
	if n := len(c.envelope.Parts); n > 0 {
		ownWork = float64(c.envelope.Parts[n-1].Tokens)
		sharedTokens -= ownWork
	}
	weight := c.modelWeight()
	return weight*ownWork + baseRequestWork, weight * sharedTokens, sharedTokens
}

// modelWeight returns the cost of the chosen model relative to the most
// expensive one, from 0 to 1.
func (c *call) modelWeight() float64 {
	var cost, maxCost float64
	for _, m := range c.service.Engine.Models {
		maxCost = max(maxCost, m.Cost)
		if m.Name == c.model {
			cost = m.Cost
		}
	}
	if cost <= 0 || maxCost <= 0 {
		return 1
	}
	return cost / maxCost
}

// excludeNewRollout keeps a request off the target of a rollout that was
// ordered after the request began.
func (c *call) excludeNewRollout() {
	if c.rollout != nil {
		return
	}
	if r, ok := c.f.ActiveConfig().Rollouts[c.service.Name]; ok && r.State != controller.RolloutCompleted {
		c.rollout = &r
	}
}

// versionFilter restricts the request to the target version of its service's
// rollout or excludes that version.
func (c *call) versionFilter() placer.VersionFilter {
	switch {
	case c.rollout == nil:
		return placer.VersionFilter{}
	case c.onTarget && (c.rollout.State != controller.RolloutRunning || !c.f.settings.Placer.Evacuated(c.service.Name, c.rollout.Target)):
		return placer.VersionFilter{Only: c.rollout.Target}
	}
	return placer.VersionFilter{Except: c.rollout.Target}
}
