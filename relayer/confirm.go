package relayer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/buffer"
)

// confirmLoop calls Confirm every RenewInterval until ctx ends.
func (n *Node) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.Confirm(ctx)
		n.wait(ctx, nil, RenewInterval)
	}
}

// Confirm sends this host's version, queue and reports to a relay or, failing that,
// to the control group, and extends the lease by the response.
func (n *Node) Confirm(ctx context.Context) {
	req := &ConfirmRequest{
		Confirmations: []Confirmation{n.confirmation()},
		Reports:       n.takeReports(),
		Hosts:         hostsDigest(n.Hosts()),
	}
	res, sent, err := n.sendConfirm(ctx, n.servers(), req)
	if err != nil {
		n.opts.Scope.Counter("relayer.confirmFailed").Inc(1)
		if n.opts.Source == nil && ctx.Err() == nil {
			// Hosts cut off from the control group still spread the highest
			// version within their zone.
			n.FetchLatest(ctx)
		}
		return
	}
	if len(res.Leases) == 1 {
		n.holder.ExtendLease(sent, res.Leases[0])
	}
	n.setHosts(res.Hosts)
	n.checkLag(ctx, res.Version)
}

// confirmation returns the present state of this host.
func (n *Node) confirmation() Confirmation {
	c := Confirmation{Host: n.opts.Host, Version: n.holder.Version()}
	if n.opts.Queue != nil {
		c.Queue = n.opts.Queue()
	}
	return c
}

// checkLag switches to another server and fetches the newest version if this
// host still lacks the version named by the previous confirmation, for example
// because the process that it watches is paused.
func (n *Node) checkLag(ctx context.Context, leaderVersion uint64) {
	have := n.holder.Version()
	n.mu.Lock()
	lags := have < n.leaderVersion
	n.leaderVersion = leaderVersion
	if lags {
		n.stalled = true
		n.signalServerChange()
	}
	n.mu.Unlock()
	if lags {
		n.opts.Scope.Counter("relayer.stalled").Inc(1)
		n.FetchLatest(ctx)
	}
}

// sendConfirm sends the request to the servers in turn until one answers, and
// returns the response and the time at which its request was sent. If a
// control host that does not lead names the leader, the leader is tried next.
func (n *Node) sendConfirm(
	ctx context.Context, servers []netip.AddrPort, req *ConfirmRequest,
) (res *ConfirmResponse, sent time.Time, err error) {
	sent = n.opts.Clock.Now()
	if n.opts.Group != nil {
		if res, err := n.confirmAsLeader(req); err == nil {
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
				n.setLeader(le.Leader)
				servers = slices.Insert(slices.Clone(servers), i+1, le.Leader)
			}
		case !errors.As(err, &ue):
			// The reports may have arrived and must not be counted twice.
			n.countLostReports(req.Reports)
			req = &ConfirmRequest{Confirmations: req.Confirmations, Hosts: req.Hosts}
		}
	}
	// Reports that certainly did not arrive are sent with the next request.
	n.Report(req.Reports...)
	return nil, sent, err
}

