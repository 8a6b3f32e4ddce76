package dialer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/buffer"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/dialer"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

// serve answers each path by the next of its texts and the last one for ever;
// asked receives the request lines.
func serve(answers map[string][]string) (at netip.AddrPort, asked chan string) {
	asked = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		list := answers[r.URL.Path]
		if len(list) > 1 {
			answers[r.URL.Path] = list[1:]
		}
		asked <- r.Method + " " + r.URL.RequestURI() + " " + string(b)
		fmt.Fprint(w, list[0])
	}))
	DeferCleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String()), asked
}

var _ = Describe("Poller", func() {
	// run polls with o; the function it returns lets the next poll happen.
	var scope counter.Scope
	run := func(ctx context.Context, o dialer.PollOptions) (step func()) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		scope = counter.NewTest("")
		d := newDialer(dialer.Options{Clock: clock, Scope: scope})
		ctx, cancel := context.WithCancel(ctx)
		done := make(chan bool)
		go func() {
			defer close(done)
			dialer.NewPoller(d, o).Run(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		return func() {
			// The watcher of the dialer and the duty both wait.
			Expect(clock.WaitTimers(ctx, 2)).To(Succeed())
			clock.Advance(10 * time.Second)
		}
	}

	It("reports loads, hosts and ratings", func(ctx context.Context) {
		at, asked := serve(map[string][]string{
			"/load":    {`{"incarnation":"i1","running":3,"leaving":true,"loaded":[{"model":"a","version":"v1"}]}`},
			"/hosts":   {`{"hosts":[{"address":"127.0.0.1:7","incarnation":"i1","state":"leaving"}]}`},
			"/ratings": {`{"next":7,"ratings":[{"requestId":"r","pass":true,"score":0.5}]}`},
		})
		loads, hosts, ratings := buffer.New[dialer.LoadReport](4), buffer.New[dialer.HostReport](4), buffer.New[router.Rating](4)
		u := &declarer.Upstream{Name: "u", Address: at}
		run(ctx, dialer.PollOptions{Loads: loads, Engines: func() []*declarer.Upstream { return []*declarer.Upstream{u} }})
		l, err := loads.Take(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Upstream).To(Equal("u"))
		Expect(l.Running).To(Equal(3))
		Expect(l.Leaving).To(BeTrue())
		Expect(l.Loaded).To(Equal([]declarer.VersionRef{{Model: "a", Version: "v1"}}))
		run(ctx, dialer.PollOptions{Hosts: hosts, Platform: at})
		h, err := hosts.Take(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Hosts).To(ConsistOf(dialer.PlatformHost{
			Address: netip.MustParseAddrPort("127.0.0.1:7"), Incarnation: "i1", State: "leaving",
		}))
		step := run(ctx, dialer.PollOptions{Ratings: ratings, RatingService: at})
		Expect(ratings.Take(ctx)).To(Equal(router.Rating{RequestID: "r", Pass: true, Score: 0.5}))
		step()
		Eventually(asked).Should(Receive(Equal("GET /ratings?after=7 ")))
	}, NodeTimeout(20*time.Second))

	// Guards against a picker that trusts prefixes which the engine has
	// dropped in a gap or lost in a restart, and against events that are lost
	// because the ring was full.
	It("reports gaps and restarts of cache events, and asks again for what found no room", func(ctx context.Context) {
		at, asked := serve(map[string][]string{"/cache/events": {
			`{"incarnation":"i1","next":2,"events":[{"seq":1,"add":true,"prefix":"a"},{"seq":2,"add":true,"prefix":"b"}]}`,
			`{"incarnation":"i1","next":4,"events":[{"seq":4,"drop":true,"prefix":"a"}]}`,
			`{"incarnation":"i1","next":4,"events":[{"seq":4,"drop":true,"prefix":"a"}]}`,
			`{"incarnation":"i2","next":0,"events":[]}`,
			`{"incarnation":"i2","next":1,"events":[{"seq":1,"add":true,"prefix":"c"}]}`,
		}})
		events := buffer.New[dialer.CacheReport](1)
		u := &declarer.Upstream{Name: "u", Address: at}
		step := run(ctx, dialer.PollOptions{Events: events, Engines: func() []*declarer.Upstream { return []*declarer.Upstream{u} }})
		Expect(<-asked).To(Equal("GET /cache/events?after=0 "))
		step() // Polls while the ring is full.
		Expect(<-asked).To(Equal("GET /cache/events?after=2 "))
		Eventually(scope.Snapshot).Should(ContainElement(HaveField("Name", "dialer.pollDrops")))
		Expect(events.Take(ctx)).To(And(HaveField("Reset", false), HaveField("Events", HaveLen(2))))
		step()
		Expect(<-asked).To(Equal("GET /cache/events?after=2 "))
		Expect(events.Take(ctx)).To(And(HaveField("Reset", true), HaveField("Events", HaveLen(1))))
		step()
		Expect(<-asked).To(Equal("GET /cache/events?after=4 "))
		Expect(events.Take(ctx)).To(And(HaveField("Reset", true), HaveField("Events", BeEmpty()), HaveField("Incarnation", "i2")))
		step()
		Expect(<-asked).To(Equal("GET /cache/events?after=0 "))
		Expect(events.Take(ctx)).To(And(HaveField("Reset", false), HaveField("Events", HaveLen(1))))
	}, NodeTimeout(20*time.Second))
})

var _ = Describe("Rater", func() {
	q := router.RateRequest{RequestID: "r", Workspace: "w", Response: "x"}

	It("waits for a rating, takes only its own, and offers a share", func(ctx context.Context) {
		at, asked := serve(map[string][]string{"/rate": {
			`{"requestId":"r","pass":true,"score":1}`, `{"requestId":"other","pass":true}`, ``,
		}})
		r := dialer.NewRater(newDialer(dialer.Options{}), dialer.RaterOptions{Service: at, Share: 0.25})
		v, ok := r.Rate(ctx, q, time.Second)
		Expect(ok).To(BeTrue())
		Expect(v.Pass).To(BeTrue())
		Expect(<-asked).To(HavePrefix("POST /rate?wait=1000 "))
		_, ok = r.Rate(ctx, q, time.Second)
		Expect(ok).To(BeFalse())
		wanted := 0
		for range 100 {
			if r.Wants() {
				wanted++
			}
		}
		Expect(wanted).To(Equal(25))
		<-asked
		r.Offer(q)
		run, cancel := context.WithCancel(ctx)
		defer cancel()
		go r.Run(run)
		Eventually(asked).Should(Receive(HavePrefix("POST /rate {")))
	}, NodeTimeout(20*time.Second))
})
