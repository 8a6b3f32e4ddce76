package forwarder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
)

// Guards against a header within the limit that is refused because the optional spaces
// before its many short values are counted although the caller does not send them.
var _ = Describe("A header of very short fields", func() {
	It("is served up to its size on the wire", func() {
		const limit = 2000
		b := newTestbed()
		b.limits = matcher.Limits{HeaderBytes: limit}
		b.setRoute(matcher.Route{Kind: matcher.Idempotent})
		b.addUpstream(func(http.ResponseWriter, *http.Request) {})
		head := "GET /p/ HTTP/1.1\r\nHost:127.0.0.1\r\nX-Id:id1\r\nX-Key:k\r\n"
		fields := (limit - len(head) - len("\r\n")) / len("a:1\r\n")
		send := func(fields int) int {
			conn, err := net.Dial("tcp", b.frontend.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprint(conn, head+strings.Repeat("a:1\r\n", fields)+"\r\n")
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			return resp.StatusCode
		}
		Expect(send(fields)).To(Equal(http.StatusOK))
		Expect(send(fields + 20)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})
})
