package starter_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
	"foxtailwall/refuser"
	"foxtailwall/starter"
)

// Ways in which a partitioned host loses its connections to upstreams.
const (
	// connected is the state without a partition.
	connected partitionMode = iota
	// refusing resets open connections and refuses new ones.
	refusing
	// hanging carries no data on open connections, and new ones do not open.
	hanging
	// refusingNew keeps open connections and refuses new ones.
	refusingNew
	// resetting resets open connections, and new ones once a request was written to them.
	resetting
)

type (
	partitionMode int32

	// partition carries the connections of one host to upstreams.
	partition struct {
		mode  atomic.Int32
		mu    sync.Mutex
		conns []*partitionedConn
		// resetter is the address to which connections are opened that are reset, and
		// received has the IDs of the requests sent there, for all hosts.
		resetter string
		received *sync.Map
	}

	// partitionedConn is a connection that is lost with its partition.
	partitionedConn struct {
		net.Conn
		p *partition
		// closed is closed with the connection.
		closed    chan struct{}
		closeOnce sync.Once
	}
)

// set begins or ends a partition. Connections that hang stay lost.
func (p *partition) set(m partitionMode) {
	p.mode.Store(int32(m))
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == refusing || m == resetting {
		for _, c := range p.conns {
			c.Close()
		}
		p.conns = nil
	}
}

func (p *partition) is(modes ...partitionMode) bool {
	for _, m := range modes {
		if partitionMode(p.mode.Load()) == m {
			return true
		}
	}
	return false
}

// dial is the starter.Options.DialUpstream of the host.
func (p *partition) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch {
	case p.is(refusing, refusingNew):
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case p.is(hanging):
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if p.is(resetting) {
		address = p.resetter
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &partitionedConn{Conn: conn, p: p, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	return c, nil
}

func (c *partitionedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.p.is(hanging) {
		// As the kernel does after TCP_USER_TIMEOUT.
		select {
		case <-c.closed:
		case <-time.After(time.Second):
		}
		return 0, os.NewSyscallError("read", syscall.ETIMEDOUT)
	}
	return n, err
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.p.is(hanging) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// startPartitionable starts a deployment of three entries, the first of which is the
// deployment's own, and returns the settings and partitions of all.
func startPartitionable(upstreams ...http.HandlerFunc) ([]starter.Settings, []*partition, *deployment) {
	var received sync.Map
	var partitions []*partition
	resetter := startResetter(&received)
	for range 3 {
		partitions = append(partitions, &partition{resetter: resetter, received: &received})
	}
	d := newDeployment(upstreams...)
	d.opts.DialUpstream = partitions[0].dial
	d.start()
	entries := []starter.Settings{d.entry}
	for i, p := range partitions[1:] {
		o := d.opts
		o.DialUpstream = p.dial
		entries = append(entries, d.startEntry(fmt.Sprint("e", i+1), o))
	}
	return entries, partitions, d
}

// startResetter starts a stand-in that accepts connections and resets each one after it
// has received the head of a request, whose ID it adds to received.
func startResetter(received *sync.Map) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					received.Store(r.Header.Get("X-Id"), true)
				}
				_ = c.(*net.TCPConn).SetLinger(0) // Fails only on a closed connection.
			}()
		}
	}()
	return l.Addr().String()
}

// sentRequests numbers the requests of sendOnce.
var sentRequests atomic.Int64

// sendOnce sends one request with an ID of its own on a connection of its own and returns
// the status, or 0.
func sendOnce(addr netip.AddrPort, method string) int {
	status, _ := sendWithID(addr, method, fmt.Sprint("r", sentRequests.Add(1)))
	return status
}

