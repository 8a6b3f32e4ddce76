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

// benchRate is the request rate, per second, at which added latency is
// measured. The latency target in docs/design.md, section 1, is for this rate.
const benchRate = 1000

// discardBills accepts every billing record and drops it.
type discardBills struct{}

func (discardBills) Hold(context.Context, biller.Record) (bool, error) { return true, nil }

// startBenchHost starts an entry host with the engine e as its only upstream
// and returns the URLs of the engine and of the host.
func startBenchHost(b *testing.B, e http.Handler) (direct, routed string) {
	eng := httptest.NewServer(e)
	b.Cleanup(eng.Close)
	v := &views{}
	v.leased.Store(true)
	conf := testConfig([]netip.AddrPort{addrOf(eng.Listener)}, nil, false)
	v.c.Store(declarer.NewCatalog(declarer.View{Version: 1, Config: conf}))
	scope := counter.New("bench")
	b.Cleanup(func() { scope.Close() })
	d := dialer.New(dialer.Options{Scope: scope, MaxIdleConns: 4096})
	b.Cleanup(d.Close)
	r := router.New(router.Options{Scope: scope, Views: v, Upstreams: d, Bills: discardBills{}})
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

// BenchmarkAddedLatency measures the latency that the host adds to unstreamed
// requests. It sends them at a fixed rate, alternately to the engine and
// through the host, so that both are measured under the same load of the
// machine.
func BenchmarkAddedLatency(b *testing.B) {
	e := &engine{tokens: 8}
	direct, routed := startBenchHost(b, e)
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
		percentile := func(i int) time.Duration { return took[i][len(took[i])*q/100] }
		b.ReportMetric(float64(percentile(0).Microseconds()), fmt.Sprintf("direct-p%d-µs", q))
		b.ReportMetric(float64((percentile(1) - percentile(0)).Microseconds()), fmt.Sprintf("added-p%d-µs", q))
		b.ReportMetric(float64(percentile(1))/float64(percentile(0)), fmt.Sprintf("ratio-p%d", q))
	}
}

// BenchmarkStreamToken streams 1000 tokens alternately from the engine and
// through the host and reports the time per token of each.
func BenchmarkStreamToken(b *testing.B) {
	const tokens = 1000
	e := &engine{tokens: tokens}
	direct, routed := startBenchHost(b, e)
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
	nanosPerToken := func(i int) float64 { return float64(took[i].Nanoseconds()) / float64(b.N*tokens) }
	b.ReportMetric(nanosPerToken(0), "direct-ns/token")
	b.ReportMetric(nanosPerToken(1), "routed-ns/token")
	b.ReportMetric(nanosPerToken(1)/nanosPerToken(0), "ratio")
}

// BenchmarkOpenStream reports the memory that an open stream uses directly to
// the engine and how much the host adds. The process holds both ends of all
// connections, so the direct figure is subtracted.
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
	direct, routed := startBenchHost(b, e)
	bytesPerStream := func(url string) float64 {
		c := benchClient()
		defer c.CloseIdleConnections()
		before := liveBytes()
		var open []*http.Response
		for range streams {
			resp, err := post(c, url, streamBody)
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, resp)
		}
		n := liveBytes() - before
		for _, r := range open {
			r.Body.Close()
		}
		return float64(n) / streams
	}
	bytesPerStream(routed) // Warms up tables, pools and stacks, which stay allocated.
	for range b.N {
		d := bytesPerStream(direct)
		r := bytesPerStream(routed)
		b.ReportMetric(d, "direct-B/stream")
		b.ReportMetric(r-d, "added-B/stream")
	}
	close(gate)
}

// liveBytes returns the bytes of live objects and stacks. It collects twice,
// since objects in a sync.Pool survive the first collection.
func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
