package throttler_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/throttler"
)

func TestThrottler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "throttler")
}

// upstreams returns the number of upstreams to simulate, more if the variable
// FOXTAILWALL_SEEDS says so.
func upstreams() int {
	if n, err := strconv.Atoi(os.Getenv("FOXTAILWALL_SEEDS")); err == nil {
		return n
	}
	return 3
}

var _ = Describe("Pace", func() {
	const (
		step   = 20 * time.Millisecond
		length = 60 * time.Second
		window = 4 * time.Second
	)
	start := time.Unix(100, 0)

	// Guards against hosts that together exceed the limit of an upstream, however
	// small each one's share is, and against shares that round to nothing. Each host
	// sends whenever it may.
	DescribeTable("keeps a limit that many hosts share", func(hosts int, perSecond float64) {
		limit := throttler.Limit{PerSecond: perSecond, Hosts: hosts}
		allowed := 1.5*max(perSecond, 0.25)*window.Seconds() + 5
		sent := 0
		for upstream := range upstreams() {
			paces := make([]throttler.Pace, hosts)
			for i := range paces {
				paces[i].Reset(throttler.Phase(fmt.Sprint("host-", i), fmt.Sprint("upstream-", upstream)), start)
			}
			var recent []int // Requests by step, within the window.
			sum := 0
			for at := time.Duration(0); at < length; at += step {
				n := 0
				for i := range paces {
					limit.Rank = i + upstream
					for paces[i].Allows(limit, start.Add(at)) {
						paces[i].Take()
						n++
					}
				}
				recent, sum, sent = append(recent, n), sum+n, sent+n
				if len(recent) > int(window/step) {
					sum -= recent[0]
					recent = recent[1:]
				}
				Expect(float64(sum)).To(BeNumerically("<=", allowed), "upstream %d at %s", upstream, at)
			}
		}
		Expect(float64(sent)).To(BeNumerically(">=", 0.9*perSecond*(length-window).Seconds()*float64(upstreams())))
	},
		Entry("1 host, 2.1 a second", 1, 2.1),
		Entry("6 hosts, 2.1 a second", 6, 2.1),
		Entry("6 hosts, 0.3 a second", 6, 0.3),
		Entry("6 hosts, 40 a second", 6, 40.0),
		Entry("20 hosts, 5 a second", 20, 5.0),
		Entry("73 hosts, none", 73, 0.0),
		Entry("73 hosts, 2.1 a second", 73, 2.1),
		Entry("300 hosts, 0.5 a second", 300, 0.5),
		Entry("300 hosts, 2.1 a second", 300, 2.1),
		Entry("300 hosts, 300 a second", 300, 300.0),
	)

	// Guards against a limit that is exceeded while hosts restart in turn: each change
	// of the ranks makes other hosts senders, which have a permit at once.
	It("keeps a limit while the ranks of hosts shift", func() {
		const hosts, perSecond, shift = 300, 2.1, 4 * time.Second
		for upstream := range upstreams() {
			paces := make([]throttler.Pace, hosts)
			for i := range paces {
				paces[i].Reset(throttler.Phase(fmt.Sprint("host-", i), fmt.Sprint("upstream-", upstream)), start)
			}
			var sentAt []time.Duration
			for at := time.Duration(0); at < length; at += step {
				for i := range paces {
					limit := throttler.Limit{PerSecond: perSecond, Hosts: hosts, Rank: i + int(at/shift)}
					for paces[i].Allows(limit, start.Add(at)) {
						paces[i].Take()
						sentAt = append(sentAt, at)
					}
				}
				for len(sentAt) > 0 && sentAt[0] <= at-window {
					sentAt = sentAt[1:]
				}
				Expect(float64(len(sentAt))).To(BeNumerically("<=", 1.5*perSecond*window.Seconds()+5), "upstream %d at %s", upstream, at)
			}
		}
	})

	// Guards against a bound within a second, for cold upstreams, that is exceeded by hosts
	// whose permits come at the same time, after a quiet time and while the senders change.
	DescribeTable("keeps the bound of a short window", func(hosts int, perSecond float64) {
		const window, quiet, turn = time.Second, 7 * time.Second, 4 * time.Second
		const step, length = 10 * time.Millisecond, 30 * time.Second
		limit := throttler.Limit{PerSecond: perSecond, Hosts: hosts, Window: window, Factor: 1.5, Slack: 5, Hold: true}
		most := 0
		for upstream := range upstreams() {
			paces := make([]throttler.Pace, hosts)
			for i := range paces {
				paces[i].Reset(throttler.Phase(fmt.Sprint("host-", i), fmt.Sprint("upstream-", upstream)), start)
			}
			var sentAt []time.Duration
			sent := 0
			for at := time.Duration(0); at < length; at += step {
				if at%(2*quiet) < quiet/2 {
					continue
				}
				for i := range paces {
					// Hosts learn of a turn up to half a second apart.
					delay := time.Duration(i%50) * 10 * time.Millisecond
					limit.Rank = i + upstream + int((at+delay)/turn)
					for paces[i].Allows(limit, start.Add(at)) {
						paces[i].Take()
						sentAt = append(sentAt, at)
						sent++
					}
				}
				for len(sentAt) > 0 && sentAt[0] <= at-window {
					sentAt = sentAt[1:]
				}
				most = max(most, len(sentAt))
				Expect(float64(len(sentAt))).To(BeNumerically("<=", 1.5*perSecond+5), "upstream %d at %s", upstream, at)
			}
			Expect(float64(sent)).To(BeNumerically(">=", 0.6*perSecond*length.Seconds()), "the rate is used")
		}
		AddReportEntry(fmt.Sprintf("at most %d within a second", most))
	},
		Entry("1 host, 11 a second", 1, 11.0),
		Entry("6 hosts, 11 a second", 6, 11.0),
		Entry("6 hosts, 2 a second", 6, 2.0),
		Entry("6 hosts, 0.5 a second", 6, 0.5),
		Entry("78 hosts, 11 a second", 78, 11.0),
		Entry("78 hosts, 2 a second", 78, 2.0),
		Entry("78 hosts, 0.5 a second", 78, 0.5),
		Entry("300 hosts, 11 a second", 300, 11.0),
		Entry("300 hosts, 2 a second", 300, 2.0),
		Entry("300 hosts, 0.5 a second", 300, 0.5),
	)

	// Guards against settings that leave no slack for one request of each sender.
	It("keeps a bound with little slack", func() {
		limit := throttler.Limit{PerSecond: 2, Hosts: 6, Window: time.Second, Factor: 1, Hold: true}
		paces := make([]throttler.Pace, 6)
		var sentAt []time.Duration
		for at := time.Duration(0); at < length; at += step {
			for i := range paces {
				limit.Rank = i
				for paces[i].Allows(limit, start.Add(at)) {
					paces[i].Take()
					sentAt = append(sentAt, at)
				}
			}
			for len(sentAt) > 0 && sentAt[0] <= at-time.Second {
				sentAt = sentAt[1:]
			}
			Expect(len(sentAt)).To(BeNumerically("<=", 2))
		}
	})

	// Guards against a burst of all hosts after a time without requests.
	It("keeps no permits of a quiet time", func() {
		const hosts = 300
		limit := throttler.Limit{PerSecond: 2, Hosts: hosts}
		n := 0
		for i := range hosts {
			var p throttler.Pace
			p.Reset(throttler.Phase(fmt.Sprint("host-", i), "upstream"), start)
			limit.Rank = i
			for p.Allows(limit, start.Add(time.Hour)) {
				p.Take()
				n++
			}
		}
		Expect(n).To(BeNumerically("<=", 5))
	})

	// Guards against a host that has just started, and does not know its rank, that
	// sends beyond the shares of the others.
	It("allows nothing to one of many hosts without a rank", func() {
		var p throttler.Pace
		for at := range 100 {
			Expect(p.Allows(throttler.Limit{PerSecond: 2, Hosts: 300, Rank: -1}, start.Add(time.Duration(at)*time.Second))).To(BeFalse())
		}
	})

	It("is ready to use as a zero value", func() {
		var p throttler.Pace
		Expect(p.Allows(throttler.Limit{PerSecond: 10}, start)).To(BeFalse())
		Expect(p.Allows(throttler.Limit{PerSecond: 10}, start.Add(100*time.Millisecond))).To(BeTrue())
		p.Take()
		Expect(p.Allows(throttler.Limit{PerSecond: 10}, start.Add(100*time.Millisecond))).To(BeFalse())
	})
})
