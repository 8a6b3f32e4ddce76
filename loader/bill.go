package loader

import (
	"slices"
	"time"

	"foxtailwall/biller"
	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/refuser"
)

// checkBills compares the ledger with the answers and the runs: a whole answer
// is billed once, to the caller's member, for steps that engines ran and at
// their prices; a request refused as not run is not billed.
func (a *Audit) checkBills(v *Verdict, x index) {
	c := &v.Promises[3]
	ledger := make(map[string][]biller.Record, len(a.ledger))
	for _, r := range a.ledger {
		ledger[r.ID] = append(ledger[r.ID], r)
	}
	for i := range a.results {
		r := &a.results[i]
		ids := r.ids()
		if len(ids) == 0 {
			continue
		}
		var bills []biller.Record
		for _, id := range ids {
			bills = append(bills, ledger[id]...)
		}
		switch {
		case len(bills) > 1 && (r.Answered || r.booking()):
			v.BillsDoubled++
			c.note(true, "request %d (%v) has %d bills", r.Index, ids, len(bills))
		case r.Answered && len(bills) == 0:
			v.BillsMissing++
			c.note(true, "request %d (%v) was answered by entry %d at %s and has no bill",
				r.Index, ids, r.last().Entry, r.last().Ended.Format(time.StampMilli))
		case r.wrongBill(bills, x) || a.wrongPrice(bills):
			v.BillsWrong++
			c.note(true, "request %d (%v) of %s/%s has a wrong bill: %+v", r.Index, ids, r.Workspace.Name, r.Member.Name, bills[0])
		default:
			c.note(false, "")
		}
	}
}

// wrongPrice reports whether a bill is not the sum of its steps at the prices
// of their versions.
func (a *Audit) wrongPrice(bills []biller.Record) bool {
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

// ids returns the request IDs of the attempts, without repetition, and that of
// a run whose response was lost and came from the store later.
func (r *Result) ids() []string {
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

// wrongBill reports whether one of the bills names another payer, charges for
// a refusal as not run or contains a step that no engine ran.
func (r *Result) wrongBill(bills []biller.Record, x index) bool {
	notRun := !slices.ContainsFunc(r.Attempts, func(t Attempt) bool { return t.Outcome != refuser.NotRun })
	for _, b := range bills {
		if b.Workspace != r.Workspace.Name || b.Member != r.Member.Name {
			return true
		}
		if notRun && b.CostNanos > 0 {
			return true
		}
		if r.model() && !stepsRan(b.Steps, x.runs[r.Digest]) {
			return true
		}
	}
	return false
}

// stepsRan reports whether each step has a run of its own with the same
// version and prompt tokens and at least its answer tokens.
func stepsRan(steps []biller.Step, runs []emulator.Run) bool {
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
