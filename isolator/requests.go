package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtailwall/controller"
)

const (
	// announcedBreaks is the number of breaks in a row from which a request is
	// announced, minBreaks that from which it is isolated if no other request was
	// broken off as often by the same upstreams, and decisiveBreaks that from which
	// it is isolated in any case.
	announcedBreaks = 2
	minBreaks       = 3
	decisiveBreaks  = 4
	// breakGap is the shortest time between two breaks that count against a request
	// that was served before. Upstreams that fail within a shorter time have a cause
	// in common, and a request that comes often is then broken off by all of them.
	breakGap = 25 * time.Millisecond
	// maxEpisodes is the number of times within episodeWindow, more than crashSpread
	// apart, at which one incarnation may break requests off. One that does so more
	// often has not crashed. Twice is possible while the list names the previous
	// incarnation.
	maxEpisodes   = 2
	episodeWindow = 10 * time.Second
	// requestTTL is how long after its last break a request is remembered, longer
	// than callers that repeat it usually wait.
	requestTTL = 10 * time.Minute
	// maxRequests bounds the requests with breaks, of which the oldest are dropped,
	// and maxRequestBreaks the breaks of each.
	maxRequests      = 4096
	maxRequestBreaks = 32
	// baseTime is the time before a break in which breaks of others count as well: with
	// few of them, a shorter one may have none by chance.
	baseTime = 10 * time.Second
	// settleTime is the time after a break in which hosts report the attempts and breaks
	// of that time.
	settleTime = 2 * time.Second
	// maxVerdicts bounds the requests that Judge.Next returns at once.
	maxVerdicts = 8
)

type (
	// requestJudge weighs the breaks of requests that callers send again. Its zero
	// value is ready to use; it is guarded by Judge.mu.
	//
	// A request that crashes upstreams is broken off each time that it is sent, by
	// one upstream after the other. One that only shared an upstream with it is
	// served when it is sent again. Breaks therefore count in a row: a success clears
	// all before its attempt was sent.
	requestJudge struct {
		requests map[controller.PromptPart]*requestEvidence
		// episodes counts at how many times each upstream broke requests off.
		episodes map[uint64]*breakEpisodes
		// explained is when an isolated request was found to have crashed an upstream,
		// whose breaks do not count against other requests.
		explained map[uint64]time.Time
		// isolated has the isolated requests; the value says whether the isolation is
		// active.
		isolated map[controller.PromptPart]bool
		// broken counts all breaks, and counted has the attempts that are included.
		broken  map[breakKey]int
		counted map[uint64]time.Time
	}

	// requestEvidence is the evidence for and against a request.
	requestEvidence struct {
		// breaks are those since succeeded, by Break.Attempt.
		breaks map[uint64]brokenAttempt
		// succeeded is when the latest attempt that succeeded was sent.
		succeeded time.Time
		// reported is when the newest break was reported, and announced when the
		// request was first announced, zero if it is not.
		reported, announced time.Time
		// listed is since when Judge.Suspects has returned it, zero if it does not.
		listed time.Time
		// candidates is the greatest number of requests that were broken off at a time
		// since the first of the breaks.
		candidates int
	}

	brokenAttempt struct {
		upstream uint64
		at       time.Time
		// chance is the probability of the break if the request is harmless; it is
		// kept once it is settled, since tallies are forgotten before breaks.
		chance  float64
		settled bool
	}

	// breakKey identifies the breaks of a service's requests by an upstream within an
	// interval of tallySlot.
	breakKey struct {
		service  string
		upstream uint64
		interval int64
	}

	// breakEpisodes has the times, more than crashSpread apart, at which an upstream
	// broke requests off within episodeWindow.
	breakEpisodes struct {
		at       []time.Time
		reported time.Time
		// flaky means that there were more than maxEpisodes.
		flaky bool
	}
)

// add adds a break that a host has reported.
func (j *requestJudge) add(b Break, now time.Time) {
	if j.requests == nil {
		j.requests = make(map[controller.PromptPart]*requestEvidence)
		j.episodes = make(map[uint64]*breakEpisodes)
		j.explained = make(map[uint64]time.Time)
		j.broken, j.counted = make(map[breakKey]int), make(map[uint64]time.Time)
	}
	if j.isolated[b.Request] {
		j.explained[b.Upstream] = now
	}
	if _, ok := j.explained[b.Upstream]; ok {
		return
	}
	at := now.Add(-b.Age)
	j.addEpisode(b.Upstream, at, now)
	if _, ok := j.counted[b.Attempt]; !ok && b.Age < tallyTTL {
		j.counted[b.Attempt] = now
		j.broken[breakKey{b.Request.Service, b.Upstream, interval(at)}]++
	}
	e := j.requests[b.Request]
	if e == nil {
		if len(j.requests) >= maxRequests {
			j.dropOldest()
		}
		e = &requestEvidence{breaks: make(map[uint64]brokenAttempt)}
		j.requests[b.Request] = e
	}
	if _, known := e.breaks[b.Attempt]; known || !at.After(e.succeeded) || len(e.breaks) >= maxRequestBreaks {
		return
	}
	e.breaks[b.Attempt] = brokenAttempt{upstream: b.Upstream, at: at}
	e.reported = now
	j.announce(b.Request, e, now)
}

