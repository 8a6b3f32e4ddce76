// Package counter records the metrics of a host: counters, gauges and timers.
// It uses tally and keeps the values in memory for the operators' port and the
// error budget report.
//
// # Usage
//
//	scope := counter.New("foxtailwall")
//	defer scope.Close()
//	scope.Counter("router.refusals", "code", "queueFull").Inc(1)
//	scope.Record("router.firstToken", d, "workspace", "counter")
//	for _, s := range scope.Snapshot() {
//		fmt.Println(s.Name, s.Tags, s.Value)
//	}
//
// Snapshot includes a value at most one second after it was recorded. The zero
// Scope drops all values, so that packages work without a scope. Tests that
// read metrics use NewTest, whose Snapshot is always current.
package counter

import (
	"io"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"
)

const (
	// reportInterval is the interval at which tally passes values to the
	// recorder.
	reportInterval = time.Second
	// maxTimerValue is the maximum value of a timer; longer times are recorded
	// as this value.
	maxTimerValue = 10 * time.Minute
	// timerPrecision is the precision of a timer, in significant decimal
	// digits.
	timerPrecision = 2
)

type (
	// Scope creates metrics whose names share a prefix.
	Scope struct {
		scope    tally.Scope
		recorder *recorder
		closer   io.Closer
	}

	// Sample is the value of one metric. Timers have a count and quantiles
	// instead of Value.
	Sample struct {
		Name  string            `json:"name"`
		Tags  map[string]string `json:"tags,omitempty"`
		Value float64           `json:"value"`
		// Count is the number of times recorded by a timer; zero for counters
		// and gauges.
		Count int64         `json:"count,omitempty"`
		P50   time.Duration `json:"p50,omitempty"`
		P95   time.Duration `json:"p95,omitempty"`
		P99   time.Duration `json:"p99,omitempty"`
	}

	// recorder is a tally reporter that keeps all metrics in memory.
	recorder struct {
		mu      sync.Mutex
		metrics map[string]*metric
	}

	// metric is a counter, gauge or timer. It implements tally's cached
	// variants of all three.
	metric struct {
		mu    sync.Mutex
		name  string
		tags  map[string]string
		value float64
		timer *hdrhistogram.Histogram
	}
)

// New returns a scope whose metric names start with prefix. Close stops its
// report loop.
func New(prefix string) Scope {
	r := &recorder{}
	s, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: prefix, CachedReporter: r}, reportInterval)
	return Scope{scope: s, recorder: r, closer: closer}
}

// NewTest returns a scope without a report loop, for tests. Its samples of
// timers have a count but no quantiles.
func NewTest(prefix string) Scope {
	return Scope{scope: tally.NewTestScope(prefix, nil)}
}

// Close reports the last values and stops the report loop.
func (s Scope) Close() error {
	if s.closer == nil {
		return nil
	}
	return s.closer.Close()
}

// Counter returns the counter with the name and tags; pairs are alternating tag
// names and values.
func (s Scope) Counter(name string, pairs ...string) tally.Counter {
	return s.withTags(pairs).Counter(name)
}

// Gauge returns the gauge with the name and tags; pairs are as for Counter.
func (s Scope) Gauge(name string, pairs ...string) tally.Gauge {
	return s.withTags(pairs).Gauge(name)
}

// Record records d in the timer with the name and tags; pairs are as for
// Counter.
func (s Scope) Record(name string, d time.Duration, pairs ...string) {
	s.withTags(pairs).Timer(name).Record(d)
}

// Snapshot returns all metrics, sorted by name and tags.
func (s Scope) Snapshot() []Sample {
	if t, ok := s.scope.(tally.TestScope); ok && s.recorder == nil {
		return testSamples(t.Snapshot())
	}
	if s.recorder == nil {
		return nil
	}
	return s.recorder.samples()
}

