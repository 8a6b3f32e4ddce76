package picker

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxEvents bounds the own events kept between two load reports. Beyond
	// it the two oldest are merged, which keeps their sum.
	maxEvents = 512
	// serviceGain is the weight of one completed request in the mean service
	// time.
	serviceGain = 0.1
	// interference is the share of a service time that a full batch adds by
	// slowing down the decoding of each of its requests.
	interference = 0.25
	// defaultSlots is the batch size of a replica that reported none.
	defaultSlots = 16
)

type (
	// Replica is the picker's knowledge of one replica. It is safe for
	// concurrent use.
	Replica struct {
		// Address is where the replica listens.
		Address netip.AddrPort

		// cost is the expected wait in seconds as float64 bits, written under
		// mu and read without it by Pick.
		cost     atomic.Uint64
		mu       sync.Mutex
		reported LoadReport
		known    bool
		events   []loadEvent
		// delta is the sum of events.
		delta    int
		inFlight int
		service  float64
		weight   float64
		slots    int
		epoch    uint64
	}

	// LoadReport is the load of a replica as the replica measured it.
	LoadReport struct {
		// Incarnation grows with each start of the replica's process.
		Incarnation uint64
		// At is when the load was sampled, by this host's clock: the caller
		// subtracts the age of the sample from its time of receipt.
		At      time.Time
		Running int
		Waiting int
		// Slots is the number of requests the replica batches. Zero keeps
		// the last known number.
		Slots int
	}

	// Ticket identifies a request that was sent to a replica.
	Ticket struct {
		replica *Replica
		at      time.Time
		epoch   uint64
	}

	// loadEvent is a change of the number of own requests on a replica.
	loadEvent struct {
		at    time.Time
		delta int
	}
)

func newReplica(address netip.AddrPort, service time.Duration) *Replica {
	r := &Replica{Address: address, service: service.Seconds(), weight: 1, slots: defaultSlots}
	r.update()
	return r
}

// SetWeight sets the share of its normal load, 0 to 1, that the replica may
// take. Zero takes it out of the selection.
func (r *Replica) SetWeight(w float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weight = min(max(w, 0), 1)
	r.update()
}

// InFlight returns the number of own requests on the replica.
func (r *Replica) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight
}

// Usable reports whether the replica takes requests at all.
func (r *Replica) Usable() bool { return !math.IsInf(r.wait(), 1) }

// wait returns the expected wait for a slot in seconds, infinite for a replica
// that takes no requests.
func (r *Replica) wait() float64 { return math.Float64frombits(r.cost.Load()) }

func (r *Replica) sent(now time.Time) Ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
	r.record(now, 1)
	return Ticket{replica: r, at: now, epoch: r.epoch}
}

func (r *Replica) done(t Ticket, now time.Time, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.epoch != r.epoch {
		return // the incarnation that had the request is gone
	}
	r.inFlight--
	if completed {
		r.service += serviceGain * (now.Sub(t.at).Seconds() - r.service)
	}
	r.record(now, -1)
}

// report takes a load report and reports whether it is the first one of a new
// incarnation.
func (r *Replica) report(rep LoadReport) (restarted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && (rep.Incarnation < r.reported.Incarnation ||
		rep.Incarnation == r.reported.Incarnation && rep.At.Before(r.reported.At)) {
		return false
	}
	restarted = r.known && rep.Incarnation > r.reported.Incarnation
	if restarted {
		r.epoch++
		r.inFlight = 0
		r.events, r.delta = r.events[:0], 0
	}
	r.known, r.reported = true, rep
	if rep.Slots > 0 {
		r.slots = rep.Slots
	}
	kept := 0
	for _, e := range r.events {
		if e.at.After(rep.At) {
			r.events[kept] = e
			kept++
			continue
		}
		r.delta -= e.delta
	}
	r.events = r.events[:kept]
	r.update()
	return restarted
}

func (r *Replica) record(now time.Time, delta int) {
	if len(r.events) == maxEvents {
		r.events[1].delta += r.events[0].delta
		copy(r.events, r.events[1:])
		r.events = r.events[:maxEvents-1]
	}
	r.events = append(r.events, loadEvent{at: now, delta: delta})
	r.delta += delta
	r.update()
}

// load returns the estimated number of requests on the replica: those of the
// report, plus own ones sent since, minus own ones completed since. Own
// requests in flight are a lower bound, since some of them may have been
// under way to the replica when the report was sampled.
func (r *Replica) load() int {
	return max(r.reported.Running+r.reported.Waiting+r.delta, r.inFlight)
}

// update recomputes the expected wait. A replica that is returning to service
// counts as partly occupied.
func (r *Replica) update() {
	if r.weight <= 0 {
		r.cost.Store(math.Float64bits(math.Inf(1)))
		return
	}
	slots := float64(r.slots)
	n := float64(r.load()) + (1-r.weight)*slots
	wait := r.service * (max(n+1-slots, 0)/slots + interference*min(n/slots, 1))
	r.cost.Store(math.Float64bits(wait))
}
