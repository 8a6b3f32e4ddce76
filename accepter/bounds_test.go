package accepter_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/accepter"
	"foxtailwall/allotter"
)

// Guards against defaults that ordinary callers meet, and against parts that together
// exceed a host.
var _ = DescribeTable("the bounds of a host leave room for ordinary callers",
	func(memoryMB int64, descriptors int) {
		s := accepter.Settings{ProcessMemory: memoryMB << 20, Descriptors: descriptors}
		Expect(s.Check()).To(Succeed())
		b := s.Bounds()
		// Each request has a connection to an upstream, and as many may be unused.
		Expect(b.CallerConns + 2*b.Requests + b.HostConns + 2*b.OtherConns).To(BeNumerically("<=", descriptors))
		Expect(b.CallerConns).To(BeNumerically(">=", 1500))
		Expect(b.Requests).To(BeNumerically(">=", 450))
		// Three bodies of 4 MiB are received at once, with half more while they grow.
		up := b.Memory.NewUpload(allotter.Holder{Workspace: "w"}, func() {})
		Expect(up.Grow(3 * 6 << 20)).To(Succeed())
		up.Release()
	},
	Entry("with 144 MB", int64(144), 3075),
	Entry("with 184 MB", int64(184), 4100),
	Entry("with 424 MB", int64(424), 10250),
)
