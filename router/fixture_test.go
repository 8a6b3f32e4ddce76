package router_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/declarer"
	"foxtailwall/pinner"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

type (
	// upstreams answers attempts by functions, after the check at dispatch.
	upstreams struct {
		do    func(ctx context.Context, a *router.Attempt) (*router.Answer, error)
		open  func(ctx context.Context, a *router.Attempt) (router.Stream, error)
		mu    sync.Mutex
		tries []router.Attempt
	}

	// script is a stream of the given chunks that ends with err.
	script struct {
		chunks []router.Chunk
		err    error
		closed func()
	}

	views struct {
		c      atomic.Pointer[declarer.Catalog]
		leased atomic.Bool
	}

	// ledger takes bills and notes when.
	ledger struct {
		mu   sync.Mutex
		recs []biller.Record
		hold func(ctx context.Context) (bool, error)
	}

	// table is a claims table that several routers share.
	table struct {
		mu       sync.Mutex
		claims   map[claimer.Key]*entry
		fail     func(op string) (before, after error)
		released int
	}

	entry struct {
		id     string
		digest [32]byte
		resp   *claimer.Response
		lost   bool
	}

	pins struct {
		mu   sync.Mutex
		held map[string]pinner.Pin
		err  error
	}

	signer struct{}

	sink struct {
		notice router.Notice
		text   strings.Builder
		ended  bool
		chunk  func() error
		end    func()
	}
)

var errInjected = errors.New("injected")

func (u *upstreams) check(a *router.Attempt) error {
	if err := a.Check(); err != nil {
		return &router.AttemptError{Kind: router.FailChecked, Outcome: refuser.NotRun, Err: err}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tries = append(u.tries, *a)
	return nil
}

func (u *upstreams) Do(ctx context.Context, a *router.Attempt) (*router.Answer, error) {
	if err := u.check(a); err != nil {
		return nil, err
	}
	return u.do(ctx, a)
}

func (u *upstreams) Open(ctx context.Context, a *router.Attempt) (router.Stream, error) {
	if err := u.check(a); err != nil {
		return nil, err
	}
	return u.open(ctx, a)
}

func (u *upstreams) all() []router.Attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]router.Attempt(nil), u.tries...)
}

func (s *script) Next() (router.Chunk, error) {
	if len(s.chunks) == 0 {
		return router.Chunk{}, s.err
	}
	k := s.chunks[0]
	s.chunks = s.chunks[1:]
	return k, nil
}

func (s *script) Close() {
	if s.closed != nil {
		s.closed()
	}
}

// tokens returns a stream of the tokens from up to to that ends with err. A
// whole one reports two tokens for each chunk.
func tokens(from, to int, err error) *script {
	s := &script{chunks: []router.Chunk{{Data: []byte("role ")}}, err: err}
	for i := from; i < to; i++ {
		s.chunks = append(s.chunks, router.Chunk{Data: fmt.Appendf(nil, "%d ", i), Tokens: 1})
	}
	if errors.Is(err, io.EOF) {
		s.chunks = append(s.chunks, router.Chunk{Data: []byte("usage"), Usage: &router.Usage{Input: 2, Output: int64(2 * to)}})
	}
	return s
}

func failed(kind router.FailKind, o refuser.Outcome) error {
	return &router.AttemptError{Kind: kind, Outcome: o, Err: errInjected}
}

func ok(body string) *router.Answer {
	return &router.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body), Usage: router.Usage{Input: 2, Output: 3}, Text: body}
}

func (v *views) Catalog() *declarer.Catalog { return v.c.Load() }
func (v *views) Leased() bool               { return v.leased.Load() }

func (v *views) set(view declarer.View) { v.c.Store(declarer.NewCatalog(view)) }

func (l *ledger) Hold(ctx context.Context, r biller.Record) (bool, error) {
	if l.hold != nil {
		if held, err := l.hold(ctx); err != nil || !held {
			return held, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recs = append(l.recs, r)
	return true, nil
}

func (l *ledger) all() []biller.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]biller.Record(nil), l.recs...)
}

// faulty runs an operation of the table between the faults of fail.
func (t *table) faulty(op string, fn func()) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var before, after error
	if t.fail != nil {
		before, after = t.fail(op)
	}
	if before != nil {
		return before
	}
	fn()
	return after
}

func (t *table) Claim(_ context.Context, r claimer.Request) (res claimer.Result, err error) {
	err = t.faulty("claim", func() {
		if t.claims == nil {
			t.claims = make(map[claimer.Key]*entry)
		}
		e := t.claims[r.Key]
		if e == nil {
			t.claims[r.Key] = &entry{id: r.RequestID, digest: r.Digest}
			res = claimer.Result{State: claimer.Granted, RequestID: r.RequestID}
			return
		}
		res = claimer.Result{State: claimer.Running, RequestID: e.id, Response: e.resp}
		switch {
		case e.digest != r.Digest:
			res.State = claimer.Reused
		case e.resp != nil:
			res.State = claimer.Finished
		case e.lost:
			res.State = claimer.Lost
		}
	})
	if err != nil {
		return claimer.Result{}, err
	}
	return res, nil
}

func (t *table) Finish(_ context.Context, k claimer.Key, id string, resp claimer.Response) error {
	return t.faulty("finish", func() {
		if e := t.claims[k]; e != nil && e.id == id {
			e.resp = &resp
		}
	})
}

