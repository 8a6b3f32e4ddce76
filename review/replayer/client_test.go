//go:build review

package replayer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

type (
	// client sends requests to entries.
	client struct {
		f       *fleet
		http    *http.Client
		counter atomic.Int64
	}

	// attempt is one request and its answer.
	attempt struct {
		id     string
		sentAt time.Time
		// status is 0 if there was no complete answer.
		status int
		header http.Header
		body   string
		err    error
		// kept reports whether the connection had served an earlier request, begun whether
		// a part of an answer came.
		kept, begun bool
	}
)

func newClient(f *fleet) *client {
	return &client{f: f, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}}}
}

// send sends one request and waits for its answer.
func (c *client) send(h *host, method, path, body string, deadline time.Duration, fields map[string]string) attempt {
	a := attempt{id: fmt.Sprintf("%016x", c.counter.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.frontAddr()+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "shop.example"
	req.Header.Set("Foxtailwall-Request-Id", a.id)
	req.Header.Set("Foxtailwall-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range fields {
		req.Header.Set(k, v)
	}
	c.f.rec.add("client sends %s (%s %s) to %s", a.id, method, path, h.name)
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.kept = i.Reused }}))
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		c.f.rec.add("client gets no answer to %s: %v", a.id, err)
		return a
	}
	defer resp.Body.Close()
	a.begun = true
	b, err := io.ReadAll(resp.Body)
	a.header, a.body, a.err = resp.Header, string(b), err
	if err != nil {
		c.f.rec.add("client gets a part of an answer to %s, status %d: %v", a.id, resp.StatusCode, err)
		return a
	}
	a.status = resp.StatusCode
	c.f.rec.add("client gets %d to %s, %d bytes", a.status, a.id, len(b))
	return a
}
