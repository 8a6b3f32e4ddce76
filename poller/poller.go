// Package poller asks upstreams, the platform and the rating service for what
// they report: load, prefix cache events, leaving hosts and ratings.
//
// Every report lags. The poller hands reports on as they are; the packages
// that use them correct for their age.
//
// # Usage
//
//	p := poller.New(poller.Options{Clock: clock, Views: views, Sink: sink, Platform: addr, Rater: addr})
//	go p.Run(ctx)
//	p.Suspect(upstream.Address) // look at this one at once
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
	// minInterval is the shortest time between two rounds over all upstreams.
	minInterval = 500 * time.Millisecond
	// maxRate bounds the upstreams asked in a second, and with it what the
	// poller costs a host: with many upstreams the rounds get longer, and the
	// picker relies more on the host's own counts.
	maxRate = 40
	// listInterval is the time between two looks at the platform's list. With
	// the list's own lag it must stay below the 3 s in which a leaving
	// upstream still may get work.
	listInterval = 500 * time.Millisecond
	// warmLimit is the time after which a host serves although it has not
	// heard of all upstreams.
	warmLimit = 5 * time.Second
	// callTimeout bounds one call.
	callTimeout = time.Second
	// concurrent bounds the calls under way.
	concurrent = 16
	// suspectRing is the number of upstreams that wait to be looked at.
	suspectRing = 256
	// maxReport bounds the body of a report, in bytes.
	maxReport = 4 << 20
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

	// Host is an entry of the platform's list.
	Host struct {
		Address     netip.AddrPort `json:"address"`
		Incarnation uint64         `json:"incarnation"`
		State       string         `json:"state"`
	}

	// Sink takes the reports. Its methods are called from several goroutines.
	Sink interface {
		Load(addr netip.AddrPort, l Load)
		CacheEvents(addr netip.AddrPort, incarnation uint64, events []CacheEvent)
		Hosts(hosts []Host)
		Rated(r router.Rating)
	}

	// Options are the parts of a Poller.
	Options struct {
		Clock timekeeper.Clock
		Scope counter.Scope
		Views router.Views
		Sink  Sink
		// Client reaches the upstreams, the platform and the rating service.
		Client *http.Client
		// Scheme is "http" or "https".
		Scheme string
		// Platform and Rater are left out if they are not valid.
		Platform, Rater netip.AddrPort
		// RateShare is the share of answers, 0 to 1, that is offered to the
		// rating service; zero takes a quarter.
		RateShare float64
	}

	// Poller asks for reports. Make it with New.
	Poller struct {
		o        Options
		suspects *buffer.Ring[netip.AddrPort]
		offers   *buffer.Ring[router.RateRequest]

		// warm is closed once the host knows which upstreams are leaving.
		warm                         chan struct{}
		listOnce, roundOnce, limited sync.Once
		waiting                      atomic.Int32

		mu      sync.Mutex
		cursors map[netip.AddrPort]cursor
		wanted  float64
	}

	// cursor is the place in an engine's sequence of cache events.
	cursor struct {
		incarnation uint64
		next        uint64
	}

	// StatusError says that a report was answered by a failure status.
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

// New returns a poller that has asked nobody.
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
		o: o, warm: make(chan struct{}), cursors: make(map[netip.AddrPort]cursor),
		suspects: buffer.New[netip.AddrPort](suspectRing), offers: buffer.New[router.RateRequest](offerRing),
	}
	p.waiting.Store(1)
	if o.Platform.IsValid() {
		p.waiting.Store(2)
	}
	return p
}

// Warm reports whether every upstream has been asked once and the platform has
// answered, or warmLimit has passed since the start. Before that a host that has just
// started may not know that an upstream is leaving.
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
	duties := pool.New().WithContext(ctx)
	duties.Go(p.runUpstreams)
	duties.Go(p.runSuspects)
	duties.Go(p.runLimit)
	if p.o.Platform.IsValid() {
		duties.Go(p.runPlatform)
	}
	if p.o.Rater.IsValid() {
		duties.Go(p.runOffers)
		duties.Go(p.runRatings)
	}
	return duties.Wait()
}

// Suspect has the upstream looked at before its turn.
func (p *Poller) Suspect(addr netip.AddrPort) { p.suspects.Offer(addr) }

