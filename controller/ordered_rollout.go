package controller

import (
	"time"

	"foxtailwall/declarer"
)

// States of an ordered rollout.
const (
	// RolloutRunning means that traffic is moving to the target.
	RolloutRunning RolloutState = "running"
	// RolloutCompleted means that all traffic goes to the target; the
	// upstreams of other versions may stop.
	RolloutCompleted RolloutState = "completed"
	// RolloutRolledBack means that the target no longer gets traffic.
	RolloutRolledBack RolloutState = "rolledBack"
)

type (
	// Document is a configuration with a version number chosen by its author.
	// The highest version wins. The state machine does not interpret the body.
	Document struct {
		Version uint64 `cbor:"version"`
		Body    []byte `cbor:"body"`
	}

	// RolloutState says whether an ordered rollout is running, completed or
	// rolled back.
	RolloutState string

	// RolloutOrder is an operator's order to move the traffic of a service to
	// the upstreams of version Target within Duration.
	RolloutOrder struct {
		Service  string        `cbor:"service"`
		Target   string        `cbor:"target"`
		Duration time.Duration `cbor:"duration"`
	}

	// OrderedRollout is the progress of a RolloutOrder.
	OrderedRollout struct {
		RolloutOrder
		// StartedAt is the leader's time when the order was accepted.
		StartedAt time.Time    `cbor:"startedAt"`
		State     RolloutState `cbor:"state"`
		// Share is the share of new sessions that run on the target, in
		// thousandths.
		Share int `cbor:"share"`
		// Moving means that sessions on other versions may move to the target.
		Moving bool `cbor:"moving"`
	}

	// RolloutStep updates a running rollout. It has no effect if the service
	// has no running rollout to Target.
	RolloutStep struct {
		Service string       `cbor:"service"`
		Target  string       `cbor:"target"`
		State   RolloutState `cbor:"state"`
		Share   int          `cbor:"share"`
		Moving  bool         `cbor:"moving"`
	}

	// OrderResult is the result of a RolloutOrder.
	OrderResult struct {
		// Accepted is false if a rollout to another target is running.
		Accepted bool `cbor:"accepted"`
		// Rollout is the rollout to the target, or the one that is running.
		Rollout OrderedRollout `cbor:"rollout"`
	}

	// Published is the current document, the ordered rollouts, the isolated prompt parts
	// and the evacuated zones.
	Published struct {
		// Version increases with every change of the state that hosts use.
		Version  uint64           `cbor:"version"`
		Document Document         `cbor:"document"`
		Rollouts []OrderedRollout `cbor:"rollouts,omitempty"`
		// Isolations includes those that have ended and are remembered.
		Isolations  []Isolation           `cbor:"isolations,omitempty"`
		Evacuations []declarer.Evacuation `cbor:"evacuations,omitempty"`
	}
)

// Published returns what the state machine publishes to hosts. The caller must
// not change its slices.
func (m *Machine) Published() Published {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.published
}

// putDocument stores the document if its version is higher than the current one
// and returns the version that is current afterwards.
func (m *Machine) putDocument(d *Document) uint64 {
	if d.Version > m.document.Version {
		m.document = *d
		m.viewDirty = true
	}
	return m.document.Version
}

// orderRollout starts a rollout unless one to another target is running. A
// repeated order returns the existing rollout.
func (m *Machine) orderRollout(e entryMeta, o *RolloutOrder) *OrderResult {
	for _, r := range m.orderedRollouts {
		if r.Service != o.Service {
			continue
		}
		if r.Target == o.Target {
			return &OrderResult{Accepted: true, Rollout: r}
		}
		if r.State == RolloutRunning {
			return &OrderResult{Rollout: r}
		}
	}
	r := OrderedRollout{RolloutOrder: *o, StartedAt: e.at, State: RolloutRunning}
	m.setOrderedRollout(r)
	return &OrderResult{Accepted: true, Rollout: r}
}

// stepOrderedRollout updates a running rollout and reports whether there is one.
func (m *Machine) stepOrderedRollout(st *RolloutStep) bool {
	for _, r := range m.orderedRollouts {
		if r.Service != st.Service || r.Target != st.Target || r.State != RolloutRunning {
			continue
		}
		r.State, r.Share, r.Moving = st.State, st.Share, st.Moving
		m.setOrderedRollout(r)
		return true
	}
	return false
}

// setOrderedRollout replaces the rollout of the service in a new list, since
// readers may still use the old one.
func (m *Machine) setOrderedRollout(r OrderedRollout) {
	next := make([]OrderedRollout, 0, len(m.orderedRollouts)+1)
	for _, o := range m.orderedRollouts {
		if o.Service != r.Service {
			next = append(next, o)
		}
	}
	m.orderedRollouts = append(next, r)
	m.viewDirty = true
}
