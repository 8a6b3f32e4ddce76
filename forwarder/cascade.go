package forwarder

import (
	"time"

	"foxtailwall/placer"
	"foxtailwall/sizer"
)

// escalationReserve is the part of the budget of repeats that is left for
// failures alone.
const escalationReserve = 0.08

// escalate reports whether the answer that has just begun is dropped and a
// larger model asked. Nothing of it has reached the caller.
func (c *call) escalate(t *placer.Ticket, first time.Duration) bool {
	if c.model == "" {
		return false
	}
	c.f.gauge.Note(sizer.Key{Service: c.service.Name, Model: c.model}, first, c.f.set.Clock.Now())
	budget := c.f.set.Budget.Left(c.service.Name)
	if c.started || c.arrivals+1 >= c.route.MaxAttempts || budget < escalationReserve {
		return false
	}
	largest := sizer.Key{Service: c.service.Name, Model: c.route.Sizes[len(c.route.Sizes)-1]}
	next, ok := sizer.Next(sizer.Answer{
		Size: c.size, Sizes: len(c.route.Sizes), Confidence: c.confidence,
		Budget:   budget,
		Pressure: c.f.gauge.Pressure(largest, c.route.Target, c.f.set.Clock.Now()) + c.spent(),
	})
	if !ok {
		return false
	}
	c.f.set.Scope.Counter("forwarder.escalated", "from", c.model).Inc(1)
	c.f.lines.Info().Str("request", c.env.ID).Str("from", c.model).Str("to", c.route.Sizes[next]).
		Int("confidence", c.confidence).Dur("first", first).Msg("a larger model is asked")
	t.Done(placer.Good, first)
	c.count(t.Upstream(), false, first)
	c.spend(true)
	c.size, c.model = next, c.route.Sizes[next]
	// The upstream has not failed and may run the larger model as well.
	c.tried = nil
	return true
}

// spent is the time that has passed as a part of the route's target.
func (c *call) spent() float64 {
	if c.route.Target <= 0 {
		return 0
	}
	return float64(c.f.set.Clock.Since(c.begun)) / float64(c.route.Target)
}
