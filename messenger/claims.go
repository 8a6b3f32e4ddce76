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
)

// maxEnded is the number of ended request IDs that are remembered.
const maxEnded = 1 << 14

var (
	_ router.Claims = (*Control)(nil)
	_ router.Pins   = (*Control)(nil)
)

// NotHeldError says that a claim did not belong to the request any more that
// finished or released it.
type NotHeldError struct{ RequestID string }

// endedRequests remembers the newest requests that have given up or released
// their claim. A request among them must not claim again: its release may
// still be under way and would free a claim that runs.
type endedRequests struct {
	mu    sync.Mutex
	ids   map[string]struct{}
	order []string
}

// Claim implements router.Claims. While the outcome of an attempt is unknown
// it asks again under the same request ID, to which the table gives the same
// answer. If it never learns the outcome, it gives the claim up: the request
// has not run, and a release follows in the background, so that the refusal
// notRun is accurate. The request ID must not be used for a claim again; the
// client refuses it.
func (c *Control) Claim(ctx context.Context, r claimer.Request) (claimer.Result, error) {
	if c.ended.has(r.RequestID) {
		return claimer.Result{}, refuser.New(refuser.NoQuorum, refuser.NotRun,
			"request %s has given up its claim; send the call again", r.RequestID)
	}
	a, err := c.Do(ctx, controller.Item{Claim: &r})
	var unknown *UncertainError
	switch {
	case errors.As(err, &unknown):
		c.ended.add(r.RequestID)
		c.postpone(controller.Item{Release: &controller.Release{Key: r.Key, RequestID: r.RequestID}})
		return claimer.Result{}, noQuorum(err)
	case err != nil:
		return claimer.Result{}, err
	case a.Claim == nil:
		return claimer.Result{}, &UncertainError{Err: errors.New("the answer has no claim")}
	}
	return *a.Claim, nil
}

// Finish implements router.Claims. If the outcome is unknown or the control
// group cannot be reached, the response is delivered in the background and
// the error says so.
func (c *Control) Finish(ctx context.Context, k claimer.Key, requestID string, resp claimer.Response) error {
	if len(resp.Body) > claimer.MaxResponse {
		resp.Body, resp.Truncated = nil, true
	}
	// The type comes from an upstream; the codec takes valid text only.
	resp.Type = strings.ToValidUTF8(resp.Type, "")
	it := controller.Item{Finish: &controller.Finish{Key: k, RequestID: requestID, Response: resp}}
	return c.settle(ctx, it, requestID)
}

// Release implements router.Claims. Like Finish it goes on in the background.
// The request ID must not be used for a claim again.
func (c *Control) Release(ctx context.Context, k claimer.Key, requestID string) error {
	c.ended.add(requestID)
	it := controller.Item{Release: &controller.Release{Key: k, RequestID: requestID}}
	return c.settle(ctx, it, requestID)
}

// settle delivers the end of a claim, in the background if need be. An item
// that the control group will not take is not tried again.
func (c *Control) settle(ctx context.Context, it controller.Item, requestID string) error {
	a, err := c.Do(ctx, it)
	var unknown *UncertainError
	r, refused := refuser.As(err)
	switch {
	case errors.As(err, &unknown), refused && r.Code == refuser.NoQuorum:
		c.postpone(it)
		return &UncertainError{Err: err}
	case err == nil && !a.Done:
		return &NotHeldError{RequestID: requestID}
	}
	return err
}

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("the control group holds no such claim of request %s; it was released, finished or pruned before", e.RequestID)
}

// Pin implements router.Pins. A pin of unknown outcome is harmless, since no
// session was told of it, and counts as not taken.
func (c *Control) Pin(ctx context.Context, p pinner.Pin) (pinner.Pin, error) {
	return c.pin(ctx, controller.Item{Pin: &p})
}

// Repin implements router.Pins. Asked again, it returns the pin that holds.
func (c *Control) Repin(ctx context.Context, old, p pinner.Pin) (pinner.Pin, error) {
	return c.pin(ctx, controller.Item{Repin: &controller.Repin{Old: old, New: p}})
}

func (c *Control) pin(ctx context.Context, it controller.Item) (pinner.Pin, error) {
	a, err := c.Do(ctx, it)
	var unknown *UncertainError
	switch {
	case errors.As(err, &unknown):
		return pinner.Pin{}, noQuorum(err)
	case err != nil:
		return pinner.Pin{}, err
	case a.Pin == nil:
		return pinner.Pin{}, &UncertainError{Err: errors.New("the answer has no pin")}
	}
	return *a.Pin, nil
}

// Bill delivers billing records and returns those that the ledger refused for
// good. After an error they must be delivered again, which is safe.
func (c *Control) Bill(ctx context.Context, recs []biller.Record) ([]biller.Refused, error) {
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
	if len(e.order) > maxEnded {
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
