package starter_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
		fmt.Fprint(w, "id: 1\ndata: a\n\n")
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
	return d.post(id, "/a/x", id, strings.Trim(fmt.Sprint(parts), "[]"))
}

// post sends a request with a body and the IDs of its prompt's parts, and returns
// the status and the body of the response, or 0 if it broke off.
func (d *deployment) post(id, path, body, parts string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.entry.Callers.String()+path, strings.NewReader(body))
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
