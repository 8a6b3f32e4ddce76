// Package sizer decides whether to keep the response of a small model or to
// escalate the request to a larger one.
//
// The smallest model is asked first. It reports its confidence before the first
// byte reaches the caller; if that is too low, the response is discarded and a
// larger model is asked. The required confidence falls as the engines get
// busier: larger models take several times as much engine time, and a late
// response is of no use. Where the time that a larger model takes is known, it is
// asked only if that is in time.
//
// # Usage
//
//	var t sizer.LatencyTracker
//	t.Record(key, firstByte, now)
//	next, ok := sizer.NextSize(sizer.Response{Size: 0, Sizes: 3, Confidence: 31, RetryBudget: 1, LatencyRatio: t.LatencyRatio(key, target, now)})
//	if ok {
//		// Discard the response and ask the model of size next.
//	}
package sizer

import (
	"math"
	"sync"
	"time"
)

const (
	// keepConfidence is the confidence, in percent, from which a response is kept
	// on idle engines. At 50, a response is as likely good as bad. A larger model
	// costs about a seventh of what a response is worth, so one is asked unless
	// the response is good with a probability of five sixths.
	keepConfidence = 65
	// lowConfidence is the confidence below which the next size would fail as
	// well, so the largest is asked. At or above it, a response of a middle size
	// is kept, since escalating it would cost a third attempt.
	lowConfidence = 45

	// idleLatencyRatio is the fraction of the target latency taken by the first
	// byte up to which engines count as idle, and overloadLatencyRatio that from
	// which no larger model is asked.
	idleLatencyRatio     = 0.25
	overloadLatencyRatio = 0.8

	// ampleBudget is the fraction of the retry budget from which the budget has no
	// effect. Below it, the confidence from which a response is kept falls, so
	// that the worst responses are still escalated and failures can be retried.
	ampleBudget = 0.15

	// newSampleWeight is the weight of the latest time in the mean.
	newSampleWeight = 0.08
	// meanHalfLife is the half-life of a mean without new samples: a model that is
	// no longer asked because it was slow may have become idle.
	meanHalfLife = time.Second
)

type (
	// Response is what is known when a model's response begins.
	Response struct {
		// Size is the index of the model, from the smallest of Sizes models.
		Size, Sizes int
		// Confidence is from 0 to 100; negative if unknown.
		Confidence int
		// LatencyRatio is the elapsed time plus the largest model's usual time to the
		// first byte, as a fraction of the target latency.
		LatencyRatio float64
		// RetryBudget is the fraction of the retry budget that is left.
		RetryBudget float64
		// InTime reports whether the model of a size has room now and can answer in time;
		// nil if that is not known.
		InTime func(size int) bool
	}

	// LatencyTracker keeps a moving average of the time to the first byte by key.
	// Its zero value is ready to use. It is safe for concurrent use.
	LatencyTracker struct {
		mu    sync.Mutex
		means map[Key]latencyMean
	}

	latencyMean struct {
		firstByte time.Duration
		updatedAt time.Time
	}

	// Key identifies the measurements of one model of a service.
	Key struct{ Service, Model string }
)

// NextSize returns the index of the model to ask next, and false if the
// response is to be kept.
func NextSize(resp Response) (int, bool) {
	threshold := keepThreshold(resp.LatencyRatio, resp.RetryBudget)
	if resp.Size > 0 {
		threshold = min(threshold, lowConfidence)
	}
	if resp.Confidence < 0 || resp.Size+1 >= resp.Sizes || resp.Confidence >= threshold {
		return resp.Size, false
	}
	next := resp.Sizes - 1
	if resp.Confidence >= lowConfidence {
		next = resp.Size + 1
	}
	if resp.InTime != nil && !resp.InTime(next) {
		return resp.Size, false
	}
	return next, true
}

// keepThreshold returns the confidence from which a response is kept. It falls
// as latency rises and as the retry budget runs out, so that only the worst
// responses are escalated.
func keepThreshold(latencyRatio, retryBudget float64) int {
	load := (latencyRatio - idleLatencyRatio) / (overloadLatencyRatio - idleLatencyRatio)
	idle := 1 - min(max(load, 0), 1)
	return int(keepConfidence * idle * min(max(retryBudget, 0)/ampleBudget, 1))
}

// Record adds a time to the first byte that was measured at now.
func (t *LatencyTracker) Record(key Key, firstByte time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.means == nil {
		t.means = make(map[Key]latencyMean)
	}
	average := firstByte
	if m, ok := t.means[key]; ok {
		average = m.decayed(now)
	}
	t.means[key] = latencyMean{firstByte: average + time.Duration(newSampleWeight*float64(firstByte-average)), updatedAt: now}
}

// LatencyRatio returns the mean time to the first byte as a fraction of the
// target, 0 if it is unknown.
func (t *LatencyTracker) LatencyRatio(key Key, target time.Duration, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target <= 0 {
		return 0
	}
	return float64(t.means[key].decayed(now)) / float64(target)
}

// decayed returns the mean reduced by the time since its last sample.
func (m latencyMean) decayed(now time.Time) time.Duration {
	return time.Duration(float64(m.firstByte) * math.Exp2(-float64(now.Sub(m.updatedAt))/float64(meanHalfLife)))
}
