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
	// maxScheduleLag bounds how far the step loop may fall behind its
	// schedule; beyond it, the schedule restarts at the current time.
	maxScheduleLag = 200 * time.Millisecond
	// rateSmoothing is the weight of the latest step in the moving average
	// tokensPerSecond.
	rateSmoothing = 0.1
)

// Values of Ending.
const (
	// RunComplete means that all tokens were generated.
	RunComplete Ending = "complete"
	// RunCancelled means that the client disconnected first.
	RunCancelled Ending = "cancelled"
	// RunAborted means that the engine restarted during the run.
	RunAborted Ending = "aborted"
)

type (
	// EngineConfig configures an engine. Zero fields take defaults.
	EngineConfig struct {
		Name  string
		Clock timekeeper.Clock
		// Seed must be the same on all engines of a deployment, so that a
		// prompt gets the same grade on each replica.
		Seed   uint64
		Timing Timing
		// Versions are loaded at the start.
		Versions []Version
		// Loadable are the other versions that a load order may name.
		Loadable []Version
		// CacheBlocks is the size of the prefix cache in blocks of 256 bytes;
		// a negative value disables it.
		CacheBlocks int
		// LoadLag is how old the load reported by GET /load is.
		LoadLag time.Duration
		// EventLag is the delay until GET /cache/events returns an event.
		EventLag time.Duration
		// EventGap is the fraction of cache events dropped, 0 to 1.
		EventGap float64
		// IgnoresFencing makes the engine accept orders with an old fencing
		// token.
		IgnoresFencing bool
		// LoadTime is the time to load a version after its weights are
		// fetched.
		LoadTime time.Duration
		// Cold describes the engine after a start; by default it is never cold.
		Cold ColdConfig
		// Weights fetches the weights of a version; nil means that they are
		// stored locally.
		Weights func(ctx context.Context, model, version string) error
	}

	// Ending is the reason why a run ended.
	Ending string

	// Run records one request that an engine started to process.
	Run struct {
		RequestID string `json:"requestId"`
		// Digest is the digest of the prompt; see Digest.
		Digest  string        `json:"digest"`
		Engine  string        `json:"engine"`
		Model   string        `json:"model"`
		Version string        `json:"version"`
		Kind    declarer.Kind `json:"kind"`
		// Arrived, Started and Ended are read from the engine's clock.
		Arrived time.Time `json:"arrived"`
		Started time.Time `json:"started"`
		Ended   time.Time `json:"ended"`
		Input   int       `json:"input"`
		Output  int       `json:"output"`
		Cached  int       `json:"cached"`
		// Resumed is the number of tokens skipped because an earlier, cut
		// stream delivered them.
		Resumed int    `json:"resumed,omitempty"`
		Ending  Ending `json:"ending"`
		Pass    bool   `json:"pass"`
		// Bad is true if FaultBad was set for the version when the request
		// was admitted.
		Bad bool `json:"bad,omitempty"`
	}

	// Engine is a stand-in for a model engine. Create it with NewEngine.
	Engine struct {
		conf   EngineConfig
		clock  timekeeper.Clock
		ctx    context.Context
		cancel context.CancelFunc
		wg     conc.WaitGroup
		wake   chan struct{}
		router *httprouter.Router

		mu              sync.Mutex
		incarnation     uint64
		restarts        int
		cold            Cold
		batch           *Batch
		cache           *Cache
		versions        []engineVersion
		badQuality      map[declarer.VersionRef]float64
		faults          countedFaults
		stalledUntil    time.Time
		slowFactor      float64
		leavingSince    time.Time
		lateArrivals    []time.Time
		tokensPerSecond float64
		samples         []loadSample
		runs            []Run
		liveRequests    map[*activeRequest]struct{}
		previous        *completion
		listeners       []*silentListener
		orders          orderState
		kv              map[string][]uint64
		kvOrder         []string
	}

	engineVersion struct {
		Version
		state loadState
		fence uint64
		err   string
	}

	// activeRequest is a chat request that is queued or running.
	activeRequest struct {
		job     *Job
		run     Run
		answer  answer
		ready   chan struct{} // receives when tokens were generated
		aborted bool          // the engine restarted before the request completed
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

// NewEngine starts an engine. The caller must call Close.
func NewEngine(conf EngineConfig) *Engine {
	setDefault(&conf.LoadLag, defaultLoadLag)
	setDefault(&conf.EventLag, defaultEventLag)
	setDefault(&conf.CacheBlocks, defaultCacheBlocks)
	e := &Engine{
		conf: conf, clock: clockOrSystem(conf.Clock), wake: make(chan struct{}, 1),
		badQuality: make(map[declarer.VersionRef]float64), faults: make(countedFaults),
		liveRequests: make(map[*activeRequest]struct{}), slowFactor: 1, kv: make(map[string][]uint64),
		cold: Cold{ColdConfig: conf.Cold},
	}
	for _, v := range conf.Versions {
		e.versions = append(e.versions, engineVersion{Version: v, state: loadReady})
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.reset()
	e.routes()
	e.wg.Go(e.runSteps)
	return e
}

// Close stops the engine and waits for its goroutines.
func (e *Engine) Close() {
	e.cancel()
	e.wg.Wait()
}

// Handler serves the upstream protocol, GET /ran and POST /faults.
func (e *Engine) Handler() http.Handler { return handleUnlessDown(e, e.router) }

// Ran returns the requests that the engine processed, completely or in part, in
// the order in which they ended.
func (e *Engine) Ran() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// ColdCrashes returns how often the engine crashed because it was cold.
func (e *Engine) ColdCrashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold.ColdCrashes()
}

// RefusedArrivals returns the arrival times of requests refused after
// FaultLeave, relative to the time of the fault.
func (e *Engine) RefusedArrivals() []time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]time.Duration, len(e.lateArrivals))
	for i, t := range e.lateArrivals {
		out[i] = t.Sub(e.leavingSince)
	}
	return out
}

