package router

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/google/uuid"

	"foxtailwall/claimer"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

const (
	// minClaimPoll and maxClaimPoll bound the interval between two calls to the
	// control group for the same claim. The interval doubles after each call.
	minClaimPoll = 20 * time.Millisecond
	maxClaimPoll = 500 * time.Millisecond
	// uuidLength is the length of the canonical form of a UUID. uuid.Parse
	// accepts other forms too, in which one UUID would make several keys.
	uuidLength = 36
)

// checkIdempotencyKey checks the form of an idempotency key, so that a
// malformed key is refused without a call to the control group.
func checkIdempotencyKey(key string) error {
	if key == "" {
		return refuser.New(refuser.KeyRequired, refuser.NotRun,
			"this call is not idempotent: send a new UUIDv7 in Idempotency-Key, and repeat it when you resend the call")
	}
	u, err := uuid.Parse(key)
	if err != nil || len(key) != uuidLength || u.Version() != 7 || u.String() != key {
		return refuser.New(refuser.KeyInvalid, refuser.NotRun,
			"the Idempotency-Key must be a UUIDv7 in lower case, such as 0197f5d8-6c3a-7b6e-9d43-0f4c2a5b7e10")
	}
	return nil
}

// callDigest returns a digest of method, path, query and body. A resend under
// the same key must have the same digest.
func callDigest(req *CallRequest) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Method), []byte(req.Path), []byte(req.Query), req.Body} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // A hash never fails to write.
		_, _ = h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// callWithClaim runs a non-idempotent call under a claim of its key. If
// another request holds the claim, it waits for the outcome of that request.
func (r *Router) callWithClaim(ctx context.Context, c *call) (*CallAnswer, error) {
	if r.opts.Claims == nil {
		return nil, refuser.New(refuser.NoQuorum, refuser.NotRun, "this host cannot reach the control group; retry later")
	}
	claimReq := claimer.Request{
		Key:    claimer.Key{Workspace: c.workspace.Name, Service: c.req.Service, Key: c.req.Key},
		Digest: callDigest(c.req), RequestID: c.id, Owner: r.opts.Host,
	}
	seenRunning := false // Whether the claim belongs to another running request.
	for wait := minClaimPoll; ; wait = min(2*wait, maxClaimPoll) {
		claimReq.Timeout = r.timeLeft(c.task)
		res, err := r.acquireClaim(ctx, claimReq)
		if err != nil && seenRunning {
			return nil, stillRunningRefusal()
		}
		if err != nil {
			return nil, err
		}
		if res.State == claimer.Granted {
			return r.runClaimed(ctx, c, claimReq.Key)
		}
		if res.State != claimer.Running {
			return answerFromClaim(res)
		}
		seenRunning = true
		if err := timekeeper.Sleep(ctx, r.opts.Clock, min(wait, claimReq.Timeout)); err != nil {
			return nil, stillRunningRefusal()
		}
	}
}

func stillRunningRefusal() error {
	return refuser.New(refuser.OutcomeUnknown, refuser.Unknown,
		"an earlier request with this key is still running; resend with the same key to get its outcome")
}

// acquireClaim requests the claim and retries for up to controlTimeout, since
// the control group may be changing its leader. After an error it is unknown
// whether the claim was stored. Every retry has the same request ID, so a
// running claim with this ID is its own.
func (r *Router) acquireClaim(ctx context.Context, claimReq claimer.Request) (claimer.Result, error) {
	if claimReq.Timeout <= 0 {
		return claimer.Result{}, refuser.New(refuser.DeadlineExceeded, refuser.NotRun,
			"the deadline passed before the key was claimed; resend with the same key")
	}
	bounded, release := withTimeout(ctx, r.opts.Clock, min(controlTimeout, claimReq.Timeout))
	defer release()
	var last error
	mayBeStored := false // Whether a failed call may have stored the claim.
	for wait := minClaimPoll; ; wait = min(2*wait, maxClaimPoll) {
		res, err := r.opts.Claims.Claim(bounded, claimReq)
		if err == nil {
			if res.State == claimer.Running && res.RequestID == claimReq.RequestID {
				res.State = claimer.Granted
			}
			return res, nil
		}
		last = err
		re, ok := refuser.As(err)
		mayBeStored = mayBeStored || !ok || re.Code != refuser.NoQuorum
		if timekeeper.Sleep(bounded, r.opts.Clock, wait) != nil {
			break
		}
	}
	r.opts.Scope.Counter("router.claimFailures").Inc(1)
	if mayBeStored {
		// A resend would wait for a stored claim although no request runs
		// under it.
		r.settleClaim(ctx, func(ctx context.Context) error { return r.opts.Claims.Release(ctx, claimReq.Key, claimReq.RequestID) })
	}
	return claimer.Result{}, refuser.New(refuser.NoQuorum, refuser.NotRun,
		"the control group did not confirm the claim, and the call was not sent (%v); resend with the same key", last)
}

