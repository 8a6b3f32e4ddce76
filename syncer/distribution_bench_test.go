package syncer_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"foxtailwall/controller"
	"foxtailwall/encoder"
	"foxtailwall/messenger"
	"foxtailwall/syncer"
	"foxtailwall/timekeeper"
)

// BenchmarkDistribute measures the leader's work to send a configuration of
// 2,800 routes to one host after another.
func BenchmarkDistribute(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	routes := make([]string, 2800)
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"name":"r-%x","host":"h%d.example","urlPrefix":"/p%x/","kind":"idempotent","timeoutMs":800,`+
			`"targetLatencyMs":150,"priority":2,"service":"s%d","maxAttempts":2,"allowAnonymous":false,"stickySessions":false,"streamResume":false}`,
			rng.Uint32(), i%24, rng.Uint64(), i%2)
	}
	body := `{"version":7,"routes":[` + strings.Join(routes, ",") + `]}`
	src := &source{leading: true, changed: make(chan struct{})}
	src.pub = controller.Published{Version: 3, Document: controller.Document{Version: 7, Body: []byte(body)}}
	mux := messenger.NewMux()
	syncer.Handle(mux, syncer.NewHub(syncer.HubSettings{Source: src, Clock: timekeeper.System{}}))
	sent := 0
	b.ReportMetric(float64(len(body)), "bytes/configuration")
	for b.Loop() {
		sent += receive(b, mux)
	}
	b.ReportMetric(float64(sent)/float64(b.N), "bytes/host")
}

// receive makes the calls by which a host receives the configuration, and
// returns the size of their responses.
func receive(b *testing.B, mux http.Handler) int {
	r := syncer.Report{Host: "a", PartBytes: partBytes}
	for sent := 0; ; {
		call, err := encoder.CBOR{}.Marshal(&r)
		if err != nil {
			b.Fatal(err)
		}
		req := httptest.NewRequest(http.MethodPost, "/foxtailwall.sync/watch", bytes.NewReader(call))
		req.Header.Set("Content-Type", "application/cbor")
		req.Header.Set("Accept-Encoding", "gzip")
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, req)
		if rec.Code != http.StatusOK {
			b.Fatal(rec.Code)
		}
		sent += rec.Body.Len()
		var u syncer.Update
		if err := (encoder.CBOR{}).Unmarshal(rec.Body.Bytes(), &u); err != nil {
			b.Fatal(err)
		}
		if u.Published != nil {
			return sent
		}
		r.Partial = &syncer.Partial{Name: u.Part.Name, Received: u.Part.Offset + len(u.Part.Bytes)}
	}
}
