package messenger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailwall/claimer"
	"foxtailwall/controller"
	"foxtailwall/messenger"
	"foxtailwall/pinner"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

type (
	// fakeLog is a replicated log in one place. Faults lose commands and
	// answers and apply commands late or again.
	fakeLog struct {
		mu      sync.Mutex
		machine *controller.Machine
		index   uint64
		leader  int
		addrs   []netip.AddrPort
		rng     *rand.Rand
		faults  bool
		past    [][]byte
		late    [][]byte
		// proposals counts the calls of Propose, entries the applied ones.
		proposals, entries int
		// waiting holds the calls under way; a fault gives one of them up.
		waiting map[string]context.CancelFunc
		// deaf loses every answer.
		deaf bool
		// gate, if set, holds every proposal back until it is closed.
		gate chan struct{}
		// limit, if set, is the size in bytes above which a command is
		// refused.
		limit int
	}

	// fakeMember is one control host on a fakeLog.
	fakeMember struct {
		log *fakeLog
		n   int
		// claims says whom this member takes for the leader, if not nil.
		claims *netip.AddrPort
	}
)

var errLost = errors.New("the answer was lost")

func (m *fakeMember) Propose(_ context.Context, cmd []byte) ([]byte, uint64, error) {
	l := m.log
	l.mu.Lock()
	l.proposals++
	gate := l.gate
	l.mu.Unlock()
	if gate != nil {
		<-gate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case m.claims != nil:
		return nil, 0, &controller.NotLeaderError{Leader: *m.claims}
	case m.n != l.leader:
		return nil, 0, &controller.NotLeaderError{Leader: l.addrs[l.leader]}
	}
	if l.limit > 0 && len(cmd) > l.limit {
		return nil, 0, refuser.New(refuser.BadRequest, refuser.NotRun, "command of %d bytes", len(cmd))
	}
	if l.deaf {
		l.apply(cmd)
		return nil, 0, errLost
	}
	if !l.faults {
		return l.apply(cmd), l.index, nil
	}
	l.past = append(l.past, cmd)
	if l.rng.IntN(3) == 0 {
		for _, giveUp := range l.waiting {
			giveUp()
			break
		}
	}
	switch l.rng.IntN(8) {
	case 0:
		return nil, 0, errLost
	case 1:
		l.apply(cmd)
		return nil, 0, errLost
	case 2:
		l.late = append(l.late, cmd)
		return nil, 0, errLost
	case 3:
		l.apply(l.past[l.rng.IntN(len(l.past))])
	case 4:
		l.leader = l.rng.IntN(len(l.addrs))
	case 5:
		for _, c := range l.late {
			l.apply(c)
		}
		l.late = nil
	}
	return l.apply(cmd), l.index, nil
}

func (m *fakeMember) Barrier(context.Context) (uint64, error) {
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	if m.n != m.log.leader {
		return 0, &controller.NotLeaderError{Leader: m.log.addrs[m.log.leader]}
	}
	return m.log.index, nil
}

func (l *fakeLog) apply(cmd []byte) []byte {
	l.index++
	l.entries++
	return l.machine.Apply(l.index, cmd)
}

// claim claims in a context that the log may end.
func (l *fakeLog) claim(ctx context.Context, c *messenger.Control, r claimer.Request) (claimer.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.waiting[r.RequestID] = cancel
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiting, r.RequestID)
	}()
	return c.Claim(ctx, r)
}

func (l *fakeLog) count() (proposals, entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proposals, l.entries
}

// controlGroup starts n control hosts on one log and returns their members
// and addresses.
func controlGroup(n int, clock timekeeper.Clock) (*fakeLog, []*fakeMember) {
	l := &fakeLog{machine: controller.New(nil), rng: rand.New(rand.NewPCG(31, 31)), waiting: map[string]context.CancelFunc{}}
	peers := map[netip.AddrPort]*messenger.Peer{}
	peer := func(a netip.AddrPort) *messenger.Peer { return peers[a] }
	var members []*fakeMember
	for i := range n {
		m := &fakeMember{log: l, n: i}
		mux := messenger.NewMux()
		messenger.HandleControl(mux, messenger.ControlOptions{
			Group: m, Machine: l.machine, Clock: clock, Forward: messenger.Forwarding{Peer: peer},
		})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		srv := messenger.NewServer(mux, nil)
		go srv.Serve(ln)
		DeferCleanup(srv.Close)
		a := netip.MustParseAddrPort(ln.Addr().String())
		l.addrs, peers[a] = append(l.addrs, a), messenger.NewPeer(a, nil)
		DeferCleanup(peers[a].Close)
		members = append(members, m)
	}
	return l, members
}

