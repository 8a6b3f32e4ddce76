package server_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/dialer"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/server"
)

// faultyUpstream makes an upstream echo the nonce of each request or, by a
// seeded random choice, send the response to another request, a truncated one
// or none.
type faultyUpstream struct {
	mu   sync.Mutex
	rng  *rand.Rand
	last string // The previous response body, sent again as a wrong one.
}

// nextFault returns a random number that selects the fault of the next response
// and the previous response body.
func (f *faultyUpstream) nextFault() (fault int, last string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(12), f.last
}

func (f *faultyUpstream) serve(w http.ResponseWriter, r *http.Request) bool {
	id, nonce := r.Header.Get("Foxtailwall-Request"), r.Header.Get("X-Nonce")
	body := fmt.Sprintf("%s is %s", id, nonce)
	fault, last := f.nextFault()
	f.mu.Lock()
	f.last = body
	f.mu.Unlock()
	format := "HTTP/1.1 200 OK\r\nFoxtailwall-Request: %s\r\nContent-Length: %d\r\n\r\n%s"
	mine := fmt.Sprintf(format, id, len(body), body)
	lastID, _, _ := strings.Cut(last, " ")
	other := fmt.Sprintf(format, lastID, len(last), last)
	c, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	switch fault {
	case 0:
		fmt.Fprint(c, other) // The response to another request.
	case 1:
		fmt.Fprint(c, other+mine) // A late response before the right one.
	case 2:
		fmt.Fprint(c, mine[:len(mine)-3])
	case 3:
		fmt.Fprint(c, "HTTP/1.1 503 Leaving\r\nFoxtailwall-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
	case 4: // Closes without a response.
	default:
		fmt.Fprint(c, mine+other) // The right response, then an unrequested one.
	}
	return true
}

var _ = Describe("an entry host with many callers and a faulty upstream", func() {
	// Guards against delivering crossed, late, truncated or repeated responses
	// under load: a caller gets the complete response to its request or a
	// refusal, and each response has one billing record.
	It("returns to each caller the response to its request and bills it once", func() {
		const seed, callers, each = 3, 16, 40
		f := &faultyUpstream{last: "none is none", rng: rand.New(rand.NewPCG(seed, seed))}
		e := newEngine(1)
		DeferCleanup(e.Close)
		e.hook = f.serve
		at := addrOf(e.Listener)
		h := startHost(testConfig(nil, []netip.AddrPort{at, at, at}, false),
			func(_ *server.Options, o *router.Options, _ *dialer.Options) { o.HedgeAfter = 20 * time.Millisecond })
		var mu sync.Mutex
		answered := make(map[string]bool)
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				defer GinkgoRecover()
				for j := range each {
					nonce := fmt.Sprintf("nonce-%d-%d", i, j)
					resp, body := h.send("GET", "/services/laser/status", "", "X-Nonce", nonce)
					id := resp.Header.Get("Foxtailwall-Request")
					if resp.StatusCode != http.StatusOK {
						Expect(decodeProblem(body).Outcome).NotTo(Equal(refuser.Ran))
						continue
					}
					Expect(body).To(And(HavePrefix(id+"-"), HaveSuffix(" is "+nonce)))
					mu.Lock()
					answered[id] = true
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		Expect(len(answered)).To(BeNumerically(">", callers*each/2))
		billed := make(map[string]int)
		for _, r := range h.bills.records() {
			billed[r.ID]++
		}
		Expect(billed).To(HaveLen(len(answered)))
		for id, n := range billed {
			Expect(answered).To(HaveKey(id))
			Expect(n).To(Equal(1))
		}
	})
})
