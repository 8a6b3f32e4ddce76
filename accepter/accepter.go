// Package accepter protects an HTTP server against callers that exceed the limits:
// with connections, with header fields, with bodies that do not end and with
// responses that they do not read.
//
// Guard wraps the listener and the handler of a server. A connection beyond the
// maximum takes the place of one that waits for a request or receives one, of the
// address with the most connections; if there is none, it is closed. The memory for
// the header and, for handlers that do not do it themselves, for the body is an
// allotter.Upload; a request for which there is none has not run and is answered with
// 503 or its connection is closed. A response that is written before the body was read
// does not wait for the rest of it. A caller that reads nothing for WriteTimeout loses
// its connection.
//
// # Usage
//
//	limits := accepter.Limits{MaxConns: 1000, Memory: memory, Clock: timekeeper.System{}}
//	listener = accepter.Guard(srv, listener, limits)
//	err := srv.Serve(listener)
package accepter

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"foxtailwall/allotter"
	"foxtailwall/counter"
	"foxtailwall/timekeeper"
)

// The defaults of Limits.
const (
	// DefaultMaxFields is the number of the shortest fields in a header of 16 KiB.
	DefaultMaxFields     = 4096
	DefaultMaxHeader     = 64 << 10
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = time.Minute
	DefaultBodyTimeout   = 30 * time.Second
	// DefaultWriteTimeout lets callers read 4 KiB a second.
	DefaultWriteTimeout = 15 * time.Second
	DefaultMaxConns     = 1024
)

const (
	// http2Buffer is the memory in bytes for what an HTTP/2 connection has received and
	// no handler has read, and http2Frame the largest frame. Both are the least that
	// HTTP/2 allows; by default, each connection may take 1 MiB for either.
	http2Buffer, http2Frame = 64<<10 - 1, 16 << 10
)

type (
	// Limits are the limits of one server. Memory and Clock are required; zero values
	// of the others stand for the defaults.
	Limits struct {
		// MaxConns is the maximum number of open connections.
		MaxConns int
		// MaxHeader is the maximum size of a header in bytes and MaxFields its maximum
		// number of fields, which only HTTP/1 without TLS counts.
		MaxHeader, MaxFields int
		// HeaderTimeout bounds the time to receive a header, BodyTimeout that for a body
		// unless the handler sets another deadline, and IdleTimeout the time between
		// two requests.
		HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
		// WriteTimeout is the time within which a caller must take 64 KiB of a
		// response, or all of a shorter part.
		WriteTimeout time.Duration
		// Memory is shared by all servers of a process.
		Memory *allotter.Memory
		// OwnBodies says that the handler itself counts the memory of bodies.
		OwnBodies bool
		// Binary says that the connections carry TLS or HTTP/2.
		Binary bool
		// Clock must follow real time, since deadlines of connections are computed from
		// it.
		Clock timekeeper.Clock
		Scope counter.Scope
	}

	// guard is the state of one guarded server.
	guard struct {
		net.Listener
		limits Limits

		mu    sync.Mutex
		conns map[*conn]struct{}
		// byAddr is the number of connections of each address.
		byAddr map[string]int
	}

	connKey struct{}
)

// Guard sets the limits, hooks and timeouts of the server, wraps its handler, and
// returns the listener that it must serve. It is called once for a server.
func Guard(srv *http.Server, l net.Listener, limits Limits) net.Listener {
	limits = limits.withDefaults()
	g := &guard{Listener: l, limits: limits, conns: make(map[*conn]struct{}), byAddr: make(map[string]int)}
	srv.MaxHeaderBytes = limits.MaxHeader
	srv.ReadHeaderTimeout, srv.IdleTimeout = limits.HeaderTimeout, limits.IdleTimeout
	if srv.HTTP2 == nil {
		srv.HTTP2 = new(http.HTTP2Config)
	}
	srv.HTTP2.MaxReceiveBufferPerConnection, srv.HTTP2.MaxReceiveBufferPerStream = http2Buffer, http2Buffer
	srv.HTTP2.MaxReadFrameSize = http2Frame
	srv.ConnState = setState
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, guarded(c))
	}
	srv.Handler = &handler{next: srv.Handler, limits: limits}
	return g
}

func (l Limits) withDefaults() Limits {
	l.MaxConns = positiveOr(l.MaxConns, DefaultMaxConns)
	l.MaxHeader = positiveOr(l.MaxHeader, DefaultMaxHeader)
	l.MaxFields = positiveOr(l.MaxFields, DefaultMaxFields)
	l.HeaderTimeout = positiveOr(l.HeaderTimeout, DefaultHeaderTimeout)
	l.BodyTimeout = positiveOr(l.BodyTimeout, DefaultBodyTimeout)
	l.IdleTimeout = positiveOr(l.IdleTimeout, DefaultIdleTimeout)
	l.WriteTimeout = positiveOr(l.WriteTimeout, DefaultWriteTimeout)
	return l
}

func positiveOr[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// guarded returns the guarded connection below c, nil if there is none.
func guarded(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	own, _ := c.(*conn) // A listener of a test may not be guarded.
	return own
}

// Accept implements net.Listener.
func (g *guard) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if own := g.admit(c); own != nil {
			return own, nil
		}
		g.limits.Scope.Counter("accepter.connectionsRefused").Inc(1)
		c.Close()
	}
}

// admit returns the guarded connection, nil if there is no place for it.
func (g *guard) admit(c net.Conn) *conn {
	own := newConn(c, g)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.limits.MaxConns {
		victim := g.victim(own)
		if victim == nil {
			return nil
		}
		g.limits.Scope.Counter("accepter.connectionsReplaced").Inc(1)
		g.remove(victim)
		victim.Conn.Close()
	}
	g.conns[own] = struct{}{}
	g.byAddr[own.addr]++
	return own
}

// maxCandidates bounds the connections that are compared to replace one, so that
// accepting takes the same time with any number of them. Maps iterate in random order.
const maxCandidates = 64

// victim returns a connection that waits for a request or receives one, and marks it as
// closing. It is nil if there is none of an address with at least as many connections as
// that of the new one. Connections that have not sent a whole request go first, then those
// that have waited longest. The caller holds mu.
func (g *guard) victim(newcomer *conn) *conn {
	var best *conn
	var bestRank rank
	candidates := 0
	for c := range g.conns {
		if candidates++; candidates > maxCandidates {
			break
		}
		r, ok := c.rank()
		if !ok || g.byAddr[c.addr] < g.byAddr[newcomer.addr] {
			continue
		}
		r.conns = g.byAddr[c.addr]
		if best == nil || r.before(bestRank) {
			best, bestRank = c, r
		}
	}
	if best == nil || !best.startClosing() {
		return nil
	}
	return best
}

// remove forgets a connection. The caller holds mu.
func (g *guard) remove(c *conn) {
	if _, ok := g.conns[c]; !ok {
		return
	}
	delete(g.conns, c)
	if g.byAddr[c.addr]--; g.byAddr[c.addr] == 0 {
		delete(g.byAddr, c.addr)
	}
}
