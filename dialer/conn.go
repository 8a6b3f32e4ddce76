package dialer

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"foxtailwall/declarer"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

const (
	// maxHeaderBytes limits the size of a response header: http.ReadResponse
	// has no limit of its own.
	maxHeaderBytes = 64 << 10
	// readBufferBytes is small because every open stream holds one buffer.
	readBufferBytes = 4 << 10
	// maxInformationalResponses limits the 1xx responses before the final one.
	maxInformationalResponses = 8
	// minStatus and maxStatus bound the statuses that HTTP defines.
	minStatus, maxStatus = 100, 599
	// keepAliveProbes is the number of unanswered probes after which an idle
	// connection is closed.
	keepAliveProbes = 3
)

type (
	// conn is a connection to an upstream. It carries one exchange at a time.
	conn struct {
		net.Conn    // The TLS connection, or raw without TLS.
		raw         *countingConn
		addr        netip.AddrPort
		headerLimit headerLimitReader
		br          *bufio.Reader
		// reused is true if the connection was taken from the idle pool.
		reused    bool
		idleSince time.Time
		// keepAlive is the idle timeout announced by the peer, less
		// keepAliveMargin; zero if it announced none.
		keepAlive time.Duration
		// noUserTimeout is true while the kernel's time limit is off.
		noUserTimeout atomic.Bool
	}

	// countingConn counts the bytes handed to the network. A write that is under way
	// may have handed over any number of them.
	countingConn struct {
		net.Conn
		bytesSent atomic.Int64
		writing   atomic.Int64
	}

	// headerLimitReader limits the bytes read while it is enabled, which is
	// during the reading of a header.
	headerLimitReader struct {
		r io.Reader
		// received is the number of bytes read since the connection was checked out.
		received  int64
		remaining int64
		enabled   bool
	}

	// InvalidResponseError reports a response that HTTP does not allow. It is the cause
	// of a router.AttemptError.
	InvalidResponseError struct {
		// Status is the status of the response.
		Status int
		// Reason says what is wrong with it.
		Reason string
	}
)

var errHeaderTooLarge = errors.Newf("the response header exceeds %d bytes", maxHeaderBytes)

// Error implements error.
func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("the upstream sent an invalid response with status %03d: %s", e.Status, e.Reason)
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	c.writing.Add(1)
	n, err := c.Conn.Write(b)
	c.bytesSent.Add(int64(n))
	c.writing.Add(-1)
	return n, err
}

// mayHaveSent reports whether bytes may have been handed to the network since the
// count was reset. Once the connection is closed, the answer is final.
func (c *countingConn) mayHaveSent() bool { return c.writing.Load() > 0 || c.bytesSent.Load() > 0 }

// Read implements io.Reader.
func (l *headerLimitReader) Read(b []byte) (int, error) {
	if !l.enabled {
		n, err := l.r.Read(b)
		l.received += int64(n)
		return n, err
	}
	if l.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	l.received += int64(n)
	return n, err
}

// newNetDialer returns a dialer of connections that the kernel closes when sent
// bytes stay unacknowledged for userTimeout, or when the peer answers no probe
// after the connection was idle for keepAliveIdle.
func newNetDialer(userTimeout, keepAliveIdle time.Duration) net.Dialer {
	return net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveProbes,
		},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var err error
			cerr := rc.Control(func(fd uintptr) {
				// Closes the connection when sent bytes stay unacknowledged;
				// the kernel's default waits for 15 minutes.
				err = setUserTimeout(fd, userTimeout)
			})
			return errors.CombineErrors(cerr, err)
		},
	}
}

// setUserTimeout sets the time for which sent bytes may stay unacknowledged, and for
// which the peer may take none; zero means the kernel's default of minutes.
func setUserTimeout(fd uintptr, d time.Duration) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// setUserTimeout is the function of that name for the connection; it does nothing on
// connections that are not TCP.
func (c *conn) setUserTimeout(d time.Duration) error {
	err := c.control(func(fd uintptr) error { return setUserTimeout(fd, d) })
	return errors.Wrap(err, "set the user timeout")
}

// unacknowledged returns the number of sent bytes that the peer has not acknowledged,
// zero if it is unknown.
func (c *conn) unacknowledged() int {
	n := 0
	err := c.control(func(fd uintptr) (err error) {
		n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		return err
	})
	if err != nil {
		return 0
	}
	return n
}

// control calls f with the descriptor of a TCP connection.
func (c *conn) control(f func(fd uintptr) error) error {
	sc, ok := c.raw.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	cerr := rc.Control(func(fd uintptr) { err = f(fd) })
	return errors.CombineErrors(cerr, err)
}