// controlClient starts a client of the control hosts.
func controlClient(l *fakeLog, clock timekeeper.Clock, patience time.Duration) *messenger.Control {
	var peers []*messenger.Peer
	for _, a := range l.addrs {
		p := messenger.NewPeer(a, nil)
		DeferCleanup(p.Close)
		peers = append(peers, p)
	}
	c := messenger.NewControl(messenger.ControlClientOptions{Peers: peers, Clock: clock, Patience: patience})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = c.Run(ctx) })
	DeferCleanup(func() { cancel(); wg.Wait() })
	return c
}

func newKey() claimer.Key {
	return claimer.Key{Workspace: "w", Service: "s", Key: uuid.Must(uuid.NewV7()).String()}
}

func isNotRun(err error) bool {
	r, ok := refuser.As(err)
	return ok && r.Code == refuser.NoQuorum && r.Outcome == refuser.NotRun
}

var _ = Describe("Control", func() {
	// Guards against a booking that is made twice: hosts race for the same
	// key while commands and answers are lost, commands are applied late and
	// again, the leader changes, calls are given up and tried again under the
	// same request ID, and holders crash.
	It("grants each key to one running request", func(ctx context.Context) {
		l, _ := controlGroup(3, timekeeper.System{})
		l.faults = true
		var mu sync.Mutex
		ran := map[string]int{}
		seen := map[string]int{}
		note := func(what string) {
			mu.Lock()
			defer mu.Unlock()
			seen[what]++
		}
		var wg conc.WaitGroup
		keys := make([]claimer.Key, 60)
		for i := range keys {
			keys[i] = newKey()
		}
		for host := range 4 {
			c := controlClient(l, timekeeper.System{}, messenger.DefaultPatience)
			rng := rand.New(rand.NewPCG(41, uint64(host)))
			wg.Go(func() {
				for n := range 300 {
					k := keys[rng.IntN(len(keys))]
					r := claimer.Request{Key: k, RequestID: fmt.Sprintf("h%d-%d", host, n), Timeout: time.Minute}
					for range 3 {
						res, err := l.claim(ctx, c, r)
						if err != nil {
							note(fmt.Sprintf("not run %t", isNotRun(err)))
							continue
						}
						note(string(res.State))
						if res.State != claimer.Granted {
							break
						}
						if rng.IntN(3) == 0 {
							_ = c.Release(ctx, k, r.RequestID)
							continue // A faulty caller claims again.
						}
						mu.Lock()
						ran[k.Key]++
						mu.Unlock()
						if rng.IntN(3) > 0 {
							_ = c.Finish(ctx, k, r.RequestID, claimer.Response{Status: 200})
						}
						break
					}
				}
			})
		}
		wg.Wait()
		for k, n := range ran {
			Expect(n).To(Equal(1), "key %s ran %d times", k, n)
		}
		Expect(len(ran)).To(BeNumerically(">", 30), "%v", seen)
		Expect(seen["not run true"]).To(BeNumerically(">", 10), "%v", seen)
		Expect(seen["not run false"]).To(BeZero(), "%v", seen)
	})

	// Guards against two control hosts that pass a call back and forth, each
	// taking the other for the leader.
	It("passes a call on once", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Now())
		l, members := controlGroup(2, clock)
		members[0].claims, members[1].claims = &l.addrs[1], &l.addrs[0]
		c := controlClient(l, clock, messenger.DefaultPatience)
		var wg conc.WaitGroup
		wg.Go(func() {
			_, err := c.Pin(ctx, pinner.Pin{Session: "s"})
			Expect(isNotRun(err)).To(BeTrue(), "%v", err)
		})
		// Each of the two hosts proposes once for the client and once for
		// the other; the end of the patience may let in a second round.
		Eventually(func() int { n, _ := l.count(); return n }).Should(BeNumerically(">=", 4))
		clock.Advance(messenger.DefaultPatience)
		wg.Wait()
		proposals, entries := l.count()
		Expect(proposals).To(BeNumerically("<=", 8))
		Expect(entries).To(BeZero())
	})

	// Guards against a call that may have taken effect and is reported as
	// not run.
	It("tells a lost answer from a call that was not taken", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Now())
		l, _ := controlGroup(1, clock)
		l.deaf = true
		c := controlClient(l, clock, messenger.DefaultPatience)
		var wg conc.WaitGroup
		wg.Go(func() {
			_, err := c.Do(ctx, controller.Item{Own: &controller.Own{Engine: "e", Owner: "h"}})
			var unknown *messenger.UncertainError
			Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
		})
		Eventually(func() int { n, _ := l.count(); return n }).Should(BeNumerically(">", 0))
		clock.Advance(messenger.DefaultPatience)
		wg.Wait()

		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ln.Close()
		gone := &fakeLog{addrs: []netip.AddrPort{netip.MustParseAddrPort(ln.Addr().String())}}
		c = controlClient(gone, clock, messenger.DefaultPatience)
		done := make(chan struct{})
		wg.Go(func() {
			defer close(done)
			_, err := c.Do(ctx, controller.Item{Own: &controller.Own{Engine: "e", Owner: "h"}})
			Expect(err).To(HaveOccurred())
		})
		Eventually(func() <-chan struct{} {
			clock.Advance(time.Second)
			return done
		}).Should(BeClosed())
		// After a search without a leader a call takes one round, which no
		// timer cuts short.
		_, err = c.Do(ctx, controller.Item{Own: &controller.Own{Engine: "e", Owner: "h"}})
		Expect(isNotRun(err)).To(BeTrue(), "%v", err)
	})

	It("reaches the leader through any control host", func(ctx context.Context) {
		l, _ := controlGroup(3, timekeeper.System{})
		l.leader = 2
		l2 := &fakeLog{addrs: l.addrs[:1]}
		c := controlClient(l2, timekeeper.System{}, messenger.DefaultPatience)
		p, err := c.Pin(ctx, pinner.Pin{Session: "s", Version: "v1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Version).To(Equal("v1"))
	})

	// Guards against a claim that nobody runs and that keeps the caller's
	// resend waiting, after its answer was lost and the request was refused.
	It("gives up a claim of unknown outcome and releases it", func(ctx context.Context) {
		l, _ := controlGroup(1, timekeeper.System{})
		gate := make(chan struct{})
		l.gate = gate
		c := controlClient(l, timekeeper.System{}, messenger.DefaultPatience)
		k := newKey()
		short, cancel := context.WithCancel(ctx)
		var wg conc.WaitGroup
		wg.Go(func() {
			_, err := c.Claim(short, claimer.Request{Key: k, RequestID: "a"})
			Expect(isNotRun(err)).To(BeTrue(), "%v", err)
		})
		Eventually(func() int { n, _ := l.count(); return n }).Should(Equal(1))
		cancel()
		wg.Wait()
		close(gate)
		_, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "a"})
		Expect(isNotRun(err)).To(BeTrue(), "a request that gave up does not claim again")
		Eventually(func() claimer.State {
			res, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "b"})
			Expect(err).NotTo(HaveOccurred())
			return res.State
		}).Should(Equal(claimer.Granted))
	})

	// Guards against a stored response that is lost with its answer, so that
	// a resend is told that the outcome is unknown.
	It("delivers a response in the background when its answer is lost", func(ctx context.Context) {
		l, _ := controlGroup(1, timekeeper.System{})
		c := controlClient(l, timekeeper.System{}, messenger.DefaultPatience)
		k := newKey()
		_, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "a"})
		Expect(err).NotTo(HaveOccurred())
		gone, cancel := context.WithCancel(ctx)
		cancel()
		var unknown *messenger.UncertainError
		Expect(errors.As(c.Finish(gone, k, "a", claimer.Response{Status: 201}), &unknown)).To(BeTrue())
		Eventually(func() claimer.State {
			res, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "b"})
			Expect(err).NotTo(HaveOccurred())
			return res.State
		}).Should(Equal(claimer.Finished))
	})

	// Guards against one log entry, and so one sync, for each claim under
	// load.
	It("gathers many items into few entries", func(ctx context.Context) {
		const callers = 200
		l, _ := controlGroup(1, timekeeper.System{})
		gate := make(chan struct{})
		l.gate = gate
		c := controlClient(l, timekeeper.System{}, messenger.DefaultPatience)
		var wg conc.WaitGroup
		claim := func() {
			res, err := c.Claim(ctx, claimer.Request{Key: newKey(), RequestID: "a"})
			Expect(err).NotTo(HaveOccurred())
			Expect(res.State).To(Equal(claimer.Granted))
		}
		wg.Go(claim)
		Eventually(func() int { n, _ := l.count(); return n }).Should(BeNumerically(">", 0))
		for range callers - 1 {
			wg.Go(claim)
		}
		close(gate)
		wg.Wait()
		_, entries := l.count()
		Expect(entries).To(BeNumerically("<", callers/2))
	})
})
