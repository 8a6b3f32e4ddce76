package controller

import "time"

const (
	// DefaultOwnerLease is the duration of an engine's lease when the request
	// sets none.
	DefaultOwnerLease = 10 * time.Second
	// ownerRetention is how long an owner is stored after its lease has
	// expired. Tokens are log indexes, so that removing an owner cannot cause
	// a token to be reused.
	ownerRetention = time.Hour
)

type (
	// OwnRequest acquires, renews or releases the lease that lets its owner send
	// commands to an engine.
	OwnRequest struct {
		Engine string `cbor:"engine"`
		// Owner names the host and its incarnation.
		Owner string `cbor:"owner"`
		// Lease is the wanted duration; zero means DefaultOwnerLease.
		Lease time.Duration `cbor:"lease,omitempty"`
		// Drop releases the lease.
		Drop bool `cbor:"drop,omitempty"`
	}

	// OwnResult is the result of an OwnRequest.
	OwnResult struct {
		// Granted says that the requesting host holds the lease.
		Granted bool `cbor:"granted"`
		// Owner, Token and Until describe the latest owner.
		Owner string `cbor:"owner"`
		// Token is the fencing token: the index of the log entry that
		// granted the lease.
		Token uint64    `cbor:"token"`
		Until time.Time `cbor:"until"`
		// First says that no earlier owner is known, so that no other owner
		// can have commands in flight.
		First bool `cbor:"first,omitempty"`
	}

	engineOwner struct {
		Name  string `cbor:"n"`
		Token uint64 `cbor:"t"`
		// Until is in Unix nanoseconds.
		Until int64 `cbor:"u"`
	}
)

// updateOwner acquires, renews or releases the lease of an engine. An owner
// whose lease has expired gets a new token, since another incarnation of it may
// still have commands in flight.
func (m *Machine) updateOwner(e entryMeta, o *OwnRequest) *OwnResult {
	cur := m.owners[o.Engine]
	now := e.at.UnixNano()
	live := cur.Until > now
	lease := o.Lease
	if lease <= 0 {
		lease = DefaultOwnerLease
	}
	switch {
	case o.Drop:
		if live && cur.Name == o.Owner {
			cur.Until = now
			m.owners[o.Engine] = cur
		}
		return cur.ownResult(false)
	case live && cur.Name == o.Owner:
		cur.Until = max(cur.Until, e.at.Add(lease).UnixNano())
	case live, cur.Token == e.index:
		// A second owner in the same log entry would get the same token.
		return cur.ownResult(false)
	default:
		first := cur.Token == 0
		cur = engineOwner{Name: o.Owner, Token: e.index, Until: e.at.Add(lease).UnixNano()}
		m.owners[o.Engine] = cur
		a := cur.ownResult(true)
		a.First = first
		return a
	}
	m.owners[o.Engine] = cur
	return cur.ownResult(true)
}

// pruneOwners removes the owners whose lease expired more than ownerRetention ago.
func (m *Machine) pruneOwners(at time.Time) {
	oldest := at.Add(-ownerRetention).UnixNano()
	for engine, o := range m.owners {
		if o.Until < oldest {
			delete(m.owners, engine)
		}
	}
}

func (o engineOwner) ownResult(granted bool) *OwnResult {
	return &OwnResult{Granted: granted, Owner: o.Name, Token: o.Token, Until: time.Unix(0, o.Until).UTC()}
}
