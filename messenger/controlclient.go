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
	// DefaultLeaderTimeout is how long a call searches for the leader. A new
	// leader is elected within 2 s.
	DefaultLeaderTimeout = 3 * time.Second
	// attemptTimeout is the time limit of one call to one control host, so
	// that an unresponsive host leaves time to try the others. It is longer
	// than dialTimeout, so that a call to an unreachable host ends in a dial
	// error, which proves that nothing was sent.
	attemptTimeout = dialTimeout + 500*time.Millisecond
	// roundPause is the time between two rounds through the control hosts.
	roundPause = 50 * time.Millisecond
	// backgroundRetryInterval is the time between two attempts to submit
	// background items.
	backgroundRetryInterval = time.Second

	// submitQueueSize is the number of items that can wait for a call.
	submitQueueSize = 4096
	// backgroundQueueSize is the number of items that can wait for delivery in
	// the background.
	backgroundQueueSize = 4096
	// maxSubmitCalls is the largest number of concurrent calls. While all are
	// busy, new items collect for the next call.
	maxSubmitCalls = 4
	// maxBatchItems and maxBatchBytes limit one call.
	maxBatchItems = 256
	maxBatchBytes = 1 << 20
	// baseItemBytes is the assumed size of an item without a response body.
	baseItemBytes = 512
)

// States of a submission.
const (
	submissionQueued int32 = iota
	submissionSent
	submissionCancelled
)

type (
	// ControlClient is a host's client of the control group. It batches the items
	// of many goroutines into shared calls and tries the control hosts in turn. It
	// implements router.Claims and router.Pins. Make it with NewControlClient; its
	// calls require a running Run.
	ControlClient struct {
		opts       ControlClientOptions
		queue      *buffer.Ring[*submission]
		background *buffer.Ring[controller.Item]
		hint       leaderHint
		ended      endedRequests
	}

	// ControlClientOptions are the dependencies and settings of a ControlClient.
	ControlClientOptions struct {
		// Peers are the control hosts.
		Peers []*Peer
		Clock timekeeper.Clock
		Scope counter.Scope
		// LeaderTimeout is how long a call searches for the leader; zero means
		// DefaultLeaderTimeout.
		LeaderTimeout time.Duration
	}

	// UncertainError means that a call to the control group may have taken
	// effect or may still do so.
	UncertainError struct{ Err error }

	// submission is an item that a caller of Do waits for.
	submission struct {
		item   controller.Item
		state  atomic.Int32
		done   chan struct{}
		answer controller.Answer
		err    error
	}

	// leaderHint determines the order in which the control hosts are tried:
	// the last known leader, or else the host that last answered, comes first.
	leaderHint struct {
		mu        sync.Mutex
		preferred netip.AddrPort
		// searchFailed means that the last search found no leader. The next
		// search then takes one round only, so that in a zone without a quorum
		// requests are refused at once and do not queue up.
		searchFailed bool
	}
)

