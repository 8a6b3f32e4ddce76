package emulator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/emulator"
	"foxtailwall/timekeeper"
)

var _ = Describe("Rater", func() {
	// Guards against ratings that differ from the grade in the seal, appear
	// before their delay, or get a number that a reader has already passed.
	It("rates by the seal and publishes ratings after the delay", func() {
		e := emulator.NewEngine(emulator.EngineConfig{Seed: 5, Timing: fastTiming, Versions: []emulator.Version{engraver}})
		defer e.Close()
		engine := httptest.NewServer(e.Handler())
		defer engine.Close()
		clock := timekeeper.NewFake(time.Unix(0, 0))
		srv := httptest.NewServer(emulator.NewRater(emulator.RaterConfig{Clock: clock, Seed: 5, Delay: time.Second}).Handler())
		defer srv.Close()
		for _, prompt := range []string{"a", "b", "c", "d"} {
			r := sendRequest(engine.Client(), http.MethodPost, engine.URL+"/v1/chat/completions", chatBody(prompt, 4, false))
			b, err := json.Marshal(map[string]string{"requestId": prompt, "prompt": prompt, "response": r.body})
			Expect(err).NotTo(HaveOccurred())
			Expect(sendRequest(srv.Client(), http.MethodPost, srv.URL+"/rate", string(b)).status).To(Equal(http.StatusAccepted))
		}
		read := func() (out struct{ Ratings []emulator.Rating }) {
			Expect(json.Unmarshal([]byte(sendRequest(srv.Client(), http.MethodGet, srv.URL+"/ratings?after=0", "").body), &out)).To(Succeed())
			return out
		}
		Expect(read().Ratings).To(BeEmpty())
		clock.Advance(time.Second)
		got := read().Ratings
		Expect(got).To(HaveLen(4))
		passes := 0
		for i, run := range e.Ran() {
			Expect(got[i]).To(And(HaveField("Pass", run.Pass), HaveField("Seq", int64(i+1))))
			if run.Pass {
				passes++
			}
		}
		Expect(passes).To(And(BeNumerically(">", 0), BeNumerically("<", 4)), "seed 5 must give both grades")
	})
})

var _ = Describe("WeightStore", func() {
	// Guards against fetches that fail, or retry too early, when the store
	// limits their rate.
	It("limits the rate of fetches, and FetchWeights waits for Retry-After", func(ctx SpecContext) {
		clock := timekeeper.NewFake(time.Unix(0, 0))
		store := emulator.NewWeightStore(emulator.WeightConfig{Clock: clock, Rate: 0.5, Burst: 1, Size: 1})
		srv := httptest.NewServer(store.Handler())
		defer srv.Close()
		addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
		fetch := emulator.FetchWeights(srv.Client(), clock, addr)
		Expect(fetch(ctx, "engraver", "v1")).To(Succeed())
		done := make(chan error, 1)
		go func() { done <- fetch(ctx, "engraver", "v1") }()
		Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
		clock.Advance(2 * time.Second)
		Expect(<-done).To(Succeed())
		served, rejected := store.Counts()
		Expect([]int{served, rejected}).To(Equal([]int{2, 1}))
	}, NodeTimeout(20*time.Second))
})

var _ = Describe("Platform", func() {
	// Guards against a list fresher than a real platform's, which would hide
	// that a leaving upstream still gets requests.
	It("shows changes after the configured lag", func() {
		clock := timekeeper.NewFake(time.Unix(100, 0))
		p := emulator.NewPlatform(emulator.PlatformConfig{Clock: clock, Lag: time.Second})
		srv := httptest.NewServer(p.Handler())
		defer srv.Close()
		list := func() string { return sendRequest(srv.Client(), http.MethodGet, srv.URL+"/hosts", "").body }
		h := emulator.Host{Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1, State: emulator.HostLive}
		p.Set(h)
		clock.Advance(time.Second)
		h.State = emulator.HostLeaving
		p.Set(h)
		Expect(list()).To(ContainSubstring(`"live"`))
		clock.Advance(time.Second)
		Expect(list()).To(ContainSubstring(`"leaving"`))
	})
})
