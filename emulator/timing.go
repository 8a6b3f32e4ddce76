package emulator

import (
	"slices"
	"time"
)

const (
	defaultSlots       = 16
	defaultBudget      = 512
	defaultMemory      = 64 << 10
	defaultPrefill     = 20000
	defaultStep        = 12 * time.Millisecond
	defaultPerSequence = 200 * time.Microsecond
	defaultMaxWaiting  = 256
)

type (
	// Timing is the time model of an engine; see the package comment. Zero
	// fields take defaults.
	Timing struct {
		// Slots is the number of requests batched at once.
		Slots int
		// Budget is the number of tokens processed in one step.
		Budget int
		// Memory is the number of tokens, prompts and answers, that the
		// running requests may hold.
		Memory int
		// Prefill is the number of prompt tokens processed in a second.
		Prefill float64
		// Step is the time in which every running request generates a token.
		Step time.Duration
		// PerSequence is added to a step for each request that generates a
		// token.
		PerSequence time.Duration
		// MaxWaiting bounds the requests waiting for a slot.
		MaxWaiting int
	}

	// Job is a request in a Batch.
	Job struct {
		// Priority orders waiting jobs, highest first.
		Priority int
		// Prompt and Output are in tokens.
		Prompt, Output int
		// Skip is the number of tokens of the answer that are generated
		// already (a resumed stream).
		Skip int
		// Prefix holds the hashes of the prompt's blocks.
		Prefix []uint64
		// Progress is called at the end of each step in which the job
		// produced a token.
		Progress func(j *Job, now time.Time)

		// Arrived, Started and Ended are set by the batch; zero means not yet.
		Arrived, Started, Ended time.Time
		// Cached is the number of prompt tokens found in the prefix cache.
		Cached int
		// Produced is the number of answer tokens generated, Skip included.
		Produced int

		done  int // prompt tokens processed or cached
		chunk int // prompt tokens in the current step
		step  bool
	}

	// Batch is the continuous batch of one engine, without a clock: the
	// caller asks Begin how long the next step takes and calls End when that
	// time has passed. It is not safe for use by several goroutines.
	Batch struct {
		// Cache is the prefix cache; nil means none.
		Cache *Cache

		timing  Timing
		waiting []*Job
		running []*Job
		held    int
	}
)

// Defaults returns t with its zero fields set.
func (t Timing) Defaults() Timing {
	set(&t.Slots, defaultSlots)
	set(&t.Budget, defaultBudget)
	set(&t.Memory, defaultMemory)
	set(&t.Prefill, defaultPrefill)
	set(&t.Step, defaultStep)
	set(&t.PerSequence, defaultPerSequence)
	set(&t.MaxWaiting, defaultMaxWaiting)
	return t
}

// NewBatch returns an empty batch.
func NewBatch(t Timing, c *Cache) *Batch { return &Batch{timing: t.Defaults(), Cache: c} }

// Add queues j. It returns false, and does nothing, if the queue is full or j
// can never fit into memory.
func (b *Batch) Add(j *Job, now time.Time) bool {
	if len(b.waiting) >= b.timing.MaxWaiting || j.size() > b.timing.Memory {
		return false
	}
	j.Arrived = now
	j.Produced = j.Skip
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].Priority < j.Priority {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, j)
	return true
}

// Remove takes j out, waiting or running.
func (b *Batch) Remove(j *Job) {
	if i := slices.Index(b.waiting, j); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
	if i := slices.Index(b.running, j); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.held -= j.size()
	}
}

// Begin admits waiting jobs, plans the next step and returns its duration. It
// returns false if there is nothing to do.
func (b *Batch) Begin(now time.Time) (time.Duration, bool) {
	b.admit(now)
	if len(b.running) == 0 {
		return 0, false
	}
	left, decoding, prefill := b.timing.Budget, 0, 0
	for _, j := range b.running {
		j.chunk, j.step = 0, false
		if j.done >= j.Prompt {
			j.step = true
			decoding++
			left--
		}
	}
	for _, j := range b.running {
		if j.step || left <= 0 {
			continue
		}
		j.chunk = min(j.Prompt-j.done, left)
		left -= j.chunk
		prefill += j.chunk
	}
	d := time.Duration(float64(prefill) / b.timing.Prefill * float64(time.Second))
	if decoding > 0 {
		d += b.timing.Step + time.Duration(decoding)*b.timing.PerSequence
	}
	return max(d, time.Microsecond), true
}

// End completes the step planned by Begin, removes the jobs that are complete
// and returns the number of tokens generated.
func (b *Batch) End(now time.Time) int {
	tokens := 0
	kept := make([]*Job, 0, len(b.running))
	for _, j := range b.running {
		if j.chunk > 0 {
			j.done += j.chunk
			j.chunk = 0
			j.step = j.done >= j.Prompt
			if j.step && b.Cache != nil {
				b.Cache.Insert(j.Prefix, now)
			}
		}
		if j.step {
			j.step = false
			j.Produced = min(j.Produced+1, j.Output)
			tokens++
		}
		if j.Produced < j.Output {
			kept = append(kept, j)
		} else {
			j.Ended = now
			b.held -= j.size()
		}
	}
	stepped := b.running
	b.running = kept
	for _, j := range stepped {
		j.notify(now)
	}
	return tokens
}

// Running returns the number of running jobs.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns the number of waiting jobs.
func (b *Batch) Waiting() int { return len(b.waiting) }

// Slots returns the number of jobs batched at once.
func (b *Batch) Slots() int { return b.timing.Slots }

func (b *Batch) admit(now time.Time) {
	for len(b.waiting) > 0 && len(b.running) < b.timing.Slots {
		j := b.waiting[0]
		if b.held+j.size() > b.timing.Memory {
			return
		}
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.running = append(b.running, j)
		b.held += j.size()
		j.Started = now
		if b.Cache != nil {
			// At least the last token of a prompt is always processed.
			j.Cached = min(b.Cache.Match(j.Prefix)*BlockTokens, max(j.Prompt-1, 0))
			j.done = j.Cached
		}
	}
}

func (j *Job) size() int { return j.Prompt + j.Output }

func (j *Job) notify(now time.Time) {
	if j.Progress != nil && j.Produced > j.Skip {
		j.Progress(j, now)
	}
}

func set[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
