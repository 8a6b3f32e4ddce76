package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/journaler"
	"foxtailwall/replicator"
	"foxtailwall/timekeeper"
)

func TestRelayer(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "relayer")
}

// mutate returns a later version of v with some declarations changed at random.
func mutate(rng *rand.Rand, v declarer.View) declarer.View {
	next := declarer.View{Version: v.Version + 1 + rng.Uint64N(3), Config: v.Config, Progress: v.Progress}
	name := func() string { return fmt.Sprintf("n%d", rng.IntN(8)) }
	c := &next.Config
	for range 1 + rng.IntN(3) {
		switch rng.IntN(6) {
		case 0:
			w := declarer.Workspace{Name: name(), Share: rng.IntN(9), Quality: map[declarer.Kind]float64{"chat": rng.Float64()}}
			c.Workspaces = upsert(c.Workspaces, w, workspaceKey)
		case 1:
			m := declarer.Model{Name: name(), Versions: []declarer.Version{{Name: name(), Quality: rng.Float64()}}}
			c.Models = upsert(c.Models, m, modelKey)
		case 2:
			k := name()
			c.Upstreams = slices.DeleteFunc(slices.Clone(c.Upstreams), func(u declarer.Upstream) bool { return u.Name == k })
		case 3:
			u := declarer.Upstream{Name: name(), Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: rng.IntN(3)}
			c.Upstreams = upsert(c.Upstreams, u, upstreamKey)
		case 4:
			p := declarer.Progress{Model: name(), Version: "v", Share: rng.Float64(), Since: time.Unix(rng.Int64N(99), 5).UTC()}
			next.Progress = upsert(next.Progress, p, progressKey)
		case 5:
			c.Retention.Pins = time.Duration(rng.IntN(5))
		}
	}
	if rng.IntN(2) == 0 {
		next.Quarantined = []declarer.VersionRef{{Model: name(), Version: "v"}}
	}
	if rng.IntN(2) == 0 {
		next.Evacuated = []declarer.Evacuation{{Zone: name(), Since: time.Unix(rng.Int64N(99), 0).UTC()}}
	}
	rng.Shuffle(len(c.Models), func(i, j int) { c.Models[i], c.Models[j] = c.Models[j], c.Models[i] })
	return next
}

// upsert returns a copy of vs in which v replaces the element with its key.
func upsert[T any](vs []T, v T, key func(T) string) []T {
	return append(slices.DeleteFunc(slices.Clone(vs), func(o T) bool { return key(o) == key(v) }), v)
}

// roundTrip encodes and decodes an update, as a transport does.
func roundTrip(u *Update) *Update {
	b, err := canonicalEncoding.Marshal(u)
	Expect(err).NotTo(HaveOccurred())
	out := &Update{}
	Expect(cbor.Unmarshal(b, out)).To(Succeed())
	return out
}

