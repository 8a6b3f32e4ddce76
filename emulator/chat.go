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
	// strayPause is the time between an answer and the stray one behind it,
	// so that the client has read the first as a whole.
	strayPause = 2 * time.Millisecond
)

type (
	chatRequest struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
	}

	// completion is a whole answer or one chunk of a stream.
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

	// refused is a request that the engine does not run.
	refused struct {
		status  int
		kind    string
		message string
		// hidden leaves the mark that the request did not run away.
		hidden bool
	}

	// plan is what the faults do to one answer.
	plan struct {
		cut   bool
		stray *completion
	}
)

var finishStop = "stop"

// chat serves POST /v1/chat/completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	if !readJSON(w, r, &req) {
		return
	}
	wk, ref := e.admit(r, req)
	if ref != nil {
		writeError(w, ref.status, !ref.hidden, ref.kind, ref.message)
		return
	}
	defer e.finish(wk)
	if !e.inTime(r, wk) {
		writeError(w, http.StatusGatewayTimeout, true, "deadline", "the deadline passed before the request started")
		return
	}
	if req.Stream {
		e.stream(w, r, wk)
	} else {
		e.whole(w, r, wk)
	}
}

// admit queues the request or says why not.
func (e *Engine) admit(r *http.Request, req chatRequest) (*work, *refused) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leaving.IsZero() {
		e.late = append(e.late, e.clock.Now())
		return nil, &refused{http.StatusServiceUnavailable, "leaving", "the engine is leaving; use another one", false}
	}
	if _, ok := e.faults.take(FaultError); ok {
		return nil, &refused{http.StatusInternalServerError, "internal", "injected error", true}
	}
	v, ok := e.version(req.Model, r.Header.Get(HeaderVersion))
	if !ok {
		return nil, &refused{http.StatusNotFound, "notLoaded", fmt.Sprintf("version %q is not loaded", req.Model), false}
	}
	wk, err := e.newWork(r, req, v)
	if err != nil {
		return nil, err
	}
	if !e.add(wk) {
		return nil, &refused{http.StatusServiceUnavailable, "queueFull", "the queue of the engine is full or the request too large", false}
	}
	return wk, nil
}

func (e *Engine) newWork(r *http.Request, req chatRequest, v Version) (*work, *refused) {
	skip, err := resumeAt(r.Header.Get(HeaderResume))
	if err != nil {
		return nil, err
	}
	prompt := promptOf(req.Messages)
	out := req.MaxTokens
	set(&out, defaultOutput)
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	wk := &work{
		job: &Job{
			Priority: min(max(priority, 0), maxPriority), Prompt: CountTokens(prompt),
			Output: max(out, 1), Skip: min(skip, max(out, 1)-1), Prefix: PrefixHashes(prompt),
		},
		ready: make(chan struct{}, 1),
	}
	digest, kind := Digest(prompt), KindOf(wk.job.Prompt, req.Stream)
	q, bad := e.bad[v.Ref()]
	if bad {
		v.Quality, v.ByKind = q, nil
	}
	pass := v.Passes(e.conf.Seed, digest, kind)
	wk.answer = answer{digest: digest, salt: xxhash.Sum64String(v.Ref().String()), n: wk.job.Output, pass: pass}
	wk.run = Run{
		RequestID: r.Header.Get(HeaderRequest), Digest: digest, Engine: e.conf.Name, Model: v.Model,
		Version: v.Version, Kind: kind, Input: wk.job.Prompt, Resumed: wk.job.Skip, Pass: pass, Bad: bad,
	}
	wk.job.Progress = func(*Job, time.Time) { wk.notify() }
	return wk, nil
}

