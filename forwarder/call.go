package forwarder

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"foxtailwall/allotter"
	"foxtailwall/controller"
	"foxtailwall/dialer"
	"foxtailwall/matcher"
	"foxtailwall/placer"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/tracker"
)

const (
	// idleConnDivisor is the divisor of an upstream's connection limit that gives
	// the number of connections that may be idle.
	idleConnDivisor = 2
)

type (
	// call is the state of one caller's request.
	call struct {
		f         *Forwarder
		w         http.ResponseWriter
		r         *http.Request
		startedAt time.Time

		envelope  Envelope
		table     *matcher.Table
		route     *matcher.Route
		service   *matcher.Service
		workspace string
		priority  int
		body      []byte
		// memory is that of the response which is being read and of lastFailure.
		memory allotter.Share
		// trial is the isolated part or request that this request tries out, sent after
		// trialAttempts attempts, or nil.
		trial         *controller.PromptPart
		trialAttempts int
		// upload is the memory of body, nil if there is none.
		upload *allotter.Upload
		// received reports whether the request counts in Forwarder.received.
		received bool
		// content is the hash that contentID returns, zero until it is needed.
		content  uint64
		deadline time.Time

		session  uint64
		rollout  *controller.OrderedRollout
		onTarget bool

		// delegatedAttempts is the number of attempts that another host, which has passed
		// the request to this one, leaves to it; zero for requests of callers.
		delegatedAttempts int
		// hosts are those to which the request was passed, and hostRefusal is the refusal
		// of the latest one that had not sent it to an upstream.
		hosts       []netip.AddrPort
		hostRefusal *refusal

		// attempts counts all attempts, including those that reached no upstream.
		attempts int
		// delivered counts the finished attempts that reached an upstream, mayHaveRun
		// those of them that may have run.
		delivered, mayHaveRun int
		// unreached counts the finished attempts for which no connection could be opened,
		// or whose connection was reset before a byte was sent.
		unreached int
		// resets counts the finished attempts that may have run and whose connection was
		// reset before the first byte of a response; the first was sent at resetAt.
		resets  int
		resetAt time.Time
		// placeWaits counts the waits for a place at a brittle upstream.
		placeWaits int
		// misdirected counts the finished attempts that reached another upstream than
		// the one chosen.
		misdirected int
		// isRetry reports whether the current attempt uses the retry budget.
		isRetry bool
		// hasRetry reports whether a retry was taken from the budget for the next
		// attempt.
		hasRetry bool
		tried    []tracker.Key
		// answered are the addresses to which connections may be open that have carried
		// the request and a whole response.
		answered []netip.AddrPort
		// upstream is the upstream of the latest attempt, and stats what is known
		// about its response, nil if another host knows it.
		upstream tracker.Upstream
		stats    *attemptStats
		// sentAt is when the latest attempt was sent to an upstream or another host.
		sentAt time.Time
		// lastFailure is the latest error response of an upstream, which is returned
		// if no further attempt is possible.
		lastFailure *response

		// responding is true once the response header was sent to the caller.
		responding bool
		// events counts the writes of stream events to the caller.
		events      int
		pace        streamPace
		lastEventID string
		model       string
		confidence  int
		sizeIndex   int
	}

	// ticket is an attempt in progress.
	ticket interface {
		// RecordReceived records that data arrived.
		RecordReceived()
		// Done ends the attempt; see placer.Ticket.
		Done(o placer.Outcome, firstByte time.Duration)
	}

	// response is a complete response of an upstream.
	response struct {
		status int
		header http.Header
		body   []byte
	}
)

// admit finds the route and workspace, reads the body and assigns the service.
func (c *call) admit() *refusal {
	c.envelope = c.f.settings.Codec.Request(c.r.Header)
	config := c.f.waitForConfig(c.r.Context())
	if config.Table == nil {
		return newRefusal(http.StatusServiceUnavailable, refuser.NotConfigured, startupRetryAfter)
	}
	c.table = config.Table
	requestURI := c.r.RequestURI
	path, _, _ := strings.Cut(requestURI, "?")
	route, ok := c.table.Route(hostOnly(c.r.Host), path)
	if !ok {
		return newRefusal(http.StatusNotFound, refuser.UnknownService, 0)
	}
	c.route = route
	if ref := c.authenticate(); ref != nil {
		return ref
	}
	if c.envelope.ID == "" {
		return newRefusal(http.StatusBadRequest, refuser.BadRequest, 0)
	}
	if maxBytes := c.table.Limits().HeaderBytes; maxBytes > 0 && !c.isDelegated() && headerSize(c.r) > maxBytes {
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, refuser.HeaderTooLarge, 0)
	}
	timeout := route.Timeout
	if c.envelope.Timeout > 0 {
		timeout = min(timeout, c.envelope.Timeout)
	}
	c.deadline = c.startedAt.Add(timeout)
	if ref := c.refuseLate(); ref != nil {
		return ref
	}
	if ref := c.readBody(); ref != nil {
		return ref
	}
	// The host may have begun to leave while the body was read.
	if ref := c.refuseLate(); ref != nil {
		return ref
	}
	c.assignService(config)
	return nil
}

