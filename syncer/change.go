package syncer

import (
	"maps"
	"slices"
	"strings"

	"foxtailwall/serializer"
	"foxtailwall/tracker"
)

// maxChanges is the number of changes of the list that are kept. Hosts lack one
// as a rule, and get the whole list when they lack more than are kept.
const maxChanges = 32

type (
	// List is a list of upstreams. Its name differs from that of every other.
	List struct {
		Name      string             `cbor:"name"`
		Upstreams []tracker.Upstream `cbor:"upstreams"`

		// encoded is the list as it is sent, so that it is encoded once for
		// all hosts.
		encoded []byte
	}

	// Change leads from one list to a newer one.
	Change struct {
		// From and Name are the names of both lists.
		From string `cbor:"from"`
		Name string `cbor:"name"`
		// Set are the upstreams that are new or have changed, Gone those that
		// are left out.
		Set  []tracker.Upstream `cbor:"set,omitempty"`
		Gone []tracker.Key      `cbor:"gone,omitempty"`
	}

	// plainList is a List that is encoded field by field.
	plainList List
)

// newList returns a list that is encoded already.
func newList(name string, ups []tracker.Upstream) (List, error) {
	l := List{Name: name, Upstreams: ups}
	var err error
	l.encoded, err = serializer.Marshal(plainList(l))
	return l, err
}

// MarshalCBOR implements cbor.Marshaler.
func (l *List) MarshalCBOR() ([]byte, error) {
	if l.encoded != nil {
		return l.encoded, nil
	}
	return serializer.Marshal(plainList(*l))
}

// changeOf returns what leads from one list to another.
func changeOf(from, to List) Change {
	c := Change{From: from.Name, Name: to.Name}
	old := make(map[tracker.Key]tracker.Upstream, len(from.Upstreams))
	for _, u := range from.Upstreams {
		old[u.Key()] = u
	}
	for _, u := range to.Upstreams {
		if before, ok := old[u.Key()]; !ok || before != u {
			c.Set = append(c.Set, u)
		}
		delete(old, u.Key())
	}
	c.Gone = sortedKeys(old)
	return c
}

// then returns the change that both make in turn.
func (c Change) then(next Change) Change {
	set := make(map[tracker.Key]tracker.Upstream, len(c.Set)+len(next.Set))
	gone := make(map[tracker.Key]tracker.Upstream, len(c.Gone)+len(next.Gone))
	for _, part := range []Change{c, next} {
		for _, u := range part.Set {
			set[u.Key()] = u
			delete(gone, u.Key())
		}
		for _, k := range part.Gone {
			gone[k] = tracker.Upstream{}
			delete(set, k)
		}
	}
	return Change{From: c.From, Name: next.Name, Set: slices.Collect(maps.Values(set)), Gone: sortedKeys(gone)}
}

// apply returns the list after the change.
func (c Change) apply(l List) List {
	changed := make(map[tracker.Key]bool, len(c.Set)+len(c.Gone))
	for _, u := range c.Set {
		changed[u.Key()] = true
	}
	for _, k := range c.Gone {
		changed[k] = true
	}
	out := List{Name: c.Name, Upstreams: make([]tracker.Upstream, 0, len(l.Upstreams)+len(c.Set))}
	for _, u := range l.Upstreams {
		if !changed[u.Key()] {
			out.Upstreams = append(out.Upstreams, u)
		}
	}
	out.Upstreams = append(out.Upstreams, c.Set...)
	return out
}

func sortedKeys(m map[tracker.Key]tracker.Upstream) []tracker.Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b tracker.Key) int { return strings.Compare(a.ID, b.ID) })
}
