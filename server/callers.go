package server

import (
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailwall/declarer"
	"foxtailwall/encoder"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

// Header fields between callers and the router.
const (
	requestHeader  = "Foxtailwall-Request"
	deadlineHeader = "Foxtailwall-Deadline"
	priorityHeader = "Foxtailwall-Priority"
	kindHeader     = "Foxtailwall-Kind"
	sessionHeader  = "Foxtailwall-Session"
	tokenHeader    = "Foxtailwall-Session-Token"
	repinHeader    = "Foxtailwall-Repin"
	pinHeader      = "Foxtailwall-Pin"
	movedHeader    = "Foxtailwall-Moved"
	storedHeader   = "Foxtailwall-Stored"
	keyHeader      = "Idempotency-Key"
)

const (
	// maxSession bounds a caller's session ID, in bytes.
	maxSession = 256
	// maxTokens bounds the session tokens of a request, one for each model.
	maxTokens = 8
)

type (
	// modelList and modelEntry are the answer of GET /v1/models.
	modelList struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}
	modelEntry struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
)

// CallerHandler returns the handler of the callers' port.
func (s *Server) CallerHandler() http.Handler {
	m := newMux()
	m.POST("/v1/chat/completions", s.caller(s.chat))
	m.GET("/v1/models", s.caller(s.models))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		m.Handle(method, "/services/:name/*path", s.caller(s.service))
	}
	return s.guard(m)
}

// newMux returns a mux that answers unknown paths in JSON and redirects
// nothing: a redirected call would lose its body.
func newMux() *httprouter.Router {
	m := httprouter.New()
	m.RedirectTrailingSlash, m.RedirectFixedPath, m.HandleOPTIONS = false, false, false
	m.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, refuser.New(refuser.BadRequest, refuser.NotRun, "there is no path %s", r.URL.Path), http.StatusNotFound)
	})
	m.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, refuser.New(refuser.BadRequest, refuser.NotRun, "path %s has no method %s", r.URL.Path, r.Method),
			http.StatusMethodNotAllowed)
	})
	return m
}

// exchange is one request of a caller.
type exchange struct {
	s      *Server
	w      http.ResponseWriter
	r      *http.Request
	rc     *http.ResponseController
	params httprouter.Params
	req    router.Request
	// extended is when the write deadline was last moved.
	extended time.Time
}

// caller wraps the handlers for callers: it checks the API key and the header
// fields that all requests have.
func (s *Server) caller(h func(*exchange) error) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		x := &exchange{s: s, w: w, r: r, rc: http.NewResponseController(w), params: p}
		x.req.ID = w.Header().Get(requestHeader)
		err := x.open()
		if err == nil {
			err = h(x)
		}
		if err != nil {
			x.fail(err)
		}
	}
}

func (x *exchange) open() error {
	c := x.s.o.Views.Catalog()
	if c == nil {
		return refuser.New(refuser.NotConfigured, refuser.NotRun, "this host has no configuration yet; retry or use another host")
	}
	key, ok := bearer(x.r)
	if !ok {
		return refuser.New(refuser.Unauthorized, refuser.NotRun, "send an API key as Authorization: Bearer KEY")
	}
	x.req.Holder, ok = c.Key(digest(key))
	if !ok {
		return refuser.New(refuser.Unauthorized, refuser.NotRun, "the API key is not known")
	}
	ms, err := x.number(deadlineHeader, 1, int(time.Hour/time.Millisecond), 0)
	if err != nil {
		return err
	}
	x.req.Deadline = time.Duration(ms) * time.Millisecond
	x.req.Priority, err = x.number(priorityHeader, 0, 9, 5)
	return err
}

