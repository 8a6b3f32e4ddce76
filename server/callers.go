package server

import (
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailwall/allotter"
	"foxtailwall/declarer"
	"foxtailwall/encoder"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

// Header fields between callers and the router.
const (
	requestIDHeader      = "Foxtailwall-Request"
	deadlineHeader       = "Foxtailwall-Deadline"
	priorityHeader       = "Foxtailwall-Priority"
	kindHeader           = "Foxtailwall-Kind"
	sessionHeader        = "Foxtailwall-Session"
	sessionTokenHeader   = "Foxtailwall-Session-Token"
	repinHeader          = "Foxtailwall-Repin"
	pinHeader            = "Foxtailwall-Pin"
	movedHeader          = "Foxtailwall-Moved"
	storedHeader         = "Foxtailwall-Stored"
	idempotencyKeyHeader = "Idempotency-Key"
)

const (
	// maxSessionIDBytes is the maximum length of a caller's session ID, in
	// bytes.
	maxSessionIDBytes = 256
	// maxSessionTokens is the maximum number of session tokens in a request,
	// which carries one for each model.
	maxSessionTokens = 8
)

type (
	// modelList is the response body of GET /v1/models.
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

// CallerHandler returns the HTTP handler of the callers' port.
func (s *Server) CallerHandler() http.Handler {
	m := newMux()
	m.POST("/v1/chat/completions", s.handleExchange(s.chat))
	m.GET("/v1/models", s.handleExchange(s.models))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		m.Handle(method, "/services/:name/*path", s.handleExchange(s.service))
	}
	return s.limitRequests(m)
}

// newMux returns a router that refuses unknown paths and methods in JSON. It
// does not redirect, since clients may drop the body when they follow a
// redirect.
func newMux() *httprouter.Router {
	m := httprouter.New()
	m.RedirectTrailingSlash, m.RedirectFixedPath, m.HandleOPTIONS = false, false, false
	m.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, refuser.New(refuser.BadRequest, refuser.NotRun, "path %s does not exist", r.URL.Path), http.StatusNotFound)
	})
	m.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, refuser.New(refuser.BadRequest, refuser.NotRun, "path %s does not support method %s", r.URL.Path, r.Method),
			http.StatusMethodNotAllowed)
	})
	return m
}

// exchange is one request of a caller and its response.
type exchange struct {
	s      *Server
	w      http.ResponseWriter
	r      *http.Request
	rc     *http.ResponseController
	params httprouter.Params
	req    router.Request
	// deadlineMovedAt is the time at which the write deadline was last moved.
	deadlineMovedAt time.Time
	// upload is the memory of the body, nil if there is none, and answers is that of
	// the answers.
	upload  *allotter.Upload
	answers allotter.Shares
}

// handleExchange returns an HTTP handler that checks the API key and the header
// fields common to all requests, calls h and sends its error, if any.
func (s *Server) handleExchange(h func(*exchange) error) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		x := &exchange{s: s, w: w, r: r, rc: http.NewResponseController(w), params: p}
		defer x.release()
		x.req.ID, x.req.Memory = w.Header().Get(requestIDHeader), &x.answers
		err := x.parseHeader()
		if err == nil {
			err = h(x)
		}
		if err != nil {
			x.writeError(err)
		}
	}
}

// parseHeader authenticates the caller and reads the deadline and priority
// fields.
func (x *exchange) parseHeader() error {
	c := x.s.opts.Views.Catalog()
	if c == nil {
		return refuser.New(refuser.NotConfigured, refuser.NotRun, "this host has no configuration yet; retry or use another host")
	}
	key, ok := bearerKey(x.r)
	if !ok {
		return refuser.New(refuser.Unauthorized, refuser.NotRun, "send an API key as Authorization: Bearer KEY")
	}
	x.req.Holder, ok = c.FindKeyHolder(keyDigest(key))
	if !ok {
		return refuser.New(refuser.Unauthorized, refuser.NotRun, "the API key is unknown")
	}
	ms, err := x.intHeader(deadlineHeader, 1, int(time.Hour/time.Millisecond), 0)
	if err != nil {
		return err
	}
	x.req.Deadline = time.Duration(ms) * time.Millisecond
	x.req.Priority, err = x.intHeader(priorityHeader, 0, 9, 5)
	return err
}

