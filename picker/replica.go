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
	// time, and serviceRuns the number of requests that the first estimate
	// stands for.
	serviceGain, serviceRuns = 0.002, 10
	// minService is the share of a request's time that counts as service, if
	// the wait it was expected to have exceeds the rest.
	minService = 0.1
	// interference is the share of a service time that a full batch adds by
	// slowing down the decoding of each of its requests.
	interference = 0.25
	// intervalGain is the weight of one report in the mean interval of a
	// replica.
	intervalGain = 0.1
	// usualGain is the weight of one report in the mean load of a pool. At ten
	// times the weight the mean followed the order of the reports, so that
	// trials with 40 hosts herded onto those that reported at its low points.
	usualGain = 0.0005
	// trustTime is the age of a report, in service times, at which the weight
	// of its count of other hosts' requests has fallen by the factor e. In
	// trials with 40 hosts and reports half a second old, 0.25 herded: 95 in
	// 100 first tokens came within 3.7 s, against 2.4 s at 0.1.
	trustTime = 0.1
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
		weight   float64
		slots    int
		epoch    uint64
		// trust is the weight of the latest report's count of other hosts'
		// requests, against their usual number.
		trust float64
		norm  *norm
		// interval is the mean time between samples.
		interval time.Duration
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
		// queued is the wait in seconds that was expected.
		queued float64
	}

	// norm is what holds for all replicas of a pool alike. Means of each
	// replica would differ by chance, and a host avoids a replica that looks
	// slow by chance, so that it would not find out.
	norm struct {
		// service is the time in seconds that a request occupies a slot, usual
		// the number of other hosts' requests for each slot.
		service, usual mean
		// declared is the first estimate of service. What is learned grows with
		// queues, which must not make old reports look fresher.
		declared float64
	}

	// mean is a moving mean.
	mean struct {
		bits atomic.Uint64
		n    atomic.Int64
	}

	// loadEvent is a change of the number of own requests on a replica.
	loadEvent struct {
		at    time.Time
		delta int
	}
)

func newReplica(address netip.AddrPort, service time.Duration) *Replica {
	r := &Replica{Address: address, weight: 1, slots: defaultSlots, norm: &norm{declared: service.Seconds()}}
	r.norm.service.set(service.Seconds())
	r.norm.service.n.Store(serviceRuns)
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
	t := Ticket{replica: r, at: now, epoch: r.epoch, queued: r.queueing(r.load())}
	r.inFlight++
	r.record(now, 1)
	return t
}

func (r *Replica) done(t Ticket, now time.Time, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.epoch != r.epoch {
		return // the incarnation that had the request is gone
	}
	r.inFlight--
	if completed {
		took := now.Sub(t.at).Seconds()
		r.norm.service.add(max(took-t.queued, minService*took), serviceGain)
	}
	r.record(now, -1)
}

// report takes a load report and reports whether it is the first one of a new
// incarnation.
func (r *Replica) report(rep LoadReport, now time.Time) (restarted bool) {
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
	if r.known {
		r.interval += time.Duration(intervalGain * float64(rep.At.Sub(r.reported.At)-r.interval))
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
	r.norm.usual.add(float64(r.counted()-r.inFlight)/float64(r.slots), usualGain)
	age := now.Sub(rep.At) + r.interval/2
	r.trust = math.Exp(-max(age.Seconds(), 0) / (trustTime * r.norm.declared))
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

// counted returns the number of requests on the replica as far as it is known:
// those of the report, plus own ones sent since, minus own ones completed
// since. Own requests in flight are a lower bound, since some of them may have
// been under way to the replica when the report was sampled.
func (r *Replica) counted() int {
	return max(r.reported.Running+r.reported.Waiting+r.delta, r.inFlight)
}

// load returns the estimated number of requests on the replica. What other
// hosts have sent or completed since the sample is unknown, so with its age
// the count of their requests gives way to their usual number on the pool's replicas.
func (r *Replica) load() float64 {
	others := float64(r.counted() - r.inFlight)
	return float64(r.inFlight) + r.trust*others + (1-r.trust)*r.norm.usual.value()*float64(r.slots)
}

// update recomputes the expected wait. A replica that is returning to service
// counts as partly occupied.
func (r *Replica) update() {
	if r.weight <= 0 {
		r.cost.Store(math.Float64bits(math.Inf(1)))
		return
	}
	slots := float64(r.slots)
	n := r.load() + (1-r.weight)*slots
	wait := r.queueing(n) + r.norm.service.value()*interference*min(n/slots, 1)
	r.cost.Store(math.Float64bits(wait))
}

// queueing returns the expected wait in seconds behind n requests.
func (r *Replica) queueing(n float64) float64 {
	slots := float64(r.slots)
	return r.norm.service.value() * max(n+1-slots, 0) / slots
}

func (m *mean) value() float64 { return math.Float64frombits(m.bits.Load()) }

func (m *mean) set(v float64) { m.bits.Store(math.Float64bits(v)) }

// add takes a value into the mean. Of two concurrent calls one may be lost,
// which a mean can bear.
func (m *mean) add(v, gain float64) {
	gain = max(gain, 1/float64(m.n.Add(1)))
	m.set(m.value() + gain*(v-m.value()))
}
