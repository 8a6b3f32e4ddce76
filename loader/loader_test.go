package loader_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/loader"
	"foxtailwall/refuser"
	"foxtailwall/reserver"
)

func TestLoader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loader")
}

// defect is a fault of a router that the audit must detect.
type defect string

const (
	none            defect = ""
	disallowed      defect = "uses a version that the workspace does not allow"
	unannouncedMove defect = "moves sessions without notice"
	noBill          defect = "omits bills"
	doubleBill      defect = "bills a request twice"
	wrongPayer      defect = "bills another member"
	wrongPrice      defect = "bills the wrong price"
	unexecutedStep  defect = "bills a step that did not run"
	wrongAnswer     defect = "returns the answer of the previous request"
	missingChunk    defect = "drops a chunk of a stream"
	falseNotRun     defect = "refuses a request as notRun after running it"
	doubleRun       defect = "runs a booking twice"
	missingEnd      defect = "omits the end marker of a stream"
	lateWork        defect = "sends work to a leaving upstream"
)

// faultyRouter is a naive router with one defect. Most defects affect every
// fourth request, moved sessions and doubled runs every request concerned.
type faultyRouter struct {
	engine, service string
	defect          defect
	mu              sync.Mutex
	n, moves        int
	previous        []byte
	ledger          []biller.Record
}

