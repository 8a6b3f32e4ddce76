package counter_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/counter"
)

func TestCounter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "counter")
}

var _ = Describe("Scope", func() {
	// Guards against losing values when the scope is closed, which would make
	// the last error budget report of a host too favorable.
	It("includes all values in Snapshot after Close", func() {
		s := counter.New("f")
		s.Counter("requests", "code", "ok").Inc(3)
		s.Counter("requests", "code", "ok").Inc(4)
		s.Gauge("open").Update(2)
		for ms := range 100 {
			s.Record("took", time.Duration(ms+1)*time.Millisecond)
		}
		Expect(s.Close()).To(Succeed())
		got := map[string]counter.Sample{}
		for _, v := range s.Snapshot() {
			got[v.Name] = v
		}
		Expect(got["f.requests"].Value).To(Equal(7.0))
		Expect(got["f.requests"].Tags).To(Equal(map[string]string{"code": "ok"}))
		Expect(got["f.open"].Value).To(Equal(2.0))
		Expect(got["f.took"].Count).To(Equal(int64(100)))
		Expect(got["f.took"].P95).To(BeNumerically("~", 95*time.Millisecond, time.Millisecond))
	})

	It("drops all values if it is the zero value", func() {
		var s counter.Scope
		s.Counter("requests").Inc(1)
		s.Record("took", time.Second)
		Expect(s.Snapshot()).To(BeEmpty())
		Expect(s.Close()).To(Succeed())
	})
})
