package admitter_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdmitter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admitter")
}

const (
	// ordinarySeeds is the number of replays of an ordinary load.
	ordinarySeeds = 4
	// leastShare is the part of what the current rule serves that admission must serve in
	// each pattern. During an outage, refused callers may return late.
	leastShare = 0.97
)

func (f figures) String() string {
	return fmt.Sprintf("offered %d, served %d, in time %d, refused %d, late %d, failed %d, queued %d, across zones %d, prefix tokens read %.0f, mean first byte %s",
		f.offered, f.served, f.inTime, f.refused, f.late, f.failed, f.queued, f.crossZone, f.reread, f.meanFirstByte())
}

func (f *figures) add(o figures) {
	f.offered, f.served, f.inTime, f.refused, f.late = f.offered+o.offered, f.served+o.served, f.inTime+o.inTime, f.refused+o.refused, f.late+o.late
	f.failed, f.queued, f.crossZone, f.reread = f.failed+o.failed, f.queued+o.queued, f.crossZone+o.crossZone, f.reread+o.reread
	f.firstBytes += o.firstBytes
}

func (f figures) meanFirstByte() time.Duration { return f.firstBytes / time.Duration(f.served) }

// deployedKinds returns the kinds of docs/hard-load.md.
func deployedKinds(long, short, chat float64, objectives [3]time.Duration, longGroups int) []kind {
	return []kind{
		{name: "long", perSecond: long, shared: 6300, own: 2890, output: 10, objective: objectives[0], deadline: 10 * time.Second, groups: longGroups, priority: 2},
		{name: "short", perSecond: short, shared: 568, own: 1800, output: 5, objective: objectives[1], deadline: 6 * time.Second, groups: 80, priority: 1},
		{name: "chat", perSecond: chat, shared: 172, own: 543, output: 56, objective: objectives[2], deadline: 25 * time.Second, groups: 80},
	}
}

// tickets returns the load of the deployment, multiplied, on fewer engines and hosts.
func tickets(name string, factor float64) pattern {
	return pattern{
		name: name, zones: 3, engines: 12, hosts: 15, slots: 16, memory: 245_000, seconds: 12,
		kinds: deployedKinds(factor*12, factor*26, factor*14, [3]time.Duration{2 * time.Second, 4 * time.Second, 1500 * time.Millisecond}, 20),
	}
}

func between(at time.Duration, from, to float64) bool {
	return at.Seconds() >= from && at.Seconds() < to
}

// ordinaryLoads are those of the two deployments, and that of fewer engines.
var ordinaryLoads = func() []pattern {
	few := tickets("ordinary load", 1)
	tickets := pattern{
		name: "ordinary load of 60 engines", zones: 3, engines: 60, hosts: 78, slots: 64, memory: 323_302, seconds: 4,
		kinds: deployedKinds(61.2, 130, 69, [3]time.Duration{2 * time.Second, 4 * time.Second, 1500 * time.Millisecond}, 878),
	}
	results := pattern{
		name: "ordinary load of 140 engines", zones: 3, engines: 140, hosts: 65, slots: 16, memory: 244_981, seconds: 4,
		kinds: deployedKinds(176, 136, 87.7, [3]time.Duration{3 * time.Second, 2 * time.Second, 1500 * time.Millisecond}, 4),
		speed: func(i int, _ time.Duration) float64 { return []float64{0.6, 0.8, 1, 1.2, 1.6}[i%5] },
	}
	return []pattern{few, tickets, results}
}()