// abandon closes a connection that carries an unfinished exchange. While the peer
// takes no more of a long body, the end of the connection would wait behind the rest
// of it, and the peer would work on.
func (c *conn) abandon() {
	if tcp, ok := c.raw.Conn.(*net.TCPConn); ok && c.noUserTimeout.Load() {
		// Fails only on a connection that is closed already.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// dial opens a connection and performs the TLS handshake. It sends no part of
// a request, so its errors have the outcome NotRun.
func (d *Dialer) dial(ctx context.Context, u *declarer.Upstream, deadline time.Time) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := d.watcher.add(cancel)
	defer d.watcher.remove(w)
	w.setDeadline(deadline)
	w.expectProgressWithin(d.opts.ConnectTimeout)
	raw, err := d.opts.Dial(ctx, "tcp", u.Address.String())
	if err != nil {
		return nil, d.dialError(w, err)
	}
	cc := &countingConn{Conn: raw}
	c := &conn{Conn: cc, raw: cc, addr: u.Address}
	if d.opts.TLS != nil {
		conf := d.opts.TLS.Clone()
		if conf.ServerName == "" {
			conf.ServerName = u.Address.Addr().String()
		}
		t := tls.Client(cc, conf)
		if err := t.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, d.dialError(w, err)
		}
		c.Conn = t
	}
	c.headerLimit.r = c.Conn
	c.br = bufio.NewReaderSize(&c.headerLimit, readBufferBytes)
	d.opts.Scope.Counter("dialer.dials").Inc(1)
	return c, nil
}

func (d *Dialer) dialError(w *watch, err error) error {
	kind := router.FailRefused
	if w.reason() == pastDeadline {
		kind = router.FailDeadline
	}
	return &router.AttemptError{Kind: kind, Outcome: refuser.NotRun, Err: errors.Wrap(err, "open connection")}
}

// writeRequest writes a request, on a plain TCP connection with one vectored
// write for header and body.
func (c *conn) writeRequest(head, body []byte) error {
	bufs := net.Buffers{head}
	if len(body) > 0 {
		bufs = append(bufs, body)
	}
	if c.Conn != net.Conn(c.raw) {
		_, err := bufs.WriteTo(c.Conn)
		return err
	}
	// countingConn does not support vectored writes, so this bypasses it and
	// adds the count itself.
	c.raw.writing.Add(1)
	n, err := bufs.WriteTo(c.raw.Conn)
	c.raw.bytesSent.Add(n)
	c.raw.writing.Add(-1)
	return err
}

// readHeader reads the header of the next final response; the caller reads
// its body.
func (c *conn) readHeader(method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	last := 0
	for range maxInformationalResponses {
		c.headerLimit.enabled, c.headerLimit.remaining = true, maxHeaderBytes
		resp, err := http.ReadResponse(c.br, req)
		c.headerLimit.enabled = false
		if err != nil {
			return nil, err
		}
		switch status := resp.StatusCode; {
		case status == http.StatusSwitchingProtocols:
			return nil, &InvalidResponseError{Status: status, Reason: "the request did not ask for another protocol"}
		case status < minStatus || status > maxStatus:
			// http.ReadResponse accepts any three digits.
			return nil, &InvalidResponseError{Status: status, Reason: "the status is not between 100 and 599"}
		case status >= http.StatusOK:
			return resp, nil
		}
		last = resp.StatusCode
	}
	return nil, &InvalidResponseError{
		Status: last, Reason: fmt.Sprintf("%d informational responses came and no final one", maxInformationalResponses),
	}
}

// headerFailure returns the kind of a failure to read the header of a response.
func headerFailure(err error) router.FailKind {
	var invalid *InvalidResponseError
	if errors.As(err, &invalid) {
		return router.FailMalformed
	}
	return router.FailReset
}

// announcesMissingBody reports whether the header announces a body that a response with
// its status does not have. If the upstream sends it all the same, it would be read as
// the next response on the connection.
func announcesMissingBody(resp *http.Response) bool {
	if resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
		return false
	}
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) > 0 || length != "" && length != "0"
}

// idleExpired reports whether the connection has been idle for as long as the
// given timeout or the one announced by the peer.
func (c *conn) idleExpired(now time.Time, timeout time.Duration) bool {
	if c.keepAlive > 0 {
		timeout = min(timeout, c.keepAlive)
	}
	return now.Sub(c.idleSince) >= timeout
}

// healthy reports whether an idle connection is still open and holds no unread
// data. On a closed one the next request would fail after it was sent; with
// unread data it would get the response to an earlier request.
func (c *conn) healthy() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var b [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}
