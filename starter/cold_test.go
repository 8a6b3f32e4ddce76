package starter_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
	"foxtailwall/starter"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

const (
	// coldPerSecond, coldTime and coldBound are the rate of the stand-in, how long it is
	// cold after its start, and the requests that it tolerates within a second meanwhile.
	coldPerSecond = 11
	coldTime      = 7 * time.Second
	coldBound     = 1.5*coldPerSecond + 5
	// answerTime is the time that a response takes.
	answerTime = 30 * time.Millisecond
	// coldListLag is the age of what the list says of the stand-in.
	coldListLag = time.Second
)

// coldUpstream is an upstream that counts the requests that it gets while it is cold.
type coldUpstream struct {
	addr netip.AddrPort

	mu     sync.Mutex
	server *http.Server
	// startedAt has the times of its starts but the first, after which it is warm.
	startedAt []time.Time
	// arrivals are the times of requests while it was cold, most is the largest number
	// within a second.
	arrivals []time.Time
	most     int
	served   int
}

func newColdUpstream() *coldUpstream {
	u := &coldUpstream{}
	u.addr = u.listen("127.0.0.1:0")
	DeferCleanup(u.stop)
	return u
}

func (u *coldUpstream) listen(addr string) netip.AddrPort {
	l, err := net.Listen("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: u}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server = server
	go server.Serve(l)
	return netip.MustParseAddrPort(l.Addr().String())
}

// stop ends the process: connections are lost, and nothing listens.
func (u *coldUpstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server.Close()
}

// restart starts it at the same address, cold.
func (u *coldUpstream) restart() {
	u.mu.Lock()
	u.startedAt = append(u.startedAt, time.Now())
	u.mu.Unlock()
	u.listen(u.addr.String())
}

// coldLeft is what the list says.
func (u *coldUpstream) coldLeft() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	shown := time.Now().Add(-coldListLag)
	var left time.Duration
	for _, at := range u.startedAt {
		if at.Before(shown) {
			left = max(0, at.Add(coldTime).Sub(shown))
		}
	}
	return left
}

func (u *coldUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	// Upstreams that answer sooner than an unused one is assumed to are always preferred.
	defer func() { <-time.After(answerTime) }()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.served++
	now := time.Now()
	if n := len(u.startedAt); n == 0 || now.Sub(u.startedAt[n-1]) >= coldTime {
		return
	}
	u.arrivals = append(u.arrivals, now)
	n := 0
	for _, at := range u.arrivals {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	u.most = max(u.most, n)
}

// count returns the number of requests while it was cold.
func (u *coldUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

// isWarm reports whether it has been warm for a second since its last start.
func (u *coldUpstream) isWarm() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Since(u.startedAt[len(u.startedAt)-1]) > coldTime+time.Second
}

// servedSince returns a function with the number of requests since the call.
func (u *coldUpstream) servedSince() func() int {
	get := func() int {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.served
	}
	before := get()
	return func() int { return get() - before }
}

func coldConfig() matcher.Config {
	conf := config(1, "/a/")
	conf.Services[0].ColdRate, conf.Services[0].ColdStart = coldPerSecond, coldTime
	return conf
}

// Guards against hosts that together send more than a cold upstream tolerates: each
// alone, by an old list, or as if it were the warm one that had its address before.
var _ = Describe("A cold upstream", func() {
	var (
		cold    *coldUpstream
		d       *deployment
		entries []starter.Settings
		stop    func()
	)
	call := func(e starter.Settings, callers context.Context) {
		defer GinkgoRecover()
		for timekeeper.Sleep(callers, timekeeper.System{}, 20*time.Millisecond) == nil {
			status(e.Callers, "/a/x")()
		}
	}
	BeforeEach(func() {
		cold = newColdUpstream()
		warm := []*coldUpstream{newColdUpstream(), newColdUpstream()}
		d = newDeploymentWithList(func() []tracker.Upstream {
			u := tracker.Upstream{ID: "cold", Service: "s", Zone: "a", Version: "v1", Address: cold.addr, ColdLeft: cold.coldLeft()}
			list := []tracker.Upstream{u}
			for i, w := range warm {
				list = append(list, tracker.Upstream{ID: fmt.Sprint("warm", i), Service: "s", Zone: "a", Version: "v1", Address: w.addr})
			}
			return list
		})
		d.start()
	})
	passed := func(d time.Duration) func() bool {
		since := time.Now()
		return func() bool { return time.Since(since) > d }
	}
	// run starts entries and, after begin, their callers.
	run := func(n int, begin func()) (callers context.Context, wg *sync.WaitGroup) {
		entries = d.startMoreEntries(n - 1)
		d.putConfig(coldConfig())
		for _, e := range entries {
			d.eventually(status(e.Ready, "/ready")).Should(Equal(200))
		}
		begin()
		callers, cancel := context.WithCancel(context.Background())
		wg = &sync.WaitGroup{}
		for _, e := range entries {
			wg.Go(func() { call(e, callers) })
		}
		stop = func() { cancel(); wg.Wait() }
		DeferCleanup(stop)
		return callers, wg
	}
	expectSpared := func() {
		d.eventually(cold.isWarm).Should(BeTrue())
		served := cold.servedSince()
		d.eventually(served).Should(BeNumerically(">", 100), "it serves again once it is warm")
		stop()
		AddReportEntry(fmt.Sprintf("%d requests while it was cold, at most %d within a second", cold.count(), cold.most))
		Expect(cold.count()).To(BeNumerically(">=", coldPerSecond), "it gets requests while it is cold")
		Expect(float64(cold.most)).To(BeNumerically("<=", coldBound))
	}

	It("gets no more than it tolerates from hosts that all know it", func() {
		run(10, func() {
			cold.mu.Lock()
			cold.startedAt = []time.Time{time.Now()}
			cold.mu.Unlock()
			// The list says so, and all hosts have it.
			d.eventually(passed(coldListLag + 2*time.Second)).Should(BeTrue())
		})
		expectSpared()
	})

	It("gets no more than it tolerates after a restart under the same ID", func() {
		run(14, func() {})
		d.eventually(passed(2 * time.Second)).Should(BeTrue())
		cold.stop()
		d.eventually(passed(1500 * time.Millisecond)).Should(BeTrue())
		cold.restart()
		expectSpared()
	})

	It("gets no more than it tolerates while hosts join, restart and were partitioned", func() {
		var cut partition
		o := d.opts
		o.DialUpstream = cut.dial
		partitioned := d.startEntry("partitioned", o)
		callers, wg := run(12, func() {})
		d.eventually(status(partitioned.Ready, "/ready")).Should(Equal(200))
		wg.Go(func() { call(partitioned, callers) })
		d.eventually(passed(2 * time.Second)).Should(BeTrue())
		cut.set(refusing)
		cold.stop()
		d.eventually(passed(1500 * time.Millisecond)).Should(BeTrue())
		cold.restart()
		late := d.startEntry("late", d.opts)
		d.eventually(status(late.Ready, "/ready")).Should(Equal(200))
		wg.Go(func() { call(late, callers) })
		cut.set(connected)
		expectSpared()
	})
})
