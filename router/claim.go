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
	// claimPoll and claimPollMax bound the wait between two calls of the
	// control group for the same claim. The wait doubles in between.
	claimPoll    = 20 * time.Millisecond
	claimPollMax = 500 * time.Millisecond
	// uuidLength is the length of a key's only accepted form; the parser
	// takes others, under which one UUID would have several keys.
	uuidLength = 36
)

// checkKey checks the form of an idempotency key, so that a malformed one
// costs no call of the control group.
func checkKey(key string) error {
	if key == "" {
		return refuser.New(refuser.KeyRequired, refuser.NotRun,
			"this call must not run twice: send a new UUIDv7 in Idempotency-Key, and the same one with a resend")
	}
	u, err := uuid.Parse(key)
	if err != nil || len(key) != uuidLength || u.Version() != 7 || u.String() != key {
		return refuser.New(refuser.KeyInvalid, refuser.NotRun,
			"the Idempotency-Key must be a UUIDv7 in lower case, such as 0197f5d8-6c3a-7b6e-9d43-0f4c2a5b7e10")
	}
	return nil
}

// digestOf returns the digest by which a resend is known to be the same call.
func digestOf(q *CallRequest) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(q.Method), []byte(q.Path), []byte(q.Query), q.Body} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // A hash never fails to write.
		_, _ = h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// claimed runs a call that must not run twice: claim, run, finish or release.
func (r *Router) claimed(ctx context.Context, c *call) (*CallAnswer, error) {
	if r.o.Claims == nil {
		return nil, refuser.New(refuser.NoQuorum, refuser.NotRun, "this host cannot reach the control group; retry later")
	}
	req := claimer.Request{
		Key:    claimer.Key{Workspace: c.workspace.Name, Service: c.q.Service, Key: c.q.Key},
		Digest: digestOf(c.q), RequestID: c.id, Owner: r.o.Host,
	}
	other := false // Another request with this key was seen running.
	for wait := claimPoll; ; wait = min(2*wait, claimPollMax) {
		req.Timeout = r.left(c.task)
		res, err := r.claim(ctx, req)
		if err != nil && other {
			return nil, stillRunning()
		}
		if err != nil {
			return nil, err
		}
		if res.State == claimer.Granted {
			return r.runClaimed(ctx, c, req.Key)
		}
		if res.State != claimer.Running {
			return fromClaim(res)
		}
		other = true
		if err := timekeeper.Sleep(ctx, r.o.Clock, min(wait, req.Timeout)); err != nil {
			return nil, stillRunning()
		}
	}
}

func stillRunning() error {
	return refuser.New(refuser.OutcomeUnknown, refuser.Unknown,
		"an earlier request with this key has not ended; resend with the same key to learn its outcome")
}

// claim asks for the claim, again and again while the control group may be
// changing its leader. After an error it stays open whether the claim was
// stored, so the next try has the same request ID: a claim that already names
// this request is its own.
func (r *Router) claim(ctx context.Context, req claimer.Request) (claimer.Result, error) {
	if req.Timeout <= 0 {
		return claimer.Result{}, refuser.New(refuser.DeadlineExceeded, refuser.NotRun,
			"the request ended before its key was claimed; resend with the same key")
	}
	bounded, release := within(ctx, r.o.Clock, min(controlWait, req.Timeout))
	defer release()
	var last error
	stored := false // A failed try may have stored the claim.
	for wait := claimPoll; ; wait = min(2*wait, claimPollMax) {
		res, err := r.o.Claims.Claim(bounded, req)
		if err == nil {
			if res.State == claimer.Running && res.RequestID == req.RequestID {
				res.State = claimer.Granted
			}
			return res, nil
		}
		last = err
		re, ok := refuser.As(err)
		stored = stored || !ok || re.Code != refuser.NoQuorum
		if timekeeper.Sleep(bounded, r.o.Clock, wait) != nil {
			break
		}
	}
	r.o.Scope.Counter("router.claimFailures").Inc(1)
	if stored {
		// A claim that was stored after all would make a resend wait for
		// nothing.
		r.settleClaim(ctx, func(ctx context.Context) error { return r.o.Claims.Release(ctx, req.Key, req.RequestID) })
	}
	return claimer.Result{}, refuser.New(refuser.NoQuorum, refuser.NotRun,
		"the control group did not confirm the claim, and the call was not sent (%v); resend with the same key", last)
}

