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
	// maxExamples limits the examples kept per promise.
	maxExamples = 5
	// Promises is the number of promises in docs/design.md, section 2.
	Promises = 10
)

type (
	// AuditConfig holds the limits of the checks. Zero durations take defaults.
	AuditConfig struct {
		// LeaveGrace is how long after an upstream starts to leave new work
		// may still reach it.
		LeaveGrace time.Duration
		// ConfigBound is the time within which an accepted configuration must
		// be in force on every host.
		ConfigBound time.Duration
		// Prices, if set, are checked against the cost of billed steps.
		Prices map[declarer.VersionRef]declarer.Price
	}

	// Audit checks the promises of docs/design.md, section 2, from what
	// callers received, what upstreams ran and the exported ledger. It is safe
	// for concurrent use.
	Audit struct {
		conf AuditConfig

		mu                 sync.Mutex
		results            []Result
		runs               []emulator.Run
		services           []emulator.ServiceRun
		lateArrivals       []time.Duration
		leavesStarted      int
		ledger             []biller.Record
		hasLedger          bool
		withdrawals        []withdrawal
		shutdowns          []shutdown
		acceptedAt         map[uint64]time.Time
		configObservations []configObservation
	}

	// withdrawal is a version withdrawn at a time.
	withdrawal struct {
		ref declarer.VersionRef
		at  time.Time
	}

	// shutdown is the start and end of an entry's graceful shutdown.
	shutdown struct {
		entry    int
		from, to time.Time
	}

	// configObservation is the configuration version of a host at a time.
	configObservation struct {
		host    string
		version uint64
		at      time.Time
	}

	// PromiseResult is the result of the checks of one promise.
	PromiseResult struct {
		Promise int    `json:"promise"`
		Name    string `json:"name"`
		// Checked is the number of cases examined; zero means that the run
		// did not exercise the promise.
		Checked int `json:"checked"`
		// Broken is the number of cases that violated the promise.
		Broken int `json:"broken"`
		// Examples describe the first broken cases.
		Examples []string `json:"examples,omitempty"`
	}

	// Verdict holds the result for each promise and totals over the run.
	Verdict struct {
		Promises [Promises]PromiseResult `json:"promises"`
		// BillsMissing, BillsDoubled and BillsWrong break down the violations
		// of promise 4.
		BillsMissing int `json:"billsMissing"`
		BillsDoubled int `json:"billsDoubled"`
		BillsWrong   int `json:"billsWrong"`
		// AnswersPartial and AnswersForeign break down the violations of
		// promise 5.
		AnswersPartial int `json:"answersPartial"`
		AnswersForeign int `json:"answersForeign"`
		// DoubledRuns counts the bookings that ran more than once.
		DoubledRuns int `json:"doubledRuns"`
		// Exposed counts the requests that ran on a bad version.
		Exposed int `json:"exposed"`
	}

	// runIndex groups runs by prompt digest.
	runIndex struct {
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
	return &Audit{conf: conf, acceptedAt: make(map[uint64]time.Time)}
}

// AddResult adds the result of one request without its prompt.
func (a *Audit) AddResult(r Result) {
	r.Prompt = ""
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results = append(a.results, r)
}

// AddEngineRuns adds the runs of a model engine and, for each request that arrived
// while it was leaving, the time since leaving began (Ran and RefusedArrivals of
// emulator.Engine). The caller must add each run only once.
func (a *Audit) AddEngineRuns(runs []emulator.Run, late []time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(a.runs, runs...)
	a.lateArrivals = append(a.lateArrivals, late...)
}

// AddServiceRuns adds the runs and late arrivals of a plain service, as AddEngineRuns
// does. Runs listed by several replicas that share a book must be added only once.
func (a *Audit) AddServiceRuns(runs []emulator.ServiceRun, late []time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.services = append(a.services, runs...)
	a.lateArrivals = append(a.lateArrivals, late...)
}

// AddLedger adds the exported ledger. Without it, promise 4 is not checked.
func (a *Audit) AddLedger(records []biller.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger = append(a.ledger, records...)
	a.hasLedger = true
}

// AddWithdrawal records that the version must get no new work after the given time.
func (a *Audit) AddWithdrawal(ref declarer.VersionRef, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdrawals = append(a.withdrawals, withdrawal{ref, at})
}

// AddLeave records that an upstream started to leave, so that promise 8 counts as
// exercised even if no work arrived afterwards.
func (a *Audit) AddLeave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leavesStarted++
}

// AddShutdown records the start and end of the graceful shutdown of the entry with
// that index.
func (a *Audit) AddShutdown(entry int, from, to time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shutdowns = append(a.shutdowns, shutdown{entry, from, to})
}

