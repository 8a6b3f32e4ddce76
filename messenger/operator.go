package messenger

import (
	"context"

	"github.com/cockroachdb/errors"

	"foxtailwall/biller"
	"foxtailwall/controller"
	"foxtailwall/counter"
	"foxtailwall/timekeeper"
)

type (
	// Operator is an operator's client of the control group. Its zero value
	// needs Peers and Clock.
	Operator struct {
		// Peers are the control hosts.
		Peers []*Peer
		Clock timekeeper.Clock
		Scope counter.Scope
		turn  turn
	}

	// Exported is the ledger.
	Exported struct {
		Totals []biller.Total `json:"totals"`
		// Refused counts the deliveries that were not counted.
		Refused int64           `json:"refused"`
		Records []biller.Record `json:"records"`
	}
)

// Apply sends a change. After an *UncertainError the same change, under the
// same change ID, may be sent again and gets its first answer.
func (o *Operator) Apply(ctx context.Context, a controller.Apply) (*controller.Applied, error) {
	return callLeader[applyRequest, controller.Applied](ctx, o.caller(), procApply, &applyRequest{Change: a})
}

// Show returns the configuration and up to history changes. With local it is
// what the first reachable control host has, which may be old.
func (o *Operator) Show(ctx context.Context, history int, local bool) (*Shown, error) {
	return read[showRequest, Shown](ctx, o, procShow, &showRequest{History: history, Local: local})
}

// Status returns the state of the deployment. With local it is what the first
// reachable control host has, which may be old.
func (o *Operator) Status(ctx context.Context, local bool) (*Status, error) {
	return read[statusRequest, Status](ctx, o, procStatus, &statusRequest{Local: local})
}

// Export returns the ledger. The error is a *refuser.Refusal, a *CallError or
// a *controller.NotLeaderError.
func (o *Operator) Export(ctx context.Context) (*Exported, error) {
	ctx, cancel := withTimeout(ctx, o.Clock, DefaultPatience)
	defer cancel()
	for {
		var last error
		for _, p := range o.turn.order(o.Peers) {
			out, err := exportFrom(ctx, p)
			if err == nil {
				return out, nil
			}
			last = err
		}
		if err := timekeeper.Sleep(ctx, o.Clock, roundPause); err != nil {
			return nil, noQuorum(last)
		}
	}
}

// read asks for something that changes nothing, so that every failure is
// without effect.
func read[Req, Res any](ctx context.Context, o *Operator, name string, req *Req) (*Res, error) {
	res, err := callLeader[Req, Res](ctx, o.caller(), name, req)
	var unknown *UncertainError
	if errors.As(err, &unknown) {
		return nil, noQuorum(unknown.Err)
	}
	return res, err
}

func exportFrom(ctx context.Context, p *Peer) (*Exported, error) {
	s, err := Stream[exportRequest, exportPart](ctx, p, procExport, &exportRequest{})
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }() // The stream has been read to its end or failed.
	out := &Exported{}
	for {
		part, err := s.Receive()
		switch {
		case err != nil:
			return nil, err
		case part.NotLeader:
			return nil, &controller.NotLeaderError{}
		}
		out.Totals = append(out.Totals, part.Totals...)
		out.Refused += part.Refused
		out.Records = append(out.Records, part.Records...)
		if part.Last {
			return out, nil
		}
	}
}

func (o *Operator) caller() *leaderCaller {
	return &leaderCaller{peers: o.Peers, turn: &o.turn, clock: o.Clock, patience: DefaultPatience}
}
