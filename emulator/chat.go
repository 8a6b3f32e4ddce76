package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailwall/timekeeper"
)

const (
	maxPriority = 9
	// strayDelay separates an answer from the stray one after it, so that the
	// client has read the first answer completely.
	strayDelay = 2 * time.Millisecond
)

type (
	chatRequest struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
	}

	// completion is a complete answer or one chunk of a stream.
	completion struct {
		ID        string   `json:"id"`
		RequestID string   `json:"requestId"`
		Object    string   `json:"object"`
		Model     string   `json:"model"`
		Choices   []choice `json:"choices"`
		Usage     *usage   `json:"usage,omitempty"`

		answer answer
	}

	choice struct {
		Index        int      `json:"index"`
		Message      *message `json:"message,omitempty"`
		Delta        *delta   `json:"delta,omitempty"`
		FinishReason *string  `json:"finish_reason"`
	}

	delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}

	// refusal is the error response to a request that the engine does not run.
	refusal struct {
		status  int
		kind    string
		message string
		// omitNotRun leaves out the HeaderNotRun header.
		omitNotRun bool
	}

	// responseFaults holds the faults that apply to one response.
	responseFaults struct {
		cut   bool        // close the connection half-way
		stray *completion // sent unrequested after the response
	}
)

var finishStop = "stop"

// serveChat serves POST /v1/chat/completions.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	if !e.survivesArrival() {
		panic(http.ErrAbortHandler)
	}
	var req chatRequest
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	if !readJSON(w, r, &req) {
		return
	}
	active, rejected := e.admit(r, req)
	if rejected != nil {
		writeError(w, rejected.status, !rejected.omitNotRun, rejected.kind, rejected.message)
		return
	}
	defer e.recordEnd(active)
	if !e.startsBeforeDeadline(r, active) {
		writeError(w, http.StatusGatewayTimeout, true, "deadline", "the deadline passed before the request started")
		return
	}
	if req.Stream {
		e.streamCompletion(w, r, active)
	} else {
		e.writeCompletion(w, r, active)
	}
}

// admit queues the request, or returns the error response.
func (e *Engine) admit(r *http.Request, req chatRequest) (*activeRequest, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leavingSince.IsZero() {
		e.lateArrivals = append(e.lateArrivals, e.clock.Now())
		return nil, &refusal{http.StatusServiceUnavailable, "leaving", "the engine is draining; use another one", false}
	}
	if _, ok := e.faults.consume(FaultError); ok {
		return nil, &refusal{http.StatusInternalServerError, "internal", "injected error", true}
	}
	v, ok := e.findVersion(req.Model, r.Header.Get(HeaderVersion))
	if !ok {
		return nil, &refusal{http.StatusNotFound, "notLoaded", fmt.Sprintf("version %q is not loaded", req.Model), false}
	}
	active, err := e.newActiveRequest(r, req, v)
	if err != nil {
		return nil, err
	}
	if !e.enqueue(active) {
		return nil, &refusal{http.StatusServiceUnavailable, "queueFull", "the engine's queue is full or the request exceeds its memory", false}
	}
	return active, nil
}

func (e *Engine) newActiveRequest(r *http.Request, req chatRequest, v Version) (*activeRequest, *refusal) {
	resumeOffset, err := parseResumeOffset(r.Header.Get(HeaderResume))
	if err != nil {
		return nil, err
	}
	prompt := joinContents(req.Messages)
	out := req.MaxTokens
	setDefault(&out, defaultOutputTokens)
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	active := &activeRequest{
		job: &Job{
			Priority: min(max(priority, 0), maxPriority), Prompt: CountTokens(prompt),
			Output: max(out, 1), ResumedTokens: min(resumeOffset, max(out, 1)-1), Prefix: PrefixHashes(prompt),
		},
		ready: make(chan struct{}, 1),
	}
	digest, kind := Digest(prompt), KindOf(active.job.Prompt, req.Stream)
	q, bad := e.badQuality[v.Ref()]
	if bad {
		v.Quality, v.ByKind = q, nil
	}
	pass := v.Passes(e.conf.Seed, digest, kind)
	active.answer = answer{digest: digest, salt: xxhash.Sum64String(v.Ref().String()), n: active.job.Output, pass: pass}
	active.run = Run{
		RequestID: r.Header.Get(HeaderRequest), Digest: digest, Engine: e.conf.Name, Model: v.Model,
		Version: v.Version, Kind: kind, Input: active.job.Prompt, Resumed: active.job.ResumedTokens, Pass: pass, Bad: bad,
	}
	active.job.Progress = func(*Job, time.Time) { active.notify() }
	return active, nil
}

// findVersion finds the loaded version for a model name: "model/version",
// "model" with the version in the header, or "model" for the first one loaded.
func (e *Engine) findVersion(name, header string) (Version, bool) {
	model, version, _ := strings.Cut(name, "/")
	if version == "" {
		version = header
	}
	for _, v := range e.versions {
		if v.state == loadReady && v.Model == model && (version == "" || v.Version.Version == version) {
			return v.Version, true
		}
	}
	return Version{}, false
}

