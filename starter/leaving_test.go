package starter_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
)

const (
	// eventCount and eventPause give streams that last longer than the estimate for
	// their number of tokens.
	eventCount = 22
	eventPause = 100 * time.Millisecond
	plainWork  = 200 * time.Millisecond
)

// ranRequests has the IDs of the requests that reached an upstream.
type ranRequests struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *ranRequests) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ids == nil {
		r.ids = make(map[string]bool)
	}
	r.ids[id] = true
}

func (r *ranRequests) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

// slowUpstream answers streams event by event and other requests after a while.
func (r *ranRequests) slowUpstream(w http.ResponseWriter, req *http.Request) {
	r.add(req.Header.Get("X-Id"))
	w.Header().Set("X-Id", req.Header.Get("X-Id"))
	if !strings.HasPrefix(req.URL.Path, "/stream") {
		<-time.After(plainWork)
		fmt.Fprint(w, "done")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= eventCount; i++ {
		<-time.After(eventPause)
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		w.(http.Flusher).Flush()
	}
}

// kindsConfig has a route for each kind of request, with prefixes that
// slowUpstream knows.
func kindsConfig() matcher.Config {
	c := config(1, "/plain/")
	plain := c.Routes[0]
	plain.Timeout = time.Second
	add := func(prefix string, kind matcher.Kind, timeout time.Duration, resumable bool) {
		r := plain
		r.Name, r.Prefix, r.Kind, r.Timeout, r.Resumable = prefix, prefix, kind, timeout, resumable
		r.MaxPause = time.Second
		c.Routes = append(c.Routes, r)
	}
	c.Routes = nil
	add("/plain/", matcher.Idempotent, time.Second, false)
	add("/plain-once/", matcher.NonIdempotent, time.Second, false)
	add("/stream/", matcher.Stream, 20*time.Second, true)
	add("/stream-once/", matcher.Stream, 20*time.Second, false)
	return c
}

// keptConn is a caller's connection that has carried a request.
type keptConn struct {
	net.Conn
	br *bufio.Reader
}

func (d *deployment) openKeptConn() *keptConn {
	conn, err := net.Dial("tcp", d.entry.Callers.String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	k := &keptConn{Conn: conn, br: bufio.NewReader(conn)}
	status, _, err := k.send("/plain/", "first")
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(200))
	return k
}

// send sends a request and reads the whole response. The error is nil only if there
// is a complete one.
func (k *keptConn) send(path, id string) (status int, body string, err error) {
	if _, err := fmt.Fprintf(k, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: %s\r\nX-Output: %d\r\nContent-Length: 4\r\n\r\nbody", path, id, eventCount); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

var _ = Describe("a planned stop through its whole grace period", func() {
	// Guards against requests that are accepted after SIGTERM on connections that were
	// open before and cut at the end of the grace period, with a part of their answer or
	// none, although they may not be repeated.
	It("answers or refuses each request on kept connections, of every kind", func() {
		var ran ranRequests
		d := startDeployment(ran.slowUpstream, ran.slowUpstream)
		d.putConfig(kindsConfig())
		d.eventually(status(d.entry.Ready, "/ready")).Should(Equal(200))
		const perKind = 28
		paths := []string{"/plain/", "/plain-once/", "/stream/", "/stream-once/"}
		conns := make([]*keptConn, perKind*len(paths))
		var wg sync.WaitGroup
		for i := range conns {
			wg.Go(func() {
				defer GinkgoRecover()
				conns[i] = d.openKeptConn()
			})
		}
		wg.Wait()
		d.stopEntry()
		faults := make(chan string, len(conns))
		for i, conn := range conns {
			path, id := paths[i%len(paths)], fmt.Sprint("late-", i)
			wg.Go(func() {
				defer GinkgoRecover()
				<-time.After(time.Duration(i/len(paths)) * d.entry.Grace / perKind)
				code, body, err := conn.send(path, id)
				switch {
				case code == http.StatusServiceUnavailable && err == nil:
					if ran.has(id) {
						faults <- fmt.Sprintf("%s %s was refused as not run and ran", id, path)
					}
				case code == http.StatusOK && err == nil:
					if strings.HasPrefix(path, "/stream") && strings.Count(body, "\n\n") != eventCount {
						faults <- fmt.Sprintf("%s %s is incomplete and ended as complete", id, path)
					}
				case ran.has(id):
					faults <- fmt.Sprintf("%s %s ran and ended with status %d, %d bytes, %v", id, path, code, len(body), err)
				}
			})
		}
		wg.Wait()
		close(faults)
		var all []string
		for f := range faults {
			all = append(all, f)
		}
		Expect(all).To(BeEmpty())
		d.eventually(d.ended).Should(Receive(BeNil()))
	})

	// Guards against a caller that gets a closed connection and no answer because its
	// request began before SIGTERM and outlasts the grace period.
	It("answers each request that outlasts it and was not answered in part", func() {
		reached := make(chan struct{}, 4)
		d := startDeployment(func(_ http.ResponseWriter, r *http.Request) {
			// The context ends with the connection only once the body was read.
			_, err := io.Copy(io.Discard, r.Body)
			Expect(err).NotTo(HaveOccurred())
			reached <- struct{}{}
			<-r.Context().Done()
		})
		conf := kindsConfig()
		for i := range conf.Routes {
			conf.Routes[i].Timeout = time.Hour
		}
		d.putConfig(conf)
		d.eventually(status(d.entry.Ready, "/ready")).Should(Equal(200))
		answers := make(chan string, len(conf.Routes))
		for _, route := range conf.Routes {
			go func() {
				defer GinkgoRecover()
				conn, err := net.Dial("tcp", d.entry.Callers.String())
				Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				code, _, err := (&keptConn{Conn: conn, br: bufio.NewReader(conn)}).send(route.Prefix, route.Name)
				answers <- fmt.Sprintf("%s %d %v", route.Name, code, err)
			}()
		}
		for range conf.Routes {
			d.eventually(reached).Should(Receive())
		}
		d.stopEntry()
		for range conf.Routes {
			d.eventually(answers).Should(Receive(HaveSuffix(" 502 <nil>")))
		}
		d.eventually(d.ended).Should(Receive(BeNil()))
	})
})

var _ = Describe("a planned stop of a control host", func() {
	// Guards against operators whose change was carried out and who get a closed
	// connection, because the host was stopped before it had answered.
	It("answers the calls that are under way", func() {
		d := startDeployment()
		d.putConfig(config(1, "/a/"))
		body, err := json.Marshal(config(2, "/b/"))
		Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/2", d.control.Operators), bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Stop", "1")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(200))
	})
})
