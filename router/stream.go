package router

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/biller"
	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

const (
	// maxResumes bounds how often one cut stream is resumed.
	maxResumes = 3
	// maxHeld bounds the chunks kept back before the first token, in bytes.
	maxHeld = 64 << 10
	// maxRated bounds the text kept for the rating service, in bytes.
	maxRated = 32 << 10
)

type (
	// streaming is the state of one streamed answer.
	streaming struct {
		r     *Router
		c     *chat
		sink  Sink
		p     pinned
		held  [][]byte // Chunks before the first token.
		size  int
		begun bool
		// first is the ID of the attempt whose first token reached the
		// caller; resumed attempts name it.
		first  string
		tokens int64
		usage  *Usage
		text   strings.Builder
		since  time.Time
		wait   time.Duration // Time to the first token.
		pace   pace
	}

	// sinkError says that the caller's side of a stream failed.
	sinkError struct{ err error }
)

// Error implements error.
func (e *sinkError) Error() string { return "the caller's connection failed: " + e.err.Error() }

// Unwrap returns the cause.
func (e *sinkError) Unwrap() error { return e.err }

// Stream serves a request whose answer is streamed into sink. Errors are a
// *refuser.Refusal or a *RejectedError; they can come after the first chunk.
func (r *Router) Stream(ctx context.Context, q *ChatRequest, sink Sink) (err error) {
	defer r.count(&q.Request, &err)
	t, release, err := r.admit(ctx, &q.Request, q.PromptTokens+q.MaxTokens)
	if err != nil {
		return err
	}
	defer release()
	rated := r.o.Ratings.Wants()
	c := &chat{task: t, q: q, stream: true, rated: rated, text: rated}
	s := &streaming{r: r, c: c, sink: sink}
	err = r.planned(c, func(steps []declarer.VersionRef) error {
		return s.run(ctx, steps[0])
	})
	if err := s.settle(ctx, err); err != nil {
		return err
	}
	if err := sink.End(); err != nil {
		return refuser.New(refuser.StreamCut, refuser.Ran, "the caller left before the end of the answer")
	}
	return nil
}

// settle bills what was produced, before the caller learns of the end.
func (s *streaming) settle(ctx context.Context, err error) error {
	s.countGaps()
	if err == nil || s.tokens > 0 {
		s.c.steps = []biller.Step{s.c.billStep(s.p.ref, s.counted())}
		s.r.bill(ctx, s.c.record(ending(ctx, err), s.r.o.Clock.Now()))
	}
	if err == nil {
		s.r.ran(s.c, s.p.ref, 0, s.counted(), s.since)
	}
	if err == nil && s.c.rated {
		s.r.o.Ratings.Offer(s.c.rateRequest(s.p.ref, s.text.String()))
	}
	if err != nil && isSinkError(err) {
		return refuser.New(refuser.StreamCut, refuser.Ran, "the caller left before the end of the answer")
	}
	return err
}

func ending(ctx context.Context, err error) biller.Ending {
	switch {
	case err == nil:
		return biller.Complete
	case isSinkError(err) || ctx.Err() != nil:
		return biller.Cancelled
	default:
		return biller.Cut
	}
}

// counted returns the tokens to bill: the engine's count, or this host's for
// an answer that never reported one. The count of a resumed stream may leave
// out what came before the cut.
func (s *streaming) counted() Usage {
	if s.usage == nil {
		return Usage{Input: s.c.q.PromptTokens, Output: s.tokens}
	}
	return Usage{Input: s.usage.Input, Output: max(s.usage.Output, s.tokens)}
}

func (s *streaming) run(ctx context.Context, ref declarer.VersionRef) error {
	p, err := s.r.pin(ctx, s.c.catalog, s.c.q, s.c.session, ref)
	if err != nil {
		return err
	}
	s.p = p
	s.c.took(p.Notice)
	s.c.notice.Tokens = s.c.tokens()
	j := s.r.chatJob(s.c, p.ref)
	j.do = s.attempt
	_, err = s.r.run(ctx, s.c.task, j)
	return err
}

