package controller

import (
	"cmp"
	"time"

	"foxtailwall/buffer"
	"foxtailwall/pinner"
)

// DefaultPinRetention is the time after its last use for which a pin is kept
// when the configuration names none.
const DefaultPinRetention = time.Hour

type (
	// pinTable holds the pins of sessions. Its zero value is empty.
	pinTable struct {
		pins buffer.Dense[pinKey, *pinned]
		// byUse orders the pins by their last use. An element may be older
		// than its pin; prune then puts it back.
		byUse *buffer.Heap[usedPin]
	}

	pinKey struct{ workspace, session, model string }

	pinned struct {
		version string
		used    int64
	}

	usedPin struct {
		used int64
		key  pinKey
	}

	// savedPin is a pin in a snapshot.
	savedPin struct {
		Pin pinner.Pin `cbor:"p"`
		// Used is in Unix nanoseconds.
		Used int64 `cbor:"u"`
	}
)

// pin stores p unless the session has a pin for the model, and returns the
// one that holds.
func (t *pinTable) pin(p pinner.Pin, at time.Time) pinner.Pin {
	k := keyOf(p)
	if old := t.pins.Get(k); old != nil {
		t.pins.Put(k, &pinned{version: old.version, used: max(old.used, at.UnixNano())})
		p.Version = old.version
		return p
	}
	t.add(p, at.UnixNano())
	return p
}

// repin replaces old by p if old holds, or if the session has no pin any
// more, and returns the one that holds.
func (t *pinTable) repin(old, p pinner.Pin, at time.Time) pinner.Pin {
	k := keyOf(p)
	cur := t.pins.Get(k)
	if cur != nil && keyOf(old) == k && cur.version == old.Version {
		t.pins.Put(k, &pinned{version: p.Version, used: cur.used})
	}
	return t.pin(p, at)
}

// prune removes up to limit pins that were not used for the retention.
func (t *pinTable) prune(at time.Time, retention time.Duration, limit int) {
	if t.byUse == nil {
		return
	}
	oldest := at.Add(-retention).UnixNano()
	for range limit {
		top, ok := t.byUse.Peek()
		if !ok || top.used >= oldest {
			return
		}
		t.byUse.Pop()
		if p := t.pins.Get(top.key); p.used > top.used {
			t.byUse.Push(usedPin{used: p.used, key: top.key})
			continue
		}
		t.pins.Delete(top.key)
	}
}

func (t *pinTable) add(p pinner.Pin, used int64) {
	if t.byUse == nil {
		t.byUse = buffer.NewHeap(func(a, b usedPin) bool {
			return a.used < b.used || a.used == b.used && compareKeys(a.key, b.key) < 0
		})
	}
	k := keyOf(p)
	t.pins.Put(k, &pinned{version: p.Version, used: used})
	t.byUse.Push(usedPin{used: used, key: k})
}

// freeze returns a function that lists the pins as they are now.
func (t *pinTable) freeze() func() []savedPin {
	each, n := t.pins.Freeze(), t.pins.Len()
	return func() []savedPin {
		out := make([]savedPin, 0, n)
		each(func(k pinKey, v *pinned) {
			out = append(out, savedPin{Used: v.used, Pin: pinner.Pin{
				Workspace: k.workspace, Session: k.session, Model: k.model, Version: v.version,
			}})
		})
		return out
	}
}

func keyOf(p pinner.Pin) pinKey {
	return pinKey{workspace: p.Workspace, session: p.Session, model: p.Model}
}

func compareKeys(a, b pinKey) int {
	return cmp.Or(
		cmp.Compare(a.workspace, b.workspace),
		cmp.Compare(a.session, b.session),
		cmp.Compare(a.model, b.model),
	)
}
