// Package tracker stores the list of upstreams that a platform publishes.
//
// The list lags behind, and its entries are incarnations: each start of an
// upstream's process is a new one, and an address may be reused by another
// service. An incarnation that was once listed as leaving stays marked so as
// long as it is listed.
//
// # Usage
//
//	var inv tracker.Inventory
//	if inv.Update(list) {
//		// Send inv.List() to other hosts.
//	}
package tracker

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Upstream is one incarnation of an upstream.
	Upstream struct {
		// ID may stay the same when the process restarts.
		ID string `cbor:"id"`
		// StartedAt is when the process started, in Unix milliseconds; 0 if the
		// platform does not report it.
		StartedAt int64          `cbor:"born,omitempty"`
		Service   string         `cbor:"service"`
		Address   netip.AddrPort `cbor:"address"`
		Zone      string         `cbor:"zone"`
		// Version is the version of the software or of the model's weights.
		Version string `cbor:"version"`
		// Slots is the number of requests that the upstream processes at once.
		Slots int `cbor:"slots"`
		// Leaving upstreams are shutting down and get no new requests.
		Leaving bool `cbor:"leaving,omitempty"`
		// ColdLeft is for how much longer the upstream is slow after its start.
		ColdLeft time.Duration `cbor:"cold,omitempty"`
	}

	// Key identifies an incarnation.
	Key struct {
		ID        string         `cbor:"id"`
		StartedAt int64          `cbor:"born,omitempty"`
		Address   netip.AddrPort `cbor:"address"`
	}

	// Inventory stores the newest list. Its zero value is ready to use. It is
	// not safe for use by several goroutines.
	Inventory struct {
		list    []Upstream
		leaving map[Key]bool
		known   bool
	}
)

// Key returns the identity of the incarnation.
func (u Upstream) Key() Key { return Key{ID: u.ID, StartedAt: u.StartedAt, Address: u.Address} }

// Hash returns a hash of the identity, which differs between incarnations with the
// same ID.
func (k Key) Hash() uint64 {
	d := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(k.ID)
	_, _ = d.WriteString(k.Address.String())
	_, _ = d.WriteString(time.UnixMilli(k.StartedAt).UTC().String())
	return d.Sum64()
}

// Update replaces the list by a complete new one and reports whether anything
// but Upstream.ColdLeft has changed. It takes ownership of the slice and sorts
// it by ID.
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
		a.ColdLeft, b.ColdLeft = 0, 0
		return a == b
	})
	v.list, v.known = list, true
	return changed
}

// List returns the newest list. The caller must not modify it.
func (v *Inventory) List() []Upstream { return v.list }

// Known reports whether Update has been called.
func (v *Inventory) Known() bool { return v.known }
