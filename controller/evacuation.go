package controller

import (
	"slices"
	"strings"
	"time"

	"foxtailwall/declarer"
)

const (
	// maxEvacuations bounds the zones that are evacuated at the same time by orders in an
	// entry of their own kind.
	maxEvacuations = 64

	// evacuationPrefix begins the names of services whose rollouts are evacuations of the
	// zone that follows. No service of a configuration has such a name.
	evacuationPrefix = "\x00evacuation/"
	evacuationStart  = "start"
	evacuationEnd    = "end"
)

type (
	// EvacuationOrder is an operator's order to send no new requests to the upstreams of
	// a zone or, if End is set, to send requests there again.
	EvacuationOrder struct {
		Zone string `cbor:"zone"`
		End  bool   `cbor:"end,omitempty"`
	}

	// EvacuationResult is the result of an EvacuationOrder.
	EvacuationResult struct {
		// Accepted is false if the order could not be stored.
		Accepted bool `cbor:"accepted"`
		// Changed is false for a repeated order.
		Changed bool `cbor:"changed,omitempty"`
	}
)

// Items returns the items of a command that stores the order as a rollout: the first one
// completes the contrary order, during which the second one is refused. Commit 4610b62
// stores both unchanged; docs/design/mixed-releases.md gives the reasons.
func (o EvacuationOrder) Items() []Item {
	service, target, contrary := evacuationPrefix+o.Zone, evacuationStart, evacuationEnd
	if o.End {
		target, contrary = contrary, target
	}
	return []Item{
		{Step: &RolloutStep{Service: service, Target: contrary, State: RolloutCompleted}},
		{Order: &RolloutOrder{Service: service, Target: target}},
	}
}

// IsReserved reports whether a service name is reserved for evacuations, so that no rollout
// of it may be ordered.
func IsReserved(service string) bool { return strings.HasPrefix(service, evacuationPrefix) }

// WithEvacuations returns p with the evacuations that are among its rollouts moved to the
// list of evacuations. A leader of commit 4610b62 publishes them as rollouts.
func (p Published) WithEvacuations() Published {
	if !slices.ContainsFunc(p.Rollouts, OrderedRollout.isEvacuation) {
		return p
	}
	// Other readers may use the lists.
	rollouts := p.Rollouts
	p.Rollouts, p.Evacuations = nil, slices.Clone(p.Evacuations)
	for _, r := range rollouts {
		switch {
		case !r.isEvacuation():
			p.Rollouts = append(p.Rollouts, r)
		case r.Target == evacuationStart:
			p.Evacuations = append(p.Evacuations, declarer.Evacuation{Zone: strings.TrimPrefix(r.Service, evacuationPrefix), Since: r.StartedAt})
		}
	}
	return p
}

func (r OrderedRollout) isEvacuation() bool { return IsReserved(r.Service) }

// orderService starts a rollout, or starts or ends the evacuation that the order stands
// for. The answer of members of commit 4610b62 has no Evacuated.
func (m *Machine) orderService(e entryMeta, o *RolloutOrder) Answer {
	if !IsReserved(o.Service) {
		return Answer{Ordered: m.orderRollout(e, o)}
	}
	zone := strings.TrimPrefix(o.Service, evacuationPrefix)
	before := m.isEvacuated(zone)
	ordered := m.orderRollout(e, o)
	if ordered.Accepted {
		// The later order counts.
		m.evacuations = withoutZone(m.evacuations, zone)
	}
	return Answer{Ordered: ordered, Evacuated: &EvacuationResult{Accepted: ordered.Accepted, Changed: before != m.isEvacuated(zone)}}
}

// orderEvacuation starts or ends the evacuation of a zone by an order in an entry of its own
// kind. A repeated order is accepted and changes nothing.
func (m *Machine) orderEvacuation(at time.Time, o *EvacuationOrder) *EvacuationResult {
	switch {
	case o.End != m.isEvacuated(o.Zone):
		return &EvacuationResult{Accepted: true}
	case !o.End && len(m.evacuations) >= maxEvacuations:
		return &EvacuationResult{}
	}
	m.evacuations = withoutZone(m.evacuations, o.Zone)
	m.orderedRollouts = slices.DeleteFunc(slices.Clone(m.orderedRollouts), func(r OrderedRollout) bool { return r.Service == evacuationPrefix+o.Zone })
	if !o.End {
		m.evacuations = append(m.evacuations, declarer.Evacuation{Zone: o.Zone, Since: at})
	}
	m.viewDirty = true
	return &EvacuationResult{Accepted: true, Changed: true}
}

func (m *Machine) isEvacuated(zone string) bool {
	ordered := func(r OrderedRollout) bool {
		return r.Service == evacuationPrefix+zone && r.Target == evacuationStart
	}
	return slices.ContainsFunc(m.evacuations, func(e declarer.Evacuation) bool { return e.Zone == zone }) || slices.ContainsFunc(m.orderedRollouts, ordered)
}

// withoutZone returns a new list, since readers may still use the old one.
func withoutZone(list []declarer.Evacuation, zone string) []declarer.Evacuation {
	return slices.DeleteFunc(slices.Clone(list), func(e declarer.Evacuation) bool { return e.Zone == zone })
}
