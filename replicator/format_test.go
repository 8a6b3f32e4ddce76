package replicator

import (
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/journaler"
)

// Guards against an entry in the log that a member of another release cannot apply,
// and against entries that stay refused once all members have been upgraded.
var _ = Describe("The version of log entries", func() {
	// answer acknowledges all entries on behalf of a member that applies the version.
	answer := func(c *core, from string, format uint32, sent time.Duration) {
		Expect(c.handleMessage(c.now, &Message{Kind: kindAppendReply, From: from, Term: 3, Index: c.log.lastIndex(), Sent: sent, Format: format})).To(Succeed())
	}
	newLeader := func(stored uint32) *core {
		c := newTestCore(journaler.Meta{Term: 2}, Member{ID: "a", Name: "a", Voter: true, Format: 1},
			Member{ID: "b", Name: "b", Voter: true, Format: stored}, Member{ID: "c", Name: "c", Format: stored})
		c.self.Format = 1
		electLeader(c)
		return c
	}
	refusedFor := func(c *core) string {
		err := c.checkFormat(1)
		if err == nil {
			return ""
		}
		var fe *FormatError
		Expect(errors.As(err, &fe)).To(BeTrue())
		Expect(fe.Member.Format).To(BeZero())
		return fe.Member.Name
	}

	It("is the lowest that a member reported, and stored for the next leader", func() {
		c := newLeader(0)
		Expect(refusedFor(c)).To(Equal("b"))
		answer(c, "b", 1, c.now)
		Expect(refusedFor(c)).To(Equal("c"), "a learner applies entries too")
		answer(c, "c", 1, c.now)
		Expect(refusedFor(c)).To(BeEmpty())
		c.tick(c.now + time.Millisecond)
		c.takeOutput()
		c.markSynced()
		for _, m := range c.membership() {
			Expect(m.Format).To(Equal(uint32(1)), m.Name)
		}

		// b goes back to the earlier release; an answer from before that arrives late.
		before := c.now
		c.tick(c.now + time.Millisecond)
		answer(c, "b", 0, c.now)
		answer(c, "b", 1, before)
		Expect(refusedFor(c)).To(Equal("b"))
		c.tick(c.now + time.Millisecond)
		Expect(c.membership()[1].Format).To(BeZero())
	})

	It("is the stored one until a member answers the new leader", func() {
		c := newLeader(1)
		Expect(refusedFor(c)).To(BeEmpty())
		answer(c, "b", 0, c.now)
		Expect(refusedFor(c)).To(Equal("b"))
	})

	It("is none for a member that is about to join", func() {
		c := newLeader(1)
		answer(c, "b", 1, c.now)
		_, err := c.addLearner(Member{ID: "d", Name: "d"})
		Expect(err).NotTo(HaveOccurred())
		Expect(refusedFor(c)).To(Equal("d"))
	})
})
