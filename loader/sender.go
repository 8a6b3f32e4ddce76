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

	// maxSends bounds how often a caller sends one request.
	maxSends = 4
	// resendPause is the time before a caller sends a request again.
	resendPause = 300 * time.Millisecond
	// maxLine bounds one event of a stream, in bytes.
	maxLine = 1 << 20
)

type (
	// sender sends one request as its caller would.
	sender struct {
		l *Loader
		r Request
		// key is the idempotency key of a booking.
		key     string
		session string
		token   string
		result  Result
		start   time.Time
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

	// refusalBody is a refusal, by itself or under the key "error".
	refusalBody struct {
		Code    refuser.Code    `json:"code"`
		Outcome refuser.Outcome `json:"outcome"`
		Error   *refusalBody    `json:"error"`
	}

	// event is one chunk of a stream.
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

// run sends the request until it is answered or the caller gives up.
func (s *sender) run(ctx context.Context) Result {
	s.result = Result{Request: s.r, Key: s.key, SessionKey: s.session}
	accept := false
	for i := range maxSends {
		a := s.send(ctx, (s.r.Entry+i)%len(s.l.conf.Entries), accept)
		s.result.Attempts = append(s.result.Attempts, a)
		if s.result.Answered || ctx.Err() != nil {
			break
		}
		switch {
		case a.Code == refuser.VersionWithdrawn && !accept:
			accept = true // the caller agrees to the version it is offered
		case s.key != "" && resendable(a):
			if timekeeper.Sleep(ctx, s.l.clock, resendPause) != nil {
				return s.result
			}
		default:
			return s.result
		}
	}
	return s.result
}

// resendable reports whether the caller of a booking sends it again with the
// same key: the outcome is unknown, or it did not run for a passing reason.
func resendable(a Attempt) bool {
	switch a.Code {
	case CodeTransport, refuser.OutcomeUnknown, refuser.NoQuorum, refuser.NoUpstream, refuser.ShuttingDown,
		refuser.DeadlineExceeded, refuser.UpstreamFailed:
		return true
	default:
		return a.Outcome == refuser.NotRun && a.Status == http.StatusServiceUnavailable
	}
}

// send sends the request once.
func (s *sender) send(ctx context.Context, entry int, accept bool) Attempt {
	a := Attempt{Entry: entry, Sent: s.l.clock.Now(), Accepted: accept}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := s.l.clock.NewTimer(s.l.conf.Timeout)
	defer t.Stop()
	s.l.timers.Go(func() {
		select {
		case <-t.C():
			cancel()
		case <-ctx.Done():
		}
	})
	resp, err := s.open(ctx, &a, accept)
	if err == nil {
		err = s.read(resp, &a)
		resp.Body.Close()
	}
	a.Ended = s.l.clock.Now()
	if err != nil {
		a.Code, a.Outcome, a.Interrupted = CodeTransport, refuser.Unknown, true
		a.GaveUp = a.Ended.Sub(a.Sent) >= s.l.conf.Timeout
	}
	return a
}

// open sends the request to the first entry, from that of the attempt on, that
// is ready and accepts a connection.
func (s *sender) open(ctx context.Context, a *Attempt, accept bool) (resp *http.Response, err error) {
	n := len(s.l.conf.Entries)
	for i := range n {
		entry := (a.Entry + i) % n
		if ready := s.l.conf.Ready; ready != nil && !ready(s.l.conf.Entries[entry]) && i < n-1 {
			continue
		}
		var req *http.Request
		if req, err = s.request(ctx, entry, accept); err != nil {
			return nil, err
		}
		resp, err = s.l.client.Do(req)
		var op *net.OpError
		if err == nil || !errors.As(err, &op) || op.Op != "dial" {
			a.Entry = entry
			return resp, err
		}
	}
	return nil, err
}

func (s *sender) request(ctx context.Context, entry int, accept bool) (*http.Request, error) {
	method, path := http.MethodPost, "/v1/chat/completions"
	body := []byte(s.r.Prompt)
	if s.result.model() {
		var err error
		body, err = json.Marshal(chatBody{
			Model: s.l.conf.Model, MaxTokens: s.r.MaxTokens, Stream: s.r.Class.Stream,
			Messages: []chatMessage{{Role: "user", Content: s.r.Prompt}},
		})
		if err != nil {
			return nil, errors.Wrap(err, "encode the request")
		}
	} else {
		method, path = s.r.Class.Method, "/services/"+s.r.Workspace.Service+s.r.Class.Path
		if method == http.MethodGet {
			body = nil
		}
	}
	url := scheme(s.l.conf.TLS) + s.l.conf.Entries[entry].String() + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	// Without GetBody the client does not send a request again by itself, which
	// it does for one with an idempotency key: the caller has to see each
	// outcome.
	req.GetBody = nil
	s.headers(req.Header, accept)
	return req, nil
}

func (s *sender) headers(h http.Header, accept bool) {
	h.Set("Authorization", "Bearer "+s.r.Member.Key)
	h.Set("Content-Type", "application/json")
	if s.key != "" {
		h.Set(emulator.HeaderKey, s.key)
	}
	if k := s.r.Class.Kind; k != "" {
		h.Set(headerKind, string(k))
	}
	if d := s.r.Class.Deadline; d > 0 {
		h.Set(emulator.HeaderDeadline, strconv.FormatInt(d.Milliseconds(), 10))
	}
	if s.r.Session != "" && !s.r.ByToken {
		h.Set(headerSession, s.session)
	}
	if s.token != "" {
		h.Set(headerToken, s.token)
	}
	if accept {
		h.Set(headerRepin, "accept")
	}
}

// read reads the response; an error means that it broke off.
func (s *sender) read(resp *http.Response, a *Attempt) error {
	a.Status = resp.StatusCode
	a.RequestID = resp.Header.Get(emulator.HeaderRequest)
	a.Moved = resp.Header.Get(headerMoved)
	a.StoredID = resp.Header.Get(headerStored)
	if resp.StatusCode >= http.StatusMultipleChoices {
		b, err := io.ReadAll(io.LimitReader(resp.Body, maxLine))
		a.refuse(b)
		return err
	}
	var err error
	if s.r.Class.Stream {
		err = s.readStream(resp.Body, a)
	} else {
		err = s.readWhole(resp.Body)
	}
	if err != nil || a.Code != "" {
		return err
	}
	if t := resp.Header.Get(headerToken); t != "" && s.r.ByToken {
		s.l.keepToken(s, t)
	}
	return nil
}

func (s *sender) readWhole(r io.Reader) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return errors.Wrap(err, "read the response")
	}
	s.result.Total = s.l.clock.Since(s.start)
	s.result.FirstToken = s.result.Total
	s.result.Answered = true
	if s.result.model() {
		s.result.Judgement = emulator.VerifyAnswer(s.r.Prompt, string(b))
		return nil
	}
	var v bookingAnswer
	// Reads of a plain service are sent without a body.
	want := emulator.Digest("")
	if s.r.Class.Method != http.MethodGet {
		want = s.r.Digest
	}
	s.result.Foreign = !decodes(b, &v) || v.Booking != want
	return nil
}

