package hoster

import (
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/refuser"
	"foxtailwall/replicator"
)

var _ = Describe("Refused proposals", func() {
	// Guards against a command that no host can take and that is repeated for
	// ever, because its caller is told that there is no leader.
	It("tell a command that is too large from a missing leader", func() {
		err := proposer{}.translate(errors.WithStack(&replicator.TooLargeError{Size: 5, Limit: 4}))
		r, ok := refuser.As(err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(r.Code).To(Equal(refuser.BadRequest))
		Expect(r.Outcome).To(Equal(refuser.NotRun))
		var nl *controller.NotLeaderError
		Expect(proposer{}.translate(&replicator.NotLeaderError{})).To(BeAssignableToTypeOf(nl))
	})
})