// addEpisode records that an upstream broke a request off.
func (j *requestJudge) addEpisode(upstream uint64, at, now time.Time) {
	e := j.episodes[upstream]
	if e == nil {
		e = &breakEpisodes{}
		j.episodes[upstream] = e
	}
	e.reported = now
	if slices.ContainsFunc(e.at, func(t time.Time) bool { return at.Sub(t).Abs() <= crashSpread }) {
		return
	}
	e.at = slices.DeleteFunc(append(e.at, at), func(t time.Time) bool { return at.Sub(t) > episodeWindow })
	e.flaky = e.flaky || len(e.at) > maxEpisodes
}

// isFlaky reports whether an upstream breaks requests off without crashing.
func (j *requestJudge) isFlaky(upstream uint64) bool {
	e := j.episodes[upstream]
	return e != nil && e.flaky
}

func (j *requestJudge) dropOldest() {
	var oldest controller.PromptPart
	var at time.Time
	for request, e := range j.requests {
		if at.IsZero() || e.reported.Before(at) {
			oldest, at = request, e.reported
		}
	}
	delete(j.requests, oldest)
}

// announce sets or clears the time of the announcement after a change.
func (j *requestJudge) announce(request controller.PromptPart, e *requestEvidence, now time.Time) {
	_, before := j.isolated[request]
	switch n := j.breaksInRow(e, now); {
	case n == 0, n < announcedBreaks && !before:
		e.announced = time.Time{}
	case e.announced.IsZero():
		e.announced = now
	}
}

// addSuccess clears a request of the breaks before an attempt that succeeded was sent.
func (j *requestJudge) addSuccess(request controller.PromptPart, sentAt, now time.Time) {
	e := j.requests[request]
	if e == nil || !sentAt.After(e.succeeded) {
		return
	}
	e.succeeded = sentAt
	maps.DeleteFunc(e.breaks, func(_ uint64, b brokenAttempt) bool { return !b.at.After(sentAt) })
	if len(e.breaks) == 0 {
		e.candidates = 0
	}
	j.announce(request, e, now)
}

// breaksInRow counts the breaks of row.
func (j *requestJudge) breaksInRow(e *requestEvidence, until time.Time) int {
	return len(j.row(e, until))
}

// row returns the attempts that were broken off until a time since the last success, in
// the order of time, those of one upstream at the same time once.
func (j *requestJudge) row(e *requestEvidence, until time.Time) []uint64 {
	attempts := slices.AppendSeq(make([]uint64, 0, len(e.breaks)), maps.Keys(e.breaks))
	slices.SortFunc(attempts, func(a, b uint64) int { return e.breaks[a].at.Compare(e.breaks[b].at) })
	out := attempts[:0]
	var last time.Time
	for _, attempt := range attempts {
		b := e.breaks[attempt]
		isCounted := func(other uint64) bool {
			o := e.breaks[other]
			return o.upstream == b.upstream && b.at.Sub(o.at) <= crashSpread
		}
		switch {
		case b.at.After(until), j.isFlaky(b.upstream):
		case slices.ContainsFunc(out, isCounted):
		case len(out) > 0 && !e.succeeded.IsZero() && b.at.Sub(last) <= breakGap:
		default:
			out = append(out, attempt)
			last = b.at
		}
	}
	return out
}

// settle computes the probability of each break of a request if it is harmless, as soon as
// it is needed and again until all hosts have reported what happened then.
func (j *requestJudge) settle(request controller.PromptPart, e *requestEvidence, t *tallies, now time.Time) {
	var own map[uint64]bool
	for attempt, b := range e.breaks {
		settled := now.Sub(b.at) > settleTime
		if b.settled || !settled && len(e.breaks) < minBreaks {
			continue
		}
		if own == nil {
			own = make(map[uint64]bool, len(e.breaks))
			for _, b := range e.breaks {
				own[b.upstream] = true
			}
		}
		b.chance = max(j.chance(request.Service, own, t, b.at, attemptLead), j.chance(request.Service, own, t, b.at, baseTime))
		b.settled = settled
		e.breaks[attempt] = b
	}
}

// chance returns the share of a service's attempts that upstreams but some broke off in a
// time until just after another, zero if hosts have not reported the attempts.
func (j *requestJudge) chance(service string, but map[uint64]bool, t *tallies, at time.Time, lead time.Duration) float64 {
	from, to := at.Add(-lead), at.Add(tallySlot)
	sent := t.between(whole(service), from, to).sent
	if sent == 0 {
		return 0
	}
	broken := 0
	for k, n := range j.broken {
		if k.service == service && !but[k.upstream] && k.interval >= interval(from) && k.interval <= interval(to) {
			broken += n
		}
	}
	return breakProbability(broken, sent)
}

