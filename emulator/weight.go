package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"foxtailwall/timekeeper"
)

const (
	defaultWeightRate  = 2.0
	defaultWeightBurst = 2
	defaultWeightSize  = 64 << 10
	// retryDefault is the wait after a 429 without a usable Retry-After.
	retryDefault = time.Second
)

type (
	// WeightConfig describes a weight store. Zero fields take defaults.
	WeightConfig struct {
		Clock timekeeper.Clock
		// Rate is the number of fetches in a second, Burst how many may come
		// at once.
		Rate  float64
		Burst int
		// Size is the size of the weights in bytes.
		Size int
	}

	// WeightStore is a stand-in for the weight store.
	WeightStore struct {
		conf    WeightConfig
		clock   timekeeper.Clock
		limiter *rate.Limiter
		router  *httprouter.Router

		mu       sync.Mutex
		down     bool
		served   int
		rejected int
	}

	// FetchError says that the weight store did not give out weights.
	FetchError struct {
		Model, Version string
		Status         int
	}
)

// NewWeightStore returns a weight store.
func NewWeightStore(conf WeightConfig) *WeightStore {
	set(&conf.Rate, defaultWeightRate)
	set(&conf.Burst, defaultWeightBurst)
	set(&conf.Size, defaultWeightSize)
	s := &WeightStore{conf: conf, clock: clockOr(conf.Clock), limiter: rate.NewLimiter(rate.Limit(conf.Rate), conf.Burst)}
	r := httprouter.New()
	r.HandlerFunc(http.MethodGet, "/weights/:model/:version", s.get)
	r.HandlerFunc(http.MethodPost, "/faults", handleFaults(s))
	s.router = r
	return s
}

// Handler serves GET /weights/MODEL/VERSION and POST /faults.
func (s *WeightStore) Handler() http.Handler { return s.router }

// Counts returns the fetches served and those rejected by the rate limit.
func (s *WeightStore) Counts() (served, rejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.rejected
}

// SetFault takes the store down or back. It returns an
// *UnsupportedFaultError.
func (s *WeightStore) SetFault(f Fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return setDown(&s.down, f, "the weight store")
}

// Error implements error.
func (e *FetchError) Error() string {
	return fmt.Sprintf("the weight store answered %d for %s/%s", e.Status, e.Model, e.Version)
}

func (s *WeightStore) get(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		writeError(w, http.StatusServiceUnavailable, true, "down", "the weight store is down")
		return
	}
	now := s.clock.Now()
	if !s.limiter.AllowN(now, 1) {
		s.rejected++
		wait := time.Duration(float64(time.Second) / s.conf.Rate)
		w.Header().Set("Retry-After", strconv.Itoa(max(int(wait/time.Second), 1)))
		writeError(w, http.StatusTooManyRequests, true, "limited", "the rate of fetches is limited; see Retry-After")
		return
	}
	s.served++
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, s.conf.Size))
}

// FetchWeights returns a function for EngineConfig.Weights that fetches from
// the weight store at addr and waits as long as the store's rate limit says.
// It returns a *FetchError for any other refusal.
func FetchWeights(client *http.Client, clock timekeeper.Clock, addr netip.AddrPort) func(context.Context, string, string) error {
	clock = clockOr(clock)
	return func(ctx context.Context, model, version string) error {
		for {
			wait, err := fetch(ctx, client, addr, model, version)
			if err != nil || wait == 0 {
				return err
			}
			if err := timekeeper.Sleep(ctx, clock, wait); err != nil {
				return err
			}
		}
	}
}

// fetch returns the time to wait, or zero once the weights have arrived.
func fetch(ctx context.Context, client *http.Client, addr netip.AddrPort, model, version string) (time.Duration, error) {
	url := fmt.Sprintf("http://%s/weights/%s/%s", addr, model, version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "make the request for weights")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.Wrapf(err, "fetch the weights of %s/%s", model, version)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, errors.Wrapf(err, "read the weights of %s/%s", model, version)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return 0, nil
	case http.StatusTooManyRequests:
		seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		if err != nil || seconds < 1 {
			return retryDefault, nil
		}
		return time.Duration(seconds) * time.Second, nil
	default:
		return 0, &FetchError{Model: model, Version: version, Status: resp.StatusCode}
	}
}
