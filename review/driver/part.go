//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"foxtailwall/timekeeper"
)

const (
	// The times of a blurb of the sheet: the first event is due after 1 s, 56 events
	// of 5 tokens follow each other at 35 ms a token, and the caller waits 25 s.
	blurbDeadline = 25 * time.Second
	blurbTarget   = time.Second
	blurbFirst    = 100 * time.Millisecond
	blurbPause    = 175 * time.Millisecond
	blurbEvents   = 56
	// blurbPeriod is the mean time between two sound blurbs. On the sheet there are
	// 22.8 a second, with 20 first parts of different popularity.
	blurbPeriod = 350 * time.Millisecond

	partReplicas = 9
	// partDown is how long a replica is down after a crash.
	partDown = 4500 * time.Millisecond
	// partAfter is when the first request with the crashing part is sent, and
	// partPause the shortest time between an answer and the next one. No request is
	// sent after partTime.
	partAfter = 16 * time.Second
	partPause = 100 * time.Millisecond
	partTime  = 50 * time.Second
	// contact is contactMs. Rules bind from the crash number knownCrashes on, for
	// minCounted requests or more; lateAllowed requests with the part may still reach
	// replicas.
	contact      = 3 * time.Second
	knownCrashes = 5
	minCounted   = 20
	lateAllowed  = 3
	// poisonPart is the ID of the part that crashes replicas.
	poisonPart = "deadbeef"
)

func init() {
	s := scenario{entries: 2, play: playPart, config: config(
		[]any{engineService("desk-model")}, route("blurb", "streaming", "desk-model", blurbDeadline, blurbTarget, 3),
	)}
	for range partReplicas {
		s.replicas = append(s.replicas, replica{Service: "desk-model", Slots: 128, First: blurbFirst, Pause: blurbPause, Events: blurbEvents, Inside: true})
	}
	scenarios["part"] = s
}

// crashing is a replica that crashes before it answers a request with the crashing
// part and starts again, under the same ID, after partDown.
type crashing struct {
	*replica
	p   *player
	log *runLog

	mu sync.Mutex
	l  net.Listener
	// conns are the connections since the last start.
	conns map[net.Conn]bool
}

var (
	crashMu sync.Mutex
	// crashes and poisons are when replicas crashed, and when requests with the
	// crashing part reached one.
	crashes []time.Time
	poisons []time.Time
)

// listen starts the replica.
func (c *crashing) listen() error {
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.l, c.conns = l, make(map[net.Conn]bool)
	c.mu.Unlock()
	c.p.mu.Lock()
	for i := range c.p.fleet.Replicas {
		if c.p.fleet.Replicas[i].ID == c.ID {
			c.p.fleet.Replicas[i].Born = clock.Now().UnixMilli()
		}
	}
	c.p.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			if c.conns != nil {
				c.conns[conn] = true
			}
			c.mu.Unlock()
			go c.serveConn(conn)
		}
	}()
	return nil
}

// crash ends the replica, unless it has crashed since the connection was accepted.
func (c *crashing) crash(cause net.Conn) {
	c.mu.Lock()
	if !c.conns[cause] {
		c.mu.Unlock()
		return
	}
	c.l.Close()
	for conn := range c.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	c.conns = nil
	c.mu.Unlock()
	crashMu.Lock()
	crashes = append(crashes, clock.Now())
	crashMu.Unlock()
	c.p.logf("replica %s crashes", c.ID)
	go func() {
		_ = timekeeper.Sleep(context.Background(), clock, partDown)
		if err := c.listen(); err != nil {
			c.p.logf("replica %s is not back: %v", c.ID, err)
		}
	}()
}

