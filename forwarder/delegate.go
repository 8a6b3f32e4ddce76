package forwarder

import (
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/delegator"
	"foxtailwall/dialer"
	"foxtailwall/placer"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/tracker"
)

const (
	// maxDelegations bounds the hosts to which a request is passed.
	maxDelegations = 3
	// maxUnreached is the number of upstreams to which a request finds no connection
	// before it is passed to another host.
	maxUnreached = 6
	// maxIdleDelegations bounds the idle connections to another host.
	maxIdleDelegations = 16
	// delegatedEventMargin is added to the longest wait of another host for an event of
	// an upstream, so that this host does not give up first.
	delegatedEventMargin = 500 * time.Millisecond

	// fieldDelegatedAttempts is the header field of a request between hosts that holds
	// the number of upstreams to which it may still be sent. Such a request is never
	// passed on again.
	fieldDelegatedAttempts = "Delegated-Attempts"
	// fieldDelegatedOutcome is the header field of each response between hosts that holds
	// the refuser.Outcome of the request: Ran with the response of an upstream, another
	// one with a refusal of the host itself.
	fieldDelegatedOutcome = "Delegated-Outcome"
)

// Delegation holds the values that a host adds to a request that it passes to another
// host.
type Delegation struct {
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Model is the model with which a stream has begun, and Resume the ID of its last
	// event that the caller received; both are empty if it has not begun.
	Model, Resume string
}