// NewControlClient returns a client of the control group.
func NewControlClient(opts ControlClientOptions) *ControlClient {
	if opts.LeaderTimeout <= 0 {
		opts.LeaderTimeout = DefaultLeaderTimeout
	}
	return &ControlClient{
		opts:       opts,
		queue:      buffer.New[*submission](submitQueueSize),
		background: buffer.New[controller.Item](backgroundQueueSize),
	}
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("the call to the control group may or may not have taken effect: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// Run submits the queued items until ctx ends and returns the error of ctx.
func (c *ControlClient) Run(ctx context.Context) error {
	p := pool.New().WithContext(ctx)
	p.Go(c.runSubmit)
	p.Go(c.runBackground)
	return p.Wait()
}

// Do submits one item to the control group and returns its answer. The error
// is a *refuser.Refusal with code NoQuorum and outcome NotRun if the item has
// certainly not taken effect and will not, and an *UncertainError otherwise.
func (c *ControlClient) Do(ctx context.Context, it controller.Item) (controller.Answer, error) {
	if err := checkItem(it); err != nil {
		return controller.Answer{}, err
	}
	sub := &submission{item: it, done: make(chan struct{})}
	if err := c.queue.Put(ctx, sub); err != nil {
		return controller.Answer{}, noQuorum(err)
	}
	select {
	case <-sub.done:
	case <-ctx.Done():
		if sub.state.CompareAndSwap(submissionQueued, submissionCancelled) {
			return controller.Answer{}, noQuorum(ctx.Err())
		}
		return controller.Answer{}, &UncertainError{Err: ctx.Err()}
	}
	if sub.err == nil && sub.answer.Fault != "" {
		return sub.answer, &controller.CommandError{Fault: sub.answer.Fault}
	}
	return sub.answer, sub.err
}

// checkItem refuses items that would make the control group refuse the whole
// call, and with it the items of other callers: text from callers that is not
// valid UTF-8, and items that hosts may not submit.
func checkItem(it controller.Item) error {
	if it.Apply != nil || it.Prune != nil {
		return refuser.New(refuser.BadRequest, refuser.NotRun, "a host must not submit apply or prune items; change the configuration with foxtailwall apply")
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

// runSubmit takes queued items and sends each batch in its own goroutine.
func (c *ControlClient) runSubmit(ctx context.Context) error {
	p := pool.New().WithMaxGoroutines(maxSubmitCalls)
	defer p.Wait()
	for {
		first, err := c.queue.Take(ctx)
		if err != nil {
			c.refuseQueued(err)
			return err
		}
		// Go blocks while all calls are busy; items that arrive until then
		// join the batch.
		p.Go(func() {
			if batch := c.collectBatch(first); len(batch) > 0 {
				c.send(ctx, batch)
			}
		})
	}
}

// refuseQueued refuses the items that are still queued when Run ends.
func (c *ControlClient) refuseQueued(err error) {
	for _, sub := range c.queue.Drain(0) {
		if sub.state.CompareAndSwap(submissionQueued, submissionCancelled) {
			sub.err = noQuorum(err)
			close(sub.done)
		}
	}
}

// collectBatch returns first and the items queued behind it, up to the limits
// of a call. It leaves out items whose caller has stopped waiting.
func (c *ControlClient) collectBatch(first *submission) []*submission {
	var out []*submission
	size := 0
	for sub := first; ; {
		if sub.state.CompareAndSwap(submissionQueued, submissionSent) {
			out = append(out, sub)
			size += itemSize(sub.item)
		}
		if len(out) >= maxBatchItems || size >= maxBatchBytes {
			return out
		}
		select {
		case sub = <-c.queue.C():
		default:
			return out
		}
	}
}

// send submits a batch and hands each answer to its waiting caller.
func (c *ControlClient) send(ctx context.Context, batch []*submission) {
	req := &submitRequest{Items: make([]controller.Item, len(batch))}
	for i, sub := range batch {
		req.Items[i] = sub.item
	}
	res, err := callLeader[submitRequest, submitResponse](ctx, c.newLeaderCaller(), procSubmit, req)
	if err == nil && len(res.Answers) != len(batch) {
		err = &UncertainError{Err: errors.Newf("the control group returned %d answers to %d items", len(res.Answers), len(batch))}
	}
	c.opts.Scope.Counter("control.calls").Inc(1)
	c.opts.Scope.Counter("control.items").Inc(int64(len(batch)))
	for i, sub := range batch {
		if err == nil {
			sub.answer = res.Answers[i]
		}
		sub.err = err
		close(sub.done)
	}
}

// runBackground submits the background items, whose callers no longer wait. It
// retries each item until the control group accepts or rejects it or ctx ends.
// After a call of unknown outcome the next calls are smaller: a call that takes
// longer than the control group is given would otherwise be repeated for ever.
func (c *ControlClient) runBackground(ctx context.Context) error {
	maxItems := maxBatchItems
	for {
		first, err := c.background.Take(ctx)
		if err != nil {
			return err
		}
		for pending := c.collectBackgroundBatch(first); len(pending) > 0; {
			batch := pending[:min(maxItems, len(pending))]
			err := c.submitBackground(ctx, batch)
			if err == nil {
				pending = pending[len(batch):]
				maxItems = min(2*maxItems, maxBatchItems)
				continue
			}
			var unknown *UncertainError
			if errors.As(err, &unknown) {
				maxItems = max(len(batch)/2, 1)
			}
			if err := timekeeper.Sleep(ctx, c.opts.Clock, backgroundRetryInterval); err != nil {
				return err
			}
		}
	}
}

// submitBackground submits background items in one call. It returns nil if the
// control group has accepted or rejected them.
func (c *ControlClient) submitBackground(ctx context.Context, items []controller.Item) error {
	_, err := callLeader[submitRequest, submitResponse](ctx, c.newLeaderCaller(), procSubmit, &submitRequest{Items: items})
	if r, ok := refuser.As(err); ok && r.Code != refuser.NoQuorum {
		c.opts.Scope.Counter("control.dropped").Inc(int64(len(items)))
		return nil
	}
	return err
}

// collectBackgroundBatch returns first and the background items queued behind
// it, up to the limits of a call. Without a limit on bytes the control group
// would refuse the call as too large.
func (c *ControlClient) collectBackgroundBatch(first controller.Item) []controller.Item {
	out, size := []controller.Item{first}, itemSize(first)
	for len(out) < maxBatchItems && size < maxBatchBytes {
		select {
		case it := <-c.background.C():
			out = append(out, it)
			size += itemSize(it)
		default:
			return out
		}
	}
	return out
}

// enqueueBackground queues an item for runBackground. If the queue is full,
// the item is dropped and its claim becomes claimer.Lost at its deadline.
func (c *ControlClient) enqueueBackground(it controller.Item) {
	if !c.background.Offer(it) {
		c.opts.Scope.Counter("control.dropped").Inc(1)
	}
}

func (c *ControlClient) newLeaderCaller() *leaderCaller {
	return &leaderCaller{peers: c.opts.Peers, hint: &c.hint, clock: c.opts.Clock, leaderTimeout: c.opts.LeaderTimeout}
}

// leaderCaller holds what callLeader needs to find the leader among the
// control hosts.
type leaderCaller struct {
	peers         []*Peer
	hint          *leaderHint
	clock         timekeeper.Clock
	leaderTimeout time.Duration
}

// callLeader tries the control hosts in turn, repeatedly, until the leader
// answers or leaderTimeout has passed. Requests must be idempotent. The error
// is a *refuser.Refusal if no attempt can have taken effect, and an
// *UncertainError otherwise.
func callLeader[Req, Res any](ctx context.Context, c *leaderCaller, name string, req *Req) (*Res, error) {
	ctx, cancel := withTimeout(ctx, c.clock, c.leaderTimeout)
	defer cancel()
	uncertain := false
	last := errors.New("no control host is configured")
	for {
		for _, p := range c.hint.orderPeers(c.peers) {
			res, err := callControlHost[Req, Res](ctx, c, p, name, req)
			if err == nil {
				return res, nil
			}
			last = err
			if r, ok := refuser.As(err); ok && r.Code != refuser.NoQuorum && r.Outcome == refuser.NotRun {
				return nil, err
			}
			uncertain = uncertain || !hasNoEffect(err)
		}
		if c.hint.lastSearchFailed() || timekeeper.Sleep(ctx, c.clock, roundPause) != nil {
			break
		}
	}
	c.hint.recordFailedSearch()
	if uncertain {
		return nil, &UncertainError{Err: last}
	}
	return nil, noQuorum(last)
}

// callControlHost sends the request once to one control host.
func callControlHost[Req, Res any](ctx context.Context, c *leaderCaller, p *Peer, name string, req *Req) (*Res, error) {
	ctx, cancel := withTimeout(ctx, c.clock, attemptTimeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return nil, &CallError{Procedure: name, Addr: p.Addr(), Unsent: true, Err: err}
	}
	res, err := Call[leaderRequest[Req], leaderResponse[Res]](ctx, p, name, &leaderRequest[Req]{Body: *req})
	if err != nil {
		return nil, err
	}
	if res.NotLeader {
		return nil, &controller.NotLeaderError{Leader: res.Leader}
	}
	c.hint.recordAnswer(p.Addr(), res.Leader)
	return &res.Body, nil
}

// hasNoEffect reports whether a failed attempt has certainly not taken effect.
func hasNoEffect(err error) bool {
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

// orderPeers returns the peers, starting at the preferred one.
func (h *leaderHint) orderPeers(peers []*Peer) []*Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(peers, func(p *Peer) bool { return p.Addr() == h.preferred })
	if i < 1 {
		return peers
	}
	return slices.Concat(peers[i:], peers[:i])
}

// recordAnswer prefers the leader if it is known, and otherwise the host that
// answered.
func (h *leaderHint) recordAnswer(host, leader netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.preferred, h.searchFailed = host, false
	if leader.IsValid() {
		h.preferred = leader
	}
}

func (h *leaderHint) lastSearchFailed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.searchFailed
}

func (h *leaderHint) recordFailedSearch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.searchFailed = true
}

func itemSize(it controller.Item) int {
	if it.Finish != nil {
		return baseItemBytes + len(it.Finish.Response.Body)
	}
	if it.Bill != nil {
		return baseItemBytes * (1 + len(it.Bill.Records))
	}
	return baseItemBytes
}