// runClaimed runs the call under a granted claim. The call continues if the
// caller disconnects: otherwise its outcome would be lost, and a resend could
// only report that it is unknown. Only the end of this host cuts it off.
func (r *Router) runClaimed(ctx context.Context, c *call, key claimer.Key) (*CallAnswer, error) {
	ctx, done := withoutCaller(ctx)
	defer done()
	a, err := r.dispatchCall(ctx, c)
	if err != nil {
		if c.outcome == refuser.NotRun {
			r.settleClaim(ctx, func(ctx context.Context) error { return r.opts.Claims.Release(ctx, key, c.id) })
		}
		return nil, claimedCallError(c, err)
	}
	resp := claimer.Response{Status: a.Status, Type: a.Header.Get("Content-Type"), Body: a.Body}
	if len(resp.Body) > claimer.MaxResponse || a.Header.Get("Content-Encoding") != "" {
		resp.Body, resp.Truncated = nil, true
	}
	// Bill before finishing the claim: once the claim is finished, a resend
	// through another host returns the answer, and that host does not bill it.
	r.billCall(ctx, c)
	r.settleClaim(ctx, func(ctx context.Context) error { return r.opts.Claims.Finish(ctx, key, c.id, resp) })
	return &CallAnswer{Status: a.Status, Header: a.Header, Body: a.Body}, nil
}

// claimedCallError returns the refusal for a call that failed under its claim.
// If the call may have run, its outcome is unknown.
func claimedCallError(c *call, err error) error {
	if c.outcome == refuser.NotRun {
		return err
	}
	return refuser.New(refuser.OutcomeUnknown, refuser.Unknown,
		"the call may have run, but its answer was lost (%v); do not send it with a new key", err)
}

// settleClaim calls fn, which finishes or releases a claim, and retries it for
// up to controlTimeout. If all calls fail, the claim remains until its
// deadline and a resend gets an unknown outcome, which is always correct.
func (r *Router) settleClaim(ctx context.Context, fn func(context.Context) error) {
	bounded, release := withTimeout(context.WithoutCancel(ctx), r.opts.Clock, controlTimeout)
	defer release()
	for wait := minClaimPoll; ; wait = min(2*wait, maxClaimPoll) {
		if fn(bounded) == nil {
			return
		}
		if timekeeper.Sleep(bounded, r.opts.Clock, wait) != nil {
			break
		}
	}
	r.opts.Scope.Counter("router.claimsUnsettled").Inc(1)
}

// answerFromClaim returns the answer or refusal for a request whose key is
// claimed by another request.
func answerFromClaim(res claimer.Result) (*CallAnswer, error) {
	switch res.State {
	case claimer.Finished:
		return storedAnswer(res)
	case claimer.Reused:
		return nil, refuser.New(refuser.KeyReused, refuser.NotRun,
			"the Idempotency-Key was used for another call; send this one with a new key")
	case claimer.Expired:
		return nil, refuser.New(refuser.KeyExpired, refuser.Unknown,
			"the Idempotency-Key is older than the retention period of answers; an earlier call with it may have run, and this one was not sent")
	case claimer.Invalid:
		return nil, refuser.New(refuser.KeyInvalid, refuser.NotRun,
			"the Idempotency-Key must be a UUIDv7 that was generated just before the call")
	default:
		return nil, refuser.New(refuser.OutcomeUnknown, refuser.Unknown,
			"an earlier request with this key may have run, but its answer was lost")
	}
}

// storedAnswer returns the stored answer of a finished claim.
func storedAnswer(res claimer.Result) (*CallAnswer, error) {
	if res.Response == nil || res.Response.Truncated {
		return nil, refuser.New(refuser.AnswerNotStored, refuser.Ran,
			"the call ran as request %s, but its answer was not stored because it was too large or had a content encoding", res.RequestID)
	}
	h := http.Header{}
	if res.Response.Type != "" {
		h.Set("Content-Type", res.Response.Type)
	}
	return &CallAnswer{
		Status: res.Response.Status, Header: h, Body: res.Response.Body, Stored: true, OriginalID: res.RequestID,
	}, nil
}
