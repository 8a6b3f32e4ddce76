//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"foxtailwall/timekeeper"
)

const (
	host = "ficu95.example"
	// startTimeout bounds the time until the deployment serves requests.
	startTimeout = 30 * time.Second
)

type (
	// player plays a case and records what it sees.
	player struct {
		fleet   fleet
		dir     string
		trouble bool
		began   time.Time

		mu     sync.Mutex
		record *os.File
		sent   int
		// excluded are the replicas that the platform's list no longer names.
		excluded map[string]bool
	}

	// answer is what a client saw of a request.
	answer struct {
		id     string
		status int
		body   string
		sentAt time.Time
		// endedAt is when the answer was complete, or the connection ended.
		endedAt time.Time
		// err says how the connection ended without a complete answer.
		err error
		// retryAfter is the pause that a refusal asks for.
		retryAfter time.Duration
	}
)

// play plays a case and returns the exit code.
func play(ctx context.Context, s scenario, dir, recordPath string) (int, error) {
	f, err := readFleet(dir)
	if err != nil {
		return exitFailed, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return exitFailed, err
	}
	defer record.Close()
	p := &player{fleet: f, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: clock.Now(), record: record, excluded: make(map[string]bool)}
	l, err := net.Listen("tcp", f.Platform)
	if err != nil {
		return exitFailed, err
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(p.serveList)) }() // It ends with the process.
	if err := p.start(ctx); err != nil {
		return exitFailed, err
	}
	broken, err := s.play(ctx, p)
	for _, line := range p.runs() {
		p.logf("ran: %s", line)
	}
	if err != nil {
		return exitFailed, err
	}
	for _, b := range broken {
		p.logf("BROKEN: %s", b)
	}
	p.logf("%d requests sent, disruption %t, rule broken %d times", p.sent, p.trouble, len(broken))
	fmt.Printf("%d requests sent, disruption %t, rule broken %d times\n", p.sent, p.trouble, len(broken))
	if len(broken) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// serveList serves the platform's list of replicas.
func (p *player) serveList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []map[string]any{}
	for _, r := range p.fleet.Replicas {
		if p.excluded[r.ID] {
			continue
		}
		out = append(out, map[string]any{
			"id": r.ID, "service": r.Service, "address": r.Addr, "zone": r.Zone, "version": "v1", "slots": r.Slots,
			"state": "ready", "coldLeftMs": 0, "born": max(r.Born, p.began.UnixMilli()),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": out, "next": nil}) // The host may have left.
}

// start sends the configuration and waits until all entries are ready.
func (p *player) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	body, err := json.Marshal(p.fleet.Config)
	if err != nil {
		return err
	}
	put := func(n int) bool {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.fleet.Controls[n%controls]+"/v1/config/put", bytes.NewReader(body))
		return err == nil && status(req) == http.StatusOK
	}
	if err := poll(ctx, put); err != nil {
		return fmt.Errorf("the configuration was not acknowledged: %w", err)
	}
	p.logf("configuration acknowledged")
	for _, e := range p.fleet.Entries {
		ready := func(int) bool {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Ready+"/v1/ready", nil)
			return err == nil && status(req) == http.StatusOK
		}
		if err := poll(ctx, ready); err != nil {
			return fmt.Errorf("%s is not ready: %w", e.Name, err)
		}
	}
	p.logf("all entries are ready")
	return nil
}

// poll calls fn every 100 ms until it returns true.
func poll(ctx context.Context, fn func(n int) bool) error {
	for n := 0; !fn(n); n++ {
		if err := timekeeper.Sleep(ctx, clock, 100*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// status returns the status of the response, 0 if there is none.
func status(req *http.Request) int {
	ctx, cancel := context.WithTimeout(req.Context(), time.Second)
	defer cancel()
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// logf writes a line to the record.
func (p *player) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f s  %s\n", clock.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// nextID returns a new request ID.
func (p *player) nextID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+p.sent)
}

// send sends a request with a client of its own connections and waits for the
// answer, at most until the deadline.
func (p *player) send(ctx context.Context, client *http.Client, to entry, method, path string, deadline time.Duration, header map[string]string, body []byte) answer {
	a := answer{id: p.nextID(), sentAt: clock.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.Front+path, reader)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Foxtailwall-Request-Id", a.id)
	req.Header.Set("Foxtailwall-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	p.logf("sent: %s to %s: %s %s, %d bytes", a.id, to.Name, method, path, len(body))
	resp, err := client.Do(req)
	if err == nil {
		a.status = resp.StatusCode
		if s, perr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); perr == nil {
			a.retryAfter = time.Duration(s * float64(time.Second))
		}
		var b []byte
		b, err = io.ReadAll(resp.Body)
		a.body = string(b)
		resp.Body.Close()
	}
	a.err, a.endedAt = err, clock.Now()
	p.logf("answered: %s after %.3f s: status %d, %d bytes, error %v", a.id, a.endedAt.Sub(a.sentAt).Seconds(), a.status, len(a.body), err)
	return a
}

// newClient returns a client that keeps one connection.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// runs returns what the replicas recorded, in order of time.
func (p *player) runs() []string {
	var lines []string
	for _, r := range p.fleet.Replicas {
		b, err := os.ReadFile(filepath.Join(p.dir, "runs-"+r.ID))
		if err != nil {
			continue // It ran nothing.
		}
		lines = append(lines, strings.Split(strings.TrimSpace(string(b)), "\n")...)
	}
	sort.Strings(lines)
	return lines
}

// begun returns the replicas that began to work on each request.
func (p *player) begun() map[string][]string {
	out := make(map[string][]string)
	for _, line := range p.runs() {
		if f := strings.Fields(line); len(f) == 4 && f[2] == "begins" {
			out[f[3]] = append(out[f[3]], f[1])
		}
	}
	return out
}

// pid returns the process ID of a host or replica.
func (p *player) pid(name string) (int, error) {
	b, err := os.ReadFile(filepath.Join(p.dir, "pid-"+name))
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(b)))
}

// setDisruption begins or ends the disruption that the replicas cause, unless the
// case is played without it.
func (p *player) setDisruption(on bool, what string) error {
	if !p.trouble {
		return nil
	}
	p.logf("disruption: %s, on %t", what, on)
	name := filepath.Join(p.dir, "disruption")
	if on {
		return os.WriteFile(name, nil, 0o600)
	}
	return os.Remove(name)
}

// exclude removes a replica from the platform's list.
func (p *player) exclude(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excluded[id] = true
}

// route returns a route of a configuration.
func route(name, kind, service string, timeout, target time.Duration, attempts int) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": target.Milliseconds(), "priority": 0, "service": service, "maxAttempts": attempts, "allowAnonymous": true,
		"stickySessions": kind == "streaming", "streamResume": kind == "streaming", "itlTargetMs": 1500,
	}
}

// withoutResume returns the route of streams that may not be resumed, which run
// once at most.
func withoutResume(r map[string]any) map[string]any {
	r["streamResume"] = false
	return r
}

// config returns a configuration with the limits of the page on the protocol.
func config(services []any, routes ...any) map[string]any {
	return map[string]any{
		"version": 1, "routes": routes, "services": services, "limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
}

// plainService and engineService declare services as the sheets do.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false}
}

func engineService(name string) map[string]any {
	s := plainService(name)
	s["maxConns"] = 360
	s["engine"] = map[string]any{"slots": 64, "kvTokenCap": 486127, "kvTokenBytes": 18432, "linkMbps": 88000.0, "models": []any{
		map[string]any{"name": "m0", "cost": 0.0086},
	}}
	return s
}
