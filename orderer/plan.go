package orderer

import (
	"math"
	"slices"
	"time"

	"foxtailwall/declarer"
)

// rollbackReserve is the share of a model's engines that keep the stable
// version until the rollout is done, as capacity for a rollback.
const rollbackReserve = 0.5

// zoneVersion identifies a version in a zone.
type zoneVersion struct {
	zone string
	ref  declarer.VersionRef
}

// Split returns how many of a model's engines, which hold up to capacity
// versions each, are to hold the stable version and how many the new one. The
// new version's shares of the sessions are share in the present stage and
// nextShare in the next. Both versions get the engines for their present shares.
// As far as capacity allows, the new version gets those for the next stage and
// the stable one those for a rollback. A single engine with a capacity of 1
// keeps the stable version.
func Split(engines, capacity int, share, nextShare float64) (stable, next int) {
	n, slots := float64(engines), engines*max(capacity, 1)
	stable = max(int(math.Ceil(n*max(1-share, rollbackReserve))), 1)
	next = max(int(math.Ceil(n*max(share, nextShare))), 1)
	if stable+next <= slots {
		return stable, next
	}
	spare := slots - int(math.Ceil(n*(1-share)))
	next = max(min(next, spare), int(math.Ceil(n*share)), 1)
	stable = max(slots-next, 1)
	return stable, max(slots-stable, 0)
}

// Next returns the orders to send now, at most one for each engine, and treats
// them as sent. Without ownership it returns none.
func (o *Orderer) Next() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.settings.Clock.Now()
	if !o.owns(now) {
		return nil
	}
	o.refillTokens(now)
	holders := o.countHolders()
	var out []Order
	for _, w := range o.wants {
		k := zoneVersion{w.Zone, w.Ref}
		for holders[k] < w.Engines {
			order, ok := o.nextOrder(k, holders, now)
			if !ok {
				break
			}
			out = append(out, order)
			if order.Action == Unload {
				break // The load follows once the engine has a free slot.
			}
		}
	}
	return out
}

// nextOrder returns the next order needed for one more engine to hold the
// version, and updates holders accordingly. It returns false if no engine can
// take an order or loads are limited or paused.
func (o *Orderer) nextOrder(k zoneVersion, holders map[zoneVersion]int, now time.Time) (Order, bool) {
	e := o.selectEngine(k, holders, now)
	if e == nil {
		return Order{}, false
	}
	if e.freeSlots() <= 0 {
		v, _ := o.surplusVersion(e, holders)
		holders[zoneVersion{e.Zone, v}]--
		return o.newOrder(e, Unload, v, now), true
	}
	if !o.takeLoadToken(now) {
		return Order{}, false
	}
	holders[k]++
	return o.newOrder(e, Load, k.ref, now), true
}

// countHolders returns the number of engines that hold or load each version and
// are not unloading it. An engine whose state is unknown counts by its last
// known state, so that a lost response does not cause a version to be loaded
// twice.
func (o *Orderer) countHolders() map[zoneVersion]int {
	holders := make(map[zoneVersion]int)
	for _, e := range o.engines {
		for _, v := range e.state.Loaded {
			if !slices.Contains(e.state.Unloading, v) {
				holders[zoneVersion{e.Zone, v}]++
			}
		}
		for _, v := range e.state.Loading {
			if !slices.Contains(e.state.Loaded, v) {
				holders[zoneVersion{e.Zone, v}]++
			}
		}
	}
	return holders
}

// selectEngine returns the engine to load the version: the one with the most
// free slots, else one that holds a surplus version, else nil.
func (o *Orderer) selectEngine(k zoneVersion, holders map[zoneVersion]int, now time.Time) *engine {
	var best *engine
	for _, e := range o.sorted {
		if e.Zone != k.zone || !o.canOrder(e, now) || slices.Contains(e.state.Loaded, k.ref) {
			continue
		}
		if _, ok := o.surplusVersion(e, holders); e.freeSlots() <= 0 && !ok {
			continue
		}
		if best == nil || e.freeSlots() > best.freeSlots() {
			best = e
		}
	}
	return best
}

// freeSlots returns the number of versions that the engine can still load.
func (e *engine) freeSlots() int { return e.Capacity - len(e.state.Loaded) }

// canOrder reports whether an order may be sent to the engine now: its state is
// known, no order is under way, and its random wait and, if it checks no tokens,
// the wait after the change of owner have ended.
func (o *Orderer) canOrder(e *engine, now time.Time) bool {
	return e.observed && !e.readAt.IsZero() && len(e.state.Loading)+len(e.state.Unloading) == 0 && !now.Before(e.readyAt) &&
		(e.ChecksFencing || !now.Before(o.unfencedStart))
}

// surplusVersion returns a version on the engine that more engines of its zone
// hold than wanted, if there is one.
func (o *Orderer) surplusVersion(e *engine, holders map[zoneVersion]int) (declarer.VersionRef, bool) {
	for _, v := range e.state.Loaded {
		k := zoneVersion{e.Zone, v}
		if holders[k] > o.wantedEngines(k) {
			return v, true
		}
	}
	return declarer.VersionRef{}, false
}

// wantedEngines returns the wanted number of engines, zero without a Want.
func (o *Orderer) wantedEngines(k zoneVersion) int {
	for _, w := range o.wants {
		if w.Zone == k.zone && w.Ref == k.ref {
			return w.Engines
		}
	}
	return 0
}

// newOrder returns an order and adds it to the engine's state as under way.
func (o *Orderer) newOrder(e *engine, a Action, v declarer.VersionRef, now time.Time) Order {
	if a == Load {
		e.state.Loading = []declarer.VersionRef{v}
	} else {
		e.state.Unloading = []declarer.VersionRef{v}
	}
	return Order{
		Address: e.Address, Fence: o.fence, Action: a, Ref: v,
		SendBy: o.leaseEnd, Deadline: now.Add(o.settings.LongestOrder),
	}
}

// refillTokens adds the load tokens that have accrued since the last refill.
func (o *Orderer) refillTokens(now time.Time) {
	o.loadTokens = min(o.loadTokens+o.settings.LoadRate*now.Sub(o.refilledAt).Seconds(), o.settings.LoadBurst)
	o.refilledAt = now
}

// takeLoadToken takes a token for one load. It returns false if none is left or
// loads are paused.
func (o *Orderer) takeLoadToken(now time.Time) bool {
	if o.loadTokens < 1 || now.Before(o.pausedUntil) {
		return false
	}
	o.loadTokens--
	return true
}
