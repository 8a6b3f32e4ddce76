package forwarder

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"foxtailwall/controller"
	"foxtailwall/isolator"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

const (
	// holdCheckInterval is the time between checks of whether a request with a held part
	// may be sent.
	holdCheckInterval = 25 * time.Millisecond
	// maxHeldRequests bounds the requests of a host that wait because of a held part, and
	// heldRetryAfter is the Retry-After of those above it, which the end of the hold lets
	// through or refuses.
	maxHeldRequests = 256
	heldRetryAfter  = time.Second
)

// maxCrashDelay is how long after the first byte of its response a request may be the
// cause of a crash. One that was served for longer is a victim.
const maxCrashDelay = time.Second

// Evidence returns this host's evidence about prompt parts and requests that crash
// upstreams, for the leader of the control group.
func (f *Forwarder) Evidence(leader netip.AddrPort) isolator.Evidence {
	f.isolation.SetLeader(leader)
	receivedAt, lost := f.settings.Placer.Path()
	f.isolation.SetPath(isolator.Path{ReceivedAt: receivedAt, Lost: lost})
	e := f.isolation.Evidence()
	if f.settings.Placer.Suspected() {
		// A check is about to show whether the host's own path has broken them.
		since := f.settings.Clock.Since(receivedAt)
		e.Crashes = slices.DeleteFunc(e.Crashes, func(c isolator.Crash) bool { return c.Age < since })
		e.Breaks = slices.DeleteFunc(e.Breaks, func(b isolator.Break) bool { return b.Age < since })
		e.Broken = nil
	}
	return e
}

// SetSuspects sets the prompt parts and requests of which Evidence reports the last
// success.
func (f *Forwarder) SetSuspects(suspects []controller.PromptPart) { f.isolation.SetSuspects(suspects) }

// SetIsolations sets the isolations, of which this host may make trials.
func (f *Forwarder) SetIsolations(list []controller.Isolation) { f.isolation.SetIsolations(list) }

// refuseIsolated refuses the request if it is isolated or its prompt has an isolated
// part, unless it is the single request of a trial.
func (c *call) refuseIsolated() *refusal {
	isolated := c.f.ActiveConfig().Isolated
	if len(isolated) == 0 {
		return nil
	}
	var found []controller.PromptPart
	for _, id := range c.sharedParts() {
		if part := (controller.PromptPart{Service: c.service.Name, ID: id}); isolated[part] {
			found = append(found, part)
		}
	}
	if request := isolator.Request(c.service.Name, c.contentID()); isolated[request] {
		found = append(found, request)
	}
	if len(found) == 0 || c.isTrial(found) {
		return nil
	}
	c.f.settings.Scope.Counter("forwarder.isolated").Inc(1)
	if found[0].Request {
		return newRefusal(http.StatusServiceUnavailable, refuser.RequestIsolated, isolatedRetryAfter)
	}
	return newRefusal(http.StatusServiceUnavailable, refuser.PromptIsolated, isolatedRetryAfter)
}

// isHeld reports whether the next attempt waits because of a held part of the prompt. The
// request of a trial does not.
func (c *call) isHeld() bool {
	held := c.f.ActiveConfig().Held
	if len(held) == 0 {
		return false
	}
	var found []controller.PromptPart
	for _, id := range c.sharedParts() {
		if part := (controller.PromptPart{Service: c.service.Name, ID: id}); held[part] {
			found = append(found, part)
		}
	}
	return len(found) > 0 && !c.isTrial(found) && slices.ContainsFunc(found, c.f.isolation.Held)
}

