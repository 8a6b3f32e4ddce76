package messenger_test

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailwall/journaler"
	"foxtailwall/replicator"
	"foxtailwall/timekeeper"
)

// change is a command of the size of a small configuration change.
var change = bytes.Repeat([]byte("x"), 300)

// realFiles returns the directories of the members of one group.
func realFiles(b *testing.B, dir string) func(i int) journaler.FS {
	return func(i int) journaler.FS {
		fs, err := journaler.NewOS(filepath.Join(dir, fmt.Sprint(i)))
		if err != nil {
			b.Fatal(err)
		}
		return fs
	}
}

// propose makes n changes from the given number of clients for each group.
func propose(b *testing.B, groups []*replicator.Group, clients, n int) {
	var wg conc.WaitGroup
	var next atomic.Int64
	for _, g := range groups {
		for range clients {
			wg.Go(func() {
				for next.Add(1) <= int64(n) {
					if _, _, err := g.Propose(context.Background(), change); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
	}
	wg.Wait()
}

// BenchmarkGroup measures durable changes per second of three members over
// loopback with real files.
func BenchmarkGroup(b *testing.B) {
	for _, clients := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			f := startGroup(b, 3, realFiles(b, b.TempDir()))
			defer f.stop()
			lead := f.leader(context.Background(), 3)
			b.ResetTimer()
			propose(b, []*replicator.Group{lead}, clients, b.N)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
		})
	}
}

// BenchmarkLogs compares one log that ten workspaces share with one log for
// each of them, with the same number of clients.
func BenchmarkLogs(b *testing.B) {
	const workspaces, clients = 10, 8
	for _, logs := range []int{1, workspaces} {
		b.Run(fmt.Sprintf("logs=%d", logs), func(b *testing.B) {
			var leads []*replicator.Group
			for range logs {
				f := startGroup(b, 3, realFiles(b, b.TempDir()))
				defer f.stop()
				leads = append(leads, f.leader(context.Background(), 3))
			}
			b.ResetTimer()
			propose(b, leads, clients*workspaces/logs, b.N)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
		})
	}
}

// BenchmarkFailover measures how long no change is accepted after the leader
// of three members stopped without notice.
func BenchmarkFailover(b *testing.B) {
	var times []time.Duration
	for b.Loop() {
		f := startGroup(b, 3, realFiles(b, b.TempDir()))
		lead := f.leader(context.Background(), 3)
		i := slices.Index(f.groups, lead)
		clock := timekeeper.System{}
		began := clock.Now()
		f.end[i]()
		f.groups = slices.Delete(f.groups, i, i+1)
		for _, _, err := lead.Propose(context.Background(), change); err != nil; {
			lead = f.leader(context.Background(), 3)
			_, _, err = lead.Propose(context.Background(), change)
		}
		times = append(times, clock.Since(began))
		f.stop()
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
}

// BenchmarkRestart measures how long a member needs to open its directory,
// and until a group of one is ready again, which includes its election.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) {
			dir := b.TempDir()
			f := startGroup(b, 1, realFiles(b, dir))
			propose(b, []*replicator.Group{f.leader(context.Background(), 1)}, 64, n)
			f.stop()
			var open, ready time.Duration
			for b.Loop() {
				clock := timekeeper.System{}
				began := clock.Now()
				f := startGroup(b, 1, realFiles(b, dir))
				open += clock.Since(began)
				f.leader(context.Background(), 1)
				ready += clock.Since(began)
				f.stop()
			}
			b.ReportMetric(float64(open.Microseconds())/1000/float64(b.N), "open-ms")
			b.ReportMetric(float64(ready.Microseconds())/1000/float64(b.N), "ready-ms")
		})
	}
}
