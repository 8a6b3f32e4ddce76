// Package poller polls upstreams for their load and prefix cache events, the
// platform for leaving upstreams and the rating service for ratings.
//
// Reports are already outdated when they arrive. The poller passes them on
// unchanged; the packages that use them account for their age.
//
// # Usage
//
//	p := poller.New(poller.Options{Clock: clock, Views: views, Sink: sink, Platform: addr, Rater: addr})
//	go p.Run(ctx)
//	p.PollSoon(upstream.Address) // poll this one at once
//
// A Poller also implements router.Ratings.
package poller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/buffer"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

const (
	// minRoundInterval is the shortest time between two rounds over all
	// upstreams.
	minRoundInterval = 500 * time.Millisecond
	// maxPollRate limits the upstreams polled per second, and so the cost of
	// polling. With many upstreams the rounds take longer, and the picker
	// relies more on the host's own counts.
	maxPollRate = 40
	// listInterval is the time between two reads of the platform's list. With
	// the lag of the list it must stay below the 3 s in which a leaving
	// upstream may still get work.
	listInterval = 500 * time.Millisecond
	// warmUpTimeout is the time after which a host serves requests although
	// initial reports are missing.
	warmUpTimeout = 5 * time.Second
	// callTimeout bounds one call.
	callTimeout = time.Second
	// maxUpstreamCalls bounds the upstreams polled concurrently in a round.
	maxUpstreamCalls = 16
	// suspectQueueSize is the number of suspects that may wait to be polled.
	suspectQueueSize = 256
	// maxReportBytes bounds the body of a report.
	maxReportBytes = 4 << 20
)

type (
	// Load is the load report of an upstream.
	Load struct {
		Incarnation uint64                `json:"incarnation"`
		At          time.Time             `json:"at"`
		Running     int                   `json:"running"`
		Waiting     int                   `json:"waiting"`
		Slots       int                   `json:"slots"`
		Leaving     bool                  `json:"leaving"`
		Loaded      []declarer.VersionRef `json:"loaded"`
	}

	// CacheEvent says that a prefix entered or left an engine's cache.
	CacheEvent struct {
		Seq  uint64 `json:"seq"`
		Add  bool   `json:"add"`
		Drop bool   `json:"drop"`
		// Prefix is the hexadecimal hash of the prefix.
		Prefix string `json:"prefix"`
	}

	// Host is one upstream in the platform's list.
	Host struct {
		Address     netip.AddrPort `json:"address"`
		Incarnation uint64         `json:"incarnation"`
		State       string         `json:"state"`
	}

	// Sink receives the reports. Its methods must be safe for concurrent use.
	Sink interface {
		Load(addr netip.AddrPort, l Load)
		CacheEvents(addr netip.AddrPort, incarnation uint64, events []CacheEvent)
		Hosts(hosts []Host)
		Rating(r router.Rating)
	}

	// Options configure a Poller. Clock, Views and Sink are required.
	Options struct {
		Clock timekeeper.Clock
		Scope counter.Scope
		Views router.Views
		Sink  Sink
		// Client reaches the upstreams, the platform and the rating service;
		// nil means http.DefaultClient.
		Client *http.Client
		// Scheme is "http" or "https"; empty means "http".
		Scheme string
		// Platform and Rater are not polled if the address is invalid.
		Platform, Rater netip.AddrPort
		// RateShare is the fraction of answers, 0 to 1, that is offered to the
		// rating service; 0 means 0.25.
		RateShare float64
	}

	// Poller polls for reports. Make it with New.
	Poller struct {
		opts     Options
		suspects *buffer.Ring[netip.AddrPort]
		offers   *buffer.Ring[router.RateRequest]

		// warm is closed to make Warm return true.
		warm                          chan struct{}
		listOnce, roundOnce, warmOnce sync.Once
		// pendingInitial counts the missing initial reports: the first round
		// over the upstreams and the platform's first list.
		pendingInitial atomic.Int32

		mu      sync.Mutex
		cursors map[netip.AddrPort]cursor
		// offerCredit grows with each answer; at 1 the answer is offered.
		offerCredit float64
	}

	// cursor is the position in an engine's sequence of cache events.
	cursor struct {
		incarnation uint64
		next        uint64
	}

	// StatusError says that a call was answered with a status of 300 or above.
	StatusError struct {
		Addr   netip.AddrPort
		Path   string
		Status int
	}

	cacheEvents struct {
		Incarnation uint64       `json:"incarnation"`
		Next        uint64       `json:"next"`
		Events      []CacheEvent `json:"events"`
	}

	hostList struct {
		Hosts []Host `json:"hosts"`
	}
)

// New returns a poller; Run starts it.
func New(o Options) *Poller {
	if o.RateShare <= 0 {
		o.RateShare = defaultRateShare
	}
	if o.Client == nil {
		o.Client = http.DefaultClient
	}
	if o.Scheme == "" {
		o.Scheme = "http"
	}
	p := &Poller{
		opts: o, warm: make(chan struct{}), cursors: make(map[netip.AddrPort]cursor),
		suspects: buffer.New[netip.AddrPort](suspectQueueSize), offers: buffer.New[router.RateRequest](offerQueueSize),
	}
	p.pendingInitial.Store(1)
	if o.Platform.IsValid() {
		p.pendingInitial.Store(2)
	}
	return p
}

