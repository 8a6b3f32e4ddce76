package loader

import (
	"slices"
	"time"

	"foxtailwall/biller"
	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/refuser"
)

// checkBills checks promise 4 by comparing the ledger with the answers and the
// runs. A complete answer must be billed once, to the caller's member, for steps
// that engines ran and at their prices. A request refused as notRun must not be
// charged.
func (a *Audit) checkBills(v *Verdict, byDigest runIndex) {
	c := &v.Promises[3]
	ledger := make(map[string][]biller.Record, len(a.ledger))
	for _, r := range a.ledger {
		ledger[r.ID] = append(ledger[r.ID], r)
	}
	for i := range a.results {
		r := &a.results[i]
		ids := r.requestIDs()
		if len(ids) == 0 {
			continue
		}
		var bills []biller.Record
		for _, id := range ids {
			bills = append(bills, ledger[id]...)
		}
		switch {
		case len(bills) > 1 && (r.Answered || r.isBooking()):
			v.BillsDoubled++
			c.addCase(true, "request %d (%v) has %d bills", r.Index, ids, len(bills))
		case r.Answered && len(bills) == 0:
			v.BillsMissing++
			c.addCase(true, "request %d (%v) was answered by entry %d at %s and has no bill",
				r.Index, ids, r.lastAttempt().Entry, r.lastAttempt().Ended.Format(time.StampMilli))
		case r.hasWrongBill(bills, byDigest) || a.hasWrongPrice(bills):
			v.BillsWrong++
			c.addCase(true, "request %d (%v) of %s/%s has a wrong bill: %+v", r.Index, ids, r.Workspace.Name, r.Member.Name, bills[0])
		default:
			c.addCase(false, "")
		}
	}
}

// hasWrongPrice reports whether the cost of a bill differs from the sum of its
// steps at the prices of their versions.
func (a *Audit) hasWrongPrice(bills []biller.Record) bool {
	if a.conf.Prices == nil {
		return false
	}
	for _, b := range bills {
		if len(b.Steps) == 0 {
			continue // a call of a plain service
		}
		sum := int64(0)
		for _, s := range b.Steps {
			p := a.conf.Prices[declarer.VersionRef{Model: s.Model, Version: s.Version}]
			sum += s.InputTokens*p.InputNanos + s.OutputTokens*p.OutputNanos
		}
		if b.CostNanos != sum {
			return true
		}
	}
	return false
}

// requestIDs returns the distinct IDs under which the request may be billed:
// those of its attempts, and that of the earlier run if the response came from
// the response store.
func (r *Result) requestIDs() []string {
	var out []string
	for _, t := range r.Attempts {
		for _, id := range []string{t.RequestID, t.StoredID} {
			if id != "" && !slices.Contains(out, id) {
				out = append(out, id)
			}
		}
	}
	return out
}

// hasWrongBill reports whether a bill names another payer, charges for a request
// refused as notRun or contains a step that no engine ran.
func (r *Result) hasWrongBill(bills []biller.Record, byDigest runIndex) bool {
	notRun := !slices.ContainsFunc(r.Attempts, func(t Attempt) bool { return t.Outcome != refuser.NotRun })
	for _, b := range bills {
		if b.Workspace != r.Workspace.Name || b.Member != r.Member.Name {
			return true
		}
		if notRun && b.CostNanos > 0 {
			return true
		}
		if r.isModelRequest() && !stepsMatchRuns(b.Steps, byDigest.runs[r.Digest]) {
			return true
		}
	}
	return false
}

// stepsMatchRuns reports whether each step matches a separate run of the same
// version with the same input tokens and at least as many output tokens.
func stepsMatchRuns(steps []biller.Step, runs []emulator.Run) bool {
	left := slices.Clone(runs)
	for _, s := range steps {
		i := slices.IndexFunc(left, func(r emulator.Run) bool {
			return r.Model == s.Model && r.Version == s.Version && int64(r.Input) == s.InputTokens && int64(r.Output) >= s.OutputTokens
		})
		if i < 0 {
			return false
		}
		left = slices.Delete(left, i, i+1)
	}
	return true
}
