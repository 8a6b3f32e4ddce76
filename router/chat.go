package router

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/biller"
	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

const (
	// chatPath is the path of chat completions at engines.
	chatPath = "/v1/chat/completions"
	// longPrompt is the number of prompt tokens from which a request that
	// names no kind counts as long.
	longPrompt = 512
	// maxPlans bounds how often a request is planned: once more if its
	// version was withdrawn between plan and dispatch.
	maxPlans = 2
)

var chatHeader = http.Header{"Content-Type": {"application/json"}}

// chat is the state of one request for a model.
type chat struct {
	*task
	q       *ChatRequest
	stream  bool
	session *session
	catalog *declarer.Catalog
	plan    PlanRequest
	steps   []biller.Step
	notice  Notice
	// last is the position of the step whose answer is returned.
	last int
	// rated says that the answer is offered to the rating service, and text
	// that its text is needed for that or for a cascade.
	rated, text bool
}

// Chat serves a request whose answer is returned whole. Errors are a
// *refuser.Refusal or a *RejectedError.
func (r *Router) Chat(ctx context.Context, q *ChatRequest) (_ *ChatAnswer, err error) {
	defer r.count(&q.Request, &err)
	t, release, err := r.admit(ctx, &q.Request, q.PromptTokens+q.MaxTokens)
	if err != nil {
		return nil, err
	}
	defer release()
	c := &chat{task: t, q: q, rated: r.o.Ratings.Wants()}
	var ans *Answer
	err = r.planned(c, func(steps []declarer.VersionRef) error {
		c.text = c.rated || len(steps) > 1
		ans, err = r.cascade(ctx, c, steps)
		return err
	})
	if err != nil {
		return nil, err
	}
	r.bill(ctx, c.record(biller.Complete, r.o.Clock.Now()))
	if c.rated {
		r.o.Ratings.Offer(c.rateRequest(c.notice.Ref, ans.Text))
	}
	c.notice.Tokens = c.tokens()
	return &ChatAnswer{Notice: c.notice, Status: ans.Status, Type: ans.Header.Get("Content-Type"), Body: ans.Body}, nil
}

// planned plans the request and runs it. If the plan was overtaken by a
// withdrawal before anything was sent, it plans once more.
func (r *Router) planned(c *chat, run func(steps []declarer.VersionRef) error) error {
	for n := 1; ; n++ {
		steps, err := r.makePlan(c)
		if err != nil {
			return err
		}
		err = run(steps)
		re, ok := refuser.As(err)
		if !ok || re.Code != refuser.VersionWithdrawn || n == maxPlans || c.attempts == 0 || c.outcome != refuser.NotRun {
			return err
		}
	}
}

func (r *Router) makePlan(c *chat) ([]declarer.VersionRef, error) {
	cat, err := r.catalog()
	if err != nil {
		return nil, err
	}
	s, err := r.sessionOf(c.q)
	if err != nil {
		return nil, err
	}
	refs, err := r.candidates(cat, c.q, s)
	if err != nil {
		return nil, err
	}
	c.catalog, c.session, c.notice = cat, s, Notice{}
	c.plan = PlanRequest{
		Workspace: c.workspace, Kind: kindOf(c.q, c.stream), Stream: c.stream, Candidates: refs, Catalog: cat,
		InputTokens: c.q.PromptTokens, OutputTokens: c.q.MaxTokens, Left: r.left(c.task),
	}
	steps, err := r.o.Chooser.Plan(c.plan)
	if err != nil {
		if re, ok := refuser.As(err); ok {
			return nil, re
		}
		return nil, refuser.New(refuser.Internal, refuser.NotRun, "the request could not be planned: %v", err)
	}
	if len(steps) == 0 {
		return nil, refuser.New(refuser.ModelNotAllowed, refuser.NotRun, "no allowed model meets the request")
	}
	return steps, nil
}

func kindOf(q *ChatRequest, stream bool) declarer.Kind {
	switch {
	case q.Kind != "":
		return q.Kind
	case stream:
		return declarer.KindChat
	case q.PromptTokens >= longPrompt:
		return declarer.KindLong
	default:
		return declarer.KindShort
	}
}

// cascade runs the steps until an answer is accepted. If a later step fails,
// the answer of the step before is returned: it is whole, and the caller
// would otherwise pay for nothing.
func (r *Router) cascade(ctx context.Context, c *chat, steps []declarer.VersionRef) (*Answer, error) {
	var best *Answer
	for i, step := range steps {
		began := r.o.Clock.Now()
		ans, p, err := r.step(ctx, c, step)
		if err != nil && best != nil {
			r.o.Scope.Counter("router.cascadeShort").Inc(1)
			return best, nil
		}
		if err != nil {
			return nil, err
		}
		best = ans
		c.last = i
		r.ran(c, p.ref, i, ans.Usage, began)
		c.took(p.Notice)
		c.steps = append(c.steps, c.billStep(p.ref, ans.Usage))
		if i == len(steps)-1 || r.accepted(ctx, c, p.ref, ans) {
			break
		}
		r.o.Scope.Counter("router.escalations", "model", step.Model).Inc(1)
	}
	return best, nil
}

