package chooser

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"foxtailwall/declarer"
)

const (
	// lowerBoundConfidence is the confidence level of the lower bound.
	lowerBoundConfidence = 0.9
	// passRateMaxAge is the time for which a computed pass rate is cached; the
	// inverse of the Beta distribution takes several microseconds.
	passRateMaxAge = time.Second
	// minQuality and maxQuality bound the prior, so that ratings can still
	// disprove a declared quality of 0 or 1.
	minQuality, maxQuality = 0.02, 0.98
	// escalatedDiscount is the prior pass rate of a second step, relative to
	// that of the same version as a first step. It is below one because the
	// requests that a cheap model failed are harder.
	escalatedDiscount = 0.75
)

type (
	// rateKey identifies a pass rate. An empty workspace means all workspaces;
	// step is 0 for a first and 1 for a second step.
	rateKey struct {
		workspace string
		kind      declarer.Kind
		ref       declarer.VersionRef
		step      int
	}

	// ratings counts passed and failed ratings with exponential decay.
	ratings struct {
		pass, fail float64
		// decayedAt is the time to which pass and fail are decayed.
		decayedAt time.Time
		// cached is the pass rate computed at cachedAt.
		cached   passRate
		cachedAt time.Time
	}

	// passRate is a Beta posterior with its moments and lower 90% bound.
	passRate struct {
		alpha, beta    float64
		mean, variance float64
		lower          float64
	}
)

func (r *ratings) add(pass bool, now time.Time, halfLife time.Duration) {
	r.applyDecay(now, halfLife)
	if pass {
		r.pass++
	} else {
		r.fail++
	}
	r.cachedAt = time.Time{}
}

func (r *ratings) applyDecay(now time.Time, halfLife time.Duration) {
	if now.After(r.decayedAt) {
		factor := decayFactor(now.Sub(r.decayedAt), halfLife)
		r.pass *= factor
		r.fail *= factor
		r.decayedAt = now
	}
}

func (l *Learner) ratingsFor(k rateKey) *ratings {
	r, ok := l.rates[k]
	if !ok {
		r = &ratings{decayedAt: l.settings.Clock.Now()}
		l.rates[k] = r
	}
	return r
}

// firstStepRate returns the posterior pass rate of a version as a first step.
func (l *Learner) firstStepRate(workspace string, kind declarer.Kind, c Candidate) passRate {
	return l.posterior(rateKey{workspace, kind, c.Ref, 0}, c.Version.Quality)
}

// escalatedRate returns the posterior pass rate of a version as a second step.
// Its prior is the discounted mean of the version as a first step instead of
// the declared quality.
func (l *Learner) escalatedRate(workspace string, kind declarer.Kind, c Candidate, asFirst passRate) passRate {
	return l.posterior(rateKey{workspace, kind, c.Ref, 1}, escalatedDiscount*asFirst.mean)
}

// posterior combines three levels: the prior quality, the ratings of the other
// workspaces, and those of the workspace itself. Each level is the prior of the
// next. The first two together weigh at most PoolWeight ratings, or PriorWeight
// if that is larger.
func (l *Learner) posterior(k rateKey, prior float64) passRate {
	own := l.ratingsFor(k)
	now := l.settings.Clock.Now()
	if !own.cachedAt.IsZero() && now.Sub(own.cachedAt) < passRateMaxAge {
		return own.cached
	}
	k.workspace = ""
	pool := l.ratingsFor(k)
	own.applyDecay(now, l.settings.HalfLife)
	pool.applyDecay(now, l.settings.HalfLife)
	prior = min(max(prior, minQuality), maxQuality)
	alpha := l.settings.PriorWeight*prior + max(pool.pass-own.pass, 0)
	beta := l.settings.PriorWeight*(1-prior) + max(pool.fail-own.fail, 0)
	if scale := max(l.settings.PoolWeight, l.settings.PriorWeight) / (alpha + beta); scale < 1 {
		alpha, beta = alpha*scale, beta*scale
	}
	own.cached, own.cachedAt = newPassRate(alpha+own.pass, beta+own.fail), now
	return own.cached
}

func newPassRate(alpha, beta float64) passRate {
	d := distuv.Beta{Alpha: alpha, Beta: beta}
	return passRate{alpha: alpha, beta: beta, mean: d.Mean(), variance: d.Variance(), lower: d.Quantile(1 - lowerBoundConfidence)}
}

// draw returns a pass rate drawn from the posterior, with zero variance.
func (p passRate) draw(source rand.Source) passRate {
	x := distuv.Beta{Alpha: p.alpha, Beta: p.beta, Src: source}.Rand()
	return passRate{alpha: p.alpha, beta: p.beta, mean: x, lower: x}
}
