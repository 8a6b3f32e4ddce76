package forwarder

import (
	"net/http"
	"time"

	"foxtailwall/refuser"
)

// maxColdWait is the longest time for which a request waits for a permit of this host for
// a cold upstream.
const maxColdWait = maxPlaceWaits * placeWait

// refuseCold is for a request without an upstream. It returns a refusal if cold ones are
// all that is left, unless this host has a permit for one soon; wait means that the
// request has waited for it and is to be placed again.
func (c *call) refuseCold() (wait bool, ref *refusal) {
	if brittle, _ := c.f.settings.Placer.Brittle(c.service.Name); brittle {
		return false, nil
	}
	cold, next := c.f.settings.Placer.Cold(c.service.Name)
	switch {
	case !cold:
		return false, nil
	case next >= 0 && next <= maxColdWait && c.waitForPlace():
		return true, nil
	}
	c.f.settings.Scope.Counter("forwarder.coldRefused").Inc(1)
	return false, newRefusal(http.StatusServiceUnavailable, refuser.UpstreamsCold, max(coldRetryAfter, min(next, time.Second)))
}
