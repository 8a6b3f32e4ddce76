package router

import (
	"context"
	"time"

	"foxtailwall/biller"
	"foxtailwall/declarer"
)

// billingStep returns the billing step for one run of a version, with its
// price in nanos. A version that is no longer declared costs nothing.
func (c *chat) billingStep(ref declarer.VersionRef, u Usage) biller.Step {
	s := biller.Step{Model: ref.Model, Version: ref.Version, InputTokens: u.Input, OutputTokens: u.Output}
	if v := c.catalog.Version(ref); v != nil {
		s.CostNanos = u.Input*v.Price.InputNanos + u.Output*v.Price.OutputNanos
	}
	return s
}

// billingRecord returns the record of the steps that ran so far.
func (c *chat) billingRecord(e biller.Ending, at time.Time) biller.Record {
	rec := biller.Record{
		ID: c.id, Revision: 1, Workspace: c.workspace.Name, Member: c.member, Steps: c.steps, Ending: e, At: at,
	}
	for _, s := range c.steps {
		rec.CostNanos += s.CostNanos
	}
	return rec
}

// holdBill waits until two hosts hold the record, until no second host can be
// reached, or until billHoldTimeout passes. The wait continues if the caller
// disconnects.
func (r *Router) holdBill(ctx context.Context, rec biller.Record) {
	bounded, release := withTimeout(context.WithoutCancel(ctx), r.opts.Clock, billHoldTimeout)
	defer release()
	if _, err := r.opts.Bills.Hold(bounded, rec); err != nil {
		r.opts.Scope.Counter("billing.failed").Inc(1)
	}
}
