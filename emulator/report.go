package emulator

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// maxKVKept bounds the requests whose KV cache can be exported.
const maxKVKept = 1024

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

	// kvBody stands for an exported KV cache: the hashes of its blocks.
	kvBody struct {
		Prefix []uint64 `json:"prefix"`
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
	b := cacheEvents{Incarnation: e.incarnation, Next: after(r), Events: []CacheEvent{}}
	if e.cache != nil {
		b.Events, b.Next = e.cache.Since(after(r), e.clock.Now().Add(-e.conf.EventLag))
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, b)
}

func (e *Engine) ran(w http.ResponseWriter, r *http.Request) {
	runs := e.Ran()
	from := min(max(after(r), 0), int64(len(runs)))
	writeJSON(w, http.StatusOK, RanBody{Next: int64(len(runs)), Runs: runs[from:], LateWork: e.LateWork()})
}

// keepKV makes the cache of a request available for export. The caller holds
// mu.
func (e *Engine) keepKV(w *work) {
	if w.run.RequestID == "" || len(w.job.Prefix) == 0 {
		return
	}
	if len(e.kvOrder) >= maxKVKept {
		delete(e.kv, e.kvOrder[0])
		e.kvOrder = e.kvOrder[1:]
	}
	e.kv[w.run.RequestID] = w.job.Prefix
	e.kvOrder = append(e.kvOrder, w.run.RequestID)
}

// exportKV serves GET /kv/ID: the cache of the prompt of a request that this
// engine ran.
func (e *Engine) exportKV(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	e.mu.Lock()
	prefix, ok := e.kv[p.ByName("id")]
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, true, "noCache", "the engine holds no KV cache of this request")
		return
	}
	writeJSON(w, http.StatusOK, kvBody{Prefix: prefix})
}

// importKV serves PUT /kv/ID: it puts the cache that another engine exported
// into this one's.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var b kvBody
	if !readJSON(w, r, &b) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache != nil {
		e.cache.Insert(b.Prefix, e.clock.Now())
	}
	w.WriteHeader(http.StatusNoContent)
}
