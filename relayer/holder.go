package relayer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/journaler"
	"foxtailwall/timekeeper"
)

const (
	viewFile = "view"
	// historySize is the number of recent views that are kept to compute
	// differences from; a watcher further behind gets the whole view.
	historySize = 32
)

type (
	// Holder holds what is in force on this host; it implements
	// router.Views. Make it with NewHolder.
	Holder struct {
		clock timekeeper.Clock
		start time.Time
		fs    journaler.FS
		scope counter.Scope
		log   zerolog.Logger

		catalog atomic.Pointer[declarer.Catalog]
		// lease is the end of the lease, counted from start.
		lease atomic.Int64

		mu      sync.Mutex
		history []held
		changed chan struct{}
		// deltas caches the differences to the newest view, by base.
		deltas map[uint64]*Delta
	}

	// held is a view with its digest.
	held struct {
		view   declarer.View
		digest uint64
	}
)

// NewHolder returns a holder with the view stored in fs, if any. Without a
// disk, fs is nil. A damaged file is an error, because the host would fall
// back to an older version.
func NewHolder(clock timekeeper.Clock, fs journaler.FS, scope counter.Scope, log zerolog.Logger) (*Holder, error) {
	h := &Holder{clock: clock, start: clock.Now(), fs: fs, scope: scope, log: log, changed: make(chan struct{})}
	if fs == nil {
		return h, nil
	}
	b, ok, err := journaler.ReadFile(fs, viewFile)
	if err != nil || !ok {
		return h, err
	}
	var v declarer.View
	if err := cbor.Unmarshal(b, &v); err != nil {
		return nil, errors.Wrap(err, "decode the stored view")
	}
	d, err := digest(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode the stored view")
	}
	h.publish(held{v, d})
	return h, nil
}

// Catalog implements router.Views.
func (h *Holder) Catalog() *declarer.Catalog { return h.catalog.Load() }

// Leased implements router.Views.
func (h *Holder) Leased() bool {
	return h.clock.Since(h.start) < time.Duration(h.lease.Load())
}

// Changed returns a channel that is closed at the next change of the view.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Version returns the version in force, zero before the first.
func (h *Holder) Version() uint64 {
	if c := h.catalog.Load(); c != nil {
		return c.View.Version
	}
	return 0
}

// Extend records a lease of length d for a request sent at the given time. It
// never shortens the lease.
func (h *Holder) Extend(sent time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	end := int64(sent.Sub(h.start) + d)
	for {
		old := h.lease.Load()
		if end <= old || h.lease.CompareAndSwap(old, end) {
			return
		}
	}
}

// Offer takes over an update if it is newer, and stores it before it comes
// into force. A *BaseError means that the whole view is needed.
func (h *Holder) Offer(u *Update) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cur := h.newest()
	if u.Version <= cur.view.Version {
		return nil
	}
	var next declarer.View
	switch {
	case u.Full != nil:
		next = *u.Full
		next.Version = u.Version
	case u.Delta != nil && u.Delta.Base == cur.view.Version:
		next = u.Delta.patch(cur.view, u.Version)
	case u.Delta != nil:
		return &BaseError{Have: cur.view.Version, Base: u.Delta.Base}
	default:
		return nil
	}
	d, err := digest(next)
	if err != nil {
		return errors.Wrap(err, "encode the view")
	}
	if u.Delta != nil && d != u.Digest {
		return &BaseError{Have: cur.view.Version, Base: u.Version}
	}
	h.store(next)
	h.publish(held{next, d})
	h.scope.Counter("relayer.versions").Inc(1)
	return nil
}

// offerView takes over a view of this host's own state machine.
func (h *Holder) offerView(v declarer.View) error {
	if v.Version <= h.Version() {
		return nil
	}
	v = Sorted(v)
	d, err := digest(v)
	if err != nil {
		return errors.Wrap(err, "encode the view")
	}
	return h.Offer(&Update{Version: v.Version, Full: &v, Digest: d})
}

// since returns the update from the requested version to the newest.
func (h *Holder) since(r *WatchRequest) *Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	cur := h.newest()
	u := &Update{Version: cur.view.Version, Digest: cur.digest}
	if r.Version >= cur.view.Version {
		return u
	}
	for _, o := range h.history {
		if o.view.Version == r.Version && o.digest == r.Digest {
			if h.deltas[r.Version] == nil {
				h.deltas[r.Version] = Diff(o.view, cur.view)
			}
			u.Delta = h.deltas[r.Version]
			return u
		}
	}
	v := cur.view
	u.Full = &v
	return u
}

// position returns a request for what is newer than this holder's view.
func (h *Holder) position() *WatchRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	cur := h.newest()
	return &WatchRequest{Version: cur.view.Version, Digest: cur.digest}
}

func (h *Holder) newest() held {
	if n := len(h.history); n > 0 {
		return h.history[n-1]
	}
	return held{}
}

// publish puts v into force.
func (h *Holder) publish(v held) {
	if len(h.history) == historySize {
		h.history = append(h.history[:0:0], h.history[1:]...)
	}
	h.history = append(h.history, v)
	h.deltas = make(map[uint64]*Delta)
	h.catalog.Store(declarer.NewCatalog(v.view))
	close(h.changed)
	h.changed = make(chan struct{})
}

// store keeps v on the disk. A failing disk does not keep the version from
// coming into force.
func (h *Holder) store(v declarer.View) {
	if h.fs == nil {
		return
	}
	b, err := canonical.Marshal(v)
	if err == nil {
		err = journaler.WriteFile(h.fs, viewFile, b)
	}
	if err != nil {
		h.scope.Counter("relayer.storeFailed").Inc(1)
		h.log.Error().Err(err).Uint64("version", v.Version).Msg("the view could not be stored")
	}
}