// waitWhileHeld waits until no part of the prompt is held, and returns a refusal if no
// attempt is allowed after that.
func (c *call) waitWhileHeld() *refusal {
	if !c.isHeld() {
		return nil
	}
	defer c.f.held.Add(-1)
	if c.f.held.Add(1) > maxHeldRequests {
		c.f.settings.Scope.Counter("forwarder.isolated").Inc(1)
		return newRefusal(http.StatusServiceUnavailable, refuser.PromptIsolated, heldRetryAfter)
	}
	c.f.settings.Scope.Counter("forwarder.held").Inc(1)
	for c.isHeld() {
		// The caller notices the end of the context, and refuseAttempt that of the deadline.
		_ = timekeeper.Sleep(c.r.Context(), c.f.settings.Clock, holdCheckInterval)
		if ref := c.refuseAttempt(); ref != nil {
			return ref
		}
	}
	return c.refuseAttempt()
}

// isTrial reports whether the next attempt is a trial of the only isolated part of the
// request. A trial has one attempt.
func (c *call) isTrial(found []controller.PromptPart) bool {
	if len(found) > 1 {
		return false
	}
	if c.trial != nil {
		return *c.trial == found[0] && c.trialAttempts == c.attempts
	}
	if !c.f.isolation.TakeTrial(found[0]) {
		return false
	}
	c.trial, c.trialAttempts = &found[0], c.attempts
	c.f.settings.Scope.Counter("forwarder.isolationTrials").Inc(1)
	return true
}

// sharedParts returns the IDs of the prompt's parts that other requests may share,
// which are all but the last; none for plain services.
func (c *call) sharedParts() []uint64 {
	if c.service.Engine == nil || len(c.envelope.Parts) < 2 {
		return nil
	}
	var ids []uint64
	for _, p := range c.envelope.Parts[:len(c.envelope.Parts)-1] {
		ids = append(ids, p.ID)
	}
	return ids
}

// recordBroken records an attempt whose connection the upstream ended.
func (c *call) recordBroken(err *router.AttemptError) {
	if c.stats == nil || c.r.Context().Err() != nil || err.Outcome == refuser.NotRun || (err.Kind != router.FailReset && err.Kind != router.FailCut) {
		return
	}
	if begun := c.stats.begunAt; begun.IsZero() || c.f.settings.Clock.Since(begun) <= maxCrashDelay {
		c.f.isolation.RecordBrokenRequest(isolator.BrokenRequest{
			Service: c.service.Name, Content: c.contentID(), Upstream: c.upstream.Key(), ID: c.envelope.ID, Attempt: c.attempts,
		})
		if c.trial != nil {
			c.f.isolation.RecordBrokenTrial(*c.trial)
		}
	}
	if parts := c.sharedParts(); len(parts) > 0 {
		c.f.isolation.RecordBroken(c.service.Name, c.upstream.Key(), c.contentID(), parts)
	}
}

// recordServed records that an upstream goes on with a stream that it has begun, which
// none does that crashes under a part of the prompt. Long streams would otherwise
// clear their parts only at their end, which they do not reach while engines crash.
func (c *call) recordServed() {
	a := c.stats
	if a == nil || a.served || c.f.settings.Clock.Since(a.firstEventAt) < maxCrashDelay {
		return
	}
	a.served = true
	c.recordTrial()
	if parts := c.sharedParts(); len(parts) > 0 {
		c.f.isolation.RecordSuccess(c.service.Name, parts, c.sentAt)
	}
}

// recordTrial records that the request of a trial was served.
func (c *call) recordTrial() {
	if c.trial != nil {
		c.f.isolation.RecordTrial(*c.trial)
	}
}

// recordSent records that an attempt is being sent to an upstream.
func (c *call) recordSent() { c.f.isolation.RecordSent(c.service.Name, c.sharedParts()) }

// recordUnbroken records that the request got its whole response.
func (c *call) recordUnbroken() {
	if c.stats != nil {
		c.f.isolation.RecordAnswered(c.service.Name, c.sentAt)
	}
	c.recordTrial()
	c.f.isolation.RecordRequestSuccess(c.service.Name, c.contentID(), c.sentAt)
	if parts := c.sharedParts(); len(parts) > 0 {
		c.f.isolation.RecordSuccess(c.service.Name, parts, c.sentAt)
	}
}
