package syncer_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/declarer"
	"foxtailwall/placer"
	"foxtailwall/syncer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

var _ = Describe("Cold upstreams", func() {
	var (
		clock *timekeeper.Fake
		hub   *syncer.Hub
		list  []tracker.Upstream
	)
	BeforeEach(func() {
		clock = timekeeper.NewFake(time.Unix(100, 0))
		hub = syncer.NewHub(syncer.HubSettings{Source: &source{leading: true, changed: make(chan struct{})}, Clock: clock})
		list = []tracker.Upstream{{ID: "a", ColdLeft: 8 * time.Second}, {ID: "b"}}
		Expect(hub.SetList("l", list)).To(Succeed())
	})
	watch := func(r syncer.Report) <-chan *syncer.Update {
		out := make(chan *syncer.Update, 1)
		go func() { out <- hub.Watch(context.Background(), &r) }()
		return out
	}
	// current is the update for a host that has all but the cold times.
	current := func(version int64) <-chan *syncer.Update {
		return watch(syncer.Report{Host: "h", List: "l", Cold: version, Wait: time.Second})
	}
	left := func(u *syncer.Update) time.Duration { return u.Cold.Left[list[0].Key().Hash()] }

	// Guards against a cold time that does not age while it is on its way, and against
	// one that reaches hosts only when something else in the list changes.
	It("are told to hosts by the time that is left, at once if it was refreshed", func() {
		u := <-current(syncer.NoColdVersion)
		Expect(u.Cold.Left).To(HaveLen(1))
		Expect(left(u)).To(Equal(8 * time.Second))
		version := u.Cold.Version
		clock.Advance(3 * time.Second)
		list[0].ColdLeft = 5 * time.Second
		hub.ConfirmList(list)
		u = <-watch(syncer.Report{Host: "h"})
		Expect(left(u)).To(Equal(5 * time.Second))
		Expect(u.Cold.Version).To(Equal(version), "it has only aged")

		waiting := current(version)
		list[0].ColdLeft = 8 * time.Second
		hub.ConfirmList(list)
		u = <-waiting
		Expect(left(u)).To(Equal(8 * time.Second))
		Expect(u.Cold.Version).NotTo(Equal(version))
		version = u.Cold.Version

		waiting = current(version)
		clock.Advance(100 * time.Millisecond)
		list[0].ColdLeft = 0
		hub.ConfirmList(list)
		Expect((<-waiting).Cold.Left).To(BeEmpty())
	})

	// Guards against hosts of the previous release, which do not tell what they have, that
	// call without a pause.
	It("do not end the calls of hosts that know none", func() {
		waiting := current(0)
		Consistently(waiting, 50*time.Millisecond).ShouldNot(Receive())
		clock.Advance(time.Second)
		Expect(<-waiting).NotTo(BeNil())
	})

	// Guards against hosts that never learn of an outage because they were cut off when
	// it was reported.
	It("are reported by hosts that could not reach them, for half a minute", func() {
		<-watch(syncer.Report{Host: "h", Outages: []placer.Outage{{Upstream: 7, Ended: true, Age: time.Second}}})
		clock.Advance(4 * time.Second)
		u := <-watch(syncer.Report{Host: "other"})
		Expect(u.Outages).To(Equal([]placer.Outage{{Upstream: 7, Ended: true, Age: 5 * time.Second}}))
		clock.Advance(26 * time.Second)
		Expect((<-watch(syncer.Report{Host: "other"})).Outages).To(BeEmpty())
	})

	// Guards against a host that starts after the end of an evacuation and sends to the
	// zone's upstreams as to warm ones, by a list that was read before it.
	It("are told as outages after the end of their zone's evacuation", func() {
		src := &source{leading: true, changed: make(chan struct{})}
		hub = syncer.NewHub(syncer.HubSettings{Source: src, Clock: clock})
		Expect(hub.SetList("l", []tracker.Upstream{{ID: "a", Zone: "x"}, {ID: "b", Zone: "y"}})).To(Succeed())
		src.pub.Evacuations = []declarer.Evacuation{{Zone: "x"}}
		Expect((<-watch(syncer.Report{Host: "h"})).Outages).To(BeEmpty())
		src.pub.Evacuations = nil
		<-watch(syncer.Report{Host: "h"})
		clock.Advance(time.Second)
		Expect((<-watch(syncer.Report{Host: "late"})).Outages).To(Equal([]placer.Outage{{Upstream: tracker.Upstream{ID: "a", Zone: "x"}.Key().Hash(), Ended: true, Age: time.Second}}))
	})
})
