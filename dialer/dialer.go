// Package dialer sends attempts to upstreams over HTTP/1.1 and reports the
// exact outcome of each.
//
// A connection carries one exchange at a time. The bytes sent are counted
// below TLS: an attempt has the outcome NotRun only if none of them was handed
// to the network or the upstream states that it did not run the request. A
// connection returns to the pool only if the response was read to its end,
// carried the ID of the attempt and left no unread data; any other connection
// is closed.
//
// # Usage
//
//	d := dialer.New(dialer.Options{Clock: timekeeper.System{}, Scope: scope, TLS: tlsConfig})
//	defer d.Close()
//	resp, err := d.Do(ctx, &router.Attempt{ID: id, Upstream: u, Method: "POST", Path: dialer.ChatPath, Body: body, Engine: true})
//
//	s, err := d.Open(ctx, attempt)
//	defer s.Close()
//	for {
//		chunk, err := s.Next() // io.EOF after the end marker
//	}
//
// Errors are *router.AttemptError.
//
// One goroutine watches the progress of all exchanges and closes the
// connection of an exchange that makes none within its time limit. If that was
// a reused connection without any response, it is counted as silent, and the
// idle connections to the same upstream are closed too: a network path that
// stops carrying data usually affects all of them.
package dialer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailwall/allotter"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

// ChatPath is the path of the chat completions endpoint of an engine.
const ChatPath = "/v1/chat/completions"

const (
	defaultConnectTimeout   = time.Second
	defaultFirstByteTimeout = 30 * time.Second
	// defaultReuseTimeout is about seven times the target of 1.4 s for the
	// first token.
	defaultReuseTimeout = 10 * time.Second
	// defaultStallTimeout is far above the 35 ms between two tokens, so that
	// only a stalled stream is cut.
	defaultStallTimeout = 5 * time.Second
	// defaultIdleTimeout is short because an idle connection can fail
	// unnoticed until a request is sent on it. The load polls keep one
	// connection to each engine of the zone in use.
	defaultIdleTimeout  = 2 * time.Second
	defaultMaxIdleConns = 64
	// tlsSessionCacheSize is the number of upstreams with a cached TLS session.
	tlsSessionCacheSize  = 2048
	defaultMaxBodyBytes  = 16 << 20
	defaultMaxEventBytes = 1 << 20
	// defaultUserTimeout also ends the probes of a silent upstream. A sound one may be
	// silent for 1.5 s, in which two probes are lost, and bytes are sent again after
	// 1.4 s and then after 3 s.
	defaultUserTimeout = 3100 * time.Millisecond
	// defaultKeepAliveIdle is the time to the first probe; one is sent every second. The
	// kernel closes the connection with the first probe that is due after
	// defaultUserTimeout, so 4 s after data last came.
	defaultKeepAliveIdle = time.Second
)

type (
	// Options are the settings of a Dialer. Zero values select defaults,
	// except for TLS: nil means plaintext, which a host allows only by an
	// explicit setting.
	Options struct {
		Clock timekeeper.Clock
		Scope counter.Scope
		// TLS is used for all upstreams; client certificates in it enable
		// mutual TLS.
		TLS *tls.Config
		// Dial opens connections; nil dials with the timeouts of this package.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
		// ConnectTimeout limits the time to open a connection, TLS handshake
		// included.
		ConnectTimeout time.Duration
		// FirstByteTimeout limits the time from the request to the response
		// header and, in streams, from there to the first chunk.
		FirstByteTimeout time.Duration
		// ReuseTimeout limits the time to the response header on a reused
		// connection, for streams and plain services. At most half of the
		// time to the deadline is used, so that a new connection can still be
		// tried. Non-streaming engine responses can start late and are
		// limited by FirstByteTimeout only.
		ReuseTimeout time.Duration
		// StallTimeout limits the time between two reads of a response body.
		StallTimeout time.Duration
		// IdleTimeout is the time after which an idle connection is closed.
		IdleTimeout time.Duration
		// MaxIdleConns limits the idle connections to one upstream.
		MaxIdleConns int
		// MaxBody limits the body of a non-streaming response, in bytes.
		MaxBody int64
		// Memory is the memory for responses and for large events of streams; nil means
		// 64 MiB of its own. A response for which there is no room waits for it, at most
		// until the deadline of its attempt. It holds its share until the router.Attempt's
		// Memory is released, or until it was read if the attempt has none.
		Memory *allotter.Memory
		// MaxEvent limits one chunk of a streamed response, in bytes.
		MaxEvent int
		// TCPUserTimeout is the TCP_USER_TIMEOUT: the time after which a
		// connection with unacknowledged data is closed.
		TCPUserTimeout time.Duration
		// KeepAliveIdle is the time without data after which a connection is
		// probed, so that a request whose upstream's host has stopped does not
		// wait for its deadline.
		KeepAliveIdle time.Duration
	}

	// Dialer sends attempts over a pool of connections. It implements
	// router.Upstreams. Create it with New.
	Dialer struct {
		opts    Options
		net     net.Dialer
		watcher *watcher
		cancel  context.CancelFunc
		wg      conc.WaitGroup

		mu     sync.Mutex
		idle   map[netip.AddrPort][]*conn
		closed bool
	}
)

