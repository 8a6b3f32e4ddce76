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
	// fakeLedger is a control group that loses and repeats deliveries and
	// loses answers.
	fakeLedger struct {
		mu        sync.Mutex
		ledger    biller.Ledger
		clock     timekeeper.Clock
		rng       *rand.Rand
		delivered [][]biller.Record
		// down fails every delivery.
		down bool
	}

	// billingHost is a host that serves the witness procedures.
	billingHost struct {
		messenger.Witness
		box   *biller.Outbox
		bills *messenger.BillingClient
		scope counter.Scope
		close func() error
	}

	// billingHosts is a set of hosts that hold records for each other.
	billingHosts struct {
		clock  *timekeeper.Fake
		ledger *fakeLedger
		hosts  []*billingHost
		peers  map[netip.AddrPort]*messenger.Peer

		mu      sync.Mutex
		stopped map[*billingHost]bool
	}
)

func (f *fakeLedger) Bill(_ context.Context, recs []biller.Record) ([]biller.RefusedRecord, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errAnswerLost
	}
	f.delivered = append(f.delivered, recs)
	add := func(recs []biller.Record) []biller.RefusedRecord {
		return f.ledger.Add(recs, f.clock.Now(), biller.DefaultRetention)
	}
	switch f.rng.IntN(6) {
	case 0:
		return nil, errAnswerLost
	case 1:
		add(recs)
		return nil, errAnswerLost
	case 2:
		add(f.delivered[f.rng.IntN(len(f.delivered))])
	}
	return add(recs), nil
}

func (f *fakeLedger) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeLedger) billedRequests() (n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.ledger.Totals() {
		n += t.Requests
	}
	return n
}

// newBillingHosts starts one host for each zone given. The suffix +disk on a
// zone gives the host a disk.
func newBillingHosts(zones ...string) *billingHosts {
	b := &billingHosts{clock: timekeeper.NewFake(testStartTime), peers: map[netip.AddrPort]*messenger.Peer{}, stopped: map[*billingHost]bool{}}
	b.ledger = &fakeLedger{clock: b.clock, rng: rand.New(rand.NewPCG(7, 7))}
	for i, z := range zones {
		h := &billingHost{box: biller.NewOutbox(biller.OutboxOptions{}), scope: counter.NewTest("")}
		zone, disk := z, false
		if n := len(z) - len("+disk"); n > 0 && z[n:] == "+disk" {
			zone, disk = z[:n], true
		}
		mux := messenger.NewMux()
		messenger.HandleWitness(mux, h.box, b.clock)
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
		h.bills = messenger.NewBillingClient(messenger.BillingClientOptions{
			Name: h.Name, Zone: zone, Outbox: h.box, Control: b.ledger, Clock: b.clock, Scope: h.scope,
			Hosts: b.witnesses, Peer: func(a netip.AddrPort) *messenger.Peer { return b.peers[a] },
		})
		b.hosts = append(b.hosts, h)
	}
	return b
}

// dropRecords removes all records of the host, as a restart without a disk
// does.
func (h *billingHost) dropRecords(clock timekeeper.Clock) {
	all := h.box.Due(clock.Now().Add(biller.WitnessDelay), h.box.Len())
	Expect(h.box.Acknowledge(biller.Marks(all))).To(Succeed())
}

func (b *billingHosts) witnesses() []messenger.Witness {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []messenger.Witness
	for _, h := range b.hosts {
		if !b.stopped[h] {
			out = append(out, h.Witness)
		}
	}
	return out
}

// stop ends the server of a host and removes it from the list of live hosts.
func (b *billingHosts) stop(h *billingHost) {
	Expect(h.close()).To(Succeed())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped[h] = true
}

// hostsByRole returns the first host, which owns the records, its witness and a
// third host.
func (b *billingHosts) hostsByRole() (owner, witness, third *billingHost) {
	owner, witness, third = b.hosts[0], b.hosts[1], b.hosts[2]
	if witness.box.Len() == 0 {
		witness, third = third, witness
	}
	return owner, witness, third
}

// holdRecords has the first host hold n records.
func (b *billingHosts) holdRecords(ctx context.Context, n int) {
	for i := range n {
		held, err := b.hosts[0].bills.Hold(ctx, newRecord(fmt.Sprint(i), b.clock.Now()))
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeTrue())
	}
}

