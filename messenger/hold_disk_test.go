package messenger_test

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
	"foxtailwall/counter"
	"foxtailwall/messenger"
	"foxtailwall/timekeeper"
)

// unreachableControl is a control group that cannot be reached.
type unreachableControl struct{}

func (unreachableControl) Bill(context.Context, []biller.Record) ([]biller.RefusedRecord, error) {
	return nil, &messenger.UncertainError{Err: context.DeadlineExceeded}
}

var _ = Describe("BillingClient on a host with a disk", func() {
	// Guards against losing a record when its owner and a witness without a
	// disk stop before the record is delivered.
	It("writes a record to the owner's disk before Hold returns", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		witness := biller.NewOutbox(biller.OutboxOptions{})
		mux := messenger.NewMux()
		messenger.HandleWitness(mux, witness, clock)
		peer := serve(mux)

		var disk [][]byte
		opts := biller.OutboxOptions{Append: func(b []byte) error {
			disk = append(disk, b)
			return nil
		}}
		bills := messenger.NewBillingClient(messenger.BillingClientOptions{
			Name: "a1", Zone: "a", Outbox: biller.NewOutbox(opts), Control: unreachableControl{}, Clock: clock,
			Hosts: func() []messenger.Witness { return []messenger.Witness{{Name: "a2", Zone: "a", Addr: peer.Addr()}} },
			Peer:  func(netip.AddrPort) *messenger.Peer { return peer },
		})
		rec := biller.Record{ID: "r1", Workspace: "w", Member: "m", CostNanos: 5, Ending: biller.Complete, At: time.Unix(999, 0).UTC()}
		Expect(bills.Hold(ctx, rec)).To(BeTrue())
		Expect(witness.Len()).To(Equal(1))

		restarted := biller.NewOutbox(opts)
		for _, b := range disk {
			Expect(restarted.Load(b, clock.Now())).To(Succeed())
		}
		due := restarted.Due(clock.Now().Add(biller.WitnessDelay), 10)
		Expect(due).To(ConsistOf(rec))
	}, NodeTimeout(30*time.Second))

	// Guards against responses that never end while the disk hangs.
	It("stops waiting for a disk that hangs when the context ends", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		witness := biller.NewOutbox(biller.OutboxOptions{})
		mux := messenger.NewMux()
		messenger.HandleWitness(mux, witness, clock)
		peer := serve(mux)
		unblockDisk, writeStarted := make(chan struct{}), make(chan struct{})
		DeferCleanup(func() { close(unblockDisk) })
		box := biller.NewOutbox(biller.OutboxOptions{Append: func([]byte) error {
			close(writeStarted)
			<-unblockDisk
			return nil
		}})
		scope := counter.NewTest("")
		bills := messenger.NewBillingClient(messenger.BillingClientOptions{
			Name: "a1", Zone: "a", Outbox: box, Control: unreachableControl{}, Clock: clock, Scope: scope,
			Hosts: func() []messenger.Witness { return []messenger.Witness{{Name: "a2", Zone: "a", Addr: peer.Addr()}} },
			Peer:  func(netip.AddrPort) *messenger.Peer { return peer },
		})
		holdCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		done := make(chan error, 1)
		go func() {
			held, err := bills.Hold(holdCtx, newRecord("r1", clock.Now()))
			if err == nil && !held {
				err = errAnswerLost
			}
			done <- err
		}()
		Eventually(writeStarted).Should(BeClosed())
		Eventually(witness.Len).Should(Equal(1))
		// The timer of the call is stopped once the witness has responded.
		Eventually(clock.Timers).Should(BeZero())
		Expect(done).NotTo(Receive())
		cancel()
		Eventually(done).Should(Receive(BeNil()))
		Expect(box.Due(clock.Now(), 10)).To(HaveLen(1), "this host owns the record")
		Expect(scope.Snapshot()).To(ContainElement(And(
			HaveField("Name", "billing.diskSlow"), HaveField("Value", 1.0))))
	}, NodeTimeout(30*time.Second))
})
