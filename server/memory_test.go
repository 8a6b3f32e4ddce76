package server_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/allotter"
	"foxtailwall/biller"
	"foxtailwall/dialer"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/server"
)

// panickingBills panics as a fault of this program would, after the answer was read.
type panickingBills struct{}

func (panickingBills) Hold(context.Context, biller.Record) (bool, error) { panic("injected") }

var _ = Describe("the memory of a large response", func() {
	const size = 12 << 20 // More than the buffers of a connection hold.
	var (
		memory *allotter.Memory
		at     []netip.AddrPort
	)
	BeforeEach(func() {
		memory = &allotter.Memory{Total: 24 << 20}
		e := newEngine(1)
		DeferCleanup(e.Close)
		e.hook = func(w http.ResponseWriter, r *http.Request) bool {
			if r.URL.RawQuery != "large" {
				return false
			}
			w.Header().Set("Foxtailwall-Request", r.Header.Get("Foxtailwall-Request"))
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = w.Write(make([]byte, size)) // The host may have disconnected.
			return true
		}
		at = []netip.AddrPort{addrOf(e.Listener)}
	})

	// Guards against responses that callers don't read: together they exceeded the memory
	// of the process, since each share was released before its response was written.
	It("is held until it was written or its caller disconnects, and others wait for it", func() {
		h := startHost(testConfig(nil, at, false), func(so *server.Options, _ *router.Options, do *dialer.Options) {
			so.Memory, do.Memory, so.WriteTimeout = memory, memory, time.Minute
		})
		c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
		fmt.Fprintf(c, "GET /services/laser/status?large HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", apiKey)
		Eventually(memory.Used, "20s").Should(BeNumerically(">=", size))
		Eventually(h.bills.records, "20s").Should(HaveLen(1))
		answered := make(chan string)
		go func() {
			defer GinkgoRecover()
			resp, body := h.send("GET", "/services/laser/status?large", "")
			answered <- fmt.Sprint(resp.StatusCode, " ", len(body))
		}()
		Eventually(h.scope.Snapshot, "20s").Should(ContainElement(And(HaveField("Name", "dialer.memoryWaits"), HaveField("Value", 1.0))))
		resp, _ := h.send("GET", "/services/laser/status", "")
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(answered).NotTo(Receive())
		Expect(memory.Used()).To(BeNumerically(">=", size))
		c.Close()
		Eventually(answered, "20s").Should(Receive(Equal(fmt.Sprint(http.StatusOK, " ", size))))
		Eventually(memory.Used, "20s").Should(BeZero())
	})

	// Guards against memory that no request holds any more.
	It("is released if the handler panics", func() {
		h := startHost(testConfig(nil, at, false), func(so *server.Options, ro *router.Options, do *dialer.Options) {
			so.Memory, do.Memory, ro.Bills = memory, memory, panickingBills{}
		})
		resp, body := h.send("GET", "/services/laser/status?large", "")
		Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
		Expect(decodeProblem(body).Outcome).To(Equal(refuser.Unknown))
		Eventually(memory.Used, "20s").Should(BeZero())
	})
})