// runClaimed runs the call under a granted claim. From here on the caller's
// leaving does not end the call: its outcome would be lost, and a resend could
// only be told that it is unknown.
func (r *Router) runClaimed(ctx context.Context, c *call, k claimer.Key) (*CallAnswer, error) {
	ctx = context.WithoutCancel(ctx)
	a, err := r.dispatch(ctx, c)
	if err != nil {
		if c.outcome == refuser.NotRun {
			r.settleClaim(ctx, func(ctx context.Context) error { return r.o.Claims.Release(ctx, k, c.id) })
		}
		return nil, claimedError(c, err)
	}
	resp := claimer.Response{Status: a.Status, Type: a.Header.Get("Content-Type"), Body: a.Body}
	if len(resp.Body) > claimer.MaxResponse || a.Header.Get("Content-Encoding") != "" {
		resp.Body, resp.Truncated = nil, true
	}
	// The bill comes first: once the claim is finished, a resend through
	// another host returns the answer, and that host has no bill for it.
	r.billCall(ctx, c)
	r.settleClaim(ctx, func(ctx context.Context) error { return r.o.Claims.Finish(ctx, k, c.id, resp) })
	return &CallAnswer{Status: a.Status, Header: a.Header, Body: a.Body}, nil
}

// claimedError returns the refusal for a call that failed under its claim.
func claimedError(c *call, err error) error {
	if c.outcome == refuser.NotRun {
		return err
	}
	return refuser.New(refuser.OutcomeUnknown, refuser.Unknown,
		"the call may have run, but its answer was lost (%v); do not send it under a new key", err)
}

// settleClaim tells the control group how a claim ended. If that fails, the
// claim stays as it is until its deadline and a resend is then told that the
// outcome is unknown, which is never wrong.
func (r *Router) settleClaim(ctx context.Context, fn func(context.Context) error) {
	bounded, release := within(context.WithoutCancel(ctx), r.o.Clock, controlWait)
	defer release()
	for wait := claimPoll; ; wait = min(2*wait, claimPollMax) {
		if fn(bounded) == nil {
			return
		}
		if timekeeper.Sleep(bounded, r.o.Clock, wait) != nil {
			break
		}
	}
	r.o.Scope.Counter("router.claimsUnsettled").Inc(1)
}

// fromClaim returns what a claim says to a request that does not own it.
func fromClaim(res claimer.Result) (*CallAnswer, error) {
	switch res.State {
	case claimer.Finished:
		return stored(res)
	case claimer.Reused:
		return nil, refuser.New(refuser.KeyReused, refuser.NotRun,
			"the Idempotency-Key was used for another call; send this one under a new key")
	case claimer.Expired:
		return nil, refuser.New(refuser.KeyExpired, refuser.Unknown,
			"the Idempotency-Key is older than answers are kept; a call with it may have run, and this one was not run again")
	case claimer.Invalid:
		return nil, refuser.New(refuser.KeyInvalid, refuser.NotRun,
			"the Idempotency-Key must be a UUIDv7 that was made just before the call")
	default:
		return nil, refuser.New(refuser.OutcomeUnknown, refuser.Unknown,
			"an earlier request with this key may have run, but its answer was lost")
	}
}

// stored returns the answer of the request that ran.
func stored(res claimer.Result) (*CallAnswer, error) {
	if res.Response == nil || res.Response.Truncated {
		return nil, refuser.New(refuser.AnswerNotStored, refuser.Ran,
			"the call ran as request %s, but its answer was too large or encoded and could not be stored", res.RequestID)
	}
	h := http.Header{}
	if res.Response.Type != "" {
		h.Set("Content-Type", res.Response.Type)
	}
	return &CallAnswer{
		Status: res.Response.Status, Header: h, Body: res.Response.Body, Stored: true, Origin: res.RequestID,
	}, nil
}
