package placer

// minUnreachedUpstreams is the number of upstreams that this host must fail to reach,
// without any data from an upstream in between, before it counts as partitioned.
const minUnreachedUpstreams = 3

// reach tracks whether this host can reach any upstream.
//
// It handles a host that is partitioned from all upstreams while callers and other
// hosts reach it: the failures say nothing about the upstreams.
type reach struct {
	// unreached are the hashes of the upstreams that could not be reached since data was
	// last received from any.
	unreached   map[uint64]bool
	partitioned bool
}

// recordUnreached records that an upstream, of a number of listed ones, was not
// reached or sent nothing in time.
func (r *reach) recordUnreached(upstream uint64, listed int) {
	if r.unreached == nil {
		r.unreached = make(map[uint64]bool)
	}
	r.unreached[upstream] = true
	r.partitioned = r.partitioned || len(r.unreached) >= min(minUnreachedUpstreams, listed)
}

// recordReceived records that data was received from an upstream.
func (r *reach) recordReceived() {
	r.partitioned = false
	clear(r.unreached)
}

// Partitioned reports whether this host seems to reach no upstream at all.
func (p *Placer) Partitioned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.partitioned
}

// recordUnreached records that an upstream was not reached or sent nothing in time.
// The caller holds mu.
func (p *Placer) recordUnreached(u *upstream) {
	listed := 0
	for _, pl := range p.pools {
		listed += len(pl.upstreams)
	}
	p.reach.recordUnreached(u.hash, listed)
}

// recordReceived records that data was received from an upstream. The caller holds mu.
func (p *Placer) recordReceived(u *upstream) {
	p.zonePath(u.Zone).recordReceived()
	p.reach.recordReceived()
}
