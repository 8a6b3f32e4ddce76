package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtailwall/controller"
)

const (
	// trialWindow is the time after the start of an isolation in which trials start. A
	// later one would let a part crash an upstream long after it was found.
	trialWindow = time.Minute
	// reportsTime is how long a leader receives reports before it starts a trial: one of
	// its predecessor may be under way.
	reportsTime = time.Second
	// refusedTime is how long after a caller sent an isolated part or request the host
	// is chosen for a trial, and trialTTL how long it then waits for the next one.
	refusedTime = 1500 * time.Millisecond
	trialTTL    = 10 * time.Second
	// holdTime is how long requests with a held part wait. holdDecision is how long after
	// its start the leader ends a hold without a result, so that hosts learn of that in
	// time. A new leader ends one of its predecessor that is older than maxHoldAge, since
	// hosts have released the requests.
	holdTime     = time.Second
	holdDecision = 800 * time.Millisecond
	maxHoldAge   = 2 * time.Second
	// servedTime is how long a served trial is reported.
	servedTime = 10 * time.Second
)

// trialDelays are the times after the start of an isolation at which trials start. In the
// first, upstreams that crashed for another reason start again; the second is for an
// upstream that crashed under the first trial for another reason.
var trialDelays = [controller.MaxIsolationTrials]time.Duration{time.Second, 15 * time.Second}

type (
	// hostTrials are the trials of a host. The zero value is ready to use; it is
	// guarded by Recorder.mu.
	hostTrials struct {
		// pending has when a trial that this host is to make was named, and known the
		// active isolations.
		pending map[controller.PromptPart]time.Time
		known   map[controller.PromptPart]controller.Isolation
		refused map[controller.PromptPart]time.Time
		served  map[controller.PromptPart]time.Time
		broken  map[controller.PromptPart]time.Time
		// held has when the host learned of each hold.
		held map[controller.PromptPart]time.Time
	}

	// leaderTrials are the trials as the leader knows them. The zero value is ready to
	// use; it is guarded by Judge.mu.
	leaderTrials struct {
		// since is when the first report was received.
		since time.Time
		// active are the active isolations.
		active map[controller.PromptPart]controller.Isolation
		// refused has the last report of each host that callers sent the part.
		refused map[controller.PromptPart]map[uint64]refusedReport
		served  map[controller.PromptPart]bool
		broken  map[controller.PromptPart]bool
		reports uint64
		// held has when the leader learned of each hold, as hosts do: an entry may take
		// longer than a hold until it is in the log.
		held map[controller.PromptPart]time.Time
	}

	refusedReport struct {
		at time.Time
		// number orders the reports.
		number uint64
	}
)

// SetIsolations replaces the known isolations.
func (r *Recorder) SetIsolations(list []controller.Isolation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.trials
	known := make(map[controller.PromptPart]controller.Isolation)
	pending := make(map[controller.PromptPart]time.Time)
	held := make(map[controller.PromptPart]time.Time)
	for _, i := range list {
		if !i.Active {
			continue
		}
		before := t.known[i.Part]
		known[i.Part] = i
		if !before.Since.Equal(i.Since) {
			delete(t.served, i.Part)
			delete(t.broken, i.Part)
			delete(t.held, i.Part)
		}
		if i.Held {
			held[i.Part] = cmp.Or(t.held[i.Part], r.clock.Now())
		}
		switch at, ok := t.pending[i.Part]; {
		case i.TrialBy != r.id || i.Trials == 0:
		case before.Trials != i.Trials || !before.Since.Equal(i.Since):
			pending[i.Part] = r.clock.Now()
		case ok:
			pending[i.Part] = at
		}
	}
	t.known, t.pending, t.held = known, pending, held
	ended := func(p controller.PromptPart, _ time.Time) bool { _, ok := known[p]; return !ok }
	maps.DeleteFunc(t.refused, ended)
	maps.DeleteFunc(t.served, ended)
	maps.DeleteFunc(t.broken, ended)
}

// TakeTrial records that a caller sent a request that is isolated or has an isolated part,
// and reports whether it is the one to let through.
func (r *Recorder) TakeTrial(part controller.PromptPart) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, now := &r.trials, r.clock.Now()
	if at, ok := t.pending[part]; ok {
		delete(t.pending, part)
		if now.Sub(at) <= trialTTL {
			return true
		}
	}
	if t.refused == nil {
		t.refused = make(map[controller.PromptPart]time.Time)
	}
	t.refused[part] = now
	return false
}

// RecordTrial records that the request that TakeTrial let through was served.
func (r *Recorder) RecordTrial(part controller.PromptPart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trials.served == nil {
		r.trials.served = make(map[controller.PromptPart]time.Time)
	}
	r.trials.served[part] = r.clock.Now()
}

// RecordBrokenTrial records that the upstream of the request that TakeTrial let through
// crashed.
func (r *Recorder) RecordBrokenTrial(part controller.PromptPart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trials.broken == nil {
		r.trials.broken = make(map[controller.PromptPart]time.Time)
	}
	r.trials.broken[part] = r.clock.Now()
}

// Held reports whether a request with a part waits, unless TakeTrial lets it through.
func (r *Recorder) Held(part controller.PromptPart) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.trials.held[part]
	return ok && r.clock.Now().Sub(at) < holdTime
}

