package starter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/starter"
)

// Guards against connections with running requests that the kernel ends because a sound
// upstream was silent for a moment, and against dead ones that are found late. A silent
// link cannot be caused here without privileges, so the spec follows tcp_keepalive_timer
// and tcp_retransmit_timer of Linux: with TCP_USER_TIMEOUT set, the probe timer closes
// the connection once a probe is unanswered and the timeout has passed since data last
// came, whatever the number of probes.
var _ = Describe("The connections of an entry to upstreams", func() {
	const (
		interval = time.Second
		silence  = 1500 * time.Millisecond
		dead     = 3 * time.Second
	)

	It("outlast a silence of a sound upstream and end soon after one that is dead", func() {
		Expect(starter.TCPUserTimeout).To(BeNumerically(">", silence), "unacknowledged bytes")
		Expect(starter.TCPUserTimeout).To(BeNumerically("<=", dead), "unacknowledged bytes")
		closed := starter.UpstreamKeepAliveIdle + interval
		for closed < starter.TCPUserTimeout {
			closed += interval
		}
		lastProbe := closed - interval
		Expect(lastProbe).To(BeNumerically(">=", silence), "the last probe before the end of an idle connection is answered")
		Expect(closed).To(BeNumerically("<=", dead), "idle connections")
	})
})
