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
	// hop wraps a request for the leader of the control group.
	hop[T any] struct {
		// Forwarded says that a control host has passed the request on. It is
		// not passed on again, so that two hosts that take each other for
		// the leader make no loop.
		Forwarded bool `cbor:"forwarded,omitempty"`
		Body      T    `cbor:"body"`
	}

	// led wraps a response of the leader.
	led[T any] struct {
		// NotLeader says that no host led, so that the request has taken no
		// effect.
		NotLeader bool `cbor:"notLeader,omitempty"`
		// Leader is the address of the leader, if the host knows one.
		Leader netip.AddrPort `cbor:"leader"`
		Body   T              `cbor:"body"`
	}

	// Forwarding tells a control host how to reach the leader.
	Forwarding struct {
		// Peer returns the client for a control host.
		Peer func(netip.AddrPort) *Peer
		// LeaderOf reports whether err means that this host does not lead,
		// and the leader if it is known. Nil recognises
		// *controller.NotLeaderError.
		LeaderOf func(err error) (leader netip.AddrPort, notLeader bool)
	}
)

// handleLeader registers a procedure that the leader answers and every other
// control host passes on to it, once.
func handleLeader[Req, Res any](m *Mux, name string, f Forwarding, own func(context.Context, *Req) (*Res, error)) {
	Handle(m, name, func(ctx context.Context, r *hop[Req]) (*led[Res], error) {
		res, err := own(ctx, &r.Body)
		if err == nil {
			return &led[Res]{Body: *res}, nil
		}
		leader, notLeader := f.leaderOf(err)
		switch {
		case !notLeader:
			return nil, err
		case r.Forwarded, !leader.IsValid(), f.Peer == nil:
			return &led[Res]{NotLeader: true, Leader: leader}, nil
		}
		return forward[Req, Res](ctx, f.Peer(leader), name, r.Body)
	})
}

func forward[Req, Res any](ctx context.Context, p *Peer, name string, body Req) (*led[Res], error) {
	res, err := Call[hop[Req], led[Res]](ctx, p, name, &hop[Req]{Forwarded: true, Body: body})
	var ce *CallError
	if errors.As(err, &ce) && ce.Unsent {
		return &led[Res]{NotLeader: true}, nil
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

// withTimeout ends the returned context after d by the clock. The caller
// calls cancel, which waits for the timer's goroutine.
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
