package accepter

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"foxtailwall/allotter"
)

const (
	// fieldCost is the memory in bytes that a header field takes besides its text: its
	// entry in a map, the slice of its values and the copy that is sent on.
	fieldCost = 300
	// binaryCost is the memory for each byte of a header whose fields are not counted,
	// since fields take at least 6 bytes.
	binaryCost = 50
	// freeHeader is the memory for a header that is not counted, which is part of what
	// each connection takes.
	freeHeader = 8 << 10
	// freeBinary is the size of a header without counted fields that is not counted.
	freeBinary = 4 << 10
	// maxWrite is the largest part of a response that is written within WriteTimeout.
	maxWrite = 64 << 10

	refusal431 = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusal503 = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// The phases of a connection.
const (
	// waiting is the phase until a header was received.
	waiting phase = iota
	// receiving is the phase in which the handler may still read the body.
	receiving
	// running is the phase from then to the end of the response.
	running
)

type (
	phase int

	// conn is a connection of a guarded server.
	conn struct {
		net.Conn
		g    *guard
		addr string

		mu    sync.Mutex
		phase phase
		// since is the time at which the phase began.
		since time.Time
		// size and lines are those of the header in the phase waiting. inLine reports
		// whether its last line has begun, and headerEnded whether it was read to its end.
		size, lines         int
		inLine, headerEnded bool
		// served reports whether the connection has carried a whole request.
		served  bool
		closing bool
		// cancelled reports whether the request lost its memory; no deadline is set then.
		cancelled     bool
		writeDeadline time.Time

		header *allotter.Upload
	}

	// rank orders connections that may be replaced.
	rank struct {
		conns  int
		served bool
		since  time.Time
	}
)

func newConn(c net.Conn, g *guard) *conn {
	own := &conn{Conn: c, g: g, since: g.limits.Clock.Now()}
	addr := remoteAddr(c.RemoteAddr())
	own.addr = addr.String()
	own.header = g.limits.Memory.NewUpload(allotter.Holder{Address: addr}, own.cancelReads)
	return own
}

// remoteAddr returns the IP address of the other end, the zero value if it has none.
func remoteAddr(a net.Addr) netip.Addr {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// before reports whether a connection of rank r is replaced before one of rank o.
func (r rank) before(o rank) bool {
	switch {
	case r.conns != o.conns:
		return r.conns > o.conns
	case r.served != o.served:
		return !r.served
	}
	return r.since.Before(o.since)
}

// rank returns the rank of the connection; ok is false if it must not be replaced.
func (c *conn) rank() (r rank, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rank{served: c.served && c.phase == waiting && c.size == 0, since: c.since}, c.phase != running && !c.closing
}

// startClosing reports whether the connection may be closed, and keeps requests on it
// from running.
func (c *conn) startClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || c.phase != running
	return c.closing
}

// setState is the http.Server.ConnState of guarded servers.
func setState(nc net.Conn, s http.ConnState) {
	c := guarded(nc)
	if c == nil {
		return
	}
	switch s {
	case http.StateIdle:
		c.header.Release()
		c.mu.Lock()
		c.size, c.lines, c.inLine, c.headerEnded, c.served = 0, 0, false, false, true
		c.mu.Unlock()
		c.enter(waiting)
	case http.StateActive:
		c.enter(running)
		if isHTTP2(nc) {
			// Several requests may run on the connection, so it must not be cancelled.
			// If it was before, its reads fail.
			c.header.Complete()
		}
	default:
	}
}

// isHTTP2 reports whether a connection over TLS carries HTTP/2, or whether one without
// TLS is of a server that has no HTTP/1.
func isHTTP2(nc net.Conn) bool {
	if t, ok := nc.(*tls.Conn); ok {
		return t.ConnectionState().NegotiatedProtocol == "h2"
	}
	own := guarded(nc)
	return own != nil && own.g.limits.Binary
}

// enter begins a phase. It reports false if the connection is being closed.
func (c *conn) enter(p phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, c.g.limits.Clock.Now()
	return !c.closing
}

// cancelReads ends the pending and later reads.
func (c *conn) cancelReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // It fails only if the connection is closed.
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. Each part has to be taken within WriteTimeout.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(len(b), written+maxWrite)]
		c.mu.Lock()
		deadline := c.g.limits.Clock.Now().Add(c.g.limits.WriteTimeout)
		if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
			deadline = c.writeDeadline
		}
		err := c.Conn.SetWriteDeadline(deadline)
		c.mu.Unlock()
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Read implements net.Conn. In a header, it counts the fields before the server stores
// them.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if refusal := c.countHeader(b[:n]); refusal != "" {
			c.g.limits.Scope.Counter("accepter.headersRefused").Inc(1)
			if !c.g.limits.Binary {
				_, _ = c.Write([]byte(refusal)) // The caller may have disconnected.
			}
			return 0, io.EOF
		}
	}
	return n, err
}

// countHeader counts what was read of a header. It returns the response to a header
// that is refused, and is empty otherwise.
func (c *conn) countHeader(b []byte) string {
	c.mu.Lock()
	if c.phase != waiting {
		c.mu.Unlock()
		return ""
	}
	var cost int64
	if c.g.limits.Binary {
		c.size += len(b)
		cost = int64(max(c.size-freeBinary, 0)) * binaryCost
	} else {
		c.countLines(b)
		cost = int64(c.size + c.lines*fieldCost - freeHeader)
	}
	lines := c.lines
	c.mu.Unlock()
	switch {
	// The first line is no field.
	case lines > c.g.limits.MaxFields+1:
		return refusal431
	case cost > 0 && c.header.Grow(cost) != nil:
		return refusal503
	}
	return ""
}

// countLines counts the lines of the header up to its end, the first empty line after
// another one. What follows is a body or a further request. The caller holds mu.
func (c *conn) countLines(b []byte) {
	for len(b) > 0 && !c.headerEnded {
		line, _, whole := bytes.Cut(b, []byte{'\n'})
		n := len(line)
		if whole {
			n++
		}
		empty := !c.inLine && len(bytes.TrimSuffix(line, []byte{'\r'})) == 0
		switch {
		case !whole:
			c.inLine = c.inLine || !empty
		case !empty:
			c.lines++
			c.inLine = false
		case c.lines > 0:
			c.headerEnded = true
		}
		c.size += n
		b = b[n:]
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.g.mu.Lock()
	c.g.remove(c)
	c.g.mu.Unlock()
	err := c.Conn.Close()
	c.header.Release()
	return err
}

// CloseWrite closes the writing side, as net/http does before it closes a connection
// whose caller may still send.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
