package dialer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/buffer"
	"foxtailwall/declarer"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

const (
	defaultLoadEvery   = 250 * time.Millisecond
	defaultEventsEvery = 500 * time.Millisecond
	defaultHostsEvery  = time.Second
	defaultRatingEvery = time.Second
	// pollWorkers bounds the polls of one duty that run at a time, and so
	// the core time that a large zone can take.
	pollWorkers = 8
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
)

type (
	// PollOptions say what a Poller polls and where the reports go. A duty
	// without its ring is left out.
	PollOptions struct {
		// Engines returns the engines to poll, usually those of the zone.
		Engines func() []*declarer.Upstream
		// Platform is the address of the platform's list of hosts, and
		// RatingService that of the rating service.
		Platform      netip.AddrPort
		RatingService netip.AddrPort

		Loads   *buffer.Ring[LoadReport]
		Events  *buffer.Ring[CacheReport]
		Hosts   *buffer.Ring[HostReport]
		Ratings *buffer.Ring[router.Rating]

		LoadEvery, EventsEvery, HostsEvery, RatingsEvery time.Duration
	}

	// Poller asks engines, the platform and the rating service for what they
	// report, one goroutine for each duty. A report that finds its ring full
	// is dropped and counted: the next one replaces it, and for events the
	// same numbers are asked for again.
	Poller struct {
		d *Dialer
		o PollOptions
	}

	// LoadReport is what an engine says of its load.
	LoadReport struct {
		Upstream        string                `json:"-"`
		Received        time.Time             `json:"-"`
		Incarnation     string                `json:"incarnation"`
		At              time.Time             `json:"at"`
		Running         int                   `json:"running"`
		Waiting         int                   `json:"waiting"`
		Slots           int                   `json:"slots"`
		TokensPerSecond float64               `json:"tokensPerSecond"`
		Leaving         bool                  `json:"leaving"`
		Loaded          []declarer.VersionRef `json:"loaded"`
	}

	// CacheReport is a batch of an engine's cache events.
	CacheReport struct {
		Upstream    string       `json:"-"`
		Incarnation string       `json:"incarnation"`
		Next        uint64       `json:"next"`
		Events      []CacheEvent `json:"events"`
		// Reset says that events before this batch are missing or belong to
		// an earlier incarnation, so that what is known of the engine's
		// cache should be forgotten first.
		Reset bool `json:"-"`
	}

	// CacheEvent adds a prefix to an engine's cache or drops one.
	CacheEvent struct {
		Seq    uint64 `json:"seq"`
		Add    bool   `json:"add"`
		Drop   bool   `json:"drop"`
		Prefix string `json:"prefix"`
	}

	// HostReport is the platform's list of hosts.
	HostReport struct {
		At    time.Time      `json:"at"`
		Hosts []PlatformHost `json:"hosts"`
	}

	// PlatformHost is one entry of the platform's list.
	PlatformHost struct {
		Address     netip.AddrPort `json:"address"`
		Incarnation string         `json:"incarnation"`
		// State is "live" or "leaving".
		State string `json:"state"`
	}

	// ratingList is the answer of GET /ratings.
	ratingList struct {
		Next    uint64       `json:"next"`
		Ratings []ratingWire `json:"ratings"`
	}

	ratingWire struct {
		RequestID string  `json:"requestId"`
		Pass      bool    `json:"pass"`
		Score     float64 `json:"score"`
	}

	// cursor is the place in an engine's events up to which they were read.
	cursor struct {
		incarnation string
		next        uint64
	}
)

// NewPoller returns a poller that uses the connections of d.
func NewPoller(d *Dialer, o PollOptions) *Poller {
	o.LoadEvery = or(o.LoadEvery, defaultLoadEvery)
	o.EventsEvery = or(o.EventsEvery, defaultEventsEvery)
	o.HostsEvery = or(o.HostsEvery, defaultHostsEvery)
	o.RatingsEvery = or(o.RatingsEvery, defaultRatingEvery)
	return &Poller{d: d, o: o}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	duty := func(wanted bool, every time.Duration, fn func()) {
		if !wanted {
			return
		}
		wg.Go(func() {
			for fn(); timekeeper.Sleep(ctx, p.d.o.Clock, every) == nil; fn() {
				continue
			}
		})
	}
	cursors := make(map[string]cursor)
	var after uint64
	duty(p.o.Loads != nil && p.o.Engines != nil, p.o.LoadEvery, func() { p.loads(ctx) })
	duty(p.o.Events != nil && p.o.Engines != nil, p.o.EventsEvery, func() { p.events(ctx, cursors) })
	duty(p.o.Hosts != nil && p.o.Platform.IsValid(), p.o.HostsEvery, func() { p.hosts(ctx) })
	duty(p.o.Ratings != nil && p.o.RatingService.IsValid(), p.o.RatingsEvery, func() { after = p.ratings(ctx, after) })
}