func (e *faultyRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.n++
	id, bad := fmt.Sprint("r", e.n), e.n%4 == 0
	var q struct{ Stream bool }
	_ = json.Unmarshal(body, &q)
	workspace, member, _ := strings.Cut(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer key-"), "/")
	version, target := "v1", e.engine
	if bad && e.defect == disallowed && !q.Stream {
		version = "v2"
	}
	if e.defect == unannouncedMove && r.Header.Get("Foxtailwall-Session") != "" {
		e.moves++
		version = []string{"v1", "v2"}[e.moves%2]
	}
	path := r.URL.Path
	if p, ok := strings.CutPrefix(path, "/services/laser"); ok {
		path, target = p, e.service
		if r.Method == http.MethodPost && e.defect == doubleRun {
			e.forward(r, target, path, version, id, body)
		}
	}
	status, out := e.forward(r, target, path, version, id, body)
	w.Header().Set(emulator.HeaderRequest, id)
	model := target == e.engine
	switch {
	case bad && model && e.defect == falseNotRun:
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":{"code":"noUpstream","outcome":"notRun"}}`))
		return
	case bad && model && !q.Stream && e.defect == wrongAnswer && e.previous != nil:
		out = e.previous
	case bad && q.Stream && e.defect == missingChunk:
		events := bytes.SplitAfter(out, []byte("\n\n"))
		out = bytes.Join(append(events[:1:1], events[2:]...), nil)
	case bad && q.Stream && e.defect == missingEnd:
		out = bytes.Replace(out, []byte("data: [DONE]"), nil, 1)
	}
	if model && !q.Stream {
		e.previous = out
	}
	if status == http.StatusOK {
		e.bill(id, workspace, member, version, model, bad)
	}
	w.WriteHeader(status)
	_, _ = w.Write(out)
}

func (e *faultyRouter) forward(r *http.Request, target, path, version, id string, body []byte) (int, []byte) {
	body = bytes.Replace(body, []byte(`"auto"`), []byte(`"m/`+version+`"`), 1)
	req, _ := http.NewRequest(r.Method, target+path, bytes.NewReader(body))
	req.Header.Set(emulator.HeaderRequest, id)
	req.Header.Set(emulator.HeaderKey, r.Header.Get(emulator.HeaderKey))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, out
}

func (e *faultyRouter) bill(id, workspace, member, version string, model, bad bool) {
	rec := biller.Record{ID: id, Workspace: workspace, Member: member, CostNanos: 1}
	if model {
		rec.CostNanos = 0
	}
	if model && bad && e.defect == wrongPrice {
		rec.Steps, rec.CostNanos = []biller.Step{{Model: "m", Version: version}}, 1
	}
	if model && bad && e.defect == unexecutedStep {
		rec.Steps = []biller.Step{{Model: "m", Version: version, InputTokens: 1, OutputTokens: 1 << 20}}
	}
	switch {
	case bad && e.defect == noBill:
		return
	case bad && e.defect == doubleBill:
		e.ledger = append(e.ledger, rec)
	case bad && e.defect == wrongPayer:
		rec.Member += "x"
	}
	e.ledger = append(e.ledger, rec)
}

var ports reserver.Ports

// unusedAddr returns an address that refuses connections.
func unusedAddr() netip.AddrPort {
	ip := netip.MustParseAddr("127.0.0.1")
	port, err := ports.Next(ip)
	Expect(err).NotTo(HaveOccurred())
	return netip.AddrPortFrom(ip, port)
}

var _ = Describe("Loader", func() {
	// Guards against an audit that misses a violation, or that reports one for
	// a router without defects.
	DescribeTable("detects a router that",
		func(d defect, promise int) {
			ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
			DeferCleanup(stop)
			const seed = 21
			quick := emulator.Timing{Step: time.Microsecond, PerSequence: time.Microsecond, Prefill: 1e9}
			engine := emulator.NewEngine(emulator.EngineConfig{Name: "e", Seed: seed, Timing: quick, Versions: []emulator.Version{
				{Model: "m", Version: "v1", Quality: 0.7}, {Model: "m", Version: "v2", Quality: 0.7},
			}})
			DeferCleanup(engine.Close)
			serve := func(h http.Handler) (string, netip.AddrPort) {
				s := httptest.NewServer(h)
				DeferCleanup(s.Close)
				return s.URL, netip.MustParseAddrPort(s.Listener.Addr().String())
			}
			engineURL, engineAddr := serve(engine.Handler())
			serviceURL, serviceAddr := serve(emulator.NewService(emulator.ServiceConfig{Name: "laser", Time: time.Nanosecond}).Handler())
			e := &faultyRouter{engine: engineURL, service: serviceURL, defect: d}
			_, entryAddr := serve(e)
			allowed := []declarer.VersionRef{{Model: "m", Version: "v1"}}
			if d == unannouncedMove {
				allowed = nil
			}
			conf := loader.Config{
				Seed: seed, Entries: []netip.AddrPort{unusedAddr(), entryAddr}, Mix: loader.Cooperative(), Rate: 2000, Count: 150, Duration: time.Minute,
				Engines: []netip.AddrPort{engineAddr}, Services: []netip.AddrPort{serviceAddr},
				Workspaces: []loader.Workspace{{
					Name: "w", Weight: 1, Service: "laser", Allowed: allowed,
					Members: []loader.Member{{Name: "a", Key: "key-w/a"}, {Name: "b", Key: "key-w/b"}},
				}},
				Audit: loader.NewAudit(loader.AuditConfig{LeaveGrace: time.Nanosecond, Prices: map[declarer.VersionRef]declarer.Price{}}),
			}
			if d == lateWork {
				// The timed fault alone may be set after the last request.
				Expect(engine.SetFault(emulator.Fault{Kind: emulator.FaultLeave})).To(Succeed())
				conf.Faults = []loader.TimedFault{{Name: "leave", Target: engineAddr, Fault: emulator.Fault{Kind: emulator.FaultLeave}}}
			}
			l := loader.New(conf)
			Expect(l.Run(ctx)).To(Succeed())
			Expect(l.Collect(ctx)).To(Succeed())
			Expect(l.Collect(ctx)).To(Succeed(), "a second call must add nothing")
			l.Audit().AddLedger(e.ledger)
			rep := l.Report()
			Expect(rep.Requests).To(Equal(150))
			Expect(l.Failures()).To(BeEmpty())
			for _, c := range rep.Verdict.Promises {
				if c.Promise == promise {
					Expect(c.Broken).To(BeNumerically(">", 0), c.Name)
				} else {
					Expect(c.Broken).To(BeZero(), "%s: %v", c.Name, c.Examples)
				}
			}
			if d == missingEnd {
				Expect(rep.RefusedCount(loader.CodeTransport)).To(Equal(150 - rep.Answered))
				Expect(rep.Answered).To(BeNumerically("<", 150))
			}
			if d == none {
				Expect(rep.Answered).To(Equal(150))
				for _, p := range []int{1, 3, 4, 5, 7} {
					Expect(rep.Verdict.Promises[p-1].Checked).To(BeNumerically(">", 0))
				}
			}
		},
		Entry("has no defect (no violations)", none, 0),
		Entry(string(disallowed), disallowed, 1),
		Entry(string(unannouncedMove), unannouncedMove, 3),
		Entry(string(noBill), noBill, 4),
		Entry(string(doubleBill), doubleBill, 4),
		Entry(string(wrongPayer), wrongPayer, 4),
		Entry(string(wrongPrice), wrongPrice, 4),
		Entry(string(unexecutedStep), unexecutedStep, 4),
		Entry(string(wrongAnswer), wrongAnswer, 5),
		Entry(string(missingChunk), missingChunk, 5),
		Entry(string(falseNotRun), falseNotRun, 6),
		Entry(string(doubleRun), doubleRun, 7),
		// The caller can tell that the answer is incomplete, so no promise is
		// violated.
		Entry(string(missingEnd), missingEnd, 0),
		Entry(string(lateWork), lateWork, 8),
	)

	// Guards against plans that differ between runs with the same seed, and
	// against a wrong arrival rate or a wrong split between workspaces.
	It("generates the same arrivals for the same seed", func() {
		conf := loader.Config{
			Seed: 4, Mix: loader.Festival(), Rate: 100, Duration: 200 * time.Second,
			Workspaces: make([]loader.Workspace, 10),
		}
		loader.SetWeights(conf.Workspaces, 2, 0.6)
		a, b := slices.Collect(loader.Plan(conf)), slices.Collect(loader.Plan(conf))
		Expect(len(a)).To(BeNumerically("~", 20000, 600))
		large := 0
		digests := make(map[string]bool)
		for i := range a {
			Expect(a[i].At).To(Equal(b[i].At))
			Expect(a[i].Digest).To(Equal(b[i].Digest))
			if a[i].Workspace == &conf.Workspaces[0] || a[i].Workspace == &conf.Workspaces[1] {
				large++
			}
			digests[a[i].Digest] = true
		}
		Expect(float64(large) / float64(len(a))).To(BeNumerically("~", 0.6, 0.02))
		Expect(digests).To(HaveLen(len(a)))
	})
})

var _ = Describe("Audit", func() {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	refused := func(sent, ended time.Time) loader.Attempt {
		return loader.Attempt{Sent: sent, Ended: ended, Outcome: refuser.NotRun}
	}
	result := func(digest string, attempts ...loader.Attempt) loader.Result {
		return loader.Result{Attempts: attempts, Request: loader.Request{
			Digest: digest, Class: &loader.Class{Kind: declarer.KindShort}, Workspace: &loader.Workspace{},
		}}
	}

	// addStoredBooking is a booking whose first response was lost and that got it from
	// the store, under the ID of the run.
	addStoredBooking := func(a *loader.Audit, bill string) {
		a.AddServiceRuns([]emulator.ServiceRun{{Digest: "d"}}, nil)
		r := result("d", loader.Attempt{RequestID: "resend", StoredID: "run"})
		r.Class = &loader.Class{Method: http.MethodPost}
		r.Answered = true
		a.AddResult(r)
		a.AddLedger([]biller.Record{{ID: bill, Ending: biller.Complete}})
	}

	// Guards against an audit that misses violations built from single events,
	// such as work for a withdrawn version, requests interrupted by a shutdown,
	// and configurations that revert or arrive late.
	DescribeTable("counts the violations in",
		func(promise int, broken int, feed func(a *loader.Audit)) {
			a := loader.NewAudit(loader.AuditConfig{})
			feed(a)
			v := a.Verdict()
			Expect(v.Promises[promise-1].Checked).To(BeNumerically(">", 0))
			Expect(v.Promises[promise-1].Broken).To(Equal(broken))
			Expect(v.Broken()).To(Equal(broken))
		},
		Entry("work for a withdrawn version", 2, 1, func(a *loader.Audit) {
			a.AddWithdrawal(declarer.VersionRef{Model: "m", Version: "v1"}, at(10))
			a.AddEngineRuns([]emulator.Run{
				{Model: "m", Version: "v1", Arrived: at(9)}, {Model: "m", Version: "v1", Arrived: at(11)}, {Model: "m", Version: "v2", Arrived: at(11)},
			}, nil)
		}),
		Entry("a run during an attempt refused as notRun", 6, 1, func(a *loader.Audit) {
			a.AddEngineRuns([]emulator.Run{{Digest: "d", Arrived: at(2)}, {Digest: "d", Arrived: at(5)}}, nil)
			a.AddResult(result("d", refused(at(1), at(3)), loader.Attempt{Sent: at(4), Ended: at(6)}))
		}),
		Entry("a run after a refusal as notRun", 6, 1, func(a *loader.Audit) {
			a.AddEngineRuns([]emulator.Run{{Digest: "d", Arrived: at(4)}}, nil)
			a.AddResult(result("d", refused(at(1), at(3))))
		}),
		Entry("a run only during another attempt", 6, 0, func(a *loader.Audit) {
			a.AddEngineRuns([]emulator.Run{{Digest: "d", Arrived: at(5)}}, nil)
			a.AddResult(result("d", refused(at(1), at(3)), loader.Attempt{Sent: at(4), Ended: at(6)}))
		}),
		Entry("one session moved without notice and one moved with notice", 3, 1, func(a *loader.Audit) {
			for _, s := range []struct{ session, moved string }{{"s", ""}, {"t", "versionWithdrawn"}} {
				for i, version := range []string{"v1", "v2"} {
					d := s.session + version
					a.AddEngineRuns([]emulator.Run{{Digest: d, Model: "m", Version: version, Arrived: at(i)}}, nil)
					r := result(d, loader.Attempt{Moved: s.moved})
					r.SessionKey, r.Answered, r.Judgement = s.session, true, emulator.AnswerCheck{Intact: true, Digest: d}
					a.AddResult(r)
				}
			}
		}),
		Entry("a stored response billed under the ID of its run", 4, 0, func(a *loader.Audit) { addStoredBooking(a, "run") }),
		Entry("a stored response without a bill", 4, 1, func(a *loader.Audit) { addStoredBooking(a, "other") }),
		Entry("a stream cut by a shutdown", 9, 1, func(a *loader.Audit) {
			a.AddShutdown(1, at(10), at(20))
			for _, t := range []loader.Attempt{
				{Entry: 1, Sent: at(9), Ended: at(12), Status: 200, Interrupted: true},
				{Entry: 1, Sent: at(9), Ended: at(12), Status: 200},
				{Entry: 0, Sent: at(9), Ended: at(12), Interrupted: true},
				{Entry: 1, Sent: at(9), Ended: at(12), Interrupted: true, GaveUp: true},
				{Entry: 1, Sent: at(11), Ended: at(12), Interrupted: true},
			} {
				a.AddResult(result("d", t))
			}
		}),
		Entry("a configuration that reverts", 10, 1, func(a *loader.Audit) {
			a.AddConfigObservation("h", 4, at(1))
			a.AddConfigObservation("h", 3, at(2))
		}),
		Entry("a configuration that is late on one host", 10, 1, func(a *loader.Audit) {
			a.AddAcceptedConfig(5, at(10))
			a.AddConfigObservation("h1", 5, at(12))
			a.AddConfigObservation("h2", 4, at(13))
			a.AddConfigObservation("h2", 4, at(15))
		}),
	)
})
