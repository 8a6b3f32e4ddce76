package messenger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailwall/biller"
	"foxtailwall/counter"
	"foxtailwall/messenger"
	"foxtailwall/timekeeper"
)

type (
	// ledgerFake is a control group that loses deliveries and answers.
	ledgerFake struct {
		mu     sync.Mutex
		ledger biller.Ledger
		clock  timekeeper.Clock
		rng    *rand.Rand
		past   [][]biller.Record
		// down refuses every delivery.
		down bool
	}

	// billingHost is a host with its witness procedures.
	billingHost struct {
		messenger.Witness
		box   *biller.Outbox
		bills *messenger.Bills
		scope counter.Scope
		close func() error
	}

	// billing is a set of hosts that hold records for each other.
	billing struct {
		clock  *timekeeper.Fake
		ledger *ledgerFake
		hosts  []*billingHost
		peers  map[netip.AddrPort]*messenger.Peer

		mu   sync.Mutex
		gone map[*billingHost]bool
	}
)

func (f *ledgerFake) Bill(_ context.Context, recs []biller.Record) ([]biller.Refused, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errLost
	}
	f.past = append(f.past, recs)
	add := func(recs []biller.Record) []biller.Refused {
		return f.ledger.Add(recs, f.clock.Now(), biller.DefaultRetention)
	}
	switch f.rng.IntN(6) {
	case 0:
		return nil, errLost
	case 1:
		add(recs)
		return nil, errLost
	case 2:
		add(f.past[f.rng.IntN(len(f.past))])
	}
	return add(recs), nil
}

func (f *ledgerFake) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *ledgerFake) requests() (n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.ledger.Totals() {
		n += t.Requests
	}
	return n
}

// newBilling starts one host for each zone given; a name that ends in +disk
// has a disk.
func newBilling(zones ...string) *billing {
	b := &billing{clock: timekeeper.NewFake(epochOfTest), peers: map[netip.AddrPort]*messenger.Peer{}, gone: map[*billingHost]bool{}}
	b.ledger = &ledgerFake{clock: b.clock, rng: rand.New(rand.NewPCG(7, 7))}
	for i, z := range zones {
		h := &billingHost{box: biller.NewOutbox(biller.OutboxOptions{}), scope: counter.NewTest("")}
		zone, disk := z, false
		if n := len(z) - len("+disk"); n > 0 && z[n:] == "+disk" {
			zone, disk = z[:n], true
		}
		mux := messenger.NewMux()
		messenger.HandleHold(mux, h.box, b.clock)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		srv := messenger.NewServer(mux, nil)
		go srv.Serve(ln)
		h.close = srv.Close
		DeferCleanup(srv.Close)
		a := netip.MustParseAddrPort(ln.Addr().String())
		h.Witness = messenger.Witness{Name: fmt.Sprintf("h%d", i), Zone: zone, Addr: a, Disk: disk}
		b.peers[a] = messenger.NewPeer(a, nil)
		DeferCleanup(b.peers[a].Close)
		h.bills = messenger.NewBills(messenger.BillsOptions{
			Name: h.Name, Zone: zone, Outbox: h.box, Control: b.ledger, Clock: b.clock, Scope: h.scope,
			Hosts: b.witnesses, Peer: func(a netip.AddrPort) *messenger.Peer { return b.peers[a] },
		})
		b.hosts = append(b.hosts, h)
	}
	return b
}

// forget loses what the host holds, as a restart without a disk does.
func (h *billingHost) forget(clock timekeeper.Clock) {
	all := h.box.Due(clock.Now().Add(biller.WitnessDelay), h.box.Len())
	Expect(h.box.Acknowledge(biller.Marks(all))).To(Succeed())
}

func (b *billing) witnesses() []messenger.Witness {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []messenger.Witness
	for _, h := range b.hosts {
		if !b.gone[h] {
			out = append(out, h.Witness)
		}
	}
	return out
}

// stop ends the server of a host and takes it off the list of live hosts.
func (b *billing) stop(h *billingHost) {
	Expect(h.close()).To(Succeed())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gone[h] = true
}

// others returns the first host, which owns the records, its witness and a
// third host.
func (b *billing) others() (owner, witness, third *billingHost) {
	owner, witness, third = b.hosts[0], b.hosts[1], b.hosts[2]
	if witness.box.Len() == 0 {
		witness, third = third, witness
	}
	return owner, witness, third
}

// holdMany has the first host hold n records.
func (b *billing) holdMany(ctx context.Context, n int) {
	for i := range n {
		held, err := b.hosts[0].bills.Hold(ctx, bill(fmt.Sprint(i), b.clock.Now()))
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeTrue())
	}
}

