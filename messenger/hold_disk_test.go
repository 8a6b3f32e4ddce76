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

// stoppedControl is a control group that cannot be reached.
type stoppedControl struct{}

func (stoppedControl) Bill(context.Context, []biller.Record) ([]biller.Refused, error) {
	return nil, &messenger.UncertainError{Err: context.DeadlineExceeded}
}

var _ = Describe("Bills on a host with a disk", func() {
	// Guards against a bill that is lost when its owner and a witness without
	// a disk stop before the control group has it.
	It("puts a record on the owner's disk before the answer ends", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		witness := biller.NewOutbox(biller.OutboxOptions{})
		mux := messenger.NewMux()
		messenger.HandleHold(mux, witness, clock)
		peer := serve(mux)

		var disk [][]byte
		opts := biller.OutboxOptions{Append: func(b []byte) error {
			disk = append(disk, b)
			return nil
		}}
		bills := messenger.NewBills(messenger.BillsOptions{
			Name: "a1", Zone: "a", Outbox: biller.NewOutbox(opts), Control: stoppedControl{}, Clock: clock,
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

	// Guards against answers that wait for ever while the disk hangs.
	It("goes on without a disk that hangs when the bound passes", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		witness := biller.NewOutbox(biller.OutboxOptions{})
		mux := messenger.NewMux()
		messenger.HandleHold(mux, witness, clock)
		peer := serve(mux)
		disk, entered := make(chan struct{}), make(chan struct{})
		DeferCleanup(func() { close(disk) })
		box := biller.NewOutbox(biller.OutboxOptions{Append: func([]byte) error {
			close(entered)
			<-disk
			return nil
		}})
		scope := counter.NewTest("")
		bills := messenger.NewBills(messenger.BillsOptions{
			Name: "a1", Zone: "a", Outbox: box, Control: stoppedControl{}, Clock: clock, Scope: scope,
			Hosts: func() []messenger.Witness { return []messenger.Witness{{Name: "a2", Zone: "a", Addr: peer.Addr()}} },
			Peer:  func(netip.AddrPort) *messenger.Peer { return peer },
		})
		bounded, pass := context.WithCancel(ctx)
		defer pass()
		done := make(chan error, 1)
		go func() {
			held, err := bills.Hold(bounded, bill("r1", clock.Now()))
			if err == nil && !held {
				err = errLost
			}
			done <- err
		}()
		Eventually(entered).Should(BeClosed())
		Eventually(witness.Len).Should(Equal(1))
		// The witness has answered once its timer is stopped.
		Eventually(clock.Timers).Should(BeZero())
		Expect(done).NotTo(Receive())
		pass()
		Eventually(done).Should(Receive(BeNil()))
		Expect(box.Due(clock.Now(), 10)).To(HaveLen(1), "the record is one of this host")
		Expect(scope.Snapshot()).To(ContainElement(And(
			HaveField("Name", "billing.diskSlow"), HaveField("Value", 1.0))))
	}, NodeTimeout(30*time.Second))
})
