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
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"foxtailwall/timekeeper"
)

const (
	// The route is that of the bookings of the sheet.
	bookDeadline = 3 * time.Second
	bookTimeout  = 1500 * time.Millisecond
	bookTarget   = 300 * time.Millisecond
	// bookBody is below maxBodyBytes, 4,194,304.
	bookBody = 4_000_000
	// The machines are those of the sheet. Each gets bookRate bookings a second, which is
	// 112 MB of the 125 MB a second that its link carries.
	bookEntries  = 6
	bookClients  = 36
	bookRate     = 28
	bookReplicas = 8
	// bookWindow is the size of the receive buffers of replicas.
	bookWindow = 32 << 10
	// bookWork is the longest work of a booking before the replica resets it.
	bookWork = 4 * time.Millisecond
	// One replica after the other resets bookShare of its requests, for bookGrey each.
	bookShare    = 0.45
	bookGrey     = 2 * time.Second
	bookPause    = 100 * time.Millisecond
	bookEpisodes = 42
)

func init() {
	s := scenario{entries: bookEntries, play: playTwice, config: config(
		[]any{plainService("shop-app")}, route("book", "non_idempotent", "shop-app", bookTimeout, bookTarget, 1),
	)}
	for range bookReplicas {
		s.replicas = append(s.replicas, replica{Service: "shop-app", Slots: 6, Inside: true})
	}
	scenarios["twice"] = s
}

// resetter is a replica that resets the connections of part of its requests while
// grey is set. It begins to work when it has the header of a request.
type resetter struct {
	*replica
	log    *runLog
	grey   atomic.Bool
	resets atomic.Int64
}

// listen starts the replica.
func (r *resetter) listen() error {
	l, err := listenSmall(r.Addr, bookWindow)
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
func (r *resetter) serveExchange(conn net.Conn, br *bufio.Reader) bool {
	req, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	id := req.Header.Get("Foxtailwall-Request-Id")
	if req.Header.Get("Foxtailwall-Expect-Replica") != r.ID {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nFoxtailwall-Request-Id: %s\r\nFoxtailwall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	r.log.record("begins", id)
	if r.grey.Load() && rand.Float64() < bookShare {
		_ = timekeeper.Sleep(context.Background(), clock, rand.N(bookWork))
		r.log.record("resets", id)
		r.resets.Add(1)
		_ = conn.(*net.TCPConn).SetLinger(0) // Closing resets the connection.
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	body := "answer to " + id
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nFoxtailwall-Request-Id: %s\r\nFoxtailwall-Replica-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, r.ID, id, len(body), body)
	return err == nil
}

// playTwice sends bookings with long bodies, while one of eight replicas resets part
// of its connections.
func playTwice(ctx context.Context, p *player) ([]string, error) {
	var replicas []*resetter
	for i := range p.fleet.Replicas {
		file, err := os.Create(filepath.Join(p.dir, "runs-"+p.fleet.Replicas[i].ID))
		if err != nil {
			return nil, err
		}
		r := &resetter{replica: &p.fleet.Replicas[i], log: &runLog{file: file, id: p.fleet.Replicas[i].ID}}
		if err := r.listen(); err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	// The first attempts may have been refused before the replicas listened.
	if err := timekeeper.Sleep(ctx, clock, 2*time.Second); err != nil {
		return nil, err
	}
	p.notable = make(map[string]bool)
	end := clock.Now().Add(bookEpisodes * (bookGrey + bookPause))
	body := make([]byte, bookBody)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for i := range bookClients {
		client := newClient()
		wg.Go(func() {
			period := bookClients / bookEntries * time.Second / bookRate
			next := clock.Now().Add(rand.N(period))
			for n := 0; clock.Now().Before(end); n++ {
				_ = timekeeper.Sleep(ctx, clock, next.Sub(clock.Now())) // ctx does not end.
				next = clock.Now().Add(period)
				a := p.send(ctx, client, p.fleet.Entries[i%len(p.fleet.Entries)], http.MethodPost, fmt.Sprintf("/book/%d-%d", i, n), bookDeadline, nil, body)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				_ = timekeeper.Sleep(ctx, clock, a.retryAfter)
			}
		})
	}
	for i := range bookEpisodes {
		r := replicas[i%len(replicas)]
		if p.trouble {
			p.logf("disruption: %s resets %.2f of its requests", r.ID, bookShare)
		}
		r.grey.Store(p.trouble)
		_ = timekeeper.Sleep(ctx, clock, bookGrey)
		r.grey.Store(false)
		_ = timekeeper.Sleep(ctx, clock, bookPause)
	}
	wg.Wait()
	var resets int64
	for _, r := range replicas {
		resets += r.resets.Load()
	}
	p.logf("%d requests were reset by a replica that had begun to work on them", resets)
	begun := p.begun()
	for _, a := range answers {
		if a.err == nil && a.status == http.StatusOK && len(begun[a.id]) == 1 {
			continue
		}
		p.notable[a.id] = true
		p.logf("sent %.3f s and answered %.3f s after the start: %s, status %d, error %v, ran on %v", a.sentAt.Sub(p.began).Seconds(), a.endedAt.Sub(p.began).Seconds(), a.id, a.status, a.err, begun[a.id])
	}
	p.logf("%d requests of %d bytes sent; %d more than those above were sent once, ran once and were answered with status 200", len(answers), bookBody, len(answers)-len(p.notable))
	return judgeRuns(p, answers)
}
