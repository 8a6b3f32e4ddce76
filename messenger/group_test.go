package messenger_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailwall/counter"
	"foxtailwall/journaler"
	"foxtailwall/messenger"
	"foxtailwall/replicator"
	"foxtailwall/timekeeper"
)

type (
	// logMachine is a state machine that stores the commands.
	logMachine struct {
		mu   sync.Mutex
		cmds []byte
	}

	groupFixture struct {
		groups   []*replicator.Group
		machines []*logMachine
		// crash stops one member as a crash of its process would.
		crash []func()
		stop  func()
	}
)

func (m *logMachine) Apply(_ uint64, cmd []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmds = append(m.cmds, cmd...)
	return []byte(fmt.Sprint(len(m.cmds)))
}

func (m *logMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]byte(nil), m.cmds...), nil
}

func (m *logMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmds = append([]byte(nil), b...)
	return nil
}

// startGroup runs a group of n members over loopback. Member i uses the file
// system fs(i).
func startGroup(tb testing.TB, n int, fs func(i int) journaler.FS) *groupFixture {
	ctx, cancel := context.WithCancel(context.Background())
	f := &groupFixture{}
	var (
		peers     []replicator.Peer
		listeners []net.Listener
		stops     []func()
		wg        conc.WaitGroup
	)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, l)
		addr := netip.MustParseAddrPort(l.Addr().String())
		peers = append(peers, replicator.Peer{Name: fmt.Sprintf("c%d", i), Addr: addr})
	}
	for i, p := range peers {
		tr := messenger.NewGroupTransport(nil, counter.Scope{})
		m := &logMachine{}
		g, err := replicator.New(replicator.Options{
			Name: p.Name, Addr: p.Addr, Peers: peers, FS: fs(i), Machine: m,
			Transport: tr, Clock: timekeeper.System{},
		})
		if err != nil {
			tb.Fatal(err)
		}
		mux := messenger.NewMux()
		messenger.HandleGroup(mux, g)
		srv := messenger.NewServer(mux, nil)
		wg.Go(func() { srv.Serve(listeners[i]) })
		memberCtx, end := context.WithCancel(ctx)
		wg.Go(func() { g.Run(memberCtx) })
		f.crash = append(f.crash, func() { end(); srv.Close() })
		f.groups = append(f.groups, g)
		f.machines = append(f.machines, m)
		stops = append(stops, func() { srv.Close(); tr.Close() })
	}
	f.stop = func() {
		cancel()
		for _, s := range stops {
			s()
		}
		wg.Wait()
	}
	return f
}

// awaitLeader waits for a leader of a group with the given number of voters.
func (f *groupFixture) awaitLeader(ctx context.Context, voters int) *replicator.Group {
	for ctx.Err() == nil {
		for _, g := range f.groups {
			n := 0
			for _, m := range g.Members() {
				if m.Voter {
					n++
				}
			}
			if _, ok := g.Leading(); ok && n == voters {
				return g
			}
		}
		_ = timekeeper.Sleep(ctx, timekeeper.System{}, 10*time.Millisecond)
	}
	return nil
}

var _ = Describe("GroupTransport", func() {
	// Guards against a message field that is lost in encoding, so that a group
	// of real processes never forms or commits.
	It("forms a group of three and replicates commands", func(ctx context.Context) {
		f := startGroup(GinkgoTB(), 3, func(int) journaler.FS { return &journaler.Memory{} })
		DeferCleanup(f.stop)
		leader := f.awaitLeader(ctx, 3)
		Expect(leader).NotTo(BeNil())
		for _, cmd := range []string{"a", "b", "c"} {
			_, _, err := leader.Propose(ctx, []byte(cmd))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := leader.Barrier(ctx)
		Expect(err).NotTo(HaveOccurred())
		for _, m := range f.machines {
			Eventually(ctx, m.Snapshot).Should(Equal([]byte("abc")))
		}
	}, NodeTimeout(time.Minute))
})