// step pins the session to the version and runs it.
func (r *Router) step(ctx context.Context, c *chat, ref declarer.VersionRef) (*Answer, pinned, error) {
	p, err := r.pin(ctx, c.catalog, c.q, c.session, ref)
	if err != nil {
		return nil, p, err
	}
	j := r.chatJob(c, p.ref)
	j.hedges = true
	j.do = func(ctx context.Context, g target) (*Answer, Observation, error) {
		a, err := r.o.Upstreams.Do(ctx, r.chatAttempt(c, p.ref, g))
		if err != nil {
			return nil, Observation{}, asAttempt(err)
		}
		o := Observation{FirstByte: a.FirstByte, Status: a.Status, Tokens: a.Usage.Output}
		return a, o, judge(a.Status, a.Header.Get("Content-Type"), a.Body, a.RetryAfter)
	}
	ans, err := r.run(ctx, c.task, j)
	return ans, p, err
}

func (r *Router) chatJob(c *chat, ref declarer.VersionRef) job {
	return job{
		ref: ref, prompt: c.q.Prompt, tokens: c.q.PromptTokens, mayRepeat: true,
		candidates: func() ([]*declarer.Upstream, error) {
			cat, err := r.catalog()
			if err != nil {
				return nil, err
			}
			return cat.Upstreams(ref), nil
		},
	}
}

func (r *Router) chatAttempt(c *chat, ref declarer.VersionRef, g target) *Attempt {
	return &Attempt{
		ID: g.id, Upstream: g.upstream, Method: http.MethodPost, Path: chatPath, Header: chatHeader,
		Body: c.q.Body(ref), Engine: true, Text: c.text, Fresh: g.fresh, Deadline: c.deadline, Priority: c.priority,
		Check: func() error { return r.check(c.workspace.Name, ref) },
	}
}

// accepted reports whether the answer of a step that is not the last will do.
func (r *Router) accepted(ctx context.Context, c *chat, ref declarer.VersionRef, ans *Answer) bool {
	req := c.rateRequest(ref, ans.Text)
	v, ok := r.o.Ratings.Rate(ctx, req, min(r.o.RatingWait, r.left(c.task)))
	r.o.Learner.Waited(c.plan.Kind, ok)
	if !ok {
		return r.o.Chooser.Accept(c.plan, ref)
	}
	r.o.Learner.Learn(req, v)
	r.Rated(req.RequestID, v.Pass)
	return v.Pass
}

// took merges the notice of a step into that of the answer.
func (c *chat) took(n Notice) {
	c.notice.Ref = n.Ref
	c.notice.Provisional = c.notice.Provisional || n.Provisional
	if n.Moved != "" {
		c.notice.Moved = n.Moved
	}
	c.notice.Tokens = append(c.notice.Tokens, n.Tokens...)
	delete(c.session.raw, n.Ref.Model)
}

// tokens returns the session tokens of the answer. Those of models that did
// not run stay with the session.
func (c *chat) tokens() []string {
	return append(c.notice.Tokens, slices.Sorted(maps.Values(c.session.raw))...)
}

func (c *chat) rateRequest(ref declarer.VersionRef, text string) RateRequest {
	return RateRequest{
		RequestID: c.stepID(c.last), Workspace: c.workspace.Name, Kind: c.plan.Kind, Ref: ref, Prompt: c.q.Prompt, Response: text,
	}
}

// stepID names the answer of a step to the rating service, which may rate
// several steps of one request.
func (c *chat) stepID(step int) string { return c.id + "/" + strconv.Itoa(step) }

// ran tells the learner of a step that ran to its end.
func (r *Router) ran(c *chat, ref declarer.VersionRef, step int, u Usage, began time.Time) {
	r.answered(c.stepID(step), c.workspace, ref)
	r.o.Learner.Ran(StepRun{
		ID: c.stepID(step), Workspace: c.workspace.Name, Kind: c.plan.Kind, Ref: ref, Step: step,
		Input: u.Input, Output: u.Output, Took: r.o.Clock.Since(began),
	})
}

// isSinkError reports whether the caller's side failed.
func isSinkError(err error) bool {
	var e *sinkError
	return errors.As(err, &e)
}
