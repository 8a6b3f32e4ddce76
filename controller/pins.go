package controller

import (
	"cmp"
	"time"

	"foxtailwall/buffer"
	"foxtailwall/pinner"
)

// DefaultPinRetention is how long a pin is stored after its last use when the
// configuration sets no retention.
const DefaultPinRetention = time.Hour

type (
	// pinTable holds the pinned version of each session and model. Its zero
	// value is empty.
	pinTable struct {
		pins buffer.DenseMap[pinKey, *pinEntry]
		// byUse orders the pins by last use. An element is not updated when
		// its pin is used; prune then pushes it again with the newer time.
		byUse *buffer.Heap[pinUse]
	}

	pinKey struct{ workspace, session, model string }

	// pinEntry is the pinned version and its last use, in Unix nanoseconds.
	pinEntry struct {
		version  string
		lastUsed int64
	}

	// pinUse is an element of pinTable.byUse.
	pinUse struct {
		lastUsed int64
		key      pinKey
	}

	// savedPin is a pin in a snapshot.
	savedPin struct {
		Pin pinner.Pin `cbor:"p"`
		// Used is in Unix nanoseconds.
		Used int64 `cbor:"u"`
	}
)

// getOrAdd stores p unless the session already has a pin for the model, and
// returns the current pin.
func (t *pinTable) getOrAdd(p pinner.Pin, at time.Time) pinner.Pin {
	k := pinKeyOf(p)
	if old := t.pins.Get(k); old != nil {
		t.pins.Put(k, &pinEntry{version: old.version, lastUsed: max(old.lastUsed, at.UnixNano())})
		p.Version = old.version
		return p
	}
	t.add(p, at.UnixNano())
	return p
}

// replace stores p if the session's pin is old or if it has none, and returns
// the current pin.
func (t *pinTable) replace(old, p pinner.Pin, at time.Time) pinner.Pin {
	k := pinKeyOf(p)
	cur := t.pins.Get(k)
	if cur != nil && pinKeyOf(old) == k && cur.version == old.Version {
		t.pins.Put(k, &pinEntry{version: p.Version, lastUsed: cur.lastUsed})
	}
	return t.getOrAdd(p, at)
}

// prune removes pins that have not been used for the retention time. It looks
// at no more than limit pins.
func (t *pinTable) prune(at time.Time, retention time.Duration, limit int) {
	if t.byUse == nil {
		return
	}
	oldest := at.Add(-retention).UnixNano()
	for range limit {
		top, ok := t.byUse.Peek()
		if !ok || top.lastUsed >= oldest {
			return
		}
		t.byUse.Pop()
		if p := t.pins.Get(top.key); p.lastUsed > top.lastUsed {
			t.byUse.Push(pinUse{lastUsed: p.lastUsed, key: top.key})
			continue
		}
		t.pins.Delete(top.key)
	}
}

func (t *pinTable) add(p pinner.Pin, used int64) {
	if t.byUse == nil {
		t.byUse = buffer.NewHeap(func(a, b pinUse) bool {
			return a.lastUsed < b.lastUsed || a.lastUsed == b.lastUsed && comparePinKeys(a.key, b.key) < 0
		})
	}
	k := pinKeyOf(p)
	t.pins.Put(k, &pinEntry{version: p.Version, lastUsed: used})
	t.byUse.Push(pinUse{lastUsed: used, key: k})
}

// freeze returns a function that lists the current pins. The function may run
// while the table changes.
func (t *pinTable) freeze() func() []savedPin {
	each, n := t.pins.Snapshot(), t.pins.Len()
	return func() []savedPin {
		out := make([]savedPin, 0, n)
		each(func(k pinKey, v *pinEntry) {
			out = append(out, savedPin{Used: v.lastUsed, Pin: pinner.Pin{
				Workspace: k.workspace, Session: k.session, Model: k.model, Version: v.version,
			}})
		})
		return out
	}
}

func pinKeyOf(p pinner.Pin) pinKey {
	return pinKey{workspace: p.Workspace, session: p.Session, model: p.Model}
}

func comparePinKeys(a, b pinKey) int {
	return cmp.Or(
		cmp.Compare(a.workspace, b.workspace),
		cmp.Compare(a.session, b.session),
		cmp.Compare(a.model, b.model),
	)
}
