package router

import (
	"context"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/declarer"
	"foxtailwall/pinner"
)

type (
	// Views provides the configuration in force on this host.
	Views interface {
		// Catalog returns the newest configuration, or nil if none has arrived
		// yet.
		Catalog() *declarer.Catalog
		// Leased reports whether the lease of this host is valid. Without a valid
		// lease, versions in rollout and models with CutOffRefuse are not used.
		Leased() bool
	}

	// Claims is the claims table of the control group. After a *refuser.Refusal
	// with code NoQuorum a call had no effect; after any other error it may have
	// had.
	Claims interface {
		// Claim requests a claim and returns its state.
		Claim(ctx context.Context, r claimer.Request) (claimer.Result, error)
		// Finish stores the response of a granted claim.
		Finish(ctx context.Context, k claimer.Key, requestID string, resp claimer.Response) error
		// Release removes a granted claim whose request provably did not run.
		Release(ctx context.Context, k claimer.Key, requestID string) error
	}

	// Pins is the pins table of the control group.
	Pins interface {
		// Pin stores p unless the session has a pin for the model, and returns
		// the stored pin.
		Pin(ctx context.Context, p pinner.Pin) (pinner.Pin, error)
		// Repin replaces old with p. If the session has a pin other than old by
		// then, Repin keeps and returns that one.
		Repin(ctx context.Context, old, p pinner.Pin) (pinner.Pin, error)
	}

	// Bills stores billing records.
	Bills interface {
		// Hold returns once two hosts store the record, with held true, or once
		// it is known that no second host can be reached, with held false.
		Hold(ctx context.Context, r biller.Record) (held bool, err error)
	}
)
