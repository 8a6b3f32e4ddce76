package hoster

import (
	"context"
	"sync/atomic"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/messenger"
	"foxtailwall/timekeeper"
)

const pollInterval = 200 * time.Millisecond

type views struct {
	op      *messenger.Operator
	clock   timekeeper.Clock
	catalog atomic.Pointer[declarer.Catalog]
}

func (h *Host) followViews() error {
	h.views = &views{op: &messenger.Operator{Peers: h.controlPeers(), Clock: h.clock}, clock: h.clock}
	return nil
}

func (v *views) Catalog() *declarer.Catalog { return v.catalog.Load() }

func (v *views) Leased() bool { return v.catalog.Load() != nil }

func (v *views) run(ctx context.Context) error {
	for {
		if shown, err := v.op.Show(ctx, 0, true); err == nil && shown.Version > 0 {
			if c := v.catalog.Load(); c == nil || c.View.Version < shown.Version {
				v.catalog.Store(declarer.NewCatalog(declarer.View{Version: shown.Version, Config: shown.Config}))
			}
		}
		if err := timekeeper.Sleep(ctx, v.clock, pollInterval); err != nil {
			return err
		}
	}
}
