package emulator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/emulator"
	"foxtailwall/timekeeper"
)

var engraver = emulator.Version{Model: "engraver", Version: "v1", Quality: 0.5}

// fastTiming is a time model with negligible delays.
var fastTiming = emulator.Timing{Step: time.Microsecond, PerSequence: time.Microsecond, Prefill: 1e9}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func sendRequest(c *http.Client, method, url, body string, header ...string) response {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(b), err}
}

func chatBody(prompt string, n int, stream bool) string {
	b, err := json.Marshal(map[string]any{
		"model": "engraver/v1", "max_tokens": n, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

// joinStream joins the contents of a stream; ok is false without an end marker.
func joinStream(body string) (text string, ok bool) {
	for line := range strings.Lines(body) {
		data := strings.TrimSpace(strings.TrimPrefix(line, "data: "))
		if data == "[DONE]" {
			return text, true
		}
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Delta.Content
		}
	}
	return text, false
}

var _ = Describe("Engine", func() {
	var (
		e   *emulator.Engine
		srv *httptest.Server
		c   *http.Client
	)
	serve := func(conf emulator.EngineConfig) {
		conf.Name, conf.Seed, conf.Timing = "e1", 3, fastTiming
		conf.Versions = []emulator.Version{engraver}
		e = emulator.NewEngine(conf)
		DeferCleanup(e.Close)
		srv = httptest.NewServer(e.Handler())
		DeferCleanup(srv.Close)
		c = srv.Client()
	}
	post := func(id, prompt string, stream bool, header ...string) response {
		return sendRequest(c, http.MethodPost, srv.URL+"/v1/chat/completions", chatBody(prompt, 8, stream),
			append(header, emulator.HeaderRequest, id)...)
	}

	// Guards against external checks that miss a wrong answer: VerifyAnswer must
	// detect an answer that is altered or belongs to another prompt.
	It("seals every answer and records its run", func() {
		serve(emulator.EngineConfig{})
		for i := range 4 {
			prompt, id := fmt.Sprint("prompt ", i), fmt.Sprint("r", i)
			r := post(id, prompt, i%2 == 0)
			Expect(r.header.Get(emulator.HeaderRequest)).To(Equal(id))
			text := r.body
			if i%2 == 0 {
				var done bool
				text, done = joinStream(r.body)
				Expect(done).To(BeTrue())
			}
			j := emulator.VerifyAnswer(prompt, text)
			Expect(j).To(Equal(emulator.AnswerCheck{Intact: true, MatchesPrompt: true, Pass: e.Ran()[i].Pass, Digest: emulator.Digest(prompt)}))
			Expect(emulator.VerifyAnswer("other", text).MatchesPrompt).To(BeFalse())
			Expect(emulator.VerifyAnswer(prompt, strings.Replace(text, " ", " x ", 1)).Intact).To(BeFalse())
			run := e.Ran()[i]
			Expect(run.RequestID).To(Equal(id))
			Expect(run.Ending).To(Equal(emulator.RunComplete))
			Expect(run.Output).To(Equal(8))
		}
	})

	// Guards against a resumed stream that repeats or skips tokens.
	It("resumes a stream after the tokens already received", func() {
		serve(emulator.EngineConfig{})
		Expect(e.SetFault(emulator.Fault{Kind: emulator.FaultCut})).To(Succeed())
		first, done := joinStream(post("a", "p", true).body)
		Expect(done).To(BeFalse())
		n := len(strings.Fields(first))
		Expect(n).To(Equal(4))
		rest, done := joinStream(post("b", "p", true, emulator.HeaderResume, fmt.Sprint("a:", n)).body)
		Expect(done).To(BeTrue())
		Expect(emulator.VerifyAnswer("p", first+rest)).To(HaveField("Intact", true))
	})

	// Guards against a Not-Run header on a request that ran, and against
	// refused requests recorded as run.
	It("refuses new requests while leaving and marks them as not run", func() {
		serve(emulator.EngineConfig{LoadLag: time.Nanosecond})
		r := sendRequest(c, http.MethodPost, srv.URL+"/faults", `{"kind":"leave"}`)
		Expect(r.status).To(Equal(http.StatusNoContent))
		r = post("a", "p", false)
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.header.Get(emulator.HeaderNotRun)).To(Equal("true"))
		Expect(sendRequest(c, http.MethodGet, srv.URL+"/load", "").body).To(ContainSubstring(`"leaving":true`))
		Expect(e.Ran()).To(BeEmpty())
		Expect(e.RefusedArrivals()).To(HaveLen(1))
		Expect(e.SetFault(emulator.Fault{Kind: emulator.FaultReturn})).To(Succeed())
		Expect(post("b", "p", false).status).To(Equal(http.StatusOK))
	})

	// Guards against a fault without effect: the router's request ID checks
	// would never be exercised.
	It("sends the previous answer in place of the next with FaultCross", func() {
		serve(emulator.EngineConfig{})
		for _, stream := range []bool{false, true} {
			post("a", "mine", stream)
			Expect(e.SetFault(emulator.Fault{Kind: emulator.FaultCross})).To(Succeed())
			r := post("b", "yours", stream)
			Expect(r.header.Get(emulator.HeaderRequest)).To(Equal("a"))
			Expect(r.body).To(ContainSubstring(emulator.Digest("mine")))
		}
	})

	// Guards against stray answers that never reach the client.
	It("sends an unrequested second answer with FaultStray", func() {
		serve(emulator.EngineConfig{})
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		post("a", "mine", false)
		Expect(e.SetFault(emulator.Fault{Kind: emulator.FaultStray})).To(Succeed())
		body := chatBody("yours", 4, false)
		fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n%s: b\r\nContent-Length: %d\r\n\r\n%s",
			emulator.HeaderRequest, len(body), body)
		all, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		parts := strings.Split(string(all), "HTTP/1.1 200 OK")
		Expect(parts).To(HaveLen(3))
		Expect(parts[1]).To(ContainSubstring(emulator.Digest("yours")))
		Expect(parts[2]).To(And(ContainSubstring(emulator.Digest("mine")), ContainSubstring(emulator.HeaderRequest+": a")))
	})

	// Guards against a bad version whose answers still pass, or whose runs are
	// not marked as bad.
	It("lowers the quality of a version with FaultBad", func() {
		serve(emulator.EngineConfig{})
		Expect(e.SetFault(emulator.Fault{Kind: emulator.FaultBad, Model: "engraver", Version: "v1"})).To(Succeed())
		for i := range 8 {
			Expect(post("a", fmt.Sprint(i), false).status).To(Equal(http.StatusOK))
		}
		for _, r := range e.Ran() {
			Expect(r).To(And(HaveField("Pass", false), HaveField("Bad", true)))
		}
	})

	// Guards against an engine whose timing differs from its Batch, which
	// would invalidate the comparison in virtual time.
	It("takes the time that the time model predicts", func(ctx SpecContext) {
		clock := timekeeper.NewFake(time.Unix(0, 0))
		e := emulator.NewEngine(emulator.EngineConfig{Clock: clock, Versions: []emulator.Version{engraver}, Timing: emulator.Timing{
			Prefill: 1000, Step: 10 * time.Millisecond, PerSequence: 500 * time.Microsecond,
		}})
		defer e.Close()
		answered, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody(strings.Repeat("x", 400), 9, false)))
			e.Handler().ServeHTTP(httptest.NewRecorder(), req.WithContext(ctx))
		}()
		for clock.WaitTimers(answered, 1) == nil {
			clock.Advance(time.Millisecond)
		}
		run := e.Ran()[0]
		// 100 prompt tokens, then eight steps.
		Expect(run.Ended.Sub(run.Started)).To(Equal(184 * time.Millisecond))
	}, NodeTimeout(20*time.Second))

	// Guards against cancelled requests that keep their slot, and against runs
	// that omit the tokens generated before the cancellation.
	It("frees the slot of a cancelled request", func(ctx SpecContext) {
		clock := timekeeper.NewFake(time.Unix(0, 0))
		e := emulator.NewEngine(emulator.EngineConfig{Clock: clock, Versions: []emulator.Version{engraver}, Timing: emulator.Timing{Slots: 1}})
		defer e.Close()
		caller, leave := context.WithCancel(ctx)
		left := make(chan any)
		go func() {
			defer func() { left <- recover() }()
			req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody("p", 9, true)))
			e.Handler().ServeHTTP(httptest.NewRecorder(), req.WithContext(caller))
		}()
		for range 40 {
			Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
			clock.Advance(time.Millisecond)
		}
		Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
		leave()
		Expect(<-left).To(Equal(http.ErrAbortHandler))
		Expect(e.Ran()).To(ConsistOf(And(HaveField("Ending", emulator.RunCancelled), HaveField("Output", 4))))
		done, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody("q", 3, false)))
			e.Handler().ServeHTTP(httptest.NewRecorder(), req)
		}()
		for clock.WaitTimers(done, 1) == nil {
			clock.Advance(time.Millisecond)
		}
		Expect(e.Ran()).To(HaveLen(2))
	}, NodeTimeout(20*time.Second))

	// Guards against versions that serve before their load completes, or that
	// never serve.
	It("serves a version only after it is loaded", func(ctx SpecContext) {
		clock := timekeeper.NewFake(time.Unix(0, 0))
		weights := make(chan struct{})
		serve(emulator.EngineConfig{
			Clock: clock, LoadTime: time.Second, Loadable: []emulator.Version{{Model: "engraver", Version: "v2"}},
			Weights: func(context.Context, string, string) error { <-weights; return nil },
		})
		orders := func() string { return sendRequest(c, http.MethodGet, srv.URL+"/orders", "").body }
		r := sendRequest(c, http.MethodPost, srv.URL+"/orders", `{"fence":1,"action":"load","model":"engraver","version":"v2"}`)
		Expect(r.status).To(Equal(http.StatusAccepted))
		body := strings.Replace(chatBody("p", 1, false), "v1", "v2", 1)
		r = sendRequest(c, http.MethodPost, srv.URL+"/v1/chat/completions", body)
		Expect(r.status).To(Equal(http.StatusNotFound))
		Expect(r.header.Get(emulator.HeaderNotRun)).To(Equal("true"))
		close(weights)
		Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
		Expect(orders()).To(ContainSubstring("loading"))
		clock.Advance(time.Second)
		for strings.Contains(orders(), "loading") {
			Expect(ctx.Err()).NotTo(HaveOccurred())
		}
		Expect(sendRequest(c, http.MethodGet, srv.URL+"/v1/models", "").body).To(ContainSubstring("engraver/v2"))
	}, NodeTimeout(20*time.Second))

	// Guards against load reports that are fresher than those of a real
	// engine.
	It("reports load with the configured lag", func() {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		serve(emulator.EngineConfig{Clock: clock, LoadLag: time.Second, EventLag: time.Second})
		Expect(e.SetFault(emulator.Fault{Kind: emulator.FaultLeave})).To(Succeed())
		load := func() string { return sendRequest(c, http.MethodGet, srv.URL+"/load", "").body }
		clock.Advance(time.Second - 1)
		Expect(load()).To(ContainSubstring(`"leaving":false`))
		clock.Advance(1)
		Expect(load()).To(ContainSubstring(`"leaving":true`))
	})

	// Guards against an import after which the prompt is still prefilled.
	It("exports and imports the KV cache of a request", func() {
		serve(emulator.EngineConfig{})
		prompt := strings.Repeat("x", 1024)
		post("a", prompt, false)
		kv := sendRequest(c, http.MethodGet, srv.URL+"/kv/a", "").body
		Expect(e.SetFault(emulator.Fault{Kind: emulator.FaultRestart})).To(Succeed())
		Expect(sendRequest(c, http.MethodGet, srv.URL+"/kv/a", "").status).To(Equal(http.StatusNotFound))
		Expect(sendRequest(c, http.MethodPut, srv.URL+"/kv/a", kv).status).To(Equal(http.StatusNoContent))
		post("b", prompt, false)
		Expect(e.Ran()[1].Cached).To(Equal(255))
	})

	// Guards against an engine that accepts orders from a former owner.
	DescribeTable("checks fencing tokens",
		func(ignores bool, want int) {
			serve(emulator.EngineConfig{IgnoresFencing: ignores})
			Expect(sendRequest(c, http.MethodPost, srv.URL+"/orders", `{"fence":7,"action":"role","role":"decode"}`).status).To(Equal(http.StatusAccepted))
			Expect(sendRequest(c, http.MethodPost, srv.URL+"/orders", `{"fence":6,"action":"role","role":"both"}`).status).To(Equal(want))
		},
		Entry("an engine that checks tokens", false, http.StatusConflict),
		Entry("an engine that ignores tokens", true, http.StatusAccepted),
	)

	// Guards against silent connections that are closed, which a client would
	// notice immediately.
	It("makes open connections silent while new ones work", func(ctx context.Context) {
		serve(emulator.EngineConfig{})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- emulator.Serve(ctx, l, e, nil) }()
		old, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		get := func(c net.Conn) error {
			_, err := c.Write([]byte("GET /load HTTP/1.1\r\nHost: x\r\n\r\n"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAtLeast(c, make([]byte, 4096), 12)
			return err
		}
		Expect(get(old)).To(Succeed())
		Expect(e.SetFault(emulator.Fault{Kind: emulator.FaultSilent})).To(Succeed())
		silent := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			silent <- get(old)
		}()
		fresh, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(get(fresh)).To(Succeed())
		Expect(silent).NotTo(Receive())
		stop()
		Expect(<-done).To(Succeed())
		Expect(<-silent).To(HaveOccurred())
	}, NodeTimeout(20*time.Second))
})

