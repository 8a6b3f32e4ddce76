package messenger_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/journaler"
	"foxtailwall/messenger"
	"foxtailwall/relayer"
	"foxtailwall/replicator"
	"foxtailwall/timekeeper"
)

type (
	// viewMachine is a state machine whose view changes with each command.
	viewMachine struct {
		logMachine
		mu      sync.Mutex
		view    declarer.View
		changed chan struct{}
	}

	// fastClock runs faster than the system clock by factor.
	fastClock struct {
		timekeeper.System
		start  time.Time
		factor time.Duration
	}

	// countingListener counts the bytes read and written on its connections.
	countingListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	countingConn struct {
		net.Conn
		bytes *atomic.Int64
	}

	// deployment is three control hosts and a number of entry hosts in one
	// process.
	deployment struct {
		groups   []*replicator.Group
		machines []*viewMachine
		control  []*relayer.Node
		hosts    []*relayer.Node
		servers  []*http.Server
		bytes    atomic.Int64
		reports  atomic.Int64
		stop     func()
	}
)

func (m *viewMachine) Apply(index uint64, cmd []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Version = index
	m.view.Config.Upstreams = append([]declarer.Upstream(nil), m.view.Config.Upstreams...)
	if len(cmd) > 0 && len(m.view.Config.Upstreams) > 0 {
		m.view.Config.Upstreams[int(index)%len(m.view.Config.Upstreams)].Slots++
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

func (m *viewMachine) View() declarer.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

func (m *viewMachine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (c fastClock) Now() time.Time                  { return c.start.Add(time.Since(c.start) * c.factor) }
func (c fastClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
func (c fastClock) NewTimer(d time.Duration) timekeeper.Timer {
	return c.System.NewTimer(d / c.factor)
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// startDeployment runs three control hosts and n entry hosts, spread over the
// zones, with a configuration of the given number of upstreams. The relay
// nodes use clock.
func startDeployment(tb testing.TB, n, zones, upstreams int, clock timekeeper.Clock) *deployment {
	ctx, cancel := context.WithCancel(context.Background())
	s := &deployment{}
	var (
		wg    conc.WaitGroup
		stops []func()
		peers []replicator.Peer
		addrs []netip.AddrPort
		ls    []net.Listener
	)
	listen := func() netip.AddrPort {
		l, err := ports.Listen()
		if err != nil {
			tb.Fatal(err)
		}
		ls = append(ls, countingListener{l, &s.bytes})
		return netip.MustParseAddrPort(l.Addr().String())
	}
	for i := range 3 {
		addrs = append(addrs, listen())
		peers = append(peers, replicator.Peer{Name: fmt.Sprintf("c%d", i), Addr: addrs[i]})
	}
	node := func(o relayer.Options, mux *messenger.Mux) *relayer.Node {
		tr := messenger.NewRelayTransport(nil)
		o.Control, o.Transport, o.Clock = addrs, tr, clock
		nd, err := relayer.NewNode(o)
		if err != nil {
			tb.Fatal(err)
		}
		messenger.HandleRelay(mux, nd)
		wg.Go(func() { nd.Run(ctx) })
		stops = append(stops, tr.Close)
		return nd
	}
	start := func(l net.Listener, mux *messenger.Mux) {
		srv := messenger.NewServer(mux, nil)
		s.servers = append(s.servers, srv)
		wg.Go(func() { srv.Serve(l) })
		stops = append(stops, func() { srv.Close() })
	}
	for i, p := range peers {
		tr := messenger.NewGroupTransport(nil, counter.Scope{})
		m := &viewMachine{changed: make(chan struct{})}
		for k := range upstreams {
			m.view.Config.Upstreams = append(m.view.Config.Upstreams, declarer.Upstream{
				Name: fmt.Sprintf("u%d", k), Zone: "z", Address: addrs[0], Slots: 8,
				Serves: []declarer.VersionRef{{Model: "engraver", Version: "v1"}},
			})
		}
		g, err := replicator.New(replicator.Options{
			Name: p.Name, Addr: p.Addr, Peers: peers, FS: &journaler.Memory{}, Machine: m,
			Transport: tr, Clock: timekeeper.System{},
		})
		if err != nil {
			tb.Fatal(err)
		}
		mux := messenger.NewMux()
		messenger.HandleGroup(mux, g)
		s.control = append(s.control, node(relayer.Options{
			Host:   relayer.Host{Name: p.Name, Zone: fmt.Sprintf("z%d", i%zones), Addr: p.Addr},
			Source: m, Group: g, OnReports: func(rs []relayer.Report) {
				for _, r := range rs {
					s.reports.Add(r.Requests)
				}
			},
		}, mux))
		start(ls[i], mux)
		wg.Go(func() { g.Run(ctx) })
		s.groups, s.machines = append(s.groups, g), append(s.machines, m)
		stops = append(stops, tr.Close)
	}
	for i := range n {
		addr := listen()
		mux := messenger.NewMux()
		h := relayer.Host{Name: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%zones), Addr: addr}
		s.hosts = append(s.hosts, node(relayer.Options{Host: h}, mux))
		start(ls[3+i], mux)
	}
	s.stop = func() {
		cancel()
		for i := len(stops) - 1; i >= 0; i-- {
			stops[i]()
		}
		wg.Wait()
	}
	return s
}

// leaderIndex returns the index of the leading control host, or -1.
func (s *deployment) leaderIndex() int {
	for i, g := range s.groups {
		if _, ok := g.Leading(); ok && g.HoldsLease() {
			return i
		}
	}
	return -1
}

// proposeChange makes a change and returns its version.
func (s *deployment) proposeChange(ctx context.Context) uint64 {
	_, v, err := s.groups[s.leaderIndex()].Propose(ctx, []byte("x"))
	Expect(err).NotTo(HaveOccurred())
	return v
}

// awaitVersion waits until all hosts have at least version v.
func awaitVersion(ctx context.Context, hosts []*relayer.Node, v uint64) {
	for _, h := range hosts {
		for h.Holder().Version() < v && ctx.Err() == nil {
			changed := h.Holder().Changed()
			if h.Holder().Version() >= v {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
}

var _ = Describe("RelayTransport", func() {
	// Guards against a host that stays on an old version or loses its lease
	// when its relay stops, and against reports that do not reach the leader.
	It("distributes views, leases and reports, and survives the loss of a relay", func(ctx context.Context) {
		clock := fastClock{start: time.Now(), factor: 10}
		s := startDeployment(GinkgoTB(), 6, 2, 20, clock)
		DeferCleanup(s.stop)
		Eventually(ctx, s.leaderIndex).Should(BeNumerically(">=", 0))
		awaitVersion(ctx, s.hosts, s.proposeChange(ctx))
		for _, h := range s.hosts {
			Eventually(ctx, h.Holder().Leased).Should(BeTrue())
			Eventually(ctx, func() int { return len(h.Hosts()) }).Should(BeNumerically(">=", 3))
			h.Report(relayer.Report{Model: "m", Version: "v", Requests: 1})
		}
		Eventually(ctx, s.reports.Load).Should(Equal(int64(len(s.hosts))))
		v := s.proposeChange(ctx)
		awaitVersion(ctx, s.hosts, v)
		Eventually(ctx, func() bool { return s.control[s.leaderIndex()].Registry().VersionStatus(v, true).InForce }).Should(BeTrue())

		for _, srv := range s.servers[3:5] {
			srv.Close()
		}
		for range 3 {
			awaitVersion(ctx, s.hosts, s.proposeChange(ctx))
		}
		// After LeaseTime only leases that have been renewed since the relays
		// stopped are valid.
		lost := clock.Now()
		Eventually(ctx, func() time.Duration { return clock.Since(lost) }).Should(BeNumerically(">", relayer.LeaseTime))
		for _, h := range s.hosts {
			Eventually(ctx, h.Holder().Leased).Should(BeTrue())
		}
	}, NodeTimeout(time.Minute))
})
