package isolator

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"foxtailwall/controller"
	"foxtailwall/timekeeper"
)

const (
	// announcedCrashes is the number of crashes from which a part is announced,
	// minCrashes that from which it is isolated if no other part was there at as
	// many, and decisiveCrashes that from which it is isolated in any case.
	announcedCrashes = 2
	minCrashes       = 4
	decisiveCrashes  = 5
	// maxCrashesPerRequest bounds the crashes that count for one request and its copies,
	// which go from one engine to the next while these crash under others.
	maxCrashesPerRequest = 3
	// maxOtherCrashes is the number of crashes without the part for each one with
	// it, from its first one on, up to which it is isolated. It allows for several
	// such parts at once, and for engines that end for other reasons.
	maxOtherCrashes = 3
	// clearTime is the time after the announcement, and after a crash, in which
	// hosts may report a success: each has two reports.
	clearTime = 800 * time.Millisecond
	// suspectTTL is how long after its last crash a part is a suspect.
	suspectTTL = 30 * time.Second
	// crashSpread is the longest time between the observations of one crash. An
	// upstream that breaks requests for longer has not crashed.
	crashSpread = 300 * time.Millisecond
	// explainedTTL is how long a crash that an isolated part explains is
	// remembered, longer than hosts report it.
	explainedTTL = 10 * time.Second
	// maxSuspects bounds the parts with evidence, maxCrashes the crashes for each
	// of them, and maxAnnounced the suspects that are announced.
	maxSuspects  = 4096
	maxCrashes   = 512
	maxAnnounced = 64
	// expiryInterval is the time between two searches for old evidence, a small part of
	// the times for which it is kept.
	expiryInterval = 500 * time.Millisecond
	// announcementInterval is how long the list of announced suspects is reused.
	announcementInterval = 50 * time.Millisecond
)

type (
	// Judge weighs the evidence of all hosts. Make it with NewJudge. It is safe for
	// use by several goroutines.
	Judge struct {
		clock timekeeper.Clock

		mu       sync.Mutex
		suspects map[controller.PromptPart]*suspect
		// crashed is when each upstream crashed, without those in explained.
		crashed map[uint64]*serviceCrash
		// explained is when an upstream was last found not to count: an isolated part
		// was there when it crashed, or it did not crash.
		explained map[uint64]time.Time
		// isolated has the isolations by part; the value says whether it is active.
		isolated map[controller.PromptPart]bool
		// held are the parts with a hold.
		held     map[controller.PromptPart]bool
		requests requestJudge
		tallies  tallies
		trials   leaderTrials
		// announcement is what Suspects returned at announcedAt.
		announcement []controller.PromptPart
		announcedAt  time.Time
		expiredAt    time.Time
	}

	// suspect is the evidence for and against a part.
	suspect struct {
		depth int
		// crashes has the crashes since succeeded, by upstream.
		crashes map[uint64]*crash
		// succeeded is when the latest attempt with the part that succeeded was sent, as
		// far as known.
		succeeded time.Time
		// reported is when its newest crash was reported.
		reported time.Time
		// announced is when it became a suspect, zero if it is none.
		announced time.Time
		// listed is since when Suspects has returned it, zero if it does not.
		listed time.Time
		// candidates is the greatest number of suspects while it was judged.
		candidates int
	}

	// serviceCrash is the crash of an upstream of a service, with the requests that
	// it broke off.
	serviceCrash struct {
		service  string
		requests map[uint64]bool
		at       time.Time
	}

	// crash is the crash of an upstream that was sent requests with a part.
	crash struct {
		requests map[uint64]bool
		at       time.Time
	}
)

// NewJudge returns a judge without evidence.
func NewJudge(clock timekeeper.Clock) *Judge {
	j := &Judge{clock: clock}
	j.Reset()
	return j
}

// Reset drops all evidence.
func (j *Judge) Reset() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.suspects = make(map[controller.PromptPart]*suspect)
	j.crashed = make(map[uint64]*serviceCrash)
	j.explained = make(map[uint64]time.Time)
	j.isolated = make(map[controller.PromptPart]bool)
	j.requests = requestJudge{}
	j.tallies = tallies{}
	j.trials = leaderTrials{}
	j.announcement, j.announcedAt = nil, time.Time{}
}

