package starter_test

import (
	"context"
	"fmt"
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
)

type (
	partitionMode int32

	// partition carries the connections of one host to upstreams.
	partition struct {
		mode  atomic.Int32
		mu    sync.Mutex
		conns []*partitionedConn
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
	if m == refusing {
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
	partitions := []*partition{{}, {}, {}}
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

// sendOnce sends one request on a connection of its own and returns the status, or 0.
func sendOnce(addr netip.AddrPort, method string) int {
	req, err := http.NewRequest(method, "http://"+addr.String()+"/a/x", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	req.GetBody = nil // The client must not send it again by itself.
	req.Header.Set("X-Id", "1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against hosts that refuse or fail all requests while they are partitioned from
// all upstreams, although callers and hosts that reach upstreams reach them.
var _ = Describe("Hosts that are partitioned from all upstreams", func() {
	modes := []string{connected: "", refusing: "reset connections", hanging: "silent connections", refusingNew: "only new connections refused"}
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
