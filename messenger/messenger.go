// Package messenger carries the calls between the system's own processes:
// connect over HTTP/2 with the CBOR codec, one generic handler and one generic
// client for all procedures.
//
// # Usage
//
// A process registers its procedures on a Mux and serves it:
//
//	mux := messenger.NewMux()
//	messenger.Handle(mux, "control/pin", func(ctx context.Context, r *pinRequest) (*pinResponse, error) {
//		...
//	})
//	srv := messenger.NewServer(mux, tlsConfig)
//	err := srv.Serve(listener)
//
// Another process calls them:
//
//	peer := messenger.NewPeer(netip.MustParseAddrPort("127.0.0.1:7000"), tlsConfig)
//	res, err := messenger.Call[pinRequest, pinResponse](ctx, peer, "control/pin", &req)
//
// A *refuser.Refusal returned by a handler arrives at the client as one. Any
// other error arrives as a *CallError, after which the call may or may not
// have taken effect, unless its Unsent field says that nothing was sent.
//
// Idle connections are pinged. One whose peer does not respond is closed
// within pingIdle plus pingTimeout, and the next call opens a new one.
package messenger

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"foxtailwall/encoder"
	"foxtailwall/refuser"
)

const (
	// pathPrefix is prepended to a procedure name to form its URL path.
	pathPrefix = "/foxtailwall."
	// pingIdle is the time without a frame after which a connection is
	// pinged.
	pingIdle = 2 * time.Second
	// pingTimeout is the time after which an unanswered ping closes the
	// connection.
	pingTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 5 * time.Second
	// maxMessageBytes is the largest message that is accepted.
	maxMessageBytes = 64 << 20

	refusalCodeHeader    = "Foxtailwall-Refusal-Code"
	refusalOutcomeHeader = "Foxtailwall-Refusal-Outcome"
	refusalRetryHeader   = "Foxtailwall-Refusal-Retry-Ms"
)

type (
	// Mux routes procedures to their handlers. Make it with NewMux.
	Mux struct{ mux *http.ServeMux }

	// Peer is a client of one other process of the system. It is safe for use
	// by several goroutines.
	Peer struct {
		addr    netip.AddrPort
		baseURL string
		client  *http.Client
	}

	// DialFunc opens a connection, as net.Dialer.DialContext does.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// HandleOption changes how a procedure is served.
	HandleOption = connect.HandlerOption

	// PeerOption changes the HTTP transport of a Peer.
	PeerOption func(*http.Transport)

	// CallError is the failure of a call to a peer.
	CallError struct {
		Procedure string
		Addr      netip.AddrPort
		// Unsent means that no connection could be opened, so that the call
		// has had no effect.
		Unsent bool
		Err    error
	}

	// Receiver is the client side of a stream of responses.
	Receiver[T any] struct {
		stream    *connect.ServerStreamForClient[T]
		peer      *Peer
		procedure string
	}
)

// NewMux returns a mux without procedures.
func NewMux() *Mux { return &Mux{mux: http.NewServeMux()} }

// ServeHTTP implements http.Handler.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.mux.ServeHTTP(w, r) }

// WithoutCompression sends the responses of a procedure uncompressed, whatever
// its callers accept.
func WithoutCompression() HandleOption { return connect.WithCompression("gzip", nil, nil) }

// Handle registers a procedure that answers a request with one response.
func Handle[Req, Res any](m *Mux, name string, fn func(context.Context, *Req) (*Res, error), opts ...HandleOption) {
	h := connect.NewUnaryHandler(pathPrefix+name,
		func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
			res, err := fn(ctx, r.Msg)
			if err != nil {
				return nil, toConnectError(err)
			}
			return connect.NewResponse(res), nil
		}, append(handlerOptions(), opts...)...)
	m.mux.Handle(pathPrefix+name, h)
}

// HandleStream registers a procedure that answers a request with a stream of
// responses, which ends when fn returns.
func HandleStream[Req, Res any](m *Mux, name string, fn func(context.Context, *Req, func(*Res) error) error) {
	h := connect.NewServerStreamHandler(pathPrefix+name,
		func(ctx context.Context, r *connect.Request[Req], s *connect.ServerStream[Res]) error {
			if err := fn(ctx, r.Msg, s.Send); err != nil {
				return toConnectError(err)
			}
			return nil
		}, handlerOptions()...)
	m.mux.Handle(pathPrefix+name, h)
}

// NewServer returns a server for m. With a nil TLS configuration it speaks
// HTTP/2 in clear text.
func NewServer(m *Mux, conf *tls.Config) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(conf == nil)
	return &http.Server{
		Handler:           m,
		TLSConfig:         conf.Clone(), // net/http writes to it.
		Protocols:         p,
		ReadHeaderTimeout: headerTimeout,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingTimeout},
	}
}