var _ = Describe("Service", func() {
	// Guards against a service that deduplicates by idempotency key: the check
	// of promise 7 needs every run recorded.
	It("records every run, even with the same key and body", func() {
		s := emulator.NewService(emulator.ServiceConfig{Name: "laser", Time: time.Nanosecond})
		srv := httptest.NewServer(s.Handler())
		defer srv.Close()
		for range 2 {
			r := sendRequest(srv.Client(), http.MethodPost, srv.URL+"/bookings", "slot 4", emulator.HeaderKey, "k")
			Expect(r.status).To(Equal(http.StatusOK))
		}
		Expect(s.SetFault(emulator.Fault{Kind: emulator.FaultLeave})).To(Succeed())
		r := sendRequest(srv.Client(), http.MethodPost, srv.URL+"/bookings", "slot 5")
		Expect(r.header.Get(emulator.HeaderNotRun)).To(Equal("true"))
		var got []string
		for _, run := range s.Ran() {
			got = append(got, run.Key+" "+run.Digest)
		}
		want := "k " + emulator.Digest("slot 4")
		Expect(got).To(Equal([]string{want, want}))
		Expect(s.RefusedArrivals()).To(HaveLen(1))
	})
})

var _ = Describe("PrefixHashes", func() {
	// Guards against hashes that do not depend on the preceding blocks: two
	// prompts would wrongly share a cache entry.
	It("chains the hashes of complete blocks", func() {
		a := bytes.Repeat([]byte("a"), 256)
		b := bytes.Repeat([]byte("b"), 256)
		ab := emulator.PrefixHashes(string(a) + string(b) + "rest")
		bb := emulator.PrefixHashes(string(b) + string(b))
		Expect(ab).To(HaveLen(2))
		Expect(emulator.PrefixHashes(string(a))).To(Equal(ab[:1]))
		Expect(ab[1]).NotTo(Equal(bb[1]))
	})
})
