package poller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/declarer"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

const (
	// defaultRateShare is the share of answers offered to the rating service.
	defaultRateShare = 0.25
	// offerRing is the number of answers that wait to be offered; more are
	// not rated.
	offerRing = 256
	// offerCalls bounds the offers under way.
	offerCalls = 8
	// ratingsInterval is the time between two looks for late ratings.
	ratingsInterval = time.Second
)

type (
	rateRequest struct {
		RequestID string        `json:"requestId"`
		Workspace string        `json:"workspace"`
		Kind      declarer.Kind `json:"kind"`
		Model     string        `json:"model"`
		Version   string        `json:"version"`
		Prompt    string        `json:"prompt"`
		Response  string        `json:"response"`
	}

	rating struct {
		Seq       int64   `json:"seq"`
		RequestID string  `json:"requestId"`
		Pass      bool    `json:"pass"`
		Score     float64 `json:"score"`
	}

	ratings struct {
		Next    int64    `json:"next"`
		Ratings []rating `json:"ratings"`
	}
)

var _ router.Ratings = (*Poller)(nil)

// Rate implements router.Ratings.
func (p *Poller) Rate(ctx context.Context, r router.RateRequest, wait time.Duration) (router.Rating, bool) {
	if !p.o.Rater.IsValid() || wait <= 0 {
		return router.Rating{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	v, err := p.post(ctx, r, "/rate?wait="+strconv.FormatInt(wait.Milliseconds(), 10))
	if err != nil || v.RequestID != r.RequestID {
		p.o.Scope.Counter("poller.ratingsLate").Inc(1)
		return router.Rating{}, false
	}
	return router.Rating{RequestID: v.RequestID, Pass: v.Pass, Score: v.Score}, true
}

// Wants implements router.Ratings: it spreads the declared share evenly.
func (p *Poller) Wants() bool {
	if !p.o.Rater.IsValid() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted += p.o.RateShare
	if p.wanted < 1 {
		return false
	}
	p.wanted--
	return true
}

// Offer implements router.Ratings.
func (p *Poller) Offer(r router.RateRequest) {
	if !p.offers.Offer(r) {
		p.o.Scope.Counter("poller.offersDropped").Inc(1)
	}
}

func (p *Poller) runOffers(ctx context.Context) error {
	calls := pool.New().WithMaxGoroutines(offerCalls)
	defer calls.Wait()
	for {
		r, err := p.offers.Take(ctx)
		if err != nil {
			return err
		}
		calls.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if _, err := p.post(bounded, r, "/rate"); err != nil {
				p.o.Scope.Counter("poller.failed", "report", "offer").Inc(1)
			}
		})
	}
}

// runRatings collects the ratings that were not ready when they were asked
// for.
func (p *Poller) runRatings(ctx context.Context) error {
	after := int64(0)
	for {
		got, err := get[ratings](ctx, p, p.o.Rater, "/ratings?after="+strconv.FormatInt(after, 10))
		if err == nil {
			if got.Next < after {
				got.Next = 0 // The service has started anew and counts from the start.
			}
			after = got.Next
			for _, v := range got.Ratings {
				p.o.Sink.Rated(router.Rating{RequestID: v.RequestID, Pass: v.Pass, Score: v.Score})
			}
		} else if ctx.Err() == nil {
			p.o.Scope.Counter("poller.failed", "report", "ratings").Inc(1)
		}
		if err := timekeeper.Sleep(ctx, p.o.Clock, ratingsInterval); err != nil {
			return err
		}
	}
}

func (p *Poller) post(ctx context.Context, r router.RateRequest, path string) (*rating, error) {
	body, err := json.Marshal(rateRequest{
		RequestID: r.RequestID, Workspace: r.Workspace, Kind: r.Kind, Model: r.Ref.Model, Version: r.Ref.Version,
		Prompt: string(r.Prompt), Response: r.Response,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode an answer for the rating service")
	}
	url := p.o.Scheme + "://" + p.o.Rater.String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request to the rating service")
	}
	req.Header.Set("Content-Type", "application/json")
	return receive[rating](p, req, p.o.Rater)
}