func (p *Poller) loads(ctx context.Context) {
	g := pool.New().WithMaxGoroutines(pollWorkers)
	defer g.Wait()
	for _, u := range p.o.Engines() {
		g.Go(func() {
			var r LoadReport
			if p.get(ctx, "load", u, "/load", &r) {
				r.Upstream, r.Received = u.Name, p.d.o.Clock.Now()
				offer(p, "load", p.o.Loads, r)
			}
		})
	}
}

func (p *Poller) events(ctx context.Context, cursors map[string]cursor) {
	type batch struct {
		name string
		cursor
	}
	engines := p.o.Engines()
	g := pool.NewWithResults[batch]().WithMaxGoroutines(pollWorkers)
	for _, u := range engines {
		was := cursors[u.Name]
		g.Go(func() batch { return batch{u.Name, p.eventsOf(ctx, u, was)} })
	}
	now := g.Wait()
	clear(cursors) // Engines that were removed are forgotten.
	for _, b := range now {
		cursors[b.name] = b.cursor
	}
}

// eventsOf polls the events of one engine and returns how far it got.
func (p *Poller) eventsOf(ctx context.Context, u *declarer.Upstream, was cursor) cursor {
	var r CacheReport
	if !p.get(ctx, "events", u, "/cache/events?after="+strconv.FormatUint(was.next, 10), &r) {
		return was
	}
	r.Upstream = u.Name
	if was.incarnation != "" && r.Incarnation != was.incarnation {
		// The numbers began again, and those behind the old one were left
		// out: ask from the beginning next time.
		offer(p, "events", p.o.Events, CacheReport{Upstream: u.Name, Incarnation: r.Incarnation, Reset: true})
		return cursor{incarnation: r.Incarnation}
	}
	r.Reset = len(r.Events) > 0 && r.Events[0].Seq > was.next+1
	if (r.Reset || len(r.Events) > 0) && !offer(p, "events", p.o.Events, r) {
		return was
	}
	return cursor{incarnation: r.Incarnation, next: max(r.Next, was.next)}
}

func (p *Poller) hosts(ctx context.Context) {
	var r HostReport
	if p.get(ctx, "hosts", &declarer.Upstream{Name: "platform", Address: p.o.Platform}, "/hosts", &r) {
		offer(p, "hosts", p.o.Hosts, r)
	}
}

func (p *Poller) ratings(ctx context.Context, after uint64) uint64 {
	var r ratingList
	u := &declarer.Upstream{Name: "ratings", Address: p.o.RatingService}
	if !p.get(ctx, "ratings", u, "/ratings?after="+strconv.FormatUint(after, 10), &r) {
		return after
	}
	for _, v := range r.Ratings {
		offer(p, "ratings", p.o.Ratings, router.Rating(v))
	}
	return max(after, r.Next)
}

// get asks u for path and reads the JSON answer into v.
func (p *Poller) get(ctx context.Context, duty string, u *declarer.Upstream, path string, v any) bool {
	err := p.d.fetch(ctx, u, path, v)
	if err != nil && ctx.Err() == nil {
		p.d.o.Scope.Counter("dialer.pollFailures", "duty", duty).Inc(1)
	}
	return err == nil
}

// fetch makes one GET without an ID of its own.
func (d *Dialer) fetch(ctx context.Context, u *declarer.Upstream, path string, v any) error {
	a, err := d.Do(ctx, &router.Attempt{
		Upstream: u, Method: http.MethodGet, Path: path, Deadline: d.o.Clock.Now().Add(pollTimeout),
	})
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return errors.Newf("%s answered %d to GET %s", u.Name, a.Status, path)
	}
	return errors.Wrapf(json.Unmarshal(a.Body, v), "answer of %s to GET %s", u.Name, path)
}

func offer[T any](p *Poller, duty string, r *buffer.Ring[T], v T) bool {
	ok := r.Offer(v)
	if !ok {
		p.d.o.Scope.Counter("dialer.pollDrops", "duty", duty).Inc(1)
	}
	return ok
}