var _ = ginkgo.Describe("Holder", func() {
	// Guards against a host that returns to an older version because of a
	// delayed update, another relay or a restart, and against a delta that
	// yields a view other than the leader's.
	ginkgo.DescribeTable("never returns to an older version and always has one of the leader's views", func(seed uint64) {
		rng := rand.New(rand.NewPCG(seed, seed))
		clock := &timekeeper.Fake{}
		disks := make([]*journaler.Memory, 5)
		holders := make([]*Holder, len(disks))
		open := func(i int) {
			var err error
			holders[i], err = NewHolder(clock, disks[i], counter.Scope{}, zerolog.Nop())
			Expect(err).NotTo(HaveOccurred())
		}
		for i := range disks {
			disks[i] = &journaler.Memory{}
			open(i)
		}
		var views []declarer.View
		var delayed []*Update
		current := make([]uint64, len(holders))
		apply := func(i int, u *Update) {
			var be *BaseError
			if err := holders[i].Apply(roundTrip(u)); err != nil {
				Expect(errors.As(err, &be)).To(BeTrue())
			}
			Expect(holders[i].Version()).To(BeNumerically(">=", current[i]))
			current[i] = holders[i].Version()
		}
		for range 600 {
			to := 1 + rng.IntN(len(holders)-1)
			from := rng.IntN(len(holders))
			switch rng.IntN(5) {
			case 0:
				last := declarer.View{}
				if len(views) > 0 {
					last = views[len(views)-1]
				}
				views = append(views, mutate(rng, last))
				Expect(holders[0].applyView(views[len(views)-1])).To(Succeed())
				current[0] = holders[0].Version()
			case 1, 2:
				u := holders[from].updateSince(holders[to].watchRequest())
				delayed = append(delayed, u)
				apply(to, u)
			case 3:
				if len(delayed) > 0 {
					apply(to, delayed[rng.IntN(len(delayed))])
				}
			case 4:
				disks[to].Crash(rng)
				open(to)
				Expect(holders[to].Version()).To(Equal(current[to]))
			}
			if c := holders[to].Catalog(); c != nil {
				i := slices.IndexFunc(views, func(v declarer.View) bool { return v.Version == c.View.Version })
				want, err := digest(Sorted(views[i]))
				Expect(err).NotTo(HaveOccurred())
				Expect(digest(c.View)).To(Equal(want))
			}
		}
		Expect(current).To(HaveEach(BeNumerically(">", 0)))
	}, ginkgo.Entry("seed 1", uint64(1)), ginkgo.Entry("seed 2", uint64(2)), ginkgo.Entry("seed 3", uint64(3)))

	// Guards against a delta that is applied to a different view with the same
	// version number, as can exist after the control group was set up anew.
	ginkgo.It("refuses a delta to a view that it does not have", func() {
		var hs [2]*Holder
		for i := range hs {
			var err error
			hs[i], err = NewHolder(&timekeeper.Fake{}, nil, counter.Scope{}, zerolog.Nop())
			Expect(err).NotTo(HaveOccurred())
			Expect(hs[i].applyView(declarer.View{Version: 1, Config: declarer.Config{Models: []declarer.Model{{Name: fmt.Sprint(i)}}}})).To(Succeed())
		}
		at := hs[0].watchRequest()
		Expect(hs[0].applyView(declarer.View{Version: 2})).To(Succeed())
		var be *BaseError
		Expect(errors.As(hs[1].Apply(hs[0].updateSince(at)), &be)).To(BeTrue())
		Expect(hs[0].updateSince(hs[1].watchRequest()).Full).NotTo(BeNil())
	})

	// Guards against updates whose size grows with the whole configuration.
	ginkgo.It("sends only the declarations that changed", func() {
		h, err := NewHolder(&timekeeper.Fake{}, nil, counter.Scope{}, zerolog.Nop())
		Expect(err).NotTo(HaveOccurred())
		v := declarer.View{Version: 1}
		for i := range 500 {
			v.Config.Upstreams = append(v.Config.Upstreams, declarer.Upstream{Name: fmt.Sprint("u", i)})
		}
		Expect(h.applyView(v)).To(Succeed())
		at := h.watchRequest()
		v.Version, v.Config.Upstreams = 2, slices.Clone(v.Config.Upstreams)
		v.Config.Upstreams[7].Slots = 9
		Expect(h.applyView(v)).To(Succeed())
		u := h.updateSince(at)
		Expect(u.Full).To(BeNil())
		Expect(u.Delta.Upstreams.Set).To(HaveLen(1))
	})
})

// simulatedHost is a host whose clock runs at its own rate.
type simulatedHost struct {
	Confirmation
	// clockRate is the rate of the host's clock relative to the leader's.
	clockRate float64
	// leaseEnd is the end of the lease by the host's clock, converted to the
	// leader's.
	leaseEnd time.Duration
	dead     bool
}

