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
	// minReportInterval is the shortest interval between reports of a host,
	// below the time that an engine needs for a long prompt.
	minReportInterval = 50 * time.Millisecond
	// minLeaderInterval is the shortest average interval between reports at the
	// leader. It limits the leader's work to a few percent of a core.
	minLeaderInterval = 750 * time.Microsecond

	// At most logBurst lines about datagrams are logged in each logPeriod.
	logPeriod = 10 * time.Second
	logBurst  = 3
)

type (
	// ClientSettings configures a Client.
	ClientSettings struct {
		Host string
		// From is the address of this host; the socket gets any free port.
		From netip.Addr
		// Leader returns the address to report to, invalid if none is known.
		Leader func() netip.AddrPort
		// Hosts returns the number of hosts that report.
		Hosts func() int
		// Loads returns the loads that this host has at the upstreams.
		Loads func() []placer.Load
		// Apply receives, for each upstream, the sum of the other hosts' loads.
		Apply func([]placer.Load)
		// Placements takes at most limit of this host's new placements, and
		// ApplyPlacements receives those of all hosts.
		Placements      func(limit int) []placer.Placement
		ApplyPlacements func([]placer.Placement)
		// Unreachable takes at most limit upstreams that this host could not reach,
		// and ApplyUnreachable receives those of all hosts.
		Unreachable      func(limit int) []placer.Unreachable
		ApplyUnreachable func([]placer.Unreachable)
		// Limits returns the rate limits that this host has received from upstreams,
		// and ApplyLimits receives those of all hosts.
		Limits      func() []placer.RateLimit
		ApplyLimits func([]placer.RateLimit)
		Clock       timekeeper.Clock
		Log         zerolog.Logger
	}

	// Client exchanges loads with the leader. Make it with NewClient.
	Client struct {
		set       ClientSettings
		started   int64
		packetLog zerolog.Logger
		// lastSent is the sequence number of the newest report.
		lastSent atomic.Uint64
		// known is the answer.Known of the newest answer.
		known atomic.Uint64
	}
)

// NewClient returns a client; Run starts the exchange.
func NewClient(s ClientSettings) *Client {
	return &Client{set: s, started: s.Clock.Now().UnixNano(), packetLog: rateLimited(s.Log)}
}

// Run exchanges loads until ctx ends. It fails only if no socket can be opened.
func (c *Client) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.set.From, 0)))
	if err != nil {
		return errors.Wrap(err, "open the UDP socket for load reports")
	}
	var wg conc.WaitGroup
	wg.Go(func() { c.receive(ctx, conn) })
	for timekeeper.Sleep(ctx, c.set.Clock, c.reportInterval()) == nil {
		c.sendReport(conn)
	}
	conn.Close()
	wg.Wait()
	return nil
}

// reportInterval returns the time between two reports.
func (c *Client) reportInterval() time.Duration {
	return max(minReportInterval, time.Duration(c.set.Hosts())*minLeaderInterval)
}

func (c *Client) sendReport(conn *net.UDPConn) {
	to := c.set.Leader()
	if !to.IsValid() {
		return
	}
	count := c.lastSent.Add(1)
	r := report{
		Host: c.set.Host, Started: c.started, Count: count, Loads: toWire(c.set.Loads()),
		Placements: c.set.Placements(maxPlacements), Known: c.known.Load(),
		Unreachable: c.set.Unreachable(maxUnreachable), Limits: limitsToWire(c.set.Limits(), count),
	}
	if _, err := conn.WriteToUDPAddrPort(encode(r), to); err != nil {
		// No retry: the next report carries all loads again, and lost placements
		// cost other hosts little.
		c.packetLog.Info().AnErr("cause", err).Stringer("leader", to).Msg("the loads were not reported")
	}
}

// receive applies the leader's answers until the socket is closed.
func (c *Client) receive(ctx context.Context, conn *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for lastApplied := uint64(0); ; {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		var a answer
		if err == nil {
			err = serializer.Unmarshal(buf[:n], &a)
		}
		if err != nil {
			c.packetLog.Info().AnErr("cause", err).Stringer("from", from).Msg("cannot read the loads of other hosts")
			continue
		}
		if a.Count <= lastApplied || a.Count > c.lastSent.Load() {
			// Out of order, duplicate, or the answer to an earlier process.
			continue
		}
		lastApplied = a.Count
		c.set.Apply(fromWire(a.Loads))
		c.set.ApplyPlacements(a.Placements)
		c.set.ApplyUnreachable(a.Unreachable)
		c.set.ApplyLimits(limitsFromWire(a.Limits))
		c.known.Store(a.Known)
	}
}

// rateLimited returns a logger that drops lines beyond logBurst per logPeriod.
func rateLimited(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logPeriod})
}
