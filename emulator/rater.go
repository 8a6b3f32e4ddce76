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
	// maxRatingWait bounds the query parameter "wait" of POST /rate.
	maxRatingWait = 10 * time.Second
)

type (
	// RaterConfig configures a rating service. Zero fields take defaults.
	RaterConfig struct {
		Clock timekeeper.Clock
		Seed  uint64
		// A rating takes Delay plus a uniformly random part of Jitter.
		Delay, Jitter time.Duration
		// Missing is the fraction of ratings that never appear, 0 to 1.
		Missing float64
		// Wrong is the fraction of ratings that are inverted, 0 to 1.
		Wrong float64
	}

	// Rating is the rating of one answer.
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

	// Rater is a stand-in for the rating service. It reads the grade from the
	// seal of an answer; an answer that was altered, or that belongs to
	// another prompt, fails.
	Rater struct {
		conf   RaterConfig
		clock  timekeeper.Clock
		router *httprouter.Router

		mu      sync.Mutex
		rng     *rand.Rand
		ratings []dueRating
		visible []Rating
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
	setDefault(&conf.Delay, defaultRatingDelay)
	r := &Rater{conf: conf, clock: clockOrSystem(conf.Clock), rng: rand.New(rand.NewPCG(conf.Seed, conf.Seed))}
	m := httprouter.New()
	m.HandlerFunc(http.MethodPost, "/rate", r.serveRate)
	m.HandlerFunc(http.MethodGet, "/ratings", r.serveRatings)
	m.HandlerFunc(http.MethodPost, "/faults", handleFaults(r))
	r.router = m
	return r
}

// Handler serves POST /rate, GET /ratings and POST /faults.
func (r *Rater) Handler() http.Handler { return r.router }

// SetFault makes the service unavailable or available again. It returns an
// *UnsupportedFaultError.
func (r *Rater) SetFault(f Fault) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return applyDownFault(&r.down, f, "the rating service")
}

func (r *Rater) serveRate(w http.ResponseWriter, req *http.Request) {
	var q rateRequest
	if !readJSON(w, req, &q) {
		return
	}
	rating, delay, ok := r.rateAnswer(q)
	if !ok {
		writeError(w, http.StatusServiceUnavailable, true, "down", "the rating service is unavailable")
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

// rateAnswer rates an answer and returns the time that the rating takes; for a
// missing rating it exceeds any wait. It returns false under FaultDown.
func (r *Rater) rateAnswer(q rateRequest) (Rating, time.Duration, bool) {
	j := VerifyAnswer(q.Prompt, q.Response)
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
		Pass: j.Intact && (j.MatchesPrompt || q.Prompt == "") && j.Pass,
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

// serveRatings serves GET /ratings: the ratings whose delay has passed, numbered
// in the order in which they became visible.
func (r *Rater) serveRatings(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		writeError(w, http.StatusServiceUnavailable, true, "down", "the rating service is unavailable")
		return
	}
	now := r.clock.Now()
	notDue := r.ratings[:0]
	for _, d := range r.ratings {
		if d.due.After(now) {
			notDue = append(notDue, d)
			continue
		}
		d.Seq = int64(len(r.visible)) + 1
		r.visible = append(r.visible, d.Rating)
	}
	r.ratings = notDue
	from := min(max(afterParam(req), 0), int64(len(r.visible)))
	writeJSON(w, http.StatusOK, ratingsBody{Next: int64(len(r.visible)), Ratings: append([]Rating{}, r.visible[from:]...)})
}

// applyDownFault applies FaultDown or FaultReturn to a stand-in named on.
func applyDownFault(down *bool, f Fault, on string) error {
	switch f.Kind {
	case FaultDown:
		*down = true
	case FaultReturn:
		*down = false
	default:
		return &UnsupportedFaultError{Fault: f, Target: on}
	}
	return nil
}
