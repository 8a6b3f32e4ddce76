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
	// maxResumes limits how often an interrupted stream is resumed.
	maxResumes = 3
	// maxBufferedBytes limits the chunks buffered before the first token.
	maxBufferedBytes = 64 << 10
	// maxRatedTextBytes limits the text collected for the rating service. The
	// last chunk may exceed it.
	maxRatedTextBytes = 32 << 10
)

type (
	// chatStream holds the state of one streamed answer.
	chatStream struct {
		router        *Router
		chat          *chat
		sink          Sink
		pinned        pinnedStep
		buffered      [][]byte // Chunks received before the first token.
		bufferedBytes int
		begun         bool
		// firstAttemptID is the ID of the attempt that started the stream.
		// Resumed attempts refer to it.
		firstAttemptID string
		tokens         int64
		// usage is the token count reported by the engine, nil if it reported
		// none.
		usage           *Usage
		text            strings.Builder
		attemptBegan    time.Time
		firstTokenDelay time.Duration // From attemptBegan.
		gaps            tokenGaps
	}

	// sinkError is a failure to write the stream to the caller.
	sinkError struct{ err error }
)

// Error implements error.
func (e *sinkError) Error() string { return "the caller's connection failed: " + e.err.Error() }

// Unwrap returns the cause.
func (e *sinkError) Unwrap() error { return e.err }

// Stream serves a request whose answer is streamed into sink. Errors are a
// *refuser.Refusal or a *RejectedError; they can occur after the first chunk.
func (r *Router) Stream(ctx context.Context, req *ChatRequest, sink Sink) (err error) {
	defer r.countRequest(&req.Request, &err)
	t, release, err := r.admit(ctx, &req.Request, req.PromptTokens+req.MaxTokens, 0)
	if err != nil {
		return err
	}
	defer release()
	rated := r.opts.Ratings.WantsNext()
	c := &chat{task: t, req: req, stream: true, offerRating: rated, wantText: rated}
	s := &chatStream{router: r, chat: c, sink: sink}
	err = r.planAndRun(c, func(steps []declarer.VersionRef) error {
		return s.run(ctx, steps[0])
	})
	if err := s.finish(ctx, err); err != nil {
		return err
	}
	if err := sink.End(); err != nil {
		return refuser.New(refuser.StreamCut, refuser.Ran, "the caller disconnected before the end of the answer")
	}
	return nil
}

// finish bills the produced tokens before the caller sees the end of the
// stream, and offers a complete answer for rating.
func (s *chatStream) finish(ctx context.Context, err error) error {
	s.countGaps()
	if err == nil || s.tokens > 0 {
		s.chat.steps = []biller.Step{s.chat.billingStep(s.pinned.ref, s.billedUsage())}
		s.router.holdBill(ctx, s.chat.billingRecord(billEnding(ctx, err), s.router.opts.Clock.Now()))
	}
	if err == nil {
		s.router.reportStep(s.chat, s.pinned.ref, 0, s.billedUsage(), s.attemptBegan)
	}
	if err == nil && s.chat.offerRating {
		s.router.opts.Ratings.Offer(s.chat.newRateRequest(s.pinned.ref, s.text.String()))
	}
	if err != nil && isSinkError(err) {
		return refuser.New(refuser.StreamCut, refuser.Ran, "the caller disconnected before the end of the answer")
	}
	return err
}

// billEnding returns how the stream ended for its billing record.
func billEnding(ctx context.Context, err error) biller.Ending {
	switch {
	case err == nil:
		return biller.Complete
	case isSinkError(err) || ctx.Err() != nil && !IsCutOff(ctx):
		return biller.Cancelled
	default:
		return biller.Cut
	}
}

// billedUsage returns the tokens to bill: the count reported by the engine, or
// that of this host if the engine reported none. The engine's count for a
// resumed stream may omit the tokens before the interruption, so the larger
// count is used.
func (s *chatStream) billedUsage() Usage {
	if s.usage == nil {
		return Usage{Input: s.chat.req.PromptTokens, Output: s.tokens}
	}
	return Usage{Input: s.usage.Input, Output: max(s.usage.Output, s.tokens)}
}

// run pins the session to a version of the planned model and streams the
// answer of that version.
func (s *chatStream) run(ctx context.Context, ref declarer.VersionRef) error {
	p, err := s.router.pinStep(ctx, s.chat.catalog, s.chat.req, s.chat.session, ref)
	if err != nil {
		return err
	}
	s.pinned = p
	s.chat.mergeSessionInfo(p.SessionInfo)
	s.chat.info.Tokens = s.chat.sessionTokens()
	op := s.router.newChatOperation(s.chat, p.ref)
	op.send = s.streamAttempt
	_, err = s.router.runAttempts(ctx, s.chat.task, op)
	return err
}

