package loader

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"foxtailwall/biller"
	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/refuser"
)

const (
	defaultLeaveGrace  = 3 * time.Second
	defaultConfigBound = 4 * time.Second
	// maxExamples bounds the examples kept for each promise.
	maxExamples = 5
	// Promises is the number of promises of docs/design.md, section 2.
	Promises = 10
)

type (
	// AuditConfig holds the bounds of the checks. Zero fields take defaults.
	AuditConfig struct {
		// LeaveGrace is the time after which a leaving upstream must get no
		// new work.
		LeaveGrace time.Duration
		// ConfigBound is the time within which an accepted configuration must
		// be in force on every host.
		ConfigBound time.Duration
		// Prices, if set, are checked against the cost of billed steps.
		Prices map[declarer.VersionRef]declarer.Price
	}

	// Audit checks the promises of docs/design.md, section 2, from what
	// callers received, what upstreams ran and the exported ledger. It is safe
	// for use by several goroutines.
	Audit struct {
		conf AuditConfig

		mu          sync.Mutex
		results     []Result
		runs        []emulator.Run
		services    []emulator.ServiceRun
		late        []time.Duration
		leaveSeen   int
		ledger      []biller.Record
		hasLedger   bool
		withdrawals []withdrawal
		shutdowns   []shutdown
		accepted    map[uint64]time.Time
		force       []inForce
	}

	withdrawal struct {
		ref declarer.VersionRef
		at  time.Time
	}

	shutdown struct {
		entry    int
		from, to time.Time
	}

	inForce struct {
		host    string
		version uint64
		at      time.Time
	}

	// Count is the result of the checks of one promise.
	Count struct {
		Promise int    `json:"promise"`
		Name    string `json:"name"`
		// Checked is the number of cases that the check looked at; zero means
		// that the run did not exercise the promise.
		Checked int `json:"checked"`
		// Broken is the number of cases in which the promise did not hold.
		Broken int `json:"broken"`
		// Examples describe the first broken cases.
		Examples []string `json:"examples,omitempty"`
	}

	// Verdict is the result of an audit.
	Verdict struct {
		Promises [Promises]Count `json:"promises"`
		// BillsMissing, BillsDoubled and BillsWrong add up to the broken cases
		// of promise 4.
		BillsMissing int `json:"billsMissing"`
		BillsDoubled int `json:"billsDoubled"`
		BillsWrong   int `json:"billsWrong"`
		// AnswersPartial and AnswersForeign add up to those of promise 5.
		AnswersPartial int `json:"answersPartial"`
		AnswersForeign int `json:"answersForeign"`
		// DoubledRuns counts the bookings that ran more than once.
		DoubledRuns int `json:"doubledRuns"`
		// Exposed counts the requests that ran on a bad version.
		Exposed int `json:"exposed"`
	}

	// index holds the material of an audit by prompt digest.
	index struct {
		runs     map[string][]emulator.Run
		services map[string][]emulator.ServiceRun
	}
)

var promiseNames = [Promises]string{
	"runs only on an allowed version",
	"a withdrawn version gets no new work",
	"a session keeps its version",
	"billed once, to the right member",
	"the caller gets its own whole response",
	"notRun is accurate",
	"a non-idempotent request runs at most once",
	"a leaving upstream gets no new work",
	"a graceful shutdown interrupts no request",
	"a configuration is in force in time and never reverts",
}

// NewAudit returns an empty audit.
func NewAudit(conf AuditConfig) *Audit {
	if conf.LeaveGrace <= 0 {
		conf.LeaveGrace = defaultLeaveGrace
	}
	if conf.ConfigBound <= 0 {
		conf.ConfigBound = defaultConfigBound
	}
	return &Audit{conf: conf, accepted: make(map[uint64]time.Time)}
}

// Result adds what a caller got. The prompt is not kept.
func (a *Audit) Result(r Result) {
	r.Prompt = ""
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results = append(a.results, r)
}

// Engine adds what an engine ran, and how long after it began to leave later
// work arrived (emulator.Engine's Ran and RefusedArrivals). Each run is added
// once.
func (a *Audit) Engine(runs []emulator.Run, late []time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(a.runs, runs...)
	a.late = append(a.late, late...)
}

// Service adds what a plain service ran, as Engine does. The runs of replicas
// that share a book are added once.
func (a *Audit) Service(runs []emulator.ServiceRun, late []time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.services = append(a.services, runs...)
	a.late = append(a.late, late...)
}

