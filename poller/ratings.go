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
	// defaultRateShare is the fraction of answers offered to the rating
	// service.
	defaultRateShare = 0.25
	// offerQueueSize is the number of answers that may wait to be offered;
	// further ones are dropped and not rated.
	offerQueueSize = 256
	// maxOffers bounds the concurrent offers.
	maxOffers = 8
	// ratingsInterval is the time between two polls for late ratings.
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
	if !p.opts.Rater.IsValid() || wait <= 0 {
		return router.Rating{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	got, err := p.postAnswer(ctx, r, "/rate?wait="+strconv.FormatInt(wait.Milliseconds(), 10))
	if err != nil || got.RequestID != r.RequestID {
		p.opts.Scope.Counter("poller.ratingsLate").Inc(1)
		return router.Rating{}, false
	}
	return router.Rating{RequestID: got.RequestID, Pass: got.Pass, Score: got.Score}, true
}

// WantsNext implements router.Ratings. It spreads Options.RateShare evenly.
func (p *Poller) WantsNext() bool {
	if !p.opts.Rater.IsValid() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offerCredit += p.opts.RateShare
	if p.offerCredit < 1 {
		return false
	}
	p.offerCredit--
	return true
}

// Offer implements router.Ratings.
func (p *Poller) Offer(r router.RateRequest) {
	if !p.offers.Offer(r) {
		p.opts.Scope.Counter("poller.offersDropped").Inc(1)
	}
}

func (p *Poller) sendOffers(ctx context.Context) error {
	calls := pool.New().WithMaxGoroutines(maxOffers)
	defer calls.Wait()
	for {
		r, err := p.offers.Take(ctx)
		if err != nil {
			return err
		}
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if _, err := p.postAnswer(callCtx, r, "/rate"); err != nil {
				p.opts.Scope.Counter("poller.failed", "report", "offer").Inc(1)
			}
		})
	}
}

// pollRatings collects the ratings that were not ready when they were
// requested.
func (p *Poller) pollRatings(ctx context.Context) error {
	after := int64(0)
	for {
		got, err := fetchReport[ratings](ctx, p, p.opts.Rater, "/ratings?after="+strconv.FormatInt(after, 10))
		if err == nil {
			if got.Next < after {
				got.Next = 0 // The service has restarted and numbers its ratings from the start.
			}
			after = got.Next
			for _, v := range got.Ratings {
				p.opts.Sink.Rating(router.Rating{RequestID: v.RequestID, Pass: v.Pass, Score: v.Score})
			}
		} else if ctx.Err() == nil {
			p.opts.Scope.Counter("poller.failed", "report", "ratings").Inc(1)
		}
		if err := timekeeper.Sleep(ctx, p.opts.Clock, ratingsInterval); err != nil {
			return err
		}
	}
}

// postAnswer sends an answer to the rating service and returns its rating.
func (p *Poller) postAnswer(ctx context.Context, r router.RateRequest, path string) (*rating, error) {
	body, err := json.Marshal(rateRequest{
		RequestID: r.RequestID, Workspace: r.Workspace, Kind: r.Kind, Model: r.Ref.Model, Version: r.Ref.Version,
		Prompt: string(r.Prompt), Response: r.Response,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode an answer for the rating service")
	}
	url := p.opts.Scheme + "://" + p.opts.Rater.String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create the request to the rating service")
	}
	req.Header.Set("Content-Type", "application/json")
	return doRequest[rating](p, req, p.opts.Rater)
}
