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
	// chatPath is the path of chat completions on model engines.
	chatPath = "/v1/chat/completions"
	// longPromptTokens is the prompt length, in tokens, from which a request
	// without a kind is treated as KindLong.
	longPromptTokens = 512
	// maxPlans limits how often a request is planned: a second time if its
	// version was withdrawn between planning and dispatch.
	maxPlans = 2
)

var chatHeader = http.Header{"Content-Type": {"application/json"}}

// chat holds the state of one request for a model.
type chat struct {
	*task
	req     *ChatRequest
	stream  bool
	session *session
	catalog *declarer.Catalog
	plan    PlanRequest
	steps   []biller.Step
	info    SessionInfo // Returned with the answer.
	// lastStep is the index of the latest completed step, whose answer is
	// rated or returned.
	lastStep int
	// offerRating means that the answer is offered to the rating service.
	// wantText means that the generated text is needed, for that or for a
	// cascade.
	offerRating, wantText bool
}

// Chat serves a request whose answer is returned as a whole. Errors are a
// *refuser.Refusal or a *RejectedError.
func (r *Router) Chat(ctx context.Context, req *ChatRequest) (_ *ChatAnswer, err error) {
	defer r.countRequest(&req.Request, &err)
	t, release, err := r.admit(ctx, &req.Request, req.PromptTokens+req.MaxTokens, 0)
	if err != nil {
		return nil, err
	}
	defer release()
	c := &chat{task: t, req: req, offerRating: r.opts.Ratings.WantsNext()}
	var ans *Answer
	err = r.planAndRun(c, func(steps []declarer.VersionRef) error {
		c.wantText = c.offerRating || len(steps) > 1
		ans, err = r.runCascade(ctx, c, steps)
		return err
	})
	if err != nil {
		return nil, err
	}
	r.holdBill(ctx, c.billingRecord(biller.Complete, r.opts.Clock.Now()))
	if c.offerRating {
		r.opts.Ratings.Offer(c.newRateRequest(c.info.Ref, ans.Text))
	}
	c.info.Tokens = c.sessionTokens()
	return &ChatAnswer{SessionInfo: c.info, Status: ans.Status, ContentType: ans.Header.Get("Content-Type"), Body: ans.Body}, nil
}