// SetFault applies a fault to the engine. It returns an
// *UnsupportedFaultError.
func (e *Engine) SetFault(f Fault) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	ref := declarer.VersionRef{Model: f.Model, Version: f.Version}
	switch f.Kind {
	case FaultBad:
		e.badQuality[ref] = f.Quality
	case FaultGood:
		delete(e.badQuality, ref)
	case FaultLeave:
		if e.leavingSince.IsZero() {
			e.leavingSince, e.lateArrivals = e.clock.Now(), nil
		}
	case FaultReturn:
		e.leavingSince = time.Time{}
		e.reset()
	case FaultSilent:
		for _, l := range e.listeners {
			l.silence()
		}
	case FaultStall:
		e.stalledUntil = e.clock.Now().Add(f.Delay)
	case FaultSlow:
		e.slowFactor = max(f.Factor, 1)
	case FaultRestart:
		e.reset()
	case FaultCrash:
		e.cold.Crash(e.clock.Now())
		e.crash()
	case FaultLate, FaultCross, FaultStray, FaultCut, FaultError:
		e.faults.add(f)
	default:
		return &UnsupportedFaultError{Fault: f, Target: "an engine"}
	}
	e.recordLoad(e.clock.Now())
	return nil
}

// survivesArrival records a request and reports whether the engine still runs.
func (e *Engine) survivesArrival() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cold.Arrive(e.clock.Now()) {
		return true
	}
	e.crash()
	return false
}

// crash aborts all requests and closes all connections of an engine whose state cold is
// that of a crash. The caller holds mu.
func (e *Engine) crash() {
	e.newIncarnation()
	for _, l := range e.listeners {
		l.closeAll()
	}
}

// isDown implements crasher.
func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold.Down(e.clock.Now())
}

// reset restarts the engine at once. The caller holds mu or is the constructor.
func (e *Engine) reset() {
	e.cold.Start(e.clock.Now())
	e.newIncarnation()
}

// newIncarnation aborts all requests and starts a new incarnation. The caller holds mu
// or is the constructor.
func (e *Engine) newIncarnation() {
	now := e.clock.Now()
	for w := range e.liveRequests {
		w.aborted = true
		w.notify()
	}
	e.restarts++
	e.incarnation = nextIncarnation(e.incarnation, now)
	e.cache = nil
	if e.conf.CacheBlocks > 0 {
		e.cache = NewCache(e.conf.CacheBlocks, e.conf.EventGap, e.conf.Seed^xxhash.Sum64String(e.conf.Name)^e.incarnation)
	}
	e.batch = NewBatch(e.conf.Timing, e.cache)
	e.tokensPerSecond = 0
	clear(e.kv)
	e.kvOrder = nil
	e.recordLoad(now)
}

// runSteps runs the steps of the batch on schedule until the engine closes.
func (e *Engine) runSteps() {
	next := e.clock.Now()
	for e.ctx.Err() == nil {
		d, batch := e.beginStep()
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
		if now.Sub(next) > maxScheduleLag {
			next = now
		}
		if wait := next.Sub(now); wait > 0 && timekeeper.Sleep(e.ctx, e.clock, wait) != nil {
			return
		}
		e.endStep(batch, d)
	}
}

// beginStep plans the next step and returns its duration. The batch is nil if
// there is nothing to do.
func (e *Engine) beginStep() (time.Duration, *Batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	d, ok := e.batch.Begin(now)
	if !ok {
		return 0, nil
	}
	d = time.Duration(float64(d) * e.slowFactor)
	if wait := e.stalledUntil.Sub(now); wait > 0 {
		d += wait
	}
	return d, e.batch
}

func (e *Engine) endStep(b *Batch, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b != e.batch {
		return // the engine restarted during the step
	}
	now := e.clock.Now()
	tokens := b.End(now)
	e.tokensPerSecond += rateSmoothing * (float64(tokens)/d.Seconds() - e.tokensPerSecond)
	if b.Running() == 0 {
		e.tokensPerSecond = 0
	}
	e.recordLoad(now)
}

// enqueue queues w and reports whether there was room. The caller holds mu.
func (e *Engine) enqueue(w *activeRequest) bool {
	now := e.clock.Now()
	if !e.batch.Add(w.job, now) {
		return false
	}
	w.run.Arrived = now
	e.liveRequests[w] = struct{}{}
	e.recordLoad(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// recordEnd records the run of w. A request that never started has none.
func (e *Engine) recordEnd(w *activeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.liveRequests, w)
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
		if w.aborted {
			r.Ending = RunAborted
		}
	}
	e.runs = append(e.runs, r)
	e.storeKV(w)
	e.recordLoad(e.clock.Now())
}

// recordLoad stores the current load for later reports. The caller holds mu.
func (e *Engine) recordLoad(now time.Time) {
	s := loadSample{
		Incarnation: e.incarnation, At: now, Running: e.batch.Running(), Waiting: e.batch.Waiting(),
		Slots: e.batch.Slots(), TokensPerSecond: e.tokensPerSecond, Leaving: !e.leavingSince.IsZero(),
		Loaded: []loadedVersion{},
	}
	for _, v := range e.versions {
		if v.state == loadReady {
			s.Loaded = append(s.Loaded, loadedVersion{v.Model, v.Version.Version})
		}
	}
	e.samples = append(e.samples, s)
	e.delayedLoad(now)
}

// delayedLoad returns the newest sample that is at least LoadLag old, or the
// oldest one, and drops those before it.
func (e *Engine) delayedLoad(now time.Time) loadSample {
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

func (w *activeRequest) notify() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}
