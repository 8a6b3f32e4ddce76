package sharer

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"foxtailwall/counter"
	"foxtailwall/serializer"
)

// ServeOptions are the metrics scope and the log of Serve.
type ServeOptions struct {
	Scope counter.Scope
	Log   zerolog.Logger
}

// Serve answers load reports until ctx ends, then closes conn. It fails only if
// conn is closed before.
func Serve(ctx context.Context, conn *net.UDPConn, h *Hub, o ServeOptions) error {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	packetLog := rateLimited(o.Log)
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
			// For example the receiver of an earlier answer is gone (ICMP).
			packetLog.Info().AnErr("cause", err).Msg("cannot receive a load report")
			continue
		}
		var r report
		if err := serializer.Unmarshal(buf[:n], &r); err != nil {
			o.Scope.Counter("sharer.unreadable").Inc(1)
			packetLog.Info().AnErr("cause", err).Stringer("from", from).Msg("a report of loads cannot be read")
			continue
		}
		a, ok := h.record(&r)
		if !ok {
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(encode(a), from); err != nil {
			// No retry: the host's next report gets a new answer.
			packetLog.Info().AnErr("cause", err).Stringer("to", from).Msg("cannot send the loads of other hosts")
		}
	}
}
