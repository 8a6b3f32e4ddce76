package chooser

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"foxtailwall/declarer"
)

const (
	// confidence is that of the lower bound.
	confidence = 0.9
	// refresh is the time for which a computed bound is kept; the inverse of
	// the Beta distribution takes some microseconds.
	refresh = time.Second
	// minQuality and maxQuality keep declared qualities of 0 and 1 from
	// excluding that ratings prove them wrong.
	minQuality, maxQuality = 0.02, 0.98
	// escalatedDiscount is the prior pass rate of a second step, relative to
	// that of the same version as a first step: the requests that a cheap model
	// failed are harder.
	escalatedDiscount = 0.75
)

type (
	// rateKey names a pass rate. An empty workspace stands for all.
	rateKey struct {
		workspace string
		kind      declarer.Kind
		ref       declarer.VersionRef
		step      int
	}

	// ratings are counts that lose weight with age.
	ratings struct {
		pass, fail float64
		at         time.Time
		// cached is the pass rate computed at cachedAt.
		cached   passRate
		cachedAt time.Time
	}

	// passRate is a Beta posterior with its moments and lower bound.
	passRate struct {
		alpha, beta    float64
		mean, variance float64
		lower          float64
	}
)

func (r *ratings) add(pass bool, now time.Time, halfLife time.Duration) {
	r.age(now, halfLife)
	if pass {
		r.pass++
	} else {
		r.fail++
	}
	r.cachedAt = time.Time{}
}

func (r *ratings) age(now time.Time, halfLife time.Duration) {
	if now.After(r.at) {
		f := decay(now.Sub(r.at), halfLife)
		r.pass *= f
		r.fail *= f
		r.at = now
	}
}

func (l *Learner) ratingsOf(k rateKey) *ratings {
	r, ok := l.rates[k]
	if !ok {
		r = &ratings{at: l.set.Clock.Now()}
		l.rates[k] = r
	}
	return r
}

// rate returns the posterior of a first step.
func (l *Learner) rate(workspace string, kind declarer.Kind, c Candidate) passRate {
	return l.posterior(rateKey{workspace, kind, c.Ref, 0}, c.Version.Quality)
}

// escalatedRate returns the posterior of a second step. Its prior is the mean
// of the version as a first step, discounted, in place of the declared quality.
func (l *Learner) escalatedRate(workspace string, kind declarer.Kind, c Candidate, asFirst passRate) passRate {
	return l.posterior(rateKey{workspace, kind, c.Ref, 1}, escalatedDiscount*asFirst.mean)
}

// posterior combines three levels: the prior quality, the ratings of the other
// workspaces, and those of the workspace itself. Each level is the prior of
// the next; the weight of the second is bounded.
func (l *Learner) posterior(k rateKey, prior float64) passRate {
	own := l.ratingsOf(k)
	now := l.set.Clock.Now()
	if !own.cachedAt.IsZero() && now.Sub(own.cachedAt) < refresh {
		return own.cached
	}
	k.workspace = ""
	pool := l.ratingsOf(k)
	own.age(now, l.set.HalfLife)
	pool.age(now, l.set.HalfLife)
	prior = min(max(prior, minQuality), maxQuality)
	alpha := l.set.PriorWeight*prior + max(pool.pass-own.pass, 0)
	beta := l.set.PriorWeight*(1-prior) + max(pool.fail-own.fail, 0)
	if f := max(l.set.PoolWeight, l.set.PriorWeight) / (alpha + beta); f < 1 {
		alpha, beta = alpha*f, beta*f
	}
	own.cached, own.cachedAt = newPassRate(alpha+own.pass, beta+own.fail), now
	return own.cached
}

func newPassRate(alpha, beta float64) passRate {
	d := distuv.Beta{Alpha: alpha, Beta: beta}
	return passRate{alpha: alpha, beta: beta, mean: d.Mean(), variance: d.Variance(), lower: d.Quantile(1 - confidence)}
}

// draw returns a pass rate drawn from the posterior, as if it were certain.
func (p passRate) draw(source rand.Source) passRate {
	x := distuv.Beta{Alpha: p.alpha, Beta: p.beta, Src: source}.Rand()
	return passRate{alpha: p.alpha, beta: p.beta, mean: x, lower: x}
}
