package isolator

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailwall/buffer"
	"foxtailwall/controller"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

const (
	// crashReportTime is how long a crash is reported, so that neither a lost
	// report nor a new leader misses it.
	crashReportTime = 3 * time.Second
	// maxReportedCrashes bounds the crashes in a report; the oldest are dropped.
	maxReportedCrashes = 128
	// maxSuccesses bounds the parts whose last success is remembered.
	maxSuccesses = 4096
)

type (
	// Recorder collects the evidence of one host. Make it with NewRecorder. It is
	// safe for use by several goroutines.
	Recorder struct {
		clock timekeeper.Clock

		mu      sync.Mutex
		crashes []recordedCrash
		// succeeded is when a request with the part last succeeded.
		succeeded *buffer.LRU[controller.PromptPart, time.Time]
		suspects  []controller.PromptPart
	}

	recordedCrash struct {
		Crash
		at time.Time
	}
)

// NewRecorder returns a recorder without evidence.
func NewRecorder(clock timekeeper.Clock) *Recorder {
	return &Recorder{clock: clock, succeeded: buffer.NewLRU[controller.PromptPart, time.Time](maxSuccesses)}
}

// RecordBroken records that an upstream's connection ended before the end of its
// response. The parts are those that requests share, in the order of the prompt.
func (r *Recorder) RecordBroken(service string, upstream tracker.Key, requestID string, parts []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for i, id := range parts {
		r.crashes = append(r.crashes, recordedCrash{at: now, Crash: Crash{
			Part: controller.PromptPart{Service: service, ID: id}, Depth: len(parts) - i,
			Upstream: upstream.Hash(), Request: xxhash.Sum64String(requestID),
		}})
	}
	if extra := len(r.crashes) - maxReportedCrashes; extra > 0 {
		r.crashes = slices.Delete(r.crashes, 0, extra)
	}
}

// RecordSuccess records that a request with these parts got its whole response.
func (r *Recorder) RecordSuccess(service string, parts []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, id := range parts {
		r.succeeded.Put(controller.PromptPart{Service: service, ID: id}, now)
	}
}

// SetSuspects replaces the suspects that the leader has announced.
func (r *Recorder) SetSuspects(suspects []controller.PromptPart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects = suspects
}

// Evidence returns the evidence to report.
func (r *Recorder) Evidence() Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.crashes = slices.DeleteFunc(r.crashes, func(c recordedCrash) bool { return now.Sub(c.at) > crashReportTime })
	var e Evidence
	for _, c := range r.crashes {
		c.Age = now.Sub(c.at)
		e.Crashes = append(e.Crashes, c.Crash)
	}
	for _, part := range r.suspects {
		if at, ok := r.succeeded.Peek(part); ok {
			e.Successes = append(e.Successes, Success{Part: part, Age: now.Sub(at)})
		}
	}
	return e
}