// isSurprising reports whether a request's breaks in a row are more than chance gives any
// of the requests that were broken off of late. The first break made it one of them.
func (j *requestJudge) isSurprising(e *requestEvidence, row []uint64) bool {
	expected := float64(max(e.candidates, 1))
	for _, attempt := range row[1:] {
		expected *= e.breaks[attempt].chance
	}
	return expected <= falsePositives
}

// candidates counts the requests of each service that were broken off of late.
func (j *requestJudge) candidates(now time.Time) map[string]int {
	n := make(map[string]int)
	for request, e := range j.requests {
		if now.Sub(e.reported) <= tallyTTL {
			n[request.Service]++
		}
	}
	return n
}

// suspects returns the announced requests, those with the most breaks first.
func (j *requestJudge) suspects(now time.Time) []controller.PromptPart {
	breaks := make(map[controller.PromptPart]int)
	for request, e := range j.requests {
		if !e.announced.IsZero() {
			breaks[request] = j.breaksInRow(e, now)
		}
	}
	return slices.SortedFunc(maps.Keys(breaks), func(a, b controller.PromptPart) int {
		return cmp.Or(cmp.Compare(breaks[b], breaks[a]), cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
}

// list returns the requests to announce.
func (j *requestJudge) list(now time.Time) []controller.PromptPart {
	requests := j.suspects(now)
	requests = requests[:min(len(requests), maxAnnounced)]
	for request, e := range j.requests {
		if !e.listed.IsZero() && !slices.Contains(requests, request) {
			e.listed = time.Time{}
		}
	}
	for _, request := range requests {
		e := j.requests[request]
		e.listed = listedSince(true, e.listed, now)
	}
	return requests
}

// next returns the requests to isolate, at most maxVerdicts. Hosts had clearTime to
// report a success after each break that counts.
func (j *requestJudge) next(now time.Time, t *tallies) []controller.PromptPart {
	until := now.Add(-clearTime)
	candidates := j.candidates(now)
	var out []controller.PromptPart
	for _, request := range j.suspects(until) {
		e := j.requests[request]
		j.settle(request, e, t, now)
		e.candidates = max(e.candidates, candidates[request.Service])
		if e.listed.IsZero() || e.listed.After(until) || j.isolated[request] {
			continue
		}
		row := j.row(e, until)
		n := len(row)
		_, before := j.isolated[request]
		found := n >= minBreaks && j.isSurprising(e, row) && (n >= decisiveBreaks || !j.hasEqual(request, n, until))
		if found || before && n > 0 {
			out = append(out, request)
		}
	}
	return out[:min(len(out), maxVerdicts)]
}

// hasEqual reports whether another request was broken off as often until a time,
// and by one of the same upstreams.
func (j *requestJudge) hasEqual(request controller.PromptPart, n int, until time.Time) bool {
	upstreams := make(map[uint64]bool)
	for _, b := range j.requests[request].breaks {
		upstreams[b.upstream] = true
	}
	for other, e := range j.requests {
		if other == request || len(e.breaks) < n || j.breaksInRow(e, until) < n {
			continue
		}
		for _, b := range e.breaks {
			if upstreams[b.upstream] {
				return true
			}
		}
	}
	return false
}

// setIsolations replaces the known isolations. Breaks by upstreams that an isolated
// request has crashed no longer count against other requests, but for those that
// other upstreams have broken off as well.
func (j *requestJudge) setIsolations(isolated map[controller.PromptPart]bool, now time.Time) {
	j.isolated = isolated
	explained := false
	for request, active := range isolated {
		if e := j.requests[request]; e != nil && active {
			for _, b := range e.breaks {
				j.explained[b.upstream] = now
				explained = true
			}
			delete(j.requests, request)
		}
	}
	if !explained {
		return
	}
	for request, e := range j.requests {
		before := len(e.breaks)
		rest := maps.Clone(e.breaks)
		maps.DeleteFunc(rest, func(_ uint64, b brokenAttempt) bool {
			_, ok := j.explained[b.upstream]
			return ok
		})
		if len(rest) == 0 && before > 0 {
			e.breaks = rest
			j.announce(request, e, now)
		}
	}
}

// expire drops evidence that is too old.
func (j *requestJudge) expire(now time.Time) {
	maps.DeleteFunc(j.requests, func(_ controller.PromptPart, e *requestEvidence) bool {
		return now.Sub(e.reported) > requestTTL || len(e.breaks) == 0 && e.announced.IsZero() && now.Sub(e.reported) > suspectTTL
	})
	maps.DeleteFunc(j.explained, func(_ uint64, at time.Time) bool { return now.Sub(at) > requestTTL })
	maps.DeleteFunc(j.counted, func(_ uint64, at time.Time) bool { return now.Sub(at) > breakMemory+tallyTTL })
	maps.DeleteFunc(j.broken, func(k breakKey, _ int) bool { return k.interval < interval(now.Add(-tallyTTL)) })
	maps.DeleteFunc(j.episodes, func(_ uint64, e *breakEpisodes) bool { return now.Sub(e.reported) > requestTTL })
}
