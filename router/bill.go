package router

import (
	"context"
	"time"

	"foxtailwall/biller"
	"foxtailwall/declarer"
)

// billStep prices one run of a version.
func (c *chat) billStep(ref declarer.VersionRef, u Usage) biller.Step {
	s := biller.Step{Model: ref.Model, Version: ref.Version, InputTokens: u.Input, OutputTokens: u.Output}
	if v := c.catalog.Version(ref); v != nil {
		s.CostNanos = u.Input*v.Price.InputNanos + u.Output*v.Price.OutputNanos
	}
	return s
}

func (c *chat) record(e biller.Ending, at time.Time) biller.Record {
	rec := biller.Record{
		ID: c.id, Revision: 1, Workspace: c.workspace.Name, Member: c.member, Steps: c.steps, Ending: e, At: at,
	}
	for _, s := range c.steps {
		rec.CostNanos += s.CostNanos
	}
	return rec
}

// bill waits until two hosts hold the record, or until that is known to be
// impossible. A caller who leaves does not end the wait.
func (r *Router) bill(ctx context.Context, rec biller.Record) {
	bounded, release := within(context.WithoutCancel(ctx), r.o.Clock, holdWait)
	defer release()
	if _, err := r.o.Bills.Hold(bounded, rec); err != nil {
		r.o.Scope.Counter("billing.failed").Inc(1)
	}
}
