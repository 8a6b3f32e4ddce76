package messenger

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"foxtailwall/controller"
	"foxtailwall/timekeeper"
)

type (
	// leaderRequest wraps a request to the leader of the control group.
	leaderRequest[T any] struct {
		// Forwarded means that a control host has forwarded the request. It is
		// not forwarded again, so that two hosts that each consider the other
		// the leader do not form a loop.
		Forwarded bool `cbor:"forwarded,omitempty"`
		Body      T    `cbor:"body"`
	}

	// leaderResponse wraps a response of the leader.
	leaderResponse[T any] struct {
		// NotLeader means that no leader handled the request, so that it has
		// had no effect.
		NotLeader bool `cbor:"notLeader,omitempty"`
		// Leader is the address of the leader, if the host knows it.
		Leader netip.AddrPort `cbor:"leader"`
		Body   T              `cbor:"body"`
	}

	// Forwarding configures how a control host finds and reaches the leader.
	Forwarding struct {
		// Peer returns the client for a control host.
		Peer func(netip.AddrPort) *Peer
		// LeaderOf reports whether err means that this host is not the leader,
		// and returns the leader if it is known. Nil recognises
		// *controller.NotLeaderError.
		LeaderOf func(err error) (leader netip.AddrPort, notLeader bool)
	}
)

// handleLeader registers a procedure that the leader handles. Any other
// control host forwards the request to the leader, once.
func handleLeader[Req, Res any](m *Mux, name string, f Forwarding, handle func(context.Context, *Req) (*Res, error)) {
	Handle(m, name, func(ctx context.Context, r *leaderRequest[Req]) (*leaderResponse[Res], error) {
		res, err := handle(ctx, &r.Body)
		if err == nil {
			return &leaderResponse[Res]{Body: *res}, nil
		}
		leader, notLeader := f.leaderOf(err)
		switch {
		case !notLeader:
			return nil, err
		case r.Forwarded, !leader.IsValid(), f.Peer == nil:
			return &leaderResponse[Res]{NotLeader: true, Leader: leader}, nil
		}
		return forwardToLeader[Req, Res](ctx, f.Peer(leader), name, r.Body)
	})
}

func forwardToLeader[Req, Res any](ctx context.Context, p *Peer, name string, body Req) (*leaderResponse[Res], error) {
	res, err := Call[leaderRequest[Req], leaderResponse[Res]](ctx, p, name, &leaderRequest[Req]{Forwarded: true, Body: body})
	var ce *CallError
	if errors.As(err, &ce) && ce.Unsent {
		return &leaderResponse[Res]{NotLeader: true}, nil
	}
	if err != nil {
		return nil, err
	}
	if !res.NotLeader {
		res.Leader = p.Addr()
	}
	return res, nil
}

func (f Forwarding) leaderOf(err error) (netip.AddrPort, bool) {
	if f.LeaderOf != nil {
		return f.LeaderOf(err)
	}
	var nl *controller.NotLeaderError
	if errors.As(err, &nl) {
		return nl.Leader, true
	}
	return netip.AddrPort{}, false
}

// withTimeout returns a context that ends after d by the clock. The caller
// must call the returned function, which waits for the timer's goroutine.
func withTimeout(ctx context.Context, c timekeeper.Clock, d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	t := c.NewTimer(d)
	var wg conc.WaitGroup
	wg.Go(func() {
		defer t.Stop()
		select {
		case <-t.C():
			cancel()
		case <-ctx.Done():
		}
	})
	return ctx, func() {
		cancel()
		wg.Wait()
	}
}