// SetIsolations replaces the known isolations. Crashes at which a part was there
// that is isolated now no longer count against other parts.
func (j *Judge) SetIsolations(list []controller.Isolation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	isolated := make(map[controller.PromptPart]bool, len(list))
	held := make(map[controller.PromptPart]bool)
	requests := make(map[controller.PromptPart]bool)
	for _, i := range list {
		if i.Part.Request {
			requests[i.Part] = i.Active
			continue
		}
		if i.Active && i.Held {
			held[i.Part] = true
			continue
		}
		isolated[i.Part] = i.Active
		if s := j.suspects[i.Part]; s != nil && i.Active {
			for upstream := range s.crashes {
				j.explain(upstream)
			}
			delete(j.suspects, i.Part)
		}
	}
	for p := range j.held {
		if !held[p] && j.trials.served[p] {
			// The trial has cleared the part of its crashes.
			delete(j.suspects, p)
		}
	}
	j.held = held
	j.isolated = isolated
	j.trials.setIsolations(list, j.clock.Now())
	j.requests.setIsolations(requests, j.clock.Now())
}

// explain drops the crash of an upstream from the evidence.
func (j *Judge) explain(upstream uint64) {
	j.explained[upstream] = j.clock.Now()
	delete(j.crashed, upstream)
	for part, s := range j.suspects {
		if _, ok := s.crashes[upstream]; ok {
			delete(s.crashes, upstream)
			j.update(part, s)
		}
	}
}

// Add adds the evidence of a host.
func (j *Judge) Add(e Evidence) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	j.trials.add(e, now)
	for _, t := range e.Tallies {
		j.tallies.add(e.Recorder, t, now)
	}
	for _, b := range e.Breaks {
		j.requests.add(b, now)
	}
	for _, c := range e.Crashes {
		if _, ok := j.explained[c.Upstream]; !ok && j.isolated[c.Part] {
			j.explain(c.Upstream)
		}
	}
	for _, c := range e.Crashes {
		if _, ok := j.explained[c.Upstream]; ok {
			continue
		}
		at := now.Add(-c.Age)
		first, ok := j.crashed[c.Upstream]
		if !ok {
			first = &serviceCrash{service: c.Part.Service, requests: make(map[uint64]bool), at: at}
			j.crashed[c.Upstream] = first
		} else if at.Sub(first.at).Abs() > crashSpread {
			j.explain(c.Upstream)
			continue
		}
		if len(first.requests) < maxCrashes {
			first.requests[c.Request] = true
		}
		j.addCrash(c, now)
	}
	for _, ok := range e.Successes {
		sentAt := now.Add(-cmp.Or(ok.SentAge, ok.Age))
		if ok.Part.Request {
			j.requests.addSuccess(ok.Part, sentAt, now)
			continue
		}
		if s := j.suspects[ok.Part]; s != nil {
			j.addSuccess(ok.Part, s, sentAt)
		}
	}
}

func (j *Judge) addCrash(c Crash, now time.Time) {
	s := j.suspects[c.Part]
	if s == nil {
		if len(j.suspects) >= maxSuspects {
			return
		}
		s = &suspect{crashes: make(map[uint64]*crash)}
		j.suspects[c.Part] = s
	}
	at := now.Add(-c.Age)
	known := s.crashes[c.Upstream]
	switch {
	case !at.After(s.succeeded):
		return
	case known == nil && len(s.crashes) >= maxCrashes:
		return
	case known == nil:
		known = &crash{requests: make(map[uint64]bool), at: at}
		s.crashes[c.Upstream] = known
	case known.requests[c.Request] || len(known.requests) >= maxCrashes:
		return
	}
	known.requests[c.Request] = true
	s.depth, s.reported = c.Depth, now
	j.update(c.Part, s)
}

// addSuccess clears a part of the crashes before an attempt that succeeded was sent.
func (j *Judge) addSuccess(part controller.PromptPart, s *suspect, sentAt time.Time) {
	if !sentAt.After(s.succeeded) {
		return
	}
	s.succeeded = sentAt
	maps.DeleteFunc(s.crashes, func(_ uint64, c *crash) bool { return !c.at.After(sentAt) })
	j.update(part, s)
}

