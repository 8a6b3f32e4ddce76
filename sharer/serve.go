package sharer

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"foxtailwall/counter"
	"foxtailwall/serializer"
)

// ServeOptions are what Serve tells of its work.
type ServeOptions struct {
	Scope counter.Scope
	Log   zerolog.Logger
}

// Serve answers the reports that arrive at conn until ctx ends, and closes it.
func Serve(ctx context.Context, conn *net.UDPConn, h *Hub, o ServeOptions) error {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	lines := sampled(o.Log)
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "receive loads")
		}
		if err != nil {
			// Such as the news that the receiver of an earlier answer is gone.
			lines.Info().AnErr("cause", err).Msg("a report of loads was not received")
			continue
		}
		var r report
		if err := serializer.Unmarshal(buf[:n], &r); err != nil {
			o.Scope.Counter("sharer.unreadable").Inc(1)
			lines.Info().AnErr("cause", err).Stringer("from", from).Msg("a report of loads cannot be read")
			continue
		}
		loads, ok := h.take(&r)
		if !ok {
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(encode(answer{Count: r.Count, Loads: toWire(loads)}), from); err != nil {
			// The host's next report is answered anew.
			lines.Info().AnErr("cause", err).Stringer("to", from).Msg("the loads were not sent")
		}
	}
}