var _ = ginkgo.Describe("Registry", func() {
	// Guards against a withdrawal that is reported as in force while a host
	// still uses the withdrawn version under its lease.
	ginkgo.DescribeTable("reports a version as in force only once no host can use an older one", func(seed uint64) {
		rng := rand.New(rand.NewPCG(seed, seed))
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		now := time.Duration(0)
		advance := func(d time.Duration) { clock.Advance(d); now += d }
		hosts := make([]*simulatedHost, 12)
		for i := range hosts {
			h := Host{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%3)}
			hosts[i] = &simulatedHost{Confirmation: Confirmation{Host: h}, clockRate: 0.98 + 0.04*rng.Float64()}
		}
		type sentConfirm struct {
			arrives, sent time.Duration
			host          *simulatedHost
			confirmation  Confirmation
		}
		var inTransit []sentConfirm
		reg, term, current := NewRegistry(clock), uint64(1), uint64(1)
		inForce := 0
		for range 20000 {
			advance(time.Duration(rng.IntN(60)) * time.Millisecond)
			h := hosts[rng.IntN(len(hosts))]
			switch k := rng.IntN(1000); {
			case k < 3:
				current++
			case k < 4:
				reg, term = NewRegistry(clock), term+1
				reg.StartTerm(term)
			case k < 14:
				h.dead = !h.dead
			case k < 60:
				h.Version = current
			default:
				if !h.dead {
					arrives := now + time.Duration(rng.IntN(1500))*time.Millisecond
					inTransit = append(inTransit, sentConfirm{arrives, now, h, h.Confirmation})
				}
			}
			inTransit = slices.DeleteFunc(inTransit, func(sc sentConfirm) bool {
				if sc.arrives > now {
					return false
				}
				d := reg.Confirm(term, current, []Confirmation{sc.confirmation})[0]
				// The host counts the lease from the time of sending, by its clock.
				sc.host.leaseEnd = max(sc.host.leaseEnd, sc.sent+time.Duration(float64(d)/sc.host.clockRate))
				return true
			})
			if s := reg.VersionStatus(current, true); s.InForce {
				inForce++
				for _, h := range hosts {
					if h.leaseEnd > now {
						Expect(h.Version).To(BeNumerically(">=", current))
					}
				}
			}
		}
		Expect(inForce).To(BeNumerically(">", 100))
	}, ginkgo.Entry("seed 1", uint64(1)), ginkgo.Entry("seed 2", uint64(2)), ginkgo.Entry("seed 3", uint64(3)), ginkgo.Entry("seed 4", uint64(4)))

	// Guards against a host that confirms an older version after a restart or
	// the end of its lease, and gets a lease although the newer version was
	// already reported as in force.
	ginkgo.DescribeTable("keeps a version in force when a host returns with an older one", func(last uint64, silence time.Duration) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		r := NewRegistry(clock)
		confirm := func(current uint64, name string, version uint64) time.Duration {
			return r.Confirm(1, current, []Confirmation{{Host: Host{Name: name, Zone: "z"}, Version: version}})[0]
		}
		confirm(10, "a", 10)
		confirm(10, "b", 10)
		clock.Advance(LeaseTime + leaseSlack)
		confirm(10, "a", 10)
		Expect(confirm(last, "b", last)).To(Equal(LeaseTime))
		clock.Advance(silence)
		confirm(11, "a", 11)
		Expect(r.VersionStatus(11, true).InForce).To(BeTrue())
		for range 3 {
			Expect(confirm(11, "b", 10)).To(BeZero())
			Expect(r.VersionStatus(11, true).InForce).To(BeTrue())
			Expect(r.VersionStatus(11, false).Pending).To(ConsistOf("b"))
			clock.Advance(time.Second)
			confirm(11, "a", 11)
		}
		Expect(confirm(11, "b", 11)).To(Equal(LeaseTime))
	},
		ginkgo.Entry("after its lease has ended", uint64(10), LeaseTime+leaseSlack),
		ginkgo.Entry("while the lease from before its restart still runs", uint64(11), time.Second),
	)

	// Guards against all leases ending when the view changes every second.
	ginkgo.It("extends the lease of a host that is one version behind", func() {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		r := NewRegistry(clock)
		for v := uint64(1); v < 60; v++ {
			have := max(1, v-1)
			d := r.Confirm(1, v, []Confirmation{{Host: Host{Name: "a", Zone: "z"}, Version: have}})[0]
			Expect(d).To(Equal(LeaseTime))
			clock.Advance(time.Second)
			d = r.Confirm(1, v, []Confirmation{{Host: Host{Name: "a", Zone: "z"}, Version: have}})[0]
			Expect(d).To(BeNumerically(">=", LeaseTime-time.Second))
		}
	})

	// Guards against a partitioned zone whose hosts count as dead, so that the
	// status does not name the zone, and against dead hosts that make their
	// zone count as cut off.
	ginkgo.It("distinguishes a zone that is cut off from dead hosts", func() {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		r := NewRegistry(clock)
		confirm := func(version uint64, names ...string) {
			for _, n := range names {
				r.Confirm(1, 2, []Confirmation{{Host: Host{Name: n, Zone: n[:2]}, Version: version}})
			}
		}
		confirm(1, "z1a", "z1b", "z2a", "z2b")
		clock.Advance(5 * time.Second)
		confirm(2, "z1a")
		clock.Advance(5 * time.Second)
		s := r.VersionStatus(2, false)
		Expect(s).To(Equal(VersionStatus{Version: 2, InForce: true, CutOff: []string{"z2"}}))
		status := make(map[string][2]bool)
		for _, h := range r.Hosts() {
			status[h.Host.Name] = [2]bool{h.Live, h.CutOff}
		}
		Expect(status).To(Equal(map[string][2]bool{
			"z1a": {true, false}, "z1b": {false, false}, "z2a": {false, true}, "z2b": {false, true},
		}))
	})
})

