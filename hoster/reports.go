package hoster

import (
	"net/netip"
	"strconv"

	"foxtailwall/monitor"
	"foxtailwall/picker"
	"foxtailwall/poller"
	"foxtailwall/router"
)

// reports takes what the poller learns.
type reports struct {
	replicas *replicas
	plans    *plans
	// rated counts a rating for the objectives of package reporter.
	rated func(id string, pass bool)
}

const platformLeaving = "leaving"

// Load implements poller.Sink.
func (r reports) Load(addr netip.AddrPort, l poller.Load) {
	r.replicas.monitor.Seen(addr, l.Incarnation)
	if l.Leaving {
		r.replicas.monitor.Leaving(addr, l.Incarnation)
	}
	if l.Loaded != nil {
		r.replicas.setLoaded(addr, l.Loaded)
	}
	at := l.At
	if now := r.replicas.clock.Now(); at.After(now) {
		at = now // The upstream's clock is ahead.
	}
	r.replicas.picker.Report(addr, picker.LoadReport{
		Incarnation: l.Incarnation, At: at, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots,
	})
}

// CacheEvents implements poller.Sink.
func (r reports) CacheEvents(addr netip.AddrPort, incarnation uint64, events []poller.CacheEvent) {
	out := make([]picker.CacheEvent, 0, len(events))
	for _, e := range events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue // The picker counts it as missed.
		}
		out = append(out, picker.CacheEvent{Seq: e.Seq, Add: e.Add, Prefix: prefix})
	}
	r.replicas.picker.CacheEvents(addr, incarnation, out)
}

// Hosts implements poller.Sink.
func (r reports) Hosts(hosts []poller.Host) {
	out := make([]monitor.Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, monitor.Host{Address: h.Address, Incarnation: h.Incarnation, Leaving: h.State == platformLeaving})
	}
	r.replicas.monitor.List(out)
}

// Rated implements poller.Sink.
func (r reports) Rated(v router.Rating) {
	r.plans.learner.Rate(v.RequestID, v.Pass)
	r.plans.stats.rate(v.RequestID, v.Pass)
	r.rated(v.RequestID, v.Pass)
}