// run starts the deliveries of the hosts and returns the function that ends
// them.
func (b *billing) run(hosts ...*billingHost) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for _, h := range hosts {
		wg.Go(func() { _ = h.bills.Run(ctx) })
	}
	return func() { cancel(); wg.Wait() }
}

var epochOfTest = time.UnixMilli(1_800_000_000_000)

func bill(id string, at time.Time) biller.Record {
	return biller.Record{ID: id, Revision: 1, Workspace: "w", Member: "m", CostNanos: 1, Ending: biller.Complete, At: at}
}

var _ = Describe("Bills", func() {
	// Guards against a request that is billed twice or not at all when
	// deliveries and answers are lost and repeated, and when the owner of a
	// record stops between the end of its response and the delivery.
	It("bills every answered request once, although an owner stops", func(ctx context.Context) {
		const owners, each = 3, 60
		b := newBilling("a", "a", "a", "b")
		crashed, survivors := b.hosts[0], b.hosts[1:]
		defer b.run(survivors...)()
		var wg conc.WaitGroup
		for i, h := range b.hosts[:owners] {
			wg.Go(func() {
				for n := range each {
					held, err := h.bills.Hold(ctx, bill(fmt.Sprintf("h%d-%d", i, n), b.clock.Now()))
					Expect(err).NotTo(HaveOccurred())
					Expect(held).To(BeTrue())
				}
			})
		}
		wg.Wait()
		Expect(crashed.box.Len()).To(BeNumerically(">=", each), "the stopped owner delivers nothing")
		left := func() int {
			b.clock.Advance(100 * time.Millisecond)
			n := 0
			for _, h := range survivors {
				n += h.box.Len()
			}
			return n
		}
		Eventually(left).WithTimeout(30 * time.Second).Should(BeZero())
		Expect(b.ledger.requests()).To(Equal(int64(owners * each)))
		Expect(b.ledger.ledger.Len()).To(Equal(owners * each))
	})

	// Guards against a record that survives no crash because its witness
	// shares the owner's fate or forgets it in a restart, while a better one
	// was at hand.
	It("prefers a disk in the zone, then the zone, then other zones", func(ctx context.Context) {
		b := newBilling("a", "b+disk", "a", "a+disk")
		owner := b.hosts[0]
		for i, n := range []int{3, 2, 1} {
			held, err := owner.bills.Hold(ctx, bill(fmt.Sprint(i), b.clock.Now()))
			Expect(err).NotTo(HaveOccurred())
			Expect(held).To(BeTrue())
			Expect(b.hosts[n].box.Len()).To(Equal(1), "host %d", n)
			Expect(b.hosts[n].close()).To(Succeed())
		}
		held, err := owner.bills.Hold(ctx, bill("last", b.clock.Now()))
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeFalse())
		Expect(owner.scope.Snapshot()).To(ContainElement(And(
			HaveField("Name", "billing.single"), HaveField("Value", 1.0))))
	})

	// Guards against a witness that keeps what was delivered until its
	// memory is full.
	It("releases the witness once the record was delivered", func(ctx context.Context) {
		b := newBilling("a", "a")
		owner, witness := b.hosts[0], b.hosts[1]
		held, err := owner.bills.Hold(ctx, bill("x", b.clock.Now()))
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeTrue())
		Expect(witness.box.Len()).To(Equal(1))
		defer b.run(owner)()
		Eventually(func() int {
			b.clock.Advance(10 * time.Millisecond)
			return witness.box.Len()
		}).Should(BeZero())
		Expect(b.ledger.requests()).To(Equal(int64(1)))
	})

	// Guards against records that are lost when a host shuts down.
	It("hands over everything that is held when a host ends", func(ctx context.Context) {
		b := newBilling("a", "a")
		owner, witness := b.hosts[0], b.hosts[1]
		for n := range 20 {
			_, err := owner.bills.Hold(ctx, bill(fmt.Sprint(n), b.clock.Now()))
			Expect(err).NotTo(HaveOccurred())
		}
		var wg conc.WaitGroup
		done := make(chan struct{})
		wg.Go(func() {
			defer close(done)
			Expect(witness.bills.Drain(ctx)).To(Succeed())
		})
		Eventually(func() <-chan struct{} {
			b.clock.Advance(100 * time.Millisecond)
			return done
		}).Should(BeClosed())
		wg.Wait()
		Expect(b.ledger.requests()).To(Equal(int64(20)))
		Expect(witness.box.Len()).To(BeZero())
	})

	// Guards against records that are lost when first their owner and then
	// their witness drain while the control group cannot be reached, although
	// a third host of the zone is there; also when the time for the drain has
	// already passed.
	DescribeTable("hands records to other hosts when a host drains without a control group",
		func(ctx context.Context, expired bool) {
			const records = 600 // More than one batch.
			b := newBilling("a", "a", "a")
			b.ledger.setDown(true)
			b.holdMany(ctx, records)
			owner, witness, third := b.others()
			limit, cancel := context.WithCancel(ctx)
			defer cancel()
			if expired {
				cancel()
			}
			Expect(owner.bills.Drain(limit)).To(Succeed())
			Expect(third.box.Len()).To(Equal(records), "two hosts hold the records without the owner")
			b.stop(owner)
			Expect(witness.bills.Drain(limit)).To(Succeed())
			b.stop(witness)
			b.ledger.setDown(false)
			defer b.run(third)()
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return third.box.Len()
			}).WithTimeout(30 * time.Second).Should(BeZero())
			Expect(b.ledger.requests()).To(Equal(int64(records)))
		},
		Entry("in time", false, NodeTimeout(time.Minute)),
		Entry("after its time has passed", true, NodeTimeout(time.Minute)),
	)

	// Guards against a record that arrives at a draining host behind its drain
	// and is lost with it.
	It("refuses to hold records on a host that drains", func(ctx context.Context) {
		b := newBilling("a", "a")
		owner, witness := b.hosts[0], b.hosts[1]
		Expect(witness.bills.Drain(ctx)).To(Succeed())
		held, err := owner.bills.Hold(ctx, bill("late", b.clock.Now()))
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeFalse())
		Expect(witness.box.Len()).To(BeZero())
	})

	// Guards against records that no host took and nobody counted.
	It("counts the records that no host took over", func(ctx context.Context) {
		b := newBilling("a", "a")
		b.ledger.setDown(true)
		b.holdMany(ctx, 3)
		b.stop(b.hosts[1])
		ended, cancel := context.WithCancel(ctx)
		cancel()
		Expect(b.hosts[0].bills.Drain(ended)).To(MatchError(context.Canceled))
		Expect(b.hosts[0].box.Len()).To(Equal(3))
		Expect(b.hosts[0].scope.Snapshot()).To(ContainElement(And(
			HaveField("Name", "billing.abandoned"), HaveField("Value", 3.0))))
	}, NodeTimeout(time.Minute))

	// Guards against a record that only its owner holds for the whole length
	// of a partition, because its witness stopped or lost its memory.
	DescribeTable("renews the witness while the control group is out of reach",
		func(ctx context.Context, lose func(b *billing, witness *billingHost), third bool) {
			b := newBilling("a", "a", "a")
			b.ledger.setDown(true)
			b.holdMany(ctx, 3)
			owner, witness, other := b.others()
			lose(b, witness)
			defer b.run(owner)()
			heir := witness
			if third {
				heir = other
			}
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return heir.box.Len()
			}).WithTimeout(30 * time.Second).Should(Equal(3))
			b.ledger.setDown(false)
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return heir.box.Len()
			}).WithTimeout(30 * time.Second).Should(BeZero())
			Expect(b.ledger.requests()).To(Equal(int64(3)))
		},
		Entry("a witness that left", func(b *billing, w *billingHost) { b.stop(w) }, true, NodeTimeout(time.Minute)),
		Entry("a witness that does not answer", func(_ *billing, w *billingHost) { Expect(w.close()).To(Succeed()) }, true, NodeTimeout(time.Minute)),
		Entry("a witness that lost its memory", func(b *billing, w *billingHost) { w.forget(b.clock) }, false, NodeTimeout(time.Minute)),
	)

	// Guards against an owner that floods its witness with its whole outbox at
	// every attempt of a long partition.
	It("bounds the rate of renewals", func(ctx context.Context) {
		const records, batch, pause = 600, 512, time.Second
		b := newBilling("a", "a")
		b.ledger.setDown(true)
		b.holdMany(ctx, records)
		witness := b.hosts[1]
		witness.forget(b.clock)
		b.clock.Advance(time.Minute)
		start := b.clock.Now()
		defer b.run(b.hosts[0])()
		Eventually(func() int {
			n := witness.box.Len()
			Expect(n).To(BeNumerically("<=", batch*(1+int(b.clock.Since(start)/pause))))
			b.clock.Advance(50 * time.Millisecond)
			return n
		}).WithTimeout(30 * time.Second).Should(Equal(records))
	}, NodeTimeout(time.Minute))
})
