package sharer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"foxtailwall/placer"
	"foxtailwall/serializer"
	"foxtailwall/timekeeper"
)

const (
	// reportEvery is the shortest pause between two reports of a host, below
	// the time that an engine needs for a long prompt.
	reportEvery = 50 * time.Millisecond
	// leaderTime is the least time for which the leader is left alone between
	// the reports of two hosts, on average. It bounds the leader's work to some
	// percent of a core.
	leaderTime = 750 * time.Microsecond

	// linesPeriod and linesBurst bound the log lines about datagrams.
	linesPeriod = 10 * time.Second
	linesBurst  = 3
)

type (
	// ClientSettings configures a Client.
	ClientSettings struct {
		Host string
		// From is the address of this host; its port is not used.
		From netip.Addr
		// Leader returns the address to report to, invalid if none is known.
		Leader func() netip.AddrPort
		// Hosts returns the number of hosts that report.
		Hosts func() int
		// Loads returns the loads of this host.
		Loads func() []placer.Load
		// Apply takes over the sums of the other hosts' loads.
		Apply func([]placer.Load)
		Clock timekeeper.Clock
		Log   zerolog.Logger
	}

	// Client reports the loads of a host. Make it with NewClient.
	Client struct {
		set     ClientSettings
		started int64
		lines   zerolog.Logger
		// sent is the number of the newest report.
		sent atomic.Uint64
	}
)

// NewClient returns a client that has sent nothing.
func NewClient(s ClientSettings) *Client {
	return &Client{set: s, started: s.Clock.Now().UnixNano(), lines: sampled(s.Log)}
}

// Run reports until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.set.From, 0)))
	if err != nil {
		return errors.Wrap(err, "open a socket for loads")
	}
	var wg conc.WaitGroup
	wg.Go(func() { c.receive(ctx, conn) })
	for timekeeper.Sleep(ctx, c.set.Clock, c.pause()) == nil {
		c.report(conn)
	}
	conn.Close()
	wg.Wait()
	return nil
}

// pause is the time between two reports.
func (c *Client) pause() time.Duration {
	return max(reportEvery, time.Duration(c.set.Hosts())*leaderTime)
}

func (c *Client) report(conn *net.UDPConn) {
	to := c.set.Leader()
	if !to.IsValid() {
		return
	}
	r := report{Host: c.set.Host, Started: c.started, Count: c.sent.Add(1), Loads: toWire(c.set.Loads())}
	if _, err := conn.WriteToUDPAddrPort(encode(r), to); err != nil {
		// The next report says the same.
		c.lines.Info().AnErr("cause", err).Stringer("leader", to).Msg("the loads were not reported")
	}
}

// receive takes over answers until the socket is closed.
func (c *Client) receive(ctx context.Context, conn *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for taken := uint64(0); ; {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		var a answer
		if err == nil {
			err = serializer.Unmarshal(buf[:n], &a)
		}
		if err != nil {
			c.lines.Info().AnErr("cause", err).Stringer("from", from).Msg("the loads of other hosts cannot be read")
			continue
		}
		if a.Count <= taken || a.Count > c.sent.Load() {
			// Overtaken, sent twice, or no answer to a report of this start.
			continue
		}
		taken = a.Count
		c.set.Apply(fromWire(a.Loads))
	}
}

// sampled bounds the volume of the lines about datagrams.
func sampled(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: linesBurst, Period: linesPeriod})
}
