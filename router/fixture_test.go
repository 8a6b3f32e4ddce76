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
	// fakeUpstreams calls Attempt.Check, records the attempt and answers it with
	// do or open.
	fakeUpstreams struct {
		do       func(ctx context.Context, a *router.Attempt) (*router.Answer, error)
		open     func(ctx context.Context, a *router.Attempt) (router.Stream, error)
		mu       sync.Mutex
		attempts []router.Attempt
	}

	// scriptedStream is a stream that returns the given chunks and then err.
	scriptedStream struct {
		chunks []router.Chunk
		err    error
		closed func()
	}

	// fakeViews provides a configuration that tests can replace.
	fakeViews struct {
		current atomic.Pointer[declarer.Catalog]
		leased  atomic.Bool
	}

	// fakeBills records bills. If hold is set, it runs first, and a bill is
	// recorded only if it returns true and no error.
	fakeBills struct {
		mu      sync.Mutex
		records []biller.Record
		hold    func(ctx context.Context) (bool, error)
	}

	// fakeClaims is a claims table that several routers can share.
	fakeClaims struct {
		mu       sync.Mutex
		claims   map[claimer.Key]*fakeClaim
		fault    func(op string) (before, after error)
		released int
	}

	// fakeClaim is one claim; lost means that its deadline passed unfinished.
	fakeClaim struct {
		id     string
		digest [32]byte
		resp   *claimer.Response
		lost   bool
	}

	// fakePins is a pins table that fails with err if it is set.
	fakePins struct {
		mu     sync.Mutex
		stored map[string]pinner.Pin
		err    error
	}

	// fakeSigner joins the fields of a pin to an unsigned token.
	fakeSigner struct{}

	// fakeSink collects a streamed answer.
	fakeSink struct {
		info  router.SessionInfo
		text  strings.Builder
		ended bool
		chunk func() error
		end   func()
	}
)

var errInjected = errors.New("injected")

// recordAttempt calls Attempt.Check and records the attempt if it may be sent.
func (u *fakeUpstreams) recordAttempt(a *router.Attempt) error {
	if err := a.Check(); err != nil {
		return &router.AttemptError{Kind: router.FailCheck, Outcome: refuser.NotRun, Err: err}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts = append(u.attempts, *a)
	return nil
}

func (u *fakeUpstreams) Do(ctx context.Context, a *router.Attempt) (*router.Answer, error) {
	if err := u.recordAttempt(a); err != nil {
		return nil, err
	}
	return u.do(ctx, a)
}

func (u *fakeUpstreams) Open(ctx context.Context, a *router.Attempt) (router.Stream, error) {
	if err := u.recordAttempt(a); err != nil {
		return nil, err
	}
	return u.open(ctx, a)
}

func (u *fakeUpstreams) recordedAttempts() []router.Attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]router.Attempt(nil), u.attempts...)
}

func (s *scriptedStream) Next() (router.Chunk, error) {
	if len(s.chunks) == 0 {
		return router.Chunk{}, s.err
	}
	k := s.chunks[0]
	s.chunks = s.chunks[1:]
	return k, nil
}

func (s *scriptedStream) Close() {
	if s.closed != nil {
		s.closed()
	}
}

// tokenStream returns a stream of the tokens numbered [from, to) that ends
// with err. If err is io.EOF, the engine reports two output tokens for each
// one.
func tokenStream(from, to int, err error) *scriptedStream {
	s := &scriptedStream{chunks: []router.Chunk{{Data: []byte("role ")}}, err: err}
	for i := from; i < to; i++ {
		s.chunks = append(s.chunks, router.Chunk{Data: fmt.Appendf(nil, "%d ", i), Tokens: 1})
	}
	if errors.Is(err, io.EOF) {
		s.chunks = append(s.chunks, router.Chunk{Data: []byte("usage"), Usage: &router.Usage{Input: 2, Output: int64(2 * to)}})
	}
	return s
}

// attemptError returns the error of a failed attempt.
func attemptError(kind router.FailKind, o refuser.Outcome) error {
	return &router.AttemptError{Kind: kind, Outcome: o, Err: errInjected}
}

// answer returns a successful answer with the given body.
func answer(body string) *router.Answer {
	return &router.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body), Usage: router.Usage{Input: 2, Output: 3}, Text: body}
}

func (v *fakeViews) Catalog() *declarer.Catalog { return v.current.Load() }
func (v *fakeViews) Leased() bool               { return v.leased.Load() }

func (v *fakeViews) set(view declarer.View) { v.current.Store(declarer.NewCatalog(view)) }

func (l *fakeBills) Hold(ctx context.Context, r biller.Record) (bool, error) {
	if l.hold != nil {
		if held, err := l.hold(ctx); err != nil || !held {
			return held, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	return true, nil
}

func (l *fakeBills) recordedBills() []biller.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]biller.Record(nil), l.records...)
}

// withFaults runs fn for the operation op. The fault hook can replace it by an
// error or make it return one after it took effect.
func (t *fakeClaims) withFaults(op string, fn func()) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var before, after error
	if t.fault != nil {
		before, after = t.fault(op)
	}
	if before != nil {
		return before
	}
	fn()
	return after
}

