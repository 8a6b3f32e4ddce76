package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"foxtailwall/emulator"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

const (
	headerSession = "Foxtailwall-Session"
	headerToken   = "Foxtailwall-Session-Token"
	headerRepin   = "Foxtailwall-Repin"
	headerMoved   = "Foxtailwall-Moved"
	headerStored  = "Foxtailwall-Stored"
	headerKind    = "Foxtailwall-Kind"

	// maxAttempts limits how often a caller sends one request.
	maxAttempts = 4
	// resendDelay is the wait before a caller resends a booking.
	resendDelay = 300 * time.Millisecond
	// maxEventBytes limits one event of a stream or the body of a refusal.
	maxEventBytes = 1 << 20
)

type (
	// sender sends one request and its retries.
	sender struct {
		loader  *Loader
		request Request
		// idempotencyKey is empty except for bookings.
		idempotencyKey string
		sessionName    string
		sessionToken   string
		result         Result
		intendedStart  time.Time
	}

	chatBody struct {
		Model     string        `json:"model"`
		Messages  []chatMessage `json:"messages"`
		MaxTokens int           `json:"max_tokens"`
		Stream    bool          `json:"stream,omitempty"`
	}

	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// refusalBody is a refusal at the top level or under the key "error".
	refusalBody struct {
		Code    refuser.Code    `json:"code"`
		Outcome refuser.Outcome `json:"outcome"`
		Error   *refusalBody    `json:"error"`
	}

	// event is one server-sent event of a streamed answer.
	event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *refusalBody `json:"error"`
	}

	bookingAnswer struct {
		Booking string `json:"booking"`
	}
)

// sendWithRetries sends the request until it is answered, the refusal is final
// or maxAttempts is reached. Each attempt starts at the next entry.
func (s *sender) sendWithRetries(ctx context.Context) Result {
	s.result = Result{Request: s.request, Key: s.idempotencyKey, SessionKey: s.sessionName}
	accept := false
	for i := range maxAttempts {
		a := s.sendOnce(ctx, (s.request.Entry+i)%len(s.loader.conf.Entries), accept)
		s.result.Attempts = append(s.result.Attempts, a)
		if s.result.Answered || ctx.Err() != nil {
			break
		}
		switch {
		case a.Code == refuser.VersionWithdrawn && !accept:
			accept = true // accept the version offered instead
		case s.idempotencyKey != "" && shouldResend(a):
			if timekeeper.Sleep(ctx, s.loader.clock, resendDelay) != nil {
				return s.result
			}
		default:
			return s.result
		}
	}
	return s.result
}

// shouldResend reports whether a booking is sent again with the same key: its
// outcome is unknown, or it did not run for a temporary reason.
func shouldResend(a Attempt) bool {
	switch a.Code {
	case CodeTransport, refuser.OutcomeUnknown, refuser.NoQuorum, refuser.NoUpstream, refuser.ShuttingDown,
		refuser.DeadlineExceeded, refuser.UpstreamFailed:
		return true
	default:
		return a.Outcome == refuser.NotRun && a.Status == http.StatusServiceUnavailable
	}
}

// sendOnce makes one attempt, limited by Config.Timeout.
func (s *sender) sendOnce(ctx context.Context, entry int, accept bool) Attempt {
	a := Attempt{Entry: entry, Sent: s.loader.clock.Now(), Accepted: accept}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := s.loader.clock.NewTimer(s.loader.conf.Timeout)
	defer t.Stop()
	s.loader.timers.Go(func() {
		select {
		case <-t.C():
			cancel()
		case <-ctx.Done():
		}
	})
	resp, err := s.sendToReadyEntry(ctx, &a, accept)
	if err == nil {
		err = s.readResponse(resp, &a)
		resp.Body.Close()
	}
	a.Ended = s.loader.clock.Now()
	if err != nil {
		a.Code, a.Outcome, a.Interrupted = CodeTransport, refuser.Unknown, true
		a.GaveUp = a.Ended.Sub(a.Sent) >= s.loader.conf.Timeout
	}
	return a
}

// sendToReadyEntry sends the request to the first entry that is ready and
// accepts a connection, starting at a.Entry. The last entry is tried even if it
// is not ready. It sets a.Entry to the entry used.
func (s *sender) sendToReadyEntry(ctx context.Context, a *Attempt, accept bool) (resp *http.Response, err error) {
	n := len(s.loader.conf.Entries)
	for i := range n {
		entry := (a.Entry + i) % n
		if ready := s.loader.conf.Ready; ready != nil && !ready(s.loader.conf.Entries[entry]) && i < n-1 {
			continue
		}
		var req *http.Request
		if req, err = s.newRequest(ctx, entry, accept); err != nil {
			return nil, err
		}
		resp, err = s.loader.client.Do(req)
		var op *net.OpError
		if err == nil || !errors.As(err, &op) || op.Op != "dial" {
			a.Entry = entry
			return resp, err
		}
	}
	return nil, err
}

