package forwarder

import (
	"time"

	"foxtailwall/placer"
	"foxtailwall/sizer"
)

// escalationReserve is the fraction of the retry budget that escalations leave
// for retries after failures.
const escalationReserve = 0.08

// escalate switches the request to a larger model if the response that has just
// begun has low confidence and the retry budget and latency permit. It reports
// whether it did; the response, none of which was sent on, is then discarded.
func (c *call) escalate(t *placer.Ticket, firstByte time.Duration) bool {
	if c.model == "" {
		return false
	}
	c.f.latency.Record(sizer.Key{Service: c.service.Name, Model: c.model}, firstByte, c.f.settings.Clock.Now())
	budget := c.f.settings.Budget.FractionLeft(c.service.Name)
	if c.responding || c.delivered+1 >= c.maxAttempts() || budget < escalationReserve {
		return false
	}
	largest := sizer.Key{Service: c.service.Name, Model: c.route.Sizes[len(c.route.Sizes)-1]}
	next, ok := sizer.NextSize(sizer.Response{
		Size: c.sizeIndex, Sizes: len(c.route.Sizes), Confidence: c.confidence,
		RetryBudget:  budget,
		LatencyRatio: c.f.latency.LatencyRatio(largest, c.route.Target, c.f.settings.Clock.Now()) + c.elapsedRatio(),
		InTime:       c.inTime,
	})
	if !ok {
		return false
	}
	c.f.settings.Scope.Counter("forwarder.escalated", "from", c.model).Inc(1)
	c.f.requestLog.Info().Str("request", c.envelope.ID).Str("from", c.model).Str("to", c.route.Sizes[next]).
		Int("confidence", c.confidence).Dur("first", firstByte).Msg("a larger model is asked")
	t.DiscardGeneration()
	t.Done(placer.Succeeded, firstByte)
	c.recordResponse(false, firstByte)
	c.countDelivered(true)
	c.sizeIndex, c.model = next, c.route.Sizes[next]
	// The upstream has not failed and may run the larger model as well.
	c.tried = nil
	return true
}

// inTime reports whether the model of a size can answer in time without delaying other
// requests. It is not known to be late if nothing is known of it.
func (c *call) inTime(size int) bool {
	smaller := c.model
	c.model = c.route.Sizes[size]
	req := c.placementRequest()
	c.model = smaller
	req.Tried = nil
	e := c.f.settings.Placer.Expect(req)
	if !e.Known {
		return true
	}
	inTime := e.Room && e.InTime(c.f.settings.Clock.Now(), req.Admission.Objective, c.deadline)
	if !inTime {
		c.f.settings.Scope.Counter("forwarder.notEscalated", "to", c.route.Sizes[size]).Inc(1)
	}
	return inTime
}

// elapsedRatio returns the time since the request began as a fraction of the
// route's target latency.
func (c *call) elapsedRatio() float64 {
	if c.route.Target <= 0 {
		return 0
	}
	return float64(c.f.settings.Clock.Since(c.startedAt)) / float64(c.route.Target)
}
