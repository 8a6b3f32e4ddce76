package coordinator

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/controller"
	"foxtailwall/messenger"
	"foxtailwall/replicator"
	"foxtailwall/timekeeper"
)

const (
	proposeProcedure = "coordinator/propose"
	readProcedure    = "coordinator/read"
	// callTimeout bounds an operator's call. Operators try another host after
	// one second without an answer.
	callTimeout = 900 * time.Millisecond
	// maxLeaderless is the time without a leader during which an election may
	// still be in progress, so that a call waits for its result. A host that has
	// known no leader for longer is cut off and refuses calls at once.
	maxLeaderless = 2 * time.Second
	// leaderPollInterval is how often a waiting call looks for the leader.
	leaderPollInterval = 20 * time.Millisecond
)

type (
	proposeRequest struct {
		Item controller.Item `cbor:"item"`
	}

	proposeResponse struct {
		Answer controller.Answer `cbor:"answer"`
	}

	readRequest struct{}

	readResponse struct {
		Published controller.Published `cbor:"published"`
	}
)

// PutDocument replaces the document in force if the new version is higher, and
// returns the version then in force. Its errors are *UnavailableError.
func (c *Coordinator) PutDocument(ctx context.Context, d controller.Document) (uint64, error) {
	a, err := c.propose(ctx, controller.Item{Put: &d})
	if err == nil {
		c.set.Log.Info().Uint64("version", d.Version).Uint64("inForce", a.Put).Int("bytes", len(d.Body)).
			Msg("configuration acknowledged")
	}
	return a.Put, err
}

// CurrentDocument returns the document in force. Its errors are
// *UnavailableError.
func (c *Coordinator) CurrentDocument(ctx context.Context) (controller.Document, error) {
	p, err := c.read(ctx)
	return p.Document, err
}

// StartRollout starts a rollout; accepted is false while the service is rolled
// out to another target. Its errors are *UnavailableError.
func (c *Coordinator) StartRollout(ctx context.Context, o controller.RolloutOrder) (accepted bool, err error) {
	a, err := c.propose(ctx, controller.Item{Order: &o})
	if err != nil || a.Ordered == nil {
		return false, err
	}
	c.set.Log.Info().Str("service", o.Service).Str("target", o.Target).Dur("duration", o.Duration).
		Bool("accepted", a.Ordered.Accepted).Msg("rollout ordered")
	return a.Ordered.Accepted, nil
}

// Rollout returns the newest rollout of the service, if there is one. Its
// errors are *UnavailableError.
func (c *Coordinator) Rollout(ctx context.Context, service string) (r controller.OrderedRollout, ok bool, err error) {
	p, err := c.read(ctx)
	if err != nil {
		return r, false, err
	}
	for _, r := range p.Rollouts {
		if r.Service == service {
			return r, true, nil
		}
	}
	return r, false, nil
}

// StartEvacuation has hosts send no new requests to the upstreams of the zone; EndEvacuation
// takes that back. A repeated order is acknowledged again. Errors are *UnavailableError.
func (c *Coordinator) StartEvacuation(ctx context.Context, zone string) error {
	return c.evacuate(ctx, controller.EvacuationOrder{Zone: zone})
}

// EndEvacuation ends the evacuation of a zone; see StartEvacuation.
func (c *Coordinator) EndEvacuation(ctx context.Context, zone string) error {
	return c.evacuate(ctx, controller.EvacuationOrder{Zone: zone, End: true})
}

func (c *Coordinator) evacuate(ctx context.Context, o controller.EvacuationOrder) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items := o.Items()
	completeContrary, order := items[0], items[1]
	for {
		a, err := c.propose(ctx, order)
		switch {
		case err != nil:
			return err
		case a.Ordered == nil:
			return wrapUnavailable(errors.Newf("the order was not applied: %s", a.Fault))
		case a.Ordered.Accepted:
			// A leader of an earlier release does not say whether the order changed anything.
			c.set.Log.Info().Str("zone", o.Zone).Bool("ended", o.End).Time("since", a.Ordered.Rollout.StartedAt).Msg("evacuation ordered")
			return nil
		}
		if _, err := c.propose(ctx, completeContrary); err != nil {
			return err
		}
	}
}

// propose appends one item to the log, if necessary through the leader, and
// returns its answer.
func (c *Coordinator) propose(ctx context.Context, item controller.Item) (controller.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := c.proposeLocally(ctx, item)
	for c.awaitLeader(ctx, err) {
		a, err = c.proposeLocally(ctx, item)
	}
	leader, ok := otherLeader(err, c.set.Peers)
	if !ok {
		return a, wrapUnavailable(err)
	}
	res, err := messenger.Call[proposeRequest, proposeResponse](ctx, c.peer(leader), proposeProcedure, &proposeRequest{Item: item})
	if err != nil {
		return controller.Answer{}, wrapUnavailable(err)
	}
	return res.Answer, nil
}