var _ = ginkgo.Describe("Registry of a new leader", func() {
	// Guards against a zone that is cut off during a leader change and missing
	// from the status, and against a host that was removed or never started
	// and blocks every change.
	ginkgo.It("waits one lease time for configured hosts that do not confirm, then reports their zone as cut off", func() {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		a, gone := Host{Name: "a", Zone: "z1"}, Host{Name: "gone", Zone: "z1"}
		r := NewRegistry(clock, a, gone, Host{Name: "b", Zone: "z2"})
		for term := uint64(1); term <= 2; term++ {
			r.StartTerm(term)
			confirm := func() { r.Confirm(term, 7, []Confirmation{{Host: a, Version: 7}}) }
			confirm()
			for _, leased := range []bool{false, true} {
				Expect(r.VersionStatus(7, leased)).To(Equal(VersionStatus{Version: 7, Pending: []string{"b", "gone"}}))
			}
			Expect(r.Hosts()).To(HaveLen(3))
			Expect(r.Hosts()).To(HaveEach(HaveField("CutOff", false)))
			clock.Advance(LeaseTime + leaseSlack)
			confirm()
			for _, leased := range []bool{false, true} {
				Expect(r.VersionStatus(7, leased)).To(Equal(VersionStatus{Version: 7, InForce: true, CutOff: []string{"z2"}}))
			}
			Expect(r.Confirm(term, 7, []Confirmation{{Host: gone, Version: 6}})).To(Equal([]time.Duration{0}))
			Expect(r.VersionStatus(7, true).InForce).To(BeTrue())
			clock.Advance(hostRetention + time.Second)
			confirm()
			Expect(r.Hosts()).To(HaveExactElements(HaveField("Host", a), HaveField("Host.Name", "b")))
		}
	})
})

var _ = ginkgo.Describe("selectRelays", func() {
	// Guards against hosts that disagree on the relays of their zone and so
	// load the control group, and against control hosts as relays.
	ginkgo.It("selects the same two for every host of a zone and spreads the load over both", func() {
		var hs []Host
		for i := range 60 {
			hs = append(hs, Host{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%2), Control: i < 20})
		}
		first := make(map[string]int)
		for _, h := range hs[20:] {
			rs := selectRelays(hs, "z1", h.Name)
			Expect(rs).To(ConsistOf(selectRelays(hs, "z1", "x")))
			Expect(rs).To(HaveEach(And(HaveField("Zone", "z1"), HaveField("Control", false))))
			first[rs[0].Name]++
		}
		for i := range hs {
			hs[i].Control = hs[i].Control || first[hs[i].Name] > 0
		}
		Expect(selectRelays(hs, "z1", "x")).To(HaveEach(HaveField("Control", false)))
		Expect(first).To(HaveLen(2))
		Expect(first).To(HaveEach(BeNumerically(">", 8)))
	})
})

