// Package router takes one request from admission to the billed answer.
//
// # Usage
//
//	r := router.New(router.Options{
//		Host: name, Zone: zone, Clock: clock, Scope: scope,
//		Views: views, Upstreams: dialer, Claims: claims, Pins: pins, Bills: bills,
//	})
//	answer, err := r.Chat(ctx, &router.ChatRequest{...})
//	err = r.Stream(ctx, &router.ChatRequest{...}, sink)
//	answer, err := r.Call(ctx, &router.CallRequest{...})
//
// The interfaces of this file are what the request path needs from the rest
// of a host; package messenger implements them over the network and tests use
// small fakes. Those of decisions.go (Limiter, Chooser, Picker and others)
// have simple defaults in this package. Package dialer implements Upstreams.
//
// A request passes admission, session, plan, replica and attempt. An attempt
// is followed by another only if it did not run or its request may be
// repeated, and a refusal says "not run" only if no attempt may have run.
package router

import (
	"context"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/declarer"
	"foxtailwall/pinner"
)

type (
	// Views gives the configuration in force on this host.
	Views interface {
		// Catalog returns the newest configuration, or nil before the first.
		Catalog() *declarer.Catalog
		// Leased reports whether this host's lease is valid. Without it,
		// versions in rollout and models that refuse when cut off are not
		// used.
		Leased() bool
	}

	// Claims is the control group's table of claims. Every error means that
	// the call may or may not have taken effect, except a *refuser.Refusal
	// with code NoQuorum, which means that it did not.
	Claims interface {
		Claim(ctx context.Context, r claimer.Request) (claimer.Result, error)
		// Finish stores the response of a granted claim.
		Finish(ctx context.Context, k claimer.Key, requestID string, resp claimer.Response) error
		// Release removes a granted claim whose request provably did not run.
		Release(ctx context.Context, k claimer.Key, requestID string) error
	}

	// Pins is the control group's table of pins.
	Pins interface {
		// Pin stores p unless the session has a pin for the model, and
		// returns the pin that holds.
		Pin(ctx context.Context, p pinner.Pin) (pinner.Pin, error)
		// Repin replaces old by p; when another pin holds by now, that one is
		// returned and kept.
		Repin(ctx context.Context, old, p pinner.Pin) (pinner.Pin, error)
	}

	// Bills takes billing records.
	Bills interface {
		// Hold returns once two hosts hold the record, or once it is known
		// that no second host can be reached; held tells which.
		Hold(ctx context.Context, r biller.Record) (held bool, err error)
	}
)