// version finds the loaded version that a request names: "model/version", or
// "model" with the header, or "model" alone for the first one loaded.
func (e *Engine) version(name, header string) (Version, bool) {
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

// inTime waits for the first token and returns false if the deadline passes
// while the request still waits for a slot.
func (e *Engine) inTime(r *http.Request, wk *work) bool {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return true
	}
	t := e.clock.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	select {
	case <-wk.ready:
		wk.notify()
		return true
	case <-r.Context().Done():
		return true
	case <-t.C():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if wk.job.Started.IsZero() {
		e.batch.Remove(wk.job)
		return false
	}
	return true
}

// wait returns the number of tokens generated once it exceeds n. It returns
// false when the client has left or the engine has restarted.
func (e *Engine) wait(ctx context.Context, wk *work, n int) (int, bool) {
	for {
		e.mu.Lock()
		produced, gone := wk.job.Produced, wk.gone
		e.mu.Unlock()
		if gone {
			return produced, false
		}
		if produced > n {
			return produced, true
		}
		select {
		case <-wk.ready:
		case <-ctx.Done():
			return produced, false
		case <-e.ctx.Done():
			return produced, false
		}
	}
}

// whole answers with one JSON body.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, wk *work) {
	n := wk.job.Skip
	for n < wk.job.Output {
		var ok bool
		if n, ok = e.wait(r.Context(), wk, n); !ok {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
	}
	c := wk.completion("chat.completion")
	c.Choices = []choice{{Message: &message{Role: "assistant", Content: wk.answer.text(wk.answer.n)}, FinishReason: &finishStop}}
	c.Usage = wk.usage()
	sent, plan := e.plan(r.Context(), c)
	b, err := json.Marshal(sent)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequest, sent.RequestID)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if plan.cut {
		_, _ = w.Write(b[:len(b)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b)
	if plan.stray != nil {
		e.sendStray(w, plan.stray)
	}
}

// stream answers with server-sent events.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, wk *work) {
	n, ok := e.wait(r.Context(), wk, wk.job.Skip)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	own := wk.completion("chat.completion.chunk")
	head, plan := e.plan(r.Context(), own)
	w.Header().Set(HeaderRequest, head.RequestID)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	rc := http.NewResponseController(w)
	for sent := wk.job.Skip; ; {
		for ; sent < n; sent++ {
			if plan.cut && sent >= wk.job.Output/2 {
				_ = rc.Flush()
				panic(http.ErrAbortHandler)
			}
			c := head
			c.Choices = []choice{{Delta: &delta{Content: head.answer.word(sent)}}}
			writeEvent(w, c)
		}
		if sent == wk.job.Output {
			break
		}
		_ = rc.Flush()
		if n, ok = e.wait(r.Context(), wk, sent); !ok {
			panic(http.ErrAbortHandler)
		}
	}
	c := head
	c.Choices = []choice{{Delta: &delta{}, FinishReason: &finishStop}}
	c.Usage = wk.usage()
	writeEvent(w, c)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// plan applies the faults to an answer: it waits if the answer is late and
// returns the answer to send, which is the previous one if they are crossed.
func (e *Engine) plan(ctx context.Context, c completion) (completion, plan) {
	e.mu.Lock()
	delay, late := e.faults.take(FaultLate)
	_, cut := e.faults.take(FaultCut)
	prev, p := e.previous, plan{cut: cut}
	own := c
	e.previous = &own
	if prev != nil && prev.Object == c.Object {
		if _, ok := e.faults.take(FaultCross); ok {
			c = *prev
		} else if _, ok := e.faults.take(FaultStray); ok && len(prev.Choices) > 0 {
			p.stray = prev
		}
	}
	e.mu.Unlock()
	if late {
		// A client that leaves ends the wait; the write then fails.
		_ = timekeeper.Sleep(ctx, e.clock, delay)
	}
	return c, p
}

// sendStray writes a second response on the connection that nobody asked for.
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
		return // HTTP/2 has no stray responses
	}
	defer conn.Close()
	_ = timekeeper.Sleep(e.ctx, e.clock, strayPause)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderRequest, c.RequestID, len(b), b)
}

func (w *work) completion(object string) completion {
	return completion{
		ID: "chatcmpl-" + w.answer.digest, RequestID: w.run.RequestID, Object: object,
		Model: w.run.Model + "/" + w.run.Version, answer: w.answer,
	}
}

func (w *work) usage() *usage {
	return &usage{w.run.Input, w.answer.n, w.run.Input + w.answer.n}
}

// resumeAt returns the number of tokens received of a cut stream.
func resumeAt(header string) (int, *refused) {
	if header == "" {
		return 0, nil
	}
	i := strings.LastIndexByte(header, ':')
	n, err := strconv.Atoi(header[i+1:])
	if i < 0 || err != nil || n < 0 {
		return 0, &refused{http.StatusBadRequest, "badRequest", HeaderResume + " is not of the form ID:N", false}
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
