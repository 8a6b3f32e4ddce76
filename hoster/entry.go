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
	"foxtailwall/router"
	"foxtailwall/server"
)

const (
	// ratingWait bounds the wait of a cascade for the rating of its cheap
	// answer.
	ratingWait = 300 * time.Millisecond
	// hedgeAfter is the time after which a request for a whole answer is sent
	// to a second replica as well, within the retry budget. It finds a
	// connection that went silent under an answer sooner than the bound on the
	// first byte of 30 s does.
	hedgeAfter = 4 * time.Second
	// idleReports is the time after which an unused connection for reports
	// is closed.
	idleReports = 30 * time.Second
)

// entry is the part of a host that takes callers' requests.
type entry struct {
	host     *Host
	dialer   *dialer.Dialer
	replicas *replicas
	plans    *plans
	poller   *poller.Poller
	router   *router.Router
	server   *server.Server
}

// buildEntry assembles the request path, if this host has one.
func (h *Host) buildEntry() error {
	if !h.set.Entry {
		return nil
	}
	e := &entry{host: h}
	e.dialer = dialer.New(dialer.Options{Clock: h.clock, Scope: h.scope, Dial: h.opts.Dial, TLS: h.tls.upstream})
	stats := newStatistics(h.views.node, h.views.watches)
	e.replicas = newReplicas(h.views, &h.set, h.clock, h.scope)
	e.replicas.stats = stats
	sign := &pinner.Signer{Keys: h.set.SessionKeys, Clock: h.clock}
	if err := sign.Check(); err != nil {
		return err
	}
	e.plans = newPlans(h.clock, h.scope, xxhash.Sum64String(h.set.Name), stats)
	e.poller = poller.New(poller.Options{
		Clock: h.clock, Scope: h.scope, Views: h.views, Sink: reports{e.replicas, e.plans, func(id string, pass bool) { e.router.Rated(id, pass) }},
		Client: h.reportClient(), Scheme: h.upstreamScheme(), Platform: h.set.Platform, Rater: h.set.Rater,
	})
	e.replicas.suspect = e.poller.Suspect
	e.router = router.New(router.Options{
		Host: h.set.Name, Zone: h.set.Zone, Clock: h.clock, Scope: h.scope,
		Views: warmViews{h.views, e.poller}, Upstreams: e.dialer, Claims: h.client, Pins: h.client, Bills: h.bills,
		Signer: sign, Picker: e.replicas, Monitor: e.replicas, Assigner: newShares(&h.set), Chooser: e.plans, Learner: e.plans, Ratings: e.poller, RatingWait: ratingWait, HedgeAfter: hedgeAfter,
		Limiter: admission{limiter: limiter.New(limiter.Settings{Clock: h.clock, Scope: h.scope})},
	})
	var err error
	var report func(io.Writer, string) error
	if h.record != nil {
		report = h.record.report
	}
	e.server, err = server.New(server.Options{
		Clock: h.clock, Scope: h.scope, Views: warmViews{h.views, e.poller}, Router: e.router,
		OperatorDigest: declarer.KeyDigest(h.set.OperatorKeys[0]), Print: declarer.Print, Report: report,
		DrainTimeout: h.set.Drain - h.set.Grace, Grace: h.set.Grace,
	})
	h.entry = e
	return err
}

// upstreamScheme returns the scheme of the upstreams' own reports.
func (h *Host) upstreamScheme() string {
	if h.tls.upstream != nil {
		return "https"
	}
	return "http"
}

// warmViews shows no configuration until the host knows which upstreams are
// leaving, so that a host that has just started sends them nothing.
type warmViews struct {
	*views
	poller *poller.Poller
}

// Catalog implements router.Views.
func (v warmViews) Catalog() *declarer.Catalog {
	if !v.poller.Warm() {
		return nil
	}
	return v.views.Catalog()
}

// reportClient returns the client for reports of upstreams.
func (h *Host) reportClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: h.opts.Dial, TLSClientConfig: h.tls.upstream.Clone(), MaxIdleConnsPerHost: 2, IdleConnTimeout: idleReports,
	}}
}

func (e *entry) serveCallers(context.Context) error {
	l, err := e.host.listen("callers", e.host.set.Callers)
	if err != nil {
		return err
	}
	return e.server.ServeCallers(l, e.host.tls.caller)
}

func (e *entry) serveOperators(context.Context) error {
	l, err := e.host.listen("operators", e.host.set.Operators)
	if err != nil {
		return err
	}
	return e.server.ServeOperators(l, e.host.tls.caller)
}
