package chooser

import (
	"math"
	"time"

	"foxtailwall/declarer"
)

const (
	// usageGain is the weight of one run in the mean token counts and
	// latencies.
	usageGain = 0.05
	// initialInput and initialOutput are the token counts expected before any
	// request of a kind has run.
	initialInput, initialOutput = 500, 200
	// initialLatency is the latency in seconds expected of a version that has
	// not run.
	initialLatency = 2.0
	// latencyBuckets is the number of histogram buckets. Their upper edges grow
	// from minLatency (1 ms) by latencyBucketRatio each, to about 20 min.
	latencyBuckets     = 148
	latencyBucketRatio = 1.1
	minLatency         = 0.001
	latencyQuantile    = 0.95
	// maxLatencyRuns is the number of runs at which all counts of the histogram
	// are halved, so that it follows changes.
	maxLatencyRuns = 2000
	// minLatencyRuns is the number of runs below which p95 is at least
	// initialLatency.
	minLatencyRuns = 20
)

type (
	usageKey struct {
		kind declarer.Kind
		ref  declarer.VersionRef
	}

	// usage holds the means and the latency histogram of one version and kind.
	usage struct {
		runs int
		// output is in tokens, latency in seconds.
		output  float64
		latency float64
		buckets [latencyBuckets]uint32
		total   uint32
	}

	// kindUsage holds the means of one kind over all versions.
	kindUsage struct {
		runs          int
		input, output float64
		// ratedInTime is the share of ratings that arrive while a cascade
		// waits.
		ratedInTime float64
	}
)

func (l *Learner) usageFor(kind declarer.Kind, ref declarer.VersionRef) *usage {
	k := usageKey{kind, ref}
	u, ok := l.usage[k]
	if !ok {
		u = &usage{latency: initialLatency}
		l.usage[k] = u
	}
	return u
}

func (l *Learner) kindUsageFor(kind declarer.Kind) *kindUsage {
	k, ok := l.kinds[kind]
	if !ok {
		k = &kindUsage{input: initialInput, output: initialOutput, ratedInTime: 1}
		l.kinds[kind] = k
	}
	return k
}

func (k *kindUsage) add(r Run) {
	k.runs++
	g := runGain(k.runs)
	k.input += g * (float64(r.InputTokens) - k.input)
	k.output += g * (float64(r.OutputTokens) - k.output)
}

func (u *usage) add(r Run) {
	u.runs++
	g := runGain(u.runs)
	u.output += g * (float64(r.OutputTokens) - u.output)
	u.latency += g * (r.Took.Seconds() - u.latency)
	u.buckets[latencyBucket(r.Took)]++
	u.total++
	if u.total < maxLatencyRuns {
		return
	}
	u.total = 0
	for i := range u.buckets {
		u.buckets[i] /= 2
		u.total += u.buckets[i]
	}
}

// expectedOutput returns the mean output tokens of the version, or of the kind
// until the version has run.
func (u *usage) expectedOutput(k *kindUsage) float64 {
	if u.runs == 0 {
		return k.output
	}
	return u.output
}

func (u *usage) expectedLatency() float64 { return u.latency }

// p95 returns the 95th percentile of the latency in seconds, as the upper edge
// of its bucket.
func (u *usage) p95() float64 {
	minimum := 0.0
	if u.runs < minLatencyRuns {
		minimum = initialLatency
	}
	rank, cumulative := uint32(math.Ceil(latencyQuantile*float64(u.total))), uint32(0)
	for i, n := range u.buckets {
		cumulative += n
		if n > 0 && cumulative >= rank {
			return max(minLatency*math.Pow(latencyBucketRatio, float64(i)), minimum)
		}
	}
	return minimum
}

// runGain returns the weight of the latest of the given number of runs. It is
// 1/runs for the first ones, so that the initial value has no weight after the
// first run.
func runGain(runs int) float64 { return max(1/float64(runs), usageGain) }

// latencyBucket returns the index of the first bucket whose upper edge is at or
// above d.
func latencyBucket(d time.Duration) int {
	index := math.Log(d.Seconds()/minLatency) / math.Log(latencyBucketRatio)
	if !(index > 0) {
		return 0
	}
	return min(int(math.Ceil(index)), latencyBuckets-1)
}
