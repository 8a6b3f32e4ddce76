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

// startSettledDeployment starts a deployment and waits until every host knows
// the hosts of its zone and receives views through its relays.
func startSettledDeployment(b *testing.B, n int) *deployment {
	RegisterTestingT(b)
	ctx := context.Background()
	s := startDeployment(b, n, benchZones, benchUpstreams, timekeeper.System{})
	Eventually(s.leaderIndex, time.Minute).Should(BeNumerically(">=", 0))
	awaitVersion(ctx, s.hosts, s.proposeChange(ctx))
	for _, h := range s.hosts {
		Eventually(func() int { return len(h.Hosts()) }, time.Minute).Should(BeNumerically(">=", n/benchZones))
	}
	// Hosts move their streams to the relays after the next confirmation.
	Expect(timekeeper.Sleep(ctx, timekeeper.System{}, relayer.RenewInterval)).To(Succeed())
	return s
}

// BenchmarkInForce measures the time from the proposal of a change until the
// last host has it, with all hosts in one process.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{24, 100, 330} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			s := startSettledDeployment(b, n)
			defer s.stop()
			clock := timekeeper.System{}
			var times []time.Duration
			for b.Loop() {
				start := clock.Now()
				awaitVersion(context.Background(), s.hosts, s.proposeChange(context.Background()))
				times = append(times, clock.Since(start))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "max-ms")
		})
	}
}

// BenchmarkControlCost measures the control traffic, CPU and memory per host
// while each host sends one report a second and a single change is made.
func BenchmarkControlCost(b *testing.B) {
	const window = 20
	for _, n := range []int{24, 330} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			s := startSettledDeployment(b, n)
			defer s.stop()
			for b.Loop() {
				cpu, bytes := cpuTime(b), s.bytes.Load()
				for i := range window {
					if i == 0 {
						s.proposeChange(context.Background())
					}
					for _, h := range s.hosts {
						h.Report(relayer.Report{Model: "engraver", Version: "v2", Requests: 1})
					}
					Expect(timekeeper.Sleep(context.Background(), timekeeper.System{}, time.Second)).To(Succeed())
				}
				hostSeconds := float64(n+3) * window
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				// Each byte is sent by one host and received by another.
				b.ReportMetric(2*float64(s.bytes.Load()-bytes)/hostSeconds, "B/s/host")
				b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/hostSeconds, "%core/host")
				b.ReportMetric(float64(s.control[s.leaderIndex()].Watchers()), "leader-streams")
				b.ReportMetric(float64(m.HeapInuse)/float64(n+3)/(1<<20), "MB/host")
			}
		})
	}
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
