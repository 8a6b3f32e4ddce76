package syncer_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/stager"
	"foxtailwall/syncer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

func TestSyncer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "syncer")
}

// source is a syncer.Source with settable state.
type source struct {
	mu      sync.Mutex
	leading bool
	leader  netip.AddrPort
	pub     controller.Published
	changed chan struct{}
}

func (s *source) Leading() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.leading }

func (s *source) Leader() netip.AddrPort { s.mu.Lock(); defer s.mu.Unlock(); return s.leader }

func (s *source) setLeader(leader netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = leader
}

func (s *source) Members() []netip.AddrPort { return nil }

func (s *source) Published() controller.Published { s.mu.Lock(); defer s.mu.Unlock(); return s.pub }

func (s *source) Changed() <-chan struct{} { s.mu.Lock(); defer s.mu.Unlock(); return s.changed }

func (s *source) publish(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pub = controller.Published{Version: version, Document: controller.Document{Version: version}}
	close(s.changed)
	s.changed = make(chan struct{})
}

var _ = Describe("Hub", func() {
	var (
		clock *timekeeper.Fake
		src   *source
		hub   *syncer.Hub
	)
	BeforeEach(func() {
		clock = timekeeper.NewFake(time.Unix(100, 0))
		src = &source{leading: true, changed: make(chan struct{})}
		hub = syncer.NewHub(syncer.HubSettings{Source: src, Clock: clock})
	})
	watch := func(r syncer.Report) <-chan *syncer.Update {
		out := make(chan *syncer.Update, 1)
		go func() { out <- hub.Watch(context.Background(), &r) }()
		return out
	}

	// Guards against a configuration that reaches hosts only with their next
	// call.
	It("answers a waiting call as soon as something changes", func() {
		src.publish(3)
		u := <-watch(syncer.Report{Host: "a"})
		Expect(u.Published.Document.Version).To(Equal(uint64(3)))
		waiting := watch(syncer.Report{Host: "a", Published: 3, Wait: time.Second})
		src.publish(4)
		Expect((<-waiting).Published.Version).To(Equal(uint64(4)))
		waiting = watch(syncer.Report{Host: "a", Published: 4, Wait: time.Second})
		hub.SetList("l1", []tracker.Upstream{{ID: "u"}})
		Expect((<-waiting).Upstreams.Name).To(Equal("l1"))
	})

	// Guards against the whole list being sent to every host at each change,
	// and against changes whose result differs from the leader's list.
	It("sends only the change to hosts that have an earlier list", func() {
		src.publish(1)
		up := func(id, zone string) tracker.Upstream { return tracker.Upstream{ID: id, Zone: zone} }
		lists := [][]tracker.Upstream{
			{up("a", "x"), up("b", "x")},
			{up("a", "x"), up("b", "y"), up("c", "x")},
			{up("b", "y"), up("c", "x")},
			{up("a", "z"), up("c", "x")},
		}
		var last *syncer.Update
		c := syncer.NewClient(syncer.ClientSettings{
			Seeds: func() []netip.AddrPort { return nil }, Clock: clock, Report: func() syncer.Report { return syncer.Report{} },
		})
		names := []string{"l0", "l1", "l2", "l3"}
		for i, l := range lists {
			Expect(hub.SetList(names[i], l)).To(Succeed())
			if i == 2 {
				continue // The client skips this list; the next change includes it.
			}
			u := <-watch(syncer.Report{Host: "a", Published: 1, List: c.ListName()})
			Expect(u.Upstreams == nil).To(Equal(i > 0), "list %d", i)
			c.UpdateList(u)
			last = u
			Expect(last.Upstreams.Name).To(Equal(names[i]))
			Expect(last.Upstreams.Upstreams).To(ConsistOf(l))
		}
		Expect(last.Change.Removed).To(HaveLen(1))
		u := <-watch(syncer.Report{Host: "b", Published: 1, List: "of an earlier leader"})
		Expect(u.Change).To(BeNil())
		Expect(u.Upstreams.Upstreams).To(ConsistOf(lists[3]))
	})

	// Guards against a host that follows a control host which no longer leads.
	It("returns the leader's address when it does not lead", func() {
		src.leading, src.leader = false, netip.MustParseAddrPort("127.0.0.1:1")
		u := <-watch(syncer.Report{Host: "a"})
		Expect(u.FromLeader).To(BeFalse())
		Expect(u.Leader).To(Equal(src.leader))
	})

	// Guards against hosts that learn of a new leader only with one of their next calls,
	// and against calls that outlast their time in a group without a leader.
	It("lets calls wait for an election", func(ctx context.Context) {
		src.leading = false
		waiting := watch(syncer.Report{Host: "a", Wait: time.Second})
		Expect(clock.WaitTimers(ctx, 2)).To(Succeed())
		leader := netip.MustParseAddrPort("127.0.0.1:1")
		src.setLeader(leader)
		clock.Advance(20 * time.Millisecond)
		Expect((<-waiting).Leader).To(Equal(leader))

		src.setLeader(netip.AddrPort{})
		waiting = watch(syncer.Report{Host: "a", Wait: 10 * time.Millisecond})
		Expect(clock.WaitTimers(ctx, 2)).To(Succeed())
		clock.Advance(10 * time.Millisecond)
		Expect((<-waiting).Leader.IsValid()).To(BeFalse())
	}, NodeTimeout(time.Minute))

	// Guards against counts that are lost or added twice when a host restarts.
	It("adds up the counts of all runs of a host", func() {
		src.publish(1)
		l := stager.CountKey{Service: "s", Version: "v", Route: "r"}
		report := func(host string, started int64, n uint64) {
			<-watch(syncer.Report{Host: host, Started: started, Counts: []syncer.AnswerCount{{Line: l, Count: stager.Count{All: n}}}})
		}
		report("a", 1, 5)
		report("a", 1, 7)
		report("a", 2, 1)
		report("b", 1, 2)
		Expect(hub.Counts()[l].All).To(Equal(uint64(10)))
		Expect((<-watch(syncer.Report{Host: "b", Started: 1})).Hosts).To(Equal(2))
		report("b", 1, 2)
		clock.Advance(10 * time.Second)
		Expect((<-watch(syncer.Report{Host: "c"})).Hosts).To(Equal(1))
		Expect(hub.Counts()[l].All).To(Equal(uint64(10)))
	})

	// Guards against hosts that have the same position, because a leader that was just
	// elected does not know the others yet, and so exceed a limit that they share.
	It("tells hosts their positions once all have reported", func() {
		src.publish(1)
		position := func(host string) int { return (<-watch(syncer.Report{Host: host, Started: 1})).Position }
		Expect(position("c")).To(BeZero())
		Expect(position("a")).To(BeZero())
		Expect(position("b")).To(BeZero())
		clock.Advance(1200 * time.Millisecond)
		Expect([]int{position("a"), position("b"), position("c")}).To(Equal([]int{1, 2, 3}))

		By("a new lead")
		src.leading = false
		Expect(position("a")).To(BeZero())
		src.leading = true
		Expect(position("a")).To(BeZero())
		clock.Advance(1200 * time.Millisecond)
		Expect(position("a")).To(Equal(1))
	})

	// Guards against a leaving host that sends callers back at once although no other
	// host of its zone takes requests.
	It("tells hosts how many neighbours do not leave", func() {
		src.publish(1)
		neighbours := func(host, zone string, leaving bool) int {
			u := <-watch(syncer.Report{Host: host, Zone: zone, Started: 1, Published: 1, Leaving: leaving})
			clock.Advance(300 * time.Millisecond)
			return u.Neighbours
		}
		Expect(neighbours("a", "x", false)).To(Equal(0))
		Expect(neighbours("b", "x", false)).To(Equal(1))
		Expect(neighbours("c", "y", false)).To(Equal(0))
		Expect(neighbours("a", "x", false)).To(Equal(1))
		Expect(neighbours("b", "x", true)).To(Equal(1))
		Expect(neighbours("a", "x", false)).To(Equal(0))
		Expect(neighbours("a", "x", true)).To(Equal(0))
		Expect(neighbours("d", "x", false)).To(Equal(0))
		Expect(neighbours("a", "x", true)).To(Equal(1))
	})

	// Guards against a partitioned host that passes its requests to hosts that cannot
	// serve them either, and against a single host that gets those of all.
	It("tells hosts which others take their requests", func() {
		const hosts, told = 60, 4
		address := func(i int) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1) }
		report := func(i int) syncer.Report {
			// Five hosts each are partitioned, leave, or have no address for it.
			r := syncer.Report{Host: fmt.Sprint("h", i), Delegated: address(i), Partitioned: i < 5, Leaving: i >= 5 && i < 10}
			if i >= 10 && i < 15 {
				r.Delegated = netip.AddrPort{}
			}
			return r
		}
		for i := range hosts {
			<-watch(report(i))
		}
		clock.Advance(time.Second)
		counts := make(map[netip.AddrPort]int)
		for i := range hosts {
			helpers := (<-watch(report(i))).Helpers
			Expect(helpers).To(HaveLen(told))
			Expect(helpers).NotTo(ContainElement(address(i)))
			for _, a := range helpers {
				counts[a]++
			}
		}
		for i := range 15 {
			Expect(counts).NotTo(HaveKey(address(i)))
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("<", hosts/4))
		}
	})

	// Guards against excluded sessions that are not sent to other hosts, are
	// sent back to the host that reported them, or are still sent after no host
	// excludes them.
	It("sends each host the sessions that only other hosts exclude", func() {
		src.publish(1)
		exclude := func(host string, sessions ...uint64) []uint64 {
			u := <-watch(syncer.Report{Host: host, Excluded: []syncer.ExcludedSessions{{Service: "s", Target: "v2", Sessions: sessions}}})
			if len(u.Excluded) == 0 {
				return nil
			}
			Expect(u.Excluded).To(HaveLen(1))
			return u.Excluded[0].Sessions
		}
		Expect(exclude("a", 1, 2)).To(BeEmpty())
		Expect(exclude("b", 2, 3)).To(ConsistOf(uint64(1)))
		Expect(exclude("a", 2)).To(ConsistOf(uint64(3)))
		Expect(exclude("b")).To(ConsistOf(uint64(2)))
		Expect(exclude("a")).To(BeEmpty())
		Expect((<-watch(syncer.Report{Host: "c"})).Excluded).To(BeEmpty())
	})

	// Guards against a rollout that is completed while a host that has not
	// reported has requests under way on other versions.
	It("returns -1 running requests until all hosts have reported theirs", func() {
		src.publish(1)
		<-watch(syncer.Report{Host: "a", Running: map[string]int{"s": 2}})
		Expect(hub.RunningOtherVersions("s")).To(Equal(2))
		<-watch(syncer.Report{Host: "b"})
		Expect(hub.RunningOtherVersions("s")).To(BeNumerically("<", 0))
	})
})

