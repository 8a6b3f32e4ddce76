package dialer

import (
	"bufio"
	"context"
	"crypto/tls"
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
	// maxHeader bounds the header of an answer, in bytes; net/http has no
	// bound of its own when it reads from a plain reader.
	maxHeader = 64 << 10
	// readBuffer is small since every open stream holds one.
	readBuffer = 4 << 10
	// maxInformational bounds the 1xx answers before the real one.
	maxInformational = 8
)

type (
	// conn is a connection to an upstream. It carries one exchange at a time.
	conn struct {
		net.Conn // The TLS connection, or raw.
		raw      *countedConn
		addr     netip.AddrPort
		limit    headerLimit
		br       *bufio.Reader
		// reused says that an exchange on the connection has succeeded.
		reused bool
		since  time.Time
		// keep is how long the peer keeps the connection when it is unused;
		// zero means that it has not said so.
		keep time.Duration
	}

	// countedConn counts the bytes handed to the network.
	countedConn struct {
		net.Conn
		sent atomic.Int64
	}

	// headerLimit bounds the bytes read while a header is read.
	headerLimit struct {
		r     io.Reader
		left  int64
		armed bool
	}
)

var errHeaderTooLarge = errors.Newf("the header of the answer exceeds %d bytes", maxHeader)

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// Read implements io.Reader.
func (l *headerLimit) Read(b []byte) (int, error) {
	if !l.armed {
		return l.r.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	return n, err
}

func newNetDialer(userTimeout time.Duration) net.Dialer {
	return net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3,
		},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var err error
			cerr := rc.Control(func(fd uintptr) {
				// Sent bytes that stay unacknowledged end the connection;
				// the kernel's default would wait for 15 minutes.
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(userTimeout.Milliseconds()))
			})
			return errors.CombineErrors(cerr, err)
		},
	}
}

// dial opens a connection with its handshake. Nothing of a request is sent,
// so every failure is one that did not run.
func (d *Dialer) dial(ctx context.Context, u *declarer.Upstream, until time.Time) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := d.watcher.add(cancel)
	defer d.watcher.remove(w)
	w.until(until)
	w.within(d.o.Connect)
	raw, err := d.o.Dial(ctx, "tcp", u.Address.String())
	if err != nil {
		return nil, d.dialError(w, err)
	}
	cc := &countedConn{Conn: raw}
	c := &conn{Conn: cc, raw: cc, addr: u.Address}
	if d.o.TLS != nil {
		conf := d.o.TLS.Clone()
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
	c.limit.r = c.Conn
	c.br = bufio.NewReaderSize(&c.limit, readBuffer)
	d.o.Scope.Counter("dialer.dials").Inc(1)
	return c, nil
}

func (d *Dialer) dialError(w *watch, err error) error {
	kind := router.FailRefused
	if w.reason() == pastDeadline {
		kind = router.FailDeadline
	}
	return &router.AttemptError{Kind: kind, Outcome: refuser.NotRun, Err: errors.Wrap(err, "open connection")}
}

// send writes a request. Header and body go out together where the connection
// allows it.
func (c *conn) send(head, body []byte) error {
	bufs := net.Buffers{head}
	if len(body) > 0 {
		bufs = append(bufs, body)
	}
	if c.Conn != net.Conn(c.raw) {
		_, err := bufs.WriteTo(c.Conn)
		return err
	}
	// The counting wrapper hides the vectored write, so count its result.
	n, err := bufs.WriteTo(c.raw.Conn)
	c.raw.sent.Add(n)
	return err
}

// header reads the header of the next answer, whose body the caller reads.
func (c *conn) header(method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	for range maxInformational {
		c.limit.armed, c.limit.left = true, maxHeader
		resp, err := http.ReadResponse(c.br, req)
		c.limit.armed = false
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Newf("the upstream switched protocols unasked")
		}
	}
	return nil, errors.Newf("the upstream sent more than %d informational answers", maxInformational)
}

// expired reports whether the connection has been unused for too long.
func (c *conn) expired(now time.Time, idle time.Duration) bool {
	if c.keep > 0 {
		idle = min(idle, c.keep)
	}
	return now.Sub(c.since) >= idle
}

// quiet reports whether the peer has neither closed the idle connection nor
// sent anything on it. Either would make the next request fail after it was
// sent, or give it the answer of an earlier one.
func (c *conn) quiet() bool {
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
	quiet := false
	var b [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