// Warm reports whether every upstream has been polled once and the platform has
// answered, or 5 s have passed since the start of Run. Before that, a newly
// started host may not know that an upstream is leaving.
func (p *Poller) Warm() bool {
	select {
	case <-p.warm:
		return true
	default:
		return false
	}
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d to %s", e.Addr, e.Status, e.Path)
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	loops := pool.New().WithContext(ctx)
	loops.Go(p.pollUpstreams)
	loops.Go(p.pollSuspects)
	loops.Go(p.limitWarmUp)
	if p.opts.Platform.IsValid() {
		loops.Go(p.pollPlatform)
	}
	if p.opts.Rater.IsValid() {
		loops.Go(p.sendOffers)
		loops.Go(p.pollRatings)
	}
	return loops.Wait()
}

// PollSoon polls the load of an upstream before its turn. It does not block;
// the address is dropped if too many are waiting.
func (p *Poller) PollSoon(addr netip.AddrPort) { p.suspects.Offer(addr) }

// pollUpstreams polls all upstreams in rounds until ctx ends.
func (p *Poller) pollUpstreams(ctx context.Context) error {
	for {
		var upstreams []declarer.Upstream
		if c := p.opts.Views.Catalog(); c != nil {
			upstreams = c.View.Config.Upstreams
		}
		round := pool.New().WithMaxGoroutines(maxUpstreamCalls)
		interval := max(minRoundInterval, time.Duration(len(upstreams))*time.Second/maxPollRate)
		for i := range upstreams {
			round.Go(func() { p.pollUpstream(ctx, &upstreams[i]) })
			if err := timekeeper.Sleep(ctx, p.opts.Clock, interval/time.Duration(len(upstreams))); err != nil {
				round.Wait()
				return err
			}
		}
		round.Wait()
		if p.opts.Views.Catalog() != nil {
			p.roundOnce.Do(p.completeInitialReport)
		}
		if len(upstreams) > 0 {
			continue
		}
		if err := timekeeper.Sleep(ctx, p.opts.Clock, interval); err != nil {
			return err
		}
	}
}

// completeInitialReport closes warm after the last initial report.
func (p *Poller) completeInitialReport() {
	if p.pendingInitial.Add(-1) == 0 {
		p.warmOnce.Do(func() { close(p.warm) })
	}
}

// limitWarmUp closes warm after warmUpTimeout in any case.
func (p *Poller) limitWarmUp(ctx context.Context) error {
	if err := timekeeper.Sleep(ctx, p.opts.Clock, warmUpTimeout); err != nil {
		return err
	}
	p.warmOnce.Do(func() { close(p.warm) })
	return nil
}

func (p *Poller) pollSuspects(ctx context.Context) error {
	for {
		addr, err := p.suspects.Take(ctx)
		if err != nil {
			return err
		}
		p.pollLoad(ctx, addr)
	}
}

// pollUpstream polls the load of an upstream and, if it is a model engine, its
// cache events.
func (p *Poller) pollUpstream(ctx context.Context, u *declarer.Upstream) {
	p.pollLoad(ctx, u.Address)
	if len(u.Serves) > 0 {
		p.pollCacheEvents(ctx, u.Address)
	}
}

func (p *Poller) pollLoad(ctx context.Context, addr netip.AddrPort) {
	l, err := fetchReport[Load](ctx, p, addr, "/load")
	if err != nil {
		p.opts.Scope.Counter("poller.failed", "report", "load").Inc(1)
		return
	}
	p.opts.Sink.Load(addr, *l)
}

func (p *Poller) pollCacheEvents(ctx context.Context, addr netip.AddrPort) {
	p.mu.Lock()
	last := p.cursors[addr]
	p.mu.Unlock()
	report, err := fetchReport[cacheEvents](ctx, p, addr, "/cache/events?after="+strconv.FormatUint(last.next, 10))
	if err != nil {
		p.opts.Scope.Counter("poller.failed", "report", "cache").Inc(1)
		return
	}
	next := cursor{incarnation: report.Incarnation, next: report.Next}
	if last.incarnation != report.Incarnation && last.incarnation != 0 {
		// A restarted engine numbers its events from the start; fetch all of
		// them in the next round.
		next.next = 0
		report.Events = nil
	}
	p.mu.Lock()
	p.cursors[addr] = next
	p.mu.Unlock()
	if len(report.Events) > 0 {
		p.opts.Sink.CacheEvents(addr, report.Incarnation, report.Events)
	}
}

// pollPlatform reads the platform's list every listInterval until ctx ends.
func (p *Poller) pollPlatform(ctx context.Context) error {
	for {
		list, err := fetchReport[hostList](ctx, p, p.opts.Platform, "/hosts")
		if err == nil {
			p.opts.Sink.Hosts(list.Hosts)
			p.listOnce.Do(p.completeInitialReport)
		} else if ctx.Err() == nil {
			p.opts.Scope.Counter("poller.failed", "report", "platform").Inc(1)
		}
		if err := timekeeper.Sleep(ctx, p.opts.Clock, listInterval); err != nil {
			return err
		}
	}
}

// fetchReport gets one report and decodes it from JSON.
func fetchReport[T any](ctx context.Context, p *Poller, addr netip.AddrPort, path string) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.opts.Scheme+"://"+addr.String()+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create the request for a report")
	}
	return doRequest[T](p, req, addr)
}

// doRequest sends a request and decodes the response; an empty body is zero.
func doRequest[T any](p *Poller, req *http.Request, addr netip.AddrPort) (*T, error) {
	resp, err := p.opts.Client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, &StatusError{Addr: addr, Path: req.URL.Path, Status: resp.StatusCode}
	}
	out := new(T)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(out); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrapf(err, "decode the report from %s", addr)
	}
	return out, nil
}
