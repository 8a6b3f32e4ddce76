package starter

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"foxtailwall/accepter"
	"foxtailwall/coordinator"
	"foxtailwall/validator"
)

// operatorDrainTime is how long a control host that leaves waits for the running calls
// of operators, which are bounded to 900 ms.
const operatorDrainTime = time.Second

// RunControl runs a control host until ctx ends, then lets the running calls of
// operators end. Errors are a *validator.SettingError or that of the first component
// to fail.
func RunControl(ctx context.Context, s Settings, o Options) error {
	if err := s.checkControl(); err != nil {
		return err
	}
	s.limitMemory()
	var settings atomic.Pointer[Settings]
	settings.Store(&s)
	b := s.bounds()
	c, err := coordinator.New(coordinator.Settings{
		Name: s.Name, Peers: s.Peers, DataFolder: s.DataFolder, Bootstrap: s.Bootstrap,
		LostDisks: s.LostDisks, Seeds: func() []netip.AddrPort { return peerSeeds(*settings.Load()) },
		List: o.Protocol.List, Clock: o.Clock, Scope: o.Scope, Log: o.Log,
		Guard: func(srv *http.Server, l net.Listener) net.Listener {
			limits := b.Limits(b.PeerConns, o.Clock, o.Scope)
			limits.Binary, limits.Memory = true, b.PeerMemory
			return accepter.Guard(srv, l, limits)
		},
	})
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: o.Protocol.Operators(c)}
	// The components keep running while the host drains after the end of ctx.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	o.Log.Info().Str("zone", s.Zone).Bool("bootstrap", s.Bootstrap).Msg("control host started")
	p := pool.New().WithErrors().WithFirstError()
	p.Go(func() error { defer cancel(); return c.Run(runCtx) })
	p.Go(func() error {
		defer cancel()
		return serve(runCtx, "operators", s.Operators, srv, b.Limits(b.HostConns, o.Clock, o.Scope))
	})
	p.Go(func() error { reloadSettings(runCtx, &o, &settings); return nil })
	p.Go(func() error { serveMetrics(runCtx, &s, &o, b.Limits(b.OtherConns, o.Clock, o.Scope)); return nil })
	p.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			o.Log.Info().Msg("control host is leaving")
			if err := shutDown(operatorDrainTime, srv); err != nil {
				o.Log.Info().AnErr("cause", err).Msg("calls of operators were cut")
			}
		case <-runCtx.Done():
		}
		return srv.Close()
	})
	err = p.Wait()
	o.Log.Info().Msg("control host stopped")
	return err
}

func (s *Settings) checkControl() error {
	switch {
	case !s.Operators.IsValid():
		return validator.NewSettingError("operators", s.Operators.String(), "an IP address and a port")
	case s.DataFolder == "":
		return validator.NewSettingError("dataFolder", s.DataFolder, "a folder on a disk")
	}
	return s.checkCommon()
}
