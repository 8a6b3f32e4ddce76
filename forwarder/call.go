package forwarder

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"foxtailwall/controller"
	"foxtailwall/dialer"
	"foxtailwall/matcher"
	"foxtailwall/placer"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/tracker"
)

const (
	// maxTries bounds the attempts of a request, also those that reached no
	// upstream.
	maxTries = 6
	// maxAnswer bounds an answer that is not a stream, in bytes.
	maxAnswer = 16 << 20
	// defaultBody bounds a request's body where the configuration does not, in
	// bytes.
	defaultBody = 16 << 20
	// shortestTry is the least time for which a request is sent to an
	// upstream.
	shortestTry = 20 * time.Millisecond
	// promptTime and outputTime bound what engines need for a prompt, also with
	// a second model, and for a token of the answer.
	promptTime = 1500 * time.Millisecond
	outputTime = 15 * time.Millisecond
	// idleParts is the number of parts of an upstream's connections of which
	// one may be unused.
	idleParts = 2
	// workPerRequest is the work of a request beside that of its tokens, in
	// tokens.
	workPerRequest = 100
)

type (
	// call is one request of a caller.
	call struct {
		f     *Forwarder
		w     http.ResponseWriter
		r     *http.Request
		begun time.Time

		env       Envelope
		table     *matcher.Table
		route     *matcher.Route
		service   *matcher.Service
		workspace string
		urgency   int
		body      []byte
		until     time.Time

		session uint64
		rollout *controller.OrderedRollout
		target  bool

		tries int
		// arrivals counts the ended attempts of which an upstream has received
		// something, ran those that may have run.
		arrivals, ran int
		// repeats says that the newest attempt draws on the budget.
		repeats bool
		tried   []tracker.Key
		// upstream is that of the newest attempt.
		upstream tracker.Upstream
		// last is a failure that an upstream answered, for when no other
		// attempt can be made.
		last *answer

		// What of a stream was forwarded.
		started    bool
		events     int
		lastID     string
		model      string
		confidence int
		size       int
	}

	// answer is a whole answer of an upstream.
	answer struct {
		status int
		header http.Header
		body   []byte
	}
)

// admit finds route and workspace and reads the body.
func (c *call) admit() *refusal {
	cur := c.f.firstInForce(c.r.Context())
	if cur.Table == nil {
		return refuse(http.StatusServiceUnavailable, refuser.NotConfigured, startWait)
	}
	c.table = cur.Table
	c.env = c.f.set.Codec.Request(c.r.Header)
	target := c.r.RequestURI
	path, _, _ := strings.Cut(target, "?")
	route, ok := c.table.Route(hostOnly(c.r.Host), path)
	if !ok {
		return refuse(http.StatusNotFound, refuser.UnknownService, 0)
	}
	c.route = route
	if ref := c.identify(); ref != nil {
		return ref
	}
	if c.env.ID == "" {
		return refuse(http.StatusBadRequest, refuser.BadRequest, 0)
	}
	if most := c.table.Limits().HeaderBytes; most > 0 && headerBytes(c.r) > most {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, refuser.HeaderTooLarge, 0)
	}
	wait := route.Timeout
	if c.env.Wait > 0 {
		wait = min(wait, c.env.Wait)
	}
	c.until = c.begun.Add(wait)
	if end := c.f.leaving.Load(); end != nil && c.begun.Add(min(c.longest(), wait)).After(*end) {
		return refuse(http.StatusServiceUnavailable, refuser.ShuttingDown, leaveWait)
	}
	if ref := c.readBody(); ref != nil {
		return ref
	}
	c.assign(cur)
	return nil
}

// longest returns a time within which the answer is complete if nothing fails.
func (c *call) longest() time.Duration {
	if c.route.Kind != matcher.Stream || c.env.Output <= 0 {
		return c.route.Timeout
	}
	return promptTime + time.Duration(c.env.Output)*outputTime
}

// identify finds the workspace that holds the caller's key.
func (c *call) identify() *refusal {
	c.urgency = c.route.Priority
	if !c.table.Keyed() {
		return nil
	}
	ws, ok := c.table.Workspace(c.env.Key)
	switch {
	case ok:
		c.workspace = ws.Name
		if ws.Priority != nil {
			c.urgency = *ws.Priority
		}
	case !c.route.Open:
		return refuse(http.StatusUnauthorized, refuser.Unauthorized, 0)
	}
	return nil
}

