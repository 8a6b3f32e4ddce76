//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"foxtailwall/timekeeper"
)

const (
	draftDeadline = 5 * time.Second
	draftTarget   = 1500 * time.Millisecond
	draftFirst    = 200 * time.Millisecond
	draftPause    = 30 * time.Millisecond
	draftEvents   = 6
	draftClients  = 12
	// greyShare is the share of its requests that one of greyReplicas replicas fails,
	// for greyTime after greyAfter.
	greyShare    = 0.4
	greyReplicas = 8
	greyAfter    = 2 * time.Second
	greyTime     = 6 * time.Second
	draftTime    = 10 * time.Second
)

func init() {
	s := scenario{entries: 2, play: playGrey, config: config(
		[]any{engineService("etch-llm")}, withoutResume(route("draft", "streaming", "etch-llm", draftDeadline, draftTarget, 3)),
	)}
	for i := range greyReplicas {
		r := replica{Service: "etch-llm", Slots: 64, First: draftFirst, Pause: draftPause, Events: draftEvents}
		if i == 0 {
			r.Fails = greyShare
		}
		s.replicas = append(s.replicas, r)
	}
	scenarios["grey"] = s
}

// playGrey sends streams that may not be resumed, while one of eight replicas
// fails part of its requests after it has begun to work on them.
func playGrey(ctx context.Context, p *player) ([]string, error) {
	answers := p.startDrafts(ctx, draftClients, draftTime)
	if err := timekeeper.Sleep(ctx, clock, greyAfter); err != nil {
		return nil, err
	}
	if err := p.setDisruption(true, "i-0 fails 0.4 of its requests with status 503, without Foxtailwall-Not-Executed"); err != nil {
		return nil, err
	}
	if err := timekeeper.Sleep(ctx, clock, greyTime); err != nil {
		return nil, err
	}
	if err := p.setDisruption(false, "i-0 is sound again"); err != nil {
		return nil, err
	}
	return judgeRuns(p, answers())
}

// startDrafts sends drafts of some clients for a time. The result waits for
// them and returns the answers.
func (p *player) startDrafts(ctx context.Context, clients int, d time.Duration) func() []answer {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	end := clock.Now().Add(d)
	for i := range clients {
		client := newClient()
		wg.Go(func() {
			for n := 0; clock.Now().Before(end); n++ {
				last := fmt.Sprintf("%08x:250", 1000*i+n)
				a := p.send(ctx, client, p.fleet.Entries[i%len(p.fleet.Entries)], http.MethodPost, fmt.Sprintf("/draft/%d-%d", i, n), draftDeadline,
					map[string]string{"Foxtailwall-Model": "m0", "Foxtailwall-Token-Usage": "1050,24", "Foxtailwall-Prefix-Hash": fmt.Sprintf("5c1e07%02x:800,%s", i, last)},
					[]byte(fmt.Sprintf(`{"draft":"%d-%d"}`, i, n)))
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if timekeeper.Sleep(ctx, clock, a.retryAfter) != nil {
					return
				}
			}
		})
	}
	return func() []answer {
		wg.Wait()
		return answers
	}
}

// judgeRuns judges TWICE and REFUSED for requests that may run once at most.
func judgeRuns(p *player, answers []answer) ([]string, error) {
	var broken []string
	begun := p.begun()
	served := 0
	for _, a := range answers {
		ran := begun[a.id]
		if len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran on %v; the client got status %d", a.id, ran, a.status))
		}
		if len(ran) > 0 && a.err == nil && promisesNotRun(a.status) {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran on %v", a.id, a.status, ran))
		}
		if a.status == http.StatusOK && a.err == nil {
			served++
		}
	}
	p.logf("%d of %d requests served", served, len(answers))
	if served < len(answers)/4 {
		return broken, fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	return broken, nil
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
