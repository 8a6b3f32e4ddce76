package coordinator_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/coordinator"
	"foxtailwall/reserver"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

func TestCoordinator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coordinator")
}

// eventTimeout bounds the waits for events of real hosts.
const eventTimeout = time.Minute

// hosts are control hosts that listen at loopback addresses.
type hosts struct {
	addrs   []netip.AddrPort
	folders []string
	running []*coordinator.Coordinator
	stops   []context.CancelFunc
	done    []chan struct{}
	// ctx ends when a host fails, so that the spec does not wait for it.
	ctx  context.Context
	fail context.CancelCauseFunc
}

var ports reserver.Ports

func newHosts(n int) *hosts {
	h := &hosts{running: make([]*coordinator.Coordinator, n), stops: make([]context.CancelFunc, n), done: make([]chan struct{}, n)}
	h.ctx, h.fail = context.WithCancelCause(context.Background())
	port, err := ports.Next()
	Expect(err).NotTo(HaveOccurred())
	for i := range n {
		h.addrs = append(h.addrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), port))
		h.folders = append(h.folders, GinkgoT().TempDir())
	}
	return h
}

func (h *hosts) start(i int, bootstrap bool) {
	h.startWith(i, func(s *coordinator.Settings) { s.Bootstrap = bootstrap })
}

// startWith starts host i with settings that change adapts.
func (h *hosts) startWith(i int, change func(*coordinator.Settings)) {
	s := coordinator.Settings{
		Name: fmt.Sprintf("c%d", i), Peers: h.addrs[i], DataFolder: h.folders[i], LostDisks: 1,
		Seeds: func() []netip.AddrPort { return h.addrs[:3] }, Clock: timekeeper.System{},
		List: func(context.Context) ([]tracker.Upstream, error) { return nil, nil },
	}
	change(&s)
	c, err := coordinator.New(s)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	h.running[i], h.stops[i], h.done[i] = c, cancel, make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(h.done[i])
		err := c.Run(ctx)
		if err != nil {
			h.fail(err)
		}
		Expect(err).NotTo(HaveOccurred())
	}()
	DeferCleanup(func() { h.stop(i) })
}

func (h *hosts) stop(i int) {
	h.stops[i]()
	<-h.done[i]
}

// putVersion stores a document through host i and retries until it is
// acknowledged.
func (h *hosts) putVersion(i int, version uint64) {
	Eventually(func() error {
		_, err := h.running[i].PutDocument(context.Background(), controller.Document{Version: version, Body: []byte(fmt.Sprint(version))})
		return err
	}, eventTimeout).WithContext(h.ctx).Should(Succeed())
}

// version returns a function that reads the version in force through host i
// and returns 0 on failure.
func (h *hosts) version(i int) func() uint64 {
	return func() uint64 {
		d, err := h.running[i].CurrentDocument(context.Background())
		if err != nil {
			return 0
		}
		return d.Version
	}
}

var _ = Describe("Coordinator", func() {
	// Guards against control hosts that answer only while they lead, and
	// against acknowledged changes that are lost with a host or its disk.
	It("keeps what was acknowledged when a disk is lost", func() {
		h := newHosts(3)
		for i := range 3 {
			h.start(i, true)
		}
		for i := range 3 {
			h.putVersion(i, uint64(10+i))
			Expect(h.version((i + 1) % 3)()).To(Equal(uint64(10 + i)))
		}
		for i := range 3 {
			h.stop(i)
			Expect(os.RemoveAll(h.folders[i])).To(Succeed())
			h.start(i, false)
			Eventually(h.version(i), eventTimeout).WithContext(h.ctx).Should(Equal(uint64(12 + i)))
			// All three must vote again before the next disk is lost.
			Eventually(func() []netip.AddrPort { return h.running[i].Members() }, eventTimeout).WithContext(h.ctx).Should(HaveLen(3))
			h.putVersion(i, uint64(13+i))
		}
	})

	// Guards against hosts that lost their disks and form a new, empty group.
	It("forms no group without the bootstrap setting", func() {
		h := newHosts(3)
		for i := range 3 {
			h.start(i, false)
		}
		_, err := h.running[0].PutDocument(context.Background(), controller.Document{Version: 1})
		Expect(err).To(HaveOccurred())
		Expect(h.running[0].Members()).To(BeEmpty())
	})

	// Guards against operators who are refused because the host that they call
	// has not yet heard from the leader that its group is just electing. A host
	// that has known no leader for longer than an election takes refuses at once.
	It("lets calls wait for an election, unless it is cut off", func(ctx context.Context) {
		clock, cutOffClock := timekeeper.NewFake(time.Unix(0, 0)), timekeeper.NewFake(time.Unix(0, 0))
		h := newHosts(3)
		h.startWith(0, func(s *coordinator.Settings) {
			s.Bootstrap, s.LostDisks, s.Clock = true, 0, clock
			s.Seeds = func() []netip.AddrPort { return h.addrs[:1] }
		})
		h.startWith(1, func(s *coordinator.Settings) { s.Clock = cutOffClock })
		read := func(i int) chan error {
			result := make(chan error, 1)
			go func() {
				_, err := h.running[i].CurrentDocument(ctx)
				result <- err
			}()
			return result
		}
		// The clock stands while the host handles what has become due: on a slow disk, an
		// election would otherwise outlast the time for which calls wait.
		settled := func(result chan error) error {
			// The member, the list reader, rollouts, isolations and the call wait for timers.
			for ; len(result) == 0; clock.Advance(10 * time.Millisecond) {
				Eventually(func() bool { return len(result) > 0 || clock.Timers() >= 5 }, eventTimeout, time.Millisecond).WithContext(h.ctx).Should(BeTrue())
			}
			return <-result
		}
		Eventually(func() error {
			_, err := h.running[0].CurrentDocument(ctx)
			return err
		}, eventTimeout, time.Millisecond).WithContext(h.ctx).Should(Or(Succeed(), Not(MatchError(ContainSubstring("not open")))))
		Expect(settled(read(0))).To(Succeed())

		cutOffClock.Advance(3 * time.Second)
		// No timer of the cut-off host's call may be left to wait for.
		Eventually(read(1), eventTimeout).WithContext(h.ctx).Should(Receive(MatchError(ContainSubstring("no leader"))))
	})
})
