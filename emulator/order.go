package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"foxtailwall/timekeeper"
)

const (
	loadPending loadState = "loading"
	loadReady   loadState = "ready"
	loadFailed  loadState = "failed"

	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
)

type (
	loadState string

	// Order is a command sent to an engine.
	Order struct {
		Fence uint64 `json:"fence"`
		// Deadline is in milliseconds after the arrival; 0 means none.
		Deadline int64  `json:"deadline,omitempty"`
		Action   string `json:"action"`
		Model    string `json:"model,omitempty"`
		Version  string `json:"version,omitempty"`
		Role     string `json:"role,omitempty"`
		// At and Accepted are set by the engine.
		At       time.Time `json:"at"`
		Accepted bool      `json:"accepted"`
	}

	orderState struct {
		fence uint64
		role  string
		log   []Order
	}

	// ordersBody is the response to GET /orders.
	ordersBody struct {
		Incarnation uint64     `json:"incarnation"`
		Fence       uint64     `json:"fence"`
		Role        string     `json:"role,omitempty"`
		Loads       []loadBody `json:"loads"`
	}

	loadBody struct {
		Model   string    `json:"model"`
		Version string    `json:"version"`
		State   loadState `json:"state"`
		Fence   uint64    `json:"fence"`
		Error   string    `json:"error,omitempty"`
	}
)

// Orders returns the commands received, in order of arrival.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.log)
}

// postOrder serves POST /orders.
func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o.At, o.Accepted = e.clock.Now(), false
	status, message := e.applyOrder(&o)
	e.orders.log = append(e.orders.log, o)
	if !o.Accepted {
		writeError(w, status, true, "order", message)
		return
	}
	writeJSON(w, status, e.orderStatus())
}

// applyOrder carries out the order. It returns the HTTP status and, if the order
// is refused, the reason. The caller holds mu.
func (e *Engine) applyOrder(o *Order) (int, string) {
	if o.Fence < e.orders.fence && !e.conf.IgnoresFencing {
		return http.StatusConflict, fmt.Sprintf("fencing token %d is older than %d", o.Fence, e.orders.fence)
	}
	i := slices.IndexFunc(e.versions, func(l engineVersion) bool { return l.Model == o.Model && l.Version.Version == o.Version })
	switch o.Action {
	case actionRole:
		e.orders.role = o.Role
	case actionUnload:
		if i >= 0 {
			e.versions = slices.Delete(e.versions, i, i+1)
		}
	case actionLoad:
		if i >= 0 && e.versions[i].state != loadFailed {
			break // loaded or loading
		}
		v, ok := e.findLoadable(o.Model, o.Version)
		if !ok {
			return http.StatusNotFound, fmt.Sprintf("version %s/%s does not exist", o.Model, o.Version)
		}
		if i >= 0 {
			e.versions = slices.Delete(e.versions, i, i+1)
		}
		e.versions = append(e.versions, engineVersion{Version: v, state: loadPending, fence: o.Fence})
		order := *o
		e.wg.Go(func() { e.loadVersion(order) })
	default:
		return http.StatusBadRequest, fmt.Sprintf("unknown action %q; use load, unload or role", o.Action)
	}
	e.orders.fence = max(e.orders.fence, o.Fence)
	o.Accepted = true
	e.recordLoad(e.clock.Now())
	return http.StatusAccepted, ""
}

func (e *Engine) findLoadable(model, version string) (Version, bool) {
	all := slices.Concat(e.conf.Versions, e.conf.Loadable)
	i := slices.IndexFunc(all, func(v Version) bool { return v.Model == model && v.Version == version })
	if i < 0 {
		return Version{}, false
	}
	return all[i], true
}

// loadVersion fetches the weights, waits for the load time and marks the
// version as ready, or as failed.
func (e *Engine) loadVersion(o Order) {
	var err error
	if e.conf.Weights != nil {
		err = e.conf.Weights(e.ctx, o.Model, o.Version)
	}
	if err == nil {
		err = timekeeper.Sleep(e.ctx, e.clock, e.conf.LoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for i := range e.versions {
		l := &e.versions[i]
		if l.Model != o.Model || l.Version.Version != o.Version || l.state != loadPending || l.fence != o.Fence {
			continue
		}
		l.state = loadReady
		switch limit := time.Duration(o.Deadline) * time.Millisecond; {
		case err != nil:
			l.state, l.err = loadFailed, err.Error()
		case limit > 0 && now.Sub(o.At) > limit:
			l.state, l.err = loadFailed, "the order's deadline passed"
		}
	}
	e.recordLoad(now)
}

// getOrders serves GET /orders.
func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.orderStatus())
}

func (e *Engine) orderStatus() ordersBody {
	b := ordersBody{Incarnation: e.incarnation, Fence: e.orders.fence, Role: e.orders.role, Loads: []loadBody{}}
	for _, l := range e.versions {
		b.Loads = append(b.Loads, loadBody{l.Model, l.Version.Version, l.state, l.fence, l.err})
	}
	return b
}
