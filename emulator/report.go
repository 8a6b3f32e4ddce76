package emulator

import (
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// maxKV bounds one KV cache export, in bytes.
const maxKV = 1 << 20

type (
	// RanBody is the response of an engine to GET /ran?after=N: the runs from
	// index N on.
	RanBody struct {
		Next int64 `json:"next"`
		Runs []Run `json:"runs"`
		// LateWork lists, in nanoseconds after the engine began to leave, when
		// later requests for new work arrived.
		LateWork []time.Duration `json:"lateWork,omitempty"`
	}

	modelsBody struct {
		Object string      `json:"object"`
		Data   []modelBody `json:"data"`
	}

	modelBody struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
)

// routes registers the handlers.
func (e *Engine) routes() {
	r := httprouter.New()
	r.HandlerFunc(http.MethodPost, "/v1/chat/completions", e.chat)
	r.HandlerFunc(http.MethodGet, "/v1/models", e.models)
	r.HandlerFunc(http.MethodGet, "/load", e.loadReport)
	r.HandlerFunc(http.MethodGet, "/cache/events", e.cacheEvents)
	r.HandlerFunc(http.MethodPost, "/orders", e.postOrder)
	r.HandlerFunc(http.MethodGet, "/orders", e.getOrders)
	r.GET("/kv/:id", e.exportKV)
	r.PUT("/kv/:id", e.importKV)
	r.HandlerFunc(http.MethodGet, "/ran", e.ran)
	r.HandlerFunc(http.MethodPost, "/faults", handleFaults(e))
	e.router = r
}

func (e *Engine) loadReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := e.trim(e.clock.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	b := modelsBody{Object: "list", Data: []modelBody{}}
	for _, v := range e.versions {
		if v.state == loadReady {
			b.Data = append(b.Data, modelBody{ID: v.Ref().String(), Object: "model"})
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, b)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	b := cacheEvents{Incarnation: e.incarnation, Next: after(r), Events: []cacheEvent{}}
	if e.cache != nil {
		b.Events, b.Next = e.cache.since(after(r), e.clock.Now().Add(-e.conf.EventLag))
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, b)
}

func (e *Engine) ran(w http.ResponseWriter, r *http.Request) {
	runs := e.Ran()
	from := min(max(after(r), 0), int64(len(runs)))
	writeJSON(w, http.StatusOK, RanBody{Next: int64(len(runs)), Runs: runs[from:], LateWork: e.LateWork()})
}

// exportKV serves GET /kv/ID.
func (e *Engine) exportKV(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	e.mu.Lock()
	b, ok := e.kv[p.ByName("id")]
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, true, "noCache", "no KV cache is held under this ID")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(b)
}

// importKV serves PUT /kv/ID.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKV))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, true, "tooLarge", "the KV cache exceeds 1 MiB")
		return
	}
	e.mu.Lock()
	e.kv[p.ByName("id")] = b
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
