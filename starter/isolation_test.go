package starter_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/matcher"
	"foxtailwall/tracker"
)

const (
	// crashingPart is the part of a prompt that crashes the engines of the specs.
	crashingPart = 666
	// isolatedCode is the text of the refusal of requests with such a part.
	isolatedCode = "promptIsolated"
)

// crashingEngines are engines that stop as soon as they begin to answer a request
// with the crashing part or path. Each is replaced by a new one at once.
type crashingEngines struct {
	// duration is the time from the first byte of an answer to its end.
	duration time.Duration

	mu sync.Mutex
	// crashes counts the requests that arrived and crashed an engine.
	crashes int
	started int
	running []*crashingEngine
}

type crashingEngine struct {
	srv      *httptest.Server
	upstream tracker.Upstream
	stop     sync.Once
}

// start starts an engine. The caller holds mu, if there are others.
func (e *crashingEngines) start() {
	e.started++
	engine := &crashingEngine{}
	l, err := ports.Listen()
	Expect(err).NotTo(HaveOccurred())
	engine.srv = httptest.NewUnstartedServer(e.handler(engine))
	engine.srv.Listener.Close()
	engine.srv.Listener = l
	engine.srv.Start()
	engine.upstream = newUpstream(fmt.Sprint("u", e.started), engine.srv)
	e.running = append(e.running, engine)
}

// list returns the running engines.
func (e *crashingEngines) list() []tracker.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []tracker.Upstream
	for _, engine := range e.running {
		out = append(out, engine.upstream)
	}
	return out
}

// crash stops an engine and starts another.
func (e *crashingEngines) crash(engine *crashingEngine) {
	engine.stop.Do(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		engine.srv.Listener.Close()
		e.running = slices.DeleteFunc(e.running, func(other *crashingEngine) bool { return other == engine })
		e.start()
		// Close waits for the request that calls this.
		go engine.srv.CloseClientConnections()
	})
}

func (e *crashingEngines) handler(engine *crashingEngine) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.WriteHeader(http.StatusOK)
		if r.URL.Path == crashingPath || slices.Contains(strings.Fields(r.Header.Get("X-Parts")), fmt.Sprint(crashingPart)) {
			e.mu.Lock()
			e.crashes++
			e.mu.Unlock()
			w.(http.Flusher).Flush()
			e.crash(engine)
			panic(http.ErrAbortHandler)
		}
		if e.duration > 0 {
			w.(http.Flusher).Flush()
			select {
			case <-time.After(e.duration):
			case <-r.Context().Done():
			}
		}
		fmt.Fprint(w, "id: 1\ndata: a\n\n")
	}
}

// crashAny crashes a number of engines, the oldest first.
func (e *crashingEngines) crashAny(n int) {
	e.mu.Lock()
	oldest := slices.Clone(e.running[:n])
	e.mu.Unlock()
	for _, engine := range oldest {
		e.crash(engine)
	}
}

