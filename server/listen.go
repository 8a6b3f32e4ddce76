package server

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// keepAlive finds callers that vanished without a word within about 20 s; the
// write deadline finds those that still acknowledge but take nothing.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 3 * time.Second, Count: 3}

// Listen returns a listener for callers or operators on addr. Port 0 takes a
// free port.
func Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	l, err := (&net.ListenConfig{KeepAliveConfig: keepAlive}).Listen(ctx, "tcp", addr.String())
	return l, errors.Wrapf(err, "listen on %s", addr)
}
