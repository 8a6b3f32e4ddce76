package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/messenger"
	"foxtailwall/refuser"
	"foxtailwall/reserver"
)

type (
	echoRequest struct {
		Text string `cbor:"text"`
	}
	echoResponse struct {
		Text string `cbor:"text"`
	}
)

// ports are numbers at which nothing listens.
var ports reserver.Ports

func TestMessenger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "messenger")
}

// serve starts mux on a loopback port and returns a peer for it.
func serve(mux *messenger.Mux) *messenger.Peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	srv := messenger.NewServer(mux, nil)
	go srv.Serve(l)
	DeferCleanup(srv.Close)
	p := messenger.NewPeer(netip.MustParseAddrPort(l.Addr().String()), nil)
	DeferCleanup(p.Close)
	return p
}

var _ = Describe("Call", func() {
	It("carries a request and its response", func(ctx context.Context) {
		mux := messenger.NewMux()
		messenger.Handle(mux, "test/echo", func(_ context.Context, r *echoRequest) (*echoResponse, error) {
			return &echoResponse{Text: r.Text}, nil
		})
		res, err := messenger.Call[echoRequest, echoResponse](ctx, serve(mux), "test/echo", &echoRequest{Text: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Text).To(Equal("a"))
	})

	// Guards against a refusal that loses its outcome between processes, so
	// that the caller gets a wrong one.
	It("carries a refusal with its outcome", func(ctx context.Context) {
		mux := messenger.NewMux()
		messenger.Handle(mux, "test/refuse", func(context.Context, *echoRequest) (*echoResponse, error) {
			return nil, refuser.New(refuser.NoQuorum, refuser.NotRun, "no leader").WithRetryAfter(time.Second)
		})
		_, err := messenger.Call[echoRequest, echoResponse](ctx, serve(mux), "test/refuse", &echoRequest{})
		Expect(err).To(Equal(&refuser.Refusal{
			Code: refuser.NoQuorum, Outcome: refuser.NotRun, Message: "no leader", RetryAfter: time.Second,
		}))
	})

	// Guards against a refused connection that counts as a call that may have
	// run.
	It("reports that nothing was sent when no connection can be opened", func(ctx context.Context) {
		port, err := ports.Next()
		Expect(err).NotTo(HaveOccurred())
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		p := messenger.NewPeer(addr, nil)
		_, err = messenger.Call[echoRequest, echoResponse](ctx, p, "test/echo", &echoRequest{})
		var ce *messenger.CallError
		Expect(errors.As(err, &ce)).To(BeTrue())
		Expect(ce.Unsent).To(BeTrue())
	})

	It("streams messages until the handler returns", func(ctx context.Context) {
		mux := messenger.NewMux()
		messenger.HandleStream(mux, "test/count", func(_ context.Context, _ *echoRequest, send func(*echoResponse) error) error {
			for _, t := range []string{"1", "2"} {
				if err := send(&echoResponse{Text: t}); err != nil {
					return err
				}
			}
			return nil
		})
		r, err := messenger.Stream[echoRequest, echoResponse](ctx, serve(mux), "test/count", &echoRequest{})
		Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		for _, want := range []string{"1", "2"} {
			m, err := r.Receive()
			Expect(err).NotTo(HaveOccurred())
			Expect(m.Text).To(Equal(want))
		}
		_, err = r.Receive()
		Expect(err).To(HaveOccurred())
	})
})