// withTags returns the tally scope with the tags, or one that drops all values
// for the zero Scope.
func (s Scope) withTags(pairs []string) tally.Scope {
	if s.scope == nil {
		return tally.NoopScope
	}
	if len(pairs) < 2 {
		return s.scope
	}
	tags := make(map[string]string, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		tags[pairs[i]] = pairs[i+1]
	}
	return s.scope.Tagged(tags)
}

// Capabilities implements tally.BaseStatsReporter.
func (r *recorder) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *recorder) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *recorder) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter.
func (r *recorder) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *recorder) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.getOrCreate(name, tags, false)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *recorder) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.getOrCreate(name, tags, false)
}

// AllocateTimer implements tally.CachedStatsReporter.
func (r *recorder) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return r.getOrCreate(name, tags, true)
}

// AllocateHistogram implements tally.CachedStatsReporter. It is never called,
// since Scope does not create histograms.
func (r *recorder) AllocateHistogram(string, map[string]string, tally.Buckets) tally.CachedHistogram {
	return nil
}

// getOrCreate returns the metric with the name and tags and creates it if
// necessary.
func (r *recorder) getOrCreate(name string, tags map[string]string, timer bool) *metric {
	k := metricKey(name, tags)
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.metrics[k]; ok {
		return m
	}
	m := &metric{name: name, tags: maps.Clone(tags)}
	if timer {
		m.timer = hdrhistogram.New(1, maxTimerValue.Microseconds(), timerPrecision)
	}
	if r.metrics == nil {
		r.metrics = make(map[string]*metric)
	}
	r.metrics[k] = m
	return m
}

// samples returns all metrics, sorted by name and tags.
func (r *recorder) samples() []Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := make([]string, 0, len(r.metrics))
	for k := range r.metrics {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	out := make([]Sample, 0, len(keys))
	for _, k := range keys {
		out = append(out, r.metrics[k].sample())
	}
	return out
}

// ReportCount implements tally.CachedCount.
func (m *metric) ReportCount(delta int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.value += float64(delta)
}

// ReportGauge implements tally.CachedGauge.
func (m *metric) ReportGauge(v float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.value = v
}

// ReportTimer implements tally.CachedTimer.
func (m *metric) ReportTimer(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	us := min(max(d.Microseconds(), 1), maxTimerValue.Microseconds())
	// us is within the histogram's range, so recording cannot fail.
	_ = m.timer.RecordValue(us)
}

func (m *metric) sample() Sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Sample{Name: m.name, Tags: m.tags, Value: m.value}
	if m.timer == nil {
		return s
	}
	quantile := func(q float64) time.Duration {
		return time.Duration(m.timer.ValueAtQuantile(q)) * time.Microsecond
	}
	s.Count = m.timer.TotalCount()
	s.P50, s.P95, s.P99 = quantile(50), quantile(95), quantile(99)
	return s
}

// testSamples converts a snapshot of a tally test scope.
func testSamples(snap tally.Snapshot) []Sample {
	var out []Sample
	for _, c := range snap.Counters() {
		out = append(out, Sample{Name: c.Name(), Tags: c.Tags(), Value: float64(c.Value())})
	}
	for _, g := range snap.Gauges() {
		out = append(out, Sample{Name: g.Name(), Tags: g.Tags(), Value: g.Value()})
	}
	for _, t := range snap.Timers() {
		out = append(out, Sample{Name: t.Name(), Tags: t.Tags(), Count: int64(len(t.Values()))})
	}
	sort.Slice(out, func(i, j int) bool {
		return metricKey(out[i].Name, out[i].Tags) < metricKey(out[j].Name, out[j].Tags)
	})
	return out
}

// metricKey returns a map and sort key of a metric's name and tags.
func metricKey(name string, tags map[string]string) string {
	names := make([]string, 0, len(tags))
	for t := range tags {
		names = append(names, t)
	}
	sort.Strings(names)
	var b strings.Builder
	b.WriteString(name)
	for _, t := range names {
		b.WriteString("\x00" + t + "=" + tags[t])
	}
	return b.String()
}
