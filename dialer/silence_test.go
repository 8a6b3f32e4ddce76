package dialer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/dialer"
)

// Guards against connections with running requests that the kernel ends because a sound
// upstream was silent for a moment, whenever that begins, and against dead ones that are
// found late. A silent link cannot be caused here without privileges, so the spec follows
// the timers of Linux. With TCP_USER_TIMEOUT set, the probe timer closes a connection once
// a probe is unanswered and the timeout has passed since data last came, whatever the
// number of probes; and lost bytes, sent again after 0.2 s, 0.6 s, 1.4 s, 3 s and so on,
// are given up at the timeout, without another try then.
var _ = Describe("Connections to upstreams", func() {
	const (
		interval  = time.Second
		firstSend = 200 * time.Millisecond
		silence   = 1500 * time.Millisecond
		dead      = 4 * time.Second
	)

	It("outlast a silence of a sound upstream and end soon after one that is dead", func() {
		sentAgain := firstSend
		for wait := 2 * firstSend; sentAgain < silence; wait *= 2 {
			sentAgain += wait
		}
		Expect(dialer.DefaultUserTimeout).To(BeNumerically(">", sentAgain), "unacknowledged bytes")
		Expect(dialer.DefaultUserTimeout).To(BeNumerically("<=", dead), "unacknowledged bytes")
		probes, closed := 1, dialer.DefaultKeepAliveIdle+interval
		for ; closed < dialer.DefaultUserTimeout; closed += interval {
			probes++
		}
		lost := int(silence/interval) + 1
		Expect(probes).To(BeNumerically(">", lost), "a probe before the end of an idle connection is answered")
		Expect(closed).To(BeNumerically("<=", dead), "idle connections")
	})
})
