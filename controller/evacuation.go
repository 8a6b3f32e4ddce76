package controller

import (
	"slices"
	"time"

	"foxtailwall/declarer"
)

// maxEvacuations bounds the zones that are evacuated at the same time.
const maxEvacuations = 64

type (
	// EvacuationOrder is an operator's order to send no new requests to the upstreams of
	// a zone or, if End is set, to send requests there again.
	EvacuationOrder struct {
		Zone string `cbor:"zone"`
		End  bool   `cbor:"end,omitempty"`
	}

	// EvacuationResult is the result of an EvacuationOrder.
	EvacuationResult struct {
		// Accepted is false if too many zones are evacuated.
		Accepted bool `cbor:"accepted"`
		// Changed is false for a repeated order.
		Changed bool `cbor:"changed,omitempty"`
	}
)

// orderEvacuation starts or ends the evacuation of a zone. A repeated order is
// accepted and changes nothing.
func (m *Machine) orderEvacuation(at time.Time, o *EvacuationOrder) *EvacuationResult {
	index := slices.IndexFunc(m.evacuations, func(e declarer.Evacuation) bool { return e.Zone == o.Zone })
	switch {
	case o.End == (index < 0):
		return &EvacuationResult{Accepted: true}
	case !o.End && len(m.evacuations) >= maxEvacuations:
		return &EvacuationResult{}
	}
	// Readers may still use the old list.
	next := slices.Clone(m.evacuations)
	if o.End {
		next = slices.Delete(next, index, index+1)
	} else {
		next = append(next, declarer.Evacuation{Zone: o.Zone, Since: at})
	}
	m.evacuations = next
	m.viewDirty = true
	return &EvacuationResult{Accepted: true, Changed: true}
}
