package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// dialTimeout is the time after which a connection into a cut-off zone is
// given up.
const dialTimeout = time.Second

type (
	// network carries the connections of all hosts and cuts zones off from
	// each other. A cut is silent: open connections stay open and carry
	// nothing, and new ones do not come about.
	network struct {
		mu    sync.Mutex
		zones map[netip.AddrPort]string
		cut   map[string]bool
		links map[*link]struct{}
	}

	// link is a connection between two zones.
	link struct {
		net.Conn
		from, to string
		net      *network
		// gate is closed while the link carries data.
		mu   sync.Mutex
		gate chan struct{}
		done chan struct{}
		once sync.Once
	}

	// unreachableError says that a connection did not come about because a
	// zone is cut off.
	unreachableError struct{ from, to string }
)

func newNetwork() *network {
	return &network{zones: map[netip.AddrPort]string{}, cut: map[string]bool{}, links: map[*link]struct{}{}}
}

// Error implements error.
func (e *unreachableError) Error() string {
	return fmt.Sprintf("zone %s does not reach zone %s", e.from, e.to)
}

// place says in which zone an address is.
func (n *network) place(addr netip.AddrPort, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[addr] = zone
}

// dialer returns the dial function of a host in the zone.
func (n *network) dialer(zone string) func(context.Context, string, string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, netw, address string) (net.Conn, error) {
		addr, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		to, blocked := n.route(zone, addr)
		if blocked {
			// A lost SYN is not answered.
			bounded, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			<-bounded.Done()
			return nil, &net.OpError{Op: "dial", Net: netw, Err: &unreachableError{zone, to}}
		}
		c, err := d.DialContext(ctx, netw, address)
		if err != nil || to == zone || to == "" {
			return c, err
		}
		return n.track(c, zone, to), nil
	}
}

func (n *network) route(from string, addr netip.AddrPort) (to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to = n.zones[addr]
	return to, n.blocked(from, to)
}

// blocked is called with the lock held. An address in no zone is always
// reached.
func (n *network) blocked(from, to string) bool {
	return from != to && to != "" && (n.cut[from] || n.cut[to])
}

func (n *network) track(c net.Conn, from, to string) net.Conn {
	l := &link{Conn: c, from: from, to: to, net: n, gate: make(chan struct{}), done: make(chan struct{})}
	close(l.gate)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[l] = struct{}{}
	if n.blocked(from, to) {
		l.block()
	}
	return l
}

// setCut cuts the zone off, or heals it. Connections that were silent stay
// silent after the healing, as those do whose state a middlebox has lost.
func (n *network) setCut(zone string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[zone] = cut
	for l := range n.links {
		if n.blocked(l.from, l.to) {
			l.block()
		}
	}
}

func (l *link) block() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.gate:
		l.gate = make(chan struct{})
	default:
	}
}

func (l *link) open() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate
}

// Read implements net.Conn. What arrives on a silent connection is withheld.
func (l *link) Read(b []byte) (int, error) {
	k, err := l.Conn.Read(b)
	select {
	case <-l.open():
		return k, err
	case <-l.done:
		return 0, net.ErrClosed
	}
}

// Write implements net.Conn. What is written to a silent connection is lost.
func (l *link) Write(b []byte) (int, error) {
	select {
	case <-l.open():
		return l.Conn.Write(b)
	default:
		return len(b), nil
	}
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.once.Do(func() { close(l.done) })
	l.net.mu.Lock()
	delete(l.net.links, l)
	l.net.mu.Unlock()
	return l.Conn.Close()
}
