// Package claimer implements durable claims on idempotency keys, which make a
// non-idempotent request run at most once.
//
// A host claims the caller's idempotency key in the control group before it
// sends the first byte upstream. A request that finds the key claimed by another
// request does not run: it waits, returns the stored response or reports that
// the outcome is unknown.
//
// # Usage
//
//	res, err := claims.Claim(ctx, claimer.Request{Key: key, Digest: sum, Owner: host, RequestID: id, Timeout: d})
//	switch res.State {
//	case claimer.Granted: // run the request, then Finish or Release
//	case claimer.Running: // another request owns the claim, retry later
//	case claimer.Finished: // res.Response is the stored response
//	case claimer.Lost: // the outcome is unknown
//	}
//
// A request must not claim again under the same request ID once it has released
// the claim: a release still in flight would free the claim while the request
// runs.
//
// The control group stores the claims in a Table, which takes the time as a
// parameter, so that it gives the same answers on every host:
//
//	var t claimer.Table
//	res := t.Claim(req, now, window)
//	t.Finish(key, requestID, response)
//	t.Prune(now, window, limit)
package claimer

import "time"

// States of a claim.
const (
	// Granted means that the claiming request owns the claim and must run.
	Granted State = "granted"
	// Running means that another request owns the claim and its deadline has
	// not passed.
	Running State = "running"
	// Finished means that the request ran and its response is stored.
	Finished State = "finished"
	// Lost means that the request may have run and no response is stored.
	Lost State = "lost"
	// Reused means that the key was used before with another method, path or
	// body.
	Reused State = "reused"
	// Expired means that the key is older than the retention window or no newer
	// than a pruned key.
	Expired State = "expired"
	// Invalid means that the key is not a UUIDv7 or that its time is more than
	// MaxAhead in the future.
	Invalid State = "invalid"
	// Released means that the claiming request has already released the claim.
	// A claim that arrives after its own release is a late duplicate; if it
	// were granted, no request would run for it.
	Released State = "released"
)

// MaxResponse is the size in bytes of the largest response body that is
// stored. A larger body is dropped and Response.Truncated is set.
const MaxResponse = 64 << 10

type (
	// State is the state of a claim as seen by one request.
	State string

	// Key identifies a claim.
	Key struct {
		Workspace string `cbor:"workspace"`
		Service   string `cbor:"service"`
		// Key is the caller's Idempotency-Key, a UUIDv7.
		Key string `cbor:"key"`
	}

	// Request is a request to claim a key.
	Request struct {
		Key Key `cbor:"key"`
		// Digest is the SHA-256 of method, path and body.
		Digest [32]byte `cbor:"digest"`
		// RequestID identifies the request that will run; it is billed under
		// this ID.
		RequestID string `cbor:"requestId"`
		// Owner is the name of the host that claims.
		Owner string `cbor:"owner"`
		// Timeout is the time within which the run must end.
		Timeout time.Duration `cbor:"timeout"`
	}

	// Result is the answer to a Request.
	Result struct {
		State State `cbor:"state"`
		// RequestID identifies the request that owns the claim.
		RequestID string    `cbor:"requestId"`
		Response  *Response `cbor:"response,omitempty"`
	}

	// Response is the stored response of a finished claim.
	Response struct {
		Status int    `cbor:"status"`
		Type   string `cbor:"type,omitempty"`
		Body   []byte `cbor:"body,omitempty"`
		// Truncated says that the body exceeded MaxResponse and was dropped.
		Truncated bool `cbor:"truncated,omitempty"`
	}
)