// counted returns the upstreams of the crashes that count until a time, in the order of
// time. A crash under a request that had been at maxCrashesPerRequest before is rather
// explained by that request.
func (s *suspect) counted(until time.Time) []uint64 {
	upstreams := slices.SortedFunc(maps.Keys(s.crashes), func(a, b uint64) int {
		return cmp.Or(s.crashes[a].at.Compare(s.crashes[b].at), cmp.Compare(a, b))
	})
	before := make(map[uint64]int)
	return slices.DeleteFunc(upstreams, func(u uint64) bool {
		c := s.crashes[u]
		if c.at.After(until) {
			return true
		}
		exhausted := false
		for r := range c.requests {
			exhausted = exhausted || before[r] >= maxCrashesPerRequest
			before[r]++
		}
		return exhausted
	})
}

// countUntil counts the crashes that count until a time.
func (s *suspect) countUntil(t time.Time) int {
	if len(s.crashes) > maxCrashesPerRequest {
		return len(s.counted(t))
	}
	n := 0
	for _, c := range s.crashes {
		if !c.at.After(t) {
			n++
		}
	}
	return n
}

// isFrequent reports whether the part was there at a large enough share of the
// crashes of all engines from its first one until a time.
func (s *suspect) isFrequent(crashed map[uint64]*serviceCrash, until time.Time) bool {
	first := until
	for _, c := range s.crashes {
		if c.at.Before(first) {
			first = c.at
		}
	}
	all := 0
	for _, c := range crashed {
		if !c.at.Before(first) && !c.at.After(until) {
			all++
		}
	}
	return all <= s.countUntil(until)*(1+maxOtherCrashes)
}

// wasAtMostOf reports whether the part was there at half of the crashes of another
// one or more.
func (s *suspect) wasAtMostOf(other *suspect) bool {
	both := 0
	for upstream := range other.crashes {
		if s.crashes[upstream] != nil {
			both++
		}
	}
	return 2*both >= len(other.crashes)
}

// update decides whether a part is a suspect after a change of its crashes.
func (j *Judge) update(part controller.PromptPart, s *suspect) {
	count := s.countUntil(j.clock.Now())
	_, before := j.isolated[part]
	switch {
	case count == 0, count < announcedCrashes && !before:
		s.announced = time.Time{}
	case s.announced.IsZero():
		s.announced = j.clock.Now()
	}
}

// Suspects returns the parts and requests of which hosts should report the last
// success, each with the most crashes first.
func (j *Judge) Suspects() []controller.PromptPart {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	if now.Sub(j.announcedAt) < announcementInterval {
		return j.announcement
	}
	j.expire()
	listed := j.mostCrashed(now)
	for part, s := range j.suspects {
		s.listed = listedSince(slices.Contains(listed, part), s.listed, now)
	}
	j.announcement, j.announcedAt = append(listed, j.requests.list(now)...), now
	return j.announcement
}

// listedSince returns since when a suspect is announced, zero if it is not.
func listedSince(listed bool, since, now time.Time) time.Time {
	switch {
	case !listed:
		return time.Time{}
	case since.IsZero():
		return now
	}
	return since
}

// mostCrashed returns the parts to announce, those with the most crashes first. Parts
// with which requests were served do not rank last here: hosts would no longer report
// their successes while many others are suspects, and the next crashes would count
// against them.
func (j *Judge) mostCrashed(now time.Time) []controller.PromptPart {
	parts, counts := j.ranked(now)
	slices.SortStableFunc(parts, func(a, b controller.PromptPart) int { return cmp.Compare(counts[b], counts[a]) })
	return parts[:min(len(parts), maxAnnounced)]
}

// Next returns the starts of the isolations of requests, and of the next part, for which
// the evidence suffices.
func (j *Judge) Next() []controller.IsolationStep {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.expire()
	j.tallies.expire(j.clock.Now())
	var out []controller.IsolationStep
	for _, request := range j.requests.next(j.clock.Now(), &j.tallies) {
		out = append(out, controller.IsolationStep{Part: request})
	}
	if part, ok := j.nextPart(); ok {
		if st, ok := j.start(part); ok {
			out = append(out, st)
		}
	}
	return out
}

