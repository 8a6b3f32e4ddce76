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

// defaultCallTimeout bounds calls for which the service declares no timeout.
const defaultCallTimeout = 30 * time.Second

// call is the state of one request for a plain service.
type call struct {
	*task
	q       *CallRequest
	service *declarer.Service
	decl    *declarer.Call
}

// Call serves a request for a plain service. Errors are a *refuser.Refusal.
func (r *Router) Call(ctx context.Context, q *CallRequest) (_ *CallAnswer, err error) {
	defer r.count(&q.Request, &err)
	cat, err := r.catalog()
	if err != nil {
		return nil, err
	}
	c := &call{q: q}
	if err := c.find(cat); err != nil {
		return nil, err
	}
	if !c.decl.Idempotent {
		if err := checkKey(q.Key); err != nil {
			return nil, err
		}
	}
	t, release, err := r.admit(ctx, &q.Request, 0)
	if err != nil {
		return nil, err
	}
	defer release()
	c.task = t
	timeout := c.decl.Timeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	if end := t.began.Add(timeout); end.Before(t.deadline) {
		t.deadline = end
	}
	if c.decl.Idempotent {
		return r.callOnce(ctx, c)
	}
	return r.claimed(ctx, c)
}

// find looks up the declaration of the call.
func (c *call) find(cat *declarer.Catalog) error {
	q := c.q
	w := cat.Workspace(q.Holder.Workspace.Name)
	c.service = cat.Service(q.Service)
	if w == nil || c.service == nil || !slices.Contains(w.Services, q.Service) {
		return refuser.New(refuser.UnknownService, refuser.NotRun, "workspace %q has no service %q",
			q.Holder.Workspace.Name, q.Service)
	}
	if !plainPath(q.Path) {
		return refuser.New(refuser.BadRequest, refuser.NotRun,
			"the path has empty, dotted or encoded segments; send it in its plain form")
	}
	c.decl = c.service.Find(q.Method, q.Path)
	if c.decl == nil {
		return refuser.New(refuser.UnknownService, refuser.NotRun, "service %q declares no call %s %s",
			q.Service, q.Method, q.Path)
	}
	return nil
}

// plainPath refuses paths that a service might read differently than the
// declaration does: /status/../book would pass for an idempotent call.
func plainPath(p string) bool {
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

// callOnce runs the call and bills it.
func (r *Router) callOnce(ctx context.Context, c *call) (*CallAnswer, error) {
	a, err := r.dispatch(ctx, c)
	if err != nil {
		return nil, err
	}
	r.billCall(ctx, c)
	return &CallAnswer{Status: a.Status, Header: a.Header, Body: a.Body}, nil
}

// dispatch makes the attempts of the call.
func (r *Router) dispatch(ctx context.Context, c *call) (*Answer, error) {
	j := job{
		service: c.q.Service, mayRepeat: c.decl.Idempotent, hedges: c.decl.Idempotent,
		candidates: func() ([]*declarer.Upstream, error) {
			cat, err := r.catalog()
			if err != nil {
				return nil, err
			}
			return cat.ServiceUpstreams(c.q.Service), nil
		},
	}
	j.do = func(ctx context.Context, g target) (*Answer, Observation, error) {
		a, err := r.o.Upstreams.Do(ctx, r.callAttempt(c, g))
		if err != nil {
			return nil, Observation{}, asAttempt(err)
		}
		o := Observation{FirstByte: a.FirstByte, Status: a.Status}
		if c.decl.Idempotent && unavailable(a.Status) {
			return nil, o, judge(a.Status, "", nil, a.RetryAfter)
		}
		return a, o, nil
	}
	return r.run(ctx, c.task, j)
}

// unavailable statuses are those after which an idempotent call is repeated.
// Every other status is the service's answer.
func unavailable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		return true
	}
	return false
}

func (r *Router) callAttempt(c *call, g target) *Attempt {
	path := c.q.Path
	if c.q.Query != "" {
		path += "?" + c.q.Query
	}
	return &Attempt{
		ID: g.id, Upstream: g.upstream, Method: c.q.Method, Path: path, Header: c.q.Header, Body: c.q.Body,
		// A reused connection may be closed by the peer just when a request
		// arrives, which leaves it unknown whether the request ran.
		Fresh:    g.fresh || !c.decl.Idempotent,
		Deadline: c.deadline, Priority: c.priority,
		Check: func() error { return r.checkCall(c) },
	}
}

// checkCall checks at dispatch that the call is still allowed, and as
// idempotent as it was when it was planned.
func (r *Router) checkCall(c *call) error {
	cat, err := r.catalog()
	if err != nil {
		return err
	}
	now := &call{q: c.q}
	if err := now.find(cat); err != nil {
		return err
	}
	if now.decl.Idempotent != c.decl.Idempotent {
		return refuser.New(refuser.Conflict, refuser.NotRun, "the declaration of the call has just changed; send it again")
	}
	if !r.o.Clock.Now().Before(c.deadline) {
		return refuser.New(refuser.DeadlineExceeded, refuser.NotRun, "the deadline passed before the call was sent")
	}
	return nil
}

func (r *Router) billCall(ctx context.Context, c *call) {
	r.bill(ctx, biller.Record{
		ID: c.id, Revision: 1, Workspace: c.workspace.Name, Member: c.member, Service: c.q.Service,
		CostNanos: c.service.PriceNanos, Ending: biller.Complete, At: r.o.Clock.Now(),
	})
}
