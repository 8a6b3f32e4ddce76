package timekeeper_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/timekeeper"
)

func TestTimekeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timekeeper")
}

var _ = Describe("Fake", func() {
	// Guards against a timer that fires early or not at all, which would
	// invalidate every test that uses the fake clock.
	It("fires a timer exactly when it is due", func() {
		c := timekeeper.NewFake(time.Unix(100, 0))
		t := c.NewTimer(2 * time.Second)
		c.Advance(2*time.Second - 1)
		Expect(t.C()).NotTo(Receive())
		c.Advance(1)
		Expect(t.C()).To(Receive(Equal(time.Unix(102, 0))))
		Expect(t.Stop()).To(BeFalse())
	})

	// Guards against a test that advances the clock before the code under
	// test has created its timer.
	It("lets a test wait until a timer is pending", func(ctx context.Context) {
		c := &timekeeper.Fake{}
		done := make(chan error)
		go func() { done <- timekeeper.Sleep(ctx, c, time.Second) }()
		Expect(c.WaitTimers(ctx, 1)).To(Succeed())
		c.Advance(time.Second)
		Expect(<-done).To(Succeed())
	}, NodeTimeout(10*time.Second))

	It("does not fire a stopped timer", func() {
		c := &timekeeper.Fake{}
		t := c.NewTimer(time.Second)
		Expect(t.Stop()).To(BeTrue())
		c.Advance(time.Hour)
		Expect(t.C()).NotTo(Receive())
	})
})
