package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// dialTimeout is the time after which a dial into a partitioned zone fails.
const dialTimeout = time.Second

type (
	// network dials the connections of all hosts and emulates partitions
	// between zones. A partition is silent: open connections stay open but
	// carry no data, and new ones time out.
	network struct {
		mu          sync.Mutex
		zones       map[netip.AddrPort]string
		partitioned map[string]bool
		links       map[*link]struct{}
	}

	// link is a connection between two zones.
	link struct {
		net.Conn
		from, to string
		net      *network
		// gate is a closed channel while the link carries data.
		mu   sync.Mutex
		gate chan struct{}
		done chan struct{}
		once sync.Once
	}

	// unreachableError reports a failed dial between partitioned zones.
	unreachableError struct{ from, to string }
)

func newNetwork() *network {
	return &network{zones: map[netip.AddrPort]string{}, partitioned: map[string]bool{}, links: map[*link]struct{}{}}
}

// Error implements error.
func (e *unreachableError) Error() string {
	return fmt.Sprintf("zone %s cannot reach zone %s", e.from, e.to)
}

// assignZone records the zone of an address.
func (n *network) assignZone(addr netip.AddrPort, zone string) {
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
		to, blocked := n.destinationZone(zone, addr)
		if blocked {
			// A partition drops the SYN, so the dial times out.
			bounded, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			<-bounded.Done()
			return nil, &net.OpError{Op: "dial", Net: netw, Err: &unreachableError{zone, to}}
		}
		c, err := d.DialContext(ctx, netw, address)
		if err != nil || to == zone || to == "" {
			return c, err
		}
		return n.trackLink(c, zone, to), nil
	}
}

func (n *network) destinationZone(from string, addr netip.AddrPort) (to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to = n.zones[addr]
	return to, n.isBlocked(from, to)
}

// isBlocked reports whether a partition separates the zones. An address without
// a zone is always reachable. The caller holds mu.
func (n *network) isBlocked(from, to string) bool {
	return from != to && to != "" && (n.partitioned[from] || n.partitioned[to])
}

func (n *network) trackLink(c net.Conn, from, to string) net.Conn {
	l := &link{Conn: c, from: from, to: to, net: n, gate: make(chan struct{}), done: make(chan struct{})}
	close(l.gate)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[l] = struct{}{}
	if n.isBlocked(from, to) {
		l.block()
	}
	return l
}

// setPartitioned starts or ends the partition of a zone. Silent connections stay
// silent after its end, like those whose state a middlebox has lost.
func (n *network) setPartitioned(zone string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[zone] = partitioned
	for l := range n.links {
		if n.isBlocked(l.from, l.to) {
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

func (l *link) currentGate() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate
}

// Read implements net.Conn. On a silent link it blocks until Close.
func (l *link) Read(b []byte) (int, error) {
	k, err := l.Conn.Read(b)
	select {
	case <-l.currentGate():
		return k, err
	case <-l.done:
		return 0, net.ErrClosed
	}
}

// Write implements net.Conn. On a silent link it discards the data.
func (l *link) Write(b []byte) (int, error) {
	select {
	case <-l.currentGate():
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
