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
	defaultWeightBytes = 64 << 10
	// defaultRetryAfter is the wait after status 429 without a valid
	// Retry-After header.
	defaultRetryAfter = time.Second
)

type (
	// WeightConfig configures a weight store. Zero fields take defaults.
	WeightConfig struct {
		Clock timekeeper.Clock
		// Rate is the maximum number of fetches per second, Burst the maximum
		// burst size.
		Rate  float64
		Burst int
		// Size is the size of the weights in bytes.
		Size int
	}

	// WeightStore is a stand-in for the store of model weights. Fetches beyond
	// its rate limit get status 429.
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

	// FetchError reports that the weight store refused a fetch.
	FetchError struct {
		Model, Version string
		Status         int
	}
)

// NewWeightStore returns a weight store with the given configuration.
func NewWeightStore(conf WeightConfig) *WeightStore {
	setDefault(&conf.Rate, defaultWeightRate)
	setDefault(&conf.Burst, defaultWeightBurst)
	setDefault(&conf.Size, defaultWeightBytes)
	s := &WeightStore{conf: conf, clock: clockOrSystem(conf.Clock), limiter: rate.NewLimiter(rate.Limit(conf.Rate), conf.Burst)}
	r := httprouter.New()
	r.HandlerFunc(http.MethodGet, "/weights/:model/:version", s.serveWeights)
	r.HandlerFunc(http.MethodPost, "/faults", handleFaults(s))
	s.router = r
	return s
}

// Handler serves GET /weights/MODEL/VERSION and POST /faults.
func (s *WeightStore) Handler() http.Handler { return s.router }

// Counts returns the number of fetches served and of those rejected by the rate
// limit.
func (s *WeightStore) Counts() (served, rejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.rejected
}

// SetFault makes the store unavailable or available again. It returns an
// *UnsupportedFaultError.
func (s *WeightStore) SetFault(f Fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return applyDownFault(&s.down, f, "the weight store")
}

// Error implements error.
func (e *FetchError) Error() string {
	return fmt.Sprintf("weight store returned status %d for %s/%s", e.Status, e.Model, e.Version)
}

func (s *WeightStore) serveWeights(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		writeError(w, http.StatusServiceUnavailable, true, "down", "the weight store is unavailable")
		return
	}
	now := s.clock.Now()
	if !s.limiter.AllowN(now, 1) {
		s.rejected++
		wait := time.Duration(float64(time.Second) / s.conf.Rate)
		w.Header().Set("Retry-After", strconv.Itoa(max(int(wait/time.Second), 1)))
		writeError(w, http.StatusTooManyRequests, true, "limited", "rate limit exceeded; see Retry-After")
		return
	}
	s.served++
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, s.conf.Size))
}

// FetchWeights returns a function for EngineConfig.Weights that fetches from the
// weight store at addr. The function retries after the Retry-After time when
// rate limited, and returns a *FetchError for any other status but 200.
func FetchWeights(client *http.Client, clock timekeeper.Clock, addr netip.AddrPort) func(context.Context, string, string) error {
	clock = clockOrSystem(clock)
	return func(ctx context.Context, model, version string) error {
		for {
			wait, err := tryFetch(ctx, client, addr, model, version)
			if err != nil || wait == 0 {
				return err
			}
			if err := timekeeper.Sleep(ctx, clock, wait); err != nil {
				return err
			}
		}
	}
}

// tryFetch makes one fetch. It returns the time to wait before a retry, or zero
// once the weights are fetched.
func tryFetch(ctx context.Context, client *http.Client, addr netip.AddrPort, model, version string) (time.Duration, error) {
	url := fmt.Sprintf("http://%s/weights/%s/%s", addr, model, version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "create the request for weights")
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
			return defaultRetryAfter, nil
		}
		return time.Duration(seconds) * time.Second, nil
	default:
		return 0, &FetchError{Model: model, Version: version, Status: resp.StatusCode}
	}
}