func (t *fakeClaims) Claim(_ context.Context, r claimer.Request) (res claimer.Result, err error) {
	err = t.withFaults("claim", func() {
		if t.claims == nil {
			t.claims = make(map[claimer.Key]*fakeClaim)
		}
		e := t.claims[r.Key]
		if e == nil {
			t.claims[r.Key] = &fakeClaim{id: r.RequestID, digest: r.Digest}
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

func (t *fakeClaims) Finish(_ context.Context, k claimer.Key, id string, resp claimer.Response) error {
	return t.withFaults("finish", func() {
		if e := t.claims[k]; e != nil && e.id == id {
			e.resp = &resp
		}
	})
}

func (t *fakeClaims) Release(_ context.Context, k claimer.Key, id string) error {
	return t.withFaults("release", func() {
		if e := t.claims[k]; e != nil && e.id == id && e.resp == nil {
			delete(t.claims, k)
			t.released++
		}
	})
}

// loseAll marks all claims as lost, as if their deadlines had passed.
func (t *fakeClaims) loseAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.claims {
		e.lost = true
	}
}

func (p *fakePins) Pin(_ context.Context, x pinner.Pin) (pinner.Pin, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return pinner.Pin{}, p.err
	}
	if p.stored == nil {
		p.stored = make(map[string]pinner.Pin)
	}
	if h, ok := p.stored[x.Session+x.Model]; ok {
		return h, nil
	}
	p.stored[x.Session+x.Model] = x
	return x, nil
}

func (p *fakePins) Repin(_ context.Context, old, x pinner.Pin) (pinner.Pin, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return pinner.Pin{}, p.err
	}
	if h, ok := p.stored[x.Session+x.Model]; ok && h != old {
		return h, nil
	}
	p.stored[x.Session+x.Model] = x
	return x, nil
}

func (fakeSigner) Sign(p pinner.Pin) (string, error) {
	return strings.Join([]string{p.Workspace, p.Session, p.Model, p.Version}, "|"), nil
}

func (fakeSigner) Verify(t string) (pinner.Pin, error) {
	f := strings.Split(t, "|")
	if len(f) != 4 {
		return pinner.Pin{}, errInjected
	}
	return pinner.Pin{Workspace: f[0], Session: f[1], Model: f[2], Version: f[3]}, nil
}

func (s *fakeSink) Begin(info router.SessionInfo) error {
	s.info = info
	return nil
}

func (s *fakeSink) Chunk(b []byte) error {
	s.text.Write(b)
	if s.chunk != nil {
		return s.chunk()
	}
	return nil
}

func (s *fakeSink) End() error {
	s.ended = true
	if s.end != nil {
		s.end()
	}
	return nil
}

// testView declares models a and b with versions v1 (stable) and v2 on two
// replicas, and service laser with a booking and a status call.
func testView() declarer.View {
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

// fixture is a router whose dependencies are fakes.
type fixture struct {
	*router.Router
	upstreams *fakeUpstreams
	views     *fakeViews
	bills     *fakeBills
	claims    *fakeClaims
	pins      *fakePins
}

// newFixture returns a fixture whose options are modified by change.
func newFixture(change ...func(*router.Options)) *fixture {
	r := &fixture{upstreams: &fakeUpstreams{}, views: &fakeViews{}, bills: &fakeBills{}, claims: &fakeClaims{}, pins: &fakePins{}}
	r.views.set(testView())
	r.views.leased.Store(true)
	o := router.Options{
		Host: "h", Views: r.views, Upstreams: r.upstreams, Bills: r.bills, Claims: r.claims, Pins: r.pins, Signer: fakeSigner{},
	}
	for _, f := range change {
		f(&o)
	}
	r.Router = router.New(o)
	return r
}

var lastID atomic.Int64

func (r *fixture) newRequest() router.Request {
	c := r.views.Catalog()
	return router.Request{
		ID: fmt.Sprintf("r%d", lastID.Add(1)), Holder: declarer.KeyHolder{Workspace: c.Workspace("w"), Member: "m"},
		Deadline: time.Minute,
	}
}

// newChat returns a request for model a whose body is the version that runs
// it.
func (r *fixture) newChat() *router.ChatRequest {
	return &router.ChatRequest{
		Request: r.newRequest(), Model: "a", PromptTokens: 2,
		Body: func(ref declarer.VersionRef) []byte { return []byte(ref.String()) },
	}
}

// newBooking returns a non-idempotent call with the given idempotency key.
func (r *fixture) newBooking(key string) *router.CallRequest {
	return &router.CallRequest{Request: r.newRequest(), Service: "laser", Method: "POST", Path: "/book", Key: key, Body: []byte("x")}
}

// asRefusal returns the refusal in err and fails the spec if there is none.
func asRefusal(err error) *refuser.Refusal {
	re, ok := refuser.As(err)
	ExpectWithOffset(1, ok).To(BeTrue(), "%v", err)
	return re
}