// chat answers POST /v1/chat/completions.
func (s *Server) chat(x *exchange) error {
	body, err := x.readBody()
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
	a, err := s.opts.Router.Chat(x.r.Context(), q)
	if err != nil {
		return err
	}
	x.setSessionHeader(a.SessionInfo)
	x.writeResponse(a.Status, a.ContentType, a.Body)
	return nil
}

// chatRequest combines the parsed body with the header fields of a chat
// request.
func (x *exchange) chatRequest(c *encoder.ChatRequest) (*router.ChatRequest, error) {
	q := &router.ChatRequest{
		Request: x.req, Model: c.Model, Kind: declarer.Kind(x.r.Header.Get(kindHeader)),
		Body:   func(ref declarer.VersionRef) []byte { return c.WithModel(ref.String()) },
		Prompt: c.Prompt, PromptTokens: c.EstimatePromptTokens(), MaxTokens: c.MaxTokens,
		Session: x.r.Header.Get(sessionHeader), Repin: x.r.Header.Get(repinHeader) == "accept",
	}
	switch q.Kind {
	case "", declarer.KindLong, declarer.KindShort, declarer.KindChat:
	default:
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "%s must be long, short or chat", kindHeader)
	}
	if len(q.Session) > maxSessionIDBytes {
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "%s is longer than %d bytes", sessionHeader, maxSessionIDBytes)
	}
	for _, t := range strings.Split(strings.Join(x.r.Header.Values(sessionTokenHeader), ","), ",") {
		if t = strings.TrimSpace(t); t != "" {
			q.Tokens = append(q.Tokens, t)
		}
	}
	if len(q.Tokens) > maxSessionTokens {
		return nil, refuser.New(refuser.SessionInvalid, refuser.NotRun, "a request has at most %d session tokens", maxSessionTokens)
	}
	return q, nil
}

// setSessionHeader sets the response header fields about the session: the model
// version it is pinned to, its tokens and, if it moved, the reason.
func (x *exchange) setSessionHeader(n router.SessionInfo) {
	h := x.w.Header()
	pin := n.Ref.String()
	if n.Provisional {
		pin += "; provisional"
	}
	h.Set(pinHeader, pin)
	if len(n.Tokens) > 0 {
		h.Set(sessionTokenHeader, strings.Join(n.Tokens, ", "))
	}
	if n.MoveReason != "" {
		h.Set(movedHeader, n.MoveReason)
	}
}

// models answers GET /v1/models with the models the workspace may use.
func (s *Server) models(x *exchange) error {
	c := s.opts.Views.Catalog()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, a := range x.req.Holder.Workspace.Models {
		if m := c.Model(a.Model); m != nil {
			list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model", OwnedBy: m.Owner})
		}
	}
	return x.writeJSON(list)
}

// service forwards /services/NAME/PATH to the service.
func (s *Server) service(x *exchange) error {
	name := x.params.ByName("name")
	path, ok := strings.CutPrefix(x.r.URL.EscapedPath(), "/services/"+name)
	if !ok {
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the service name must not be percent-encoded")
	}
	body, err := x.readBody()
	if err != nil {
		return err
	}
	a, err := s.opts.Router.Call(x.r.Context(), &router.CallRequest{
		Request: x.req, Service: name, Method: x.r.Method, Path: path, Query: x.r.URL.RawQuery,
		Header: forwardedFields(x.r.Header), Body: body, Key: x.r.Header.Get(idempotencyKeyHeader),
	})
	if err != nil {
		return err
	}
	for k, vs := range forwardedFields(a.Header) {
		x.w.Header()[k] = vs
	}
	if a.Stored {
		x.w.Header().Set(storedHeader, a.OriginalID)
	}
	x.writeResponse(a.Status, a.Header.Get("Content-Type"), a.Body)
	return nil
}

// stream answers a chat request with server-sent events.
func (x *exchange) stream(q *router.ChatRequest) error {
	sink := &eventSink{x: x}
	err := x.s.opts.Router.Stream(x.r.Context(), q, sink)
	if err == nil || !sink.started {
		return err
	}
	sink.writeError(err)
	// Aborting leaves out the final HTTP chunk, so that clients that do not
	// check for the [DONE] event also notice the truncation.
	panic(http.ErrAbortHandler)
}
