// Package tracker keeps the list of upstreams that a platform publishes.
//
// The list lags and names upstreams by incarnation: a start of a process has
// an identity of its own, and an address may be used again by another service.
// An upstream that was once seen leaving stays so for the rest of its
// incarnation.
//
// # Usage
//
//	var inv tracker.Inventory
//	if inv.Update(list) {
//		// inv.List() is to be told to other hosts.
//	}
package tracker

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

type (
	// Upstream is one incarnation of an upstream.
	Upstream struct {
		// ID identifies the incarnation together with Born.
		ID string `cbor:"id"`
		// Born is when the incarnation started, in Unix milliseconds; zero
		// where the platform does not say.
		Born    int64          `cbor:"born,omitempty"`
		Service string         `cbor:"service"`
		Address netip.AddrPort `cbor:"address"`
		Zone    string         `cbor:"zone"`
		// Version is that of the software or of the model's weights.
		Version string `cbor:"version"`
		// Slots is the number of requests that it processes at once.
		Slots int `cbor:"slots"`
		// Leaving upstreams get no new requests.
		Leaving bool `cbor:"leaving,omitempty"`
		// Cold is how much longer it is slow after its start.
		Cold time.Duration `cbor:"cold,omitempty"`
	}

	// Key identifies an incarnation.
	Key struct {
		ID      string         `cbor:"id"`
		Born    int64          `cbor:"born,omitempty"`
		Address netip.AddrPort `cbor:"address"`
	}

	// Inventory is the newest list. Its zero value is empty. It is not safe
	// for use by several goroutines.
	Inventory struct {
		list    []Upstream
		leaving map[Key]bool
		known   bool
	}
)

// Key returns the identity of the incarnation.
func (u Upstream) Key() Key { return Key{ID: u.ID, Born: u.Born, Address: u.Address} }

// Update takes over a complete list and reports whether anything but the
// remaining times has changed. It keeps and changes the slice.
func (v *Inventory) Update(list []Upstream) bool {
	if v.leaving == nil {
		v.leaving = make(map[Key]bool)
	}
	present := make(map[Key]bool, len(list))
	for i := range list {
		k := list[i].Key()
		present[k] = true
		if list[i].Leaving {
			v.leaving[k] = true
		}
		list[i].Leaving = v.leaving[k]
	}
	for k := range v.leaving {
		if !present[k] {
			delete(v.leaving, k)
		}
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	changed := !v.known || !slices.EqualFunc(list, v.list, func(a, b Upstream) bool {
		a.Cold, b.Cold = 0, 0
		return a == b
	})
	v.list, v.known = list, true
	return changed
}

// List returns the newest list; it must not be changed.
func (v *Inventory) List() []Upstream { return v.list }

// Known reports whether a list has been taken over.
func (v *Inventory) Known() bool { return v.known }