type (
	// localNet is a transport that calls other nodes directly.
	localNet struct {
		mu          sync.Mutex
		nodes       map[netip.AddrPort]*Node
		unreachable func(to netip.AddrPort) bool
	}

	// fakeControl implements Source and Group for a control host that always
	// leads.
	fakeControl struct {
		view   declarer.View
		leased bool
	}
)

func (l *localNet) node(to netip.AddrPort) (*Node, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.nodes[to]; n != nil && !l.unreachable(to) {
		return n, nil
	}
	return nil, errors.New("unreachable")
}

func (l *localNet) Watch(context.Context, netip.AddrPort, *WatchRequest, func(*Update) error) error {
	return errors.New("not used")
}

func (l *localNet) Confirm(ctx context.Context, to netip.AddrPort, r *ConfirmRequest) (*ConfirmResponse, error) {
	n, err := l.node(to)
	if err != nil {
		return nil, err
	}
	return n.HandleConfirm(ctx, r)
}

func (l *localNet) Latest(_ context.Context, to netip.AddrPort, r *WatchRequest) (*Update, error) {
	n, err := l.node(to)
	if err != nil {
		return nil, err
	}
	return roundTrip(n.HandleLatest(r)), nil
}

func (f *fakeControl) View() declarer.View               { return f.view }
func (f *fakeControl) Changed() <-chan struct{}          { return nil }
func (f *fakeControl) Leading() (uint64, bool)           { return 1, true }
func (f *fakeControl) HoldsLease() bool                  { return f.leased }
func (f *fakeControl) Leader() (replicator.Member, bool) { return replicator.Member{}, false }

