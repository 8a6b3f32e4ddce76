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

// retryShare is the share of requests that may be retried when no limiter is
// set; more would turn the overload of one pool into an overload of all.
const retryShare = 0.1

// retryFloor is the number of retries that a workspace always has in hand, so
// that a quiet one can retry its first request.
const retryFloor = 10.0

type (
	// plainLimiter bounds each workspace by its declared concurrency and
	// refuses the excess without a queue.
	plainLimiter struct {
		mu     sync.Mutex
		active map[string]int
		budget map[string]float64
	}

	// hashAssigner assigns by a hash of workspace, model and key.
	hashAssigner struct{}

	// cheapChooser plans one step: the cheapest candidate.
	cheapChooser struct{}

	// leastPicker picks the replica with the fewest attempts in flight from
	// this host, in the own zone if there is one.
	leastPicker struct {
		zone   string
		mu     sync.Mutex
		active map[string]int
		turn   int
	}

	// trustingMonitor holds every upstream for healthy.
	trustingMonitor struct{}

	// noRatings stands for a rating service that is out of reach.
	noRatings struct{}

	noLearner struct{}
)

// Admit implements Limiter.
func (l *plainLimiter) Admit(_ context.Context, a Admission) (func(), error) {
	name := a.Workspace.Name
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil {
		l.active, l.budget = make(map[string]int), make(map[string]float64)
	}
	if limit := a.Workspace.Concurrent; limit > 0 && l.active[name] >= limit {
		return nil, refuser.New(refuser.QueueFull, refuser.NotRun,
			"workspace %q has %d requests in flight, its limit; retry when one has ended", name, limit)
	}
	l.active[name]++
	b, ok := l.budget[name]
	if !ok {
		b = retryFloor
	}
	l.budget[name] = min(b+retryShare, retryFloor)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.active[name]--
	}, nil
}

// Retry implements Limiter.
func (l *plainLimiter) Retry(workspace string) bool {
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
	if stableFraction(workspace, m.Name, p.Version, key) < p.Share {
		return p.Version
	}
	return m.Stable
}

// stableFraction maps its arguments to a number from 0 up to 1 that is the
// same on every host.
func stableFraction(parts ...string) float64 {
	h := fnv.New128a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // A hash never fails to write.
		_, _ = h.Write([]byte{0})
	}
	return float64(binary.BigEndian.Uint64(h.Sum(nil))>>11) / (1 << 53)
}

// Plan implements Chooser.
func (cheapChooser) Plan(p PlanRequest) ([]declarer.VersionRef, error) {
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
func (cheapChooser) Accept(PlanRequest, declarer.VersionRef) bool { return false }

// Pick implements Picker.
func (l *leastPicker) Pick(p PickRequest) (*declarer.Upstream, func(), bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil {
		l.active = make(map[string]int)
	}
	l.turn++
	var best *declarer.Upstream
	for i := range p.Candidates {
		u := p.Candidates[(i+l.turn)%len(p.Candidates)]
		if p.Skip != nil && p.Skip(u) {
			continue
		}
		if best == nil || l.before(u, best) {
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

func (l *leastPicker) before(a, b *declarer.Upstream) bool {
	if (a.Zone == l.zone) != (b.Zone == l.zone) {
		return a.Zone == l.zone
	}
	return l.active[a.Name] < l.active[b.Name]
}

// Usable implements Monitor.
func (trustingMonitor) Usable(*declarer.Upstream) bool { return true }

// Report implements Monitor.
func (trustingMonitor) Report(*declarer.Upstream, Observation) {}

// Rate implements Ratings.
func (noRatings) Rate(context.Context, RateRequest, time.Duration) (Rating, bool) {
	return Rating{}, false
}

// Wants implements Ratings.
func (noRatings) Wants() bool { return false }

// Offer implements Ratings.
func (noRatings) Offer(RateRequest) {}

// Ran implements Learner.
func (noLearner) Ran(StepRun) {}

// Waited implements Learner.
func (noLearner) Waited(declarer.Kind, bool) {}

// Learn implements Learner.
func (noLearner) Learn(RateRequest, Rating) {}