// headerBytes is the least size of the request's header on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func (c *call) readBody() *refusal {
	most := c.table.Limits().BodyBytes
	if most <= 0 {
		most = defaultBody
	}
	if c.r.ContentLength > most {
		return refuse(http.StatusRequestEntityTooLarge, refuser.BodyTooLarge, 0)
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	if n := c.r.ContentLength; n > 0 {
		c.body = make([]byte, n)
		if _, err := io.ReadFull(c.r.Body, c.body); err != nil {
			return refuse(http.StatusBadRequest, refuser.BadRequest, 0)
		}
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(c.r.Body, most+1))
	if err != nil {
		return refuse(http.StatusBadRequest, refuser.BadRequest, 0)
	}
	if int64(len(b)) > most {
		return refuse(http.StatusRequestEntityTooLarge, refuser.BodyTooLarge, 0)
	}
	c.body = b
	return nil
}

// assign chooses service, version and model.
func (c *call) assign(cur InForce) {
	c.session = c.sessionHash()
	name := c.route.Split(xxhash.Sum64String(c.env.ID))
	c.service, _ = c.table.Service(name) // Check has found it.
	c.f.set.Budget.Request(name)
	if r, ok := cur.Rollouts[name]; ok {
		c.rollout = &r
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if c.rollout == nil {
		c.f.assigner.Note(name, c.session, false, c.begun)
		return
	}
	c.target = c.f.assigner.Target(*c.rollout, c.session, c.begun)
}

// sessionHash returns what the requests of a session have in common: what the
// caller names, else the part of the prompt that is shared by the fewest.
func (c *call) sessionHash() uint64 {
	if c.env.Session != "" {
		return xxhash.Sum64String(c.env.Session)
	}
	if n := len(c.env.Parts); n >= 2 {
		return c.env.Parts[n-2].ID
	}
	return xxhash.Sum64String(c.env.ID)
}

// group returns the hash of the parts of the prompt that other requests share,
// and of the model, since each model caches its own.
func (c *call) group() uint64 {
	if n := len(c.env.Parts); n >= 2 {
		return c.env.Parts[n-2].ID ^ xxhash.Sum64String(c.model) | 1
	}
	return 0
}

// run makes attempts until the request is answered.
func (c *call) run() {
	if c.route.Sizes != nil && c.env.AnyModel {
		c.model = c.route.Sizes[c.size]
	}
	for {
		t, ref := c.place()
		if ref != nil {
			c.giveUp(ref)
			return
		}
		if c.attempt(t) {
			return
		}
	}
}

// place chooses the upstream for the next attempt, or says why there is none.
func (c *call) place() (*placer.Ticket, *refusal) {
	left := c.until.Sub(c.f.set.Clock.Now())
	switch {
	case c.r.Context().Err() != nil:
		return nil, refuse(0, refuser.DeadlineExceeded, 0)
	case left < shortestTry:
		return nil, refuse(http.StatusGatewayTimeout, refuser.DeadlineExceeded, 0)
	case c.tries >= maxTries, c.arrivals >= max(c.route.MaxAttempts, 1):
		return nil, refuse(http.StatusBadGateway, refuser.UpstreamFailed, busyWait)
	}
	c.followRollout()
	req := placer.Request{
		Service: c.service.Name, Versions: c.versions(), MaxConns: c.service.MaxConns, Tried: c.tried,
	}
	if c.service.Engine != nil {
		req.Group = c.group()
		req.Work, req.Shared, req.SharedTokens = c.work()
	}
	t, ok := c.f.set.Placer.Pick(req)
	if !ok && len(c.tried) > 0 {
		// All upstreams were tried; a second time is better than none.
		req.Tried = nil
		t, ok = c.f.set.Placer.Pick(req)
	}
	if !ok {
		return nil, refuse(http.StatusServiceUnavailable, refuser.NoUpstream, startWait)
	}
	c.repeats = c.arrivals > 0
	if c.repeats && !c.f.set.Budget.Allow(c.service.Name) {
		t.Done(placer.Abandoned, 0)
		return nil, refuse(http.StatusBadGateway, refuser.RetryBudget, busyWait)
	}
	c.tries++
	c.upstream = t.Upstream()
	c.tried = append(c.tried, c.upstream.Key())
	return t, nil
}

// work returns the tokens of the prompt that no other request shares and those
// that others do, in tokens of the largest model, and the latter as they are.
// What a model costs stands for the time that it takes.
func (c *call) work() (own, shared, tokens float64) {
	for _, p := range c.env.Parts {
		tokens += float64(p.Tokens)
	}
	own = float64(c.env.Input)
	if n := len(c.env.Parts); n > 0 {
		own = float64(c.env.Parts[n-1].Tokens)
		tokens -= own
	}
	w := c.weight()
	return w*own + workPerRequest, w * tokens, tokens
}

// weight is the cost of the chosen model as a part of that of the dearest.
func (c *call) weight() float64 {
	var own, most float64
	for _, m := range c.service.Engine.Models {
		most = max(most, m.Cost)
		if m.Name == c.model {
			own = m.Cost
		}
	}
	if own <= 0 || most <= 0 {
		return 1
	}
	return own / most
}

// followRollout keeps a request that began before a rollout was ordered off its
// target.
func (c *call) followRollout() {
	if c.rollout != nil {
		return
	}
	if r, ok := c.f.InForce().Rollouts[c.service.Name]; ok && r.State != controller.RolloutCompleted {
		c.rollout = &r
	}
}

// versions restricts the upstreams to those of the request's version.
func (c *call) versions() placer.Versions {
	switch {
	case c.rollout == nil:
		return placer.Versions{}
	case c.target:
		return placer.Versions{Only: c.rollout.Target}
	}
	return placer.Versions{Not: c.rollout.Target}
}

// attempt sends the request to one upstream and reports whether the request is
// answered.
func (c *call) attempt(t *placer.Ticket) bool {
	up := t.Upstream()
	sent := c.f.set.Clock.Now()
	g := newGuard(c, t, sent)
	fw := &dialer.Forward{
		Upstream: up.Address, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host,
		Fields: c.f.set.Codec.Fields(c.r.Header, Dispatch{
			Upstream: up.ID, Workspace: c.workspace, Left: c.until.Sub(sent), Model: c.model,
			Resume: c.lastID, Urgency: c.engineUrgency(),
		}),
		Body: c.body, ID: c.env.ID, IDField: c.f.set.Codec.IDField(),
		Fresh: c.route.Kind == matcher.NonIdempotent && c.tries > 1, Deadline: c.until,
		MaxIdle:   c.maxIdle(),
		FirstByte: g.first(), More: g.more,
	}
	ans, err := c.f.set.Upstreams.Forward(c.r.Context(), fw)
	if err != nil {
		return c.failed(t, err)
	}
	t.Heard()
	return c.answered(t, ans, g, sent)
}

// maxIdle is the number of unused connections that this host may keep at an
// upstream, zero for no bound: its part of those that no request needs.
func (c *call) maxIdle() int {
	if c.service.MaxConns <= 0 {
		return 0
	}
	return max(1, c.service.MaxConns/c.f.set.Budget.Hosts()/idleParts)
}

// engineUrgency is the urgency that engines are told, below 0 for plain
// services.
func (c *call) engineUrgency() int {
	if c.service.Engine == nil {
		return -1
	}
	return min(max(c.urgency, 0), 9)
}

// failed handles an attempt without a header, or one that broke off.
func (c *call) failed(t *placer.Ticket, err error) bool {
	var ae *router.AttemptError
	if !errors.As(err, &ae) {
		ae = &router.AttemptError{Kind: router.FailReset, Outcome: refuser.Unknown, Err: err}
	}
	switch {
	case ae.Outcome != refuser.NotRun:
		c.spend(true)
	case c.repeats:
		// No upstream has received anything.
		c.f.set.Budget.Return(c.service.Name)
	}
	t.Done(placement(ae.Kind, ae.Outcome), 0)
	c.logAttempt(t.Upstream(), string(ae.Kind), ae.Outcome, ae.Err)
	if c.r.Context().Err() != nil {
		c.logEnd(0, "callerLeft")
		return true
	}
	if ae.Kind == router.FailDeadline {
		c.giveUp(refuse(http.StatusGatewayTimeout, refuser.DeadlineExceeded, 0))
		return true
	}
	if ae.Outcome == refuser.NotRun || c.route.Repeatable() {
		return false
	}
	c.giveUp(refuse(http.StatusBadGateway, refuser.OutcomeUnknown, 0))
	return true
}

// placement says what the failure of an attempt tells about the upstream.
func placement(k router.FailKind, o refuser.Outcome) placer.Outcome {
	switch k {
	case router.FailRefused:
		return placer.Refused
	case router.FailStalled:
		return placer.Silent
	case router.FailSilent:
		return placer.Stale
	case router.FailCancelled, router.FailDeadline:
		return placer.Abandoned
	case router.FailReset, router.FailCut, router.FailMismatch, router.FailMalformed:
		if o == refuser.NotRun {
			return placer.Abandoned
		}
		return placer.Broken
	}
	return placer.Abandoned
}

// answered handles an answer whose header was read.
func (c *call) answered(t *placer.Ticket, ans *dialer.Forwarded, g *guard, sent time.Time) bool {
	reply := c.f.set.Codec.Reply(ans.Header)
	first := c.f.set.Clock.Since(sent)
	switch {
	case reply.NotRun:
		return c.notRun(t, ans)
	case !sound(ans, reply, c.env.ID):
		ans.Abort()
		c.spend(true)
		return c.unusable(t, "the answer is not the upstream's")
	case c.route.Kind == matcher.Stream && ans.Status == http.StatusOK:
		c.confidence = reply.Confidence
		if c.escalate(t, first) {
			ans.Abort()
			return false
		}
		return c.stream(t, ans, g, first)
	}
	return c.whole(t, ans, first)
}

// spend counts an attempt that has ended and of which an upstream has received
// something.
func (c *call) spend(ran bool) {
	c.arrivals++
	if ran {
		c.ran++
	}
}

// sound reports whether the answer is what an upstream answers to this
// request.
func sound(ans *dialer.Forwarded, reply Reply, id string) bool {
	if ans.Status/100 != 2 {
		return true
	}
	return reply.Signed && reply.ID == id && ans.Header.Get("Content-Encoding") == ""
}

// notRun handles an answer that proves that the request did not run.
func (c *call) notRun(t *placer.Ticket, ans *dialer.Forwarded) bool {
	status := ans.Status
	if _, err := io.Copy(io.Discard, io.LimitReader(ans, maxAnswer)); err == nil {
		ans.Finish()
	}
	ans.Abort()
	out := placer.Busy
	if status == http.StatusMisdirectedRequest {
		// Nothing that may run the request has received it.
		out = placer.Misdirected
	} else {
		c.spend(false)
	}
	t.Done(out, 0)
	c.logAttempt(t.Upstream(), "refused", refuser.NotRun, errors.Newf("status %d", status))
	return false
}

// unusable ends an attempt whose answer cannot be used.
func (c *call) unusable(t *placer.Ticket, why string) bool {
	t.Done(placer.Broken, 0)
	c.logAttempt(t.Upstream(), string(router.FailMalformed), refuser.Unknown, errors.Newf("%s", why))
	if c.route.Repeatable() {
		return false
	}
	c.giveUp(refuse(http.StatusBadGateway, refuser.OutcomeUnknown, 0))
	return true
}

// whole reads an answer to its end and forwards it, unless another upstream
// may do better.
func (c *call) whole(t *placer.Ticket, ans *dialer.Forwarded, first time.Duration) bool {
	body, err := readAnswer(ans)
	if err != nil {
		return c.failed(t, err)
	}
	ans.Finish()
	c.spend(true)
	a := &answer{status: ans.Status, header: ans.Header, body: body}
	c.count(t.Upstream(), ans.Status >= http.StatusInternalServerError, first)
	if ans.Status < http.StatusInternalServerError {
		t.Done(placer.Good, first)
		c.deliver(a)
		return true
	}
	t.Done(placer.Failed, first)
	c.logAttempt(t.Upstream(), string(router.FailStatus), refuser.Ran, errors.Newf("status %d", ans.Status))
	if c.route.Repeatable() && ans.Status != http.StatusGatewayTimeout {
		c.last = a
		return false
	}
	c.deliver(a)
	return true
}

func readAnswer(ans *dialer.Forwarded) ([]byte, error) {
	if ans.Length > maxAnswer {
		return nil, errors.Newf("the answer exceeds %d bytes", maxAnswer)
	}
	if ans.Length >= 0 {
		body := make([]byte, ans.Length)
		_, err := io.ReadFull(ans, body)
		if err != nil || ans.Length == 0 {
			return body, err
		}
		// The end of the body frees the connection.
		_, err = ans.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			err = nil
		}
		return body, err
	}
	return io.ReadAll(io.LimitReader(ans, maxAnswer))
}

// hostOnly returns the host without its port.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}
