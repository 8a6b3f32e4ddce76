package chooser

import (
	"math"
	"time"

	"foxtailwall/declarer"
)

const (
	// usageGain is the weight of one run in the means.
	usageGain = 0.05
	// firstInput and firstOutput are the token counts expected before any
	// request of a kind has run.
	firstInput, firstOutput = 500, 200
	// firstLatency is the latency in seconds expected of a version that has
	// not run.
	firstLatency = 2.0
	// latencyBuckets cover 1 ms to about 20 min in steps of a tenth.
	latencyBuckets  = 148
	latencyStep     = 1.1
	latencyLowest   = 0.001
	latencyQuantile = 0.95
	// latencyKept bounds the weight of the histogram: at this many runs all
	// counts are halved, so that it follows changes.
	latencyKept = 2000
	// latencyEnough is the number of runs below which the 95th percentile is
	// not less than firstLatency.
	latencyEnough = 20
)

type (
	usageKey struct {
		kind declarer.Kind
		ref  declarer.VersionRef
	}

	// usage is what runs of one version and kind took.
	usage struct {
		runs    int
		output  float64
		latency float64
		buckets [latencyBuckets]uint32
		total   uint32
	}

	// kindUsage is what runs of one kind took, whatever the version.
	kindUsage struct {
		runs          int
		input, output float64
		// inTime is the share of ratings that come while a cascade waits.
		inTime float64
	}
)

func (l *Learner) usageOf(kind declarer.Kind, ref declarer.VersionRef) *usage {
	k := usageKey{kind, ref}
	u, ok := l.usage[k]
	if !ok {
		u = &usage{latency: firstLatency}
		l.usage[k] = u
	}
	return u
}

func (l *Learner) kindOf(kind declarer.Kind) *kindUsage {
	k, ok := l.kinds[kind]
	if !ok {
		k = &kindUsage{input: firstInput, output: firstOutput, inTime: 1}
		l.kinds[kind] = k
	}
	return k
}

func (k *kindUsage) add(r Run) {
	k.runs++
	g := gain(k.runs)
	k.input += g * (float64(r.InputTokens) - k.input)
	k.output += g * (float64(r.OutputTokens) - k.output)
}

func (u *usage) add(r Run) {
	u.runs++
	g := gain(u.runs)
	u.output += g * (float64(r.OutputTokens) - u.output)
	u.latency += g * (r.Took.Seconds() - u.latency)
	u.buckets[bucket(r.Took)]++
	u.total++
	if u.total < latencyKept {
		return
	}
	u.total = 0
	for i := range u.buckets {
		u.buckets[i] /= 2
		u.total += u.buckets[i]
	}
}

// expectedOutput is that of the kind until the version has run.
func (u *usage) expectedOutput(k *kindUsage) float64 {
	if u.runs == 0 {
		return k.output
	}
	return u.output
}

func (u *usage) expectedLatency() float64 { return u.latency }

// p95 returns the upper edge in seconds of the bucket of the 95th percentile.
func (u *usage) p95() float64 {
	least := 0.0
	if u.runs < latencyEnough {
		least = firstLatency
	}
	want, seen := uint32(math.Ceil(latencyQuantile*float64(u.total))), uint32(0)
	for i, n := range u.buckets {
		seen += n
		if n > 0 && seen >= want {
			return max(latencyLowest*math.Pow(latencyStep, float64(i)), least)
		}
	}
	return least
}

// gain is 1/n for the first runs, so that the first guess has no weight once
// there is a run.
func gain(runs int) float64 { return max(1/float64(runs), usageGain) }

// bucket returns the index of the bucket whose upper edge is the first at or
// above d.
func bucket(d time.Duration) int {
	x := math.Log(d.Seconds()/latencyLowest) / math.Log(latencyStep)
	if !(x > 0) {
		return 0
	}
	return min(int(math.Ceil(x)), latencyBuckets-1)
}
