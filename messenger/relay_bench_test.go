package messenger_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailwall/relayer"
	"foxtailwall/timekeeper"
)

const (
	benchZones     = 9
	benchUpstreams = 1500
)

// settled runs a site until every host knows the hosts of its zone and
// watches through its relays.
func settled(b *testing.B, n int) *site {
	RegisterTestingT(b)
	ctx := context.Background()
	s := startSite(b, n, benchZones, benchUpstreams, timekeeper.System{})
	Eventually(s.leads, time.Minute).Should(BeNumerically(">=", 0))
	awaitVersion(ctx, s.hosts, s.change(ctx))
	for _, h := range s.hosts {
		Eventually(func() int { return len(h.Hosts()) }, time.Minute).Should(BeNumerically(">=", n/benchZones))
	}
	// Streams move to the relays at the next answer.
	Expect(timekeeper.Sleep(ctx, timekeeper.System{}, relayer.RenewEvery)).To(Succeed())
	return s
}

// BenchmarkInForce measures the time from proposing a change until it is in
// force on the last host, with all hosts in one process.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{24, 100, 330} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			s := settled(b, n)
			defer s.stop()
			clock := timekeeper.System{}
			var times []time.Duration
			for b.Loop() {
				began := clock.Now()
				awaitVersion(context.Background(), s.hosts, s.change(context.Background()))
				times = append(times, clock.Since(began))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "max-ms")
		})
	}
}

// BenchmarkControlCost measures what control costs each host while nothing
// but one change and a report from each host every second happens.
func BenchmarkControlCost(b *testing.B) {
	const window = 20
	for _, n := range []int{24, 330} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			s := settled(b, n)
			defer s.stop()
			for b.Loop() {
				cpu, bytes := processorTime(b), s.bytes.Load()
				for i := range window {
					if i == 0 {
						s.change(context.Background())
					}
					for _, h := range s.hosts {
						h.Report(relayer.Report{Model: "engraver", Version: "v2", Requests: 1})
					}
					Expect(timekeeper.Sleep(context.Background(), timekeeper.System{}, time.Second)).To(Succeed())
				}
				all := float64(n+3) * window
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				// Each byte is sent by one host and received by another.
				b.ReportMetric(2*float64(s.bytes.Load()-bytes)/all, "B/s/host")
				b.ReportMetric(100*(processorTime(b)-cpu).Seconds()/all, "%core/host")
				b.ReportMetric(float64(s.control[s.leads()].Watchers()), "leader-streams")
				b.ReportMetric(float64(m.HeapInuse)/float64(n+3)/(1<<20), "MB/host")
			}
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
