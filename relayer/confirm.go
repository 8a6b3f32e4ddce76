package relayer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/buffer"
)

// confirmLoop confirms this host's version every RenewEvery.
func (n *Node) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.Confirm(ctx)
		n.wait(ctx, nil, RenewEvery)
	}
}

// Confirm confirms this host's version, by way of a relay or else at the
// control group, and takes the lease.
func (n *Node) Confirm(ctx context.Context) {
	req := &ConfirmRequest{
		Confirmations: []Confirmation{{Host: n.opts.Host, Version: n.holder.Version()}},
		Reports:       n.takeReports(),
		Hosts:         hostsDigest(n.Hosts()),
	}
	res, sent, err := n.confirmAt(ctx, n.servers(), req)
	if err != nil {
		n.opts.Scope.Counter("relayer.confirmFailed").Inc(1)
		if n.opts.Source == nil && ctx.Err() == nil {
			// Cut off from the control group, the zone's hosts still share
			// the highest version that one of them has.
			n.Gather(ctx)
		}
		return
	}
	if len(res.Leases) == 1 {
		n.holder.Extend(sent, res.Leases[0])
	}
	n.heardHosts(res.Hosts)
	n.checkLag(ctx, res.Version)
}

// checkLag looks for a newer version elsewhere when this host still lacks one
// that was known at its last confirmation, as when the process it watches is
// paused.
func (n *Node) checkLag(ctx context.Context, known uint64) {
	have := n.holder.Version()
	n.mu.Lock()
	lags := have < n.known
	n.known = known
	if lags {
		n.stalled = true
		n.signal()
	}
	n.mu.Unlock()
	if lags {
		n.opts.Scope.Counter("relayer.stalled").Inc(1)
		n.Gather(ctx)
	}
}

// confirmAt asks the servers in turn until one answers, and returns the
// answer and when it was asked for. A control host that does not lead names
// the leader, which is asked next.
func (n *Node) confirmAt(
	ctx context.Context, servers []netip.AddrPort, req *ConfirmRequest,
) (res *ConfirmResponse, sent time.Time, err error) {
	sent = n.opts.Clock.Now()
	if n.opts.Group != nil {
		if res, err := n.grant(req); err == nil {
			return res, sent, nil
		}
	}
	err = &LeaderError{}
	for i := 0; i < len(servers) && ctx.Err() == nil; i++ {
		if servers[i] == n.opts.Host.Addr {
			continue
		}
		sent = n.opts.Clock.Now()
		if res, err = n.opts.Transport.Confirm(ctx, servers[i], req); err == nil {
			return res, sent, nil
		}
		var le *LeaderError
		var ue *UnsentError
		switch {
		case errors.As(err, &le):
			if le.Leader.IsValid() && !slices.Contains(servers[:i+1], le.Leader) {
				n.heardLeader(le.Leader)
				servers = slices.Insert(slices.Clone(servers), i+1, le.Leader)
			}
		case !errors.As(err, &ue):
			// The reports may have arrived, and must not count twice.
			n.lost(req.Reports)
			req = &ConfirmRequest{Confirmations: req.Confirmations, Hosts: req.Hosts}
		}
	}
	// What certainly did not arrive goes with the next request.
	n.Report(req.Reports...)
	return nil, sent, err
}

