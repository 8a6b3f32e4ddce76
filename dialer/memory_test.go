package dialer_test

import (
	"bufio"
	"context"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/allotter"
	"foxtailwall/dialer"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

// Guards against responses that are read into memory that others hold, that are lost
// although memory becomes free in time, or that are blamed on the upstream if it does not.
var _ = Describe("A response for which there is no memory", func() {
	const total = 1 << 20
	pad := strings.Repeat("x", 200<<10)
	read := map[string]func(context.Context, *dialer.Dialer, *router.Attempt) error{
		"whole": func(ctx context.Context, d *dialer.Dialer, a *router.Attempt) error {
			a.Engine = false
			ans, err := d.Do(ctx, a)
			if err == nil {
				Expect(ans.Body).To(HaveLen(len(pad)))
			}
			return err
		},
		"a stream": func(ctx context.Context, d *dialer.Dialer, a *router.Attempt) error {
			s, err := d.Open(ctx, a)
			Expect(err).NotTo(HaveOccurred())
			defer s.Close()
			_, err = s.Next()
			return err
		},
	}
	DescribeTable("waits for it",
		func(ctx context.Context, how string, want router.FailKind, end func(clock *timekeeper.Fake, other *allotter.Share, cancel func())) {
			u := startUpstream(func(c net.Conn, r *bufio.Reader) {
				switch id := readAttemptID(r); how {
				case "whole":
					writeResponse(c, id, pad)
				default:
					writeStreamHeader(c, id)
					writeChunk(c, tokenChunk(id, pad))
				}
				readAttemptID(r)
			})
			memory := &allotter.Memory{Total: total}
			other := memory.NewShare()
			Expect(other.Grow(total * 7 / 8)).To(BeTrue())
			clock := timekeeper.NewFake(time.Unix(1000, 0))
			d := newDialer(dialer.Options{Clock: clock, Memory: memory})
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			var held allotter.Shares
			a := u.newAttempt("a")
			a.Deadline, a.Memory = clock.Now().Add(time.Minute), &held
			ended := make(chan error)
			go func() {
				defer GinkgoRecover()
				ended <- read[how](ctx, d, a)
			}()
			Eventually(held.Waiting, "10s").Should(BeTrue())
			// The wait is no sign that the upstream has stalled.
			Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
			clock.Advance(30 * time.Second)
			Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
			Expect(held.Waiting()).To(BeTrue())
			end(clock, &other, cancel)
			err := <-ended
			other.Release()
			if want == "" {
				Expect(err).NotTo(HaveOccurred())
				if how == "whole" {
					Expect(memory.Used()).To(BeNumerically(">=", len(pad)))
				}
				held.Release()
			} else {
				ae := expectAttemptError(err)
				Expect(ae.Kind).To(Equal(want))
				Expect(ae.Outcome).To(Equal(refuser.Unknown))
			}
			Expect(memory.Used()).To(BeZero())
		},
		Entry("until it is free", "whole", router.FailKind(""), releaseOther), Entry("until it is free, as a stream", "a stream", router.FailKind(""), releaseOther),
		Entry("until the deadline", "whole", router.FailMemory, passDeadline), Entry("until the deadline, as a stream", "a stream", router.FailMemory, passDeadline),
		Entry("until the caller disconnects", "whole", router.FailCancelled, disconnect),
		Entry("until the caller disconnects, as a stream", "a stream", router.FailCancelled, disconnect),
	)
})

func releaseOther(_ *timekeeper.Fake, other *allotter.Share, _ func()) { other.Release() }

func passDeadline(clock *timekeeper.Fake, _ *allotter.Share, _ func()) { clock.Advance(time.Minute) }

func disconnect(_ *timekeeper.Fake, _ *allotter.Share, cancel func()) { cancel() }
