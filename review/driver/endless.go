//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foxtailwall/timekeeper"
)

const (
	// endlessClients is the number of clients of each entry. Each sends a request
	// every endlessPeriod, so that an entry gets 40 streams a second. On the sheet,
	// the one machine of bc-coast-c gets 44.
	endlessClients = 104
	endlessPeriod  = 2600 * time.Millisecond
	endlessAfter   = 3 * time.Second
	endlessTime    = 10 * time.Second
	// endlessRate is how many bytes a second a response without end sends, and
	// endlessTotal how many all of them send together: the links of the two entries
	// carry 125 MB a second each.
	endlessRate     = 5000 << 10
	endlessTotal    = 230 << 20
	endlessInterval = 50 * time.Millisecond
	// memoryInterval is how often the platform looks at the memory of a process.
	memoryInterval = 20 * time.Millisecond
	// lostAllowed is the number of requests that may be lost on kept connections.
	lostAllowed = 3
)

func init() {
	s := scenario{entries: 2, play: playEndless, config: config(
		[]any{engineService("etch-llm")}, route("brand", "streaming", "etch-llm", 8*time.Second, 1500*time.Millisecond, 3),
	)}
	for i := range 3 {
		s.replicas = append(s.replicas, replica{
			Service: "etch-llm", Slots: 64, First: 300 * time.Millisecond, Pause: 30 * time.Millisecond, Events: 13, Endless: i == 0,
		})
	}
	scenarios["endless"] = s
}

// playEndless sends prompts of several groups; one of three replicas answers with
// bodies that do not end.
func playEndless(ctx context.Context, p *player) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	killed := make(map[string]time.Time)
	var mu sync.Mutex
	for _, e := range p.fleet.Entries {
		pid, err := p.pid(e.Name)
		if err != nil {
			return nil, err
		}
		go func() {
			if p.limitMemory(ctx, e.Name, pid) {
				mu.Lock()
				defer mu.Unlock()
				killed[e.Name] = clock.Now()
			}
		}()
	}
	var wg sync.WaitGroup
	type exchange struct {
		answer
		kept bool
	}
	var exchanges []exchange
	end := clock.Now().Add(endlessAfter + endlessTime)
	for i := range endlessClients * len(p.fleet.Entries) {
		client := newClient()
		begin := clock.Now().Add(time.Duration(i) * endlessPeriod / time.Duration(endlessClients*len(p.fleet.Entries)))
		wg.Go(func() {
			for n := 0; clock.Now().Before(end); n++ {
				if timekeeper.Sleep(ctx, clock, begin.Add(time.Duration(n)*endlessPeriod).Sub(clock.Now())) != nil {
					return
				}
				a := p.send(ctx, client, p.fleet.Entries[i%len(p.fleet.Entries)], http.MethodPost, fmt.Sprintf("/brand/%d-%d", i, n), 8*time.Second,
					map[string]string{"Foxtailwall-Model": "m0", "Foxtailwall-Token-Usage": "9190,52", "Foxtailwall-Prefix-Hash": fmt.Sprintf("5c1e%04x:6300,%08x:2890", i, 1000*i+n)},
					[]byte(fmt.Sprintf(`{"proof":"%d-%d"}`, i, n)))
				mu.Lock()
				exchanges = append(exchanges, exchange{a, n > 0})
				mu.Unlock()
				if a.err != nil {
					return // The connection has ended.
				}
			}
		})
	}
	if err := timekeeper.Sleep(ctx, clock, endlessAfter); err != nil {
		return nil, err
	}
	if err := p.setDisruption(true, "the bodies of i-0 do not end"); err != nil {
		return nil, err
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	begun := p.begun()
	var lost []string
	for _, x := range exchanges {
		ran := begun[x.id]
		sound := len(ran) > 0 && ran[len(ran)-1] != "i-0"
		if x.err != nil && x.kept && sound {
			lost = append(lost, fmt.Sprintf("LOST: %s was passed on to %v and its connection ended: %v", x.id, ran, x.err))
		}
	}
	p.logf("%d processes were over the limit of %d MB; %d requests lost on kept connections", len(killed), memoryMB, len(lost))
	if len(lost) <= lostAllowed {
		return nil, nil
	}
	return lost, nil
}

// limitMemory kills a process that uses more than its limit, as the platform does,
// and reports whether it did.
func (p *player) limitMemory(ctx context.Context, name string, pid int) bool {
	peak := 0
	for timekeeper.Sleep(ctx, clock, memoryInterval) == nil {
		mb, err := residentMB(pid)
		if err != nil {
			return false // The process has ended.
		}
		if mb > peak+20 {
			peak = mb
			p.logf("%s uses %d MB", name, mb)
		}
		if mb > memoryMB {
			p.logf("%s uses %d MB, more than its limit of %d MB, and is killed", name, mb, memoryMB)
			return syscall.Kill(pid, syscall.SIGKILL) == nil
		}
	}
	return false
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0, fmt.Errorf("process %d has ended", pid)
	}
	pages, err := strconv.Atoi(f[1])
	return pages * os.Getpagesize() >> 20, err
}

// endlessRunning is the number of responses without end.
var endlessRunning atomic.Int64

// serveEndless answers with a failure whose body does not end until the caller
// closes the connection.
func (r *replica) serveEndless(w http.ResponseWriter, req *http.Request) {
	endlessRunning.Add(1)
	defer endlessRunning.Add(-1)
	w.WriteHeader(http.StatusInternalServerError)
	junk := make([]byte, endlessRate)
	for timekeeper.Sleep(req.Context(), clock, endlessInterval) == nil {
		rate := min(endlessRate, endlessTotal/endlessRunning.Load())
		if _, err := w.Write(junk[:rate*int64(endlessInterval)/int64(time.Second)]); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
