package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailwall/timekeeper"
)

const (
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"

	defaultServiceTime = 5 * time.Millisecond
)

type (
	// ServiceConfig configures a plain service. Zero fields take defaults.
	ServiceConfig struct {
		Name  string
		Clock timekeeper.Clock
		// Time is the duration of one call.
		Time time.Duration
		// Concurrent bounds the calls in progress; 0 means no limit.
		Concurrent int
		// BookingLog is shared by the replicas of one service; nil creates a new
		// one.
		BookingLog *BookingLog
		// Cold describes the service after a start; by default it is never cold.
		Cold ColdConfig
	}

	// BookingLog records the calls that the replicas of a service ran and
	// counts identical ones. The zero value is empty and ready to use.
	BookingLog struct {
		mu     sync.Mutex
		runs   []ServiceRun
		counts map[string]int
	}

	// ServiceRun records one call that a service ran.
	ServiceRun struct {
		RequestID string `json:"requestId"`
		Service   string `json:"service"`
		Method    string `json:"method"`
		Path      string `json:"path"`
		// Key is the idempotency key, if the router forwards it.
		Key string `json:"key,omitempty"`
		// Digest is the digest of the body; see Digest.
		Digest string    `json:"digest"`
		At     time.Time `json:"at"`
	}

	// Service is a stand-in for a plain HTTP service. It runs and records
	// every call, also one with an idempotency key that it has seen before.
	Service struct {
		conf  ServiceConfig
		clock timekeeper.Clock

		mu           sync.Mutex
		incarnation  uint64
		cold         Cold
		running      int
		leavingSince time.Time
		lateArrivals []time.Time
		faults       countedFaults
		stalledUntil time.Time
		previous     []byte
		previousID   string
		listeners    []*silentListener
		router       *httprouter.Router
	}

	// ServiceRanBody is the response of a service to GET /ran?after=N.
	ServiceRanBody struct {
		Next     int64           `json:"next"`
		Runs     []ServiceRun    `json:"runs"`
		LateWork []time.Duration `json:"lateWork,omitempty"`
	}

	bookingBody struct {
		RequestID string `json:"requestId"`
		Booking   string `json:"booking"`
		// Count is the number of runs with this method, path and body.
		Count int `json:"count"`
	}
)

// NewService returns a plain HTTP service with the given configuration.
func NewService(conf ServiceConfig) *Service {
	setDefault(&conf.Time, defaultServiceTime)
	if conf.BookingLog == nil {
		conf.BookingLog = &BookingLog{}
	}
	s := &Service{conf: conf, clock: clockOrSystem(conf.Clock), faults: make(countedFaults), cold: Cold{ColdConfig: conf.Cold}}
	s.restart()
	r := httprouter.New()
	r.HandlerFunc(http.MethodPost, faultsPath, handleFaults(s))
	r.HandlerFunc(http.MethodGet, ranPath, s.serveRuns)
	r.HandlerFunc(http.MethodGet, "/load", s.serveLoad)
	r.NotFound = http.HandlerFunc(s.serveCall)
	s.router = r
	return s
}

// Handler serves the calls of the service, GET /load, GET /ran and POST
// /faults.
func (s *Service) Handler() http.Handler { return handleUnlessDown(s, s.router) }

// Ran returns the calls that ran on any replica with the same BookingLog.
func (s *Service) Ran() []ServiceRun { return s.conf.BookingLog.Runs() }

// ColdCrashes returns how often the service crashed because it was cold.
func (s *Service) ColdCrashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.ColdCrashes()
}

// RefusedArrivals returns the arrival times of calls refused after FaultLeave,
// relative to the time of the fault.
func (s *Service) RefusedArrivals() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]time.Duration, len(s.lateArrivals))
	for i, t := range s.lateArrivals {
		out[i] = t.Sub(s.leavingSince)
	}
	return out
}

// Runs returns the calls that ran, in order.
func (b *BookingLog) Runs() []ServiceRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs)
}

// add records a run and returns the number of runs with the same method, path
// and body.
func (b *BookingLog) add(r ServiceRun) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, r)
	if b.counts == nil {
		b.counts = make(map[string]int)
	}
	k := r.Method + " " + r.Path + " " + r.Digest
	b.counts[k]++
	return b.counts[k]
}

