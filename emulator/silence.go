package emulator

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

type (
	// silentListener accepts connections that can be made silent: the peer
	// then receives no more data and no end of the connection.
	silentListener struct {
		net.Listener
		mu    sync.Mutex
		conns map[*silentConn]struct{}
	}

	silentConn struct {
		net.Conn
		owner  *silentListener
		silent atomic.Bool
	}
)

// Accept implements net.Listener.
func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &silentConn{Conn: c, owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*silentConn]struct{})
	}
	l.conns[s] = struct{}{}
	return s, nil
}

// silence makes the open connections silent; later connections work.
func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

func (l *silentListener) closeAll() {
	l.mu.Lock()
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for c := range conns {
		c.Conn.Close()
	}
}

// Read implements net.Conn. On a silent connection it discards incoming data
// and returns an error once the peer closes.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.silent.Load() {
		return n, err
	}
	if err == nil {
		_, err = io.Copy(io.Discard, c.Conn)
	}
	if err == nil {
		err = io.EOF
	}
	return 0, err
}

// Write implements net.Conn. On a silent connection it discards the data.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It leaves a silent connection open until closeAll
// is called.
func (c *silentConn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
