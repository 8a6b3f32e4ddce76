//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"foxtailwall/timekeeper"
)

const (
	// A proof of the largest size of the sheet: 110,000 bytes at two a token. The
	// route and the aim are those of the sheet; the first event comes after 1.4 s.
	longBody     = 110_000
	longUsage    = "55000,52"
	longDeadline = 8 * time.Second
	longTarget   = 1500 * time.Millisecond
	longFirst    = 1400 * time.Millisecond
	longPause    = 100 * time.Millisecond
	longEvents   = 13
	longReplicas = 6
	longClients  = 12
	longTime     = 15 * time.Second
	// longWindow is the size of the receive buffers of replicas.
	longWindow = 32 << 10
	// stillWorks is how long a replica may still work on a request that goes on at
	// another one.
	stillWorks = 400 * time.Millisecond
)

func init() {
	s := scenario{entries: 2, play: playLate, config: config(
		[]any{engineService("etch-llm")}, route("brand", "streaming", "etch-llm", longDeadline, longTarget, 3),
	)}
	for range longReplicas {
		s.replicas = append(s.replicas, replica{
			Service: "etch-llm", Slots: 64, First: longFirst, Pause: longPause, Events: longEvents, Inside: true,
		})
	}
	scenarios["late"] = s
}

// lateReader is a replica that, during the disruption, begins to work on a request
// when it has its header and reads its body after the answer.
type lateReader struct {
	*replica
	log  *runLog
	late bool
}

// listen starts the replica.
func (r *lateReader) listen() error {
	l, err := listenSmall(r.Addr, longWindow)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				br := bufio.NewReader(conn)
				for r.serveExchange(conn, br) {
				}
			}()
		}
	}()
	return nil
}

// serveExchange serves one request and reports whether the connection stays open.
func (r *lateReader) serveExchange(conn net.Conn, br *bufio.Reader) bool {
	req, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	readBody := func() bool {
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	id := req.Header.Get("Foxtailwall-Request-Id")
	if req.Header.Get("Foxtailwall-Expect-Replica") != r.ID {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nFoxtailwall-Request-Id: %s\r\nFoxtailwall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return readBody()
	}
	if !r.late && !readBody() {
		return false
	}
	r.log.record("begins", id)
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // An absent header means 0.
	pause := r.First
	for i := from + 1; i <= r.Events; i++ {
		_ = timekeeper.Sleep(context.Background(), clock, pause)
		pause = r.Pause
		if i == from+1 {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nFoxtailwall-Request-Id: %s\r\nFoxtailwall-Replica-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.ID, id)
		}
		e := event(i, id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			// The connection has ended.
			r.log.record("stops", id)
			return false
		}
	}
	r.log.record("ends", id)
	if _, err := fmt.Fprint(conn, "0\r\n\r\n"); err != nil {
		return false
	}
	return !r.late || readBody()
}

// playLate sends proofs with long bodies.
func playLate(ctx context.Context, p *player) ([]string, error) {
	for i := range p.fleet.Replicas {
		r := p.fleet.Replicas[i]
		file, err := os.Create(filepath.Join(p.dir, "runs-"+r.ID))
		if err != nil {
			return nil, err
		}
		if err := (&lateReader{replica: &r, log: &runLog{file: file, id: r.ID}, late: p.trouble}).listen(); err != nil {
			return nil, err
		}
	}
	// The list of replicas may have been read before they were listening.
	if err := timekeeper.Sleep(ctx, clock, 2*time.Second); err != nil {
		return nil, err
	}
	if p.trouble {
		p.logf("disruption: all replicas read the bodies of requests after their answers")
	}
	end := clock.Now().Add(longTime)
	body := make([]byte, longBody)
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	for i := range longClients {
		client := newClient()
		wg.Go(func() {
			for n := 0; clock.Now().Before(end); n++ {
				a := p.send(ctx, client, p.fleet.Entries[i%len(p.fleet.Entries)], http.MethodPost, fmt.Sprintf("/brand/%d-%d", i, n), longDeadline, map[string]string{
					"Foxtailwall-Model": "m0", "Foxtailwall-Token-Usage": longUsage, "Foxtailwall-Prefix-Hash": fmt.Sprintf("5c1e%04x:6300,%08x:48700", i, 1000*i+n),
				}, body)
				mu.Lock()
				sent++
				if a.err == nil && a.status == http.StatusOK {
					served++
				}
				mu.Unlock()
				_ = timekeeper.Sleep(ctx, clock, a.retryAfter)
			}
		})
	}
	wg.Wait()
	p.logf("%d of %d proofs served", served, sent)
	return p.judgeOverlaps()
}

// judgeOverlaps judges TWICE for streams: a request goes on at another replica while
// the one before still works on it.
func (p *player) judgeOverlaps() ([]string, error) {
	type run struct {
		replica string
		at      int64
	}
	began := make(map[string][]run)
	var broken []string
	for _, line := range p.runs() {
		f := strings.Fields(line)
		if len(f) != 4 {
			continue
		}
		at, err := strconv.ParseInt(f[0], 10, 64)
		if err != nil {
			return nil, err
		}
		id := f[3]
		if f[2] == "begins" {
			began[id] = append(began[id], run{f[1], at})
			continue
		}
		// The replica has worked until now. Did the request go on elsewhere before?
		seen := false
		for _, r := range began[id] {
			if seen && r.replica != f[1] && time.Duration(at-r.at)*time.Millisecond > stillWorks {
				broken = append(broken, fmt.Sprintf("TWICE: %s went on at %s, and %s still worked on it %d ms later", id, r.replica, f[1], at-r.at))
				break
			}
			seen = seen || r.replica == f[1]
		}
	}
	return broken, nil
}
