package router

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"foxtailwall/biller"
	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

// defaultCallTimeout applies to calls for which the service declares no
// timeout.
const defaultCallTimeout = 30 * time.Second

// call holds the state of one request for a plain service.
type call struct {
	*task
	req     *CallRequest
	service *declarer.Service
	decl    *declarer.Call
}

// Call serves a request for a plain service. Errors are a *refuser.Refusal.
func (r *Router) Call(ctx context.Context, req *CallRequest) (_ *CallAnswer, err error) {
	defer r.countRequest(&req.Request, &err)
	catalog, err := r.catalog()
	if err != nil {
		return nil, err
	}
	c := &call{req: req}
	if err := c.findDeclaration(catalog); err != nil {
		return nil, err
	}
	if !c.decl.Idempotent {
		if err := checkIdempotencyKey(req.Key); err != nil {
			return nil, err
		}
	}
	timeout := c.decl.Timeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	t, release, err := r.admit(ctx, &req.Request, 0, timeout)
	if err != nil {
		return nil, err
	}
	defer release()
	c.task = t
	if c.decl.Idempotent {
		return r.runIdempotent(ctx, c)
	}
	return r.callWithClaim(ctx, c)
}

// findDeclaration sets the service and declaration of the call from the
// catalog. It returns a refusal if the workspace may not use the service or
// the service declares no such call.
func (c *call) findDeclaration(catalog *declarer.Catalog) error {
	req := c.req
	w := catalog.Workspace(req.Holder.Workspace.Name)
	c.service = catalog.Service(req.Service)
	if w == nil || c.service == nil || !slices.Contains(w.Services, req.Service) {
		return refuser.New(refuser.UnknownService, refuser.NotRun, "workspace %q has no service %q",
			req.Holder.Workspace.Name, req.Service)
	}
	if !isUnambiguousPath(req.Path) {
		return refuser.New(refuser.BadRequest, refuser.NotRun,
			"the path has empty, dot or encoded segments; send it in normalized form")
	}
	c.decl = c.service.FindCall(req.Method, req.Path)
	if c.decl == nil {
		return refuser.New(refuser.UnknownService, refuser.NotRun, "service %q declares no call %s %s",
			req.Service, req.Method, req.Path)
	}
	return nil
}

// isUnambiguousPath reports whether the service cannot read the path
// differently than the declaration does. /status/../book, for example, would
// match an idempotent call and run a booking.
func isUnambiguousPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "\\;") {
		return false
	}
	low := strings.ToLower(p)
	for _, enc := range []string{"%2e", "%2f", "%5c", "%00", "%25"} {
		if strings.Contains(low, enc) {
			return false
		}
	}
	segs := strings.Split(p[1:], "/")
	for i, s := range segs {
		if s == "." || s == ".." || s == "" && i < len(segs)-1 {
			return false
		}
	}
	return true
}

// runIdempotent runs an idempotent call, without a claim, and bills it.
func (r *Router) runIdempotent(ctx context.Context, c *call) (*CallAnswer, error) {
	a, err := r.dispatchCall(ctx, c)
	if err != nil {
		return nil, err
	}
	r.billCall(ctx, c)
	return &CallAnswer{Status: a.Status, Header: a.Header, Body: a.Body}, nil
}

// dispatchCall sends the call to the replicas of the service until an attempt
// succeeds or no more may follow.
func (r *Router) dispatchCall(ctx context.Context, c *call) (*Answer, error) {
	op := operation{
		service: c.req.Service, mayRepeat: c.decl.Idempotent, mayHedge: c.decl.Idempotent,
		candidates: func() ([]*declarer.Upstream, error) {
			catalog, err := r.catalog()
			if err != nil {
				return nil, err
			}
			return catalog.ServiceUpstreams(c.req.Service), nil
		},
	}
	op.send = func(ctx context.Context, tgt target) (*Answer, Observation, error) {
		a, err := r.opts.Upstreams.Do(ctx, r.newCallAttempt(c, tgt))
		if err != nil {
			return nil, Observation{}, toAttemptError(err)
		}
		obs := Observation{FirstByte: a.FirstByte, Status: a.Status}
		if c.decl.Idempotent && isRetryableStatus(a.Status) {
			a.Memory.Release()
			return nil, obs, statusError(a.Status, "", nil, a.RetryAfter)
		}
		return a, obs, nil
	}
	return r.runAttempts(ctx, c.task, op)
}

// isRetryableStatus reports whether an idempotent call is repeated after the
// status. Every other status is passed on as the answer of the service.
func isRetryableStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		return true
	}
	return false
}

func (r *Router) newCallAttempt(c *call, tgt target) *Attempt {
	path := c.req.Path
	if c.req.Query != "" {
		path += "?" + c.req.Query
	}
	return &Attempt{
		ID: tgt.id, Upstream: tgt.upstream, Method: c.req.Method, Path: path, Header: c.req.Header, Body: c.req.Body,
		// The peer may close a reused connection just as the request
		// arrives, and then it is unknown whether the request ran.
		NewConn:  tgt.newConn || !c.decl.Idempotent,
		Deadline: c.deadline, Priority: c.priority, Memory: c.memory,
		Check: func() error { return r.recheckCall(c) },
	}
}

// recheckCall checks just before the call is sent that the configuration still
// allows it, with the same idempotency as when it was planned, and that its
// deadline has not passed.
func (r *Router) recheckCall(c *call) error {
	catalog, err := r.catalog()
	if err != nil {
		return err
	}
	current := &call{req: c.req}
	if err := current.findDeclaration(catalog); err != nil {
		return err
	}
	if current.decl.Idempotent != c.decl.Idempotent {
		return refuser.New(refuser.Conflict, refuser.NotRun, "the declaration of the call has just changed; send it again")
	}
	if !r.opts.Clock.Now().Before(c.deadline) {
		return refuser.New(refuser.DeadlineExceeded, refuser.NotRun, "the deadline passed before the call was sent")
	}
	return nil
}

// billCall bills a completed call at the price that its service declares.
func (r *Router) billCall(ctx context.Context, c *call) {
	r.holdBill(ctx, biller.Record{
		ID: c.id, Revision: 1, Workspace: c.workspace.Name, Member: c.member, Service: c.req.Service,
		CostNanos: c.service.PriceNanos, Ending: biller.Complete, At: r.opts.Clock.Now(),
	})
}
