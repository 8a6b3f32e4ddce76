package orderer

import (
	"math"
	"slices"
	"time"

	"foxtailwall/declarer"
)

// rollbackReserve is the share of a model's engines that keep the stable
// version until the rollout is done, so that a rollback finds capacity.
const rollbackReserve = 0.5

// zoneVersion is a version in a zone.
type zoneVersion struct {
	zone string
	ref  declarer.VersionRef
}

// Split returns how many of a model's engines, each holding capacity versions,
// are to hold the stable version and how many the new one. Each version can take
// its sessions in the present stage and, as far as there is room, the new one
// those of the next stage and the stable one those of a rollback. A single
// engine with room for one version keeps the stable one.
func Split(engines, capacity int, share, nextShare float64) (stable, next int) {
	n, room := float64(engines), engines*max(capacity, 1)
	stable = max(int(math.Ceil(n*max(1-share, rollbackReserve))), 1)
	next = max(int(math.Ceil(n*max(share, nextShare))), 1)
	if stable+next <= room {
		return stable, next
	}
	spare := room - int(math.Ceil(n*(1-share)))
	next = max(min(next, spare), int(math.Ceil(n*share)), 1)
	stable = max(room-next, 1)
	return stable, max(room-stable, 0)
}

// Next returns the orders to send now, at most one for each engine. It returns
// none without ownership.
func (o *Orderer) Next() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.set.Clock.Now()
	if !o.owns(now) {
		return nil
	}
	o.fill(now)
	held := o.held()
	var out []Order
	for _, w := range o.wants {
		k := zoneVersion{w.Zone, w.Ref}
		for held[k] < w.Engines {
			order, ok := o.step(k, held, now)
			if !ok {
				break
			}
			out = append(out, order)
			if order.Action == Unload {
				break // the load follows when there is room
			}
		}
	}
	return out
}

// step returns the next order towards one more engine with the version, and
// corrects held by it.
func (o *Orderer) step(k zoneVersion, held map[zoneVersion]int, now time.Time) (Order, bool) {
	e := o.place(k, held, now)
	if e == nil {
		return Order{}, false
	}
	if e.room() <= 0 {
		v, _ := o.surplus(e, held)
		held[zoneVersion{e.Zone, v}]--
		return o.order(e, Unload, v, now), true
	}
	if !o.takeToken(now) {
		return Order{}, false
	}
	held[k]++
	return o.order(e, Load, k.ref, now), true
}

// held counts the engines that hold a version or are loading it. An engine
// whose state is unknown counts with its last one, so that nothing is loaded
// twice because of a lost answer.
func (o *Orderer) held() map[zoneVersion]int {
	held := make(map[zoneVersion]int)
	for _, e := range o.engines {
		for _, v := range e.state.Loaded {
			if !slices.Contains(e.state.Unloading, v) {
				held[zoneVersion{e.Zone, v}]++
			}
		}
		for _, v := range e.state.Loading {
			if !slices.Contains(e.state.Loaded, v) {
				held[zoneVersion{e.Zone, v}]++
			}
		}
	}
	return held
}

// place returns the engine to load the version: the one with most room, else
// one that holds a version in surplus, else nil.
func (o *Orderer) place(k zoneVersion, held map[zoneVersion]int, now time.Time) *engine {
	var best *engine
	for _, e := range o.sorted {
		if e.Zone != k.zone || !o.free(e, now) || slices.Contains(e.state.Loaded, k.ref) {
			continue
		}
		if _, ok := o.surplus(e, held); e.room() <= 0 && !ok {
			continue
		}
		if best == nil || e.room() > best.room() {
			best = e
		}
	}
	return best
}

func (e *engine) room() int { return e.Capacity - len(e.state.Loaded) }

// free reports whether the engine may get an order now.
func (o *Orderer) free(e *engine, now time.Time) bool {
	return e.known && !e.read.IsZero() && len(e.state.Loading)+len(e.state.Unloading) == 0 && !now.Before(e.ready) &&
		(e.ChecksFencing || !now.Before(o.quiet))
}

// surplus returns a version that more engines of the zone hold than wanted.
func (o *Orderer) surplus(e *engine, held map[zoneVersion]int) (declarer.VersionRef, bool) {
	for _, v := range e.state.Loaded {
		k := zoneVersion{e.Zone, v}
		if held[k] > o.wanted(k) {
			return v, true
		}
	}
	return declarer.VersionRef{}, false
}

func (o *Orderer) wanted(k zoneVersion) int {
	for _, w := range o.wants {
		if w.Zone == k.zone && w.Ref == k.ref {
			return w.Engines
		}
	}
	return 0
}

// order makes the order and notes it as under way.
func (o *Orderer) order(e *engine, a Action, v declarer.VersionRef, now time.Time) Order {
	if a == Load {
		e.state.Loading = []declarer.VersionRef{v}
	} else {
		e.state.Unloading = []declarer.VersionRef{v}
	}
	return Order{
		Address: e.Address, Fence: o.fence, Action: a, Ref: v,
		SendBy: o.leaseEnd, Deadline: now.Add(o.set.LongestOrder),
	}
}

func (o *Orderer) fill(now time.Time) {
	o.tokens = min(o.tokens+o.set.LoadRate*now.Sub(o.filled).Seconds(), o.set.LoadBurst)
	o.filled = now
}

func (o *Orderer) takeToken(now time.Time) bool {
	if o.tokens < 1 || now.Before(o.paused) {
		return false
	}
	o.tokens--
	return true
}
