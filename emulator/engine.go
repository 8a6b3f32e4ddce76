package emulator

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"foxtailwall/declarer"
	"foxtailwall/timekeeper"
)

const (
	defaultLoadLag     = 200 * time.Millisecond
	defaultEventLag    = 300 * time.Millisecond
	defaultCacheBlocks = 512
	// maxBehind is how far the step loop may lag behind its schedule before
	// it gives up catching up.
	maxBehind = 200 * time.Millisecond
	// rateWeight is the weight of the newest step in tokensPerSecond.
	rateWeight = 0.1
)

// Endings of a run.
const (
	// RunComplete means that every token was generated.
	RunComplete Ending = "complete"
	// RunCancelled means that the client left first.
	RunCancelled Ending = "cancelled"
	// RunAborted means that the engine restarted.
	RunAborted Ending = "aborted"
)

type (
	// EngineConfig describes an engine. Zero fields take defaults.
	EngineConfig struct {
		Name  string
		Clock timekeeper.Clock
		// Seed must be the same on all engines of a deployment, so that a
		// prompt gets the same grade on each replica.
		Seed   uint64
		Timing Timing
		// Versions are loaded at the start.
		Versions []Version
		// Loadable are the versions that orders may load as well.
		Loadable []Version
		// CacheBlocks is the size of the prefix cache in blocks of 256 bytes;
		// below zero there is none.
		CacheBlocks int
		// LoadLag is the age of the reports of GET /load.
		LoadLag time.Duration
		// EventLag is the age at which cache events appear.
		EventLag time.Duration
		// EventGap is the share of cache events lost, 0 to 1.
		EventGap float64
		// IgnoresFencing makes the engine take orders with an old token.
		IgnoresFencing bool
		// LoadTime is the time a load takes after its weights arrived.
		LoadTime time.Duration
		// Weights fetches weights for a load; nil means that they are there.
		Weights func(ctx context.Context, model, version string) error
	}

	// Ending says how a run ended.
	Ending string

	// Run is one request that an engine began to process.
	Run struct {
		RequestID string `json:"requestId"`
		// Digest is the digest of the prompt; see Digest.
		Digest  string        `json:"digest"`
		Engine  string        `json:"engine"`
		Model   string        `json:"model"`
		Version string        `json:"version"`
		Kind    declarer.Kind `json:"kind"`
		// Arrived, Started and Ended are by the engine's clock.
		Arrived time.Time `json:"arrived"`
		Started time.Time `json:"started"`
		Ended   time.Time `json:"ended"`
		Input   int       `json:"input"`
		Output  int       `json:"output"`
		Cached  int       `json:"cached"`
		// Resumed is the number of tokens taken over from a cut stream.
		Resumed int    `json:"resumed,omitempty"`
		Ending  Ending `json:"ending"`
		Pass    bool   `json:"pass"`
		// Bad says that the version was under FaultBad when the run began.
		Bad bool `json:"bad,omitempty"`
	}

	// Engine is a stand-in for a model engine. Make it with NewEngine.
	Engine struct {
		conf   EngineConfig
		clock  timekeeper.Clock
		ctx    context.Context
		cancel context.CancelFunc
		wg     conc.WaitGroup
		wake   chan struct{}
		router *httprouter.Router

		mu          sync.Mutex
		incarnation uint64
		restarts    int
		batch       *Batch
		cache       *Cache
		versions    []loaded
		bad         map[declarer.VersionRef]float64
		faults      counts
		stalled     time.Time
		slow        float64
		leaving     time.Time
		late        []time.Time
		rate        float64
		samples     []loadSample
		runs        []Run
		live        map[*work]struct{}
		previous    *completion
		listeners   []*silentListener
		orders      orderState
		kv          map[string][]uint64
		kvOrder     []string
	}

	loaded struct {
		Version
		state loadState
		fence uint64
		err   string
	}

	// work is one chat request in the engine.
	work struct {
		job    *Job
		run    Run
		answer answer
		ready  chan struct{} // has an element when tokens were generated
		gone   bool          // the engine restarted
	}

	// loadSample is the response to GET /load.
	loadSample struct {
		Incarnation     uint64          `json:"incarnation"`
		At              time.Time       `json:"at"`
		Running         int             `json:"running"`
		Waiting         int             `json:"waiting"`
		Slots           int             `json:"slots"`
		TokensPerSecond float64         `json:"tokensPerSecond"`
		Leaving         bool            `json:"leaving"`
		Loaded          []loadedVersion `json:"loaded"`
	}

	loadedVersion struct {
		Model   string `json:"model"`
		Version string `json:"version"`
	}
)

// NewEngine starts an engine. Close ends it.
func NewEngine(conf EngineConfig) *Engine {
	set(&conf.LoadLag, defaultLoadLag)
	set(&conf.EventLag, defaultEventLag)
	set(&conf.CacheBlocks, defaultCacheBlocks)
	e := &Engine{
		conf: conf, clock: clockOr(conf.Clock), wake: make(chan struct{}, 1),
		bad: make(map[declarer.VersionRef]float64), faults: make(counts),
		live: make(map[*work]struct{}), slow: 1, kv: make(map[string][]uint64),
	}
	for _, v := range conf.Versions {
		e.versions = append(e.versions, loaded{Version: v, state: loadReady})
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.reset()
	e.routes()
	e.wg.Go(e.loop)
	return e
}

// Close ends the engine and waits for its goroutines.
func (e *Engine) Close() {
	e.cancel()
	e.wg.Wait()
}

// Handler serves the upstream protocol, GET /ran and POST /faults.
func (e *Engine) Handler() http.Handler { return e.router }

// Ran returns the requests that the engine began to process and that have
// ended, in order of their end.
func (e *Engine) Ran() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// LateWork returns how long after the engine began to leave each later request
// for new work arrived.
func (e *Engine) LateWork() []time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]time.Duration, len(e.late))
	for i, t := range e.late {
		out[i] = t.Sub(e.leaving)
	}
	return out
}

