package router

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"foxtailwall/declarer"
)

// attemptResult is what one of two parallel attempts returned.
type attemptResult struct {
	ans *Answer
	err error
}

// runHedged runs an attempt and, after HedgeAfter without a result, a second
// one on another replica. It returns the first result that is not a failed
// attempt and cancels the other attempt.
func (r *Router) runHedged(ctx context.Context, t *task, op operation, tgt target, tried []*declarer.Upstream) (*Answer, error) {
	if !op.mayHedge || r.opts.HedgeAfter <= 0 {
		return r.runAttempt(ctx, op, tgt)
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan attemptResult, 2)
	defer releaseUnused(results)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	run := func(tgt target) {
		wg.Go(func() {
			ans, err := r.runAttempt(ctx, op, tgt)
			results <- attemptResult{ans, err}
		})
	}
	run(tgt)
	timer := r.opts.Clock.NewTimer(r.opts.HedgeAfter)
	defer timer.Stop()
	select {
	case res := <-results:
		return res.ans, res.err
	case <-timer.C():
	}
	if t.memory != nil && t.memory.Waiting() {
		// The replica has answered, and this host has no memory for the answer.
		r.opts.Scope.Counter("router.hedgesNotSent").Inc(1)
		res := <-results
		return res.ans, res.err
	}
	second := r.pickHedgeTarget(t, op, append(slices.Clone(tried), tgt.upstream))
	if second.upstream == nil {
		res := <-results
		return res.ans, res.err
	}
	run(second)
	res := <-results
	var ae *AttemptError
	if !errors.As(res.err, &ae) {
		return res.ans, res.err
	}
	t.recordFailure(ae)
	res = <-results
	return res.ans, res.err
}

// releaseUnused releases the memory of the answer that was not awaited, if there is one.
func releaseUnused(results <-chan attemptResult) {
	select {
	case res := <-results:
		if res.ans != nil {
			res.ans.Memory.Release()
		}
	default:
	}
}

// pickHedgeTarget returns the target of a second attempt. Its upstream is nil
// if no other replica or no retry budget is left.
func (r *Router) pickHedgeTarget(t *task, op operation, tried []*declarer.Upstream) target {
	tgt, err := r.pickTarget(t, op, tried)
	if err != nil || tgt.upstream == nil {
		return target{}
	}
	if !r.opts.Limiter.Retry(t.workspace.Name) {
		tgt.release()
		return target{}
	}
	r.opts.Scope.Counter("router.hedges").Inc(1)
	return tgt
}
