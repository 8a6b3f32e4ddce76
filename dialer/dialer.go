// Package dialer sends attempts to upstreams over HTTP/1.1 and says exactly
// what became of each.
//
// A connection carries one exchange at a time and its bytes are counted below
// TLS, so that an attempt counts as not run only if none of it was handed to
// the network. A connection goes back to the pool only after its answer was
// read to the end, carried the ID of its attempt and left nothing unread; any
// other connection is closed.
//
// # Usage
//
//	d := dialer.New(dialer.Options{Clock: timekeeper.System{}, Scope: scope, TLS: tlsConfig})
//	defer d.Close()
//	answer, err := d.Do(ctx, &router.Attempt{ID: id, Upstream: u, Method: "POST", Path: dialer.ChatPath, Body: body, Engine: true})
//
//	s, err := d.Open(ctx, attempt)
//	defer s.Close()
//	for {
//		chunk, err := s.Next() // io.EOF after the end marker
//	}
//
// Errors are *router.AttemptError.
//
// Progress is watched by one goroutine for all exchanges: one that makes none
// within its bound is closed. If the connection had worked before, this is
// counted as silent and the other idle connections to the same upstream are
// closed too, since a path that went silent usually takes all of them along.
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

	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

// ChatPath is the path of chat completions at engines.
const ChatPath = "/v1/chat/completions"

const (
	defaultConnect   = time.Second
	defaultFirstByte = 30 * time.Second
	// defaultSilent is some seven times the first token target of 1.4 s.
	defaultSilent = 10 * time.Second
	// defaultBetween is far above the 35 ms that tokens take, so that only a
	// stream that stands still is cut.
	defaultBetween = 5 * time.Second
	// defaultIdle is short since a connection may go silent while it idles,
	// which shows only after a request was sent on it. The polls of load keep
	// one connection to each engine of the zone in use.
	defaultIdle    = 2 * time.Second
	defaultMaxIdle = 64
	// sessionCache is the number of upstreams whose TLS sessions are kept.
	sessionCache       = 2048
	defaultMaxBody     = 16 << 20
	defaultMaxEvent    = 1 << 20
	defaultUserTimeout = 4 * time.Second
)

type (
	// Options are the settings of a Dialer. Zero values take defaults, but
	// for TLS: nil sends clear text, which a host allows only by an explicit
	// setting.
	Options struct {
		Clock timekeeper.Clock
		Scope counter.Scope
		// TLS is used for all upstreams; with certificates it is mutual.
		TLS *tls.Config
		// Dial opens connections; nil dials with the timeouts of this package.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
		// Connect bounds the opening of a connection with its handshake.
		Connect time.Duration
		// FirstByte bounds the time from the request to the answer's header
		// and, in streams, from there to the first chunk.
		FirstByte time.Duration
		// Silent bounds the time to the answer's header on a reused
		// connection, for streams and plain services. It takes at most half
		// of the time left, so that a new connection can still be tried.
		// Whole answers of engines may begin late and have only FirstByte.
		Silent time.Duration
		// Between bounds the time between two reads of an answer that has
		// begun.
		Between time.Duration
		// Idle is the time after which an unused connection is closed.
		Idle time.Duration
		// MaxIdle bounds the unused connections kept for one upstream.
		MaxIdle int
		// MaxBody bounds a whole answer, in bytes.
		MaxBody int64
		// MaxEvent bounds one chunk of a streamed answer, in bytes.
		MaxEvent int
		// UserTimeout is the time after which sent bytes that stay
		// unacknowledged end a connection.
		UserTimeout time.Duration
	}

	// Dialer sends attempts. It implements router.Upstreams. Make it with
	// New.
	Dialer struct {
		o       Options
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

// New returns a dialer whose watch goroutine runs until Close.
func New(o Options) *Dialer {
	o = o.withDefaults()
	if o.TLS != nil && o.TLS.ClientSessionCache == nil {
		// Connections are short-lived; resumption saves most of a handshake.
		o.TLS = o.TLS.Clone()
		o.TLS.ClientSessionCache = tls.NewLRUClientSessionCache(sessionCache)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dialer{
		o: o, net: newNetDialer(o.UserTimeout), cancel: cancel,
		idle: make(map[netip.AddrPort][]*conn),
	}
	if d.o.Dial == nil {
		d.o.Dial = d.net.DialContext
	}
	d.watcher = newWatcher(o.Clock, d.reap)
	d.wg.Go(func() { d.watcher.run(ctx) })
	return d
}

// Close closes the idle connections and ends the watch goroutine. Exchanges
// under way lose their progress bounds, so close the dialer last.
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

// get returns a connection to u: the one used last, or a new one. Among idle
// connections it passes over those that the peer has closed or has sent
// something on.
func (d *Dialer) get(ctx context.Context, u *declarer.Upstream, fresh bool, until time.Time) (*conn, error) {
	for !fresh {
		c := d.pop(u.Address)
		if c == nil {
			break
		}
		if !c.expired(d.o.Clock.Now(), d.o.Idle) && c.quiet() {
			c.reused = true
			return c, nil
		}
		d.o.Scope.Counter("dialer.stale").Inc(1)
		c.Close()
	}
	return d.dial(ctx, u, until)
}

func (d *Dialer) pop(addr netip.AddrPort) *conn {
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

// put takes back a connection whose answer was read to the end. At most so many
// are kept unused; zero is no bound beside Options.MaxIdle.
func (d *Dialer) put(c *conn, most int) {
	if most <= 0 {
		most = d.o.MaxIdle
	}
	c.since = d.o.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.idle[c.addr]) >= min(most, d.o.MaxIdle) {
		c.Close()
		return
	}
	d.idle[c.addr] = append(d.idle[c.addr], c)
}

// purge closes the idle connections to addr.
func (d *Dialer) purge(addr netip.AddrPort) {
	d.mu.Lock()
	cs := d.idle[addr]
	delete(d.idle, addr)
	d.mu.Unlock()
	for _, c := range cs {
		c.Close()
	}
}

// reap closes connections that have been idle for too long.
func (d *Dialer) reap(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, cs := range d.idle {
		left := slices.DeleteFunc(cs, func(c *conn) bool {
			if !c.expired(now, d.o.Idle) {
				return false
			}
			c.Close()
			return true
		})
		if len(left) == 0 {
			delete(d.idle, addr)
		} else {
			d.idle[addr] = left
		}
	}
}

// Idle returns the number of unused connections kept for addr.
func (d *Dialer) Idle(addr netip.AddrPort) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.idle[addr])
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = timekeeper.System{}
	}
	o.Connect = or(o.Connect, defaultConnect)
	o.FirstByte = or(o.FirstByte, defaultFirstByte)
	o.Silent = or(o.Silent, defaultSilent)
	o.Between = or(o.Between, defaultBetween)
	o.Idle = or(o.Idle, defaultIdle)
	o.MaxIdle = or(o.MaxIdle, defaultMaxIdle)
	o.MaxBody = or(o.MaxBody, defaultMaxBody)
	o.MaxEvent = or(o.MaxEvent, defaultMaxEvent)
	o.UserTimeout = or(o.UserTimeout, defaultUserTimeout)
	return o
}

func or[T int | int64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}