// AddAcceptedConfig records when a configuration version was accepted.
func (a *Audit) AddAcceptedConfig(version uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acceptedAt[version] = at
}

// AddConfigObservation records the configuration version that a live host uses at
// the given time. Observations of one host must be added in order.
func (a *Audit) AddConfigObservation(host string, version uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configObservations = append(a.configObservations, configObservation{host, version, at})
}

// Results returns a copy of the results added so far.
func (a *Audit) Results() []Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.results)
}

// Runs returns a copy of the engine runs added so far.
func (a *Audit) Runs() []emulator.Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.runs)
}

// Verdict checks every promise against the data added so far. Promise 4 is
// checked only if a ledger was added.
func (a *Audit) Verdict() Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	var v Verdict
	for i := range v.Promises {
		v.Promises[i] = PromiseResult{Promise: i + 1, Name: promiseNames[i]}
	}
	byDigest := runIndex{runs: make(map[string][]emulator.Run), services: make(map[string][]emulator.ServiceRun)}
	for _, r := range a.runs {
		byDigest.runs[r.Digest] = append(byDigest.runs[r.Digest], r)
	}
	for _, r := range a.services {
		byDigest.services[r.Digest] = append(byDigest.services[r.Digest], r)
	}
	a.checkAllowedVersions(&v, byDigest)
	a.checkWithdrawals(&v)
	a.checkSessions(&v, byDigest)
	if a.hasLedger {
		a.checkBills(&v, byDigest)
	}
	a.checkAnswers(&v)
	a.checkNotRun(&v, byDigest)
	a.checkAtMostOnce(&v, byDigest)
	a.checkLateArrivals(&v)
	a.checkShutdowns(&v)
	a.checkConfig(&v)
	for _, runs := range byDigest.runs {
		if slices.ContainsFunc(runs, func(r emulator.Run) bool { return r.Bad }) {
			v.Exposed++
		}
	}
	return v
}

// Broken returns the number of violations of all promises.
func (v Verdict) Broken() int {
	n := 0
	for _, c := range v.Promises {
		n += c.Broken
	}
	return n
}

