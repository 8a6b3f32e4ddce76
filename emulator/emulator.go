// Package emulator emulates the systems around the router: model engines, a
// plain HTTP service, the rating service, the weight store and the platform's
// host list. These stand-ins implement the upstream protocol of docs/design.md
// and share no code with the router's request path, so that their counts verify
// the router's independently.
//
// # Usage
//
//	engine := emulator.NewEngine(emulator.EngineConfig{
//		Name:     "engine-1",
//		Seed:     1,
//		Versions: []emulator.Version{{Model: "engraver", Version: "v1", Quality: 0.8}},
//	})
//	defer engine.Close()
//	go emulator.Serve(ctx, listener, engine, nil)
//
//	err := engine.SetFault(emulator.Fault{Kind: emulator.FaultBad, Model: "engraver", Version: "v1", Quality: 0.2})
//	runs := engine.Ran()
//
// Every stand-in has a Handler method, for use without a listener, and accepts
// faults over HTTP too: POST /faults with a Fault as JSON. GET /ran?after=N
// returns the requests that an engine or a service ran.
//
// An engine or a service can crash: it closes all connections and answers nothing
// until its restart time has passed. With a ColdConfig it is cold after each start,
// and more requests within a second than it then tolerates make it crash.
//
// # Time model
//
// An engine works in steps (continuous batching). In one step every running
// request whose prompt is processed generates one token, and the rest of the
// token budget processes prompts in order of admission. A step takes
//
//	Timing.Step (if a token is generated)
//	+ Timing.PerSequence for each request that generates a token
//	+ prompt tokens processed / Timing.Prefill
//
// A request generates its first token in the step that completes its prompt.
// Tokens of cached prefix blocks need no processing. Requests are admitted by
// priority, then by arrival, while a slot and memory for prompt and answer are
// free. Package comparer runs the same model in virtual time.
//
// # Answers
//
// The text of an answer is derived from the prompt and the version. Its last
// word is a seal with the digest of the prompt, the number of words, a checksum
// and a grade; VerifyAnswer verifies it. The grade is derived from the seed,
// the prompt and the version, so that a repeated request gets the same grade on
// every replica with that seed.
package emulator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"foxtailwall/timekeeper"
)

const (
	// HeaderRequest carries the attempt ID.
	HeaderRequest = "Foxtailwall-Request"
	// HeaderDeadline carries the time left, in milliseconds.
	HeaderDeadline = "Foxtailwall-Deadline"
	// HeaderPriority carries the priority, 0 to 9; 9 is the highest.
	HeaderPriority = "Foxtailwall-Priority"
	// HeaderNotRun marks a response to a request that was not run.
	HeaderNotRun = "Foxtailwall-Not-Run"
	// HeaderResume identifies a cut stream and the number of tokens received,
	// as "ID:N".
	HeaderResume = "Foxtailwall-Resume"
	// HeaderVersion names the version when the body names only the model.
	HeaderVersion = "Foxtailwall-Version"

	// faultsPath and ranPath are the paths of faults and of audits.
	faultsPath = "/faults"
	ranPath    = "/ran"
	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 5 * time.Second
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 16 << 20
)

type (
	// Handler is implemented by every stand-in that Serve can run.
	Handler interface {
		Handler() http.Handler
	}

	// silencer is a stand-in that supports FaultSilent.
	silencer interface {
		addListener(*silentListener)
	}

	// errorBody is the JSON body of an error response.
	errorBody struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	}
)

// Serve serves h on l until ctx ends, then closes all connections. It uses TLS
// if conf is not nil. It returns the error of the listener, or nil after ctx
// has ended.
func Serve(ctx context.Context, l net.Listener, h Handler, conf *tls.Config) error {
	silent := &silentListener{Listener: l}
	if s, ok := h.(silencer); ok {
		s.addListener(silent)
	}
	srv := &http.Server{Handler: h.Handler(), ReadHeaderTimeout: headerTimeout, TLSConfig: conf}
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	wg.Go(func() {
		<-ctx.Done()
		srv.Close()
		silent.closeAll()
	})
	var err error
	if conf != nil {
		err = srv.ServeTLS(silent, "", "")
	} else {
		err = srv.Serve(silent)
	}
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve on %s", l.Addr())
}

// nextIncarnation returns the incarnation of a process that starts now: the
// Unix time in microseconds, but at least last+1.
func nextIncarnation(last uint64, now time.Time) uint64 {
	return max(last+1, uint64(max(now.UnixMicro(), 1)))
}

// clockOrSystem returns c, or the system clock if c is nil.
func clockOrSystem(c timekeeper.Clock) timekeeper.Clock {
	if c == nil {
		return timekeeper.System{}
	}
	return c
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, notRun bool, kind, message string) {
	if notRun {
		w.Header().Set(HeaderNotRun, "true")
	}
	writeJSON(w, status, errorBody{Error: errorDetail{Message: message, Type: kind}})
}

// readJSON decodes the body into v. On failure it responds with status 400 and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, true, "badRequest", "invalid JSON body: "+err.Error())
		return false
	}
	return true
}

// afterParam returns the query parameter "after", or 0.
func afterParam(r *http.Request) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	return n
}
