package coordinator_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/coordinator"
	"foxtailwall/journaler"
)

// startWithDisks starts n hosts, each with a disk in memory.
func startWithDisks(n, lostDisks int) (*hosts, []*journaler.Memory) {
	h := newHosts(n)
	disks := make([]*journaler.Memory, n)
	for i := range n {
		disks[i] = &journaler.Memory{}
		h.startWith(i, func(s *coordinator.Settings) {
			s.Bootstrap, s.LostDisks, s.Disk = true, lostDisks, disks[i]
		})
	}
	return h, disks
}

// putDocument stores a document of the size through any of the hosts, which operators
// call in turn, and retries until it is acknowledged.
func (h *hosts) putDocument(version uint64, size int) {
	body := bytes.Repeat([]byte{byte(version)}, size)
	next := 0
	Eventually(func() error {
		next++
		_, err := h.running[next%len(h.running)].PutDocument(context.Background(), controller.Document{Version: version, Body: body})
		return err
	}, eventTimeout).WithContext(h.ctx).Should(Succeed())
}

var _ = Describe("Control hosts whose disks are full one after another", func() {
	// Guards against changes that are refused long after all disks have room again,
	// although all processes run: a host whose disk was full did not take part in the
	// control group any more, and the next one made it lose its majority.
	DescribeTable("acknowledge changes, small and large, to the end of the day",
		func(n, lostDisks int, seed uint64) {
			rng := rand.New(rand.NewPCG(seed, seed))
			h, disks := startWithDisks(n, lostDisks)
			version := uint64(0)
			put := func(size int) {
				version++
				h.putDocument(version, size)
			}
			put(10)
			for round := range 2 * n {
				disk := disks[round%n]
				disk.Fill(rng.IntN(3) * rng.IntN(100_000))
				for range 3 {
					put(10 + rng.IntN(2)*rng.IntN(200_000))
				}
				if rng.IntN(2) == 0 {
					// A host that is killed while its disk is full.
					h.stop(round % n)
					h.startWith(round%n, func(s *coordinator.Settings) { s.LostDisks, s.Disk = lostDisks, disk })
				}
				disk.Empty()
				put(10)
				// The host has caught up before the next disk is full.
				Eventually(h.version(round%n), eventTimeout).WithContext(h.ctx).Should(Equal(version))
				Eventually(h.running[round%n].PublishedVersion, eventTimeout).WithContext(h.ctx).Should(Equal(version), fmt.Sprint("round ", round))
			}
			for i := range n {
				put(200_000)
				// On a busy machine a read may exceed its time limit and is repeated, but what
				// it returns is the newest version.
				var d controller.Document
				Eventually(func() (err error) {
					d, err = h.running[i].CurrentDocument(context.Background())
					return err
				}, eventTimeout).WithContext(h.ctx).Should(Succeed())
				Expect(d.Version).To(Equal(version))
			}
		},
		Entry("three hosts", 3, 1, uint64(1)), Entry("three hosts, other sizes", 3, 1, uint64(2)),
		Entry("six hosts, of which five vote", 6, 2, uint64(3)),
	)
})

// Guards against a group that loses its majority for ever with the disk of one host: while
// it is forming, its first changes were acknowledged by two voters, which are also its
// majority.
var _ = Describe("A control group that is forming", func() {
	It("acknowledges nothing before it tolerates the loss of a disk", func(ctx context.Context) {
		h, release := newHosts(3), make(chan struct{})
		for i := range 3 {
			disk, writes := &journaler.Memory{}, 0
			if i == 2 {
				// The last host asks to join, after the two writes of a new folder, but stores
				// no entry.
				disk.SetFault(func(op, _ string) error {
					if op == "write" {
						writes++
					}
					if writes > 2 {
						<-release
					}
					return nil
				})
			}
			h.startWith(i, func(s *coordinator.Settings) { s.Bootstrap, s.Disk = true, disk })
		}
		DeferCleanup(func() { close(release) })
		Eventually(h.running[0].Voters, eventTimeout).WithContext(h.ctx).Should(Equal(2))
		put := func() error {
			_, err := h.running[0].PutDocument(ctx, controller.Document{Version: 1})
			return err
		}
		Eventually(put, eventTimeout).WithContext(h.ctx).Should(MatchError(ContainSubstring("enough voters")))
		Consistently(put, 500*time.Millisecond, 50*time.Millisecond).Should(HaveOccurred())
	})
})
