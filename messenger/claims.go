package messenger

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/controller"
	"foxtailwall/pinner"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

// maxEndedRequests is the number of request IDs that endedRequests keeps.
const maxEndedRequests = 1 << 14

var (
	_ router.Claims = (*ControlClient)(nil)
	_ router.Pins   = (*ControlClient)(nil)
)

// ClaimNotHeldError means that a request finished or released a claim that it
// no longer held.
type ClaimNotHeldError struct{ RequestID string }

// endedRequests holds the IDs of the latest requests that abandoned or
// released their claim. Such a request must not claim again: its release may
// still be in flight and would free the new claim while the request runs.
type endedRequests struct {
	mu    sync.Mutex
	ids   map[string]struct{}
	order []string
}

// Claim implements router.Claims. While the outcome of an attempt is unknown,
// it retries with the same request ID, for which the claim table returns the
// same result. If the outcome is still unknown when ctx ends, it abandons the
// claim: the request does not run and a release is sent in the background, so
// that the refusal notRun is accurate. Later claims with the same request ID
// are refused.
func (c *ControlClient) Claim(ctx context.Context, r claimer.Request) (claimer.Result, error) {
	if c.ended.has(r.RequestID) {
		return claimer.Result{}, refuser.New(refuser.NoQuorum, refuser.NotRun,
			"the claim of request %s was abandoned or released; send the call again", r.RequestID)
	}
	a, err := c.submitClaim(ctx, r)
	var unknown *UncertainError
	switch {
	case errors.As(err, &unknown):
		c.ended.add(r.RequestID)
		c.enqueueBackground(controller.Item{Release: &controller.Release{Key: r.Key, RequestID: r.RequestID}})
		return claimer.Result{}, noQuorum(err)
	case err != nil:
		return claimer.Result{}, err
	case a.Claim == nil:
		return claimer.Result{}, &UncertainError{Err: errors.New("the response of the control group contains no claim")}
	}
	return *a.Claim, nil
}

// submitClaim submits a claim. After an attempt of unknown outcome it submits
// the claim again until its outcome is known or ctx ends; the error is then an
// *UncertainError, since the first attempt may still take effect.
func (c *ControlClient) submitClaim(ctx context.Context, r claimer.Request) (controller.Answer, error) {
	var uncertain *UncertainError
	for {
		a, err := c.Do(ctx, controller.Item{Claim: &r})
		refusal, refused := refuser.As(err)
		switch {
		case errors.As(err, &uncertain):
		case uncertain == nil, err == nil, refused && refusal.Code != refuser.NoQuorum:
			return a, err
		}
		if timekeeper.Sleep(ctx, c.opts.Clock, roundPause) != nil {
			return controller.Answer{}, uncertain
		}
	}
}

// Finish implements router.Claims. If the outcome is unknown or no leader can
// be reached, it returns an *UncertainError and the response is delivered in
// the background.
func (c *ControlClient) Finish(ctx context.Context, k claimer.Key, requestID string, resp claimer.Response) error {
	if len(resp.Body) > claimer.MaxResponse {
		resp.Body, resp.Truncated = nil, true
	}
	// The content type comes from an upstream; the codec accepts only valid
	// UTF-8.
	resp.Type = strings.ToValidUTF8(resp.Type, "")
	it := controller.Item{Finish: &controller.Finish{Key: k, RequestID: requestID, Response: resp}}
	return c.endClaim(ctx, it, requestID)
}

// Release implements router.Claims. Like Finish it is retried in the
// background. The request ID must not be used for another claim.
func (c *ControlClient) Release(ctx context.Context, k claimer.Key, requestID string) error {
	c.ended.add(requestID)
	it := controller.Item{Release: &controller.Release{Key: k, RequestID: requestID}}
	return c.endClaim(ctx, it, requestID)
}

// endClaim submits a Finish or Release, in the background if the outcome is
// unknown or no leader can be reached. An item that the control group rejects
// is not retried.
func (c *ControlClient) endClaim(ctx context.Context, it controller.Item, requestID string) error {
	a, err := c.Do(ctx, it)
	var unknown *UncertainError
	r, refused := refuser.As(err)
	switch {
	case errors.As(err, &unknown), refused && r.Code == refuser.NoQuorum:
		c.enqueueBackground(it)
		return &UncertainError{Err: err}
	case err == nil && !a.OK:
		return &ClaimNotHeldError{RequestID: requestID}
	}
	return err
}

// Error implements error.
func (e *ClaimNotHeldError) Error() string {
	return fmt.Sprintf("the control group holds no claim for request %s; it was released, finished or pruned earlier", e.RequestID)
}

// Pin implements router.Pins. A pin of unknown outcome counts as not stored;
// if it was stored, it does no harm, since no session has received it.
func (c *ControlClient) Pin(ctx context.Context, p pinner.Pin) (pinner.Pin, error) {
	return c.submitPin(ctx, controller.Item{Pin: &p})
}

// Repin implements router.Pins. A repeated call returns the pin in force.
func (c *ControlClient) Repin(ctx context.Context, old, p pinner.Pin) (pinner.Pin, error) {
	return c.submitPin(ctx, controller.Item{Repin: &controller.Repin{Old: old, New: p}})
}

func (c *ControlClient) submitPin(ctx context.Context, it controller.Item) (pinner.Pin, error) {
	a, err := c.Do(ctx, it)
	var unknown *UncertainError
	switch {
	case errors.As(err, &unknown):
		return pinner.Pin{}, noQuorum(err)
	case err != nil:
		return pinner.Pin{}, err
	case a.Pin == nil:
		return pinner.Pin{}, &UncertainError{Err: errors.New("the response of the control group contains no pin")}
	}
	return *a.Pin, nil
}

// Bill submits billing records and returns those that the ledger has rejected
// permanently. After an error the records must be submitted again; submitting
// them twice is safe.
func (c *ControlClient) Bill(ctx context.Context, recs []biller.Record) ([]biller.RefusedRecord, error) {
	a, err := c.Do(ctx, controller.Item{Bill: &controller.Bill{Records: recs}})
	return a.Refused, err
}

func (e *endedRequests) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ids == nil {
		e.ids = make(map[string]struct{})
	}
	if _, ok := e.ids[id]; ok {
		return
	}
	e.ids[id] = struct{}{}
	e.order = append(e.order, id)
	if len(e.order) > maxEndedRequests {
		delete(e.ids, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *endedRequests) has(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.ids[id]
	return ok
}