// startDeliveries starts the deliveries of the hosts and returns the function
// that ends them.
func (b *billingHosts) startDeliveries(hosts ...*billingHost) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for _, h := range hosts {
		wg.Go(func() { _ = h.bills.Run(ctx) })
	}
	return func() { cancel(); wg.Wait() }
}

var testStartTime = time.UnixMilli(1_800_000_000_000)

func newRecord(id string, at time.Time) biller.Record {
	return biller.Record{ID: id, Revision: 1, Workspace: "w", Member: "m", CostNanos: 1, Ending: biller.Complete, At: at}
}

var _ = Describe("BillingClient", func() {
	// Guards against a request that is billed twice or not at all when
	// deliveries and answers are lost or repeated and the owner of a record
	// crashes between the end of the response and the delivery.
	It("bills every answered request once even if an owner crashes", func(ctx context.Context) {
		const owners, each = 3, 60
		b := newBillingHosts("a", "a", "a", "b")
		crashed, survivors := b.hosts[0], b.hosts[1:]
		defer b.startDeliveries(survivors...)()
		var wg conc.WaitGroup
		for i, h := range b.hosts[:owners] {
			wg.Go(func() {
				for n := range each {
					held, err := h.bills.Hold(ctx, newRecord(fmt.Sprintf("h%d-%d", i, n), b.clock.Now()))
					Expect(err).NotTo(HaveOccurred())
					Expect(held).To(BeTrue())
				}
			})
		}
		wg.Wait()
		Expect(crashed.box.Len()).To(BeNumerically(">=", each), "the crashed owner delivers nothing")
		remaining := func() int {
			b.clock.Advance(100 * time.Millisecond)
			n := 0
			for _, h := range survivors {
				n += h.box.Len()
			}
			return n
		}
		Eventually(remaining).WithTimeout(30 * time.Second).Should(BeZero())
		Expect(b.ledger.billedRequests()).To(Equal(int64(owners * each)))
		Expect(b.ledger.ledger.Len()).To(Equal(owners * each))
	})

	// Guards against a record that is lost in a crash because its witness
	// fails with the owner or loses the record in a restart, although a better
	// witness was available.
	It("prefers witnesses in the zone with a disk, then any in the zone, then other zones", func(ctx context.Context) {
		b := newBillingHosts("a", "b+disk", "a", "a+disk")
		owner := b.hosts[0]
		for i, n := range []int{3, 2, 1} {
			held, err := owner.bills.Hold(ctx, newRecord(fmt.Sprint(i), b.clock.Now()))
			Expect(err).NotTo(HaveOccurred())
			Expect(held).To(BeTrue())
			Expect(b.hosts[n].box.Len()).To(Equal(1), "host %d", n)
			Expect(b.hosts[n].close()).To(Succeed())
		}
		held, err := owner.bills.Hold(ctx, newRecord("last", b.clock.Now()))
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeFalse())
		Expect(owner.scope.Snapshot()).To(ContainElement(And(
			HaveField("Name", "billing.single"), HaveField("Value", 1.0))))
	})

	// Guards against a witness that keeps delivered records until its memory
	// is full.
	It("releases the record at its witness after delivery", func(ctx context.Context) {
		b := newBillingHosts("a", "a")
		owner, witness := b.hosts[0], b.hosts[1]
		held, err := owner.bills.Hold(ctx, newRecord("x", b.clock.Now()))
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeTrue())
		Expect(witness.box.Len()).To(Equal(1))
		defer b.startDeliveries(owner)()
		Eventually(func() int {
			b.clock.Advance(10 * time.Millisecond)
			return witness.box.Len()
		}).Should(BeZero())
		Expect(b.ledger.billedRequests()).To(Equal(int64(1)))
	})

	// Guards against records that are lost when a host shuts down.
	It("delivers all held records when a host drains", func(ctx context.Context) {
		b := newBillingHosts("a", "a")
		owner, witness := b.hosts[0], b.hosts[1]
		for n := range 20 {
			_, err := owner.bills.Hold(ctx, newRecord(fmt.Sprint(n), b.clock.Now()))
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
		Expect(b.ledger.billedRequests()).To(Equal(int64(20)))
		Expect(witness.box.Len()).To(BeZero())
	})

	// Guards against records that are lost when first their owner and then
	// their witness drain while the control group cannot be reached, although
	// a third host of the zone is available; also when the deadline of the
	// drain has already passed.
	DescribeTable("hands records to other hosts when a host drains while the control group is unreachable",
		func(ctx context.Context, expired bool) {
			const records = 600 // More than one batch.
			b := newBillingHosts("a", "a", "a")
			b.ledger.setDown(true)
			b.holdRecords(ctx, records)
			owner, witness, third := b.hostsByRole()
			drainCtx, cancel := context.WithCancel(ctx)
			defer cancel()
			if expired {
				cancel()
			}
			Expect(owner.bills.Drain(drainCtx)).To(Succeed())
			Expect(third.box.Len()).To(Equal(records), "two hosts other than the owner hold the records")
			b.stop(owner)
			Expect(witness.bills.Drain(drainCtx)).To(Succeed())
			b.stop(witness)
			b.ledger.setDown(false)
			defer b.startDeliveries(third)()
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return third.box.Len()
			}).WithTimeout(30 * time.Second).Should(BeZero())
			Expect(b.ledger.billedRequests()).To(Equal(int64(records)))
		},
		Entry("before the deadline", false, NodeTimeout(time.Minute)),
		Entry("after the deadline", true, NodeTimeout(time.Minute)),
	)

	// Guards against a record that is lost because it arrives at a host after
	// its drain.
	It("accepts no records of other hosts after a drain", func(ctx context.Context) {
		b := newBillingHosts("a", "a")
		owner, witness := b.hosts[0], b.hosts[1]
		Expect(witness.bills.Drain(ctx)).To(Succeed())
		held, err := owner.bills.Hold(ctx, newRecord("late", b.clock.Now()))
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeFalse())
		Expect(witness.box.Len()).To(BeZero())
	})

	// Guards against records that are lost without being counted when no host
	// takes them over.
	It("counts the records that no host took over", func(ctx context.Context) {
		b := newBillingHosts("a", "a")
		b.ledger.setDown(true)
		b.holdRecords(ctx, 3)
		b.stop(b.hosts[1])
		endedCtx, cancel := context.WithCancel(ctx)
		cancel()
		Expect(b.hosts[0].bills.Drain(endedCtx)).To(MatchError(context.Canceled))
		Expect(b.hosts[0].box.Len()).To(Equal(3))
		Expect(b.hosts[0].scope.Snapshot()).To(ContainElement(And(
			HaveField("Name", "billing.abandoned"), HaveField("Value", 3.0))))
	}, NodeTimeout(time.Minute))

	// Guards against a record that only its owner holds for the whole length
	// of a partition because its witness has stopped or lost its memory.
	DescribeTable("renews the witness while the control group is unreachable",
		func(ctx context.Context, failWitness func(b *billingHosts, witness *billingHost), third bool) {
			b := newBillingHosts("a", "a", "a")
			b.ledger.setDown(true)
			b.holdRecords(ctx, 3)
			owner, witness, other := b.hostsByRole()
			failWitness(b, witness)
			defer b.startDeliveries(owner)()
			newWitness := witness
			if third {
				newWitness = other
			}
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return newWitness.box.Len()
			}).WithTimeout(30 * time.Second).Should(Equal(3))
			b.ledger.setDown(false)
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return newWitness.box.Len()
			}).WithTimeout(30 * time.Second).Should(BeZero())
			Expect(b.ledger.billedRequests()).To(Equal(int64(3)))
		},
		Entry("a witness that is no longer a live host", func(b *billingHosts, w *billingHost) { b.stop(w) }, true, NodeTimeout(time.Minute)),
		Entry("a witness that does not respond", func(_ *billingHosts, w *billingHost) { Expect(w.close()).To(Succeed()) }, true, NodeTimeout(time.Minute)),
		Entry("a witness that lost its records", func(b *billingHosts, w *billingHost) { w.dropRecords(b.clock) }, false, NodeTimeout(time.Minute)),
	)

	// Guards against an owner that sends its whole outbox to its witness at
	// every attempt during a long partition.
	It("limits the rate of renewals", func(ctx context.Context) {
		const records, batch, pause = 600, 512, time.Second
		b := newBillingHosts("a", "a")
		b.ledger.setDown(true)
		b.holdRecords(ctx, records)
		witness := b.hosts[1]
		witness.dropRecords(b.clock)
		b.clock.Advance(time.Minute)
		start := b.clock.Now()
		defer b.startDeliveries(b.hosts[0])()
		Eventually(func() int {
			n := witness.box.Len()
			Expect(n).To(BeNumerically("<=", batch*(1+int(b.clock.Since(start)/pause))))
			b.clock.Advance(50 * time.Millisecond)
			return n
		}).WithTimeout(30 * time.Second).Should(Equal(records))
	}, NodeTimeout(time.Minute))
})
