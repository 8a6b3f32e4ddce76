package starter

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/sourcegraph/conc/pool"

	"foxtailwall/coordinator"
	"foxtailwall/validator"
)

// RunControl runs a control host until ctx ends. Errors are a
// *validator.SettingError or that of the first component to fail.
func RunControl(ctx context.Context, s Settings, o Options) error {
	if err := s.checkControl(); err != nil {
		return err
	}
	s.limitMemory()
	var settings atomic.Pointer[Settings]
	settings.Store(&s)
	c, err := coordinator.New(coordinator.Settings{
		Name: s.Name, Peers: s.Peers, DataFolder: s.DataFolder, Bootstrap: s.Bootstrap,
		LostDisks: s.LostDisks, Seeds: func() []netip.AddrPort { return peerSeeds(*settings.Load()) },
		List: o.Protocol.List, Clock: o.Clock, Scope: o.Scope, Log: o.Log,
	})
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: o.Protocol.Operators(c), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.Log.Info().Str("zone", s.Zone).Bool("bootstrap", s.Bootstrap).Msg("control host started")
	p := pool.New().WithErrors().WithFirstError()
	p.Go(func() error { defer cancel(); return c.Run(ctx) })
	p.Go(func() error { defer cancel(); return serve(ctx, "operators", s.Operators, srv) })
	p.Go(func() error { reloadSettings(ctx, &o, &settings); return nil })
	p.Go(func() error { serveMetrics(ctx, &s, &o); return nil })
	p.Go(func() error {
		<-ctx.Done()
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
