package emulator_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/emulator"
	"foxtailwall/timekeeper"
)

var _ = Describe("Cold", func() {
	// Guards against senders that are blamed for a crash at the permitted rate, and against
	// a rate that holds by calendar second only.
	It("crashes above its rate within any second, and only while it is cold", func() {
		c := emulator.Cold{ColdConfig: emulator.ColdConfig{Duration: 10 * time.Second, PerSecond: 2, Restart: 3 * time.Second}}
		start := time.Unix(100, 0)
		at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
		c.Start(start)
		for _, s := range []float64{0.1, 0.9, 1.1, 1.9, 2.1} {
			Expect(c.Arrive(at(s))).To(BeFalse())
		}
		Expect(c.Arrive(at(2.8))).To(BeTrue())
		Expect(c.Down(at(5.7))).To(BeTrue())
		Expect(c.Down(at(5.8))).To(BeFalse())
		Expect(c.Left(at(5.8))).To(Equal(10 * time.Second))
		for range 2 {
			Expect(c.Arrive(at(6))).To(BeFalse())
		}
		Expect(c.Left(at(15.8))).To(BeZero())
		for range 9 {
			Expect(c.Arrive(at(15.8))).To(BeFalse())
		}
		Expect(c.ColdCrashes()).To(Equal(1))
	})
})

type (
	// coldStandin is a stand-in that can be cold.
	coldStandin interface {
		emulator.Handler
		SetFault(emulator.Fault) error
		ColdCrashes() int
	}

	// aheadClock is the system clock, ahead by a duration.
	aheadClock struct {
		timekeeper.System
		ahead *atomic.Int64
	}
)

func (c aheadClock) Now() time.Time { return c.System.Now().Add(time.Duration(c.ahead.Load())) }

// Guards against checks of overloaded cold upstreams that pass because the stand-in answers
// all the same, and against crashes that leave requests running.
var _ = DescribeTable("A cold stand-in crashes and comes back cold", func(ctx SpecContext, start func(aheadClock, emulator.ColdConfig) coldStandin) {
	clock := aheadClock{ahead: new(atomic.Int64)}
	s := start(clock, emulator.ColdConfig{Duration: time.Hour, PerSecond: 2, Restart: time.Minute})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go emulator.Serve(ctx, l, s, nil)
	send := func(method, path, body string) error {
		return sendRequest(http.DefaultClient, method, "http://"+l.Addr().String()+path, body).err
	}
	chat := func() error { return send(http.MethodPost, "/v1/chat/completions", chatBody("p", 8, false)) }
	for crashes := range 2 {
		Expect(chat()).To(Succeed())
		Eventually(chat).WithContext(ctx).Should(HaveOccurred())
		Expect(send(http.MethodGet, "/load", "")).To(HaveOccurred())
		Expect(s.ColdCrashes()).To(Equal(crashes + 1))
		clock.ahead.Add(int64(time.Minute))
	}
	Expect(s.SetFault(emulator.Fault{Kind: emulator.FaultStall, Delay: 24 * time.Hour})).To(Succeed())
	running := make(chan error)
	go func() { running <- chat() }()
	Consistently(running, 50*time.Millisecond).ShouldNot(Receive())
	Expect(s.SetFault(emulator.Fault{Kind: emulator.FaultCrash})).To(Succeed())
	clock.ahead.Add(int64(time.Minute))
	Eventually(running).WithContext(ctx).Should(Receive(HaveOccurred()))
	Expect(s.ColdCrashes()).To(Equal(2))
},
	Entry("engine", NodeTimeout(time.Minute), func(clock aheadClock, conf emulator.ColdConfig) coldStandin {
		e := emulator.NewEngine(emulator.EngineConfig{Timing: fastTiming, Versions: []emulator.Version{engraver}, Cold: conf, Clock: clock})
		DeferCleanup(e.Close)
		return e
	}),
	Entry("service", NodeTimeout(time.Minute), func(clock aheadClock, conf emulator.ColdConfig) coldStandin {
		return emulator.NewService(emulator.ServiceConfig{Cold: conf, Clock: clock})
	}),
)
