package hoster

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailwall/declarer"
	"foxtailwall/dialer"
	"foxtailwall/limiter"
	"foxtailwall/pinner"
	"foxtailwall/poller"
	"foxtailwall/relayer"
	"foxtailwall/router"
	"foxtailwall/server"
)

const (
	// ratingTimeout bounds how long a cascade waits for the rating of its
	// cheap answer.
	ratingTimeout = 300 * time.Millisecond
	// hedgeDelay is the time without an answer after which a request that is not
	// streamed is also sent to a second replica, within the retry budget. If the
	// connection is dead, the caller need not wait for the 30 s timeout of the
	// first byte.
	hedgeDelay = 4 * time.Second
	// reportIdleTimeout is how long idle connections to the upstreams' report and
	// order endpoints are kept open.
	reportIdleTimeout = 30 * time.Second
)

// entry is the part of a host that serves callers' requests.
type entry struct {
	host    *Host
	dialer  *dialer.Dialer
	pools   *upstreamPools
	planner *planner
	poller  *poller.Poller
	limiter *limiter.Limiter
	router  *router.Router
	server  *server.Server
}

// buildEntry assembles the request path on hosts with the entry role.
func (h *Host) buildEntry() error {
	if !h.settings.Entry {
		return nil
	}
	e := &entry{host: h}
	e.dialer = dialer.New(dialer.Options{Clock: h.clock, Scope: h.scope, Dial: h.opts.Dial, TLS: h.tls.upstream, Memory: h.bounds.Memory})
	stats := newStatistics(h.views.node, h.views.watches)
	e.pools = newUpstreamPools(h.views, &h.settings, h.clock, h.scope)
	e.limiter = limiter.New(limiter.Settings{Clock: h.clock, Scope: h.scope})
	e.pools.stats, e.pools.limiter = stats, e.limiter
	signer := &pinner.Signer{Keys: h.settings.SessionKeys, Clock: h.clock}
	if err := signer.Check(); err != nil {
		return err
	}
	e.planner = newPlanner(h.clock, h.scope, xxhash.Sum64String(h.settings.Name), stats)
	e.poller = poller.New(poller.Options{
		Clock: h.clock, Scope: h.scope, Views: h.views, Sink: pollerSink{e.pools, e.planner, func(id string, pass bool) { e.router.CountRating(id, pass) }},
		Client: h.reportClient(), Scheme: h.upstreamScheme(), Platform: h.settings.Platform, Rater: h.settings.Rater,
	})
	e.pools.recheck = e.poller.PollSoon
	e.router = router.New(router.Options{
		Host: h.settings.Name, Zone: h.settings.Zone, Clock: h.clock, Scope: h.scope,
		Views: readyViews{h.views, e.poller}, Upstreams: e.dialer, Claims: h.client, Pins: h.client, Bills: h.bills,
		Signer: signer, Picker: e.pools, Monitor: e.pools, Assigner: newRolloutAssigner(&h.settings), Chooser: e.planner, Learner: e.planner, Ratings: e.poller, RatingWait: ratingTimeout, HedgeAfter: hedgeDelay,
		Limiter: limiterAdapter{limiter: e.limiter},
	})
	var err error
	var writeReport func(io.Writer, string) error
	if h.counterLog != nil {
		writeReport = h.counterLog.writeReport
	}
	e.server, err = server.New(server.Options{
		Clock: h.clock, Scope: h.scope, Views: readyViews{h.views, e.poller}, Router: e.router,
		OperatorDigest: declarer.KeyDigest(h.settings.OperatorKeys[0]), Print: declarer.Print, Report: writeReport,
		DrainTimeout: h.settings.Drain - h.settings.Grace, Grace: h.settings.Grace,
		MaxConnections: h.bounds.CallerConns, MaxConcurrent: h.bounds.Requests, MaxFields: h.bounds.HeaderFields,
		WriteTimeout: h.bounds.WriteTimeout, Memory: h.bounds.Memory,
	})
	h.entry = e
	return err
}

// queueStatus returns the state of the queue for the status of the deployment.
// The relay node, which calls it, runs only after buildEntry.
func (h *Host) queueStatus() *relayer.QueueStatus {
	s := h.entry.limiter.Status()
	out := &relayer.QueueStatus{Requests: s.Waiting, Refused: make(map[string]int64, len(s.Refused))}
	for _, g := range s.Groups[:min(len(s.Groups), relayer.MaxWaitingGroups)] {
		out.Waiting = append(out.Waiting, relayer.WaitingGroup{
			Workspace: g.Workspace, Priority: g.Priority, Requests: g.Requests, Oldest: g.Oldest,
		})
	}
	for code, n := range s.Refused {
		out.Refused[string(code)] = n
	}
	return out
}

// upstreamScheme returns the URL scheme of requests to the upstreams' report and
// order endpoints.
func (h *Host) upstreamScheme() string {
	if h.tls.upstream != nil {
		return "https"
	}
	return "http"
}

// readyViews returns no catalog until the host knows which upstreams are
// leaving, so that a newly started host sends them no requests.
type readyViews struct {
	*views
	poller *poller.Poller
}

// Catalog implements router.Views.
func (v readyViews) Catalog() *declarer.Catalog {
	if !v.poller.Warm() {
		return nil
	}
	return v.views.Catalog()
}

// reportClient returns an HTTP client for the upstreams' report and order
// endpoints.
func (h *Host) reportClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: h.opts.Dial, TLSClientConfig: h.tls.upstream.Clone(), MaxIdleConnsPerHost: 2, IdleConnTimeout: reportIdleTimeout,
	}}
}

func (e *entry) serveCallers(context.Context) error {
	l, err := e.host.listen("callers", e.host.settings.Callers)
	if err != nil {
		return err
	}
	return e.server.ServeCallers(l, e.host.tls.caller)
}

func (e *entry) serveOperators(context.Context) error {
	l, err := e.host.listen("operators", e.host.settings.Operators)
	if err != nil {
		return err
	}
	return e.server.ServeOperators(l, e.host.tls.caller)
}
