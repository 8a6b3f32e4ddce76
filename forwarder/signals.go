package forwarder

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"foxtailwall/dialer"
	"foxtailwall/placer"
)

// recordRateLimit records the rate limit that a response names, or that it names
// none. Another upstream than the one chosen says nothing about that one's limit,
// and a response that may not be the upstream's own does not end it.
func (c *call) recordRateLimit(t *placer.Ticket, resp *dialer.ForwardResponse, reply Reply, sentAt time.Time) {
	if resp.Status == http.StatusMisdirectedRequest || reply.RateLimit == nil && !c.isAuthentic(reply) {
		return
	}
	if t.RecordRateLimit(reply.RateLimit, sentAt) {
		e := c.f.settings.Log.Info().Str("request", c.envelope.ID).Str("upstream", c.upstream.ID).Str("service", c.service.Name)
		if reply.RateLimit != nil {
			e = e.Float64("perSecond", *reply.RateLimit)
		}
		e.Bool("limited", reply.RateLimit != nil).Msg("rate limit of an upstream")
	}
}

// recordWithdrawal records that the upstream leaves or wants a pause.
func (c *call) recordWithdrawal(t *placer.Ticket, resp *dialer.ForwardResponse, reply Reply) {
	if resp.Status == http.StatusMisdirectedRequest || !c.isOwnResponse(resp, reply) {
		return
	}
	log := func() *zerolog.Event {
		return c.f.settings.Log.Info().Str("request", c.envelope.ID).Str("upstream", c.upstream.ID).Str("service", c.service.Name).Int("status", resp.Status)
	}
	if reply.Leaving && t.RecordLeaving() {
		c.f.settings.Scope.Counter("forwarder.upstreamsLeft").Inc(1)
		log().Msg("upstream says that it leaves")
	}
	if resp.Status != http.StatusServiceUnavailable {
		return
	}
	if reply.BadRetryAfter != "" {
		log().Str("retryAfter", reply.BadRetryAfter).Msg("Retry-After of an upstream is ignored")
	}
	if reply.RetryAfter > 0 {
		c.f.settings.Scope.Counter("forwarder.pauses").Inc(1)
		log().Time("until", t.RecordPause(reply.RetryAfter)).Msg("upstream pauses")
	}
}

// isAuthentic reports whether a response is certainly the upstream's own.
func (c *call) isAuthentic(reply Reply) bool {
	return reply.ID == c.envelope.ID && (reply.Signed || reply.NotRun)
}

// recordBrittle records that the upstream is brittle, or that it no longer is, which only
// its own response ends.
func (c *call) recordBrittle(t *placer.Ticket, resp *dialer.ForwardResponse, reply Reply, sentAt time.Time) {
	log := func() *zerolog.Event {
		return c.f.settings.Log.Info().Str("request", c.envelope.ID).Str("upstream", c.upstream.ID).Str("service", c.service.Name)
	}
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
	case reply.BadBrittle != "":
		log().Str("value", reply.BadBrittle).Msg("an upstream's word that it is brittle is ignored")
	case (reply.Brittle || c.isAuthentic(reply)) && t.RecordBrittle(reply.Brittle, sentAt):
		log().Bool("brittle", reply.Brittle).Msg("brittleness of an upstream")
	}
}
