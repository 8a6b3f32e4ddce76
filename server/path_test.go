package server_test

import (
	"net/http"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
)

const (
	wholeBody  = `{"model":"engraver","messages":[{"role":"user","content":"hello"}],"seed":4}`
	streamBody = `{"model":"engraver","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	bookingKey = "0197f5d8-6c3a-7b6e-9d43-0f4c2a5b7e10"
)

var _ = Describe("an entry host", func() {
	var (
		e *engine
		h *host
	)
	BeforeEach(func() {
		e = newEngine(3)
		DeferCleanup(e.Close)
		at := []netip.AddrPort{addrOf(e.Listener)}
		h = startHost(testConfig(at, at, false))
	})

	// Guards against a response that is altered, not billed or billed twice.
	It("returns an unstreamed response with one billing record", func() {
		resp, body := h.send("POST", "/v1/chat/completions", wholeBody)
		Expect(resp.StatusCode).To(Equal(http.StatusOK), body)
		Expect(body).To(ContainSubstring(`"model":"engraver/v1"`))
		recs := h.bills.records()
		Expect(recs).To(HaveLen(1))
		Expect(recs[0].ID).To(Equal(resp.Header.Get("Foxtailwall-Request")))
		Expect(recs[0].CostNanos).To(Equal(int64(3*10 + 3*100)))
		Expect(recs[0].Ending).To(Equal(biller.Complete))
	})

	// Guards against a stream that loses chunks or [DONE], or ends before its
	// billing record is held.
	It("returns a streamed response with one billing record", func() {
		resp, body := h.send("POST", "/v1/chat/completions", streamBody)
		Expect(resp.StatusCode).To(Equal(http.StatusOK), body)
		Expect(strings.Count(body, "data: ")).To(Equal(3 + 1 + 1))
		Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(h.bills.records()).To(HaveLen(1))
		Expect(h.bills.records()[0].Steps[0].OutputTokens).To(Equal(int64(3)))
	})

	// Guards against a retried booking that runs twice.
	It("returns the stored response when a booking is retried", func() {
		first, body := h.send("POST", "/services/laser/book?slot=4", "flask", "Idempotency-Key", bookingKey)
		Expect(first.StatusCode).To(Equal(http.StatusOK), body)
		Expect(body).To(Equal("POST /book?slot=4 flask"))
		again, stored := h.send("POST", "/services/laser/book?slot=4", "flask", "Idempotency-Key", bookingKey)
		Expect(stored).To(Equal(body))
		Expect(again.Header.Get("Foxtailwall-Stored")).To(Equal(first.Header.Get("Foxtailwall-Request")))
		Expect(e.calls.Load()).To(Equal(int64(1)))
		Expect(h.bills.records()).To(HaveLen(1))
	})

	It("forwards an idempotent call", func() {
		resp, body := h.send("GET", "/services/laser/status/4", "")
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("GET /status/4 "))
	})
})
