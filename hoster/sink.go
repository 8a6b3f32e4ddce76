package hoster

import (
	"net/netip"
	"strconv"

	"foxtailwall/monitor"
	"foxtailwall/picker"
	"foxtailwall/poller"
	"foxtailwall/router"
)

// pollerSink passes what the poller reads to the picker, the monitor and the
// learner.
type pollerSink struct {
	pools   *upstreamPools
	planner *planner
	// countForObjectives counts a rating towards the quality objective of
	// package reporter.
	countForObjectives func(id string, pass bool)
}

// platformStateLeaving is the state of a leaving host in the platform's list.
const platformStateLeaving = "leaving"

// Load implements poller.Sink.
func (s pollerSink) Load(addr netip.AddrPort, l poller.Load) {
	s.pools.monitor.RecordIncarnation(addr, l.Incarnation)
	if l.Leaving {
		s.pools.monitor.MarkLeaving(addr, l.Incarnation)
	}
	if l.Loaded != nil {
		s.pools.setLoaded(addr, l.Loaded)
	}
	at := l.At
	if now := s.pools.clock.Now(); at.After(now) {
		at = now // The upstream's clock runs ahead.
	}
	s.pools.picker.Report(addr, picker.LoadReport{
		Incarnation: l.Incarnation, At: at, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots,
	})
}

// CacheEvents implements poller.Sink.
func (s pollerSink) CacheEvents(addr netip.AddrPort, incarnation uint64, events []poller.CacheEvent) {
	out := make([]picker.CacheEvent, 0, len(events))
	for _, e := range events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue // The picker sees the gap in Seq and counts the event as missed.
		}
		out = append(out, picker.CacheEvent{Seq: e.Seq, Add: e.Add, Prefix: prefix})
	}
	s.pools.picker.CacheEvents(addr, incarnation, out)
}

// Hosts implements poller.Sink.
func (s pollerSink) Hosts(hosts []poller.Host) {
	out := make([]monitor.Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, monitor.Host{Address: h.Address, Incarnation: h.Incarnation, Leaving: h.State == platformStateLeaving})
	}
	s.pools.monitor.ApplyHostList(out)
}

// Rating implements poller.Sink.
func (s pollerSink) Rating(v router.Rating) {
	s.planner.learner.Rate(v.RequestID, v.Pass)
	s.planner.stats.countRating(v.RequestID, v.Pass)
	s.countForObjectives(v.RequestID, v.Pass)
}
