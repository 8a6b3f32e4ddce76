package messenger

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/buffer"
	"foxtailwall/claimer"
	"foxtailwall/controller"
	"foxtailwall/counter"
	"foxtailwall/pinner"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

const (
	// DefaultPatience is how long a call looks for a leader. A new leader is
	// elected within 2 s.
	DefaultPatience = 3 * time.Second
	// attemptTimeout bounds one call to one control host, so that a silent
	// host leaves time to ask the others. It is longer than dialTimeout, so
	// that a call to a host that cannot be reached ends with the certainty
	// that nothing was sent.
	attemptTimeout = dialTimeout + 500*time.Millisecond
	// roundPause is the time between two rounds through the control hosts.
	roundPause = 50 * time.Millisecond
	// laterPause is the time between two attempts of work left for later.
	laterPause = time.Second

	// submitRing bounds the items that wait for a call.
	submitRing = 4096
	// laterRing bounds the work left for later.
	laterRing = 4096
	// submitCalls bounds the calls under way. While all are busy, new items
	// gather for the next call.
	submitCalls = 4
	// submitItems and submitBytes bound one call.
	submitItems = 256
	submitBytes = 1 << 20
	// itemBytes is the size assumed for an item without a response body.
	itemBytes = 512
)

// States of an op.
const (
	opQueued int32 = iota
	opSent
	opCancelled
)

type (
	// Control is a host's client of the control group. It gathers the items
	// of many goroutines into common calls and tries the control hosts in
	// turn. It implements router.Claims and router.Pins. Make it with
	// NewControl; its calls need Run.
	Control struct {
		opts  ControlClientOptions
		ring  *buffer.Ring[*op]
		later *buffer.Ring[controller.Item]
		turn  turn
		ended endedRequests
	}

	// ControlClientOptions are the settings of a Control.
	ControlClientOptions struct {
		// Peers are the control hosts.
		Peers []*Peer
		Clock timekeeper.Clock
		Scope counter.Scope
		// Patience is how long a call looks for a leader; zero takes
		// DefaultPatience.
		Patience time.Duration
	}

	// UncertainError says that a call to the control group may or may not
	// have taken effect, or may still take effect.
	UncertainError struct{ Err error }

	// op is one item on its way.
	op struct {
		item   controller.Item
		state  atomic.Int32
		done   chan struct{}
		answer controller.Answer
		err    error
	}

	// turn is the order in which the control hosts are asked: the one that
	// answered last comes first.
	turn struct {
		mu    sync.Mutex
		first netip.AddrPort
		// lost says that the last search for a leader ended without one. The
		// next then takes one round only, so that in a zone without a quorum
		// each request is refused at once and none waits behind others.
		lost bool
	}
)