// streamAttempt streams one attempt into the sink and resumes it after an
// interruption if possible. It returns an *AttemptError only if nothing has
// reached the caller.
func (s *chatStream) streamAttempt(ctx context.Context, tgt target) (*Answer, Observation, error) {
	s.buffered, s.bufferedBytes, s.tokens, s.usage = nil, 0, 0, nil
	s.text.Reset()
	s.attemptBegan = s.router.opts.Clock.Now()
	a := s.router.newChatAttempt(s.chat, s.pinned.ref, tgt)
	s.firstAttemptID = a.ID
	err := s.copyChunks(ctx, a)
	for n := 0; n < maxResumes && s.canResume(ctx, tgt, err); n++ {
		s.router.opts.Scope.Counter("router.resumes").Inc(1)
		a := s.router.newChatAttempt(s.chat, s.pinned.ref, target{id: s.chat.nextAttemptID(), upstream: tgt.upstream, newConn: true})
		a.Resume = s.firstAttemptID + ":" + strconv.FormatInt(s.tokens, 10)
		err = s.copyChunks(ctx, a)
	}
	obs := Observation{FirstByte: s.firstTokenDelay, Tokens: s.tokens}
	var ae *AttemptError
	if err == nil || !s.begun || !errors.As(err, &ae) {
		return nil, obs, err
	}
	obs.Fail = ae.Kind
	return nil, obs, s.cutRefusal(ae)
}

// canResume reports whether the stream was interrupted after its first token
// and the engine can resume it. It takes a retry from the budget of the
// workspace.
func (s *chatStream) canResume(ctx context.Context, tgt target, err error) bool {
	var ae *AttemptError
	if !s.begun || !tgt.upstream.Resumes || ctx.Err() != nil || !errors.As(err, &ae) {
		return false
	}
	switch ae.Kind {
	case FailCut, FailReset, FailStalled, FailSilent, FailRefused:
		return s.router.timeLeft(s.chat.task) > 0 && s.router.opts.Limiter.Retry(s.chat.workspace.Name)
	}
	return false
}

// cutRefusal returns the refusal for a stream that failed after its first
// token.
func (s *chatStream) cutRefusal(ae *AttemptError) error {
	if ae.Kind == FailMismatch {
		return refuser.New(refuser.AnswerMismatch, refuser.Ran,
			"the upstream sent part of the answer to another request after %d tokens; the answer is incomplete", s.tokens)
	}
	return refuser.New(refuser.StreamCut, refuser.Ran,
		"the stream was interrupted after %d tokens (%s); the answer is incomplete", s.tokens, ae.Kind)
}

// copyChunks opens the stream of one attempt and passes its chunks to the
// sink.
func (s *chatStream) copyChunks(ctx context.Context, a *Attempt) error {
	stream, err := s.router.opts.Upstreams.Open(ctx, a)
	if err != nil {
		return s.openError(toAttemptError(err))
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return s.beginAnswer() // Needed for an answer without tokens.
		}
		if err != nil {
			return toAttemptError(err)
		}
		if err := s.handleChunk(chunk); err != nil {
			return err
		}
	}
}

// openError returns the error for a stream that could not be opened. It turns
// the status of a rejected request into a *RejectedError.
func (s *chatStream) openError(ae *AttemptError) error {
	var rejected *RejectedError
	err := error(ae)
	if ae.Kind == FailStatus && ae.Outcome != refuser.NotRun && !s.begun {
		if serr := statusError(ae.Status, "application/json", ae.Body, ae.RetryAfter); serr != nil {
			err = serr
		}
	}
	if !errors.As(err, &rejected) {
		ae.Memory.Release()
	}
	return err
}

// handleChunk counts a chunk and passes it to the sink. Chunks before the
// first token are buffered, so that the attempt can still be repeated.
func (s *chatStream) handleChunk(chunk Chunk) error {
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	s.tokens += chunk.Tokens
	if s.chat.offerRating && s.text.Len() < maxRatedTextBytes {
		s.text.WriteString(chunk.Text)
	}
	if !s.begun && chunk.Tokens == 0 && s.bufferedBytes+len(chunk.Data) <= maxBufferedBytes {
		s.buffered = append(s.buffered, append([]byte(nil), chunk.Data...))
		s.bufferedBytes += len(chunk.Data)
		return nil
	}
	if err := s.beginAnswer(); err != nil {
		return err
	}
	if chunk.Tokens > 0 {
		s.recordTokenTime()
	}
	if err := s.sink.Chunk(chunk.Data); err != nil {
		return &sinkError{err}
	}
	return nil
}

// beginAnswer starts the caller's answer with the buffered chunks, unless it
// has started already.
func (s *chatStream) beginAnswer() error {
	if s.begun {
		return nil
	}
	s.begun = true
	s.firstTokenDelay = s.router.opts.Clock.Since(s.attemptBegan)
	s.router.opts.Scope.Record("router.firstToken", s.router.opts.Clock.Since(s.chat.began), "workspace", s.chat.workspace.Name)
	if err := s.sink.Begin(s.chat.info); err != nil {
		return &sinkError{err}
	}
	for _, b := range s.buffered {
		if err := s.sink.Chunk(b); err != nil {
			return &sinkError{err}
		}
	}
	s.buffered = nil
	return nil
}
