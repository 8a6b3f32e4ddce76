package dialer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/buffer"
	"foxtailwall/declarer"
	"foxtailwall/router"
)

const (
	// offerCapacity bounds the answers that wait to be handed over; each
	// holds a prompt and an answer.
	offerCapacity = 256
	// rateSlack is the time a rating may take beyond what it was asked to
	// wait for.
	rateSlack = 100 * time.Millisecond
)

type (
	// RaterOptions are the settings of a Rater.
	RaterOptions struct {
		Service netip.AddrPort
		// Share is the share of answers to offer, 0 to 1.
		Share float64
	}

	// Rater is the client of the rating service. It implements
	// router.Ratings. Make it with NewRater; Run hands over the answers that
	// were offered.
	Rater struct {
		d       *Dialer
		o       RaterOptions
		service *declarer.Upstream
		offers  *buffer.Ring[router.RateRequest]
		seen    atomic.Uint64
	}

	// rateRequest is the body of POST /rate.
	rateRequest struct {
		RequestID string        `json:"requestId"`
		Workspace string        `json:"workspace"`
		Kind      declarer.Kind `json:"kind"`
		Model     string        `json:"model"`
		Version   string        `json:"version"`
		Prompt    string        `json:"prompt"`
		Response  string        `json:"response"`
	}
)

var _ router.Ratings = (*Rater)(nil)

// NewRater returns a rater that uses the connections of d.
func NewRater(d *Dialer, o RaterOptions) *Rater {
	return &Rater{
		d: d, o: o, service: &declarer.Upstream{Name: "ratings", Address: o.Service},
		offers: buffer.New[router.RateRequest](offerCapacity),
	}
}

// Run hands over what was offered until ctx ends.
func (r *Rater) Run(ctx context.Context) {
	for {
		q, err := r.offers.Take(ctx)
		if err != nil {
			return
		}
		if _, err := r.post(ctx, q, "/rate", pollTimeout); err != nil && ctx.Err() == nil {
			r.d.o.Scope.Counter("dialer.rateFailures").Inc(1)
		}
	}
}

// Wants implements router.Ratings. It spreads the share evenly.
func (r *Rater) Wants() bool {
	n := float64(r.seen.Add(1))
	return uint64(n*r.o.Share) > uint64((n-1)*r.o.Share)
}

// Offer implements router.Ratings.
func (r *Rater) Offer(q router.RateRequest) {
	if !r.offers.Offer(q) {
		r.d.o.Scope.Counter("dialer.rateDrops").Inc(1)
	}
}

// Rate implements router.Ratings.
func (r *Rater) Rate(ctx context.Context, q router.RateRequest, wait time.Duration) (router.Rating, bool) {
	if wait <= 0 {
		return router.Rating{}, false
	}
	a, err := r.post(ctx, q, "/rate?wait="+strconv.FormatInt(wait.Milliseconds(), 10), wait+rateSlack)
	if err != nil {
		r.d.o.Scope.Counter("dialer.rateFailures").Inc(1)
		return router.Rating{}, false
	}
	var v ratingWire
	if a.Status != http.StatusOK || json.Unmarshal(a.Body, &v) != nil || v.RequestID != q.RequestID {
		return router.Rating{}, false
	}
	return router.Rating(v), true
}

func (r *Rater) post(ctx context.Context, q router.RateRequest, path string, limit time.Duration) (*router.Answer, error) {
	body, err := json.Marshal(rateRequest{
		RequestID: q.RequestID, Workspace: q.Workspace, Kind: q.Kind, Model: q.Ref.Model, Version: q.Ref.Version,
		Prompt: string(q.Prompt), Response: q.Response,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode rating request")
	}
	return r.d.Do(ctx, &router.Attempt{
		Upstream: r.service, Method: http.MethodPost, Path: path, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}}, Deadline: r.d.o.Clock.Now().Add(limit),
	})
}
