package server_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"foxtailwall/biller"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/dialer"
	"foxtailwall/router"
	"foxtailwall/server"
)

// benchRate is the request rate per second at which added time is measured,
// that of the target in section 1 of the design.
const benchRate = 1000

type freeBills struct{}

func (freeBills) Hold(context.Context, biller.Record) (bool, error) { return true, nil }

// benchHost runs an entry host over the engine and returns its URL.
func benchHost(b *testing.B, e http.Handler) (direct, routed string) {
	eng := httptest.NewServer(e)
	b.Cleanup(eng.Close)
	v := &views{}
	v.leased.Store(true)
	conf := config([]netip.AddrPort{addrOf(eng.Listener)}, nil, false)
	v.c.Store(declarer.NewCatalog(declarer.View{Version: 1, Config: conf}))
	scope := counter.New("bench")
	b.Cleanup(func() { scope.Close() })
	d := dialer.New(dialer.Options{Scope: scope, MaxIdle: 4096})
	b.Cleanup(d.Close)
	r := router.New(router.Options{Scope: scope, Views: v, Upstreams: d, Bills: freeBills{}})
	s, err := server.New(server.Options{Scope: scope, Views: v, Router: r})
	if err != nil {
		b.Fatal(err)
	}
	l, err := server.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	go s.ServeCallers(l, nil)
	b.Cleanup(s.Close)
	return eng.URL, "http://" + l.Addr().String()
}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
}

func post(c *http.Client, url, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, url+dialer.ChatPath, bytes.NewBufferString(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Foxtailwall-Request", "direct")
	return c.Do(req)
}

// BenchmarkAdded sends whole requests at a fixed rate, by turns straight to
// the engine and through the host, so that both see the same machine.
func BenchmarkAdded(b *testing.B) {
	e := &engine{tokens: 8}
	direct, routed := benchHost(b, e)
	urls, c := [2]string{direct, routed}, benchClient()
	took := [2][]time.Duration{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / benchRate)
	defer tick.Stop()
	b.ResetTimer()
	for i := range b.N * 2 {
		if i%2 == 0 {
			<-tick.C
		}
		wg.Go(func() {
			begin := time.Now()
			resp, err := post(c, urls[i%2], wholeBody)
			if err != nil {
				b.Error(err)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			d := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			took[i%2] = append(took[i%2], d)
		})
	}
	wg.Wait()
	for i := range took {
		slices.Sort(took[i])
	}
	for _, q := range []int{50, 99} {
		at := func(i int) time.Duration { return took[i][len(took[i])*q/100] }
		b.ReportMetric(float64(at(0).Microseconds()), fmt.Sprintf("direct-p%d-µs", q))
		b.ReportMetric(float64((at(1) - at(0)).Microseconds()), fmt.Sprintf("added-p%d-µs", q))
		b.ReportMetric(float64(at(1))/float64(at(0)), fmt.Sprintf("ratio-p%d", q))
	}
}

// BenchmarkToken streams 1000 tokens straight and through the host by turns
// and reports the time per token of each.
func BenchmarkToken(b *testing.B) {
	const tokens = 1000
	e := &engine{tokens: tokens}
	direct, routed := benchHost(b, e)
	urls, c := [2]string{direct, routed}, benchClient()
	var took [2]time.Duration
	for i := range b.N * 2 {
		begin := time.Now()
		resp, err := post(c, urls[i%2], streamBody)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		took[i%2] += time.Since(begin)
	}
	per := func(i int) float64 { return float64(took[i].Nanoseconds()) / float64(b.N*tokens) }
	b.ReportMetric(per(0), "direct-ns/token")
	b.ReportMetric(per(1), "routed-ns/token")
	b.ReportMetric(per(1)/per(0), "ratio")
}

// BenchmarkOpenStream reports the memory that one open stream takes in the
// process, once straight and once through the host; the difference is that of
// the host. Both ends of all connections are in the process.
func BenchmarkOpenStream(b *testing.B) {
	const streams = 1000
	e := &engine{tokens: 1}
	gate := make(chan bool)
	e.hook = func(w http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get("Foxtailwall-Request")
		w.Header().Set("Foxtailwall-Request", id)
		w.Header().Set("Content-Type", "text/event-stream")
		e.stream(w, id, 0, 1)
		select {
		case <-gate:
		case <-r.Context().Done():
		}
		return true
	}
	direct, routed := benchHost(b, e)
	used := func(url string) float64 {
		c := benchClient()
		defer c.CloseIdleConnections()
		before := inUse()
		var open []*http.Response
		for range streams {
			resp, err := post(c, url, streamBody)
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, resp)
		}
		n := inUse() - before
		for _, r := range open {
			r.Body.Close()
		}
		return float64(n) / streams
	}
	used(routed) // Grows what the process keeps: tables, pools, stacks.
	for range b.N {
		d := used(direct)
		r := used(routed)
		b.ReportMetric(d, "direct-B/stream")
		b.ReportMetric(r-d, "added-B/stream")
	}
	close(gate)
}

// inUse returns the bytes of live objects and stacks. The first collection
// only moves pooled buffers aside.
func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
