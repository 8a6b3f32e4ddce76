package reporter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/counter"
	"foxtailwall/refuser"
	"foxtailwall/reporter"
	"foxtailwall/timekeeper"
)

func TestReporter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reporter")
}

var t0 = time.Unix(1_700_000_000, 0)

// counterFileLine returns a line of a counter file; counts are "name workspace
// code=value", with "-" for no code.
func counterFileLine(minutes int, host string, start bool, counts ...string) string {
	var samples []counter.Sample
	for _, c := range counts {
		var name, workspace, code string
		var v float64
		_, err := fmt.Sscanf(strings.Replace(c, "=", " ", 1), "%s %s %s %f", &name, &workspace, &code, &v)
		Expect(err).NotTo(HaveOccurred())
		tags := map[string]string{"workspace": workspace}
		if code != "-" {
			tags["code"] = code
		}
		samples = append(samples, counter.Sample{Name: "foxtailwall.router." + name, Tags: tags, Value: v})
	}
	b, err := json.Marshal(map[string]any{
		"at": t0.Add(time.Duration(minutes) * time.Minute), "host": host, "start": start, "samples": samples,
	})
	Expect(err).NotTo(HaveOccurred())
	return string(b) + "\n"
}

var objective = reporter.Objective{
	Name: "answered", Target: 0.99, Total: "router.requests", Bad: "router.refusals", Ignore: []refuser.Code{refuser.BadRequest},
}

// testSeries returns the series for the burn rates computed by hand below. Host
// a restarts once, and its last line is incomplete.
func testSeries() *reporter.Series {
	s := &reporter.Series{}
	Expect(s.Read(strings.NewReader(
		counterFileLine(0, "a", true, "requests w -=1000", "refusals w queueFull=10", "requests v -=1000") +
			counterFileLine(61, "a", false, "requests w -=2000", "refusals w queueFull=10", "refusals w badRequest=50") +
			counterFileLine(90, "a", false, "requests v -=2000", "refusals v noUpstream=5") +
			counterFileLine(118, "a", true, "requests w -=2500", "refusals w queueFull=5", "requests x -=100", "refusals x queueFull=20") +
			`{"at":"20`))).To(Succeed())
	Expect(s.Read(strings.NewReader(
		counterFileLine(117, "b", true, "requests w -=500", "refusals w noUpstream=20")))).To(Succeed())
	return s
}

var _ = Describe("NewReport", func() {
	// Guards against wrong burn rates because of a restart, a second host, an
	// ignored code or an event at the boundary of a window.
	It("matches burn rates computed by hand", func() {
		rep := reporter.NewReport(testSeries(), []reporter.Objective{objective}, t0.Add(2*time.Hour))
		Expect(rep.Torn).To(Equal(1))
		Expect(rep.Burns).To(HaveLen(3))
		rates := func(b reporter.Burn) (out []float64) {
			for _, w := range b.Windows {
				out = append(out, w.Rate)
			}
			return out
		}
		closeTo := func(want ...float64) OmegaMatcher {
			var all []any
			for _, w := range want {
				all = append(all, BeNumerically("~", w, 1e-9))
			}
			return HaveExactElements(all...)
		}
		v, w, x := rep.Burns[0], rep.Burns[1], rep.Burns[2]
		// v: 5 bad of 1000 in the last hour, 5 of 2000 in total.
		Expect(rates(v)).To(closeTo(0, 0.5, 0.25, 0.25))
		Expect(v.State).To(Equal(reporter.OK))
		Expect(v.BudgetLeft).To(BeNumerically("~", 0.75, 1e-9))
		// 75% of a 30-day budget, at a burn rate of 0.5.
		Expect(v.TimeLeft).To(BeNumerically("~", 45*24*time.Hour, time.Second))
		// w: 25 of 3000 in 5 min (20 of 500 on b, 5 of 2500 on a after its
		// restart), 25 of 4000 in 1 h, 35 of 5000 in total; badRequest does not
		// count.
		Expect(rates(w)).To(closeTo(25.0/30, 25.0/40, 35.0/50, 35.0/50))
		Expect(w.Causes).To(Equal([]reporter.Cause{{Code: "noUpstream", Bad: 20}, {Code: "queueFull", Bad: 15}}))
		// x: 20 of 100.
		Expect(rates(x)).To(closeTo(20, 20, 20, 20))
		Expect(x.State).To(Equal(reporter.FastBurn))
		Expect(x.TimeLeft).To(BeZero())
	})

	// Guards against a page that needs the network or lacks the plots, and
	// against names that are not escaped.
	It("writes text, JSON and a self-contained HTML page", func() {
		s := testSeries()
		Expect(s.Read(strings.NewReader(counterFileLine(1, "c", true, "requests <b>&y -=10")))).To(Succeed())
		rep := reporter.NewReport(s, []reporter.Objective{objective}, t0.Add(2*time.Hour))
		var text, js, page bytes.Buffer
		Expect(rep.Print(&text)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("fast burn"))
		Expect(rep.JSON(&js)).To(Succeed())
		var back reporter.Report
		Expect(json.Unmarshal(js.Bytes(), &back)).To(Succeed())
		Expect(back.Burns).To(HaveLen(4))
		Expect(rep.Page(&page)).To(Succeed())
		Expect(page.String()).To(And(ContainSubstring("<svg"), Not(ContainSubstring("<b>")), Not(ContainSubstring("src="))))
	})
})

