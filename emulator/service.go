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
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"

	defaultServiceTime = 5 * time.Millisecond
)

type (
	// ServiceConfig describes a plain service. Zero fields take defaults.
	ServiceConfig struct {
		Name  string
		Clock timekeeper.Clock
		// Time is the time one call takes.
		Time time.Duration
		// Concurrent bounds the calls in progress; 0 means no bound.
		Concurrent int
		// Book is shared by the replicas of one service; nil makes a new one.
		Book *Book
	}

	// Book holds the bookings of a service and counts how often each was
	// made. It is shared by the service's replicas. Its zero value is empty.
	Book struct {
		mu     sync.Mutex
		runs   []ServiceRun
		counts map[string]int
	}

	// ServiceRun is one call that a service ran.
	ServiceRun struct {
		RequestID string `json:"requestId"`
		Service   string `json:"service"`
		Method    string `json:"method"`
		Path      string `json:"path"`
		// Key is the idempotency key, if the router passes it on.
		Key string `json:"key,omitempty"`
		// Digest is the digest of the body; see Digest.
		Digest string    `json:"digest"`
		At     time.Time `json:"at"`
	}

	// Service is a stand-in for a plain service: GET is idempotent, POST
	// makes a booking each time it runs, also for a key that it has seen.
	Service struct {
		conf  ServiceConfig
		clock timekeeper.Clock

		mu          sync.Mutex
		incarnation uint64
		busy        int
		leaving     time.Time
		late        []time.Time
		faults      counts
		stalled     time.Time
		previous    []byte
		previousID  string
		listeners   []*silentListener
		router      *httprouter.Router
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
		// Count is the number of bookings made with this body.
		Count int `json:"count"`
	}
)

// NewService returns a plain service.
func NewService(conf ServiceConfig) *Service {
	set(&conf.Time, defaultServiceTime)
	if conf.Book == nil {
		conf.Book = &Book{}
	}
	s := &Service{conf: conf, clock: clockOr(conf.Clock), faults: make(counts)}
	s.incarnation = nextIncarnation(0, s.clock.Now())
	r := httprouter.New()
	r.HandlerFunc(http.MethodPost, "/faults", handleFaults(s))
	r.HandlerFunc(http.MethodGet, "/ran", s.ran)
	r.HandlerFunc(http.MethodGet, "/load", s.load)
	r.NotFound = http.HandlerFunc(s.call)
	s.router = r
	return s
}

// Handler serves the calls of the service, GET /load, GET /ran and POST
// /faults.
func (s *Service) Handler() http.Handler { return s.router }

// Ran returns the calls that ran on any replica with the same book.
func (s *Service) Ran() []ServiceRun { return s.conf.Book.Runs() }

// LateWork returns how long after the replica began to leave each later call
// arrived.
func (s *Service) LateWork() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]time.Duration, len(s.late))
	for i, t := range s.late {
		out[i] = t.Sub(s.leaving)
	}
	return out
}

// Runs returns the calls that ran, in order.
func (b *Book) Runs() []ServiceRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs)
}

// add records a run and returns how often a call with its method, path and
// body has run.
func (b *Book) add(r ServiceRun) int {
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

// SetFault makes the service misbehave. It returns an *UnsupportedFaultError.
func (s *Service) SetFault(f Fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case FaultLeave:
		if s.leaving.IsZero() {
			s.leaving, s.late = s.clock.Now(), nil
		}
	case FaultReturn, FaultRestart:
		s.leaving = time.Time{}
		s.incarnation = nextIncarnation(s.incarnation, s.clock.Now())
	case FaultSilent:
		for _, l := range s.listeners {
			l.silence()
		}
	case FaultStall:
		s.stalled = s.clock.Now().Add(f.Delay)
	case FaultLate, FaultCross, FaultCut, FaultError:
		s.faults.add(f)
	default:
		return &UnsupportedFaultError{Fault: f, On: "a plain service"}
	}
	return nil
}

// call runs one call of the service.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, true, "badRequest", "the body could not be read")
		return
	}
	if status, kind := s.enter(); status != 0 {
		writeError(w, status, true, kind, "the service does not take the call; use another replica")
		return
	}
	defer s.leave()
	run := ServiceRun{
		RequestID: r.Header.Get(HeaderRequest), Service: s.conf.Name, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get(HeaderKey), Digest: Digest(string(body)), At: s.clock.Now(),
	}
	// The call counts as run from here on, whether or not the client stays.
	n := s.conf.Book.add(run)
	s.mu.Lock()
	wait := s.conf.Time + max(s.stalled.Sub(run.At), 0)
	delay, _ := s.faults.take(FaultLate)
	_, cut := s.faults.take(FaultCut)
	_, fail := s.faults.take(FaultError)
	s.mu.Unlock()
	if timekeeper.Sleep(r.Context(), s.clock, wait+delay) != nil || cut {
		panic(http.ErrAbortHandler)
	}
	if fail {
		writeError(w, http.StatusInternalServerError, false, "internal", "injected error")
		return
	}
	id, b := s.answer(run, n)
	w.Header().Set(HeaderRequest, id)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// answer returns the body and the request ID to send; with FaultCross they are
// those of the previous call.
func (s *Service) answer(run ServiceRun, n int) (string, []byte) {
	b, err := json.Marshal(bookingBody{RequestID: run.RequestID, Booking: run.Digest, Count: n})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, prev, prevID := run.RequestID, s.previous, s.previousID
	s.previous, s.previousID = b, id
	if prev != nil {
		if _, ok := s.faults.take(FaultCross); ok {
			return prevID, prev
		}
	}
	return id, b
}

// enter takes a place for a call, or returns the status to refuse it with.
func (s *Service) enter() (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving.IsZero() {
		s.late = append(s.late, s.clock.Now())
		return http.StatusServiceUnavailable, "leaving"
	}
	if s.conf.Concurrent > 0 && s.busy >= s.conf.Concurrent {
		return http.StatusServiceUnavailable, "busy"
	}
	s.busy++
	return 0, ""
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	b := loadSample{
		Incarnation: s.incarnation, At: s.clock.Now(), Running: s.busy, Slots: s.conf.Concurrent,
		Leaving: !s.leaving.IsZero(), Loaded: []loadedVersion{},
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, b)
}

func (s *Service) ran(w http.ResponseWriter, r *http.Request) {
	runs := s.Ran()
	from := min(max(after(r), 0), int64(len(runs)))
	writeJSON(w, http.StatusOK, ServiceRanBody{Next: int64(len(runs)), Runs: runs[from:], LateWork: s.LateWork()})
}

func (s *Service) addListener(l *silentListener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
}
