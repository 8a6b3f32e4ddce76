// Package reserver provides port numbers to tests whose programs bind them
// themselves.
//
// A number that the system has chosen for port 0 and that was released again may
// be given to any other connection before the program binds it. The numbers of
// this package are below the range from which the system chooses, and are given
// out once on a machine while the test process runs: each Ports holds a block of
// numbers by listening on its first one. Tests that can pass a listener on to the
// code under test need no reservation, unless they close it and rely on refused
// connections.
//
// # Usage
//
//	var ports reserver.Ports
//	port, err := ports.Next(netip.MustParseAddr("127.0.0.1"))
package reserver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// minPort and maxPort bound the numbers, maxPort exclusively. Package
	// demonstrator uses those above, the system those from 32768.
	minPort = 10000
	maxPort = 20000
	// blockSize is the number of ports of a block, including the one that holds it.
	blockSize = 50
)

type (
	// Ports gives out port numbers. Its zero value is ready to use; a test package
	// needs one. It is safe for use by several goroutines.
	Ports struct {
		mu sync.Mutex
		// holders are the listeners on the first ports of the blocks held.
		holders []net.Listener
		// next is the next number in the newest block, end the first one after it.
		next, end int
	}

	// ExhaustedError says that no block of ports is free.
	ExhaustedError struct{ Blocks int }
)

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("none of %d blocks of ports from %d to %d is free", e.Blocks, minPort, maxPort-1)
}

// Next returns a port number at which nothing listens on the addresses, over TCP
// or UDP; without addresses, on any local one. The error is an *ExhaustedError.
func (p *Ports) Next(addrs ...netip.Addr) (uint16, error) {
	if len(addrs) == 0 {
		addrs = []netip.Addr{netip.IPv4Unspecified()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next >= p.end {
			if err := p.holdBlock(); err != nil {
				return 0, err
			}
		}
		port := uint16(p.next)
		p.next++
		if isFree(port, addrs) {
			return port, nil
		}
	}
}

// Listen listens over TCP on the next port of the IPv4 loopback address. Once the
// listener is closed, nothing else gets its number. Errors are an *ExhaustedError
// or that of net.Listen.
func (p *Ports) Listen() (net.Listener, error) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	port, err := p.Next(loopback)
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", netip.AddrPortFrom(loopback, port).String())
}

// holdBlock takes a block that no other Ports on this machine holds.
func (p *Ports) holdBlock() error {
	const blocks = (maxPort - minPort) / blockSize
	for _, block := range rand.Perm(blocks) {
		first := minPort + block*blockSize
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue // Held by another process, or used by something else.
		}
		p.holders = append(p.holders, l)
		p.next, p.end = first+1, first+blockSize
		return nil
	}
	return &ExhaustedError{Blocks: blocks}
}

// Release gives up all blocks. Numbers given out before may be given out again.
func (p *Ports) Release() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	for _, l := range p.holders {
		err = errors.CombineErrors(err, l.Close())
	}
	p.holders, p.next, p.end = nil, 0, 0
	return err
}

// isFree reports whether the port can be bound at all addresses.
func isFree(port uint16, addrs []netip.Addr) bool {
	for _, a := range addrs {
		at := netip.AddrPortFrom(a, port)
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at))
		if err != nil {
			return false
		}
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		if err != nil {
			l.Close()
			return false
		}
		if errors.CombineErrors(l.Close(), c.Close()) != nil {
			return false
		}
	}
	return true
}
