// Package pinner keeps sessions on their version: by a signed token that the
// caller returns, or by a pin in the control group for callers that send only
// a session ID of their own.
//
// # Usage
//
//	signer := pinner.Signer{Keys: keys, Clock: clock}
//	token, err := signer.Sign(pin)
//	pin, err := signer.Verify(token)
//
// Pins that the control group has confirmed are kept on the host:
//
//	cache := pinner.NewCache(clock, 0, 0)
//	cache.Put(pin)
//	pin, ok := cache.Get(workspace, session, model)
//
// A rollout assigns sessions by a stable hash:
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
