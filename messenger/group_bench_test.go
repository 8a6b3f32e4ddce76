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

// sampleCommand has the size of a small configuration change.
var sampleCommand = bytes.Repeat([]byte("x"), 300)

// diskDirs returns a function that opens a directory on disk for each member
// of a group.
func diskDirs(b *testing.B, dir string) func(i int) journaler.FS {
	return func(i int) journaler.FS {
		fs, err := journaler.NewOS(filepath.Join(dir, fmt.Sprint(i)))
		if err != nil {
			b.Fatal(err)
		}
		return fs
	}
}

// proposeAll proposes n changes in total, shared among the groups, with the
// given number of concurrent clients for each group.
func proposeAll(b *testing.B, groups []*replicator.Group, clients, n int) {
	var wg conc.WaitGroup
	var next atomic.Int64
	for _, g := range groups {
		for range clients {
			wg.Go(func() {
				for next.Add(1) <= int64(n) {
					if _, _, err := g.Propose(context.Background(), sampleCommand); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
	}
	wg.Wait()
}

// BenchmarkGroup measures the durable changes per second of three members over
// loopback with files on disk.
func BenchmarkGroup(b *testing.B) {
	for _, clients := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			f := startGroup(b, 3, diskDirs(b, b.TempDir()))
			defer f.stop()
			leader := f.awaitLeader(context.Background(), 3)
			b.ResetTimer()
			proposeAll(b, []*replicator.Group{leader}, clients, b.N)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
		})
	}
}

// BenchmarkLogs compares one log for ten workspaces with one log for each
// workspace, with the same number of clients.
func BenchmarkLogs(b *testing.B) {
	const workspaces, clients = 10, 8
	for _, logs := range []int{1, workspaces} {
		b.Run(fmt.Sprintf("logs=%d", logs), func(b *testing.B) {
			var leaders []*replicator.Group
			for range logs {
				f := startGroup(b, 3, diskDirs(b, b.TempDir()))
				defer f.stop()
				leaders = append(leaders, f.awaitLeader(context.Background(), 3))
			}
			b.ResetTimer()
			proposeAll(b, leaders, clients*workspaces/logs, b.N)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
		})
	}
}

// BenchmarkFailover measures how long no change is accepted after the leader
// of three members crashes.
func BenchmarkFailover(b *testing.B) {
	var times []time.Duration
	for b.Loop() {
		f := startGroup(b, 3, diskDirs(b, b.TempDir()))
		leader := f.awaitLeader(context.Background(), 3)
		i := slices.Index(f.groups, leader)
		clock := timekeeper.System{}
		start := clock.Now()
		f.crash[i]()
		f.groups = slices.Delete(f.groups, i, i+1)
		for _, _, err := leader.Propose(context.Background(), sampleCommand); err != nil; {
			leader = f.awaitLeader(context.Background(), 3)
			_, _, err = leader.Propose(context.Background(), sampleCommand)
		}
		times = append(times, clock.Since(start))
		f.stop()
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
}

// BenchmarkRestart measures how long a member takes to open its directory, and
// how long until a group of one member is ready, including its election.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) {
			dir := b.TempDir()
			f := startGroup(b, 1, diskDirs(b, dir))
			proposeAll(b, []*replicator.Group{f.awaitLeader(context.Background(), 1)}, 64, n)
			f.stop()
			var open, ready time.Duration
			for b.Loop() {
				clock := timekeeper.System{}
				start := clock.Now()
				f := startGroup(b, 1, diskDirs(b, dir))
				open += clock.Since(start)
				f.awaitLeader(context.Background(), 1)
				ready += clock.Since(start)
				f.stop()
			}
			b.ReportMetric(float64(open.Microseconds())/1000/float64(b.N), "open-ms")
			b.ReportMetric(float64(ready.Microseconds())/1000/float64(b.N), "ready-ms")
		})
	}
}