var _ = Describe("Client", func() {
	// Guards against a host that keeps calling a control host which is
	// unreachable or does not lead.
	It("finds the leader and follows a change of leader", func() {
		a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
		var mu sync.Mutex
		leader := b
		leaders := make(chan netip.AddrPort, 100)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := syncer.NewClient(syncer.ClientSettings{
			Seeds: func() []netip.AddrPort { return []netip.AddrPort{a, b} }, Clock: timekeeper.System{},
			Report: func() syncer.Report { return syncer.Report{} },
			Apply:  func(u *syncer.Update) { leaders <- u.Leader },
			Call: func(_ context.Context, to netip.AddrPort, _ *syncer.Report) (*syncer.Update, error) {
				mu.Lock()
				defer mu.Unlock()
				if !leader.IsValid() {
					return nil, errors.New("unreachable")
				}
				return &syncer.Update{FromLeader: to == leader, Leader: leader}, nil
			},
		})
		go c.Run(ctx)
		for range 3 {
			Expect(<-leaders).To(Equal(b))
		}
		Expect(c.Leader()).To(Equal(b))
		mu.Lock()
		leader = a
		mu.Unlock()
		Eventually(leaders, time.Minute).Should(Receive(Equal(a)))
	})

	// Guards against hosts that wait for a control host without power, which does not
	// refuse connections, while others would name the leader, or that wait for the
	// connection to the leader that they opened before it had power.
	It("finds the leader while calls to other control hosts have no answer", func() {
		silent, follower, leader := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")
		release, connected := make(chan struct{}), make(chan struct{}, 100)
		var leaderCalls atomic.Int32
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		defer close(release)
		c := syncer.NewClient(syncer.ClientSettings{
			Seeds: func() []netip.AddrPort { return []netip.AddrPort{silent, follower} }, Clock: timekeeper.System{},
			Report: func() syncer.Report { return syncer.Report{} },
			Apply:  func(*syncer.Update) { connected <- struct{}{} },
			Call: func(_ context.Context, to netip.AddrPort, _ *syncer.Report) (*syncer.Update, error) {
				switch {
				case to == leader && leaderCalls.Add(1) > 1:
					return &syncer.Update{FromLeader: true, Leader: leader}, nil
				case to == follower:
					return &syncer.Update{Leader: leader}, nil
				}
				<-release
				return nil, errors.New("unreachable")
			},
		})
		go c.Run(ctx)
		Eventually(connected, time.Minute).Should(Receive())
		Expect(c.Leader()).To(Equal(leader))
	})
})