// authenticate sets the workspace and priority from the caller's API key, or
// refuses the request if a valid key is required but missing.
func (c *call) authenticate() *refusal {
	c.priority = c.route.Priority
	if !c.table.RequiresKey() {
		return nil
	}
	ws, ok := c.table.Workspace(c.envelope.Key)
	switch {
	case ok:
		c.workspace = ws.Name
		if ws.Priority != nil {
			c.priority = *ws.Priority
		}
	case !c.route.Open:
		return newRefusal(http.StatusUnauthorized, refuser.Unauthorized, 0)
	}
	return nil
}

// headerSize returns the minimum size of the request's header on the wire, in
// bytes.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\r\n")
		}
	}
	return n
}

// assignService picks one of the route's services by the hash of the request ID
// and decides whether the request runs on the target version of a rollout.
func (c *call) assignService(config ActiveConfig) {
	c.session = c.sessionHash()
	name := c.route.PickService(xxhash.Sum64String(c.envelope.ID))
	c.service, _ = c.table.Service(name) // matcher.Check ensures that it exists.
	c.f.settings.Budget.AddRequest(name)
	if r, ok := config.Rollouts[name]; ok {
		c.rollout = &r
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if c.rollout == nil {
		c.f.assigner.RecordUse(name, c.session, false, c.startedAt)
		return
	}
	c.onTarget = c.f.assigner.RunsOnTarget(*c.rollout, c.session, c.startedAt)
}

// sessionHash returns the hash of the session that the caller names. Without
// one it returns that of the last prompt part that other requests may share,
// else that of the request ID.
func (c *call) sessionHash() uint64 {
	if c.envelope.Session != "" {
		return xxhash.Sum64String(c.envelope.Session)
	}
	if n := len(c.envelope.Parts); n >= 2 {
		return c.envelope.Parts[n-2].ID
	}
	return xxhash.Sum64String(c.envelope.ID)
}

// prefixGroup returns the hash of the shared prompt prefix and of the model,
// since each model has its own cache; zero if there is no shared prefix.
func (c *call) prefixGroup() uint64 {
	if n := len(c.envelope.Parts); n >= 2 {
		return c.envelope.Parts[n-2].ID ^ xxhash.Sum64String(c.model) | 1
	}
	return 0
}

// run makes attempts until the request is answered.
func (c *call) run() {
	defer c.returnRetry()
	if len(c.route.Sizes) > 0 && c.envelope.AnyModel {
		c.model = c.route.Sizes[c.sizeIndex]
	}
	for {
		if ref := c.refuseAttempt(); ref != nil {
			c.finishFailed(ref)
			return
		}
		if ref := c.waitWhileHeld(); ref != nil {
			c.finishFailed(ref)
			return
		}
		if t, ok := c.pickHost(); ok {
			if c.delegate(t) {
				return
			}
			continue
		}
		t, ref := c.placeAttempt()
		if ref != nil {
			c.finishFailed(ref)
			return
		}
		if t != nil && c.sendAttempt(t) {
			return
		}
	}
}

// sendAttempt sends the request to one upstream and reports whether the request
// is finished.
func (c *call) sendAttempt(t *placer.Ticket) bool {
	upstream := t.Upstream()
	sentAt := c.f.settings.Clock.Now()
	c.sentAt = sentAt
	g := newProgressGuard(c, t, sentAt)
	c.beginAttempt(upstream, t.Cold(), sentAt)
	c.recordSent()
	defer func() {
		c.endAttempt()
		c.hasRetry = c.hasRetry || g.hasRetry.Load()
	}()
	forward := &dialer.ForwardRequest{
		Upstream: upstream.Address, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host,
		Fields: c.f.settings.Codec.Fields(c.r.Header, Dispatch{
			Upstream: upstream.ID, Workspace: c.workspace, TimeLeft: c.deadline.Sub(sentAt), Model: c.model,
			Resume: c.lastEventID, Priority: c.enginePriority(),
		}),
		Body: c.body, ID: c.envelope.ID, IDField: c.f.settings.Codec.IDField(),
		NewConn: c.needsNewConn(upstream), Deadline: c.deadline,
		MaxIdle:       c.maxIdleConns(),
		HeaderTimeout: g.firstByteTimeout(), Extend: g.extendTimeout,
	}
	resp, err := c.f.settings.Upstreams.Forward(c.r.Context(), forward)
	if err != nil {
		return c.handleFailure(t, err)
	}
	if resp.Status != http.StatusMisdirectedRequest {
		t.RecordReceived()
	}
	return c.handleResponse(t, resp, g, sentAt)
}

// needsNewConn reports whether the attempt may not use a connection that has carried
// a request: a repeat of a request that may run once, whose outcome would be unknown
// if the connection is just being closed, and one to an upstream that has answered
// the request before, whose late copy of that response carries the same ID.
func (c *call) needsNewConn(upstream tracker.Upstream) bool {
	return !c.route.Repeatable() && c.attempts > 1 || slices.Contains(c.answered, upstream.Address)
}

// maxIdleConns returns this host's share of the idle connections to an
// upstream, zero for no bound.
func (c *call) maxIdleConns() int {
	if c.service.MaxConns <= 0 {
		return 0
	}
	return max(1, c.service.MaxConns/c.f.settings.Budget.Hosts()/idleConnDivisor)
}

// enginePriority returns the priority to send to engines, negative for plain
// services.
func (c *call) enginePriority() int {
	if c.service.Engine == nil {
		return -1
	}
	return min(max(c.priority, 0), 9)
}

// handleFailure handles an attempt that failed before the response header or
// broke off after it. It reports whether the request is finished.
func (c *call) handleFailure(t ticket, err error) bool {
	var attemptErr *router.AttemptError
	if !errors.As(err, &attemptErr) {
		attemptErr = &router.AttemptError{Kind: router.FailReset, Outcome: refuser.Unknown, Begun: true, Err: err}
	}
	switch {
	case attemptErr.Outcome != refuser.NotRun:
		c.countDelivered(true)
	case c.isRetry:
		// The retry reached no upstream, so it is not charged.
		c.f.settings.Budget.ReturnRetry(c.service.Name)
	}
	outcome := placerOutcome(attemptErr)
	if c.stats != nil {
		c.countUnreached(outcome)
	}
	t.Done(outcome, 0)
	c.recordBroken(attemptErr)
	c.logAttempt(c.upstream, string(attemptErr.Kind), attemptErr.Outcome, attemptErr.Err)
	if ref := c.interruption(); ref != nil {
		c.finishFailed(ref)
		return true
	}
	if attemptErr.Kind == router.FailDeadline {
		c.finishFailed(newRefusal(http.StatusGatewayTimeout, refuser.DeadlineExceeded, 0))
		return true
	}
	if attemptErr.Outcome == refuser.NotRun || c.route.Repeatable() {
		return false
	}
	c.finishFailed(newRefusal(http.StatusBadGateway, refuser.OutcomeUnknown, 0))
	return true
}

// countUnreached counts an attempt of this host that has received nothing from an
// upstream, since it opened no connection or the connection was reset.
func (c *call) countUnreached(o placer.Outcome) {
	switch o {
	case placer.Refused, placer.NotListening, placer.Unsent:
		c.unreached++
	case placer.Reset:
		if c.resets == 0 {
			c.resetAt = c.stats.sentAt
		}
		c.resets++
	case placer.Succeeded, placer.Failed, placer.Broken, placer.Silent, placer.Stale, placer.Busy, placer.Misdirected, placer.Abandoned:
	}
}

// placerOutcome maps the failure of an attempt to an outcome for the placer.
func placerOutcome(err *router.AttemptError) placer.Outcome {
	switch err.Kind {
	case router.FailRefused:
		if errors.Is(err.Err, syscall.ECONNREFUSED) {
			return placer.NotListening
		}
		return placer.Refused
	case router.FailStalled:
		return placer.Silent
	case router.FailSilent:
		return placer.Stale
	case router.FailCancelled, router.FailDeadline:
		return placer.Abandoned
	case router.FailReset:
		switch {
		case err.Outcome == refuser.NotRun:
			return placer.Unsent
		case err.Begun:
			return placer.Broken
		}
		return placer.Reset
	case router.FailCut, router.FailMismatch, router.FailMalformed:
		if err.Outcome == refuser.NotRun {
			return placer.Abandoned
		}
		return placer.Broken
	}
	return placer.Abandoned
}

// handleResponse handles a response whose header was read. It reports whether
// the request is finished.
func (c *call) handleResponse(t *placer.Ticket, resp *dialer.ForwardResponse, g *progressGuard, sentAt time.Time) bool {
	reply := c.f.settings.Codec.Reply(resp.Header)
	firstByte := c.f.settings.Clock.Since(sentAt)
	c.recordRateLimit(t, resp, reply, sentAt)
	c.recordWithdrawal(t, resp, reply)
	c.recordBrittle(t, resp, reply, sentAt)
	v := c.judgeResponse(resp, reply)
	switch v {
	case verdictNotRun:
		return c.handleNotRun(t, resp)
	case verdictInvalid:
		resp.Abort()
		c.countDelivered(true)
		return c.handleInvalid(t, errors.Newf("the response with status %d is of no use: signed %t, ID %q, media type %q",
			resp.Status, reply.Signed, reply.ID, mediaType(resp.Header)))
	case verdictStream:
		c.confidence = reply.Confidence
		if c.escalate(t, firstByte) {
			resp.Abort()
			return false
		}
		return c.forwardStream(t, resp, g, firstByte)
	case verdictAnswer, verdictFailure:
	}
	return c.forwardWhole(t, resp, v, firstByte)
}

// countDelivered counts a finished attempt that reached an upstream.
func (c *call) countDelivered(mayHaveRun bool) {
	c.delivered++
	if mayHaveRun {
		c.mayHaveRun++
	}
}

// handleNotRun handles a response that proves that the request did not run.
func (c *call) handleNotRun(t *placer.Ticket, resp *dialer.ForwardResponse) bool {
	status := resp.Status
	c.discardBody(resp)
	outcome := placer.Busy
	if status == http.StatusMisdirectedRequest {
		// The request reached only an upstream that cannot run it.
		outcome = placer.Misdirected
		c.misdirected++
	} else {
		c.countDelivered(false)
	}
	t.Done(outcome, 0)
	c.logAttempt(t.Upstream(), "refused", refuser.NotRun, errors.Newf("status %d", status))
	return false
}

// discardBody reads the rest of a response that is not forwarded, so that its
// connection can be used again.
func (c *call) discardBody(resp *dialer.ForwardResponse) {
	// Without a length, the connection ends with the body.
	if resp.Framed {
		if _, err := io.Copy(io.Discard, io.LimitReader(resp, maxResponseBytes)); err == nil {
			resp.Finish()
			c.answered = append(c.answered, c.upstream.Address)
		}
	}
	resp.Abort()
}

// handleInvalid ends an attempt whose response cannot be used.
func (c *call) handleInvalid(t ticket, err error) bool {
	t.Done(placer.Broken, 0)
	c.logAttempt(c.upstream, string(router.FailMalformed), refuser.Unknown, err)
	if c.route.Repeatable() {
		return false
	}
	c.finishFailed(newRefusal(http.StatusBadGateway, refuser.OutcomeUnknown, 0))
	return true
}

// forwardWhole reads a response to its end and forwards it, unless it is an
// error that another attempt may avoid.
func (c *call) forwardWhole(t ticket, resp *dialer.ForwardResponse, v verdict, firstByte time.Duration) bool {
	body, err := c.readResponse(resp)
	if err != nil {
		resp.Abort()
		return c.handleFailure(t, err)
	}
	if resp.Status == http.StatusResetContent && len(body) > 0 {
		// A caller might take the body for its next response.
		resp.Abort()
		c.countDelivered(true)
		return c.handleInvalid(t, &dialer.InvalidResponseError{Status: resp.Status, Reason: "it has a body"})
	}
	resp.Finish()
	c.answered = append(c.answered, c.upstream.Address)
	c.countDelivered(true)
	c.recordUnbroken()
	a := &response{status: resp.Status, header: resp.Header, body: body}
	c.recordResponse(v == verdictFailure, firstByte)
	if v == verdictAnswer {
		t.Done(placer.Succeeded, firstByte)
		c.writeResponse(a)
		return true
	}
	t.Done(placer.Failed, firstByte)
	c.logAttempt(c.upstream, string(router.FailStatus), refuser.Ran, errors.Newf("status %d", resp.Status))
	if c.route.Repeatable() && resp.Status != http.StatusGatewayTimeout {
		c.lastFailure = a
		return false
	}
	c.writeResponse(a)
	return true
}

// hostOnly returns the host without its port.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}
