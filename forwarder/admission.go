package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"foxtailwall/admitter"
	"foxtailwall/placer"
	"foxtailwall/refuser"
)

// placeCheckInterval is the time between checks of a waiting request for room that no
// event announces: while no loads of other hosts arrive, or when an ejection ends.
const placeCheckInterval = 100 * time.Millisecond

// admissionRequest returns what the admission of the request depends on.
func (c *call) admissionRequest() placer.AdmissionRequest {
	e := c.service.Engine
	if e.Slots <= 0 {
		return placer.AdmissionRequest{}
	}
	a := placer.AdmissionRequest{
		Slots: e.Slots, MemoryTokens: e.MemoryTokens, Model: c.model,
		Tokens: float64(c.envelope.Input + c.envelope.Output), OutputTokens: float64(c.envelope.Output),
		Arrived: c.startedAt, Objective: c.deadline, Deadline: c.deadline,
		Priority: c.priority, Workspace: c.workspace, Bytes: int64(len(c.body)),
		Continued: c.responding || c.mayHaveRun > 0,
	}
	if c.route.Target > 0 {
		a.Objective = c.startedAt.Add(c.route.Target)
	}
	// A caller that returns after a refusal states the time that it has left.
	a.Due = a.Objective.Add(-max(0, c.route.Timeout-c.deadline.Sub(c.startedAt)))
	if c.lastEventID != "" || c.envelope.Resume != "" {
		a.OutputTokens = 0
	}
	return a
}

// pickUpstream chooses the upstream for an attempt. If none has room, it waits for one or
// returns a refusal. Both are nil if no upstream is usable.
func (c *call) pickUpstream(req placer.Request) (*placer.Ticket, *refusal) {
	if req.Admission.Slots <= 0 {
		t, _ := c.f.settings.Placer.Pick(req)
		return t, nil
	}
	for {
		a := c.f.settings.Placer.Admit(req)
		switch {
		case a.Place != nil:
			t := c.waitForRoom(a.Place)
			if ref := c.refuseAttempt(); ref != nil {
				abandon(t)
				return nil, ref
			}
			if c.isHeld() {
				// The place is for others meanwhile.
				abandon(t)
				if ref := c.waitWhileHeld(); ref != nil {
					return nil, ref
				}
				continue
			}
			// A rollout may have been ordered or have ended during the wait.
			c.excludeNewRollout()
			if filter := c.versionFilter(); filter != req.Versions {
				abandon(t)
				t, req.Versions = nil, filter
			}
			if t == nil {
				continue
			}
			return t, nil
		case a.Refusal.Verdict == admitter.Refuse:
			return nil, c.refuseForRoom(a.Refusal)
		case a.Ticket != nil:
			c.f.settings.Scope.Counter("forwarder.admitted").Inc(1)
		}
		return a.Ticket, nil
	}
}

// abandon ends an attempt that is not made.
func abandon(t *placer.Ticket) {
	if t != nil {
		t.Done(placer.Abandoned, 0)
	}
}

// waitForRoom waits until the request gets an attempt, its time to wait is over, or the
// caller has left. It returns the attempt, nil if there is none.
func (c *call) waitForRoom(w *placer.Place) *placer.Ticket {
	scope, clock := c.f.settings.Scope, c.f.settings.Clock
	scope.Counter("forwarder.queued").Inc(1)
	for over := false; !over; {
		left := w.Until().Sub(clock.Now())
		timer := clock.NewTimer(min(left, placeCheckInterval))
		select {
		case <-w.Ready():
			over = true
		case <-c.r.Context().Done():
			over = true
		case <-timer.C():
			if over = left <= placeCheckInterval; !over {
				w.Check()
			}
		}
		timer.Stop()
	}
	t, waited := w.Leave()
	scope.Record("forwarder.waited", waited, "priority", strconv.Itoa(c.enginePriority()))
	return t
}

// refuseForRoom refuses a request for which no upstream will have room in time.
func (c *call) refuseForRoom(d admitter.Decision) *refusal {
	c.f.settings.Scope.Counter("forwarder.refusedForRoom", "reason", string(d.Reason)).Inc(1)
	now := c.f.settings.Clock.Now()
	c.f.requestLog.Info().Str("request", c.envelope.ID).Str("route", c.route.Name).Str("reason", string(d.Reason)).
		Dur("roomIn", d.RoomIn).Dur("needs", d.Needs).Dur("waited", now.Sub(c.startedAt)).Dur("left", c.deadline.Sub(now)).
		Int("running", d.Room.Running).Int("slots", d.Room.Slots).Int("free", d.Room.Free).Int("ahead", d.Room.Ahead).
		Int("hosts", d.Room.Hosts).Dur("retryAfter", d.RetryAfter).Msg("no upstream has room for the request")
	code := refuser.QueueFull
	if d.Reason == admitter.NoTime {
		code = refuser.DeadlineTooShort
	}
	return newRefusal(http.StatusServiceUnavailable, code, d.RetryAfter)
}
