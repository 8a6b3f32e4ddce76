package explainer_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/explainer"
)

func TestExplainer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explainer")
}

const entry1Log = `
  1.2 entry-1 {"level":"info","host":"entry-1","time":"2026-01-01T10:00:00.5Z","message":"configuration in force","config":7}
{"level":"info","host":"entry-1","time":"2026-01-01T09:00:00Z","message":"entry started"}
not a log line
{"level":"info","host":"entry-1","request":"b","time":"2026-01-01T10:00:01Z","message":"request ended"}
{"level":"info","host":"entry-1","request":"a","time":"2026-01-01T10:00:02Z","message":"request ended","status":502}
{"level":"info","host":"entry-1","request":"a","time":"2026-01-01T10:00:01Z","message":"attempt failed","upstream":"u1","kind":"reset"}
`

const entry2Log = `{"level":"info","host":"entry-2","time":"2026-01-01T10:00:01Z","message":"lost the leader of the control group"}`

var _ = Describe("Read", func() {
	// Guards against including lines of other requests and hosts, and against
	// missing or wrongly sorted lines.
	It("returns the lines of one request and the related lines of its host", func() {
		lines, err := explainer.Read("a", strings.NewReader(entry1Log), strings.NewReader(entry2Log))
		Expect(err).NotTo(HaveOccurred())
		var messages []string
		for _, l := range lines {
			messages = append(messages, l.Message)
		}
		Expect(messages).To(Equal([]string{"configuration in force", "attempt failed", "request ended"}))
		Expect(lines[1].String()).To(ContainSubstring("> 10:00:01.000 entry-1"))
		Expect(lines[1].String()).To(HaveSuffix("kind=reset upstream=u1"))
	})

	It("returns an error if no line has the request ID", func() {
		_, err := explainer.Read("none", strings.NewReader(entry1Log))
		var nf *explainer.NotFoundError
		Expect(errors.As(err, &nf)).To(BeTrue())
	})
})