var patterns = func() []pattern {
	burst := tickets("a burst of the short kind beside more expensive ones", 3)
	burst.rate = func(k kind, _ int, at time.Duration) float64 {
		if k.name == "short" && between(at, 4, 8) {
			return 6
		}
		return 1
	}
	waves := tickets("a load wave by zone, out of phase", 5)
	waves.rate = func(_ kind, zone int, at time.Duration) float64 {
		return 1 + 0.8*math.Sin(at.Seconds()+2*float64(zone))
	}
	speeds := tickets("fast, slow and briefly slow upstreams", 5.5)
	speeds.speed = func(i int, at time.Duration) float64 {
		if i == 5 && between(at, 4, 7) {
			return 0.15
		}
		return []float64{0.6, 0.8, 1, 1.2, 1.6}[i%5]
	}
	memory := tickets("token memory exhausted while slots are free", 4.5)
	memory.slots, memory.memory = 64, 40_000
	hot := tickets("a hot subject", 3)
	hot.kinds[0].groups, hot.kinds[0].perSecond = 1, 110
	tenant := tickets("a workspace at six times its usual rate", 7)
	tenant.workspace = func(x float64) string { return fmt.Sprint("w", max(0, int(x*10)-5)) }
	retries := tickets("callers that retry immediately", 8)
	retries.retries = true
	outage := tickets("a quarter of the upstreams down for 2 s", 5)
	outage.down = func(i int, at time.Duration) bool { return i%4 == 1 && between(at, 4, 6) }
	zone := tickets("all upstreams of a zone back at the same time", 4)
	zone.down = func(i int, at time.Duration) bool { return i%3 == 0 && between(at, 2, 6) }
	backlog := tickets("a backlog after an outage", 4)
	backlog.down = func(i int, at time.Duration) bool { return i >= 2 && between(at, 3, 6) }
	many := pattern{
		name: "78 hosts that each know only their part", zones: 3, engines: 60, hosts: 78, slots: 64, memory: 323_302, seconds: 4,
		kinds: deployedKinds(5*61.2, 5*130, 5*69, [3]time.Duration{2 * time.Second, 4 * time.Second, 1500 * time.Millisecond}, 878),
	}
	for _, p := range []*pattern{&burst, &speeds, &hot, &tenant, &retries, &outage, &zone, &many} {
		p.better = true
	}
	return []pattern{burst, waves, speeds, memory, hot, tenant, retries, outage, zone, backlog, many}
}()

var _ = Describe("Load patterns", func() {
	for _, p := range ordinaryLoads {
		// Guards against admission that makes ordinary load more expensive: prefixes that are
		// read again, and requests to other zones. Where the first requests of a group go by
		// chance decides about several percent, so loads are replayed several times.
		It(p.name, func() {
			var sum [2]figures
			for p.seed = range uint64(ordinarySeeds) {
				for i, f := range []figures{p.run(false), p.run(true)} {
					sum[i].add(f)
				}
			}
			current, admitted := sum[0], sum[1]
			fmt.Fprintf(GinkgoWriter, "pattern %s\n  current  %s\n  admitted %s\n", p.name, current, admitted)
			Expect(admitted.served).To(Equal(admitted.offered))
			Expect(admitted.inTime).To(BeNumerically(">=", 0.998*float64(current.inTime)))
			Expect(admitted.queued + admitted.refused).To(BeZero())
			Expect(admitted.crossZone).To(BeNumerically("<=", 1.03*float64(current.crossZone)))
			Expect(admitted.reread).To(BeNumerically("<=", 1.03*current.reread))
			Expect(admitted.meanFirstByte()).To(BeNumerically("<=", current.meanFirstByte()+tick))
		})
	}
	for _, p := range patterns {
		// Guards against admission that serves less than sending each request at once to
		// the upstream with the least work, or serves some callers at the cost of others.
		It(p.name, func() {
			p.seed = 1
			current, admitted := p.run(false), p.run(true)
			fmt.Fprintf(GinkgoWriter, "pattern %s\n  current  %s\n  admitted %s\n", p.name, current, admitted)
			Expect(admitted.offered).To(Equal(current.offered))
			// A late answer is worth half of one in time.
			Expect(admitted.served + admitted.inTime).To(BeNumerically(">=", leastShare*float64(current.served+current.inTime)))
			Expect(admitted.served).To(BeNumerically(">=", leastShare*float64(current.served)))
			if p.better {
				Expect(admitted.inTime).To(BeNumerically(">", current.inTime))
			}
			for class, n := range admitted.by {
				Expect(float64(n[0])/float64(n[1])).To(BeNumerically(">=", 0.75*float64(admitted.served)/float64(admitted.offered)), class)
			}
			// A wait ends with the tick after its bound.
			Expect(admitted.longestWait).To(BeNumerically("<=", time.Second/4+tick))
			if p.memory > 200_000 {
				Expect(admitted.freeAtRefusal).To(BeZero())
			}
		})
	}
})