// chat answers POST /v1/chat/completions.
func (s *Server) chat(x *exchange) error {
	body, err := x.body()
	if err != nil {
		return err
	}
	c, err := encoder.ParseChat(body)
	if err != nil {
		return refuser.New(refuser.BadRequest, refuser.NotRun, "%v", err)
	}
	q, err := x.chatRequest(c)
	if err != nil {
		return err
	}
	if c.Stream {
		return x.stream(q)
	}
	a, err := s.o.Router.Chat(x.r.Context(), q)
	if err != nil {
		return err
	}
	x.notice(a.Notice)
	x.write(a.Status, a.Type, a.Body)
	return nil
}

func (x *exchange) chatRequest(c *encoder.ChatRequest) (*router.ChatRequest, error) {
	q := &router.ChatRequest{
		Request: x.req, Model: c.Model, Kind: declarer.Kind(x.r.Header.Get(kindHeader)),
		Body:   func(ref declarer.VersionRef) []byte { return c.For(ref.String()) },
		Prompt: c.Prompt, PromptTokens: c.PromptTokens(), MaxTokens: c.MaxTokens,
		Session: x.r.Header.Get(sessionHeader), Repin: x.r.Header.Get(repinHeader) == "accept",
	}
	switch q.Kind {
	case "", declarer.KindLong, declarer.KindShort, declarer.KindChat:
	default:
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "%s must be long, short or chat", kindHeader)
	}
	if len(q.Session) > maxSession {
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "%s is longer than %d bytes", sessionHeader, maxSession)
	}
	for _, t := range strings.Split(strings.Join(x.r.Header.Values(tokenHeader), ","), ",") {
		if t = strings.TrimSpace(t); t != "" {
			q.Tokens = append(q.Tokens, t)
		}
	}
	if len(q.Tokens) > maxTokens {
		return nil, refuser.New(refuser.SessionInvalid, refuser.NotRun, "a request has at most %d session tokens", maxTokens)
	}
	return q, nil
}

// notice sets the header fields on the session.
func (x *exchange) notice(n router.Notice) {
	h := x.w.Header()
	pin := n.Ref.String()
	if n.Provisional {
		pin += "; provisional"
	}
	h.Set(pinHeader, pin)
	if len(n.Tokens) > 0 {
		h.Set(tokenHeader, strings.Join(n.Tokens, ", "))
	}
	if n.Moved != "" {
		h.Set(movedHeader, n.Moved)
	}
}

// models answers GET /v1/models.
func (s *Server) models(x *exchange) error {
	c := s.o.Views.Catalog()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, a := range x.req.Holder.Workspace.Models {
		if m := c.Model(a.Model); m != nil {
			list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model", OwnedBy: m.Owner})
		}
	}
	return x.writeJSON(list)
}

// service answers /services/NAME/PATH.
func (s *Server) service(x *exchange) error {
	name := x.params.ByName("name")
	path, ok := strings.CutPrefix(x.r.URL.EscapedPath(), "/services/"+name)
	if !ok {
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the service name must not be encoded")
	}
	body, err := x.body()
	if err != nil {
		return err
	}
	a, err := s.o.Router.Call(x.r.Context(), &router.CallRequest{
		Request: x.req, Service: name, Method: x.r.Method, Path: path, Query: x.r.URL.RawQuery,
		Header: endToEnd(x.r.Header), Body: body, Key: x.r.Header.Get(keyHeader),
	})
	if err != nil {
		return err
	}
	for k, vs := range endToEnd(a.Header) {
		x.w.Header()[k] = vs
	}
	if a.Stored {
		x.w.Header().Set(storedHeader, a.Origin)
	}
	x.write(a.Status, a.Header.Get("Content-Type"), a.Body)
	return nil
}

// stream answers a chat request by server-sent events.
func (x *exchange) stream(q *router.ChatRequest) error {
	sink := &eventSink{x: x}
	err := x.s.o.Router.Stream(x.r.Context(), q, sink)
	if err == nil || !sink.begun {
		return err
	}
	sink.fail(err)
	// The connection ends without the end of its chunks, so that a client
	// that does not look for the end marker notices too.
	panic(http.ErrAbortHandler)
}
