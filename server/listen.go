package server

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// keepAlive detects peers that vanished without closing the connection within
// about 20 s. Peers that acknowledge packets but read nothing are detected by
// the write deadline.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 3 * time.Second, Count: 3}

// Listen returns a TCP listener for callers or operators on addr. Port 0
// selects a free port.
func Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	l, err := (&net.ListenConfig{KeepAliveConfig: keepAlive}).Listen(ctx, "tcp", addr.String())
	return l, errors.Wrapf(err, "listen on %s", addr)
}