// Ledger adds the exported ledger. Without it, promise 4 is not checked.
func (a *Audit) Ledger(records []biller.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger = append(a.ledger, records...)
	a.hasLedger = true
}

// Withdrawn says that from that time on the version must get no new work.
func (a *Audit) Withdrawn(ref declarer.VersionRef, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdrawals = append(a.withdrawals, withdrawal{ref, at})
}

// Left says that an upstream was told to leave, so that promise 8 was
// exercised even if no work came late.
func (a *Audit) Left() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaveSeen++
}

// Shutdown says that the entry with that index was shut down gracefully.
func (a *Audit) Shutdown(entry int, from, to time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shutdowns = append(a.shutdowns, shutdown{entry, from, to})
}

// Accepted says when a configuration version was accepted.
func (a *Audit) Accepted(version uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accepted[version] = at
}

// InForce adds an observation of the configuration version in force on a live
// host. Observations of one host are added in order.
func (a *Audit) InForce(host string, version uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.force = append(a.force, inForce{host, version, at})
}

// Results returns what callers got so far.
func (a *Audit) Results() []Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.results)
}

// Runs returns what engines ran, as far as it was added.
func (a *Audit) Runs() []emulator.Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.runs)
}

// Verdict checks everything that was added so far.
func (a *Audit) Verdict() Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	var v Verdict
	for i := range v.Promises {
		v.Promises[i] = Count{Promise: i + 1, Name: promiseNames[i]}
	}
	x := index{runs: make(map[string][]emulator.Run), services: make(map[string][]emulator.ServiceRun)}
	for _, r := range a.runs {
		x.runs[r.Digest] = append(x.runs[r.Digest], r)
	}
	for _, r := range a.services {
		x.services[r.Digest] = append(x.services[r.Digest], r)
	}
	a.checkAllowed(&v, x)
	a.checkWithdrawn(&v)
	a.checkSessions(&v, x)
	if a.hasLedger {
		a.checkBills(&v, x)
	}
	a.checkAnswers(&v)
	a.checkNotRun(&v, x)
	a.checkOnce(&v, x)
	a.checkLeaving(&v)
	a.checkShutdowns(&v)
	a.checkConfig(&v)
	for _, runs := range x.runs {
		if slices.ContainsFunc(runs, func(r emulator.Run) bool { return r.Bad }) {
			v.Exposed++
		}
	}
	return v
}

// Broken returns the number of broken cases of all promises.
func (v Verdict) Broken() int {
	n := 0
	for _, c := range v.Promises {
		n += c.Broken
	}
	return n
}