// addCase counts one checked case. A broken one is also described by format and
// args, up to maxExamples of them.
func (c *PromiseResult) addCase(broken bool, format string, args ...any) {
	c.Checked++
	if !broken {
		return
	}
	c.Broken++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

// checkAllowedVersions checks promise 1 for model requests of workspaces with a
// list of allowed versions.
func (a *Audit) checkAllowedVersions(v *Verdict, byDigest runIndex) {
	for i := range a.results {
		r := &a.results[i]
		if len(r.Workspace.Allowed) == 0 || !r.isModelRequest() {
			continue
		}
		for _, run := range byDigest.runs[r.Digest] {
			ref := declarer.VersionRef{Model: run.Model, Version: run.Version}
			v.Promises[0].addCase(!slices.Contains(r.Workspace.Allowed, ref),
				"request %d of %s ran on %s", r.Index, r.Workspace.Name, ref)
		}
	}
}

// checkWithdrawals checks promise 2 for each run after a withdrawal.
func (a *Audit) checkWithdrawals(v *Verdict) {
	for _, w := range a.withdrawals {
		for _, run := range a.runs {
			if !run.Arrived.After(w.at) {
				continue
			}
			v.Promises[1].addCase(run.Model == w.ref.Model && run.Version == w.ref.Version,
				"run %s reached %s %s after its withdrawal", run.RequestID, w.ref, run.Arrived.Sub(w.at))
		}
	}
}

// checkSessions checks promise 3. A session may use the version of its first
// run, and any version whose use a response announced or the caller accepted.
func (a *Audit) checkSessions(v *Verdict, byDigest runIndex) {
	type turn struct {
		run       emulator.Run
		announced bool
		index     int
	}
	sessions := make(map[string][]turn)
	for i := range a.results {
		r := &a.results[i]
		if r.SessionKey == "" || !r.Answered {
			continue
		}
		for _, run := range byDigest.runs[r.Digest] {
			k := r.Workspace.Name + "/" + r.SessionKey + "/" + run.Model
			sessions[k] = append(sessions[k], turn{run, r.lastAttempt().Moved != "" || r.lastAttempt().Accepted, r.Index})
		}
	}
	for _, turns := range sessions {
		slices.SortFunc(turns, func(a, b turn) int { return a.run.Arrived.Compare(b.run.Arrived) })
		permitted := map[string]bool{turns[0].run.Version: true}
		for _, t := range turns {
			permitted[t.run.Version] = permitted[t.run.Version] || t.announced
		}
		for _, t := range turns {
			v.Promises[2].addCase(!permitted[t.run.Version], "request %d: the session moved to %s/%s without notice", t.index, t.run.Model, t.run.Version)
		}
	}
}

// checkAnswers checks promise 5 for each answered request.
func (a *Audit) checkAnswers(v *Verdict) {
	for i := range a.results {
		r := &a.results[i]
		if !r.Answered {
			continue
		}
		foreign := r.Foreign || r.isModelRequest() && r.Judgement.Digest != r.Digest
		partial := !foreign && r.isModelRequest() && !r.Judgement.Intact
		switch {
		case foreign:
			v.AnswersForeign++
		case partial:
			v.AnswersPartial++
		}
		v.Promises[4].addCase(foreign || partial, "request %d (%s) got the wrong answer: belongs to another request %t, incomplete %t",
			r.Index, r.lastAttempt().RequestID, foreign, partial)
	}
}

// checkNotRun checks promise 6 for requests with an attempt refused as notRun.
// If all attempts were refused so, no upstream may have run the request. A
// model request must also not reach an engine during such an attempt; a booking
// may, as an earlier attempt with the same key can still be in transit.
func (a *Audit) checkNotRun(v *Verdict, byDigest runIndex) {
	for i := range a.results {
		r := &a.results[i]
		if len(r.Attempts) == 0 || !r.isModelRequest() && !r.isBooking() {
			continue
		}
		refused := 0
		ranDuring := false
		for _, t := range r.Attempts {
			if t.Outcome != refuser.NotRun {
				continue
			}
			refused++
			ranDuring = ranDuring || slices.ContainsFunc(byDigest.runs[r.Digest], func(run emulator.Run) bool {
				return !run.Arrived.Before(t.Sent) && !run.Arrived.After(t.Ended)
			})
		}
		if refused == 0 {
			continue
		}
		n := len(byDigest.runs[r.Digest]) + len(byDigest.services[r.Digest])
		v.Promises[5].addCase(ranDuring || n > 0 && refused == len(r.Attempts),
			"request %d was refused as notRun (%s) but ran %d times", r.Index, r.lastAttempt().Code, n)
	}
}

// checkAtMostOnce checks promise 7 for bookings. An answered booking must also
// have run.
func (a *Audit) checkAtMostOnce(v *Verdict, byDigest runIndex) {
	for i := range a.results {
		r := &a.results[i]
		if !r.isBooking() {
			continue
		}
		n := len(byDigest.services[r.Digest])
		if n > 1 {
			v.DoubledRuns++
		}
		v.Promises[6].addCase(n > 1 || r.Answered && n == 0, "booking %d (key %s, answered %t) ran %d times", r.Index, r.Key, r.Answered, n)
	}
}

// checkLateArrivals checks promise 8 for work that reached leaving upstreams.
func (a *Audit) checkLateArrivals(v *Verdict) {
	c := &v.Promises[7]
	c.Checked = a.leavesStarted
	for _, d := range a.lateArrivals {
		c.addCase(d > a.conf.LeaveGrace, "work arrived %s after the upstream started to leave", d)
	}
}

// checkShutdowns checks promise 9 for attempts that overlap a shutdown of their
// entry.
func (a *Audit) checkShutdowns(v *Verdict) {
	for _, s := range a.shutdowns {
		for i := range a.results {
			for _, t := range a.results[i].Attempts {
				if t.Entry != s.entry || t.Sent.After(s.to) || t.Ended.Before(s.from) {
					continue
				}
				// Neither a connection refused after the shutdown began nor a
				// caller's own timeout counts as an interruption.
				cut := t.Interrupted && !t.GaveUp && !t.Ended.After(s.to) && (t.Sent.Before(s.from) || t.Status != 0)
				v.Promises[8].addCase(cut, "request %d on entry %d was interrupted %s after the shutdown began and %s after it was sent",
					a.results[i].Index, t.Entry, t.Ended.Sub(s.from), t.Ended.Sub(t.Sent))
			}
		}
	}
}

// checkConfig checks promise 10: a host must not revert to an older version, nor
// lag behind a version accepted more than ConfigBound before.
func (a *Audit) checkConfig(v *Verdict) {
	newest := make(map[string]uint64)
	for _, f := range a.configObservations {
		old := newest[f.host]
		newest[f.host] = max(old, f.version)
		behind := uint64(0)
		for version, at := range a.acceptedAt {
			if version > f.version && f.at.Sub(at) > a.conf.ConfigBound {
				behind = max(behind, version)
			}
		}
		v.Promises[9].addCase(f.version < old || behind > 0, "host %s used configuration version %d after %d (overdue: %d)", f.host, f.version, old, behind)
	}
}
