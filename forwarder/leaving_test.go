package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/forwarder"
	"foxtailwall/matcher"
)

// routesOfEachKind returns a route of each kind of request, by name.
func routesOfEachKind() map[string]matcher.Route {
	return map[string]matcher.Route{
		"idempotent":            {Kind: matcher.Idempotent, MaxAttempts: 2},
		"may run once":          {Kind: matcher.NonIdempotent, MaxAttempts: 1},
		"stream":                {Kind: matcher.Stream, MaxAttempts: 2, Resumable: true},
		"stream that runs once": {Kind: matcher.Stream, MaxAttempts: 1},
	}
}

var _ = Describe("A host that leaves", func() {
	// Guards against requests that are accepted after SIGTERM and cut at the end of the
	// grace period: an estimate of their duration was taken for an upper bound, which
	// only their deadline is.
	It("takes a request only if its deadline passes before the host stops", func() {
		const leftMs = 60_000
		for name, route := range routesOfEachKind() {
			b := newTestbed()
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				writeEvent(w, 1)
			})
			route.Timeout = 2 * leftMs * time.Millisecond
			b.setRoute(route)
			b.fwd.Leave(forwarder.Departure{End: time.Now().Add(leftMs * time.Millisecond)})
			for _, output := range []string{"", "1"} {
				taken := b.send("POST", "/p/", "x", "X-Output", output, "X-Wait", fmt.Sprint(leftMs/2))
				Expect(taken.status).To(Equal(200), "%s, output %q", name, output)
				ran := len(b.ranUpstreams())
				for _, wait := range []string{"", fmt.Sprint(leftMs + 1000), fmt.Sprint(3 * leftMs)} {
					a := b.send("POST", "/p/", "x", "X-Output", output, "X-Wait", wait)
					Expect(a.status).To(Equal(503), "%s, output %q, deadline %q", name, output, wait)
					Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
				}
				Expect(b.ranUpstreams()).To(HaveLen(ran), "%s, output %q", name, output)
			}
		}
	})

	// Guards against callers that are refused again where their return reaches the same
	// host, since the platform goes on opening connections to it.
	It("lets callers return once they reach another host", func() {
		const left = time.Hour
		for _, v := range []struct {
			departure forwarder.Departure
			later     bool
		}{
			{forwarder.Departure{}, false},
			{forwarder.Departure{OutOfRotation: time.Now().Add(left)}, false},
			{forwarder.Departure{OutOfRotation: time.Now().Add(left), Neighbours: func() int { return 1 }}, false},
			{forwarder.Departure{OutOfRotation: time.Now().Add(left), Neighbours: func() int { return 0 }}, true},
			{forwarder.Departure{OutOfRotation: time.Now(), Neighbours: func() int { return 0 }}, false},
		} {
			b := newTestbed()
			b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 1, Timeout: 2 * left})
			v.departure.End = time.Now()
			b.fwd.Leave(v.departure)
			a := b.send("GET", "/p/", "")
			Expect(a.status).To(Equal(503))
			seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			if v.later {
				Expect(seconds).To(BeNumerically(">", (left - time.Minute).Seconds()))
			} else {
				Expect(seconds).To(BeNumerically("<", 1))
			}
		}
	})

	// cutOff sends a request, cuts it off at the upstream, after the first event if
	// begun, and returns the response.
	cutOff := func(route matcher.Route, begun bool) response {
		b := newTestbed()
		reached := make(chan struct{})
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			// The context ends with the connection only once the body was read.
			_, err := io.Copy(io.Discard, r.Body)
			Expect(err).NotTo(HaveOccurred())
			if begun {
				w.Header().Set("Content-Type", "text/event-stream")
				writeEvent(w, 1)
			}
			close(reached)
			<-r.Context().Done()
		})
		b.setRoute(route)
		req, err := http.NewRequest(http.MethodPost, b.frontend.URL+"/p/", strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Id", "id1")
		req.Header.Set("X-Key", "k")
		go func() {
			<-reached
			if !begun || route.Kind != matcher.Stream {
				b.fwd.CutOff()
			}
		}()
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		if begun && route.Kind == matcher.Stream {
			_, err = io.ReadFull(resp.Body, make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
			b.fwd.CutOff()
		}
		body, err := io.ReadAll(resp.Body)
		Expect(b.ranUpstreams()).To(HaveLen(1))
		return response{status: resp.StatusCode, body: string(body), err: err}
	}

	// Guards against requests that began before the host left and end with a closed
	// connection and no answer when it stops.
	It("answers the requests that it cuts off, unless a part of their answer was sent", func() {
		for name, route := range routesOfEachKind() {
			for _, begun := range []bool{false, true} {
				a := cutOff(route, begun)
				if begun && route.Kind == matcher.Stream {
					Expect(a.status).To(Equal(200), name)
					Expect(a.err).To(HaveOccurred(), name)
					continue
				}
				Expect(a.err).NotTo(HaveOccurred(), name)
				Expect(a.status).To(Equal(502), name)
				Expect(a.body).To(Equal("shuttingDown\n"), name)
			}
		}
	})

	// Guards against a request that is passed on, or called not run, after the cut-off.
	It("passes no request on after the cut-off", func() {
		b := newTestbed()
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1})
		b.fwd.CutOff()
		Expect(b.send("POST", "/p/", "x").status).To(Equal(503))
		Expect(b.ranUpstreams()).To(BeEmpty())
	})
})