// planAndRun plans the request and runs the plan. It plans once more if the
// check at dispatch found the version withdrawn and no attempt ran.
func (r *Router) planAndRun(c *chat, run func(steps []declarer.VersionRef) error) error {
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

// makePlan stores the catalog, session and plan request in c and returns the
// steps that the chooser selects, at least one.
func (r *Router) makePlan(c *chat) ([]declarer.VersionRef, error) {
	catalog, err := r.catalog()
	if err != nil {
		return nil, err
	}
	s, err := r.readSession(c.req)
	if err != nil {
		return nil, err
	}
	refs, err := r.candidateVersions(catalog, c.req, s)
	if err != nil {
		return nil, err
	}
	c.catalog, c.session, c.info = catalog, s, SessionInfo{}
	c.plan = PlanRequest{
		Workspace: c.workspace, Kind: requestKind(c.req, c.stream), Stream: c.stream, Candidates: refs, Catalog: catalog,
		InputTokens: c.req.PromptTokens, OutputTokens: c.req.MaxTokens, TimeLeft: r.timeLeft(c.task),
	}
	steps, err := r.opts.Chooser.Plan(c.plan)
	if err != nil {
		if re, ok := refuser.As(err); ok {
			return nil, re
		}
		return nil, refuser.New(refuser.Internal, refuser.NotRun, "the request could not be planned: %v", err)
	}
	if len(steps) == 0 {
		return nil, refuser.New(refuser.ModelNotAllowed, refuser.NotRun, "no allowed model can serve the request")
	}
	return steps, nil
}

// requestKind returns the kind named by the caller, else one derived from
// streaming and the prompt length.
func requestKind(req *ChatRequest, stream bool) declarer.Kind {
	switch {
	case req.Kind != "":
		return req.Kind
	case stream:
		return declarer.KindChat
	case req.PromptTokens >= longPromptTokens:
		return declarer.KindLong
	default:
		return declarer.KindShort
	}
}

// runCascade runs the steps in order until an answer is accepted. If a later
// step fails, it returns the answer of the step before, since that answer is
// complete.
func (r *Router) runCascade(ctx context.Context, c *chat, steps []declarer.VersionRef) (*Answer, error) {
	var best *Answer
	for i, step := range steps {
		began := r.opts.Clock.Now()
		ans, p, err := r.runStep(ctx, c, step)
		if err != nil && best != nil {
			r.opts.Scope.Counter("router.cascadeShort").Inc(1)
			return best, nil
		}
		if err != nil {
			return nil, err
		}
		if best != nil {
			best.Memory.Release()
		}
		best = ans
		c.lastStep = i
		r.reportStep(c, p.ref, i, ans.Usage, began)
		c.mergeSessionInfo(p.SessionInfo)
		c.steps = append(c.steps, c.billingStep(p.ref, ans.Usage))
		if i == len(steps)-1 || r.acceptAnswer(ctx, c, p.ref, ans) {
			break
		}
		r.opts.Scope.Counter("router.escalations", "model", step.Model).Inc(1)
	}
	return best, nil
}

// runStep pins the session to a version of the planned model and runs the
// request on it.
func (r *Router) runStep(ctx context.Context, c *chat, ref declarer.VersionRef) (*Answer, pinnedStep, error) {
	p, err := r.pinStep(ctx, c.catalog, c.req, c.session, ref)
	if err != nil {
		return nil, p, err
	}
	op := r.newChatOperation(c, p.ref)
	op.mayHedge = true
	op.send = func(ctx context.Context, tgt target) (*Answer, Observation, error) {
		a, err := r.opts.Upstreams.Do(ctx, r.newChatAttempt(c, p.ref, tgt))
		if err != nil {
			return nil, Observation{}, toAttemptError(err)
		}
		obs := Observation{FirstByte: a.FirstByte, Status: a.Status, Tokens: a.Usage.Output}
		err = statusError(a.Status, a.Header.Get("Content-Type"), a.Body, a.RetryAfter)
		var rejected *RejectedError
		if err != nil && !errors.As(err, &rejected) {
			a.Memory.Release()
		}
		return a, obs, err
	}
	ans, err := r.runAttempts(ctx, c.task, op)
	return ans, p, err
}

func (r *Router) newChatOperation(c *chat, ref declarer.VersionRef) operation {
	return operation{
		ref: ref, prompt: c.req.Prompt, promptTokens: c.req.PromptTokens, mayRepeat: true,
		candidates: func() ([]*declarer.Upstream, error) {
			catalog, err := r.catalog()
			if err != nil {
				return nil, err
			}
			return catalog.Upstreams(ref), nil
		},
	}
}

func (r *Router) newChatAttempt(c *chat, ref declarer.VersionRef, tgt target) *Attempt {
	return &Attempt{
		ID: tgt.id, Upstream: tgt.upstream, Method: http.MethodPost, Path: chatPath, Header: chatHeader,
		Body: c.req.Body(ref), Engine: true, WantText: c.wantText, NewConn: tgt.newConn, Deadline: c.deadline, Priority: c.priority, Memory: c.memory,
		Check: func() error { return r.checkVersion(c.workspace.Name, ref) },
	}
}

// acceptAnswer reports whether the answer of a step before the last is good
// enough to return. It waits for a rating up to RatingWait and asks the
// chooser if none arrives.
func (r *Router) acceptAnswer(ctx context.Context, c *chat, ref declarer.VersionRef, ans *Answer) bool {
	req := c.newRateRequest(ref, ans.Text)
	v, ok := r.opts.Ratings.Rate(ctx, req, min(r.opts.RatingWait, r.timeLeft(c.task)))
	r.opts.Learner.RecordRatingWait(c.plan.Kind, ok)
	if !ok {
		return r.opts.Chooser.Accept(c.plan, ref)
	}
	r.opts.Learner.RecordRating(req, v)
	r.CountRating(req.RequestID, v.Pass)
	return v.Pass
}

// mergeSessionInfo merges the session information of a step into that of the
// answer. The step's tokens replace the token that the caller sent for its
// model.
func (c *chat) mergeSessionInfo(step SessionInfo) {
	c.info.Ref = step.Ref
	c.info.Provisional = c.info.Provisional || step.Provisional
	if step.MoveReason != "" {
		c.info.MoveReason = step.MoveReason
	}
	c.info.Tokens = append(c.info.Tokens, step.Tokens...)
	delete(c.session.tokensByModel, step.Ref.Model)
}

// sessionTokens returns the session tokens to send to the caller: the new
// ones, and the received ones of the models that did not run.
func (c *chat) sessionTokens() []string {
	return append(c.info.Tokens, slices.Sorted(maps.Values(c.session.tokensByModel))...)
}

func (c *chat) newRateRequest(ref declarer.VersionRef, text string) RateRequest {
	return RateRequest{
		RequestID: c.stepID(c.lastStep), Workspace: c.workspace.Name, Kind: c.plan.Kind, Ref: ref, Prompt: c.req.Prompt, Response: text,
	}
}

// stepID returns the ID of a step's answer at the rating service, which may
// rate several steps of one request.
func (c *chat) stepID(step int) string { return c.id + "/" + strconv.Itoa(step) }

// reportStep reports a completed step to the learner and registers its answer
// for a later rating.
func (r *Router) reportStep(c *chat, ref declarer.VersionRef, step int, u Usage, began time.Time) {
	r.awaitRating(c.stepID(step), c.workspace, ref)
	r.opts.Learner.RecordStep(StepRun{
		ID: c.stepID(step), Workspace: c.workspace.Name, Kind: c.plan.Kind, Ref: ref, Step: step,
		Input: u.Input, Output: u.Output, Took: r.opts.Clock.Since(began),
	})
}

// isSinkError reports whether writing to the caller failed.
func isSinkError(err error) bool {
	var e *sinkError
	return errors.As(err, &e)
}