// ServeDelegated serves requests that other hosts pass to this one because they reach
// no upstream. It must not be reachable for callers: it believes the header fields of
// hosts.
func (f *Forwarder) ServeDelegated(w http.ResponseWriter, r *http.Request) {
	attempts, err := strconv.Atoi(r.Header.Get(fieldDelegatedAttempts))
	if err != nil || attempts < 1 {
		f.settings.Log.Warn().AnErr("cause", err).Str("from", r.RemoteAddr).Msg("a request of another host is not valid")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Header.Del(fieldDelegatedAttempts)
	f.settings.Scope.Counter("forwarder.delegatedHere").Inc(1)
	f.serve(w, r, attempts)
}

// isDelegated reports whether another host has passed the request to this one.
func (c *call) isDelegated() bool { return c.delegatedAttempts > 0 }

// maxAttempts returns the number of upstreams to which this host may send the request.
func (c *call) maxAttempts() int {
	n := max(c.route.MaxAttempts, 1)
	if c.isDelegated() {
		return min(n, c.delegatedAttempts)
	}
	return n
}

// pickHost chooses the host to which the request is passed next; ok is false if this
// host should send it to an upstream itself.
func (c *call) pickHost() (t *delegator.Ticket, ok bool) {
	if c.isDelegated() || c.f.settings.Hosts == nil || len(c.hosts) >= maxDelegations {
		return nil, false
	}
	p := c.f.settings.Placer
	if !p.PartitionedFrom(c.service.Name) && !p.SuspectedFrom(c.service.Name) && c.unreached < maxUnreached && !c.needsOtherRoute() {
		return nil, false
	}
	return c.f.settings.Hosts.Pick(c.hosts)
}

// needsOtherRoute reports whether the request has one attempt left, the connections of
// earlier ones were reset, and no data came from any upstream since: another host may
// reach upstreams that this one does not.
func (c *call) needsOtherRoute() bool {
	if c.resets == 0 || c.delivered+1 < c.maxAttempts() {
		return false
	}
	receivedAt, _ := c.f.settings.Placer.Path()
	return receivedAt.Before(c.resetAt)
}

// refusePartitioned refuses a request that this host cannot send to an upstream: one
// that another host has passed to it, and one that other hosts have refused.
func (c *call) refusePartitioned() *refusal {
	switch {
	case !c.f.settings.Placer.PartitionedFrom(c.service.Name):
		return nil
	case c.isDelegated():
		return newRefusal(http.StatusServiceUnavailable, refuser.NoUpstream, noUpstreamRetryAfter)
	}
	return c.hostRefusal
}

// delegate passes the request to another host and reports whether the request is
// finished.
func (c *call) delegate(t *delegator.Ticket) bool {
	outcome := delegator.Unreached
	defer func() { t.Done(outcome) }()
	c.isRetry = c.delivered+c.misdirected > 0
	if c.isRetry && !c.takeRetry() {
		outcome = delegator.Answered // It was not asked.
		c.finishFailed(newRefusal(http.StatusBadGateway, refuser.RetryBudget, busyRetryAfter))
		return true
	}
	c.attempts++
	c.hosts = append(c.hosts, t.Address())
	c.upstream, c.stats = tracker.Upstream{ID: "host " + t.Address().String(), Address: t.Address()}, nil
	// The other host counts the request.
	c.f.settings.Budget.ReturnRequest(c.service.Name)
	c.f.settings.Scope.Counter("forwarder.delegated").Inc(1)
	sentAt := c.f.settings.Clock.Now()
	c.sentAt = sentAt
	resp, err := c.f.settings.HostDialer.Forward(c.r.Context(), c.delegatedRequest(t.Address(), sentAt))
	if err != nil {
		if c.interruption() != nil || !c.f.settings.Clock.Now().Before(c.deadline) {
			outcome = delegator.Answered // It had no more time.
		}
		return c.handleDelegationFailure(err)
	}
	outcome = delegator.Answered
	reply := c.f.settings.Codec.Reply(resp.Header)
	ending := refuser.Outcome(resp.Header.Get(fieldDelegatedOutcome))
	switch {
	case !c.isOwnResponse(resp, reply):
	case ending == refuser.Ran:
		return c.handleDelegatedResponse(resp, reply, sentAt)
	case ending == refuser.NotRun:
		outcome = delegator.Refused
		c.handleDelegationRefusal(resp, reply)
		return false
	case ending == refuser.Unknown:
		c.discardBody(resp)
		c.countDelivered(true)
		c.logAttempt(c.upstream, string(router.FailStatus), ending, errors.Newf("another host answers with status %d", resp.Status))
		c.finishFailed(delegatedFailure(resp.Status))
		return true
	}
	resp.Abort()
	c.countDelivered(true)
	return c.handleInvalid(delegatedTicket{}, errors.Newf("the response of another host is of no use: status %d, ID %q, outcome %q", resp.Status, reply.ID, ending))
}

// delegatedRequest returns the request to another host.
func (c *call) delegatedRequest(to netip.AddrPort, sentAt time.Time) *dialer.ForwardRequest {
	d := Delegation{TimeLeft: c.deadline.Sub(sentAt), Resume: c.lastEventID}
	if c.responding {
		d.Model = c.model
	}
	fields := slices.DeleteFunc(c.f.settings.Codec.HostFields(c.r.Header, d), func(f dialer.Field) bool {
		return f.Name == fieldDelegatedAttempts // Only hosts set it.
	})
	f := &dialer.ForwardRequest{
		Upstream: to, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host,
		Fields: append(fields, dialer.Field{Name: fieldDelegatedAttempts, Value: strconv.Itoa(c.maxAttempts() - c.delivered)}),
		Body:   c.body, ID: c.envelope.ID, IDField: c.f.settings.Codec.IDField(),
		// On a connection that is just being closed, it would be unknown whether the
		// request has run.
		NewConn: !c.route.Repeatable(), MaxIdle: maxIdleDelegations, Deadline: c.deadline,
	}
	if c.route.Repeatable() {
		// The rest is for another host, if this one has stopped.
		f.HeaderTimeout = d.TimeLeft / 2
	}
	return f
}

// handleDelegationFailure handles a request that could not be passed to another host.
// It reports whether the request is finished.
func (c *call) handleDelegationFailure(err error) bool {
	var attemptErr *router.AttemptError
	if !errors.As(err, &attemptErr) || attemptErr.Outcome != refuser.NotRun {
		return c.handleFailure(delegatedTicket{}, err)
	}
	c.f.settings.Budget.AddRequest(c.service.Name)
	return c.handleFailure(delegatedTicket{}, err)
}

// handleDelegationRefusal ends the attempt at a host that has not sent the request to
// an upstream.
func (c *call) handleDelegationRefusal(resp *dialer.ForwardResponse, reply Reply) {
	c.discardBody(resp)
	c.f.settings.Budget.AddRequest(c.service.Name)
	if c.isRetry {
		c.f.settings.Budget.ReturnRetry(c.service.Name)
	}
	c.hostRefusal = newRefusal(http.StatusServiceUnavailable, refuser.NoUpstream, max(reply.RetryAfter, busyRetryAfter))
	c.logAttempt(c.upstream, "refused", refuser.NotRun, errors.Newf("another host answers with status %d", resp.Status))
}

// delegatedFailure returns the final answer to a request that may have run at another
// host, which has answered with the status.
func delegatedFailure(status int) *refusal {
	if status == http.StatusGatewayTimeout {
		return newRefusal(status, refuser.DeadlineExceeded, 0)
	}
	return newRefusal(http.StatusBadGateway, refuser.UpstreamFailed, busyRetryAfter)
}

// handleDelegatedResponse forwards the response of an upstream that another host has
// received. That host has made all attempts that the request may have, so a failure is
// for the caller. It reports whether the request is finished.
func (c *call) handleDelegatedResponse(resp *dialer.ForwardResponse, reply Reply, sentAt time.Time) bool {
	t, firstByte := delegatedTicket{}, c.f.settings.Clock.Since(sentAt)
	switch v := c.judgeResponse(resp, reply); v {
	case verdictNotRun, verdictInvalid:
		// No host passes on an upstream's statement that the request has not run.
		resp.Abort()
		c.countDelivered(true)
		return c.handleInvalid(t, errors.Newf("the response of another host with status %d is of no use", resp.Status))
	case verdictStream:
		c.confidence = reply.Confidence
		return c.forwardStream(t, resp, nil, firstByte)
	case verdictAnswer, verdictFailure:
	}
	return c.forwardWhole(t, resp, verdictAnswer, firstByte)
}

// expectDelegatedEvent limits the time to the next event that another host passes on.
func (c *call) expectDelegatedEvent(resp *dialer.ForwardResponse) {
	resp.ExpectWithin(time.Duration(eventLimitFactor*float64(c.maxPause())) + delegatedEventMargin)
}

// delegatedTicket is the ticket of an attempt at another host, whose placer counts it.
type delegatedTicket struct{}

// RecordReceived implements ticket.
func (delegatedTicket) RecordReceived() {}

// Done implements ticket.
func (delegatedTicket) Done(placer.Outcome, time.Duration) {}
