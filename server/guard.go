package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"runtime/debug"
	"strings"

	"github.com/google/uuid"

	"foxtailwall/refuser"
)

// guard wraps the callers' port: it gives each request its ID, bounds the
// requests under way and turns a panic into a typed answer.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(requestHeader, newID())
		if s.leaving.Load() {
			// The caller's next request goes to another host.
			w.Header().Set("Connection", "close")
		}
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		default:
			s.o.Scope.Counter("server.overload").Inc(1)
			refuse(w, refuser.New(refuser.QueueFull, refuser.NotRun,
				"this host serves %d requests, its limit; retry or use another host", s.o.MaxConcurrent), 0)
			return
		}
		defer s.recovered(w)
		next.ServeHTTP(w, r)
	})
}

// recovered answers a request whose handler has panicked. It passes on
// http.ErrAbortHandler, which ends a connection on purpose.
func (s *Server) recovered(w http.ResponseWriter) {
	v := recover()
	if v == nil {
		return
	}
	if v == any(http.ErrAbortHandler) {
		panic(v)
	}
	s.o.Scope.Counter("server.panics").Inc(1)
	s.o.Log.Error().Bytes("stack", debug.Stack()).Msg("handler panicked")
	refuse(w, refuser.New(refuser.Internal, refuser.Unknown, "internal error; the outcome of the request is not known"), 0)
}

// newID returns a request ID.
func newID() string {
	u, err := uuid.NewV7()
	if err != nil {
		u = uuid.New() // Panics if the system has no randomness at all.
	}
	return u.String()
}

// bearer returns the key of the Authorization field.
func bearer(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}

// digest returns the form in which API keys are stored.
func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// isOperator reports whether the request carries the operator key.
func (s *Server) isOperator(r *http.Request) bool {
	key, ok := bearer(r)
	if !ok || s.operator == nil {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(sum[:], s.operator) == 1
}