// startsBeforeDeadline waits for the first token. If the deadline passes while
// the request is still queued, it removes the request and returns false.
func (e *Engine) startsBeforeDeadline(r *http.Request, active *activeRequest) bool {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return true
	}
	t := e.clock.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	select {
	case <-active.ready:
		active.notify()
		return true
	case <-r.Context().Done():
		return true
	case <-t.C():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if active.job.Started.IsZero() {
		e.batch.Remove(active.job)
		return false
	}
	return true
}

// waitForTokens blocks until more than n tokens are generated and returns their
// number. It returns false if the client disconnected or the engine restarted.
func (e *Engine) waitForTokens(ctx context.Context, active *activeRequest, n int) (int, bool) {
	for {
		e.mu.Lock()
		produced, aborted := active.job.Produced, active.aborted
		e.mu.Unlock()
		if aborted {
			return produced, false
		}
		if produced > n {
			return produced, true
		}
		select {
		case <-active.ready:
		case <-ctx.Done():
			return produced, false
		case <-e.ctx.Done():
			return produced, false
		}
	}
}

// writeCompletion sends the complete answer as one JSON body.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, active *activeRequest) {
	n := active.job.ResumedTokens
	for n < active.job.Output {
		var ok bool
		if n, ok = e.waitForTokens(r.Context(), active, n); !ok {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
	}
	c := active.completion("chat.completion")
	c.Choices = []choice{{Message: &message{Role: "assistant", Content: active.answer.text(active.answer.n)}, FinishReason: &finishStop}}
	c.Usage = active.usage()
	sent, faults := e.applyFaults(r.Context(), c)
	b, err := json.Marshal(sent)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequest, sent.RequestID)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if faults.cut {
		_, _ = w.Write(b[:len(b)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b)
	if faults.stray != nil {
		e.sendStray(w, faults.stray)
	}
}

// streamCompletion sends the answer as server-sent events.
func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, active *activeRequest) {
	n, ok := e.waitForTokens(r.Context(), active, active.job.ResumedTokens)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	own := active.completion("chat.completion.chunk")
	head, faults := e.applyFaults(r.Context(), own)
	w.Header().Set(HeaderRequest, head.RequestID)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	rc := http.NewResponseController(w)
	for sent := active.job.ResumedTokens; ; {
		for ; sent < n; sent++ {
			if faults.cut && sent >= active.job.Output/2 {
				_ = rc.Flush()
				panic(http.ErrAbortHandler)
			}
			c := head
			c.Choices = []choice{{Delta: &delta{Content: head.answer.word(sent)}}}
			writeEvent(w, c)
		}
		if sent == active.job.Output {
			break
		}
		_ = rc.Flush()
		if n, ok = e.waitForTokens(r.Context(), active, sent); !ok {
			panic(http.ErrAbortHandler)
		}
	}
	c := head
	c.Choices = []choice{{Delta: &delta{}, FinishReason: &finishStop}}
	c.Usage = active.usage()
	writeEvent(w, c)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// applyFaults waits for FaultLate and returns the answer to send, which is the
// previous one under FaultCross, with the faults that apply to the response.
func (e *Engine) applyFaults(ctx context.Context, c completion) (completion, responseFaults) {
	e.mu.Lock()
	delay, late := e.faults.consume(FaultLate)
	_, cut := e.faults.consume(FaultCut)
	prev, p := e.previous, responseFaults{cut: cut}
	own := c
	e.previous = &own
	if prev != nil && prev.Object == c.Object {
		if _, ok := e.faults.consume(FaultCross); ok {
			c = *prev
		} else if _, ok := e.faults.consume(FaultStray); ok && len(prev.Choices) > 0 {
			p.stray = prev
		}
	}
	e.mu.Unlock()
	if late {
		// If the client disconnects, the wait ends and the write fails.
		_ = timekeeper.Sleep(ctx, e.clock, delay)
	}
	return c, p
}

// sendStray writes an unrequested second response on the connection.
func (e *Engine) sendStray(w http.ResponseWriter, c *completion) {
	b, err := json.Marshal(c)
	if err != nil {
		return
	}
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // HTTP/2 connections cannot be hijacked
	}
	defer conn.Close()
	_ = timekeeper.Sleep(e.ctx, e.clock, strayDelay)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderRequest, c.RequestID, len(b), b)
}

func (w *activeRequest) completion(object string) completion {
	return completion{
		ID: "chatcmpl-" + w.answer.digest, RequestID: w.run.RequestID, Object: object,
		Model: w.run.Model + "/" + w.run.Version, answer: w.answer,
	}
}

func (w *activeRequest) usage() *usage {
	return &usage{w.run.Input, w.answer.n, w.run.Input + w.answer.n}
}

// parseResumeOffset returns the number of tokens that the client received
// before its stream was cut, from a header of the form "ID:N".
func parseResumeOffset(header string) (int, *refusal) {
	if header == "" {
		return 0, nil
	}
	i := strings.LastIndexByte(header, ':')
	n, err := strconv.Atoi(header[i+1:])
	if i < 0 || err != nil || n < 0 {
		return 0, &refusal{http.StatusBadRequest, "badRequest", HeaderResume + " does not have the form ID:N", false}
	}
	return n, nil
}

func writeEvent(w http.ResponseWriter, c completion) {
	b, err := json.Marshal(c)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", b)
}