// NewControl returns a client of the control group.
func NewControl(opts ControlClientOptions) *Control {
	if opts.Patience <= 0 {
		opts.Patience = DefaultPatience
	}
	return &Control{
		opts:  opts,
		ring:  buffer.New[*op](submitRing),
		later: buffer.New[controller.Item](laterRing),
	}
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("the control group may or may not have taken the call: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// Run sends the items until ctx ends and returns the error of ctx.
func (c *Control) Run(ctx context.Context) error {
	p := pool.New().WithContext(ctx)
	p.Go(c.runSubmit)
	p.Go(c.runLater)
	return p.Wait()
}

// Do has the control group take one item and returns its answer. The error is
// a *refuser.Refusal with code NoQuorum and outcome NotRun if the item has
// certainly not taken effect and will not, and an *UncertainError otherwise.
func (c *Control) Do(ctx context.Context, it controller.Item) (controller.Answer, error) {
	if err := checkItem(it); err != nil {
		return controller.Answer{}, err
	}
	o := &op{item: it, done: make(chan struct{})}
	if err := c.ring.Put(ctx, o); err != nil {
		return controller.Answer{}, noQuorum(err)
	}
	select {
	case <-o.done:
	case <-ctx.Done():
		if o.state.CompareAndSwap(opQueued, opCancelled) {
			return controller.Answer{}, noQuorum(ctx.Err())
		}
		return controller.Answer{}, &UncertainError{Err: ctx.Err()}
	}
	if o.err == nil && o.answer.Fault != "" {
		return o.answer, &controller.CommandError{Fault: o.answer.Fault}
	}
	return o.answer, o.err
}

// checkItem refuses what would make the control group refuse the whole call,
// and with it the items of others: text from callers that is no UTF-8, and
// items that are not for hosts.
func checkItem(it controller.Item) error {
	if it.Apply != nil || it.Prune != nil {
		return refuser.New(refuser.BadRequest, refuser.NotRun, "a host sends no configuration; use foxtailwall apply")
	}
	var texts []string
	key := func(k claimer.Key) { texts = append(texts, k.Workspace, k.Service, k.Key) }
	pin := func(p pinner.Pin) { texts = append(texts, p.Workspace, p.Session, p.Model, p.Version) }
	switch {
	case it.Claim != nil:
		key(it.Claim.Key)
	case it.Finish != nil:
		key(it.Finish.Key)
	case it.Release != nil:
		key(it.Release.Key)
	case it.Pin != nil:
		pin(*it.Pin)
	case it.Repin != nil:
		pin(it.Repin.Old)
		pin(it.Repin.New)
	}
	for _, t := range texts {
		if !utf8.ValidString(t) {
			return refuser.New(refuser.BadRequest, refuser.NotRun, "keys and session names must be valid UTF-8")
		}
	}
	return nil
}

// runSubmit gathers items and sends each batch in a goroutine of its own.
func (c *Control) runSubmit(ctx context.Context) error {
	p := pool.New().WithMaxGoroutines(submitCalls)
	defer p.Wait()
	for {
		first, err := c.ring.Take(ctx)
		if err != nil {
			c.refuseQueued(err)
			return err
		}
		// Go waits while all calls are busy; what arrived by then joins.
		p.Go(func() {
			if batch := c.gather(first); len(batch) > 0 {
				c.send(ctx, batch)
			}
		})
	}
}

// refuseQueued ends the wait of those whose items will not be sent any more.
func (c *Control) refuseQueued(err error) {
	for _, o := range c.ring.Drain(0) {
		if o.state.CompareAndSwap(opQueued, opCancelled) {
			o.err = noQuorum(err)
			close(o.done)
		}
	}
}

// gather adds what waits in the ring to first, within the bounds of a call,
// and leaves out what its caller has given up.
func (c *Control) gather(first *op) []*op {
	var out []*op
	size := 0
	for o := first; ; {
		if o.state.CompareAndSwap(opQueued, opSent) {
			out = append(out, o)
			size += sizeOf(o.item)
		}
		if len(out) >= submitItems || size >= submitBytes {
			return out
		}
		select {
		case o = <-c.ring.C():
		default:
			return out
		}
	}
}

// send delivers a batch and wakes those who wait for it.
func (c *Control) send(ctx context.Context, batch []*op) {
	req := &submitRequest{Items: make([]controller.Item, len(batch))}
	for i, o := range batch {
		req.Items[i] = o.item
	}
	res, err := callLeader[submitRequest, submitResponse](ctx, c.caller(), procSubmit, req)
	if err == nil && len(res.Answers) != len(batch) {
		err = &UncertainError{Err: errors.Newf("%d answers to %d items", len(res.Answers), len(batch))}
	}
	c.opts.Scope.Counter("control.calls").Inc(1)
	c.opts.Scope.Counter("control.items").Inc(int64(len(batch)))
	for i, o := range batch {
		if err == nil {
			o.answer = res.Answers[i]
		}
		o.err = err
		close(o.done)
	}
}

// runLater repeats work that must reach the control group although its
// caller has gone, until it has or ctx ends.
func (c *Control) runLater(ctx context.Context) error {
	for {
		first, err := c.later.Take(ctx)
		if err != nil {
			return err
		}
		req := &submitRequest{Items: c.gatherLater(first)}
		for {
			_, err := callLeader[submitRequest, submitResponse](ctx, c.caller(), procSubmit, req)
			if err == nil {
				break
			}
			if r, ok := refuser.As(err); ok && r.Code != refuser.NoQuorum {
				c.opts.Scope.Counter("control.dropped").Inc(int64(len(req.Items)))
				break
			}
			if err := timekeeper.Sleep(ctx, c.opts.Clock, laterPause); err != nil {
				return err
			}
		}
	}
}

// gatherLater adds what waits for later to first, within the bounds of a call.
// Without a bound on the bytes the control group refuses the call as too large.
func (c *Control) gatherLater(first controller.Item) []controller.Item {
	out, size := []controller.Item{first}, sizeOf(first)
	for len(out) < submitItems && size < submitBytes {
		select {
		case it := <-c.later.C():
			out = append(out, it)
			size += sizeOf(it)
		default:
			return out
		}
	}
	return out
}

// postpone leaves an item for runLater. A full ring drops it: the claim it
// belongs to then ends as lost at its deadline.
func (c *Control) postpone(it controller.Item) {
	if !c.later.Offer(it) {
		c.opts.Scope.Counter("control.dropped").Inc(1)
	}
}

func (c *Control) caller() *leaderCaller {
	return &leaderCaller{peers: c.opts.Peers, turn: &c.turn, clock: c.opts.Clock, patience: c.opts.Patience}
}

// leaderCaller finds the leader among the control hosts.
type leaderCaller struct {
	peers    []*Peer
	turn     *turn
	clock    timekeeper.Clock
	patience time.Duration
}

// callLeader asks the control hosts in turn, again and again, until the leader
// answers or the patience ends. Requests must be idempotent. The error is a
// *refuser.Refusal if no attempt can have taken effect, else an
// *UncertainError.
func callLeader[Req, Res any](ctx context.Context, c *leaderCaller, name string, req *Req) (*Res, error) {
	ctx, cancel := withTimeout(ctx, c.clock, c.patience)
	defer cancel()
	uncertain := false
	last := errors.New("no control host is configured")
	for {
		for _, p := range c.turn.order(c.peers) {
			res, err := attempt[Req, Res](ctx, c, p, name, req)
			if err == nil {
				return res, nil
			}
			last = err
			if r, ok := refuser.As(err); ok && r.Code != refuser.NoQuorum && r.Outcome == refuser.NotRun {
				return nil, err
			}
			uncertain = uncertain || !harmless(err)
		}
		if c.turn.isLost() || timekeeper.Sleep(ctx, c.clock, roundPause) != nil {
			break
		}
	}
	c.turn.lose()
	if uncertain {
		return nil, &UncertainError{Err: last}
	}
	return nil, noQuorum(last)
}

// attempt asks one control host.
func attempt[Req, Res any](ctx context.Context, c *leaderCaller, p *Peer, name string, req *Req) (*Res, error) {
	ctx, cancel := withTimeout(ctx, c.clock, attemptTimeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return nil, &CallError{Procedure: name, Addr: p.Addr(), Unsent: true, Err: err}
	}
	res, err := Call[hop[Req], led[Res]](ctx, p, name, &hop[Req]{Body: *req})
	if err != nil {
		return nil, err
	}
	if res.NotLeader {
		return nil, &controller.NotLeaderError{Leader: res.Leader}
	}
	c.turn.answered(p.Addr(), res.Leader)
	return &res.Body, nil
}

// harmless reports whether a failed attempt has certainly taken no effect.
func harmless(err error) bool {
	var nl *controller.NotLeaderError
	var ce *CallError
	if errors.As(err, &nl) {
		return true
	}
	if errors.As(err, &ce) {
		return ce.Unsent
	}
	r, ok := refuser.As(err)
	return ok && r.Outcome == refuser.NotRun
}

func noQuorum(err error) *refuser.Refusal {
	return refuser.New(refuser.NoQuorum, refuser.NotRun,
		"the control group has no leader that can be reached: %v; try again later", err)
}

// order returns the peers, the preferred one first.
func (t *turn) order(peers []*Peer) []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.IndexFunc(peers, func(p *Peer) bool { return p.Addr() == t.first })
	if i < 1 {
		return peers
	}
	return slices.Concat(peers[i:], peers[:i])
}

// answered prefers the leader if it is known, else the host that answered.
func (t *turn) answered(host, leader netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first, t.lost = host, false
	if leader.IsValid() {
		t.first = leader
	}
}

func (t *turn) isLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

func (t *turn) lose() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = true
}

func sizeOf(it controller.Item) int {
	if it.Finish != nil {
		return itemBytes + len(it.Finish.Response.Body)
	}
	if it.Bill != nil {
		return itemBytes * (1 + len(it.Bill.Records))
	}
	return itemBytes
}