// attempt streams one attempt into the sink and resumes it where possible. It
// returns an *AttemptError only as long as nothing has reached the caller.
func (s *streaming) attempt(ctx context.Context, g target) (*Answer, Observation, error) {
	s.held, s.size, s.tokens, s.usage = nil, 0, 0, nil
	s.text.Reset()
	s.since = s.r.o.Clock.Now()
	a := s.r.chatAttempt(s.c, s.p.ref, g)
	s.first = a.ID
	err := s.once(ctx, a)
	for n := 0; n < maxResumes && s.resumable(ctx, g, err); n++ {
		s.r.o.Scope.Counter("router.resumes").Inc(1)
		a := s.r.chatAttempt(s.c, s.p.ref, target{id: s.c.attemptID(), upstream: g.upstream, fresh: true})
		a.Resume = s.first + ":" + strconv.FormatInt(s.tokens, 10)
		err = s.once(ctx, a)
	}
	o := Observation{FirstByte: s.wait, Tokens: s.tokens}
	var ae *AttemptError
	if err == nil || !s.begun || !errors.As(err, &ae) {
		return nil, o, err
	}
	o.Fail = ae.Kind
	return nil, o, s.cut(ae)
}

// resumable reports whether the stream was cut after its first token and the
// engine can go on with it.
func (s *streaming) resumable(ctx context.Context, g target, err error) bool {
	var ae *AttemptError
	if !s.begun || !g.upstream.Resumes || ctx.Err() != nil || !errors.As(err, &ae) {
		return false
	}
	switch ae.Kind {
	case FailCut, FailReset, FailStalled, FailSilent, FailRefused:
		return s.r.left(s.c.task) > 0 && s.r.o.Limiter.Retry(s.c.workspace.Name)
	}
	return false
}

// cut returns the refusal for a stream that ended after its first token.
func (s *streaming) cut(ae *AttemptError) error {
	if ae.Kind == FailMismatch {
		return refuser.New(refuser.AnswerMismatch, refuser.Ran,
			"the upstream mixed in the answer of another request after %d tokens; the answer is not whole", s.tokens)
	}
	return refuser.New(refuser.StreamCut, refuser.Ran,
		"the stream broke off after %d tokens (%s); the answer is not whole", s.tokens, ae.Kind)
}

// once streams one attempt into the sink.
func (s *streaming) once(ctx context.Context, a *Attempt) error {
	st, err := s.r.o.Upstreams.Open(ctx, a)
	if err != nil {
		return s.opened(asAttempt(err))
	}
	defer st.Close()
	for {
		k, err := st.Next()
		if errors.Is(err, io.EOF) {
			return s.begin() // An empty answer has not begun yet.
		}
		if err != nil {
			return asAttempt(err)
		}
		if err := s.take(k); err != nil {
			return err
		}
	}
}

// opened passes on a rejection of the request itself.
func (s *streaming) opened(ae *AttemptError) error {
	if ae.Kind != FailStatus || ae.Outcome == refuser.NotRun || s.begun {
		return ae
	}
	if err := judge(ae.Status, "application/json", ae.Body, ae.RetryAfter); err != nil {
		return err
	}
	return ae
}

// take counts a chunk and passes it on. Chunks before the first token are kept
// back, so that the attempt can still be repeated.
func (s *streaming) take(k Chunk) error {
	if k.Usage != nil {
		s.usage = k.Usage
	}
	s.tokens += k.Tokens
	if s.c.rated && s.text.Len() < maxRated {
		s.text.WriteString(k.Text)
	}
	if !s.begun && k.Tokens == 0 && s.size+len(k.Data) <= maxHeld {
		s.held = append(s.held, append([]byte(nil), k.Data...))
		s.size += len(k.Data)
		return nil
	}
	if err := s.begin(); err != nil {
		return err
	}
	if k.Tokens > 0 {
		s.paced()
	}
	if err := s.sink.Chunk(k.Data); err != nil {
		return &sinkError{err}
	}
	return nil
}

// begin starts the caller's answer, once.
func (s *streaming) begin() error {
	if s.begun {
		return nil
	}
	s.begun = true
	s.wait = s.r.o.Clock.Since(s.since)
	s.r.o.Scope.Record("router.firstToken", s.r.o.Clock.Since(s.c.began), "workspace", s.c.workspace.Name)
	if err := s.sink.Begin(s.c.notice); err != nil {
		return &sinkError{err}
	}
	for _, b := range s.held {
		if err := s.sink.Chunk(b); err != nil {
			return &sinkError{err}
		}
	}
	s.held = nil
	return nil
}
