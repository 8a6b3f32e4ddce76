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
	// The times of a proof of the sheet: the first event is due after 4 s, pauses
	// between events may last 1.5 s, the caller waits 20 s.
	proofDeadline = 20 * time.Second
	proofTarget   = 4 * time.Second
	proofFirst    = 1200 * time.Millisecond
	proofPause    = 140 * time.Millisecond
	proofEvents   = 30
	proofTokens   = "17020,120"
	proofClients  = 6

	// sendBefore is when the first clients send a proof before the SIGTERM, and
	// sendAfter when the others do after it. sendGap is the time between two clients.
	sendBefore = 500 * time.Millisecond
	sendAfter  = 3100 * time.Millisecond
	sendGap    = 100 * time.Millisecond
	// earlyClients is the number of the first clients.
	earlyClients = 2
	// lastSixth is when the last sixth of the grace period begins.
	lastSixth = graceS * time.Second * 5 / 6
)

func init() {
	s := scenario{entries: 2, play: playStop, config: config(
		[]any{engineService("wzornik-llm"), plainService("zamowienia-app")},
		route("proof", "streaming", "wzornik-llm", proofDeadline, proofTarget, 3),
		route("stock", "idempotent", "zamowienia-app", time.Second, 150*time.Millisecond, 2),
	)}
	for range 3 {
		s.replicas = append(s.replicas,
			replica{Service: "wzornik-llm", Slots: 64, First: proofFirst, Pause: proofPause, Events: proofEvents},
			replica{Service: "zamowienia-app", Slots: 6, Work: 30 * time.Millisecond})
	}
	scenarios["stop"] = s
}

// playStop sends proofs on connections that were open before one of two entries
// got SIGTERM.
func playStop(ctx context.Context, p *player) ([]string, error) {
	leaving := p.fleet.Entries[0]
	var clients []*http.Client
	for range proofClients {
		client := newClient()
		if a := p.send(ctx, client, leaving, http.MethodGet, "/stock/1", time.Second, nil, nil); a.status != http.StatusOK {
			return nil, fmt.Errorf("the first request got status %d: %w", a.status, a.err)
		}
		clients = append(clients, client)
	}
	pid, err := p.pid(leaving.Name)
	if err != nil {
		return nil, err
	}
	// The early proofs keep the entry busy, as usual load does.
	stoppedAt := clock.Now().Add(sendBefore)
	answers := make([]answer, proofClients)
	var wg sync.WaitGroup
	for i, client := range clients {
		sendAt := stoppedAt.Add(-sendBefore)
		if i >= earlyClients {
			sendAt = stoppedAt.Add(sendAfter + time.Duration(i)*sendGap)
		}
		wg.Go(func() {
			if timekeeper.Sleep(ctx, clock, sendAt.Sub(clock.Now())) != nil {
				return
			}
			answers[i] = p.send(ctx, client, leaving, http.MethodPost, fmt.Sprintf("/proof/%d", i), proofDeadline,
				map[string]string{"Foxtailwall-Model": "m0", "Foxtailwall-Token-Usage": proofTokens, "Foxtailwall-Prefix-Hash": "5c1e07a2:13300,e4402b7d:3720"},
				[]byte(`{"proof":"monogram"}`))
		})
	}
	if err := timekeeper.Sleep(ctx, clock, sendBefore); err != nil {
		return nil, err
	}
	if p.trouble {
		stoppedAt = clock.Now()
		p.logf("disruption: SIGTERM to %s", leaving.Name)
		if err := syscall.Kill(pid, syscall.SIGTERM); err != nil {
			return nil, err
		}
		go func() {
			_ = timekeeper.Sleep(ctx, clock, graceS*time.Second) // It ends with the process.
			_ = syscall.Kill(pid, syscall.SIGKILL)               // The entry may have ended.
		}()
	}
	wg.Wait()
	return p.judgeCut(answers, stoppedAt), nil
}

// judgeCut judges LOST around a SIGTERM, with its excuses.
func (p *player) judgeCut(answers []answer, stoppedAt time.Time) []string {
	var broken []string
	begun := p.begun()
	for _, a := range answers {
		sent, ended := a.sentAt.Sub(stoppedAt), a.endedAt.Sub(stoppedAt)
		complete := a.err == nil && (a.status != http.StatusOK || strings.Count(a.body, "\n\n") == proofEvents)
		switch {
		case complete:
		case len(begun[a.id]) == 0:
			p.logf("%s ended without an answer and was not passed on", a.id)
		case a.endedAt.Sub(a.sentAt) >= proofDeadline:
			p.logf("%s reached its deadline", a.id)
		case sent <= 3*time.Second && ended >= lastSixth:
			p.logf("%s was sent no later than 3 s after the SIGTERM and cut in the last sixth of the grace period", a.id)
		case sent > (graceS+1)*time.Second:
			p.logf("%s was sent after the planned work", a.id)
		default:
			broken = append(broken, fmt.Sprintf("LOST: %s was sent %.3f s after the SIGTERM, passed on to %v and cut %.3f s after the SIGTERM, after %d of %d events",
				a.id, sent.Seconds(), begun[a.id], ended.Seconds(), strings.Count(a.body, "\n\n"), proofEvents))
		}
	}
	return broken
}
