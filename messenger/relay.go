package messenger

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/refuser"
	"foxtailwall/relayer"
)

const (
	watchProcedure   = "relay/watch"
	latestProcedure  = "relay/latest"
	confirmProcedure = "relay/confirm"

	// confirmTimeout exceeds the time for which a relay collects confirmations
	// before it forwards them.
	confirmTimeout = 2500 * time.Millisecond
	// latestTimeout is the time limit of a request for the latest view.
	latestTimeout = time.Second
)

type (
	// RelayTransport implements relayer.Transport over connect. Make it with
	// NewRelayTransport.
	RelayTransport struct {
		conf  *tls.Config
		opts  []PeerOption
		mu    sync.Mutex
		peers map[netip.AddrPort]*Peer
	}

	// confirmResponse is a ConfirmResponse or a redirect to the leader.
	confirmResponse struct {
		relayer.ConfirmResponse
		NotLeader bool           `cbor:"notLeader,omitempty"`
		Leader    netip.AddrPort `cbor:"leader,omitzero"`
	}
)

// NewRelayTransport returns a transport without connections.
func NewRelayTransport(conf *tls.Config, opts ...PeerOption) *RelayTransport {
	return &RelayTransport{conf: conf, opts: opts, peers: make(map[netip.AddrPort]*Peer)}
}

// HandleRelay registers the procedures through which other hosts reach n.
func HandleRelay(m *Mux, n *relayer.Node) {
	HandleStream(m, watchProcedure, func(ctx context.Context, r *relayer.WatchRequest, send func(*relayer.Update) error) error {
		return n.HandleWatch(ctx, r, send)
	})
	Handle(m, latestProcedure, func(_ context.Context, r *relayer.WatchRequest) (*relayer.Update, error) {
		return n.HandleLatest(r), nil
	})
	Handle(m, confirmProcedure, func(ctx context.Context, r *relayer.ConfirmRequest) (*confirmResponse, error) {
		res, err := n.HandleConfirm(ctx, r)
		var le *relayer.LeaderError
		switch {
		case errors.As(err, &le):
			return &confirmResponse{NotLeader: true, Leader: le.Leader}, nil
		case err != nil:
			return nil, refuser.New(refuser.NoQuorum, refuser.Unknown, "the confirmation failed: %v", err)
		}
		return &confirmResponse{ConfirmResponse: *res}, nil
	})
}

// Watch implements relayer.Transport.
func (t *RelayTransport) Watch(
	ctx context.Context, to netip.AddrPort, r *relayer.WatchRequest, update func(*relayer.Update) error,
) error {
	// Cancelling ctx ends the stream, so that Close does not wait for it.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := Stream[relayer.WatchRequest, relayer.Update](ctx, t.peer(to), watchProcedure, r)
	if err != nil {
		return err
	}
	for {
		u, err := s.Receive()
		if err == nil {
			err = update(u)
		}
		if err != nil {
			cancel()
			// The stream has already ended or is being discarded.
			_ = s.Close()
			return err
		}
	}
}

// Confirm implements relayer.Transport.
func (t *RelayTransport) Confirm(
	ctx context.Context, to netip.AddrPort, r *relayer.ConfirmRequest,
) (*relayer.ConfirmResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	res, err := Call[relayer.ConfirmRequest, confirmResponse](ctx, t.peer(to), confirmProcedure, r)
	var ce *CallError
	switch {
	case errors.As(err, &ce) && ce.Unsent:
		return nil, &relayer.UnsentError{Err: err}
	case err != nil:
		return nil, err
	}
	if res.NotLeader {
		return nil, &relayer.LeaderError{Leader: res.Leader}
	}
	return &res.ConfirmResponse, nil
}

// Latest implements relayer.Transport.
func (t *RelayTransport) Latest(
	ctx context.Context, to netip.AddrPort, r *relayer.WatchRequest,
) (*relayer.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, latestTimeout)
	defer cancel()
	return Call[relayer.WatchRequest, relayer.Update](ctx, t.peer(to), latestProcedure, r)
}

// Close closes the idle connections.
func (t *RelayTransport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		p.Close()
	}
}

func (t *RelayTransport) peer(to netip.AddrPort) *Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[to]
	if !ok {
		p = NewPeer(to, t.conf, t.opts...)
		t.peers[to] = p
	}
	return p
}