// NewPeer returns a client for the process at addr. With a nil TLS
// configuration it speaks HTTP/2 in clear text.
func NewPeer(addr netip.AddrPort, conf *tls.Config, opts ...PeerOption) *Peer {
	p := new(http.Protocols)
	scheme := "https://"
	if conf == nil {
		scheme = "http://"
		p.SetUnencryptedHTTP2(true)
	} else {
		p.SetHTTP2(true)
	}
	d := net.Dialer{Timeout: dialTimeout}
	tr := &http.Transport{
		DialContext:     d.DialContext,
		TLSClientConfig: conf.Clone(), // net/http writes to it.
		Protocols:       p,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingTimeout},
	}
	for _, o := range opts {
		o(tr)
	}
	return &Peer{addr: addr, baseURL: scheme + addr.String(), client: &http.Client{Transport: tr}}
}

// WithDial opens connections with dial; a nil dial changes nothing.
func WithDial(dial DialFunc) PeerOption {
	return func(t *http.Transport) {
		if dial != nil {
			t.DialContext = dial
		}
	}
}

// Addr returns the address of the peer.
func (p *Peer) Addr() netip.AddrPort { return p.addr }

// Close closes the idle connections to the peer.
func (p *Peer) Close() { p.client.CloseIdleConnections() }

// Call sends req to the procedure and returns its response. The error is a
// *refuser.Refusal or a *CallError.
func Call[Req, Res any](ctx context.Context, p *Peer, name string, req *Req) (*Res, error) {
	c := connect.NewClient[Req, Res](p.client, p.baseURL+pathPrefix+name, clientOptions()...)
	res, err := c.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fromConnectError(p, name, err)
	}
	return res.Msg, nil
}

// Stream sends req to the procedure and returns the receiver of its responses,
// which the caller must close.
func Stream[Req, Res any](ctx context.Context, p *Peer, name string, req *Req) (*Receiver[Res], error) {
	c := connect.NewClient[Req, Res](p.client, p.baseURL+pathPrefix+name, clientOptions()...)
	s, err := c.CallServerStream(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fromConnectError(p, name, err)
	}
	return &Receiver[Res]{stream: s, peer: p, procedure: name}, nil
}

// Receive waits for the next message. Once the stream has ended, even
// normally, it returns a *CallError or a *refuser.Refusal.
func (r *Receiver[T]) Receive() (*T, error) {
	if r.stream.Receive() {
		m := *r.stream.Msg()
		return &m, nil
	}
	err := r.stream.Err()
	if err == nil {
		err = errStreamEnd
	}
	return nil, fromConnectError(r.peer, r.procedure, err)
}

// Close ends the stream.
func (r *Receiver[T]) Close() error { return r.stream.Close() }

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s on %s: %v", e.Procedure, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

var errStreamEnd = connect.NewError(connect.CodeUnavailable, errors.New("the peer ended the stream"))

func handlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCodec(encoder.CBOR{}), connect.WithReadMaxBytes(maxMessageBytes)}
}

func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithCodec(encoder.CBOR{}), connect.WithReadMaxBytes(maxMessageBytes)}
}

func toConnectError(err error) error {
	r, ok := refuser.As(err)
	if !ok {
		return connect.NewError(connect.CodeInternal, err)
	}
	e := connect.NewError(connect.CodeFailedPrecondition, errors.Newf("%s", r.Message))
	e.Meta().Set(refusalCodeHeader, string(r.Code))
	e.Meta().Set(refusalOutcomeHeader, string(r.Outcome))
	e.Meta().Set(refusalRetryHeader, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	return e
}

func fromConnectError(p *Peer, name string, err error) error {
	var ce *connect.Error
	if errors.As(err, &ce) && ce.Meta().Get(refusalCodeHeader) != "" {
		ms, _ := strconv.ParseInt(ce.Meta().Get(refusalRetryHeader), 10, 64) // Absent means zero.
		return &refuser.Refusal{
			Code:       refuser.Code(ce.Meta().Get(refusalCodeHeader)),
			Outcome:    refuser.Outcome(ce.Meta().Get(refusalOutcomeHeader)),
			Message:    ce.Message(),
			RetryAfter: time.Duration(ms) * time.Millisecond,
		}
	}
	var op *net.OpError
	unsent := errors.As(err, &op) && op.Op == "dial"
	return &CallError{Procedure: name, Addr: p.addr, Unsent: unsent, Err: err}
}
