package emulator

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// maxExportableKV bounds the number of requests whose KV cache is kept for
// export.
const maxExportableKV = 1024

type (
	// RanBody is the response of an engine to GET /ran?after=N: the runs from
	// index N on.
	RanBody struct {
		Next int64 `json:"next"`
		Runs []Run `json:"runs"`
		// LateWork lists the arrival times of requests refused after
		// FaultLeave, in nanoseconds since the fault.
		LateWork []time.Duration `json:"lateWork,omitempty"`
	}

	// kvBody represents an exported KV cache by the hashes of its blocks.
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
	r.HandlerFunc(http.MethodPost, "/v1/chat/completions", e.serveChat)
	r.HandlerFunc(http.MethodGet, "/v1/models", e.serveModels)
	r.HandlerFunc(http.MethodGet, "/load", e.serveLoad)
	r.HandlerFunc(http.MethodGet, "/cache/events", e.serveCacheEvents)
	r.HandlerFunc(http.MethodPost, "/orders", e.postOrder)
	r.HandlerFunc(http.MethodGet, "/orders", e.getOrders)
	r.GET("/kv/:id", e.exportKV)
	r.PUT("/kv/:id", e.importKV)
	r.HandlerFunc(http.MethodGet, ranPath, e.serveRuns)
	r.HandlerFunc(http.MethodPost, faultsPath, handleFaults(e))
	e.router = r
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := e.delayedLoad(e.clock.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
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

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	b := cacheEventsBody{Incarnation: e.incarnation, Next: afterParam(r), Events: []CacheEvent{}}
	if e.cache != nil {
		b.Events, b.Next = e.cache.Since(afterParam(r), e.clock.Now().Add(-e.conf.EventLag))
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, b)
}

func (e *Engine) serveRuns(w http.ResponseWriter, r *http.Request) {
	runs := e.Ran()
	from := min(max(afterParam(r), 0), int64(len(runs)))
	writeJSON(w, http.StatusOK, RanBody{Next: int64(len(runs)), Runs: runs[from:], LateWork: e.RefusedArrivals()})
}

// storeKV makes the KV cache of a request available for export. The caller
// holds mu.
func (e *Engine) storeKV(w *activeRequest) {
	if w.run.RequestID == "" || len(w.job.Prefix) == 0 {
		return
	}
	if len(e.kvOrder) >= maxExportableKV {
		delete(e.kv, e.kvOrder[0])
		e.kvOrder = e.kvOrder[1:]
	}
	e.kv[w.run.RequestID] = w.job.Prefix
	e.kvOrder = append(e.kvOrder, w.run.RequestID)
}

// exportKV serves GET /kv/ID: the KV cache of the prompt of a request that this
// engine ran.
func (e *Engine) exportKV(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	e.mu.Lock()
	prefix, ok := e.kv[p.ByName("id")]
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, true, "noCache", "the engine has no KV cache for this request")
		return
	}
	writeJSON(w, http.StatusOK, kvBody{Prefix: prefix})
}

// importKV serves PUT /kv/ID: it inserts a KV cache that another engine exported
// into the prefix cache.
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
