package emulator

import (
	"slices"
	"time"
)

const (
	defaultSlots        = 16
	defaultStepTokens   = 512
	defaultMemoryTokens = 64 << 10
	defaultPrefillRate  = 20000
	defaultStep         = 12 * time.Millisecond
	defaultPerSequence  = 200 * time.Microsecond
	defaultMaxWaiting   = 256
)

type (
	// Timing holds the parameters of the time model in the package comment.
	// Zero fields take defaults.
	Timing struct {
		// Slots is the maximum number of requests in the batch.
		Slots int
		// Budget is the maximum number of tokens processed in one step.
		Budget int
		// Memory is the maximum number of tokens, prompts and answers
		// together, of the running requests.
		Memory int
		// Prefill is the number of prompt tokens processed per second.
		Prefill float64
		// Step is the base duration of a step that generates tokens.
		Step time.Duration
		// PerSequence is added for each request that generates a token.
		PerSequence time.Duration
		// MaxWaiting bounds the queue of requests.
		MaxWaiting int
	}

	// Job is a request in a Batch.
	Job struct {
		// Priority orders the queue, highest first.
		Priority int
		// Prompt and Output are lengths in tokens.
		Prompt, Output int
		// ResumedTokens is the number of answer tokens that an earlier, cut stream
		// already delivered.
		ResumedTokens int
		// Prefix holds the hashes of the prompt's blocks; see PrefixHashes.
		Prefix []uint64
		// Progress is called at the end of each step once the job has produced
		// a token after ResumedTokens.
		Progress func(j *Job, now time.Time)

		// Arrived, Started and Ended are set by the batch; zero means not yet.
		Arrived, Started, Ended time.Time
		// Cached is the number of prompt tokens found in the prefix cache.
		Cached int
		// Produced is the number of answer tokens generated, including ResumedTokens.
		Produced int

		processed int  // prompt tokens processed or cached
		chunk     int  // prompt tokens to process in the current step
		generates bool // whether the current step generates a token
	}

	// Batch simulates the continuous batching of one engine without a clock:
	// Begin returns the duration of the next step, and the caller calls End
	// after that time. It is not safe for concurrent use.
	Batch struct {
		// Cache is the prefix cache; nil means none.
		Cache *Cache

		timing     Timing
		waiting    []*Job
		running    []*Job
		heldTokens int
	}
)

// Defaults returns t with zero fields set to their defaults.
func (t Timing) Defaults() Timing {
	setDefault(&t.Slots, defaultSlots)
	setDefault(&t.Budget, defaultStepTokens)
	setDefault(&t.Memory, defaultMemoryTokens)
	setDefault(&t.Prefill, defaultPrefillRate)
	setDefault(&t.Step, defaultStep)
	setDefault(&t.PerSequence, defaultPerSequence)
	setDefault(&t.MaxWaiting, defaultMaxWaiting)
	return t
}

// NewBatch returns an empty batch. The cache may be nil.
func NewBatch(t Timing, c *Cache) *Batch { return &Batch{timing: t.Defaults(), Cache: c} }

// Add queues j. It returns false, without queueing, if the queue is full or j
// exceeds the memory of the batch.
func (b *Batch) Add(j *Job, now time.Time) bool {
	if len(b.waiting) >= b.timing.MaxWaiting || j.size() > b.timing.Memory {
		return false
	}
	j.Arrived = now
	j.Produced = j.ResumedTokens
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].Priority < j.Priority {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, j)
	return true
}

// Remove removes j from the queue or from the running jobs.
func (b *Batch) Remove(j *Job) {
	if i := slices.Index(b.waiting, j); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
	if i := slices.Index(b.running, j); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.heldTokens -= j.size()
	}
}

// Begin admits queued jobs, plans the next step and returns its duration. It
// returns false if no job is running.
func (b *Batch) Begin(now time.Time) (time.Duration, bool) {
	b.admit(now)
	if len(b.running) == 0 {
		return 0, false
	}
	budget, decoding, prefill := b.timing.Budget, 0, 0
	for _, j := range b.running {
		j.chunk, j.generates = 0, false
		if j.processed >= j.Prompt {
			j.generates = true
			decoding++
			budget--
		}
	}
	for _, j := range b.running {
		if j.generates || budget <= 0 {
			continue
		}
		j.chunk = min(j.Prompt-j.processed, budget)
		budget -= j.chunk
		prefill += j.chunk
	}
	d := time.Duration(float64(prefill) / b.timing.Prefill * float64(time.Second))
	if decoding > 0 {
		d += b.timing.Step + time.Duration(decoding)*b.timing.PerSequence
	}
	return max(d, time.Microsecond), true
}

// End applies the step planned by Begin, removes completed jobs and returns the
// number of tokens generated.
func (b *Batch) End(now time.Time) int {
	tokens := 0
	unfinished := make([]*Job, 0, len(b.running))
	for _, j := range b.running {
		if j.chunk > 0 {
			j.processed += j.chunk
			j.chunk = 0
			j.generates = j.processed >= j.Prompt
			if j.generates && b.Cache != nil {
				b.Cache.Insert(j.Prefix, now)
			}
		}
		if j.generates {
			j.generates = false
			j.Produced = min(j.Produced+1, j.Output)
			tokens++
		}
		if j.Produced < j.Output {
			unfinished = append(unfinished, j)
		} else {
			j.Ended = now
			b.heldTokens -= j.size()
		}
	}
	stepped := b.running
	b.running = unfinished
	for _, j := range stepped {
		j.notify(now)
	}
	return tokens
}

// Running returns the number of running jobs.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns the number of queued jobs.
func (b *Batch) Waiting() int { return len(b.waiting) }

// Slots returns the maximum number of running jobs.
func (b *Batch) Slots() int { return b.timing.Slots }

func (b *Batch) admit(now time.Time) {
	for len(b.waiting) > 0 && len(b.running) < b.timing.Slots {
		j := b.waiting[0]
		if b.heldTokens+j.size() > b.timing.Memory {
			return
		}
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.running = append(b.running, j)
		b.heldTokens += j.size()
		j.Started = now
		if b.Cache != nil {
			// The last token of a prompt is always processed.
			j.Cached = min(b.Cache.Match(j.Prefix)*BlockTokens, max(j.Prompt-1, 0))
			j.processed = j.Cached
		}
	}
}

func (j *Job) size() int { return j.Prompt + j.Output }

func (j *Job) notify(now time.Time) {
	if j.Progress != nil && j.Produced > j.ResumedTokens {
		j.Progress(j, now)
	}
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
