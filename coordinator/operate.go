package coordinator

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"

	"foxtailwall/controller"
	"foxtailwall/replicator"
)

// Put puts a document in force if its version is above that of the present
// one, and returns the version in force. Errors are a *controller.NotLeaderError
// or a *BusyError.
func (c *Coordinator) Put(ctx context.Context, d controller.Document) (uint64, error) {
	a, err := c.propose(ctx, controller.Item{Put: &d})
	if err == nil {
		c.set.Log.Info().Uint64("version", d.Version).Uint64("inForce", a.Put).Int("bytes", len(d.Body)).
			Msg("configuration acknowledged")
	}
	return a.Put, err
}

// Current returns the document in force. Errors are as those of Put.
func (c *Coordinator) Current(ctx context.Context) (controller.Document, error) {
	m, err := c.barrier(ctx)
	if err != nil {
		return controller.Document{}, err
	}
	return m.machine.Published().Document, nil
}

// Order starts a rollout; accepted is false while another one of the service
// is running. Errors are as those of Put.
func (c *Coordinator) Order(ctx context.Context, o controller.RolloutOrder) (accepted bool, err error) {
	a, err := c.propose(ctx, controller.Item{Order: &o})
	if err != nil || a.Ordered == nil {
		return false, err
	}
	c.set.Log.Info().Str("service", o.Service).Str("target", o.Target).Dur("duration", o.Duration).
		Bool("accepted", a.Ordered.Accepted).Msg("rollout ordered")
	return a.Ordered.Accepted, nil
}

// Rollout returns the newest rollout of the service. Errors are as those of
// Put.
func (c *Coordinator) Rollout(ctx context.Context, service string) (r controller.OrderedRollout, ok bool, err error) {
	m, err := c.barrier(ctx)
	if err != nil {
		return r, false, err
	}
	for _, r := range m.machine.Published().Rollouts {
		if r.Service == service {
			return r, true, nil
		}
	}
	return r, false, nil
}

// propose appends one item to the log and returns its answer.
func (c *Coordinator) propose(ctx context.Context, it controller.Item) (controller.Answer, error) {
	m := c.current.Load()
	if m == nil {
		return controller.Answer{}, &BusyError{Err: errClosed}
	}
	if _, leads := m.group.Leading(); leads && !c.manned(m) {
		return controller.Answer{}, &BusyError{Err: errForming}
	}
	cmd, err := controller.Encode(controller.Command{At: c.set.Clock.Now(), Items: []controller.Item{it}})
	if err != nil {
		return controller.Answer{}, &BusyError{Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	b, _, err := m.group.Propose(ctx, cmd)
	if err != nil {
		return controller.Answer{}, c.translate(err)
	}
	res, err := controller.Decode(b)
	if err != nil {
		return controller.Answer{}, &BusyError{Err: err}
	}
	return res.Answers[0], nil
}

// manned reports whether an acknowledged change is on enough disks that those
// which may be lost at once are not all of them.
func (c *Coordinator) manned(m *member) bool {
	voters := 0
	for _, o := range m.group.Members() {
		if o.Voter {
			voters++
		}
	}
	return voters/2+1 > c.set.LostDisks
}

// barrier waits until the machine reflects all that was acknowledged anywhere.
func (c *Coordinator) barrier(ctx context.Context) (*member, error) {
	m := c.current.Load()
	if m == nil {
		return nil, &BusyError{Err: errClosed}
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := m.group.Barrier(ctx); err != nil {
		return nil, c.translate(err)
	}
	return m, nil
}

// translate names the operators' address of the leader where it is another
// host.
func (c *Coordinator) translate(err error) error {
	var nl *replicator.NotLeaderError
	if errors.As(err, &nl) && nl.Leader.Addr.IsValid() && nl.Leader.Addr != c.set.Peers {
		return &controller.NotLeaderError{Leader: netip.AddrPortFrom(nl.Leader.Addr.Addr(), c.set.Operators.Port())}
	}
	return &BusyError{Err: err}
}
