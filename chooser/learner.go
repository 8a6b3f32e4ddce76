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
	// defaultHalfLife is the time after which a rating counts half. The decay
	// widens the bounds while the rating service is silent.
	defaultHalfLife = 12 * time.Hour
	// defaultPriorWeight is the number of ratings that a declared quality
	// counts as.
	defaultPriorWeight = 20
	// defaultPoolWeight bounds the number of ratings that the ratings of other
	// workspaces count as, so that a workspace with different requests is soon
	// judged by its own ratings.
	defaultPoolWeight = 40
	// maxPendingRatings bounds the steps that wait for a rating; at 1,000
	// requests/s on a host it covers about two minutes.
	maxPendingRatings = 1 << 17
	// ratingWaitGain is the weight of one wait in the share of ratings that
	// arrive in time.
	ratingWaitGain = 0.02
	// exploreDrawFactor raises the probability of exploring above the declared
	// share, so that the explored share can catch up when it falls behind by
	// chance.
	exploreDrawFactor = 1.5
)

type (
	// Settings configure a Learner. The zero value works.
	Settings struct {
		Clock timekeeper.Clock
		Scope counter.Scope
		// Seed of the random exploration.
		Seed uint64
		// HalfLife of the weight of ratings. Zero means 12 h.
		HalfLife time.Duration
		// PriorWeight is the number of ratings that a declared quality counts
		// as. Zero means 20.
		PriorWeight float64
		// PoolWeight bounds the number of ratings that other workspaces'
		// ratings count as. Zero means 40.
		PoolWeight float64
	}

	// Run describes a completed step of a plan.
	Run struct {
		Workspace string
		Kind      declarer.Kind
		Ref       declarer.VersionRef
		// Step is the index of the version in the plan. Second steps get the
		// requests that a first step failed, so their ratings are kept apart.
		Step         int
		InputTokens  int64
		OutputTokens int64
		// Took is the time until the response was complete.
		Took time.Duration
	}

	// Learner holds the pass rates, token counts and latencies learned on this
	// host. It is safe for concurrent use. Make it with NewLearner.
	Learner struct {
		settings       Settings
		mu             sync.Mutex
		rng            *rand.Rand
		source         rand.Source
		rates          map[rateKey]*ratings
		usage          map[usageKey]*usage
		kinds          map[declarer.Kind]*kindUsage
		pending        *buffer.LRU[string, rateKey]
		explorations   map[string]*exploration
		estimateBuffer []estimate
	}

	// estimate holds the expected quality, cost and latency of one candidate
	// for one request.
	estimate struct {
		candidate Candidate
		// rate is the pass rate as a first step, escalated that as a second.
		rate, escalated passRate
		// cost is in nanos; latency and its 95th percentile p95 are in seconds.
		cost, latency, p95 float64
	}

	// exploration counts the requests of one workspace to bound the explored
	// share.
	exploration struct{ requests, explored float64 }
)

// NewLearner returns a Learner without ratings, which uses declared qualities.
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
		settings: s, source: source, rng: rand.New(source),
		rates: make(map[rateKey]*ratings), usage: make(map[usageKey]*usage),
		kinds: make(map[declarer.Kind]*kindUsage), explorations: make(map[string]*exploration),
		pending: buffer.NewLRU[string, rateKey](maxPendingRatings),
	}
}

// RecordStep records a completed step. Its rating arrives under the same ID.
func (l *Learner) RecordStep(id string, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending.Put(id, rateKey{r.Workspace, r.Kind, r.Ref, min(r.Step, 1)})
	l.usageFor(r.Kind, r.Ref).add(r)
	l.kindUsageFor(r.Kind).add(r)
}

// Rate records a rating, however late. It reports whether the ID belongs to an
// unrated step that ran on this host.
func (l *Learner) Rate(id string, pass bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.pending.Peek(id)
	if !ok {
		l.settings.Scope.Counter("chooser.ratingsUnknown").Inc(1)
		return false
	}
	l.pending.Remove(id)
	now := l.settings.Clock.Now()
	l.ratingsFor(k).add(pass, now, l.settings.HalfLife)
	k.workspace = ""
	l.ratingsFor(k).add(pass, now, l.settings.HalfLife)
	return true
}

// RecordRatingWait records whether a rating that a cascade waited for arrived in
// time.
func (l *Learner) RecordRatingWait(kind declarer.Kind, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.kindUsageFor(kind)
	sample := 0.0
	if inTime {
		sample = 1
	}
	usage.ratedInTime += ratingWaitGain * (sample - usage.ratedInTime)
}

// AcceptsUnrated reports whether a cascade may keep an answer of the candidate
// that was not rated in time: if the lower bound of its pass rate meets the
// target.
func (l *Learner) AcceptsUnrated(w *declarer.Workspace, kind declarer.Kind, c Candidate) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstStepRate(w.Name, kind, c).lower >= w.Quality[kind]
}

// Quality returns the mean and the lower 90% bound of the version's pass rate.
func (l *Learner) Quality(workspace string, kind declarer.Kind, c Candidate) (mean, lower float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.firstStepRate(workspace, kind, c)
	return p.mean, p.lower
}

// estimates returns the estimates of the assigned candidates, without those of
// last resort unless there are no others. To explore, pass rates are drawn from
// their posteriors. The result is valid until the next call.
func (l *Learner) estimates(r Request, explores bool) []estimate {
	estimates := l.estimateBuffer[:0]
	for _, lastResort := range []bool{false, true} {
		for _, c := range r.Candidates {
			if c.Assigned && c.LastResort == lastResort {
				estimates = append(estimates, l.estimate(r, c, explores))
			}
		}
		if len(estimates) > 0 {
			break
		}
	}
	l.estimateBuffer = estimates
	return estimates
}

func (l *Learner) estimate(r Request, c Candidate, explores bool) estimate {
	e := estimate{candidate: c, rate: l.firstStepRate(r.Workspace.Name, r.Kind, c)}
	e.escalated = l.escalatedRate(r.Workspace.Name, r.Kind, c, e.rate)
	if explores {
		e.rate, e.escalated = e.rate.draw(l.source), e.escalated.draw(l.source)
	}
	kindMeans, versionMeans := l.kindUsageFor(r.Kind), l.usageFor(r.Kind, c.Ref)
	input := kindMeans.input
	if r.PromptTokens > 0 {
		input = float64(r.PromptTokens)
	}
	e.cost = input*float64(c.Version.Price.InputNanos) + versionMeans.expectedOutput(kindMeans)*float64(c.Version.Price.OutputNanos)
	e.latency, e.p95 = versionMeans.expectedLatency(), versionMeans.p95()
	return e
}

// shouldExplore decides whether a request with the given number of choices
// explores, such that the explored share never exceeds the declared one.
func (l *Learner) shouldExplore(w *declarer.Workspace, choices int) bool {
	if w.Explore <= 0 || choices < 2 {
		return false
	}
	x, ok := l.explorations[w.Name]
	if !ok {
		x = &exploration{}
		l.explorations[w.Name] = x
	}
	x.requests++
	if x.explored+1 > w.Explore*x.requests || l.rng.Float64() > exploreDrawFactor*w.Explore {
		return false
	}
	x.explored++
	return true
}

func (l *Learner) inTimeShare(kind declarer.Kind) float64 { return l.kindUsageFor(kind).ratedInTime }

func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
