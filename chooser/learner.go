package chooser

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"foxtailwall/buffer"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/timekeeper"
)

const (
	// defaultHalfLife is the time in which the weight of a rating halves. It
	// is what widens the bounds when the rating service is silent.
	defaultHalfLife = 12 * time.Hour
	// defaultPriorWeight is the number of ratings that a declared quality
	// stands for.
	defaultPriorWeight = 20
	// defaultPoolWeight bounds the number of ratings that those of the other
	// workspaces stand for, so that a workspace whose requests differ is
	// judged by its own ratings soon.
	defaultPoolWeight = 40
	// pendingRatings bounds the attempts whose rating may still arrive; at
	// 1,000 requests/s on a host it covers about two minutes.
	pendingRatings = 1 << 17
	// inTimeGain is the weight of one wait for a rating.
	inTimeGain = 0.02
)

type (
	// Settings configure a Learner. The zero value works.
	Settings struct {
		Clock timekeeper.Clock
		Scope counter.Scope
		// Seed makes the exploration repeatable.
		Seed uint64
		// HalfLife of ratings. Zero takes 12 h.
		HalfLife time.Duration
		// PriorWeight is the number of ratings that a declared quality stands
		// for. Zero takes 20.
		PriorWeight float64
		// PoolWeight bounds the number of ratings that other workspaces'
		// ratings stand for. Zero takes 40.
		PoolWeight float64
	}

	// Run is one step of a plan that ran to its end.
	Run struct {
		Workspace string
		Kind      declarer.Kind
		Ref       declarer.VersionRef
		// Step is the position of the version in the plan. The requests that
		// reach a second step are those that a first one failed, so their
		// ratings are kept apart.
		Step         int
		InputTokens  int64
		OutputTokens int64
		// Took is the time to the end of the response.
		Took time.Duration
	}

	// Learner holds the pass rates, token counts and latencies learned on this
	// host. It is safe for concurrent use. Make it with NewLearner.
	Learner struct {
		set     Settings
		mu      sync.Mutex
		rng     *rand.Rand
		source  rand.Source
		rates   map[rateKey]*ratings
		usage   map[usageKey]*usage
		kinds   map[declarer.Kind]*kindUsage
		pending *buffer.LRU[string, rateKey]
		shares  map[string]*exploration
		scratch []estimate
	}

	// estimate is what is known of one candidate for one request.
	estimate struct {
		candidate       Candidate
		rate, escalated passRate
		// cost is in nanos; latency and p95 are in seconds.
		cost, latency, p95 float64
	}

	// exploration bounds the explored share of one workspace's requests.
	exploration struct{ requests, explored float64 }
)

// NewLearner returns a learner that knows nothing but declared qualities.
func NewLearner(s Settings) *Learner {
	if s.Clock == nil {
		s.Clock = timekeeper.System{}
	}
	if s.HalfLife <= 0 {
		s.HalfLife = defaultHalfLife
	}
	if s.PriorWeight <= 0 {
		s.PriorWeight = defaultPriorWeight
	}
	if s.PoolWeight <= 0 {
		s.PoolWeight = defaultPoolWeight
	}
	source := rand.NewPCG(s.Seed, s.Seed)
	return &Learner{
		set: s, source: source, rng: rand.New(source),
		rates: make(map[rateKey]*ratings), usage: make(map[usageKey]*usage),
		kinds: make(map[declarer.Kind]*kindUsage), shares: make(map[string]*exploration),
		pending: buffer.NewLRU[string, rateKey](pendingRatings),
	}
}

// Ran notes a step that ran. The ID is the one under which its rating will
// arrive.
func (l *Learner) Ran(id string, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending.Put(id, rateKey{r.Workspace, r.Kind, r.Ref, min(r.Step, 1)})
	l.usageOf(r.Kind, r.Ref).add(r)
	l.kindOf(r.Kind).add(r)
}

// Rate takes a rating, however late. It reports whether the ID belongs to a
// step that ran here and was not rated before.
func (l *Learner) Rate(id string, pass bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.pending.Peek(id)
	if !ok {
		l.set.Scope.Counter("chooser.ratingsUnknown").Inc(1)
		return false
	}
	l.pending.Remove(id)
	now := l.set.Clock.Now()
	l.ratingsOf(k).add(pass, now, l.set.HalfLife)
	k.workspace = ""
	l.ratingsOf(k).add(pass, now, l.set.HalfLife)
	return true
}

// Waited notes whether a rating that a cascade waited for came in time.
func (l *Learner) Waited(kind declarer.Kind, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kindOf(kind)
	v := 0.0
	if inTime {
		v = 1
	}
	k.inTime += inTimeGain * (v - k.inTime)
}

// Accept reports whether a cascade may keep an answer of the candidate that
// was not rated in time.
func (l *Learner) Accept(w *declarer.Workspace, kind declarer.Kind, c Candidate) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate(w.Name, kind, c).lower >= w.Quality[kind]
}

// Quality returns the mean and the lower 90% bound of the version's pass rate.
func (l *Learner) Quality(workspace string, kind declarer.Kind, c Candidate) (mean, lower float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.rate(workspace, kind, c)
	return p.mean, p.lower
}

// estimates returns what is known of the assigned candidates, without those of
// last resort unless there are no others. Exploration draws the pass rates
// from their posteriors.
func (l *Learner) estimates(r Request, explores bool) []estimate {
	out := l.scratch[:0]
	for _, lastResort := range []bool{false, true} {
		for _, c := range r.Candidates {
			if c.Assigned && c.LastResort == lastResort {
				out = append(out, l.estimate(r, c, explores))
			}
		}
		if len(out) > 0 {
			break
		}
	}
	l.scratch = out
	return out
}

func (l *Learner) estimate(r Request, c Candidate, explores bool) estimate {
	e := estimate{candidate: c, rate: l.rate(r.Workspace.Name, r.Kind, c)}
	e.escalated = l.escalatedRate(r.Workspace.Name, r.Kind, c, e.rate)
	if explores {
		e.rate, e.escalated = e.rate.draw(l.source), e.escalated.draw(l.source)
	}
	k, u := l.kindOf(r.Kind), l.usageOf(r.Kind, c.Ref)
	input := k.input
	if r.PromptTokens > 0 {
		input = float64(r.PromptTokens)
	}
	e.cost = input*float64(c.Version.Price.InputNanos) + u.expectedOutput(k)*float64(c.Version.Price.OutputNanos)
	e.latency, e.p95 = u.expectedLatency(), u.p95()
	return e
}

// explores decides whether a request with so many choices explores, so that the explored share
// never exceeds the declared one.
func (l *Learner) explores(w *declarer.Workspace, choices int) bool {
	if w.Explore <= 0 || choices < 2 {
		return false
	}
	x, ok := l.shares[w.Name]
	if !ok {
		x = &exploration{}
		l.shares[w.Name] = x
	}
	x.requests++
	if x.explored+1 > w.Explore*x.requests || l.rng.Float64() > exploreEagerness*w.Explore {
		return false
	}
	x.explored++
	return true
}

// exploreEagerness above one lets chance fall behind the declared share and
// catch up, while the strict bound holds.
const exploreEagerness = 1.5

func (l *Learner) ratedInTime(kind declarer.Kind) float64 { return l.kindOf(kind).inTime }

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