// sendWithID is sendOnce with the given ID; it also returns the body.
func sendWithID(addr netip.AddrPort, method, id string) (status int, body string) {
	req, err := http.NewRequest(method, "http://"+addr.String()+"/a/x", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	req.GetBody = nil // The client must not send it again by itself.
	req.Header.Set("X-Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// Guards against hosts that refuse or fail all requests while they are partitioned from
// all upstreams, although callers and hosts that reach upstreams reach them.
var _ = Describe("Hosts that are partitioned from all upstreams", func() {
	modes := []string{connected: "", refusing: "reset connections", hanging: "silent connections", refusingNew: "only new connections refused", resetting: "new connections accepted and reset"}
	for mode, name := range modes[refusing:] {
		mode := refusing + partitionMode(mode)
		kinds := []string{matcher.NonIdempotent: "requests that may run once", matcher.Idempotent: "idempotent requests"}
		for kind, kindName := range kinds {
			It(fmt.Sprintf("have %s served by other hosts: %s", kindName, name), func() {
				serve := func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("X-Id", r.Header.Get("X-Id"))
					// Some connections end, so that new ones are needed.
					w.Header().Set("Connection", "close")
				}
				entries, partitions, d := startPartitionable(serve, serve, serve, serve)
				conf := config(1, "/a/")
				conf.Routes[0].Kind = matcher.Kind(kind)
				d.putConfig(conf)
				for _, e := range entries {
					d.eventually(status(e.Ready, "/ready")).Should(Equal(200))
					d.eventually(func() int { return sendOnce(e.Callers, http.MethodPost) }).Should(Equal(200))
				}
				const partitioned, inRow = 2, 20
				for _, p := range partitions[:partitioned] {
					p.set(mode)
				}
				served := func(addr netip.AddrPort) func() int {
					return func() int {
						for n := range inRow {
							if sendOnce(addr, http.MethodPost) != http.StatusOK {
								return n
							}
						}
						return inRow
					}
				}
				for _, e := range entries {
					d.eventually(served(e.Callers)).Should(Equal(inRow))
				}
				for _, p := range partitions {
					p.set(connected)
				}
				partitions[partitioned].set(refusing)
				for _, e := range entries {
					d.eventually(served(e.Callers)).Should(Equal(inRow))
				}
			})
		}
	}
})

// Guards against hosts that answer 502 to all requests while each new connection to an
// upstream is accepted and then reset, since a reset alone may be a crash of the upstream.
var _ = Describe("A host whose connections to all upstreams are accepted and reset", func() {
	const event = "id: 1\ndata: e1\n\n"
	var mu sync.Mutex
	var runs map[string]int
	serve := func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Id"); id != "" {
			mu.Lock()
			runs[id]++
			mu.Unlock()
			w.Header().Set("X-Id", id)
		}
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, event) // The host may have closed the connection.
	}
	start := func(route matcher.Route) ([]starter.Settings, []*partition, *deployment) {
		runs = make(map[string]int)
		entries, partitions, d := startPartitionable(serve, serve, serve, serve)
		conf := config(1, "/a/")
		conf.Routes[0].Kind, conf.Routes[0].Resumable = route.Kind, route.Resumable
		if route.Kind == matcher.Stream {
			conf.Services[0].Engine = &matcher.Engine{Slots: 8, Models: []matcher.Model{{Name: "m", Cost: 1}}}
		}
		d.putConfig(conf)
		for _, e := range entries {
			d.eventually(status(e.Ready, "/ready")).Should(Equal(200))
			d.eventually(func() int { return sendOnce(e.Callers, http.MethodPost) }).Should(Equal(200))
		}
		return entries, partitions, d
	}
	routes := map[string]matcher.Route{
		"requests that may run once": {Kind: matcher.NonIdempotent}, "idempotent requests": {Kind: matcher.Idempotent},
		"resumable streams": {Kind: matcher.Stream, Resumable: true}, "streams that run once": {Kind: matcher.Stream},
	}
	for name, route := range routes {
		It("has "+name+" served by other hosts, until its connections work again", func() {
			const inRow = 20
			entries, partitions, d := start(route)
			partitions[0].set(resetting)
			repeatable := route.Kind == matcher.Idempotent || route.Resumable
			served := func(e starter.Settings) func(g Gomega) {
				return func(g Gomega) {
					for range inRow {
						id := fmt.Sprint("r", sentRequests.Add(1))
						status, body := sendWithID(e.Callers, http.MethodPost, id)
						mu.Lock()
						n := runs[id]
						mu.Unlock()
						Expect(status).To(BeElementOf(http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable), id)
						if status == http.StatusServiceUnavailable {
							// The helper host is partitioned too. A request that may have run is never
							// answered as one that has not, nor isolated.
							_, sent := partitions[0].received.Load(id)
							Expect(sent || n > 0).To(BeFalse(), id)
							Expect(body).To(HavePrefix(string(refuser.NoUpstream)), id)
						}
						if !repeatable {
							Expect(n).To(BeNumerically("<=", 1), id)
						}
						g.Expect(status).To(Equal(http.StatusOK))
						Expect(body).To(Equal(event), id)
					}
				}
			}
			d.eventually(served(entries[0])).Should(Succeed())
			partitions[0].set(connected)
			partitions[1].set(resetting)
			partitions[2].set(resetting)
			for _, e := range entries {
				d.eventually(served(e)).Should(Succeed())
			}
		})
	}

	// Guards against a repeatable request that uses up its attempts on the connections that
	// are reset, before the host knows that all of them are.
	It("has a repeatable request served that comes before it counts as partitioned", func() {
		entries, partitions, d := start(matcher.Route{Kind: matcher.Idempotent})
		partitions[0].set(resetting)
		d.eventually(func() int { return sendOnce(entries[0].Callers, http.MethodPost) }).Should(Equal(200))
		for range 3 {
			partitions[0].set(connected)
			d.eventually(func() int {
				mu.Lock()
				clear(runs)
				mu.Unlock()
				return sendOnce(entries[0].Callers, http.MethodPost)
			}).Should(Equal(200))
			partitions[0].set(resetting)
			Expect(sendOnce(entries[0].Callers, http.MethodPost)).To(Equal(200))
		}
	})
})
