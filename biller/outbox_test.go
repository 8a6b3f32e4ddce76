package biller_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
)

var _ = Describe("Outbox after a crash", func() {
	// Guards against a host that fails at every start because acknowledged
	// records, which stay in the file until it is rewritten, count against the
	// capacity when the file is loaded.
	DescribeTable("loads a file with more records than the capacity",
		func(load func(*biller.Outbox, []byte, time.Time) error) {
			const capacity = 4
			now := time.Unix(1000, 0)
			var file [][]byte
			opts := biller.OutboxOptions{
				Capacity: capacity,
				Append:   func(b []byte) error { file = append(file, b); return nil },
				Rewrite:  func(b []byte) error { file = [][]byte{b}; return nil },
			}
			box := biller.NewOutbox(opts)
			for n := range capacity {
				old, rec := biller.Record{ID: fmt.Sprint("old", n)}, biller.Record{ID: fmt.Sprint("new", n)}
				Expect(box.Hold(now, []biller.Record{old})).To(Succeed())
				Expect(box.Acknowledge(biller.Marks([]biller.Record{old}))).To(Succeed())
				Expect(box.Hold(now, []biller.Record{rec})).To(Succeed())
			}
			restarted := biller.NewOutbox(opts)
			for _, b := range file {
				Expect(load(restarted, b, now)).To(Succeed())
			}
			due := restarted.Due(now.Add(biller.WitnessDelay), 100)
			for n := range capacity {
				Expect(due).To(ContainElement(HaveField("ID", fmt.Sprint("new", n))))
			}
			var full *biller.FullError
			Expect(restarted.AddOwned(biller.Record{ID: "more"})).To(BeAssignableToTypeOf(full))
		},
		Entry("each entry loaded once", (*biller.Outbox).Load),
		Entry("each entry loaded twice", func(o *biller.Outbox, b []byte, now time.Time) error {
			if err := o.Load(b, now); err != nil {
				return err
			}
			return o.Load(b, now)
		}),
	)
})