// SetFault applies a fault to the service. It returns an
// *UnsupportedFaultError.
func (s *Service) SetFault(f Fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case FaultLeave:
		if s.leavingSince.IsZero() {
			s.leavingSince, s.lateArrivals = s.clock.Now(), nil
		}
	case FaultReturn, FaultRestart:
		s.leavingSince = time.Time{}
		s.restart()
	case FaultCrash:
		s.cold.Crash(s.clock.Now())
		s.crash()
	case FaultSilent:
		for _, l := range s.listeners {
			l.silence()
		}
	case FaultStall:
		s.stalledUntil = s.clock.Now().Add(f.Delay)
	case FaultLate, FaultCross, FaultCut, FaultError:
		s.faults.add(f)
	default:
		return &UnsupportedFaultError{Fault: f, Target: "a plain service"}
	}
	return nil
}

// restart starts a new incarnation. The caller holds mu or is the constructor.
func (s *Service) restart() {
	s.cold.Start(s.clock.Now())
	s.incarnation = nextIncarnation(s.incarnation, s.clock.Now())
}

// crash closes all connections and starts a new incarnation of a service whose state cold
// is that of a crash. Calls in progress end without an answer. The caller holds mu.
func (s *Service) crash() {
	s.incarnation = nextIncarnation(s.incarnation, s.clock.Now())
	for _, l := range s.listeners {
		l.closeAll()
	}
}

// isDown implements crasher.
func (s *Service) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.Down(s.clock.Now())
}

// arrive records a call and returns the number of crashes until then. It reports whether
// the service still runs.
func (s *Service) arrive() (crashes int, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cold.Arrive(s.clock.Now()) {
		s.crash()
		return s.cold.crashes, false
	}
	return s.cold.crashes, true
}

// crashedSince reports whether the service has crashed since arrive returned the number.
func (s *Service) crashedSince(crashes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.crashes > crashes
}

// serveCall runs one call and echoes its digest and count.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	crashes, running := s.arrive()
	if !running {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, true, "badRequest", "the request body could not be read")
		return
	}
	if status, kind := s.acquireSlot(); status != 0 {
		writeError(w, status, true, kind, "the service does not accept the call; use another replica")
		return
	}
	defer s.releaseSlot()
	run := ServiceRun{
		RequestID: r.Header.Get(HeaderRequest), Service: s.conf.Name, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get(HeaderKey), Digest: Digest(string(body)), At: s.clock.Now(),
	}
	// From here on the call counts as run, even if the client disconnects.
	n := s.conf.BookingLog.add(run)
	s.mu.Lock()
	wait := s.conf.Time + max(s.stalledUntil.Sub(run.At), 0)
	delay, _ := s.faults.consume(FaultLate)
	_, cut := s.faults.consume(FaultCut)
	_, fail := s.faults.consume(FaultError)
	s.mu.Unlock()
	if timekeeper.Sleep(r.Context(), s.clock, wait+delay) != nil || cut || s.crashedSince(crashes) {
		panic(http.ErrAbortHandler)
	}
	if fail {
		writeError(w, http.StatusInternalServerError, false, "internal", "injected error")
		return
	}
	id, b := s.nextAnswer(run, n)
	w.Header().Set(HeaderRequest, id)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// nextAnswer returns the request ID and the body to send; with FaultCross they
// are those of the previous call.
func (s *Service) nextAnswer(run ServiceRun, n int) (string, []byte) {
	b, err := json.Marshal(bookingBody{RequestID: run.RequestID, Booking: run.Digest, Count: n})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, prev, prevID := run.RequestID, s.previous, s.previousID
	s.previous, s.previousID = b, id
	if prev != nil {
		if _, ok := s.faults.consume(FaultCross); ok {
			return prevID, prev
		}
	}
	return id, b
}

// acquireSlot reserves a slot for a call, or returns the HTTP status and the
// error type of its refusal.
func (s *Service) acquireSlot() (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leavingSince.IsZero() {
		s.lateArrivals = append(s.lateArrivals, s.clock.Now())
		return http.StatusServiceUnavailable, "leaving"
	}
	if s.conf.Concurrent > 0 && s.running >= s.conf.Concurrent {
		return http.StatusServiceUnavailable, "busy"
	}
	s.running++
	return 0, ""
}

func (s *Service) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	b := loadSample{
		Incarnation: s.incarnation, At: s.clock.Now(), Running: s.running, Slots: s.conf.Concurrent,
		Leaving: !s.leavingSince.IsZero(), Loaded: []loadedVersion{},
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, b)
}

func (s *Service) serveRuns(w http.ResponseWriter, r *http.Request) {
	runs := s.Ran()
	from := min(max(afterParam(r), 0), int64(len(runs)))
	writeJSON(w, http.StatusOK, ServiceRanBody{Next: int64(len(runs)), Runs: runs[from:], LateWork: s.RefusedArrivals()})
}

func (s *Service) addListener(l *silentListener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
}