var _ = ginkgo.Describe("Node", func() {
	var (
		clock   *timekeeper.Fake
		network *localNet
		control *fakeControl
		leader  *Node
		reports []Report
	)
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i))
	}
	node := func(i int, o Options) *Node {
		o.Host = Host{Name: fmt.Sprint("h", i), Zone: "z", Addr: addr(i)}
		o.Control, o.Peers = []netip.AddrPort{addr(1)}, []netip.AddrPort{addr(2), addr(3)}
		o.Transport, o.Clock = network, clock
		n, err := NewNode(o)
		Expect(err).NotTo(HaveOccurred())
		network.nodes[addr(i)] = n
		return n
	}
	ginkgo.BeforeEach(func() {
		clock, reports = timekeeper.NewFake(time.Unix(0, 0)), nil
		network = &localNet{nodes: make(map[netip.AddrPort]*Node), unreachable: func(netip.AddrPort) bool { return false }}
		control = &fakeControl{view: declarer.View{Version: 5}, leased: true}
		leader = node(1, Options{Source: control, Group: control, OnReports: func(rs []Report) { reports = append(reports, rs...) }})
		Expect(leader.holder.applyView(control.view)).To(Succeed())
	})

	// Guards against a host in a partitioned zone that starts with an older
	// version than other hosts of its zone have, or without any.
	ginkgo.It("fetches the highest version of its zone when cut off", func(ctx context.Context) {
		a, b := node(2, Options{}), node(3, Options{})
		Expect(a.holder.applyView(declarer.View{Version: 3})).To(Succeed())
		Expect(b.holder.applyView(declarer.View{Version: 4})).To(Succeed())
		network.unreachable = func(to netip.AddrPort) bool { return to == addr(1) }
		c := node(4, Options{})
		c.FetchLatest(ctx)
		Expect(c.Holder().Version()).To(Equal(uint64(4)))
		a.Confirm(ctx)
		Expect(a.Holder().Version()).To(Equal(uint64(4)))
		Expect(a.Holder().Leased()).To(BeFalse())
	})

	// Guards against a host that keeps an old version while the relay that it
	// watches is paused.
	ginkgo.It("asks other hosts if it lacks the version named by the previous confirmation", func(ctx context.Context) {
		a := node(2, Options{})
		a.FetchLatest(ctx)
		control.view = declarer.View{Version: 6}
		Expect(leader.holder.applyView(control.view)).To(Succeed())
		a.Confirm(ctx)
		Expect(a.Holder().Version()).To(Equal(uint64(5)))
		a.Confirm(ctx)
		Expect(a.Holder().Version()).To(Equal(uint64(6)))
	})

	// Guards against a lease that lasts longer than LeaseTime, and against one
	// that a leader grants after its own lease has ended.
	ginkgo.It("holds a lease for LeaseTime, and only from a leader with a lease of its own", func(ctx context.Context) {
		a := node(2, Options{})
		a.FetchLatest(ctx)
		a.Confirm(ctx)
		clock.Advance(LeaseTime - 1)
		Expect(a.Holder().Leased()).To(BeTrue())
		control.leased = false
		a.Confirm(ctx)
		clock.Advance(1)
		Expect(a.Holder().Leased()).To(BeFalse())
	})

	// Guards against a status that lacks what waits at the hosts behind a relay.
	ginkgo.It("passes the state of a host's queue to the leader", func(ctx context.Context) {
		state := &QueueStatus{Requests: 3, Waiting: []WaitingGroup{{Workspace: "w", Priority: 5, Requests: 3, Oldest: time.Second}}}
		relay, waits := node(2, Options{}), node(3, Options{Queue: func() *QueueStatus { return state }})
		relay.FetchLatest(ctx)
		waits.FetchLatest(ctx)
		p := &queuedConfirm{done: make(chan confirmResult, 1), req: &ConfirmRequest{Confirmations: []Confirmation{waits.confirmation()}}}
		Expect(relay.queue.Offer(p)).To(BeTrue())
		relay.sendBatch(ctx)
		Expect(leader.registry.Hosts()).To(ConsistOf(And(HaveField("Host.Name", "h3"), HaveField("Queue", state))))
	})

	// Guards against reports that are counted twice or dropped when the leader
	// refuses a request, and against a full lease for a host without the
	// newest version.
	ginkgo.It("relays confirmations and reports in one batch", func(ctx context.Context) {
		relay := node(2, Options{})
		relay.FetchLatest(ctx)
		control.leased = false
		relay.Report(Report{Model: "m", Version: "v", Requests: 1})
		relay.Confirm(ctx)
		Expect(reports).To(BeEmpty())
		control.leased = true
		var queued []*queuedConfirm
		for i, version := range []uint64{5, 4, 4} {
			p := &queuedConfirm{done: make(chan confirmResult, 1), req: &ConfirmRequest{
				Confirmations: []Confirmation{{Host: Host{Name: fmt.Sprint("x", i), Zone: "z"}, Version: version}},
				Reports:       []Report{{Model: "m", Version: "v", Zone: "z", Requests: 2, Errors: 1}},
			}}
			Expect(relay.queue.Offer(p)).To(BeTrue())
			queued = append(queued, p)
		}
		// x1 holds a lease from before version 5; x2 never confirmed.
		leader.registry.Confirm(1, 4, []Confirmation{{Host: Host{Name: "x1", Zone: "z"}, Version: 4}})
		leader.registry.Confirm(1, 5, nil)
		clock.Advance(3 * time.Second)
		relay.sendBatch(ctx)
		Expect(reports).To(Equal([]Report{{Model: "m", Version: "v", Zone: "z", Requests: 7, Errors: 3}}))
		Expect((<-queued[0].done).res.Leases).To(Equal([]time.Duration{LeaseTime}))
		Expect((<-queued[1].done).res.Leases).To(Equal([]time.Duration{LeaseTime - 3*time.Second}))
		Expect((<-queued[2].done).res.Leases).To(Equal([]time.Duration{0}))
	})
})
