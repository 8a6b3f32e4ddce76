package hoster

import (
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/refuser"
	"foxtailwall/replicator"
)

var _ = Describe("Errors of refused proposals", func() {
	// Guards against endless retries of a command that is too large for every
	// host, because it was reported as a missing leader.
	It("distinguish a command that is too large from a missing leader", func() {
		err := proposer{}.convertError(errors.WithStack(&replicator.TooLargeError{Size: 5, Limit: 4}))
		r, ok := refuser.As(err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(r.Code).To(Equal(refuser.BadRequest))
		Expect(r.Outcome).To(Equal(refuser.NotRun))
		var nl *controller.NotLeaderError
		Expect(proposer{}.convertError(&replicator.NotLeaderError{})).To(BeAssignableToTypeOf(nl))
	})
})
