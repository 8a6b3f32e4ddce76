// Package pinner keeps each session on the version of a model that it started
// with. The version is stored in a signed token that the caller sends back, or
// as a pin in the control group if the caller sends only its own session ID.
//
// # Usage
//
//	signer := pinner.Signer{Keys: keys, Clock: clock}
//	token, err := signer.Sign(pin)
//	pin, err := signer.Verify(token)
//
// A host caches the pins that the control group has confirmed:
//
//	cache := pinner.NewCache(clock, 0, 0)
//	cache.Put(pin)
//	pin, ok := cache.Get(workspace, session, model)
//
// A rollout assigns sessions to its version by a stable hash:
//
//	if pinner.Assigned(ref, session, progress.Share) { ... }
package pinner

import "foxtailwall/declarer"

// Pin ties a session to a version of a model. A session has one pin for each
// model it uses.
type Pin struct {
	Workspace string `cbor:"workspace"`
	Session   string `cbor:"session"`
	Model     string `cbor:"model"`
	Version   string `cbor:"version"`
}

// Ref returns the pinned version.
func (p Pin) Ref() declarer.VersionRef {
	return declarer.VersionRef{Model: p.Model, Version: p.Version}
}
