package syncer

import (
	"maps"
	"slices"
	"strings"

	"foxtailwall/serializer"
	"foxtailwall/tracker"
)

// maxChanges is the number of list changes that a hub retains. A host is
// usually one change behind; a host that is further behind than this gets the
// whole list.
const maxChanges = 32

type (
	// List is one version of the list of upstreams, with a unique name.
	List struct {
		Name      string             `cbor:"name"`
		Upstreams []tracker.Upstream `cbor:"upstreams"`

		// encoded caches the CBOR encoding, so that a list is encoded once for
		// all hosts.
		encoded []byte
	}

	// Change is the difference between a list and a newer one.
	Change struct {
		// From is the name of the old list, Name that of the new one.
		From string `cbor:"from"`
		Name string `cbor:"name"`
		// Updated has the upstreams that are new or have changed, Removed those
		// that are not in the new list.
		Updated []tracker.Upstream `cbor:"set,omitempty"`
		Removed []tracker.Key      `cbor:"gone,omitempty"`
	}

	// listFields is a List without MarshalCBOR, which encodes it field by
	// field.
	listFields List
)

// newList returns a list with its encoding cached.
func newList(name string, ups []tracker.Upstream) (List, error) {
	l := List{Name: name, Upstreams: ups}
	var err error
	l.encoded, err = serializer.Marshal(listFields(l))
	return l, err
}

// MarshalCBOR implements cbor.Marshaler.
func (l *List) MarshalCBOR() ([]byte, error) {
	if l.encoded != nil {
		return l.encoded, nil
	}
	return serializer.Marshal(listFields(*l))
}

// diffLists returns the change that turns the list from into the list to.
func diffLists(from, to List) Change {
	c := Change{From: from.Name, Name: to.Name}
	old := make(map[tracker.Key]tracker.Upstream, len(from.Upstreams))
	for _, u := range from.Upstreams {
		old[u.Key()] = u
	}
	for _, u := range to.Upstreams {
		if before, ok := old[u.Key()]; !ok || before != u {
			c.Updated = append(c.Updated, u)
		}
		delete(old, u.Key())
	}
	c.Removed = sortedKeys(old)
	return c
}

// compose returns the change with the effect of c followed by next.
func (c Change) compose(next Change) Change {
	updated := make(map[tracker.Key]tracker.Upstream, len(c.Updated)+len(next.Updated))
	removed := make(map[tracker.Key]tracker.Upstream, len(c.Removed)+len(next.Removed))
	for _, part := range []Change{c, next} {
		for _, u := range part.Updated {
			updated[u.Key()] = u
			delete(removed, u.Key())
		}
		for _, k := range part.Removed {
			removed[k] = tracker.Upstream{}
			delete(updated, k)
		}
	}
	return Change{From: c.From, Name: next.Name, Updated: slices.Collect(maps.Values(updated)), Removed: sortedKeys(removed)}
}

// apply returns a copy of l with the change applied.
func (c Change) apply(l List) List {
	changed := make(map[tracker.Key]bool, len(c.Updated)+len(c.Removed))
	for _, u := range c.Updated {
		changed[u.Key()] = true
	}
	for _, k := range c.Removed {
		changed[k] = true
	}
	out := List{Name: c.Name, Upstreams: make([]tracker.Upstream, 0, len(l.Upstreams)+len(c.Updated))}
	for _, u := range l.Upstreams {
		if !changed[u.Key()] {
			out.Upstreams = append(out.Upstreams, u)
		}
	}
	out.Upstreams = append(out.Upstreams, c.Updated...)
	return out
}

func sortedKeys(m map[tracker.Key]tracker.Upstream) []tracker.Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b tracker.Key) int { return strings.Compare(a.ID, b.ID) })
}