// newRequest builds the HTTP request for an entry. accept asks for the version
// offered in place of a withdrawn one.
func (s *sender) newRequest(ctx context.Context, entry int, accept bool) (*http.Request, error) {
	method, path := http.MethodPost, "/v1/chat/completions"
	body := []byte(s.request.Prompt)
	if s.result.isModelRequest() {
		var err error
		body, err = json.Marshal(chatBody{
			Model: s.loader.conf.Model, MaxTokens: s.request.MaxTokens, Stream: s.request.Class.Stream,
			Messages: []chatMessage{{Role: "user", Content: s.request.Prompt}},
		})
		if err != nil {
			return nil, errors.Wrap(err, "encode the request")
		}
	} else {
		method, path = s.request.Class.Method, "/services/"+s.request.Workspace.Service+s.request.Class.Path
		if method == http.MethodGet {
			body = nil
		}
	}
	url := scheme(s.loader.conf.TLS) + s.loader.conf.Entries[entry].String() + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	// With GetBody set, net/http would resend requests with an idempotency key
	// by itself. Each outcome must be recorded as an attempt.
	req.GetBody = nil
	s.setHeaders(req.Header, accept)
	return req, nil
}

func (s *sender) setHeaders(h http.Header, accept bool) {
	h.Set("Authorization", "Bearer "+s.request.Member.Key)
	h.Set("Content-Type", "application/json")
	if s.idempotencyKey != "" {
		h.Set(emulator.HeaderKey, s.idempotencyKey)
	}
	if k := s.request.Class.Kind; k != "" {
		h.Set(headerKind, string(k))
	}
	if d := s.request.Class.Deadline; d > 0 {
		h.Set(emulator.HeaderDeadline, strconv.FormatInt(d.Milliseconds(), 10))
	}
	if s.request.Session != "" && !s.request.ByToken {
		h.Set(headerSession, s.sessionName)
	}
	if s.sessionToken != "" {
		h.Set(headerToken, s.sessionToken)
	}
	if accept {
		h.Set(headerRepin, "accept")
	}
}

// readResponse reads the response into the result and the attempt. An error
// means that the response is truncated or malformed.
func (s *sender) readResponse(resp *http.Response, a *Attempt) error {
	a.Status = resp.StatusCode
	a.RequestID = resp.Header.Get(emulator.HeaderRequest)
	a.Moved = resp.Header.Get(headerMoved)
	a.StoredID = resp.Header.Get(headerStored)
	if resp.StatusCode >= http.StatusMultipleChoices {
		b, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
		a.setRefusal(b)
		return err
	}
	var err error
	if s.request.Class.Stream {
		err = s.readStream(resp.Body, a)
	} else {
		err = s.readWhole(resp.Body)
	}
	if err != nil || a.Code != "" {
		return err
	}
	if t := resp.Header.Get(headerToken); t != "" && s.request.ByToken {
		s.loader.storeToken(s, t)
	}
	return nil
}

// readWhole reads an answer that is not streamed and checks it.
func (s *sender) readWhole(r io.Reader) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return errors.Wrap(err, "read the response")
	}
	s.result.Total = s.loader.clock.Since(s.intendedStart)
	s.result.FirstToken = s.result.Total
	s.result.Answered = true
	if s.result.isModelRequest() {
		s.result.Judgement = emulator.VerifyAnswer(s.request.Prompt, string(b))
		return nil
	}
	var v bookingAnswer
	// Reads of a plain service are sent without a body.
	want := emulator.Digest("")
	if s.request.Class.Method != http.MethodGet {
		want = s.request.Digest
	}
	s.result.Foreign = !tryDecode(b, &v) || v.Booking != want
	return nil
}

// readStream reads a streamed answer and records the token times. A stream
// without its end marker returns io.ErrUnexpectedEOF.
func (s *sender) readStream(r io.Reader, a *Attempt) error {
	var text strings.Builder
	var last time.Time
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			s.result.Total = s.loader.clock.Since(s.intendedStart)
			s.result.Answered = true
			s.result.Judgement = emulator.VerifyAnswer(s.request.Prompt, text.String())
			return nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return errors.Wrap(err, "decode a stream event")
		}
		if e.Error != nil {
			a.setRefusal([]byte(data))
			return nil
		}
		if len(e.Choices) == 0 || e.Choices[0].Delta.Content == "" {
			continue
		}
		now := s.loader.clock.Now()
		if text.Len() == 0 {
			s.result.FirstToken = now.Sub(s.intendedStart)
		} else {
			s.result.Gaps = append(s.result.Gaps, now.Sub(last))
		}
		last = now
		text.WriteString(e.Choices[0].Delta.Content)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// setRefusal sets code and outcome from the body of a refusal. If they are
// missing, the code is derived from the HTTP status and the outcome is unknown.
func (a *Attempt) setRefusal(body []byte) {
	var b refusalBody
	if json.Unmarshal(body, &b) != nil {
		b = refusalBody{} // the code is derived from the status below
	}
	if b.Error != nil {
		b = *b.Error
	}
	a.Code, a.Outcome = b.Code, b.Outcome
	if a.Code == "" {
		a.Code = refuser.Code(fmt.Sprintf("status%d", a.Status))
	}
	if a.Outcome == "" {
		a.Outcome = refuser.Unknown
	}
}

// newUUIDv7 returns a UUIDv7 with the time t and the random bits a and b.
func newUUIDv7(t time.Time, a, b uint64) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(t.UnixMilli())<<16|a&0x0fff|0x7000)
	binary.BigEndian.PutUint64(u[8:], b&^(3<<62)|1<<63)
	return u.String()
}

// tryDecode decodes JSON into v and reports whether it succeeded.
func tryDecode(b []byte, v any) bool { return json.Unmarshal(b, v) == nil }