// SetFault makes the engine misbehave. It returns an *UnsupportedFaultError.
func (e *Engine) SetFault(f Fault) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	ref := declarer.VersionRef{Model: f.Model, Version: f.Version}
	switch f.Kind {
	case FaultBad:
		e.bad[ref] = f.Quality
	case FaultGood:
		delete(e.bad, ref)
	case FaultLeave:
		if e.leaving.IsZero() {
			e.leaving, e.late = e.clock.Now(), nil
		}
	case FaultReturn:
		e.leaving = time.Time{}
		e.reset()
	case FaultSilent:
		for _, l := range e.listeners {
			l.silence()
		}
	case FaultStall:
		e.stalled = e.clock.Now().Add(f.Delay)
	case FaultSlow:
		e.slow = max(f.Factor, 1)
	case FaultRestart:
		e.reset()
	case FaultLate, FaultCross, FaultStray, FaultCut, FaultError:
		e.faults.add(f)
	default:
		return &UnsupportedFaultError{Fault: f, On: "an engine"}
	}
	e.sample(e.clock.Now())
	return nil
}

// reset starts a new incarnation. The caller holds mu or is the constructor.
func (e *Engine) reset() {
	now := e.clock.Now()
	for w := range e.live {
		w.gone = true
		w.notify()
	}
	e.restarts++
	e.incarnation = nextIncarnation(e.incarnation, now)
	e.cache = nil
	if e.conf.CacheBlocks > 0 {
		e.cache = NewCache(e.conf.CacheBlocks, e.conf.EventGap, e.conf.Seed^xxhash.Sum64String(e.conf.Name)^e.incarnation)
	}
	e.batch = NewBatch(e.conf.Timing, e.cache)
	e.rate = 0
	clear(e.kv)
	e.kvOrder = nil
	e.sample(now)
}

// loop runs the steps of the batch.
func (e *Engine) loop() {
	next := e.clock.Now()
	for e.ctx.Err() == nil {
		d, batch := e.begin()
		if batch == nil {
			select {
			case <-e.wake:
			case <-e.ctx.Done():
			}
			next = e.clock.Now()
			continue
		}
		next = next.Add(d)
		now := e.clock.Now()
		if now.Sub(next) > maxBehind {
			next = now
		}
		if wait := next.Sub(now); wait > 0 && timekeeper.Sleep(e.ctx, e.clock, wait) != nil {
			return
		}
		e.end(batch, d)
	}
}

// begin plans the next step; it returns no batch if there is nothing to do.
func (e *Engine) begin() (time.Duration, *Batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	d, ok := e.batch.Begin(now)
	if !ok {
		return 0, nil
	}
	d = time.Duration(float64(d) * e.slow)
	if wait := e.stalled.Sub(now); wait > 0 {
		d += wait
	}
	return d, e.batch
}

func (e *Engine) end(b *Batch, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b != e.batch {
		return // the engine restarted during the step
	}
	now := e.clock.Now()
	tokens := b.End(now)
	e.rate += rateWeight * (float64(tokens)/d.Seconds() - e.rate)
	if b.Running() == 0 {
		e.rate = 0
	}
	e.sample(now)
}

// add queues w and reports whether there was room.
func (e *Engine) add(w *work) bool {
	now := e.clock.Now()
	if !e.batch.Add(w.job, now) {
		return false
	}
	w.run.Arrived = now
	e.live[w] = struct{}{}
	e.sample(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// finish records the end of w. A request that never started did not run.
func (e *Engine) finish(w *work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.live, w)
	e.batch.Remove(w.job)
	if w.job.Started.IsZero() {
		return
	}
	r := w.run
	r.Started, r.Cached = w.job.Started, w.job.Cached
	r.Output = w.job.Produced
	r.Ended, r.Ending = w.job.Ended, RunComplete
	if w.job.Ended.IsZero() {
		r.Ended, r.Ending = e.clock.Now(), RunCancelled
		if w.gone {
			r.Ending = RunAborted
		}
	}
	e.runs = append(e.runs, r)
	e.keepKV(w)
	e.sample(e.clock.Now())
}

// sample keeps the load for later reports.
func (e *Engine) sample(now time.Time) {
	s := loadSample{
		Incarnation: e.incarnation, At: now, Running: e.batch.Running(), Waiting: e.batch.Waiting(),
		Slots: e.batch.Slots(), TokensPerSecond: e.rate, Leaving: !e.leaving.IsZero(),
		Loaded: []loadedVersion{},
	}
	for _, v := range e.versions {
		if v.state == loadReady {
			s.Loaded = append(s.Loaded, loadedVersion{v.Model, v.Version.Version})
		}
	}
	e.samples = append(e.samples, s)
	e.trim(now)
}

// trim drops the samples that no later report needs and returns the newest
// one that is old enough.
func (e *Engine) trim(now time.Time) loadSample {
	limit := now.Add(-e.conf.LoadLag)
	i := 0
	for i+1 < len(e.samples) && !e.samples[i+1].At.After(limit) {
		i++
	}
	e.samples = e.samples[i:]
	return e.samples[0]
}

func (e *Engine) addListener(l *silentListener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listeners = append(e.listeners, l)
}

func (w *work) notify() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}
