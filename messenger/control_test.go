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
	// fakeLog is a replicated log in one process. With faults set, it loses
	// commands and answers, applies commands late or repeatedly, changes the
	// leader and cancels claims.
	fakeLog struct {
		mu       sync.Mutex
		machine  *controller.Machine
		index    uint64
		leader   int
		addrs    []netip.AddrPort
		rng      *rand.Rand
		faults   bool
		proposed [][]byte
		delayed  [][]byte
		// proposals is the number of calls of Propose, entries the number of
		// applied commands.
		proposals, entries int
		// cancels has the cancel function of each pending claim; a fault calls
		// one of them.
		cancels map[string]context.CancelFunc
		// loseAnswers applies every command and loses its answer.
		loseAnswers bool
		// gate, if set, blocks every proposal until it is closed.
		gate chan struct{}
		// maxCommandBytes, if set, is the size above which a command is
		// refused.
		maxCommandBytes int
		// format is the lowest version of log entries that a member applies.
		format uint32
		// stallBytes, if set, is the size above which a command waits for gate
		// instead of all commands.
		stallBytes int
	}

	// fakeMember is one control host with a fakeLog.
	fakeMember struct {
		log *fakeLog
		id  int
		// believedLeader, if set, is the host that this member reports as the
		// leader.
		believedLeader *netip.AddrPort
	}
)

var errAnswerLost = errors.New("the answer was lost")

func (m *fakeMember) ProposeFormat(_ context.Context, cmd []byte, format uint32) ([]byte, uint64, error) {
	l := m.log
	l.mu.Lock()
	l.proposals++
	gate := l.gate
	if len(cmd) <= l.stallBytes {
		gate = nil
	}
	l.mu.Unlock()
	if gate != nil {
		<-gate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case m.believedLeader != nil:
		return nil, 0, &controller.NotLeaderError{Leader: *m.believedLeader}
	case m.id != l.leader:
		return nil, 0, &controller.NotLeaderError{Leader: l.addrs[l.leader]}
	}
	if l.maxCommandBytes > 0 && len(cmd) > l.maxCommandBytes {
		return nil, 0, refuser.New(refuser.BadRequest, refuser.NotRun, "command of %d bytes", len(cmd))
	}
	if format > l.format {
		return nil, 0, refuser.New(refuser.MixedReleases, refuser.NotRun, "version %d", format)
	}
	if l.loseAnswers {
		l.apply(cmd)
		return nil, 0, errAnswerLost
	}
	if !l.faults {
		return l.apply(cmd), l.index, nil
	}
	l.proposed = append(l.proposed, cmd)
	if l.rng.IntN(3) == 0 {
		for _, cancel := range l.cancels {
			cancel()
			break
		}
	}
	switch l.rng.IntN(8) {
	case 0:
		return nil, 0, errAnswerLost
	case 1:
		l.apply(cmd)
		return nil, 0, errAnswerLost
	case 2:
		l.delayed = append(l.delayed, cmd)
		return nil, 0, errAnswerLost
	case 3:
		l.apply(l.proposed[l.rng.IntN(len(l.proposed))])
	case 4:
		l.leader = l.rng.IntN(len(l.addrs))
	case 5:
		for _, c := range l.delayed {
			l.apply(c)
		}
		l.delayed = nil
	}
	return l.apply(cmd), l.index, nil
}

func (m *fakeMember) Barrier(context.Context) (uint64, error) {
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	if m.id != m.log.leader {
		return 0, &controller.NotLeaderError{Leader: m.log.addrs[m.log.leader]}
	}
	return m.log.index, nil
}

func (l *fakeLog) apply(cmd []byte) []byte {
	l.index++
	l.entries++
	return l.machine.Apply(l.index, cmd)
}

// claimCancellable claims with a context that a fault of the log may cancel.
func (l *fakeLog) claimCancellable(ctx context.Context, c *messenger.ControlClient, r claimer.Request) (claimer.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.cancels[r.RequestID] = cancel
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.cancels, r.RequestID)
	}()
	return c.Claim(ctx, r)
}

func (l *fakeLog) counts() (proposals, entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proposals, l.entries
}