var _ router.Upstreams = (*Dialer)(nil)

// New returns a dialer. Its watcher goroutine runs until Close.
func New(o Options) *Dialer {
	o = o.withDefaults()
	if o.TLS != nil && o.TLS.ClientSessionCache == nil {
		// Connections are short-lived; TLS session resumption saves most of
		// the handshake.
		o.TLS = o.TLS.Clone()
		o.TLS.ClientSessionCache = tls.NewLRUClientSessionCache(tlsSessionCacheSize)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dialer{
		opts: o, net: newNetDialer(o.TCPUserTimeout, o.KeepAliveIdle), cancel: cancel,
		idle: make(map[netip.AddrPort][]*conn),
	}
	if d.opts.Dial == nil {
		d.opts.Dial = d.net.DialContext
	}
	d.watcher = newWatcher(o.Clock, d.closeExpired)
	d.wg.Go(func() { d.watcher.run(ctx) })
	return d
}

// Close closes the idle connections and stops the watcher goroutine. Exchanges
// in flight lose their time limits, so close the dialer last.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	for _, cs := range d.idle {
		for _, c := range cs {
			c.Close()
		}
	}
	clear(d.idle)
	d.mu.Unlock()
	d.cancel()
	d.wg.Wait()
}

// getConn returns a connection to u: the most recently used healthy one of the
// pool, else a new one. With fresh it always opens a new one.
func (d *Dialer) getConn(ctx context.Context, u *declarer.Upstream, fresh bool, deadline time.Time) (*conn, error) {
	for !fresh {
		c := d.popIdle(u.Address)
		if c == nil {
			break
		}
		if !c.idleExpired(d.opts.Clock.Now(), d.opts.IdleTimeout) && c.healthy() {
			c.reused = true
			return c, nil
		}
		d.opts.Scope.Counter("dialer.stale").Inc(1)
		c.Close()
	}
	return d.dial(ctx, u, deadline)
}

func (d *Dialer) popIdle(addr netip.AddrPort) *conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	cs := d.idle[addr]
	if len(cs) == 0 {
		return nil
	}
	c := cs[len(cs)-1]
	cs[len(cs)-1] = nil
	d.idle[addr] = cs[:len(cs)-1]
	return c
}

// putIdle returns a connection to the pool, or closes it if the pool already
// holds maxIdle or Options.MaxIdleConns connections to the upstream. A maxIdle
// of zero applies Options.MaxIdleConns only.
func (d *Dialer) putIdle(c *conn, maxIdle int) {
	if maxIdle <= 0 {
		maxIdle = d.opts.MaxIdleConns
	}
	c.idleSince = d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.idle[c.addr]) >= min(maxIdle, d.opts.MaxIdleConns) {
		c.Close()
		return
	}
	d.idle[c.addr] = append(d.idle[c.addr], c)
}

// closeIdle closes the idle connections to addr.
func (d *Dialer) closeIdle(addr netip.AddrPort) {
	d.mu.Lock()
	cs := d.idle[addr]
	delete(d.idle, addr)
	d.mu.Unlock()
	for _, c := range cs {
		c.Close()
	}
}

// closeExpired closes the connections whose idle timeout has passed.
func (d *Dialer) closeExpired(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, cs := range d.idle {
		kept := slices.DeleteFunc(cs, func(c *conn) bool {
			if !c.idleExpired(now, d.opts.IdleTimeout) {
				return false
			}
			c.Close()
			return true
		})
		if len(kept) == 0 {
			delete(d.idle, addr)
		} else {
			d.idle[addr] = kept
		}
	}
}

// IdleConns returns the number of idle connections to addr.
func (d *Dialer) IdleConns(addr netip.AddrPort) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.idle[addr])
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = timekeeper.System{}
	}
	if o.Memory == nil {
		o.Memory = new(allotter.Memory)
	}
	o.ConnectTimeout = orDefault(o.ConnectTimeout, defaultConnectTimeout)
	o.FirstByteTimeout = orDefault(o.FirstByteTimeout, defaultFirstByteTimeout)
	o.ReuseTimeout = orDefault(o.ReuseTimeout, defaultReuseTimeout)
	o.StallTimeout = orDefault(o.StallTimeout, defaultStallTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultIdleTimeout)
	o.MaxIdleConns = orDefault(o.MaxIdleConns, defaultMaxIdleConns)
	o.MaxBody = orDefault(o.MaxBody, defaultMaxBodyBytes)
	o.MaxEvent = orDefault(o.MaxEvent, defaultMaxEventBytes)
	o.TCPUserTimeout = orDefault(o.TCPUserTimeout, defaultUserTimeout)
	o.KeepAliveIdle = orDefault(o.KeepAliveIdle, defaultKeepAliveIdle)
	return o
}

func orDefault[T int | int64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}