// nextPart returns the part to isolate next.
func (j *Judge) nextPart() (controller.PromptPart, bool) {
	now := j.clock.Now()
	until := now.Add(-clearTime)
	ranked, counts := j.ranked(until)
	var candidates []controller.PromptPart
	for _, part := range ranked {
		s, count := j.suspects[part], counts[part]
		if !s.wasListed(now) || count == 0 || j.isHeld(part.Service) {
			continue
		}
		if _, before := j.isolated[part]; before && j.suffices(part, s, until) {
			// It has crashed engines before, so one more crash suffices.
			return part, true
		}
		if count >= minCrashes && s.isFrequent(j.crashed, until) && j.isSurprising(part, s, until) {
			candidates = append(candidates, part)
		}
	}
	if len(candidates) == 0 {
		return controller.PromptPart{}, false
	}
	first, count := j.suspects[candidates[0]], counts[candidates[0]]
	hasEqual := slices.ContainsFunc(candidates[1:], func(p controller.PromptPart) bool { return counts[p] >= count })
	if count < decisiveCrashes && hasEqual || j.hasLikelier(first, ranked) {
		return controller.PromptPart{}, false
	}
	return candidates[0], true
}

// isHeld reports whether a part of a service has a hold, which is expected to explain
// the crashes of other parts.
func (j *Judge) isHeld(service string) bool {
	for p := range j.held {
		if p.Service == service {
			return true
		}
	}
	return false
}

// wasListed reports whether hosts had clearTime to report a success with the part.
func (s *suspect) wasListed(now time.Time) bool {
	return !s.listed.IsZero() && now.Sub(s.listed) >= clearTime
}

// suffices reports whether the crashes of a part that was isolated before suffice.
// A common part is present at crashes with any cause.
func (j *Judge) suffices(part controller.PromptPart, s *suspect, until time.Time) bool {
	share, ok := j.share(part, s, until.Add(-attemptLead), until)
	return !ok || share < commonShare || j.isSurprising(part, s, until)
}

// hasLikelier reports whether a part with which requests were served shares most of
// its crashes with a suspect that no request was ever served with.
func (j *Judge) hasLikelier(s *suspect, ranked []controller.PromptPart) bool {
	return !s.succeeded.IsZero() && slices.ContainsFunc(ranked, func(p controller.PromptPart) bool {
		other := j.suspects[p]
		return other.succeeded.IsZero() && other.wasAtMostOf(s)
	})
}

// ranked returns the suspects in the order in which they are likely to crash engines,
// and their crashes that count until a time. Those that no request was ever served with
// come first: all requests with an innocent part that many share were there at the
// crashes, too. Next come those with the most crashes until a time. Of those with equally
// many, the one that comes last in prompts is first: fewer requests share it.
func (j *Judge) ranked(until time.Time) ([]controller.PromptPart, map[controller.PromptPart]int) {
	var parts []controller.PromptPart
	counts := make(map[controller.PromptPart]int)
	for part, s := range j.suspects {
		if !s.announced.IsZero() {
			parts = append(parts, part)
			counts[part] = s.countUntil(until)
		}
	}
	slices.SortFunc(parts, func(a, b controller.PromptPart) int {
		x, y := j.suspects[a], j.suspects[b]
		return cmp.Or(compareBool(!x.succeeded.IsZero(), !y.succeeded.IsZero()), cmp.Compare(counts[b], counts[a]), cmp.Compare(x.depth, y.depth), cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return parts, counts
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// expire drops evidence that is too old.
func (j *Judge) expire() {
	now := j.clock.Now()
	if now.Sub(j.expiredAt) < expiryInterval {
		return
	}
	j.expiredAt = now
	maps.DeleteFunc(j.suspects, func(_ controller.PromptPart, s *suspect) bool { return now.Sub(s.reported) > suspectTTL })
	maps.DeleteFunc(j.crashed, func(_ uint64, c *serviceCrash) bool { return now.Sub(c.at) > suspectTTL })
	maps.DeleteFunc(j.explained, func(_ uint64, at time.Time) bool { return now.Sub(at) > explainedTTL })
	j.requests.expire(now)
}
