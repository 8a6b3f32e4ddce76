package messenger_test

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
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
	// a disk stop before the control group has it: killing both hosts of a
	// zone within two seconds lost one (seed 11 of the process test).
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
})