func (s *sender) readStream(r io.Reader, a *Attempt) error {
	var text strings.Builder
	var last time.Time
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			s.result.Total = s.l.clock.Since(s.start)
			s.result.Answered = true
			s.result.Judgement = emulator.VerifyAnswer(s.r.Prompt, text.String())
			return nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return errors.Wrap(err, "decode an event of the stream")
		}
		if e.Error != nil {
			a.refuse([]byte(data))
			return nil
		}
		if len(e.Choices) == 0 || e.Choices[0].Delta.Content == "" {
			continue
		}
		now := s.l.clock.Now()
		if text.Len() == 0 {
			s.result.FirstToken = now.Sub(s.start)
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

// refuse takes code and outcome from the body of a refusal.
func (a *Attempt) refuse(body []byte) {
	var b refusalBody
	if json.Unmarshal(body, &b) != nil {
		b = refusalBody{} // the status stands for the code below
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

// key7 returns a UUIDv7 of the time t with the given random bits.
func key7(t time.Time, a, b uint64) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(t.UnixMilli())<<16|a&0x0fff|0x7000)
	binary.BigEndian.PutUint64(u[8:], b&^(3<<62)|1<<63)
	return u.String()
}

func decodes(b []byte, v any) bool { return json.Unmarshal(b, v) == nil }
