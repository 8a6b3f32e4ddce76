//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"foxtailwall/timekeeper"
)

const (
	// brandTimeout is the timeout of the route, brandDeadline that of the callers.
	brandTimeout  = 3600 * time.Millisecond
	brandDeadline = 8 * time.Second
	brandTarget   = 1500 * time.Millisecond
	brandFirst    = 900 * time.Millisecond
	brandPause    = 150 * time.Millisecond
	brandEvents   = 18
	brandReplicas = 6
	brandClients  = 240
	brandTime     = 9 * time.Second
	brandCrash    = 5 * time.Second
)

func init() {
	s := scenario{entries: 2, play: playResume, config: config(
		[]any{engineService("etch-llm")}, route("brand", "streaming", "etch-llm", brandTimeout, brandTarget, 3),
	)}
	for range brandReplicas {
		s.replicas = append(s.replicas, replica{Service: "etch-llm", Slots: 64, First: brandFirst, Pause: brandPause, Events: brandEvents})
	}
	scenarios["resume"] = s
}

// playResume sends streams that may be resumed; one of six replicas crashes.
func playResume(ctx context.Context, p *player) ([]string, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	begin := clock.Now()
	end := begin.Add(brandTime)
	for i := range brandClients {
		client := newClient()
		wg.Go(func() {
			first := time.Duration(i) * 3 * time.Second / brandClients
			if timekeeper.Sleep(ctx, clock, first) != nil {
				return
			}
			for n := 0; clock.Now().Before(end); n++ {
				a := p.send(ctx, client, p.fleet.Entries[i%len(p.fleet.Entries)], http.MethodPost, fmt.Sprintf("/brand/%d-%d", i, n), brandDeadline,
					map[string]string{"Foxtailwall-Model": "m0", "Foxtailwall-Token-Usage": "9190,72", "Foxtailwall-Prefix-Hash": fmt.Sprintf("5c1e%04x:6300,%08x:2890", i, 1000*i+n)},
					[]byte(fmt.Sprintf(`{"proof":"%d-%d"}`, i, n)))
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	if p.trouble {
		if err := timekeeper.Sleep(ctx, clock, begin.Add(brandCrash).Sub(clock.Now())); err != nil {
			return nil, err
		}
		crashed := p.fleet.Replicas[0].ID
		pid, err := p.pid(crashed)
		if err != nil {
			return nil, err
		}
		p.logf("disruption: replica %s crashes", crashed)
		if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
			return nil, err
		}
		// A crashed replica stays on the list for some seconds.
		if err := timekeeper.Sleep(ctx, clock, 2*time.Second); err != nil {
			return nil, err
		}
		p.exclude(crashed)
	}
	wg.Wait()
	var broken []string
	served := 0
	for _, a := range answers {
		want := ""
		for i := 1; i <= brandEvents; i++ {
			want += event(i, a.id)
		}
		switch {
		case a.err != nil || a.status != http.StatusOK:
			// It is a failure, or does not look complete.
		case a.body == want:
			served++
		default:
			got := strings.Count(a.body, "id: ")
			broken = append(broken, fmt.Sprintf("ORDER: %s ended as complete after %d of %d events, with %q at its end", a.id, got, brandEvents, a.body[max(0, len(a.body)-60):]))
		}
	}
	p.logf("%d of %d streams complete", served, len(answers))
	if served < len(answers)/2 {
		return broken, fmt.Errorf("only %d of %d streams were complete", served, len(answers))
	}
	return broken, nil
}