// note counts one checked case; with a format it is a broken one.
func (c *Count) note(broken bool, format string, args ...any) {
	c.Checked++
	if !broken {
		return
	}
	c.Broken++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

func (a *Audit) checkAllowed(v *Verdict, x index) {
	for i := range a.results {
		r := &a.results[i]
		if len(r.Workspace.Allowed) == 0 || !r.model() {
			continue
		}
		for _, run := range x.runs[r.Digest] {
			ref := declarer.VersionRef{Model: run.Model, Version: run.Version}
			v.Promises[0].note(!slices.Contains(r.Workspace.Allowed, ref),
				"request %d of %s ran on %s", r.Index, r.Workspace.Name, ref)
		}
	}
}

func (a *Audit) checkWithdrawn(v *Verdict) {
	for _, w := range a.withdrawals {
		for _, run := range a.runs {
			if !run.Arrived.After(w.at) {
				continue
			}
			v.Promises[1].note(run.Model == w.ref.Model && run.Version == w.ref.Version,
				"run %s reached %s %s after its withdrawal", run.RequestID, w.ref, run.Arrived.Sub(w.at))
		}
	}
}

// checkSessions allows a session the version of its first run and every
// version that a response named as a move, or that the caller accepted.
func (a *Audit) checkSessions(v *Verdict, x index) {
	type turn struct {
		run   emulator.Run
		moved bool
		index int
	}
	sessions := make(map[string][]turn)
	for i := range a.results {
		r := &a.results[i]
		if r.SessionKey == "" || !r.Answered {
			continue
		}
		for _, run := range x.runs[r.Digest] {
			k := r.Workspace.Name + "/" + r.SessionKey + "/" + run.Model
			sessions[k] = append(sessions[k], turn{run, r.last().Moved != "" || r.last().Accepted, r.Index})
		}
	}
	for _, turns := range sessions {
		slices.SortFunc(turns, func(a, b turn) int { return a.run.Arrived.Compare(b.run.Arrived) })
		known := map[string]bool{turns[0].run.Version: true}
		for _, t := range turns {
			known[t.run.Version] = known[t.run.Version] || t.moved
		}
		for _, t := range turns {
			v.Promises[2].note(!known[t.run.Version], "request %d moved to %s/%s without notice", t.index, t.run.Model, t.run.Version)
		}
	}
}

func (a *Audit) checkAnswers(v *Verdict) {
	for i := range a.results {
		r := &a.results[i]
		if !r.Answered {
			continue
		}
		foreign := r.Foreign || r.model() && r.Judgement.Digest != r.Digest
		partial := !foreign && r.model() && !r.Judgement.Intact
		switch {
		case foreign:
			v.AnswersForeign++
		case partial:
			v.AnswersPartial++
		}
		v.Promises[4].note(foreign || partial, "request %d (%s) got an answer that is foreign (%t) or not whole (%t)",
			r.Index, r.last().RequestID, foreign, partial)
	}
}

// checkNotRun looks at the requests with an attempt that was refused as not
// run. If every attempt was, no upstream may have run the request. For a model
// request none may have arrived during such an attempt; for a booking that does
// not follow, since an earlier attempt with the same key may still be on its
// way.
func (a *Audit) checkNotRun(v *Verdict, x index) {
	for i := range a.results {
		r := &a.results[i]
		if len(r.Attempts) == 0 || !r.model() && !r.booking() {
			continue
		}
		refused := 0
		during := false
		for _, t := range r.Attempts {
			if t.Outcome != refuser.NotRun {
				continue
			}
			refused++
			during = during || slices.ContainsFunc(x.runs[r.Digest], func(run emulator.Run) bool {
				return !run.Arrived.Before(t.Sent) && !run.Arrived.After(t.Ended)
			})
		}
		if refused == 0 {
			continue
		}
		n := len(x.runs[r.Digest]) + len(x.services[r.Digest])
		v.Promises[5].note(during || n > 0 && refused == len(r.Attempts),
			"request %d was refused as notRun (%s) but ran %d times", r.Index, r.last().Code, n)
	}
}

func (a *Audit) checkOnce(v *Verdict, x index) {
	for i := range a.results {
		r := &a.results[i]
		if !r.booking() {
			continue
		}
		n := len(x.services[r.Digest])
		if n > 1 {
			v.DoubledRuns++
		}
		v.Promises[6].note(n > 1 || r.Answered && n == 0, "booking %d (key %s, answered %t) ran %d times", r.Index, r.Key, r.Answered, n)
	}
}

func (a *Audit) checkLeaving(v *Verdict) {
	c := &v.Promises[7]
	c.Checked = a.leaveSeen
	for _, d := range a.late {
		c.note(d > a.conf.LeaveGrace, "work arrived %s after the upstream began to leave", d)
	}
}

func (a *Audit) checkShutdowns(v *Verdict) {
	for _, s := range a.shutdowns {
		for i := range a.results {
			for _, t := range a.results[i].Attempts {
				if t.Entry != s.entry || t.Sent.After(s.to) || t.Ended.Before(s.from) {
					continue
				}
				// A connection refused after the shutdown began interrupts
				// nothing, nor does a caller that gives up by itself.
				cut := t.Interrupted && !t.GaveUp && !t.Ended.After(s.to) && (t.Sent.Before(s.from) || t.Status != 0)
				v.Promises[8].note(cut, "request %d on entry %d was interrupted %s after the shutdown began and %s after it was sent",
					a.results[i].Index, t.Entry, t.Ended.Sub(s.from), t.Ended.Sub(t.Sent))
			}
		}
	}
}

func (a *Audit) checkConfig(v *Verdict) {
	newest := make(map[string]uint64)
	for _, f := range a.force {
		old := newest[f.host]
		newest[f.host] = max(old, f.version)
		behind := uint64(0)
		for version, at := range a.accepted {
			if version > f.version && f.at.Sub(at) > a.conf.ConfigBound {
				behind = max(behind, version)
			}
		}
		v.Promises[9].note(f.version < old || behind > 0, "host %s had version %d in force after %d (due: %d)", f.host, f.version, old, behind)
	}
}
