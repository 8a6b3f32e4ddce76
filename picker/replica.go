package picker

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxEvents bounds the load events kept between two load reports. Beyond it
	// the two oldest are merged, which preserves their sum.
	maxEvents = 512
	// serviceGain is the weight of one completed request in the mean service
	// time, and initialServiceRuns the number of requests that the initial
	// estimate counts as.
	serviceGain, initialServiceRuns = 0.002, 10
	// minServiceShare is the least fraction of a request's duration that counts
	// as service time, however long it was expected to wait.
	minServiceShare = 0.1
	// fullBatchSlowdown is the fraction of the service time that a full batch
	// adds, because it slows down the decoding of each request.
	fullBatchSlowdown = 0.25
	// intervalGain is the weight of one report in the mean report interval of a
	// replica.
	intervalGain = 0.1
	// otherLoadGain is the weight of one report in the mean load of a pool by
	// other hosts. At ten times the weight the mean followed the order of the
	// reports, and with 40 hosts requests concentrated on the replicas that
	// reported while it was low.
	otherLoadGain = 0.0005
	// reportDecayTime is the age of a report, in service times, at which the
	// weight of its count of other hosts' requests has fallen to 1/e. With 40
	// hosts and reports half a second old, 0.25 made hosts choose the same
	// replicas: the 95th percentile of the time to first token was 3.7 s,
	// against 2.4 s at 0.1.
	reportDecayTime = 0.1
	// defaultSlots is the batch size of a replica that neither declared nor
	// reported one.
	defaultSlots = 16
)

type (
	// Replica holds the load estimate and the weight of one replica. It is safe
	// for concurrent use.
	Replica struct {
		// Address is where the replica listens.
		Address netip.AddrPort

		// waitBits is the expected wait in seconds as float64 bits, written
		// under mu and read without it by Pick.
		waitBits   atomic.Uint64
		mu         sync.Mutex
		lastReport LoadReport
		hasReport  bool
		events     []loadEvent
		// delta is the sum of the events' deltas.
		delta    int
		inFlight int
		weight   float64
		slots    int
		epoch    uint64
		// reportWeight is the weight, 0 to 1, of the latest report's count of
		// other hosts' requests; their mean number has the rest.
		reportWeight float64
		means        *poolMeans
		// reportInterval is the mean time between samples.
		reportInterval time.Duration
	}

	// LoadReport is the load of a replica as the replica measured it.
	LoadReport struct {
		// Incarnation increases with each start of the replica's process.
		Incarnation uint64
		// At is the time of the sample by this host's clock: the caller
		// subtracts the age of the sample from the time of receipt.
		At      time.Time
		Running int
		Waiting int
		// Slots is the batch size. Zero keeps the last known one.
		Slots int
	}

	// Ticket identifies a request that was sent to a replica.
	Ticket struct {
		replica *Replica
		at      time.Time
		epoch   uint64
		// expectedWait is the wait in seconds that was expected when the
		// request was sent.
		expectedWait float64
	}

	// poolMeans holds the means shared by all replicas of a pool. With a mean
	// for each replica, a host would avoid a replica that looks slow by chance
	// and never correct its estimate.
	poolMeans struct {
		// serviceTime is how long a request occupies a slot, in seconds;
		// otherLoad is the number of other hosts' requests per slot.
		serviceTime, otherLoad mean
		// initialServiceTime is the initial estimate of serviceTime, in
		// seconds. Report ages are compared with it because the learned mean
		// grows with queues, which must not make old reports look fresher.
		initialServiceTime float64
	}

	// mean is an exponential moving average.
	mean struct {
		bits atomic.Uint64
		n    atomic.Int64
	}

	// loadEvent is the start or end of requests of this host on a replica.
	loadEvent struct {
		at    time.Time
		delta int
	}
)

func newReplica(address netip.AddrPort, service time.Duration) *Replica {
	r := &Replica{Address: address, weight: 1, slots: defaultSlots, means: &poolMeans{initialServiceTime: service.Seconds()}}
	r.means.serviceTime.set(service.Seconds())
	r.means.serviceTime.n.Store(initialServiceRuns)
	r.updateWait()
	return r
}

// SetWeight sets the fraction of its normal load, 0 to 1, that the replica may
// take. A replica with weight zero is never picked.
func (r *Replica) SetWeight(w float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weight = min(max(w, 0), 1)
	r.updateWait()
}

// InFlight returns the number of unfinished requests of this host on the
// replica.
func (r *Replica) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight
}

// Usable reports whether the weight of the replica is above zero.
func (r *Replica) Usable() bool { return !math.IsInf(r.wait(), 1) }