var _ = Describe("Recorder", func() {
	// Guards against losing the counts between the last interval and the end
	// of the process.
	It("records at each interval and at shutdown", func(ctx SpecContext) {
		path := filepath.Join(GinkgoT().TempDir(), "counters.jsonl")
		clock, scope := timekeeper.NewFake(t0), counter.NewTest("foxtailwall")
		rec := &reporter.Recorder{Scope: scope, Clock: clock, Host: "a", Path: path}
		run, stop := context.WithCancel(ctx)
		done := make(chan error)
		go func() { done <- rec.Run(run) }()
		for range 2 {
			Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
			scope.Counter("router.requests", "workspace", "w").Inc(1)
			clock.Advance(time.Minute)
		}
		Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
		scope.Counter("router.requests", "workspace", "w").Inc(1)
		stop()
		Expect(<-done).To(Succeed())
		b, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Count(b, []byte("\n"))).To(Equal(3))
		s := &reporter.Series{}
		Expect(s.Read(bytes.NewReader(b))).To(Succeed())
		rep := reporter.NewReport(s, []reporter.Objective{objective}, s.End())
		Expect(rep.Burns[0].Windows[1].Total).To(Equal(3.0))
	}, NodeTimeout(20*time.Second))

	// Guards against files from which the growth cannot be computed, after a
	// restart and the rotation of a full file.
	It("writes files that Read and NewReport can use", func() {
		path := filepath.Join(GinkgoT().TempDir(), "counters.jsonl")
		clock := timekeeper.NewFake(t0)
		for range 2 {
			scope := counter.NewTest("foxtailwall")
			rec := &reporter.Recorder{Scope: scope, Clock: clock, Host: "a", Path: path, MaxBytes: 1000}
			for range 3 {
				scope.Counter("router.requests", "workspace", "w").Inc(100)
				scope.Counter("router.refusals", "workspace", "w", "code", "queueFull").Inc(1)
				Expect(rec.Record()).To(Succeed())
				clock.Advance(time.Minute)
			}
		}
		s := &reporter.Series{}
		old, err := os.Open(path + ".1")
		Expect(err).NotTo(HaveOccurred())
		defer old.Close()
		Expect(s.Read(old)).To(Succeed())
		f, err := os.Open(path)
		Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		Expect(s.Read(f)).To(Succeed())
		rep := reporter.NewReport(s, []reporter.Objective{objective}, s.End())
		Expect(rep.Burns).To(HaveLen(1))
		Expect(rep.Burns[0].Windows[1]).To(And(HaveField("Total", 600.0), HaveField("Bad", 6.0)))
	})
})
