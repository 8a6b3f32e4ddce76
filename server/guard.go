package server

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"runtime/debug"
	"strings"

	"github.com/google/uuid"

	"foxtailwall/refuser"
)

// slot is the place of a request among the running ones.
type slot struct {
	s    *Server
	held bool
}

// slotKey is the key of the slot in the context of a request.
type slotKey struct{}

// limitRequests returns middleware for the callers' port: it assigns the
// request ID, limits the running requests and turns a panic into a refusal. A request
// with a body runs once that was received, so that callers that do not end their bodies
// take no places.
func (s *Server) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(requestIDHeader, newRequestID())
		if s.draining.Load() {
			// The caller reconnects and is routed to another host.
			w.Header().Set("Connection", "close")
		}
		own := &slot{s: s}
		if r.ContentLength == 0 {
			if err := own.take(); err != nil {
				writeRefusal(w, err, 0)
				return
			}
		}
		defer own.free()
		defer s.refuseAfterPanic(w)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), slotKey{}, own)))
	})
}

// take takes a place; it returns a refusal if all are taken.
func (l *slot) take() *refuser.Refusal {
	select {
	case l.s.slots <- struct{}{}:
		l.held = true
		return nil
	default:
		l.s.opts.Scope.Counter("server.overload").Inc(1)
		return refuser.New(refuser.QueueFull, refuser.NotRun,
			"this host serves its maximum of %d concurrent requests; retry or use another host", l.s.opts.MaxConcurrent)
	}
}

func (l *slot) free() {
	if l.held {
		<-l.s.slots
	}
}

// refuseAfterPanic refuses a request whose handler has panicked. It repeats the
// panic of http.ErrAbortHandler, which aborts a connection on purpose.
func (s *Server) refuseAfterPanic(w http.ResponseWriter) {
	v := recover()
	if v == nil {
		return
	}
	if v == any(http.ErrAbortHandler) {
		panic(v)
	}
	s.opts.Scope.Counter("server.panics").Inc(1)
	s.opts.Log.Error().Bytes("stack", debug.Stack()).Msg("handler panicked")
	writeRefusal(w, refuser.New(refuser.Internal, refuser.Unknown, "internal error; the outcome of the request is not known"), 0)
}

// newRequestID returns a request ID, a UUID of version 7 if possible.
func newRequestID() string {
	u, err := uuid.NewV7()
	if err != nil {
		u = uuid.New() // Panics if the system's random source fails.
	}
	return u.String()
}

// bearerKey returns the key in the Authorization field and whether there is
// one.
func bearerKey(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}

// keyDigest returns the SHA-256 digest of an API key in hexadecimal, the form
// in which the configuration holds keys.
func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// isOperator reports whether the request carries the operator key.
func (s *Server) isOperator(r *http.Request) bool {
	key, ok := bearerKey(r)
	if !ok || s.operatorDigest == nil {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(sum[:], s.operatorDigest) == 1
}