// runUpstreams asks all upstreams, round by round.
func (p *Poller) runUpstreams(ctx context.Context) error {
	for {
		var us []declarer.Upstream
		if c := p.o.Views.Catalog(); c != nil {
			us = c.View.Config.Upstreams
		}
		round := pool.New().WithMaxGoroutines(concurrent)
		pause := max(minInterval, time.Duration(len(us))*time.Second/maxRate)
		for i := range us {
			round.Go(func() { p.look(ctx, &us[i]) })
			if err := timekeeper.Sleep(ctx, p.o.Clock, pause/time.Duration(len(us))); err != nil {
				round.Wait()
				return err
			}
		}
		round.Wait()
		if p.o.Views.Catalog() != nil {
			p.roundOnce.Do(p.warmer)
		}
		if len(us) > 0 {
			continue
		}
		if err := timekeeper.Sleep(ctx, p.o.Clock, pause); err != nil {
			return err
		}
	}
}

// warmer notes that one of the first reports is in.
func (p *Poller) warmer() {
	if p.waiting.Add(-1) == 0 {
		p.limited.Do(func() { close(p.warm) })
	}
}

// runLimit lets the host serve although reports are missing.
func (p *Poller) runLimit(ctx context.Context) error {
	if err := timekeeper.Sleep(ctx, p.o.Clock, warmLimit); err != nil {
		return err
	}
	p.limited.Do(func() { close(p.warm) })
	return nil
}

func (p *Poller) runSuspects(ctx context.Context) error {
	for {
		addr, err := p.suspects.Take(ctx)
		if err != nil {
			return err
		}
		p.lookLoad(ctx, addr)
	}
}

// look asks one upstream for its load and an engine for its cache events.
func (p *Poller) look(ctx context.Context, u *declarer.Upstream) {
	p.lookLoad(ctx, u.Address)
	if len(u.Serves) > 0 {
		p.lookCache(ctx, u.Address)
	}
}

func (p *Poller) lookLoad(ctx context.Context, addr netip.AddrPort) {
	l, err := get[Load](ctx, p, addr, "/load")
	if err != nil {
		p.o.Scope.Counter("poller.failed", "report", "load").Inc(1)
		return
	}
	p.o.Sink.Load(addr, *l)
}

func (p *Poller) lookCache(ctx context.Context, addr netip.AddrPort) {
	p.mu.Lock()
	c := p.cursors[addr]
	p.mu.Unlock()
	e, err := get[cacheEvents](ctx, p, addr, "/cache/events?after="+strconv.FormatUint(c.next, 10))
	if err != nil {
		p.o.Scope.Counter("poller.failed", "report", "cache").Inc(1)
		return
	}
	next := cursor{incarnation: e.Incarnation, next: e.Next}
	if c.incarnation != e.Incarnation && c.incarnation != 0 {
		// The events of a new process count from the start again.
		next.next = 0
		e.Events = nil
	}
	p.mu.Lock()
	p.cursors[addr] = next
	p.mu.Unlock()
	if len(e.Events) > 0 {
		p.o.Sink.CacheEvents(addr, e.Incarnation, e.Events)
	}
}

// runPlatform looks at the platform's list.
func (p *Poller) runPlatform(ctx context.Context) error {
	for {
		list, err := get[hostList](ctx, p, p.o.Platform, "/hosts")
		if err == nil {
			p.o.Sink.Hosts(list.Hosts)
			p.listOnce.Do(p.warmer)
		} else if ctx.Err() == nil {
			p.o.Scope.Counter("poller.failed", "report", "platform").Inc(1)
		}
		if err := timekeeper.Sleep(ctx, p.o.Clock, listInterval); err != nil {
			return err
		}
	}
}

// get asks for one report.
func get[T any](ctx context.Context, p *Poller, addr netip.AddrPort, path string) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.o.Scheme+"://"+addr.String()+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make the request for a report")
	}
	return receive[T](p, req, addr)
}

// receive sends the request and decodes the answer.
func receive[T any](p *Poller, req *http.Request, addr netip.AddrPort) (*T, error) {
	resp, err := p.o.Client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, &StatusError{Addr: addr, Path: req.URL.Path, Status: resp.StatusCode}
	}
	out := new(T)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(out); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrapf(err, "decode the report of %s", addr)
	}
	return out, nil
}
