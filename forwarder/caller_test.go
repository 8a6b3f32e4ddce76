package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
)

var _ = Describe("A caller that closes the sending half of its connection", func() {
	// Guards against a success without an upstream's response, and against a stream
	// that ends as if it were complete: the handler returned normally after the
	// caller's context had ended.
	DescribeTable("gets no response that looks complete",
		func(kind matcher.Kind, begun bool, want string) {
			b := newTestbed()
			sent, canceled := make(chan struct{}), make(chan struct{})
			b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
				// The server detects a closed connection only after the body is read.
				_, err := io.Copy(io.Discard, r.Body)
				Expect(err).NotTo(HaveOccurred())
				if begun {
					writeEvent(w, 1)
				}
				close(sent)
				<-r.Context().Done()
				close(canceled)
			})
			b.setRoute(matcher.Route{Kind: kind, MaxAttempts: 1, Resumable: true})
			conn, err := net.Dial("tcp", b.frontend.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			writeRaw(conn, "POST /p/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: id1\r\nX-Key: k\r\nContent-Length: 1\r\n\r\nx")
			Eventually(sent, time.Minute).Should(BeClosed())
			Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			Eventually(canceled, time.Minute).Should(BeClosed())
			got, err := io.ReadAll(conn)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got)).To(HaveSuffix(want))
			if !begun {
				Expect(got).To(BeEmpty())
			}
		},
		Entry("plain request", matcher.Idempotent, false, ""),
		Entry("request that may run once", matcher.NonIdempotent, false, ""),
		Entry("stream before its first event", matcher.Stream, false, ""),
		Entry("stream after its first event", matcher.Stream, true, "data: e1\n\n\r\n"),
	)
})