// report adds what the leader needs to the evidence.
func (t *hostTrials) report(e *Evidence, now time.Time) {
	maps.DeleteFunc(t.refused, func(_ controller.PromptPart, at time.Time) bool { return now.Sub(at) > refusedTime })
	maps.DeleteFunc(t.served, func(_ controller.PromptPart, at time.Time) bool { return now.Sub(at) > servedTime })
	e.Refused = slices.SortedFunc(maps.Keys(t.refused), compareParts)
	e.Served = slices.SortedFunc(maps.Keys(t.served), compareParts)
	e.Broken = slices.SortedFunc(maps.Keys(t.broken), compareParts)
}

func compareParts(a, b controller.PromptPart) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID), compareBool(a.Request, b.Request))
}

// add adds the evidence of a host.
func (t *leaderTrials) add(e Evidence, now time.Time) {
	if t.since.IsZero() {
		t.since = now
		t.refused, t.served = make(map[controller.PromptPart]map[uint64]refusedReport), make(map[controller.PromptPart]bool)
		t.broken = make(map[controller.PromptPart]bool)
	}
	for _, p := range e.Refused {
		if _, ok := t.active[p]; !ok {
			continue
		}
		if t.refused[p] == nil {
			t.refused[p] = make(map[uint64]refusedReport)
		}
		t.reports++
		t.refused[p][e.Recorder] = refusedReport{now, t.reports}
	}
	for _, p := range e.Broken {
		if i, ok := t.active[p]; ok && i.Held {
			t.broken[p] = true
		}
	}
	for _, p := range e.Served {
		if i, ok := t.active[p]; ok && i.Trials > 0 {
			t.served[p] = true
		}
	}
}

// setIsolations replaces the known isolations.
func (t *leaderTrials) setIsolations(list []controller.Isolation, now time.Time) {
	t.active = make(map[controller.PromptPart]controller.Isolation)
	held := make(map[controller.PromptPart]time.Time)
	for _, i := range list {
		if i.Active {
			t.active[i.Part] = i
		}
		if i.Active && i.Held {
			held[i.Part] = cmp.Or(t.held[i.Part], now)
		}
	}
	t.held = held
	maps.DeleteFunc(t.refused, func(p controller.PromptPart, _ map[uint64]refusedReport) bool { _, ok := t.active[p]; return !ok })
	maps.DeleteFunc(t.served, func(p controller.PromptPart, _ bool) bool { _, ok := t.active[p]; return !ok })
	maps.DeleteFunc(t.broken, func(p controller.PromptPart, _ bool) bool { _, ok := t.active[p]; return !ok })
}

// Trials returns the trials to start now, and the ends of the isolations of which a
// trial request was served.
func (j *Judge) Trials() []controller.IsolationStep {
	j.mu.Lock()
	defer j.mu.Unlock()
	t, now := &j.trials, j.clock.Now()
	var out []controller.IsolationStep
	for _, part := range slices.SortedFunc(maps.Keys(t.active), compareParts) {
		i := t.active[part]
		if t.served[part] {
			out = append(out, controller.IsolationStep{Part: part, End: true, Served: true})
			continue
		}
		age := now.Sub(i.Since)
		if i.Held {
			inherited := t.since.IsZero() || t.since.After(i.Since)
			switch {
			case inherited && age > maxHoldAge:
				out = append(out, controller.IsolationStep{Part: part, End: true, Served: true})
			case now.Sub(t.held[part]) >= holdDecision, t.broken[part]:
				out = append(out, controller.IsolationStep{Part: part})
			}
			continue
		}
		if i.Since.IsZero() || i.Trials >= len(trialDelays) || age < trialDelays[i.Trials] || age > trialWindow {
			continue
		}
		if t.since.IsZero() || now.Sub(t.since) < reportsTime {
			continue
		}
		if host, ok := t.host(i, now); ok {
			out = append(out, controller.IsolationStep{Part: part, Trial: host})
		}
	}
	return out
}

// host returns the host whose callers sent the part last, if possible another one than
// that of the trial before.
func (t *leaderTrials) host(i controller.Isolation, now time.Time) (uint64, bool) {
	var host, best, again uint64
	for h, r := range t.refused[i.Part] {
		switch {
		case now.Sub(r.at) > refusedTime:
		case h == i.TrialBy:
			again = h
		case r.number > best:
			host, best = h, r.number
		}
	}
	host = cmp.Or(host, again)
	return host, host != 0
}

// start returns the step that isolates a part: a hold if the part is common, and false if
// no host can make the trial yet.
func (j *Judge) start(part controller.PromptPart) (controller.IsolationStep, bool) {
	now := j.clock.Now()
	until := now.Add(-clearTime)
	s := j.suspects[part]
	share, ok := j.share(part, s, until.Add(-attemptLead), until)
	if !ok || share < commonShare {
		return controller.IsolationStep{Part: part}, true
	}
	host := j.tallies.sender(part, now)
	ready := !j.trials.since.IsZero() && now.Sub(j.trials.since) >= reportsTime
	return controller.IsolationStep{Part: part, Hold: true, Trial: host}, host != 0 && ready
}

// sender returns the host that sent most attempts with a part of late, 0 if none did.
func (t *tallies) sender(part controller.PromptPart, now time.Time) uint64 {
	sent := make(map[uint64]int)
	for k, n := range t.known {
		if k.what.part == part && !k.what.whole && n.interval >= interval(now.Add(-refusedTime)) {
			sent[k.host] += n.count.sent
		}
	}
	var best uint64
	for host, n := range sent {
		if best == 0 || n > sent[best] || n == sent[best] && host < best {
			best = host
		}
	}
	return best
}
