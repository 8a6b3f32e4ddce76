package router

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"math"
	"sync"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

// retryRatio is the number of retries that each admitted request adds to the
// budget of its workspace when no limiter is set. A higher ratio would let the
// overload of one pool spread to all.
const retryRatio = 0.1

// retryBurst is the initial and maximum retry budget of a workspace. It lets a
// workspace with few requests retry its first one.
const retryBurst = 10.0

type (
	// concurrencyLimiter limits each workspace to its declared concurrency and
	// refuses further requests without queueing them.
	concurrencyLimiter struct {
		mu     sync.Mutex
		active map[string]int
		budget map[string]float64
	}

	// hashAssigner assigns versions by a hash of workspace, model, version and
	// key.
	hashAssigner struct{}

	// cheapestChooser plans one step, on the cheapest candidate.
	cheapestChooser struct{}

	// leastActivePicker picks the replica with the fewest attempts in flight from
	// this host, preferring replicas in the zone of this host.
	leastActivePicker struct {
		zone   string
		mu     sync.Mutex
		active map[string]int
		offset int
	}

	// alwaysUsableMonitor treats every upstream as healthy.
	alwaysUsableMonitor struct{}

	// noRatings returns no ratings, like an unreachable rating service.
	noRatings struct{}

	// nopLearner discards all results.
	nopLearner struct{}
)

// Admit implements Limiter.
func (l *concurrencyLimiter) Admit(_ context.Context, a Admission) (func(), error) {
	name := a.Workspace.Name
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil {
		l.active, l.budget = make(map[string]int), make(map[string]float64)
	}
	if limit := a.Workspace.Concurrent; limit > 0 && l.active[name] >= limit {
		return nil, refuser.New(refuser.QueueFull, refuser.NotRun,
			"workspace %q has reached its limit of %d concurrent requests; retry when one has ended", name, limit)
	}
	l.active[name]++
	b, ok := l.budget[name]
	if !ok {
		b = retryBurst
	}
	l.budget[name] = min(b+retryRatio, retryBurst)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.active[name]--
	}, nil
}

// Retry implements Limiter.
func (l *concurrencyLimiter) Retry(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.budget[workspace] < 1 {
		return false
	}
	l.budget[workspace]--
	return true
}

// Assign implements Assigner.
func (hashAssigner) Assign(c *declarer.Catalog, m *declarer.Model, workspace, key string) string {
	p := c.Rollout(m.Name)
	if p == nil || p.State != declarer.RolloutRunning {
		return m.Stable
	}
	if hashFraction(workspace, m.Name, p.Version, key) < p.Share {
		return p.Version
	}
	return m.Stable
}

// hashFraction hashes its arguments to a number in [0, 1) that is the same on
// every host.
func hashFraction(parts ...string) float64 {
	h := fnv.New128a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // A hash never fails to write.
		_, _ = h.Write([]byte{0})
	}
	return float64(binary.BigEndian.Uint64(h.Sum(nil))>>11) / (1 << 53)
}

// Plan implements Chooser.
func (cheapestChooser) Plan(p PlanRequest) ([]declarer.VersionRef, error) {
	best, bestCost := -1, int64(math.MaxInt64)
	for i, ref := range p.Candidates {
		v := p.Catalog.Version(ref)
		if v == nil {
			continue
		}
		out := max(p.OutputTokens, p.InputTokens)
		if cost := v.Price.InputNanos*p.InputTokens + v.Price.OutputNanos*out; cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return nil, refuser.New(refuser.ModelNotAllowed, refuser.NotRun,
			"workspace %q has no model for this request; allow one in the configuration", p.Workspace.Name)
	}
	return p.Candidates[best : best+1], nil
}

// Accept implements Chooser.
func (cheapestChooser) Accept(PlanRequest, declarer.VersionRef) bool { return false }

// Pick implements Picker.
func (l *leastActivePicker) Pick(p PickRequest) (*declarer.Upstream, func(), bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil {
		l.active = make(map[string]int)
	}
	l.offset++
	var best *declarer.Upstream
	for i := range p.Candidates {
		u := p.Candidates[(i+l.offset)%len(p.Candidates)]
		if p.Skip != nil && p.Skip(u) {
			continue
		}
		if best == nil || l.prefers(u, best) {
			best = u
		}
	}
	if best == nil {
		return nil, nil, false
	}
	name := best.Name
	l.active[name]++
	return best, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.active[name]--; l.active[name] == 0 {
			delete(l.active, name)
		}
	}, true
}

// prefers reports whether a is a better choice than b.
func (l *leastActivePicker) prefers(a, b *declarer.Upstream) bool {
	if (a.Zone == l.zone) != (b.Zone == l.zone) {
		return a.Zone == l.zone
	}
	return l.active[a.Name] < l.active[b.Name]
}

// Usable implements Monitor.
func (alwaysUsableMonitor) Usable(*declarer.Upstream) bool { return true }

// Report implements Monitor.
func (alwaysUsableMonitor) Report(*declarer.Upstream, Observation) {}

// Rate implements Ratings.
func (noRatings) Rate(context.Context, RateRequest, time.Duration) (Rating, bool) {
	return Rating{}, false
}

// WantsNext implements Ratings.
func (noRatings) WantsNext() bool { return false }

// Offer implements Ratings.
func (noRatings) Offer(RateRequest) {}

// RecordStep implements Learner.
func (nopLearner) RecordStep(StepRun) {}

// RecordRatingWait implements Learner.
func (nopLearner) RecordRatingWait(declarer.Kind, bool) {}

// RecordRating implements Learner.
func (nopLearner) RecordRating(RateRequest, Rating) {}
