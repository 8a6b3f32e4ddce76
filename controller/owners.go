package controller

import "time"

const (
	// DefaultOwnerLease is the time for which an engine is owned when the
	// request names none.
	DefaultOwnerLease = 10 * time.Second
	// ownerMemory is the time after the end of its lease for which an owner
	// is remembered. Tokens are log indexes, so a forgotten owner cannot make
	// a token come back.
	ownerMemory = time.Hour
)

type (
	// Own asks for the right to command an engine, renews it, or gives it
	// back.
	Own struct {
		Engine string `cbor:"engine"`
		// Owner names the host and its incarnation.
		Owner string        `cbor:"owner"`
		Lease time.Duration `cbor:"lease,omitempty"`
		Drop  bool          `cbor:"drop,omitempty"`
	}

	// Owned answers an Own.
	Owned struct {
		// Granted says that the asking host owns the engine.
		Granted bool `cbor:"granted"`
		// Owner, Token and Until describe the present owner.
		Owner string `cbor:"owner"`
		// Token is the fencing token: the index of the log entry by which
		// the owner got the engine.
		Token uint64    `cbor:"token"`
		Until time.Time `cbor:"until"`
		// First says that no other owner can have orders under way, because
		// none came before.
		First bool `cbor:"first,omitempty"`
	}

	owner struct {
		Name  string `cbor:"n"`
		Token uint64 `cbor:"t"`
		// Until is in Unix nanoseconds.
		Until int64 `cbor:"u"`
	}
)

// own decides who may command an engine. An owner whose lease has ended gets
// a new token, since another incarnation of it may still have commands under
// way.
func (m *Machine) own(s stamp, o *Own) *Owned {
	cur := m.owners[o.Engine]
	now := s.at.UnixNano()
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
		return cur.answer(false)
	case live && cur.Name == o.Owner:
		cur.Until = max(cur.Until, s.at.Add(lease).UnixNano())
	case live, cur.Token == s.index:
		// Two owners in one log entry would share a token.
		return cur.answer(false)
	default:
		first := cur.Token == 0
		cur = owner{Name: o.Owner, Token: s.index, Until: s.at.Add(lease).UnixNano()}
		m.owners[o.Engine] = cur
		a := cur.answer(true)
		a.First = first
		return a
	}
	m.owners[o.Engine] = cur
	return cur.answer(true)
}

func (m *Machine) pruneOwners(at time.Time) {
	oldest := at.Add(-ownerMemory).UnixNano()
	for engine, o := range m.owners {
		if o.Until < oldest {
			delete(m.owners, engine)
		}
	}
}

func (o owner) answer(granted bool) *Owned {
	return &Owned{Granted: granted, Owner: o.Name, Token: o.Token, Until: time.Unix(0, o.Until).UTC()}
}
