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

// mutate returns the next version of v with some declarations changed.
func mutate(rng *rand.Rand, v declarer.View) declarer.View {
	next := declarer.View{Version: v.Version + 1 + rng.Uint64N(3), Config: v.Config, Progress: v.Progress}
	name := func() string { return fmt.Sprintf("n%d", rng.IntN(8)) }
	c := &next.Config
	for range 1 + rng.IntN(3) {
		switch rng.IntN(6) {
		case 0:
			w := declarer.Workspace{Name: name(), Share: rng.IntN(9), Quality: map[declarer.Kind]float64{"chat": rng.Float64()}}
			c.Workspaces = put(c.Workspaces, w, workspaceKey)
		case 1:
			m := declarer.Model{Name: name(), Versions: []declarer.Version{{Name: name(), Quality: rng.Float64()}}}
			c.Models = put(c.Models, m, modelKey)
		case 2:
			k := name()
			c.Upstreams = slices.DeleteFunc(slices.Clone(c.Upstreams), func(u declarer.Upstream) bool { return u.Name == k })
		case 3:
			u := declarer.Upstream{Name: name(), Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: rng.IntN(3)}
			c.Upstreams = put(c.Upstreams, u, upstreamKey)
		case 4:
			p := declarer.Progress{Model: name(), Version: "v", Share: rng.Float64(), Since: time.Unix(rng.Int64N(99), 5).UTC()}
			next.Progress = put(next.Progress, p, progressKey)
		case 5:
			c.Retention.Pins = time.Duration(rng.IntN(5))
		}
	}
	if rng.IntN(2) == 0 {
		next.Quarantined = []declarer.VersionRef{{Model: name(), Version: "v"}}
	}
	rng.Shuffle(len(c.Models), func(i, j int) { c.Models[i], c.Models[j] = c.Models[j], c.Models[i] })
	return next
}

func put[T any](vs []T, v T, key func(T) string) []T {
	return append(slices.DeleteFunc(slices.Clone(vs), func(o T) bool { return key(o) == key(v) }), v)
}

// wire passes an update through the codec, as the network does.
func wire(u *Update) *Update {
	b, err := canonical.Marshal(u)
	Expect(err).NotTo(HaveOccurred())
	out := &Update{}
	Expect(cbor.Unmarshal(b, out)).To(Succeed())
	return out
}

var _ = ginkgo.Describe("Holder", func() {
	// Guards against a host that steps back to an older version, be it by a
	// late message, another relay or a restart, and against a difference
	// that gives another view than the leader's.
	ginkgo.DescribeTable("only moves forward and ends with the leader's view", func(seed uint64) {
		rng := rand.New(rand.NewPCG(seed, seed))
		clock := &timekeeper.Fake{}
		disks := make([]*journaler.Memory, 5)
		holders := make([]*Holder, len(disks))
		boot := func(i int) {
			var err error
			holders[i], err = NewHolder(clock, disks[i], counter.Scope{}, zerolog.Nop())
			Expect(err).NotTo(HaveOccurred())
		}
		for i := range disks {
			disks[i] = &journaler.Memory{}
			boot(i)
		}
		var views []declarer.View
		var late []*Update
		reached := make([]uint64, len(holders))
		offer := func(i int, u *Update) {
			var be *BaseError
			if err := holders[i].Offer(wire(u)); err != nil {
				Expect(errors.As(err, &be)).To(BeTrue())
			}
			Expect(holders[i].Version()).To(BeNumerically(">=", reached[i]))
			reached[i] = holders[i].Version()
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
				Expect(holders[0].offerView(views[len(views)-1])).To(Succeed())
				reached[0] = holders[0].Version()
			case 1, 2:
				u := holders[from].since(holders[to].position())
				late = append(late, u)
				offer(to, u)
			case 3:
				if len(late) > 0 {
					offer(to, late[rng.IntN(len(late))])
				}
			case 4:
				disks[to].Crash(rng)
				boot(to)
				Expect(holders[to].Version()).To(Equal(reached[to]))
			}
			if c := holders[to].Catalog(); c != nil {
				i := slices.IndexFunc(views, func(v declarer.View) bool { return v.Version == c.View.Version })
				want, err := digest(Sorted(views[i]))
				Expect(err).NotTo(HaveOccurred())
				Expect(digest(c.View)).To(Equal(want))
			}
		}
		Expect(reached).To(HaveEach(BeNumerically(">", 0)))
	}, ginkgo.Entry("seed 1", uint64(1)), ginkgo.Entry("seed 2", uint64(2)), ginkgo.Entry("seed 3", uint64(3)))

	// Guards against a difference that is applied to another view of the same
	// version, as after the control group was set up anew.
	ginkgo.It("refuses a difference to a view that it does not have", func() {
		var hs [2]*Holder
		for i := range hs {
			var err error
			hs[i], err = NewHolder(&timekeeper.Fake{}, nil, counter.Scope{}, zerolog.Nop())
			Expect(err).NotTo(HaveOccurred())
			Expect(hs[i].offerView(declarer.View{Version: 1, Config: declarer.Config{Models: []declarer.Model{{Name: fmt.Sprint(i)}}}})).To(Succeed())
		}
		at := hs[0].position()
		Expect(hs[0].offerView(declarer.View{Version: 2})).To(Succeed())
		var be *BaseError
		Expect(errors.As(hs[1].Offer(hs[0].since(at)), &be)).To(BeTrue())
		Expect(hs[0].since(hs[1].position()).Full).NotTo(BeNil())
	})

	// Guards against a change whose cost grows with the whole configuration.
	ginkgo.It("sends a change as the declarations that differ", func() {
		h, err := NewHolder(&timekeeper.Fake{}, nil, counter.Scope{}, zerolog.Nop())
		Expect(err).NotTo(HaveOccurred())
		v := declarer.View{Version: 1}
		for i := range 500 {
			v.Config.Upstreams = append(v.Config.Upstreams, declarer.Upstream{Name: fmt.Sprint("u", i)})
		}
		Expect(h.offerView(v)).To(Succeed())
		at := h.position()
		v.Version, v.Config.Upstreams = 2, slices.Clone(v.Config.Upstreams)
		v.Config.Upstreams[7].Slots = 9
		Expect(h.offerView(v)).To(Succeed())
		u := h.since(at)
		Expect(u.Full).To(BeNil())
		Expect(u.Delta.Upstreams.Set).To(HaveLen(1))
	})
})

