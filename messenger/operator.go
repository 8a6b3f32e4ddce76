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
	// OperatorClient is an operator's client of the control group. Peers and Clock
	// are required.
	OperatorClient struct {
		// Peers are the control hosts.
		Peers []*Peer
		Clock timekeeper.Clock
		Scope counter.Scope
		hint  leaderHint
	}

	// LedgerExport is the content of the ledger.
	LedgerExport struct {
		Totals []biller.Total `json:"totals"`
		// Refused is the number of deliveries that the ledger rejected.
		Refused int64           `json:"refused"`
		Records []biller.Record `json:"records"`
	}
)

// Apply submits a change. After an *UncertainError the same change may be sent
// again with the same change ID and gets its first answer.
func (o *OperatorClient) Apply(ctx context.Context, a controller.Apply) (*controller.ApplyResult, error) {
	return callLeader[applyRequest, controller.ApplyResult](ctx, o.newLeaderCaller(), procApply, &applyRequest{Change: a})
}

// Evacuate starts or ends the evacuation of a zone. A repeated order has no effect, so
// that it may be sent again after an *UncertainError.
func (o *OperatorClient) Evacuate(ctx context.Context, order controller.EvacuationOrder) (*controller.EvacuationResult, error) {
	return callLeader[evacuateRequest, controller.EvacuationResult](ctx, o.newLeaderCaller(), procEvacuate, &evacuateRequest{Order: order})
}

// Show returns the configuration and up to history changes. With local it
// returns the state of the first reachable control host, which may be
// outdated.
func (o *OperatorClient) Show(ctx context.Context, history int, local bool) (*ShowResult, error) {
	return callReadOnly[showRequest, ShowResult](ctx, o, procShow, &showRequest{History: history, Local: local})
}

// Status returns the state of the deployment. With local it returns the state
// of the first reachable control host, which may be outdated.
func (o *OperatorClient) Status(ctx context.Context, local bool) (*Status, error) {
	return callReadOnly[statusRequest, Status](ctx, o, procStatus, &statusRequest{Local: local})
}

// Export returns the ledger. The error is a *refuser.Refusal, a *CallError or
// a *controller.NotLeaderError.
func (o *OperatorClient) Export(ctx context.Context) (*LedgerExport, error) {
	ctx, cancel := withTimeout(ctx, o.Clock, DefaultLeaderTimeout)
	defer cancel()
	for {
		var last error
		for _, p := range o.hint.orderPeers(o.Peers) {
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

// callReadOnly calls a procedure that changes nothing, so that a call of
// unknown outcome can be refused as not run.
func callReadOnly[Req, Res any](ctx context.Context, o *OperatorClient, name string, req *Req) (*Res, error) {
	res, err := callLeader[Req, Res](ctx, o.newLeaderCaller(), name, req)
	var unknown *UncertainError
	if errors.As(err, &unknown) {
		return nil, noQuorum(unknown.Err)
	}
	return res, err
}

func exportFrom(ctx context.Context, p *Peer) (*LedgerExport, error) {
	s, err := Stream[exportRequest, exportPart](ctx, p, procExport, &exportRequest{})
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }() // The stream has been read to its end or failed.
	out := &LedgerExport{}
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

func (o *OperatorClient) newLeaderCaller() *leaderCaller {
	return &leaderCaller{peers: o.Peers, hint: &o.hint, clock: o.Clock, leaderTimeout: DefaultLeaderTimeout}
}
