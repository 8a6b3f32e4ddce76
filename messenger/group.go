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
	// groupSenders is the number of calls under way to one member, so that
	// the next batch does not wait for the answer to the last.
	groupSenders = 3
	// groupRing is the number of messages that wait for one member; the
	// protocol repeats those that find no room.
	groupRing = 1024
	// groupBatch is the number of messages in one call. Each is at most
	// about 4 MB, so that the call stays below maxMessage.
	groupBatch = 8
	// groupTimeout bounds one call.
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

		mu    sync.Mutex
		rings map[netip.AddrPort]*buffer.Ring[*replicator.Message]
	}

	// GroupReceiver takes the messages of other members.
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
		rings: make(map[netip.AddrPort]*buffer.Ring[*replicator.Message]),
	}
}

// HandleGroup registers the procedure by which members reach g.
func HandleGroup(m *Mux, g GroupReceiver) {
	Handle(m, groupProcedure, func(_ context.Context, r *groupRequest) (*groupResponse, error) {
		g.Receive(r.Messages...)
		return &groupResponse{}, nil
	})
}

// Send implements replicator.Transport.
func (t *GroupTransport) Send(to netip.AddrPort, m *replicator.Message) {
	if !t.ring(to).Offer(m) {
		t.scope.Counter("messenger.groupDropped").Inc(1)
	}
}

// Close ends the calls under way and waits for the senders.
func (t *GroupTransport) Close() {
	t.cancel()
	t.wg.Wait()
}

func (t *GroupTransport) ring(to netip.AddrPort) *buffer.Ring[*replicator.Message] {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rings[to]
	if ok {
		return r
	}
	r = buffer.New[*replicator.Message](groupRing)
	t.rings[to] = r
	peer := NewPeer(to, t.conf, t.opts...)
	for range groupSenders {
		t.wg.Go(func() { t.send(peer, r) })
	}
	return r
}

// send delivers the messages of one ring. A lost batch is not repeated here,
// because by then the protocol has newer messages to send.
func (t *GroupTransport) send(peer *Peer, r *buffer.Ring[*replicator.Message]) {
	defer peer.Close()
	for {
		first, err := r.Take(t.ctx)
		if err != nil {
			return
		}
		req := &groupRequest{Messages: append([]*replicator.Message{first}, r.Drain(groupBatch-1)...)}
		ctx, cancel := context.WithTimeout(t.ctx, groupTimeout)
		if _, err := Call[groupRequest, groupResponse](ctx, peer, groupProcedure, req); err != nil {
			t.scope.Counter("messenger.groupFailed").Inc(1)
		}
		cancel()
	}
}