// proposeLocally appends one item to the log if this host leads.
func (c *Coordinator) proposeLocally(ctx context.Context, item controller.Item) (controller.Answer, error) {
	m := c.openMember.Load()
	if m == nil {
		return controller.Answer{}, errMemberNotOpen
	}
	if leader, _ := m.group.Leader(); leader.ID == m.group.ID() && !c.hasEnoughVoters(m) {
		return controller.Answer{}, errTooFewVoters
	}
	cmd, err := controller.Encode(controller.Command{At: c.set.Clock.Now(), Items: []controller.Item{item}})
	if err != nil {
		return controller.Answer{}, err
	}
	b, _, err := m.group.ProposeFormat(ctx, cmd, controller.RequiredFormat(item))
	if err != nil {
		return controller.Answer{}, err
	}
	res, err := controller.Decode(b)
	if err != nil {
		return controller.Answer{}, err
	}
	return res.Answers[0], nil
}

// hasEnoughVoters reports whether a majority of the voters is larger than LostDisks, so
// that an acknowledged change survives their loss. The first change also waits until the
// group has formed, with as many voters as it can have: one of fewer could lose its
// majority for ever with LostDisks disks. Later, fewer voters are what losses have left.
func (c *Coordinator) hasEnoughVoters(m *member) bool {
	voters := m.countVoters()
	if voters/2+1 <= c.set.LostDisks {
		return false
	}
	hosts := max(len(m.group.Members()), len(c.set.Seeds()))
	return m.machine.Published().Version > 0 || voters >= min(2*c.set.LostDisks+1, hosts)
}

// countVoters returns the number of voters in the newest membership that m knows.
func (m *member) countVoters() int {
	voters := 0
	for _, peer := range m.group.Members() {
		if peer.Voter {
			voters++
		}
	}
	return voters
}

// read returns the published state from the leader.
func (c *Coordinator) read(ctx context.Context) (controller.Published, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, err := c.readLocally(ctx)
	for c.awaitLeader(ctx, err) {
		p, err = c.readLocally(ctx)
	}
	leader, ok := otherLeader(err, c.set.Peers)
	if !ok {
		return p, wrapUnavailable(err)
	}
	res, err := messenger.Call[readRequest, readResponse](ctx, c.peer(leader), readProcedure, &readRequest{})
	if err != nil {
		return p, wrapUnavailable(err)
	}
	return res.Published.WithEvacuations(), nil
}

// readLocally returns the published state if this host leads, with every change
// that any host acknowledged before the call.
func (c *Coordinator) readLocally(ctx context.Context) (controller.Published, error) {
	m := c.openMember.Load()
	if m == nil {
		return controller.Published{}, errMemberNotOpen
	}
	if _, err := m.group.Barrier(ctx); err != nil {
		return controller.Published{}, err
	}
	return m.machine.Published(), nil
}

// handleForwardedCalls registers the procedures by which other control hosts
// forward the calls of operators to the leader.
func (c *Coordinator) handleForwardedCalls(mux *messenger.Mux) {
	messenger.Handle(mux, proposeProcedure, func(ctx context.Context, r *proposeRequest) (*proposeResponse, error) {
		a, err := c.proposeLocally(ctx, r.Item)
		return &proposeResponse{Answer: a}, err
	})
	messenger.Handle(mux, readProcedure, func(ctx context.Context, _ *readRequest) (*readResponse, error) {
		p, err := c.readLocally(ctx)
		return &readResponse{Published: p}, err
		// Compressing the whole document would take the leader longer than sending it.
	}, messenger.WithoutCompression())
}

// awaitLeader pauses a call that failed with err because no leader is known, and
// reports whether to try again. The follower of a group that has just elected
// its leader knows it only after the first heartbeat.
func (c *Coordinator) awaitLeader(ctx context.Context, err error) bool {
	var notLeader *replicator.NotLeaderError
	m := c.openMember.Load()
	if m == nil || !errors.As(err, &notLeader) || notLeader.Leader.Addr.IsValid() || m.group.LeaderlessFor() > maxLeaderless {
		return false
	}
	return timekeeper.Sleep(ctx, c.set.Clock, leaderPollInterval) == nil
}

// peer returns the client for another control host.
func (c *Coordinator) peer(addr netip.AddrPort) *messenger.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[addr]
	if p == nil {
		p = messenger.NewPeer(addr, nil)
		c.peers[addr] = p
	}
	return p
}

// otherLeader returns the leader's address from a NotLeaderError, if it is
// another host.
func otherLeader(err error, own netip.AddrPort) (netip.AddrPort, bool) {
	var notLeader *replicator.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader.Addr.IsValid() && notLeader.Leader.Addr != own {
		return notLeader.Leader.Addr, true
	}
	return netip.AddrPort{}, false
}

// wrapUnavailable returns err as an *UnavailableError, or nil if err is nil.
func wrapUnavailable(err error) error {
	if err == nil {
		return nil
	}
	return &UnavailableError{Err: err}
}
