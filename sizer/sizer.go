// Package sizer chooses among models of different sizes that may answer the
// same request.
//
// The smallest model answers first. Its answer comes with its own opinion of
// how good it is, before the first byte reaches the caller; where that is too
// low, the answer is dropped and a larger model is asked. How low is too low
// depends on how busy the engines are: larger models take several times the
// time of an engine, and an answer that is late helps nobody.
//
// # Usage
//
//	var g sizer.Gauge
//	g.Note(key, firstByte, now)
//	next, ok := sizer.Next(sizer.Answer{Size: 0, Sizes: 3, Confidence: 31, Budget: 1, Pressure: g.Pressure(key, target, now)})
//	if ok {
//		// Drop the answer and ask the model of size next.
//	}
package sizer

import (
	"math"
	"sync"
	"time"
)

const (
	// enough is the confidence from which an answer is kept on idle engines,
	// in hundredths. An answer is as likely good as bad at 50; a larger model
	// costs about a seventh of what an answer is worth, so that one is asked
	// unless the answer is good with a probability of five sixths.
	enough = 65
	// doubtful is the confidence below which the next size would fail as well,
	// so that the largest is asked. An answer of a middle size is kept from
	// there on, since asking again costs a third attempt.
	doubtful = 45

	// easyPressure is the part of the target that the first byte takes up to
	// which engines count as idle, and hardPressure the part at which no
	// larger model is asked any more.
	easyPressure = 0.25
	hardPressure = 0.8

	// amplePart is the part of the budget of repeats from which it does not
	// matter. Below it the confidence from which an answer is kept falls, so
	// that the worst answers are asked for again and failures can be repeated.
	amplePart = 0.15

	// decay is the weight of the newest time in the mean.
	decay = 0.08
	// halfLife is the time after which half of a mean is forgotten that is not
	// measured again: where little is asked of a model because it was late, its
	// engines may have become idle.
	halfLife = time.Second
)

type (
	// Answer is what is known when an answer begins.
	Answer struct {
		// Size is the position of the model among so many Sizes.
		Size, Sizes int
		// Confidence goes from 0 to 100; below 0 it is not known.
		Confidence int
		// Pressure is the time that has passed, and that the largest model
		// usually takes to its first byte, as a part of the target.
		Pressure float64
		// Budget is the part of the budget of repeats that is left.
		Budget float64
	}

	// Gauge measures the time to the first byte by key. Its zero value is
	// ready to use. It is safe for use by several goroutines.
	Gauge struct {
		mu    sync.Mutex
		means map[Key]mean
	}

	mean struct {
		first time.Duration
		at    time.Time
	}

	// Key names what is measured apart.
	Key struct{ Service, Model string }
)

// Next returns the size to ask next, and false if the answer is to be kept.
func Next(a Answer) (int, bool) {
	keep := threshold(a.Pressure, a.Budget)
	if a.Size > 0 {
		keep = min(keep, doubtful)
	}
	if a.Confidence < 0 || a.Size+1 >= a.Sizes || a.Confidence >= keep {
		return a.Size, false
	}
	if a.Confidence >= doubtful {
		return a.Size + 1, true
	}
	return a.Sizes - 1, true
}

// threshold is the confidence from which an answer is kept. It falls under
// pressure and with the budget, so that only the worst answers are asked for
// again.
func threshold(pressure, budget float64) int {
	over := (pressure - easyPressure) / (hardPressure - easyPressure)
	idle := 1 - min(max(over, 0), 1)
	return int(enough * idle * min(max(budget, 0)/amplePart, 1))
}

// Note takes over the time to a first byte that came now.
func (g *Gauge) Note(k Key, first time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.means == nil {
		g.means = make(map[Key]mean)
	}
	usual := first
	if m, ok := g.means[k]; ok {
		usual = m.left(now)
	}
	g.means[k] = mean{first: usual + time.Duration(decay*float64(first-usual)), at: now}
}

// Pressure returns the usual time to the first byte as a part of the target, 0
// if nothing is known.
func (g *Gauge) Pressure(k Key, target time.Duration, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if target <= 0 {
		return 0
	}
	return float64(g.means[k].left(now)) / float64(target)
}

// left returns what is not forgotten of the mean.
func (m mean) left(now time.Time) time.Duration {
	return time.Duration(float64(m.first) * math.Exp2(-float64(now.Sub(m.at))/float64(halfLife)))
}
