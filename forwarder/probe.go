package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"foxtailwall/dialer"
)

const (
	// probeTimeout bounds a health check of an upstream.
	probeTimeout = 500 * time.Millisecond
	// defaultHealthPath is the path of the health check of a service without one; any
	// response will do.
	defaultHealthPath = "/"
	// maxCheckProbes bounds the probes of one check.
	maxCheckProbes = 4
)

// CheckUpstreams probes upstreams while this host is suspected to be partitioned, until
// one responds or so many have not that it counts as partitioned. Resets alone may be due
// to the requests.
func (f *Forwarder) CheckUpstreams(ctx context.Context) {
	for range maxCheckProbes {
		if !f.settings.Placer.Suspected() {
			return
		}
		f.settings.Scope.Counter("forwarder.pathChecks").Inc(1)
		f.ProbeUpstream(ctx)
	}
}

// ProbeUpstream asks one upstream for its health, each time another one. Any response
// shows that this host reaches upstreams. It is for hosts that are partitioned from all
// upstreams, or may be, whose requests other hosts send.
func (f *Forwarder) ProbeUpstream(ctx context.Context) {
	table := f.ActiveConfig().Table
	upstream, ok := f.settings.Placer.NextProbed()
	if table == nil || !ok {
		return
	}
	path := defaultHealthPath
	if s, ok := table.Service(upstream.Service); ok && s.HealthPath != "" {
		path = s.HealthPath
	}
	resp, err := f.settings.Upstreams.Forward(ctx, &dialer.ForwardRequest{
		Upstream: upstream.Address, Method: http.MethodGet, Target: path, Host: upstream.Address.String(),
		IDField: f.settings.Codec.IDField(), NewConn: true, Deadline: f.settings.Clock.Now().Add(probeTimeout),
	})
	if err != nil {
		f.settings.Scope.Counter("forwarder.probesFailed").Inc(1)
		f.requestLog.Info().Str("upstream", upstream.ID).AnErr("cause", err).Msg("upstream cannot be reached")
		f.settings.Placer.RecordUnreached(upstream.Key())
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp, maxResponseBytes)); err == nil {
		resp.Finish()
	}
	resp.Abort()
	f.settings.Placer.RecordReached()
	if left := f.settings.Codec.Reply(resp.Header).ColdLeft; left != nil {
		f.settings.Placer.RecordColdTime(upstream.Key(), *left)
	}
}
