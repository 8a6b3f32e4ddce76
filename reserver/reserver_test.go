package reserver_test

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/reserver"
)

func TestReserver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reserver")
}

var loopback = netip.MustParseAddr("127.0.0.1")

var _ = Describe("Ports", func() {
	newPorts := func() *reserver.Ports {
		p := new(reserver.Ports)
		DeferCleanup(p.Release)
		return p
	}
	next := func(p *reserver.Ports) int {
		port, err := p.Next(loopback)
		Expect(err).NotTo(HaveOccurred())
		return int(port)
	}

	// Guards against a connection or listener of another process that the system
	// gives the number to before it is bound.
	It("gives out no number that the system chooses", func() {
		first, last := 32768, 60999 // Defaults of Linux, if the file below is missing.
		if b, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
			_, err := fmt.Sscan(string(b), &first, &last)
			Expect(err).NotTo(HaveOccurred())
		}
		p := newPorts()
		for range 200 {
			port := next(p)
			Expect(port < first || port > last).To(BeTrue(), "port %d", port)
		}
	})

	// Guards against two test processes that choose the same number, which neither
	// has bound yet.
	It("gives out different numbers in different processes", func() {
		seen := make(map[int]bool)
		for range 4 {
			p := newPorts()
			for range 120 {
				port := next(p)
				Expect(seen[port]).To(BeFalse(), "port %d", port)
				seen[port] = true
			}
		}
	})

	// Guards against numbers that something else on the machine has bound.
	It("passes over numbers in use", func() {
		p := newPorts()
		first := next(p)
		for port := first + 1; port < first+10; port++ {
			// An error means that the port is in use already.
			if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
				DeferCleanup(l.Close)
			}
		}
		Expect(next(p)).To(BeNumerically(">=", first+10))
	})
})
