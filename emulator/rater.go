package emulator

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailwall/declarer"
	"foxtailwall/timekeeper"
)

const (
	defaultRatingDelay = 50 * time.Millisecond
	// maxRatingWait bounds the wait parameter.
	maxRatingWait = 10 * time.Second
)

type (
	// RaterConfig describes a rating service. Zero fields take defaults.
	RaterConfig struct {
		Clock timekeeper.Clock
		Seed  uint64
		// Delay and Jitter give the time a rating takes: Delay plus a uniform
		// share of Jitter.
		Delay, Jitter time.Duration
		// Missing is the share of ratings that never appear, 0 to 1.
		Missing float64
		// Wrong is the share of ratings that say the opposite, 0 to 1.
		Wrong float64
	}

	// Rating is one verdict of the rating service.
	Rating struct {
		Seq       int64         `json:"seq"`
		RequestID string        `json:"requestId"`
		Workspace string        `json:"workspace"`
		Kind      declarer.Kind `json:"kind"`
		Model     string        `json:"model"`
		Version   string        `json:"version"`
		Pass      bool          `json:"pass"`
		// Score is 1 for a pass and 0 for a failure.
		Score float64 `json:"score"`
	}

	// Rater is a stand-in for the rating service; it reads the grade from the
	// seal of an answer. An answer that is not whole, or not an answer to the
	// prompt, fails.
	Rater struct {
		conf   RaterConfig
		clock  timekeeper.Clock
		router *httprouter.Router

		mu      sync.Mutex
		rng     *rand.Rand
		ratings []dueRating
		shown   []Rating
		down    bool
	}

	dueRating struct {
		Rating
		due time.Time
	}

	rateRequest struct {
		RequestID string        `json:"requestId"`
		Workspace string        `json:"workspace"`
		Kind      declarer.Kind `json:"kind"`
		Model     string        `json:"model"`
		Version   string        `json:"version"`
		Prompt    string        `json:"prompt"`
		Response  string        `json:"response"`
	}

	ratingsBody struct {
		Next    int64    `json:"next"`
		Ratings []Rating `json:"ratings"`
	}
)

// NewRater returns a rating service.
func NewRater(conf RaterConfig) *Rater {
	set(&conf.Delay, defaultRatingDelay)
	r := &Rater{conf: conf, clock: clockOr(conf.Clock), rng: rand.New(rand.NewPCG(conf.Seed, conf.Seed))}
	m := httprouter.New()
	m.HandlerFunc(http.MethodPost, "/rate", r.rate)
	m.HandlerFunc(http.MethodGet, "/ratings", r.list)
	m.HandlerFunc(http.MethodPost, "/faults", handleFaults(r))
	r.router = m
	return r
}

// Handler serves POST /rate, GET /ratings and POST /faults.
func (r *Rater) Handler() http.Handler { return r.router }

// SetFault takes the service down or back. It returns an
// *UnsupportedFaultError.
func (r *Rater) SetFault(f Fault) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return setDown(&r.down, f, "the rating service")
}

func (r *Rater) rate(w http.ResponseWriter, req *http.Request) {
	var q rateRequest
	if !readJSON(w, req, &q) {
		return
	}
	rating, delay, ok := r.draw(q)
	if !ok {
		writeError(w, http.StatusServiceUnavailable, true, "down", "the rating service is down")
		return
	}
	ms, _ := strconv.ParseInt(req.URL.Query().Get("wait"), 10, 64)
	wait := min(time.Duration(ms)*time.Millisecond, maxRatingWait)
	if wait <= 0 {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	err := timekeeper.Sleep(req.Context(), r.clock, min(wait, delay))
	if err != nil || delay > wait {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	writeJSON(w, http.StatusOK, rating)
}

// draw rates an answer and returns the time that the rating takes, which is
// beyond any wait for one that goes missing.
func (r *Rater) draw(q rateRequest) (Rating, time.Duration, bool) {
	j := Judge(q.Prompt, q.Response)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return Rating{}, 0, false
	}
	delay := r.conf.Delay
	if r.conf.Jitter > 0 {
		delay += time.Duration(r.rng.Int64N(int64(r.conf.Jitter)))
	}
	v := Rating{
		RequestID: q.RequestID, Workspace: q.Workspace, Kind: q.Kind, Model: q.Model, Version: q.Version,
		Pass: j.Whole && (j.Own || q.Prompt == "") && j.Pass,
	}
	if r.rng.Float64() < r.conf.Wrong {
		v.Pass = !v.Pass
	}
	if v.Pass {
		v.Score = 1
	}
	if r.rng.Float64() < r.conf.Missing {
		return v, 2 * maxRatingWait, true
	}
	r.ratings = append(r.ratings, dueRating{v, r.clock.Now().Add(delay)})
	return v, delay, true
}

// list serves GET /ratings: the ratings that are due, numbered in the order in
// which they became visible.
func (r *Rater) list(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		writeError(w, http.StatusServiceUnavailable, true, "down", "the rating service is down")
		return
	}
	now := r.clock.Now()
	late := r.ratings[:0]
	for _, d := range r.ratings {
		if d.due.After(now) {
			late = append(late, d)
			continue
		}
		d.Seq = int64(len(r.shown)) + 1
		r.shown = append(r.shown, d.Rating)
	}
	r.ratings = late
	from := min(max(after(req), 0), int64(len(r.shown)))
	writeJSON(w, http.StatusOK, ratingsBody{Next: int64(len(r.shown)), Ratings: append([]Rating{}, r.shown[from:]...)})
}

// setDown applies FaultDown and FaultReturn.
func setDown(down *bool, f Fault, on string) error {
	switch f.Kind {
	case FaultDown:
		*down = true
	case FaultReturn:
		*down = false
	default:
		return &UnsupportedFaultError{Fault: f, On: on}
	}
	return nil
}