// startControlGroup starts n control hosts with one log.
func startControlGroup(n int, clock timekeeper.Clock) (*fakeLog, []*fakeMember) {
	l := &fakeLog{machine: controller.New(nil), rng: rand.New(rand.NewPCG(31, 31)), cancels: map[string]context.CancelFunc{}}
	peers := map[netip.AddrPort]*messenger.Peer{}
	peer := func(a netip.AddrPort) *messenger.Peer { return peers[a] }
	var members []*fakeMember
	for i := range n {
		m := &fakeMember{log: l, id: i}
		mux := messenger.NewMux()
		messenger.HandleControl(mux, messenger.ControlServiceOptions{
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

// startControlClient starts a client of the control hosts.
func startControlClient(l *fakeLog, clock timekeeper.Clock, leaderTimeout time.Duration) *messenger.ControlClient {
	var peers []*messenger.Peer
	for _, a := range l.addrs {
		p := messenger.NewPeer(a, nil)
		DeferCleanup(p.Close)
		peers = append(peers, p)
	}
	c := messenger.NewControlClient(messenger.ControlClientOptions{Peers: peers, Clock: clock, LeaderTimeout: leaderTimeout})
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

var _ = Describe("ControlClient", func() {
	// Guards against a booking that is made twice: hosts compete for the same
	// keys while commands and answers are lost, commands are applied late and
	// repeatedly, the leader changes, calls are cancelled and retried with the
	// same request ID, and hosts crash while they hold a claim.
	It("never lets two requests run for the same key", func(ctx context.Context) {
		l, _ := startControlGroup(3, timekeeper.System{})
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
			c := startControlClient(l, timekeeper.System{}, messenger.DefaultLeaderTimeout)
			rng := rand.New(rand.NewPCG(41, uint64(host)))
			wg.Go(func() {
				for n := range 300 {
					k := keys[rng.IntN(len(keys))]
					r := claimer.Request{Key: k, RequestID: fmt.Sprintf("h%d-%d", host, n), Timeout: time.Minute}
					for range 3 {
						res, err := l.claimCancellable(ctx, c, r)
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
							continue // Claims again, as a faulty caller would.
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

	// Guards against two control hosts that forward a call back and forth
	// because each considers the other the leader.
	It("forwards a call only once", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Now())
		l, members := startControlGroup(2, clock)
		members[0].believedLeader, members[1].believedLeader = &l.addrs[1], &l.addrs[0]
		c := startControlClient(l, clock, messenger.DefaultLeaderTimeout)
		var wg conc.WaitGroup
		wg.Go(func() {
			_, err := c.Pin(ctx, pinner.Pin{Session: "s"})
			Expect(isNotRun(err)).To(BeTrue(), "%v", err)
		})
		// Each of the two hosts proposes once for the client and once for the
		// other host. The end of the leader timeout may allow a second round.
		Eventually(func() int { n, _ := l.counts(); return n }).Should(BeNumerically(">=", 4))
		clock.Advance(messenger.DefaultLeaderTimeout)
		wg.Wait()
		proposals, entries := l.counts()
		Expect(proposals).To(BeNumerically("<=", 8))
		Expect(entries).To(BeZero())
	})

	// Guards against reporting a call as not run although it may have taken
	// effect.
	It("distinguishes a lost answer from a call that was not executed", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Now())
		l, _ := startControlGroup(1, clock)
		l.loseAnswers = true
		c := startControlClient(l, clock, messenger.DefaultLeaderTimeout)
		var wg conc.WaitGroup
		wg.Go(func() {
			_, err := c.Do(ctx, controller.Item{Own: &controller.OwnRequest{Engine: "e", Owner: "h"}})
			var unknown *messenger.UncertainError
			Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
		})
		Eventually(func() int { n, _ := l.counts(); return n }).Should(BeNumerically(">", 0))
		clock.Advance(messenger.DefaultLeaderTimeout)
		wg.Wait()

		port, err := ports.Next()
		Expect(err).NotTo(HaveOccurred())
		unreachable := &fakeLog{addrs: []netip.AddrPort{netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}}
		c = startControlClient(unreachable, clock, messenger.DefaultLeaderTimeout)
		done := make(chan struct{})
		wg.Go(func() {
			defer close(done)
			_, err := c.Do(ctx, controller.Item{Own: &controller.OwnRequest{Engine: "e", Owner: "h"}})
			Expect(err).To(HaveOccurred())
		})
		Eventually(func() <-chan struct{} {
			clock.Advance(time.Second)
			return done
		}).Should(BeClosed())
		// After a search that found no leader, a call takes one round, which
		// no timer cuts short.
		_, err = c.Do(ctx, controller.Item{Own: &controller.OwnRequest{Engine: "e", Owner: "h"}})
		Expect(isNotRun(err)).To(BeTrue(), "%v", err)
	})

	It("reaches the leader through any control host", func(ctx context.Context) {
		l, _ := startControlGroup(3, timekeeper.System{})
		l.leader = 2
		l2 := &fakeLog{addrs: l.addrs[:1]}
		c := startControlClient(l2, timekeeper.System{}, messenger.DefaultLeaderTimeout)
		p, err := c.Pin(ctx, pinner.Pin{Session: "s", Version: "v1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Version).To(Equal("v1"))
	})

	// Guards against a claim that stays in the table after its answer was lost
	// and its request was refused: nobody runs it, and resends of the caller
	// wait for it.
	It("abandons a claim of unknown outcome and releases it", func(ctx context.Context) {
		l, _ := startControlGroup(1, timekeeper.System{})
		gate := make(chan struct{})
		l.gate = gate
		c := startControlClient(l, timekeeper.System{}, messenger.DefaultLeaderTimeout)
		k := newKey()
		claimCtx, cancel := context.WithCancel(ctx)
		var wg conc.WaitGroup
		wg.Go(func() {
			_, err := c.Claim(claimCtx, claimer.Request{Key: k, RequestID: "a"})
			Expect(isNotRun(err)).To(BeTrue(), "%v", err)
		})
		Eventually(func() int { n, _ := l.counts(); return n }).Should(Equal(1))
		cancel()
		wg.Wait()
		close(gate)
		_, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "a"})
		Expect(isNotRun(err)).To(BeTrue(), "a request that abandoned its claim must not claim again")
		Eventually(func() claimer.State {
			res, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "b"})
			Expect(err).NotTo(HaveOccurred())
			return res.State
		}).Should(Equal(claimer.Granted))
	})

	// Guards against a claim that is given up, with all its retries, because one
	// search for the leader ended without an answer: the caller is refused
	// although the control group answers again long before its deadline.
	It("retries a claim of unknown outcome until its context ends", func(ctx context.Context) {
		l, _ := startControlGroup(1, timekeeper.System{})
		gate := make(chan struct{})
		l.gate = gate
		c := startControlClient(l, timekeeper.System{}, 100*time.Millisecond)
		var wg conc.WaitGroup
		wg.Go(func() {
			defer GinkgoRecover()
			res, err := c.Claim(ctx, claimer.Request{Key: newKey(), RequestID: "a"})
			Expect(err).NotTo(HaveOccurred())
			Expect(res.State).To(Equal(claimer.Granted))
		})
		Eventually(func() int { n, _ := l.counts(); return n }).WithTimeout(10 * time.Second).Should(BeNumerically(">=", 2))
		close(gate)
		wg.Wait()
	}, NodeTimeout(time.Minute))

	// Guards against a response that is not stored when the call of Finish is
	// interrupted, so that a resend gets the error that the outcome is unknown.
	It("stores a response in the background when Finish is interrupted", func(ctx context.Context) {
		l, _ := startControlGroup(1, timekeeper.System{})
		c := startControlClient(l, timekeeper.System{}, messenger.DefaultLeaderTimeout)
		k := newKey()
		_, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "a"})
		Expect(err).NotTo(HaveOccurred())
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		var unknown *messenger.UncertainError
		Expect(errors.As(c.Finish(cancelled, k, "a", claimer.Response{Status: 201}), &unknown)).To(BeTrue())
		Eventually(func() claimer.State {
			res, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "b"})
			Expect(err).NotTo(HaveOccurred())
			return res.State
		}).Should(Equal(claimer.Finished))
	})

	// Guards against one log entry, and so one disk sync, for each claim under
	// load.
	It("batches many items into few log entries", func(ctx context.Context) {
		const callers = 200
		l, _ := startControlGroup(1, timekeeper.System{})
		gate := make(chan struct{})
		l.gate = gate
		c := startControlClient(l, timekeeper.System{}, messenger.DefaultLeaderTimeout)
		var wg conc.WaitGroup
		claim := func() {
			res, err := c.Claim(ctx, claimer.Request{Key: newKey(), RequestID: "a"})
			Expect(err).NotTo(HaveOccurred())
			Expect(res.State).To(Equal(claimer.Granted))
		}
		wg.Go(claim)
		Eventually(func() int { n, _ := l.counts(); return n }).Should(BeNumerically(">", 0))
		for range callers - 1 {
			wg.Go(claim)
		}
		close(gate)
		wg.Wait()
		_, entries := l.counts()
		Expect(entries).To(BeNumerically("<", callers/2))
	})
})
