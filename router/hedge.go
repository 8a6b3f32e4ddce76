package router

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"foxtailwall/declarer"
)

// result is the end of one of two attempts that run beside each other.
type result struct {
	ans *Answer
	err error
}

// hedged runs an attempt and, if it takes long, a second one on another
// replica. The first success stands and the other attempt is cancelled.
func (r *Router) hedged(ctx context.Context, t *task, j job, g target, tried []*declarer.Upstream) (*Answer, error) {
	if !j.hedges || r.o.HedgeAfter <= 0 {
		return r.attempt(ctx, j, g)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	ended := make(chan result, 2)
	run := func(g target) {
		wg.Go(func() {
			ans, err := r.attempt(ctx, j, g)
			ended <- result{ans, err}
		})
	}
	run(g)
	timer := r.o.Clock.NewTimer(r.o.HedgeAfter)
	defer timer.Stop()
	select {
	case x := <-ended:
		return x.ans, x.err
	case <-timer.C():
	}
	second := r.second(t, j, append(slices.Clone(tried), g.upstream))
	if second.upstream == nil {
		x := <-ended
		return x.ans, x.err
	}
	run(second)
	x := <-ended
	var ae *AttemptError
	if !errors.As(x.err, &ae) {
		return x.ans, x.err
	}
	t.note(ae)
	x = <-ended
	return x.ans, x.err
}

// second returns the target of a second attempt, without an upstream if there
// is no other replica or no budget.
func (r *Router) second(t *task, j job, tried []*declarer.Upstream) target {
	g, err := r.pick(t, j, tried)
	if err != nil || g.upstream == nil {
		return target{}
	}
	if !r.o.Limiter.Retry(t.workspace.Name) {
		g.done()
		return target{}
	}
	r.o.Scope.Counter("router.hedges").Inc(1)
	return g
}