// HandleConfirm answers a confirmation from another host. The control leader
// answers at once, and other control hosts return a *LeaderError. Any other
// host acts as a relay: it answers once the leader has answered the next batch,
// and returns a *buffer.FullError if its queue is full.
func (n *Node) HandleConfirm(ctx context.Context, req *ConfirmRequest) (*ConfirmResponse, error) {
	if n.opts.Group != nil {
		return n.confirmAsLeader(req)
	}
	p := &queuedConfirm{req: req, done: make(chan confirmResult, 1)}
	if !n.queue.Offer(p) {
		return nil, &buffer.FullError{Capacity: n.queue.Cap()}
	}
	select {
	case c := <-p.done:
		return c.res, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// confirmAsLeader records the confirmations and grants leases. It returns a
// *LeaderError if this host does not lead or its leader's lease has ended.
func (n *Node) confirmAsLeader(req *ConfirmRequest) (*ConfirmResponse, error) {
	term, ok := n.opts.Group.Leading()
	if !ok || !n.opts.Group.HoldsLease() {
		return nil, n.notLeader()
	}
	version := n.opts.Source.View().Version
	res := &ConfirmResponse{Version: version, Leases: n.registry.Confirm(term, version, req.Confirmations)}
	res.Hosts = n.registry.ZoneHosts(req.Confirmations, req.Hosts)
	// A leader that lost its own lease meanwhile may have granted leases that
	// the next leader does not wait for.
	if !n.opts.Group.HoldsLease() {
		return nil, n.notLeader()
	}
	if len(req.Reports) > 0 && n.opts.OnReports != nil {
		n.opts.OnReports(req.Reports)
	}
	return res, nil
}

// notLeader returns a *LeaderError that names the leader if it is known.
func (n *Node) notLeader() error {
	m, ok := n.opts.Group.Leader()
	if !ok {
		return &LeaderError{}
	}
	return &LeaderError{Leader: m.Addr}
}

// relayLoop calls sendBatch every batchInterval until ctx ends.
func (n *Node) relayLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.wait(ctx, nil, batchInterval)
		n.sendBatch(ctx)
	}
}

// sendBatch forwards the queued confirmations to the control group as one
// request and passes each sender its part of the response.
func (n *Node) sendBatch(ctx context.Context) {
	batch := n.queue.Drain(0)
	if len(batch) == 0 {
		return
	}
	req := &ConfirmRequest{Hosts: hostsDigest(n.Hosts())}
	for _, p := range batch {
		req.Confirmations = append(req.Confirmations, p.req.Confirmations...)
		n.Report(p.req.Reports...)
	}
	req.Reports = n.takeReports()
	res, _, err := n.sendConfirm(ctx, n.controlHosts(), req)
	if err == nil && len(res.Leases) != len(req.Confirmations) {
		err = errors.AssertionFailedf("%d leases for %d confirmations", len(res.Leases), len(req.Confirmations))
	}
	if err != nil {
		for _, p := range batch {
			p.done <- confirmResult{err: err}
		}
		return
	}
	n.setHosts(res.Hosts)
	hosts := n.Hosts()
	digest := hostsDigest(hosts)
	first := 0
	for _, p := range batch {
		out := &ConfirmResponse{Version: res.Version, Leases: res.Leases[first : first+len(p.req.Confirmations)]}
		first += len(p.req.Confirmations)
		if p.req.Hosts != digest {
			out.Hosts = hosts
		}
		p.done <- confirmResult{res: out}
	}
}

// controlHosts returns the addresses of the control hosts, with the leader
// first if it is known.
func (n *Node) controlHosts() []netip.AddrPort {
	n.mu.Lock()
	leader := n.leader
	n.mu.Unlock()
	if !leader.IsValid() {
		return n.opts.Control
	}
	return append([]netip.AddrPort{leader}, slices.DeleteFunc(slices.Clone(n.opts.Control),
		func(a netip.AddrPort) bool { return a == leader })...)
}

// countLostReports counts reports that are not sent again.
func (n *Node) countLostReports(rs []Report) {
	if len(rs) > 0 {
		n.opts.Scope.Counter("relayer.reportsLost").Inc(int64(len(rs)))
	}
}

// HandleWatch sends updates to another host until ctx ends or send fails.
func (n *Node) HandleWatch(ctx context.Context, r *WatchRequest, send func(*Update) error) error {
	// The first update is sent even without a newer version, so that the
	// watcher learns the leader.
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
		n.wait(ctx, changed, pollInterval)
	}
	return ctx.Err()
}

// HandleLatest returns the update from the requested version to the newest. On
// a control host the update also names the leader.
func (n *Node) HandleLatest(r *WatchRequest) *Update {
	u := n.holder.updateSince(r)
	if n.opts.Group != nil {
		if m, ok := n.opts.Group.Leader(); ok {
			u.Leader = m.Addr
		}
	}
	return u
}
