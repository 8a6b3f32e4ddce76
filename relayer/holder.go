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
	// maxHistory is the number of recent views that are kept to compute
	// deltas from; a watcher further behind gets the whole view.
	maxHistory = 32
)

type (
	// Holder holds the view in force on this host and the lease on it; it
	// implements router.Views. Make it with NewHolder.
	Holder struct {
		clock   timekeeper.Clock
		created time.Time
		fs      journaler.FS
		scope   counter.Scope
		log     zerolog.Logger

		catalog atomic.Pointer[declarer.Catalog]
		// leaseEnd is the end of the lease in nanoseconds since created.
		leaseEnd atomic.Int64

		mu sync.Mutex
		// history holds the most recent views, the newest last.
		history []viewWithDigest
		changed chan struct{}
		// deltas caches the deltas to the newest view by their base version.
		deltas map[uint64]*Delta
	}

	viewWithDigest struct {
		view   declarer.View
		digest uint64
	}
)

// NewHolder returns a holder with the view stored in fs, if any; fs is nil on
// a host without a disk. A damaged file is an error, because ignoring it would
// take the host back to an older version.
func NewHolder(clock timekeeper.Clock, fs journaler.FS, scope counter.Scope, log zerolog.Logger) (*Holder, error) {
	h := &Holder{clock: clock, created: clock.Now(), fs: fs, scope: scope, log: log, changed: make(chan struct{})}
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
	h.publish(viewWithDigest{v, d})
	return h, nil
}

// Catalog implements router.Views. It returns nil before the first view.
func (h *Holder) Catalog() *declarer.Catalog { return h.catalog.Load() }

// Leased implements router.Views. It reports whether the lease still runs.
func (h *Holder) Leased() bool {
	return h.clock.Since(h.created) < time.Duration(h.leaseEnd.Load())
}

// Changed returns a channel that is closed at the next change of the view.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Version returns the version in force, zero if there is none yet.
func (h *Holder) Version() uint64 {
	if c := h.catalog.Load(); c != nil {
		return c.View.Version
	}
	return 0
}

// ExtendLease records a lease of length d that counts from sent, the time of
// its request. It never shortens the lease.
func (h *Holder) ExtendLease(sent time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	end := int64(sent.Sub(h.created) + d)
	for {
		old := h.leaseEnd.Load()
		if end <= old || h.leaseEnd.CompareAndSwap(old, end) {
			return
		}
	}
}

// Apply puts an update into force if it is newer, and stores it on disk first.
// A *BaseError means that the delta does not apply and the whole view is needed.
func (h *Holder) Apply(u *Update) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.newest()
	if u.Version <= current.view.Version {
		return nil
	}
	var next declarer.View
	switch {
	case u.Full != nil:
		next = *u.Full
		next.Version = u.Version
	case u.Delta != nil && u.Delta.Base == current.view.Version:
		next = u.Delta.patch(current.view, u.Version)
	case u.Delta != nil:
		return &BaseError{Have: current.view.Version, Base: u.Delta.Base}
	default:
		return nil
	}
	d, err := digest(next)
	if err != nil {
		return errors.Wrap(err, "encode the view")
	}
	if u.Delta != nil && d != u.Digest {
		return &BaseError{Have: current.view.Version, Base: u.Version}
	}
	h.persist(next)
	h.publish(viewWithDigest{next, d})
	h.scope.Counter("relayer.versions").Inc(1)
	return nil
}

// applyView applies a view of this host's own state machine.
func (h *Holder) applyView(v declarer.View) error {
	if v.Version <= h.Version() {
		return nil
	}
	v = Sorted(v)
	d, err := digest(v)
	if err != nil {
		return errors.Wrap(err, "encode the view")
	}
	return h.Apply(&Update{Version: v.Version, Full: &v, Digest: d})
}

// updateSince returns the update from the requested version to the newest: a
// delta if the requested view is in the history, else the whole view.
func (h *Holder) updateSince(r *WatchRequest) *Update {
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

// watchRequest returns a request for the versions after the one in force.
func (h *Holder) watchRequest() *WatchRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	cur := h.newest()
	return &WatchRequest{Version: cur.view.Version, Digest: cur.digest}
}

func (h *Holder) newest() viewWithDigest {
	if n := len(h.history); n > 0 {
		return h.history[n-1]
	}
	return viewWithDigest{}
}

// publish puts v into force and closes the Changed channel. The caller holds
// mu, except in NewHolder.
func (h *Holder) publish(v viewWithDigest) {
	if len(h.history) == maxHistory {
		h.history = append(h.history[:0:0], h.history[1:]...)
	}
	h.history = append(h.history, v)
	h.deltas = make(map[uint64]*Delta)
	h.catalog.Store(declarer.NewCatalog(v.view))
	close(h.changed)
	h.changed = make(chan struct{})
}

// persist writes v to disk. An error is logged and counted only, so that a
// failing disk does not keep the version from coming into force.
func (h *Holder) persist(v declarer.View) {
	if h.fs == nil {
		return
	}
	b, err := canonicalEncoding.Marshal(v)
	if err == nil {
		err = journaler.WriteFile(h.fs, viewFile, b)
	}
	if err != nil {
		h.scope.Counter("relayer.storeFailed").Inc(1)
		h.log.Error().Err(err).Uint64("version", v.Version).Msg("storing the view on disk failed")
	}
}
