package syncer_test

import (
	"context"
	"net/netip"
	"sync"
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

// source is the state of a control host.
type source struct {
	mu      sync.Mutex
	leading bool
	leader  netip.AddrPort
	pub     controller.Published
	changed chan struct{}
}

func (s *source) Leading() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.leading }

func (s *source) Leader() netip.AddrPort { return s.leader }

func (s *source) Members() []netip.AddrPort { return nil }

func (s *source) Published() controller.Published { s.mu.Lock(); defer s.mu.Unlock(); return s.pub }

func (s *source) Changed() <-chan struct{} { s.mu.Lock(); defer s.mu.Unlock(); return s.changed }

func (s *source) put(version uint64) {
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
	It("answers as soon as there is news", func() {
		src.put(3)
		u := <-watch(syncer.Report{Host: "a"})
		Expect(u.Published.Document.Version).To(Equal(uint64(3)))
		waiting := watch(syncer.Report{Host: "a", Published: 3, Wait: time.Second})
		src.put(4)
		Expect((<-waiting).Published.Version).To(Equal(uint64(4)))
		waiting = watch(syncer.Report{Host: "a", Published: 4, Wait: time.Second})
		hub.Put("l1", []tracker.Upstream{{ID: "u"}})
		Expect((<-waiting).Upstreams.Name).To(Equal("l1"))
	})

	// Guards against lists that are sent whole to every host at each change, and
	// against changes that lead to another list than the leader's.
	It("tells hosts that have a list what has changed", func() {
		src.put(1)
		up := func(id, zone string) tracker.Upstream { return tracker.Upstream{ID: id, Zone: zone} }
		lists := [][]tracker.Upstream{
			{up("a", "x"), up("b", "x")},
			{up("a", "x"), up("b", "y"), up("c", "x")},
			{up("b", "y"), up("c", "x")},
			{up("a", "z"), up("c", "x")},
		}
		var told *syncer.Update
		c := syncer.NewClient(syncer.ClientSettings{
			Seeds: func() []netip.AddrPort { return nil }, Clock: clock, Report: func() syncer.Report { return syncer.Report{} },
		})
		names := []string{"l0", "l1", "l2", "l3"}
		for i, l := range lists {
			Expect(hub.Put(names[i], l)).To(Succeed())
			if i == 2 {
				continue // This one is not asked for; its change is part of the next.
			}
			u := <-watch(syncer.Report{Host: "a", Published: 1, List: c.ListName()})
			Expect(u.Upstreams == nil).To(Equal(i > 0), "list %d", i)
			c.TakeList(u)
			told = u
			Expect(told.Upstreams.Name).To(Equal(names[i]))
			Expect(told.Upstreams.Upstreams).To(ConsistOf(l))
		}
		Expect(told.Change.Gone).To(HaveLen(1))
		u := <-watch(syncer.Report{Host: "b", Published: 1, List: "of a former leader"})
		Expect(u.Change).To(BeNil())
		Expect(u.Upstreams.Upstreams).To(ConsistOf(lists[3]))
	})

	// Guards against a host that follows a control host which no longer leads.
	It("names the leader when it does not lead", func() {
		src.leading, src.leader = false, netip.MustParseAddrPort("127.0.0.1:1")
		u := <-watch(syncer.Report{Host: "a"})
		Expect(u.Leads).To(BeFalse())
		Expect(u.Leader).To(Equal(src.leader))
	})

	// Guards against counts that are lost or added twice when a host starts
	// again.
	It("adds up the counts of all starts", func() {
		src.put(1)
		l := stager.Line{Service: "s", Version: "v", Route: "r"}
		report := func(host string, started int64, n uint64) {
			<-watch(syncer.Report{Host: host, Started: started, Counts: []syncer.Counted{{Line: l, Count: stager.Count{All: n}}}})
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

	// Guards against sessions of a trial that a host is not told, is told
	// although it keeps them itself, or is told after nobody keeps them.
	It("tells the sessions that other hosts keep", func() {
		src.put(1)
		keep := func(host string, sessions ...uint64) []uint64 {
			u := <-watch(syncer.Report{Host: host, Kept: []syncer.Kept{{Service: "s", Target: "v2", Sessions: sessions}}})
			if len(u.Kept) == 0 {
				return nil
			}
			Expect(u.Kept).To(HaveLen(1))
			return u.Kept[0].Sessions
		}
		Expect(keep("a", 1, 2)).To(BeEmpty())
		Expect(keep("b", 2, 3)).To(ConsistOf(uint64(1)))
		Expect(keep("a", 2)).To(ConsistOf(uint64(3)))
		Expect(keep("b")).To(ConsistOf(uint64(2)))
		Expect(keep("a")).To(BeEmpty())
		Expect((<-watch(syncer.Report{Host: "c"})).Kept).To(BeEmpty())
	})

	// Guards against a rollout that is completed while requests are under way
	// on a host that has not told of them.
	It("knows the running requests only when all hosts have told", func() {
		src.put(1)
		<-watch(syncer.Report{Host: "a", Running: map[string]int{"s": 2}})
		Expect(hub.Running("s")).To(Equal(2))
		<-watch(syncer.Report{Host: "b"})
		Expect(hub.Running("s")).To(BeNumerically("<", 0))
	})
})

var _ = Describe("Client", func() {
	// Guards against a host that stays with a control host which is gone or
	// does not lead.
	It("finds the leader and leaves it when it is lost", func() {
		a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
		var mu sync.Mutex
		leader := b
		heard := make(chan netip.AddrPort, 100)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := syncer.NewClient(syncer.ClientSettings{
			Seeds: func() []netip.AddrPort { return []netip.AddrPort{a, b} }, Clock: timekeeper.System{},
			Report: func() syncer.Report { return syncer.Report{} },
			Apply:  func(u *syncer.Update) { heard <- u.Leader },
			Call: func(_ context.Context, to netip.AddrPort, _ *syncer.Report) (*syncer.Update, error) {
				mu.Lock()
				defer mu.Unlock()
				if !leader.IsValid() {
					return nil, errors.New("gone")
				}
				return &syncer.Update{Leads: to == leader, Leader: leader}, nil
			},
		})
		go c.Run(ctx)
		for range 3 {
			Expect(<-heard).To(Equal(b))
		}
		Expect(c.Leader()).To(Equal(b))
		mu.Lock()
		leader = a
		mu.Unlock()
		Eventually(heard, time.Minute).Should(Receive(Equal(a)))
	})
})
