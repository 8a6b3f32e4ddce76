package messenger

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailwall/buffer"
	"foxtailwall/counter"
	"foxtailwall/replicator"
)

const (
	groupProcedure = "replicator/send"
	// sendersPerMember is the number of concurrent calls to one member, so
	// that a batch need not wait for the response to the previous one.
	sendersPerMember = 3
	// groupQueueSize is the number of messages that can wait for one member.
	// Messages that do not fit are dropped; the protocol repeats them.
	groupQueueSize = 1024
	// groupBatchSize is the largest number of messages in one call. Each
	// message is at most about 4 MB, so that the call stays below
	// maxMessageBytes.
	groupBatchSize = 8
	// groupTimeout is the time limit of one call.
	groupTimeout = time.Second
)

type (
	// GroupTransport implements replicator.Transport over connect. Make it
	// with NewGroupTransport.
	GroupTransport struct {
		conf   *tls.Config
		scope  counter.Scope
		opts   []PeerOption
		ctx    context.Context
		cancel context.CancelFunc
		wg     conc.WaitGroup

		mu     sync.Mutex
		queues map[netip.AddrPort]*buffer.Ring[*replicator.Message]
	}

	// GroupReceiver handles the messages of other members.
	GroupReceiver interface {
		Receive(ms ...*replicator.Message)
	}

	groupRequest struct {
		Messages []*replicator.Message `cbor:"messages"`
	}

	groupResponse struct{}
)

// NewGroupTransport returns a transport without connections. Close it to end
// its goroutines.
func NewGroupTransport(conf *tls.Config, scope counter.Scope, opts ...PeerOption) *GroupTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &GroupTransport{
		conf: conf, scope: scope, opts: opts, ctx: ctx, cancel: cancel,
		queues: make(map[netip.AddrPort]*buffer.Ring[*replicator.Message]),
	}
}

// HandleGroup registers the procedure through which members send messages to
// g.
func HandleGroup(m *Mux, g GroupReceiver) {
	Handle(m, groupProcedure, func(_ context.Context, r *groupRequest) (*groupResponse, error) {
		g.Receive(r.Messages...)
		return &groupResponse{}, nil
	})
}

// Send implements replicator.Transport.
func (t *GroupTransport) Send(to netip.AddrPort, m *replicator.Message) {
	if !t.queue(to).Offer(m) {
		t.scope.Counter("messenger.groupDropped").Inc(1)
	}
}

// Close cancels the calls in progress and waits for the senders.
func (t *GroupTransport) Close() {
	t.cancel()
	t.wg.Wait()
}

func (t *GroupTransport) queue(to netip.AddrPort) *buffer.Ring[*replicator.Message] {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.queues[to]
	if ok {
		return r
	}
	r = buffer.New[*replicator.Message](groupQueueSize)
	t.queues[to] = r
	peer := NewPeer(to, t.conf, t.opts...)
	for range sendersPerMember {
		t.wg.Go(func() { t.sendQueued(peer, r) })
	}
	return r
}

// sendQueued sends the messages of one queue until Close. A failed batch is
// not retried, because by then the protocol has newer messages to send.
func (t *GroupTransport) sendQueued(peer *Peer, r *buffer.Ring[*replicator.Message]) {
	defer peer.Close()
	for {
		first, err := r.Take(t.ctx)
		if err != nil {
			return
		}
		req := &groupRequest{Messages: append([]*replicator.Message{first}, r.Drain(groupBatchSize-1)...)}
		ctx, cancel := context.WithTimeout(t.ctx, groupTimeout)
		if _, err := Call[groupRequest, groupResponse](ctx, peer, groupProcedure, req); err != nil {
			t.scope.Counter("messenger.groupFailed").Inc(1)
		}
		cancel()
	}
}
