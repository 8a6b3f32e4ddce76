package controller

import (
	"time"
)

// States of an ordered rollout.
const (
	// RolloutRunning means that traffic is being moved.
	RolloutRunning RolloutState = "running"
	// RolloutCompleted means that all traffic goes to the target; the
	// upstreams of other versions may stop.
	RolloutCompleted RolloutState = "completed"
	// RolloutRolledBack means that the target gets no traffic any more.
	RolloutRolledBack RolloutState = "rolledBack"
)

type (
	// Document is a configuration whose version its author has named. The
	// highest version is in force; the body is opaque to the state machine.
	Document struct {
		Version uint64 `cbor:"version"`
		Body    []byte `cbor:"body"`
	}

	// RolloutState is the state of an ordered rollout.
	RolloutState string

	// RolloutOrder asks that the traffic of a service be moved to the
	// upstreams of a version within a time.
	RolloutOrder struct {
		Service  string        `cbor:"service"`
		Target   string        `cbor:"target"`
		Duration time.Duration `cbor:"duration"`
	}

	// OrderedRollout is an order and how far it has come.
	OrderedRollout struct {
		RolloutOrder
		// StartedAt is the leader's time when the order was accepted.
		StartedAt time.Time    `cbor:"startedAt"`
		State     RolloutState `cbor:"state"`
		// Share is the part of new sessions that the target gets, in
		// thousandths.
		Share int `cbor:"share"`
		// Moving means that sessions may be moved to the target.
		Moving bool `cbor:"moving"`
	}

	// RolloutStep changes a running rollout. It has no effect on any other.
	RolloutStep struct {
		Service string       `cbor:"service"`
		Target  string       `cbor:"target"`
		State   RolloutState `cbor:"state"`
		Share   int          `cbor:"share"`
		Moving  bool         `cbor:"moving"`
	}

	// Ordered answers a RolloutOrder.
	Ordered struct {
		// Accepted is false while another target is rolled out.
		Accepted bool           `cbor:"accepted"`
		Rollout  OrderedRollout `cbor:"rollout"`
	}

	// Published is what the operators have put in force.
	Published struct {
		// Version grows with every change.
		Version  uint64           `cbor:"version"`
		Document Document         `cbor:"document"`
		Rollouts []OrderedRollout `cbor:"rollouts,omitempty"`
	}
)

// Published returns the newest document and the ordered rollouts. Its slices
// must not be changed.
func (m *Machine) Published() Published {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Published{Version: m.view.Version, Document: m.document, Rollouts: m.rollouts}
}

// put takes over a document with a higher version and returns the version in
// force.
func (m *Machine) put(d *Document) uint64 {
	if d.Version > m.document.Version {
		m.document = *d
		m.touched = true
	}
	return m.document.Version
}

// order accepts a rollout. An order that is repeated changes nothing.
func (m *Machine) order(s stamp, o *RolloutOrder) *Ordered {
	for _, r := range m.rollouts {
		if r.Service != o.Service {
			continue
		}
		if r.Target == o.Target {
			return &Ordered{Accepted: true, Rollout: r}
		}
		if r.State == RolloutRunning {
			return &Ordered{Rollout: r}
		}
	}
	r := OrderedRollout{RolloutOrder: *o, StartedAt: s.at, State: RolloutRunning}
	m.setRollout(r)
	return &Ordered{Accepted: true, Rollout: r}
}

// stepOrder moves a running rollout on.
func (m *Machine) stepOrder(st *RolloutStep) bool {
	for _, r := range m.rollouts {
		if r.Service != st.Service || r.Target != st.Target || r.State != RolloutRunning {
			continue
		}
		r.State, r.Share, r.Moving = st.State, st.Share, st.Moving
		m.setRollout(r)
		return true
	}
	return false
}

// setRollout replaces the rollout of the service. Readers keep the old list.
func (m *Machine) setRollout(r OrderedRollout) {
	next := make([]OrderedRollout, 0, len(m.rollouts)+1)
	for _, o := range m.rollouts {
		if o.Service != r.Service {
			next = append(next, o)
		}
	}
	m.rollouts = append(next, r)
	m.touched = true
}