// HandleConfirm answers a confirmation of another host: on the control leader
// at once, on other control hosts with a *LeaderError, and elsewhere as a
// relay, once the leader has answered the next batch.
func (n *Node) HandleConfirm(ctx context.Context, req *ConfirmRequest) (*ConfirmResponse, error) {
	if n.opts.Group != nil {
		return n.grant(req)
	}
	p := &pending{req: req, done: make(chan confirmed, 1)}
	if !n.gathered.Offer(p) {
		return nil, &buffer.FullError{Capacity: n.gathered.Cap()}
	}
	select {
	case c := <-p.done:
		return c.res, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// grant answers as the control leader.
func (n *Node) grant(req *ConfirmRequest) (*ConfirmResponse, error) {
	term, ok := n.opts.Group.Leading()
	if !ok || !n.opts.Group.Leased() {
		return nil, n.notLeader()
	}
	version := n.opts.Source.View().Version
	res := &ConfirmResponse{Version: version, Leases: n.registry.Confirm(term, version, req.Confirmations)}
	res.Hosts = n.registry.Zone(req.Confirmations, req.Hosts)
	// A leader that was deposed meanwhile may have granted leases that the
	// next one does not wait for.
	if !n.opts.Group.Leased() {
		return nil, n.notLeader()
	}
	if len(req.Reports) > 0 && n.opts.OnReports != nil {
		n.opts.OnReports(req.Reports)
	}
	return res, nil
}

func (n *Node) notLeader() error {
	m, ok := n.opts.Group.Leader()
	if !ok {
		return &LeaderError{}
	}
	return &LeaderError{Leader: m.Addr}
}

// relayLoop sends what this host gathered from others once every gatherEvery.
func (n *Node) relayLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.wait(ctx, nil, gatherEvery)
		n.relay(ctx)
	}
}

// relay sends one batch and hands out the answer.
func (n *Node) relay(ctx context.Context) {
	batch := n.gathered.Drain(0)
	if len(batch) == 0 {
		return
	}
	req := &ConfirmRequest{Hosts: hostsDigest(n.Hosts())}
	for _, p := range batch {
		req.Confirmations = append(req.Confirmations, p.req.Confirmations...)
		n.Report(p.req.Reports...)
	}
	req.Reports = n.takeReports()
	res, _, err := n.confirmAt(ctx, n.controls(), req)
	if err == nil && len(res.Leases) != len(req.Confirmations) {
		err = errors.AssertionFailedf("%d leases for %d confirmations", len(res.Leases), len(req.Confirmations))
	}
	if err != nil {
		for _, p := range batch {
			p.done <- confirmed{err: err}
		}
		return
	}
	n.heardHosts(res.Hosts)
	hosts := n.Hosts()
	d := hostsDigest(hosts)
	at := 0
	for _, p := range batch {
		out := &ConfirmResponse{Version: res.Version, Leases: res.Leases[at : at+len(p.req.Confirmations)]}
		at += len(p.req.Confirmations)
		if p.req.Hosts != d {
			out.Hosts = hosts
		}
		p.done <- confirmed{res: out}
	}
}

// controls returns the control hosts, the leader first.
func (n *Node) controls() []netip.AddrPort {
	n.mu.Lock()
	leader := n.leader
	n.mu.Unlock()
	if !leader.IsValid() {
		return n.opts.Control
	}
	return append([]netip.AddrPort{leader}, slices.DeleteFunc(slices.Clone(n.opts.Control),
		func(a netip.AddrPort) bool { return a == leader })...)
}

func (n *Node) lost(rs []Report) {
	if len(rs) > 0 {
		n.opts.Scope.Counter("relayer.reportsLost").Inc(int64(len(rs)))
	}
}

// HandleWatch sends updates to another host until ctx ends or send fails.
func (n *Node) HandleWatch(ctx context.Context, r *WatchRequest, send func(*Update) error) error {
	// The first message goes out even without news, so that the watcher
	// learns the leader.
	n.watchers.Add(1)
	defer n.watchers.Add(-1)
	leader, first := netip.AddrPort{}, true
	for ctx.Err() == nil {
		changed := n.holder.Changed()
		u := n.HandleLatest(r)
		if first || u.Version > r.Version || u.Leader != leader {
			if err := send(u); err != nil {
				return err
			}
			leader, first = u.Leader, false
		}
		if u.Version > r.Version {
			r = &WatchRequest{Version: u.Version, Digest: u.Digest}
		}
		n.wait(ctx, changed, pollEvery)
	}
	return ctx.Err()
}

// HandleLatest answers with what is newer than the request.
func (n *Node) HandleLatest(r *WatchRequest) *Update {
	u := n.holder.since(r)
	if n.opts.Group != nil {
		if m, ok := n.opts.Group.Leader(); ok {
			u.Leader = m.Addr
		}
	}
	return u
}