// wait returns the expected wait for a slot in seconds, +Inf for a replica of
// weight zero.
func (r *Replica) wait() float64 { return math.Float64frombits(r.waitBits.Load()) }

func (r *Replica) recordSent(now time.Time) Ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	ticket := Ticket{replica: r, at: now, epoch: r.epoch, expectedWait: r.queueWait(r.estimatedLoad())}
	r.inFlight++
	r.recordEvent(now, 1)
	return ticket
}

// end removes a request from the load. If the request completed, its
// service time updates the mean.
func (r *Replica) end(ticket Ticket, now time.Time, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ticket.epoch != r.epoch {
		return // the replica has restarted since the request was sent
	}
	r.inFlight--
	if completed {
		duration := now.Sub(ticket.at).Seconds()
		r.means.serviceTime.add(max(duration-ticket.expectedWait, minServiceShare*duration), serviceGain)
	}
	r.recordEvent(now, -1)
}

// applyReport applies a load report and reports whether it is the first of a
// new incarnation.
func (r *Replica) applyReport(report LoadReport, now time.Time) (restarted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasReport && (report.Incarnation < r.lastReport.Incarnation ||
		report.Incarnation == r.lastReport.Incarnation && report.At.Before(r.lastReport.At)) {
		return false
	}
	restarted = r.hasReport && report.Incarnation > r.lastReport.Incarnation
	if restarted {
		r.epoch++
		r.inFlight = 0
		r.events, r.delta = r.events[:0], 0
	}
	if r.hasReport {
		r.reportInterval += time.Duration(intervalGain * float64(report.At.Sub(r.lastReport.At)-r.reportInterval))
	}
	r.hasReport, r.lastReport = true, report
	if report.Slots > 0 {
		r.slots = report.Slots
	}
	kept := 0
	for _, event := range r.events {
		if event.at.After(report.At) {
			r.events[kept] = event
			kept++
			continue
		}
		r.delta -= event.delta
	}
	r.events = r.events[:kept]
	r.means.otherLoad.add(float64(r.knownRequests()-r.inFlight)/float64(r.slots), otherLoadGain)
	age := now.Sub(report.At) + r.reportInterval/2
	r.reportWeight = math.Exp(-max(age.Seconds(), 0) / (reportDecayTime * r.means.initialServiceTime))
	r.updateWait()
	return restarted
}

func (r *Replica) recordEvent(now time.Time, delta int) {
	if len(r.events) == maxEvents {
		r.events[1].delta += r.events[0].delta
		copy(r.events, r.events[1:])
		r.events = r.events[:maxEvents-1]
	}
	r.events = append(r.events, loadEvent{at: now, delta: delta})
	r.delta += delta
	r.updateWait()
}

// knownRequests returns the reported number of requests, plus those this host
// sent since the sample, minus those that ended since. The requests in flight
// are a lower bound, since some may not have reached the replica when the
// report was sampled.
func (r *Replica) knownRequests() int {
	return max(r.lastReport.Running+r.lastReport.Waiting+r.delta, r.inFlight)
}

// estimatedLoad returns the estimated number of requests on the replica. What
// other hosts have sent or completed since the sample is unknown, so as the
// report ages its count of their requests is replaced by their mean number in
// the pool.
func (r *Replica) estimatedLoad() float64 {
	others := float64(r.knownRequests() - r.inFlight)
	return float64(r.inFlight) + r.reportWeight*others + (1-r.reportWeight)*r.means.otherLoad.value()*float64(r.slots)
}

// updateWait recomputes the expected wait. A replica with a weight below one
// counts as partly occupied.
func (r *Replica) updateWait() {
	if r.weight <= 0 {
		r.waitBits.Store(math.Float64bits(math.Inf(1)))
		return
	}
	slots := float64(r.slots)
	load := r.estimatedLoad() + (1-r.weight)*slots
	wait := r.queueWait(load) + r.means.serviceTime.value()*fullBatchSlowdown*min(load/slots, 1)
	r.waitBits.Store(math.Float64bits(wait))
}

// queueWait returns the expected wait in seconds behind n requests.
func (r *Replica) queueWait(n float64) float64 {
	slots := float64(r.slots)
	return r.means.serviceTime.value() * max(n+1-slots, 0) / slots
}

func (m *mean) value() float64 { return math.Float64frombits(m.bits.Load()) }

func (m *mean) set(v float64) { m.bits.Store(math.Float64bits(v)) }

// add updates the mean with a value. One of two concurrent updates may be lost,
// which is tolerable for a mean.
func (m *mean) add(v, gain float64) {
	gain = max(gain, 1/float64(m.n.Add(1)))
	m.set(m.value() + gain*(v-m.value()))
}