// naiveHost is a host with its own clock and the lease it believes in.
type naiveHost struct {
	Confirmation
	rate  float64
	until time.Duration
	dead  bool
}

var _ = ginkgo.Describe("Registry", func() {
	// Guards against a withdrawal that is said to be in force while a host
	// still uses the version under its lease.
	ginkgo.DescribeTable("says in force only once no host can use an older version", func(seed uint64) {
		rng := rand.New(rand.NewPCG(seed, seed))
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		now := time.Duration(0)
		pass := func(d time.Duration) { clock.Advance(d); now += d }
		hosts := make([]*naiveHost, 12)
		for i := range hosts {
			h := Host{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%3)}
			hosts[i] = &naiveHost{Confirmation: Confirmation{Host: h}, rate: 0.98 + 0.04*rng.Float64()}
		}
		type flight struct {
			at, sent time.Duration
			h        *naiveHost
			c        Confirmation
		}
		var flights []flight
		reg, term, current := NewRegistry(clock), uint64(1), uint64(1)
		answered := 0
		for range 20000 {
			pass(time.Duration(rng.IntN(60)) * time.Millisecond)
			h := hosts[rng.IntN(len(hosts))]
			switch k := rng.IntN(1000); {
			case k < 3:
				current++
			case k < 4:
				reg, term = NewRegistry(clock), term+1
				reg.Lead(term)
			case k < 14:
				h.dead = !h.dead
			case k < 60:
				h.Version = current
			default:
				if !h.dead {
					at := now + time.Duration(rng.IntN(1500))*time.Millisecond
					flights = append(flights, flight{at, now, h, h.Confirmation})
				}
			}
			flights = slices.DeleteFunc(flights, func(f flight) bool {
				if f.at > now {
					return false
				}
				d := reg.Confirm(term, current, []Confirmation{f.c})[0]
				// The host counts from the time it sent, by its own clock.
				f.h.until = max(f.h.until, f.sent+time.Duration(float64(d)/f.h.rate))
				return true
			})
			if s := reg.Standing(current, true); s.InForce {
				answered++
				for _, h := range hosts {
					if h.until > now {
						Expect(h.Version).To(BeNumerically(">=", current))
					}
				}
			}
		}
		Expect(answered).To(BeNumerically(">", 100))
	}, ginkgo.Entry("seed 1", uint64(1)), ginkgo.Entry("seed 2", uint64(2)), ginkgo.Entry("seed 3", uint64(3)), ginkgo.Entry("seed 4", uint64(4)))

	// Guards against a host that comes back with an older version, after a
	// restart or after its lease has ended, and gets a lease for a version
	// whose withdrawal was already said to be in force.
	ginkgo.DescribeTable("keeps a version in force when a host comes back with an older one", func(last uint64, silence time.Duration) {
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
		Expect(r.Standing(11, true).InForce).To(BeTrue())
		for range 3 {
			Expect(confirm(11, "b", 10)).To(BeZero())
			Expect(r.Standing(11, true).InForce).To(BeTrue())
			Expect(r.Standing(11, false).Pending).To(ConsistOf("b"))
			clock.Advance(time.Second)
			confirm(11, "a", 11)
		}
		Expect(confirm(11, "b", 11)).To(Equal(LeaseTime))
	},
		ginkgo.Entry("after its lease has ended", uint64(10), LeaseTime+leaseSlack),
		ginkgo.Entry("while the lease from before its restart runs", uint64(11), time.Second),
	)

	// Guards against leases that all end when the view changes each second.
	ginkgo.It("keeps the lease of a host that is one version behind", func() {
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

	// Guards against a partitioned zone that is taken for dead hosts, so that
	// status would not name it, and the other way round.
	ginkgo.It("tells a cut-off zone from dead hosts", func() {
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
		s := r.Standing(2, false)
		Expect(s).To(Equal(Standing{Version: 2, InForce: true, CutOff: []string{"z2"}}))
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
	// Guards against a zone that is cut off when the leader changes and that
	// status does not name, and against a host that was removed or never
	// started and blocks every change.
	ginkgo.It("names a configured zone that it never hears of, and waits a lease time for it", func() {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		a, gone := Host{Name: "a", Zone: "z1"}, Host{Name: "gone", Zone: "z1"}
		r := NewRegistry(clock, a, gone, Host{Name: "b", Zone: "z2"})
		for term := uint64(1); term <= 2; term++ {
			r.Lead(term)
			confirm := func() { r.Confirm(term, 7, []Confirmation{{Host: a, Version: 7}}) }
			confirm()
			for _, leased := range []bool{false, true} {
				Expect(r.Standing(7, leased)).To(Equal(Standing{Version: 7, Pending: []string{"b", "gone"}}))
			}
			Expect(r.Hosts()).To(HaveLen(3))
			Expect(r.Hosts()).To(HaveEach(HaveField("CutOff", false)))
			clock.Advance(LeaseTime + leaseSlack)
			confirm()
			for _, leased := range []bool{false, true} {
				Expect(r.Standing(7, leased)).To(Equal(Standing{Version: 7, InForce: true, CutOff: []string{"z2"}}))
			}
			Expect(r.Confirm(term, 7, []Confirmation{{Host: gone, Version: 6}})).To(Equal([]time.Duration{0}))
			Expect(r.Standing(7, true).InForce).To(BeTrue())
			clock.Advance(forgetAfter + time.Second)
			confirm()
			Expect(r.Hosts()).To(HaveExactElements(HaveField("Host", a), HaveField("Host.Name", "b")))
		}
	})
})

var _ = ginkgo.Describe("relays", func() {
	// Guards against hosts that disagree on the relays of their zone and so
	// load the control group, and against control hosts as relays.
	ginkgo.It("are the same two for every host of a zone, and spread the others", func() {
		var hs []Host
		for i := range 60 {
			hs = append(hs, Host{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%2), Control: i < 20})
		}
		first := make(map[string]int)
		for _, h := range hs[20:] {
			rs := relays(hs, "z1", h.Name)
			Expect(rs).To(ConsistOf(relays(hs, "z1", "x")))
			Expect(rs).To(HaveEach(And(HaveField("Zone", "z1"), HaveField("Control", false))))
			first[rs[0].Name]++
		}
		for i := range hs {
			hs[i].Control = hs[i].Control || first[hs[i].Name] > 0
		}
		Expect(relays(hs, "z1", "x")).To(HaveEach(HaveField("Control", false)))
		Expect(first).To(HaveLen(2))
		Expect(first).To(HaveEach(BeNumerically(">", 8)))
	})
})

type (
	// localNet connects nodes by direct calls; unreachable pairs fail.
	localNet struct {
		mu    sync.Mutex
		nodes map[netip.AddrPort]*Node
		cut   func(to netip.AddrPort) bool
	}

	fakeControl struct {
		view   declarer.View
		leased bool
	}
)

func (l *localNet) node(to netip.AddrPort) (*Node, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.nodes[to]; n != nil && !l.cut(to) {
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
	return wire(n.HandleLatest(r)), nil
}

func (f *fakeControl) View() declarer.View               { return f.view }
func (f *fakeControl) Changed() <-chan struct{}          { return nil }
func (f *fakeControl) Leading() (uint64, bool)           { return 1, true }
func (f *fakeControl) Leased() bool                      { return f.leased }
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
		network = &localNet{nodes: make(map[netip.AddrPort]*Node), cut: func(netip.AddrPort) bool { return false }}
		control = &fakeControl{view: declarer.View{Version: 5}, leased: true}
		leader = node(1, Options{Source: control, Group: control, OnReports: func(rs []Report) { reports = append(reports, rs...) }})
		Expect(leader.holder.offerView(control.view)).To(Succeed())
	})

	// Guards against a host in a partitioned zone that starts with an older
	// version than its zone holds, or without any.
	ginkgo.It("takes the highest version of its zone when cut off", func(ctx context.Context) {
		a, b := node(2, Options{}), node(3, Options{})
		Expect(a.holder.offerView(declarer.View{Version: 3})).To(Succeed())
		Expect(b.holder.offerView(declarer.View{Version: 4})).To(Succeed())
		network.cut = func(to netip.AddrPort) bool { return to == addr(1) }
		c := node(4, Options{})
		c.Gather(ctx)
		Expect(c.Holder().Version()).To(Equal(uint64(4)))
		a.Confirm(ctx)
		Expect(a.Holder().Version()).To(Equal(uint64(4)))
		Expect(a.Holder().Leased()).To(BeFalse())
	})

	// Guards against a host that stays behind while the relay that it watches
	// is paused.
	ginkgo.It("asks others when it still lacks a version known before", func(ctx context.Context) {
		a := node(2, Options{})
		a.Gather(ctx)
		control.view = declarer.View{Version: 6}
		Expect(leader.holder.offerView(control.view)).To(Succeed())
		a.Confirm(ctx)
		Expect(a.Holder().Version()).To(Equal(uint64(5)))
		a.Confirm(ctx)
		Expect(a.Holder().Version()).To(Equal(uint64(6)))
	})

	// Guards against a lease that outlives LeaseTime, or that a leader grants
	// after its own lease has ended.
	ginkgo.It("holds a lease for LeaseTime, from a leased leader only", func(ctx context.Context) {
		a := node(2, Options{})
		a.Gather(ctx)
		a.Confirm(ctx)
		clock.Advance(LeaseTime - 1)
		Expect(a.Holder().Leased()).To(BeTrue())
		control.leased = false
		a.Confirm(ctx)
		clock.Advance(1)
		Expect(a.Holder().Leased()).To(BeFalse())
	})

	// Guards against reports that are counted twice or dropped when the
	// leader refuses, and against a lease for a host that lags for long.
	ginkgo.It("relays confirmations and reports in one batch", func(ctx context.Context) {
		relay := node(2, Options{})
		relay.Gather(ctx)
		control.leased = false
		relay.Report(Report{Model: "m", Version: "v", Requests: 1})
		relay.Confirm(ctx)
		Expect(reports).To(BeEmpty())
		control.leased = true
		var asked []*pending
		for i, version := range []uint64{5, 4, 4} {
			p := &pending{done: make(chan confirmed, 1), req: &ConfirmRequest{
				Confirmations: []Confirmation{{Host: Host{Name: fmt.Sprint("x", i), Zone: "z"}, Version: version}},
				Reports:       []Report{{Model: "m", Version: "v", Zone: "z", Requests: 2, Errors: 1}},
			}}
			Expect(relay.gathered.Offer(p)).To(BeTrue())
			asked = append(asked, p)
		}
		// x1 holds a lease from before version 5; x2 was never heard of.
		leader.registry.Confirm(1, 4, []Confirmation{{Host: Host{Name: "x1", Zone: "z"}, Version: 4}})
		leader.registry.Confirm(1, 5, nil)
		clock.Advance(3 * time.Second)
		relay.relay(ctx)
		Expect(reports).To(Equal([]Report{{Model: "m", Version: "v", Zone: "z", Requests: 7, Errors: 3}}))
		Expect((<-asked[0].done).res.Leases).To(Equal([]time.Duration{LeaseTime}))
		Expect((<-asked[1].done).res.Leases).To(Equal([]time.Duration{LeaseTime - 3*time.Second}))
		Expect((<-asked[2].done).res.Leases).To(Equal([]time.Duration{0}))
	})
})