func (t *table) Release(_ context.Context, k claimer.Key, id string) error {
	return t.faulty("release", func() {
		if e := t.claims[k]; e != nil && e.id == id && e.resp == nil {
			delete(t.claims, k)
			t.released++
		}
	})
}

// expire lets the deadline of all claims pass.
func (t *table) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.claims {
		e.lost = true
	}
}

func (p *pins) Pin(_ context.Context, x pinner.Pin) (pinner.Pin, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return pinner.Pin{}, p.err
	}
	if p.held == nil {
		p.held = make(map[string]pinner.Pin)
	}
	if h, ok := p.held[x.Session+x.Model]; ok {
		return h, nil
	}
	p.held[x.Session+x.Model] = x
	return x, nil
}

func (p *pins) Repin(_ context.Context, old, x pinner.Pin) (pinner.Pin, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return pinner.Pin{}, p.err
	}
	if h, ok := p.held[x.Session+x.Model]; ok && h != old {
		return h, nil
	}
	p.held[x.Session+x.Model] = x
	return x, nil
}

func (signer) Sign(p pinner.Pin) (string, error) {
	return strings.Join([]string{p.Workspace, p.Session, p.Model, p.Version}, "|"), nil
}

func (signer) Verify(t string) (pinner.Pin, error) {
	f := strings.Split(t, "|")
	if len(f) != 4 {
		return pinner.Pin{}, errInjected
	}
	return pinner.Pin{Workspace: f[0], Session: f[1], Model: f[2], Version: f[3]}, nil
}

func (s *sink) Begin(n router.Notice) error {
	s.notice = n
	return nil
}

func (s *sink) Chunk(b []byte) error {
	s.text.Write(b)
	if s.chunk != nil {
		return s.chunk()
	}
	return nil
}

func (s *sink) End() error {
	s.ended = true
	if s.end != nil {
		s.end()
	}
	return nil
}

// view declares models a and b with versions v1 and v2, v1 stable, on two
// replicas, and a service with a booking and a status call.
func view() declarer.View {
	versions := []declarer.Version{
		{Name: "v1", Price: declarer.Price{InputNanos: 1, OutputNanos: 10}},
		{Name: "v2", Price: declarer.Price{InputNanos: 1, OutputNanos: 10}},
	}
	c := declarer.Config{
		Workspaces: []declarer.Workspace{{
			Name: "w", Members: []declarer.Member{{Name: "m"}}, Services: []string{"laser"},
			Models: []declarer.Allowed{{Model: "a"}, {Model: "b"}},
		}},
		Models: []declarer.Model{{Name: "a", Stable: "v1", Versions: versions}, {Name: "b", Stable: "v1", Versions: versions}},
		Services: []declarer.Service{{Name: "laser", PriceNanos: 5, Calls: []declarer.Call{
			{Method: "POST", Path: "/book"}, {Method: "GET", Path: "/status", Idempotent: true},
		}}},
	}
	for i := range 2 {
		u := declarer.Upstream{Name: fmt.Sprintf("u%d", i), Address: netip.MustParseAddrPort("127.0.0.1:1"), Resumes: i == 0}
		for _, m := range []string{"a", "b"} {
			u.Serves = append(u.Serves, declarer.VersionRef{Model: m, Version: "v1"}, declarer.VersionRef{Model: m, Version: "v2"})
		}
		c.Upstreams = append(c.Upstreams, u,
			declarer.Upstream{Name: fmt.Sprintf("s%d", i), Address: netip.MustParseAddrPort("127.0.0.1:1"), Service: "laser"})
	}
	return declarer.View{Version: 1, Config: c}
}

// rig is a router over fakes.
type rig struct {
	*router.Router
	ups    *upstreams
	views  *views
	ledger *ledger
	table  *table
	pins   *pins
}

func newRig(change ...func(*router.Options)) *rig {
	r := &rig{ups: &upstreams{}, views: &views{}, ledger: &ledger{}, table: &table{}, pins: &pins{}}
	r.views.set(view())
	r.views.leased.Store(true)
	o := router.Options{
		Host: "h", Views: r.views, Upstreams: r.ups, Bills: r.ledger, Claims: r.table, Pins: r.pins, Signer: signer{},
	}
	for _, f := range change {
		f(&o)
	}
	r.Router = router.New(o)
	return r
}

var lastID atomic.Int64

func (r *rig) request() router.Request {
	c := r.views.Catalog()
	return router.Request{
		ID: fmt.Sprintf("r%d", lastID.Add(1)), Holder: declarer.KeyHolder{Workspace: c.Workspace("w"), Member: "m"},
		Deadline: time.Minute,
	}
}

func (r *rig) chat() *router.ChatRequest {
	return &router.ChatRequest{
		Request: r.request(), Model: "a", PromptTokens: 2,
		Body: func(ref declarer.VersionRef) []byte { return []byte(ref.String()) },
	}
}

func (r *rig) book(key string) *router.CallRequest {
	return &router.CallRequest{Request: r.request(), Service: "laser", Method: "POST", Path: "/book", Key: key, Body: []byte("x")}
}

func refusal(err error) *refuser.Refusal {
	re, ok := refuser.As(err)
	ExpectWithOffset(1, ok).To(BeTrue(), "%v", err)
	return re
}