func (e *crashingEngines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// engineConfig returns a configuration with one route to engines.
func engineConfig(version uint64) matcher.Config {
	c := config(version, "/a/")
	c.Services[0].Engine = &matcher.Engine{Slots: 8, MemoryTokens: 1000}
	r := &c.Routes[0]
	r.Kind, r.Resumable, r.MaxAttempts, r.Timeout = matcher.Stream, true, 3, 2*time.Second
	return c
}

// ask sends a request with these prompt parts and a body of its own.
func (d *deployment) ask(id string, parts ...int) (int, string) {
	return askAt(d.entry.Callers, id, parts...)
}

// askAt sends such a request to an entry.
func askAt(entry netip.AddrPort, id string, parts ...int) (int, string) {
	return postAt(entry, id, "/a/x", id, strings.Trim(fmt.Sprint(parts), "[]"))
}

// post sends a request with a body and the IDs of its prompt's parts, and returns
// the status and the body of the response, or 0 if it broke off.
func (d *deployment) post(id, path, body, parts string) (int, string) {
	return postAt(d.entry.Callers, id, path, body, parts)
}

// postAt sends such a request to an entry.
func postAt(entry netip.AddrPort, id, path, body, parts string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.String()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Parts", parts)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

var _ = Describe("Requests with a prompt part that crashes engines", func() {
	// Guards against requests that crash one engine after the other, and against
	// refusing the sound requests that share their other parts.
	It("are refused once the part is known, and no others", func() {
		engines := &crashingEngines{}
		for range 8 {
			engines.start()
		}
		DeferCleanup(func() {
			for _, engine := range engines.running {
				engine.srv.Close()
			}
		})
		d := startDeploymentWithList(engines.list)
		d.putConfig(engineConfig(1))
		d.eventually(status(d.entry.Ready, "/ready")).Should(Equal(200))
		next := 0
		crashing := func() string {
			next++
			_, body := d.ask(fmt.Sprint("c", next), next%2+1, 10+next%3, crashingPart, 1000+next)
			return body
		}
		sound := func() int {
			next++
			status, _ := d.ask(fmt.Sprint("s", next), next%2+1, 10+next%3, 1000+next)
			return status
		}
		d.eventually(crashing).Should(Equal(isolatedCode))

		crashes := engines.count()
		for range 50 {
			Expect(crashing()).To(Equal(isolatedCode))
		}
		Expect(engines.count()).To(Equal(crashes), "requests that reached engines")
		d.eventually(sound).Should(Equal(http.StatusOK)) // Engines are ejected for a while after a crash.
		for range 50 {
			Expect(sound()).To(Equal(http.StatusOK))
		}
	})
})

// Guards against refusing a harmless part that half of the requests have while upstreams
// crash for another reason, and against a common part that crashes engines and is tried for
// ever or never.
var _ = Describe("Common prompt parts", func() {
	It("are served while a quarter of the engines crash, and refused if they crash engines", func() {
		engines := &crashingEngines{duration: 150 * time.Millisecond}
		for range 12 {
			engines.start()
		}
		d := startDeploymentWithList(engines.list)
		entries := []netip.AddrPort{d.entry.Callers, d.startEntry("e2", d.opts).Callers}
		d.putConfig(engineConfig(1))
		for _, e := range entries {
			d.eventually(status(e, "/a/x")).Should(Equal(http.StatusOK))
		}
		var next, soundRefused, served, refused atomic.Int64
		var callers sync.WaitGroup
		stop := make(chan struct{})
		DeferCleanup(func() {
			close(stop)
			callers.Wait()
			for _, engine := range engines.running {
				engine.srv.Close()
			}
		})
		// call lets callers send requests, each after the end of the one before and a pause.
		call := func(n int, pause time.Duration, send func(entry netip.AddrPort, i int)) {
			for range n {
				callers.Go(func() {
					defer GinkgoRecover()
					for {
						i := int(next.Add(1))
						send(entries[i%len(entries)], i)
						select {
						case <-stop:
							return
						case <-time.After(pause):
						}
					}
				})
			}
		}
		call(24, 10*time.Millisecond, func(entry netip.AddrPort, i int) {
			switch code, body := askAt(entry, fmt.Sprint("s", i), 1+i/2%2, 10+i%100, 1000+i); {
			case body == isolatedCode:
				soundRefused.Add(1)
			case code == http.StatusOK:
				served.Add(1)
			}
		})
		d.eventually(served.Load).Should(BeNumerically(">", 50))
		for range 2 {
			engines.crashAny(3)
			before := served.Load()
			d.eventually(served.Load).Should(BeNumerically(">", before+100))
		}
		Expect(soundRefused.Load()).To(BeZero())

		call(4, 50*time.Millisecond, func(entry netip.AddrPort, i int) {
			if _, body := askAt(entry, fmt.Sprint("c", i), crashingPart, 10+i%100, 1000+i); body == isolatedCode {
				refused.Add(1)
			}
		})
		d.eventually(refused.Load).Should(BeNumerically(">", 20))
		crashes, before := engines.count(), served.Load()
		d.eventually(refused.Load).Should(BeNumerically(">", 60))
		Expect(engines.count()-crashes).To(BeNumerically("<=", controller.MaxIsolationTrials), "requests that reached engines later, other than trials")
		d.eventually(served.Load).Should(BeNumerically(">", before+50))
		Expect(soundRefused.Load()).To(BeZero())
	})
})