// serveConn serves one connection.
func (c *crashing) serveConn(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Foxtailwall-Request-Id")
		if req.Header.Get("Foxtailwall-Expect-Replica") != c.ID {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nFoxtailwall-Request-Id: %s\r\nFoxtailwall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		poison := strings.Contains(req.Header.Get("Foxtailwall-Prefix-Hash"), poisonPart)
		if poison {
			crashMu.Lock()
			poisons = append(poisons, clock.Now())
			crashMu.Unlock()
		}
		c.log.record("begins", id)
		from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // An absent header means 0.
		pause := c.First
		for i := from + 1; i <= c.Events; i++ {
			_ = timekeeper.Sleep(context.Background(), clock, pause)
			pause = c.Pause
			if poison {
				c.crash(conn)
				return
			}
			head := ""
			if i == from+1 {
				head = fmt.Sprintf("HTTP/1.1 200 OK\r\nFoxtailwall-Request-Id: %s\r\nFoxtailwall-Replica-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, c.ID, id)
			}
			e := event(i, id)
			if _, err := fmt.Fprintf(conn, "%s%x\r\n%s\r\n", head, len(e), e); err != nil {
				return
			}
		}
		if _, err := fmt.Fprint(conn, "0\r\n\r\n"); err != nil {
			return
		}
		c.log.record("ends", id)
	}
}

// playPart sends sound requests, and one caller sends requests with a part that crashes
// replicas, each after the answer to the one before.
func playPart(ctx context.Context, p *player) ([]string, error) {
	for i := range p.fleet.Replicas {
		r := p.fleet.Replicas[i]
		file, err := os.Create(p.dir + "/runs-" + r.ID)
		if err != nil {
			return nil, err
		}
		if err := (&crashing{replica: &r, p: p, log: &runLog{file: file, id: r.ID}}).listen(); err != nil {
			return nil, err
		}
	}
	if err := timekeeper.Sleep(ctx, clock, 2*time.Second); err != nil {
		return nil, err
	}
	begin := clock.Now()
	end := begin.Add(partTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	send := func(client *http.Client, to int, name, second string) answer {
		return p.send(ctx, client, p.fleet.Entries[to%len(p.fleet.Entries)], http.MethodPost, "/blurb/"+name, blurbDeadline, map[string]string{
			"Foxtailwall-Model": "m0", "Foxtailwall-Token-Usage": "715,280",
			"Foxtailwall-Prefix-Hash": fmt.Sprintf("5c1e07aa:103,%s:69,%x:543", second, name),
		}, []byte("{}"))
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	wg.Go(func() {
		for n := 0; clock.Now().Before(end); n++ {
			wg.Go(func() {
				a := send(client, n, fmt.Sprintf("%d", n), fmt.Sprintf("a%07x", rand.IntN(8)))
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			})
			_ = timekeeper.Sleep(ctx, clock, time.Duration((0.5+rand.Float64())*float64(blurbPeriod)))
		}
	})
	if p.trouble {
		wg.Go(func() {
			_ = timekeeper.Sleep(ctx, clock, partAfter)
			for n := 0; clock.Now().Before(end); n++ {
				a := send(client, n, fmt.Sprintf("p%d", n), poisonPart)
				// Clients honour Retry-After up to a third of their time.
				_ = timekeeper.Sleep(ctx, clock, max(partPause, min(a.retryAfter, blurbDeadline/3)))
			}
		})
	}
	wg.Wait()
	return p.judgeParts(answers, begin)
}

// judgeParts judges LOST for sound requests that share their first part with requests
// that crash replicas, and records what BUDGET counts.
func (p *player) judgeParts(answers []answer, begin time.Time) ([]string, error) {
	crashMu.Lock()
	defer crashMu.Unlock()
	p.logf("%d crashes, %d requests with the crashing part reached replicas", len(crashes), len(poisons))
	begun := p.begun()
	count := func(from, to time.Time) (sent, began int) {
		for _, a := range answers {
			if a.sentAt.Before(from) || a.sentAt.After(to) {
				continue
			}
			sent++
			if len(begun[a.id]) > 0 {
				began++
			}
		}
		p.logf("%d of %d sound requests sent from %.3f s on began at a replica", began, sent, from.Sub(p.began).Seconds())
		return sent, began
	}
	end := begin.Add(partTime)
	sentBefore, begunBefore := count(begin, begin.Add(partAfter))
	if sentBefore < minCounted || begunBefore < sentBefore/2 {
		return nil, fmt.Errorf("only %d of %d requests began before the disruption", begunBefore, sentBefore)
	}
	if len(crashes) < knownCrashes {
		count(begin.Add(partAfter), end)
		return nil, nil
	}
	known := crashes[knownCrashes-1]
	var broken []string
	late := 0
	for _, t := range poisons {
		if t.After(known.Add(contact)) {
			late++
		}
	}
	p.logf("BUDGET: %d requests with the crashing part reached replicas later than 3 s after crash %d, %d are allowed", late, knownCrashes, lateAllowed)
	sent, began := count(known.Add(2*contact), end)
	if sent >= minCounted && float64(began)/float64(sent) < float64(begunBefore)/float64(sentBefore)/2 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d sound requests began at a replica from 6 s after crash %d on, %d of %d before the first", began, sent, knownCrashes, begunBefore, sentBefore))
	}
	return broken, nil
}
