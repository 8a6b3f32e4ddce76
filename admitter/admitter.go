// Package admitter decides for each request to model engines whether it is sent now
// and where, waits, or is refused.
//
// It has no clock, sockets or locks: the caller passes in the time, the known loads of
// the upstreams and the estimates, and serializes the calls. Choose ranks upstreams by
// the expected time to the first byte, Decide says what happens if none has room, a
// Service learns how fast its upstreams are, and a Queue orders the requests that wait.
//
// # Usage
//
//	i, fits := admitter.Choose(candidates, request, service, now, admitter.Spread{})
//	if fits {
//		// Send the request to candidates[i].
//	}
//	d := admitter.Decide(request, service, room, now)
//	if d.Verdict == admitter.Wait {
//		queue.Push(&admitter.Entry{Request: request, Until: d.Until}, now)
//	}
package admitter

import (
	"time"
)

// Verdicts on a request for which no upstream has room.
const (
	// Send means that the request is sent now.
	Send Verdict = iota
	// Wait means that the request waits at the host.
	Wait
	// Refuse means that the request is refused without having run.
	Refuse
)

// Reasons of refusals.
const (
	// NoTime means that no answer can come before the deadline.
	NoTime Reason = "noTime"
	// Late means that the request has waited for its time, and that its first event cannot
	// be there by its objective.
	Late Reason = "late"
	// QueueFull means that the bounds of the queue are reached.
	QueueFull Reason = "queueFull"
)

// Levels of candidates, the best last.
const (
	full = iota
	hasRoom
	inTime
)

const (
	// waitFraction is the part of the time between the arrival of a request and its
	// objective for which it may wait.
	waitFraction = 0.25
	// certainty is the part of an expected time with which requests are refused: a request
	// that is refused by mistake is lost, one that is sent by mistake costs a queue place.
	certainty = 0.8
	// minRetryAfter and maxRetryAfter bound the time after which refused callers return.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxSpread is the number of the best upstreams among which hosts spread requests.
	maxSpread = 16
	// minSpreadWork is the work that other hosts are expected to have sent to an
	// upstream, as a fraction of the request's own, from which requests are spread.
	// Below it, all hosts choose the best upstream, so that groups keep their homes.
	minSpreadWork = 0.5
)

type (
	// Verdict says what happens to a request.
	Verdict uint8

	// Reason says why a request is refused.
	Reason string

	// Request is a request to decide on. Work is in tokens of the largest model.
	Request struct {
		Model string
		// Work is the work of the request's own part of the prompt.
		Work float64
		// Tokens is the token memory that the request needs: its prompt and its output.
		Tokens float64
		// OutputTokens is the maximum number of generated tokens.
		OutputTokens float64
		// Arrived is when the caller's request arrived, Objective when its first event,
		// and Deadline when its complete answer is due.
		Arrived, Objective, Deadline time.Time
		// Due orders the requests of a workspace that wait and have the same rank. It is
		// the objective or, for a request that was refused and returns, the one it had at
		// first.
		Due time.Time
		// Priority orders the requests that wait, 0 first.
		Priority  int
		Workspace string
		// Share is the weight of the workspace; zero counts as 1.
		Share int
		// Rank orders the requests of a workspace with the same priority before Due does,
		// the lowest first.
		Rank int
		// Bytes is the memory that the request holds while it waits.
		Bytes int64
		// RunTime is the time that the request takes at least, if the service does not know
		// it; zero if it is unknown.
		RunTime time.Duration
		// SendLate says that a request is sent after its wait although it will be late.
		SendLate bool
	}

	// Candidate is an upstream that may be sent the request, with the loads of all hosts
	// as far as they are known.
	Candidate struct {
		// Work is the work before the first bytes of the responses in progress, in tokens
		// of the largest model.
		Work float64
		// Running is the number of requests in progress and Slots the number that the
		// upstream runs at once.
		Running, Slots int
		// Tokens is the token memory in use and Memory all of it; zero Memory means no
		// bound.
		Tokens, Memory float64
		// Reading is the work that the request adds there.
		Reading float64
		// Penalty is work that counts against the upstream without delaying the request:
		// that of reading a prefix which is cached elsewhere, and of crossing zones.
		Penalty float64
		// Speed is the speed relative to other upstreams, 1 if it is not known.
		Speed float64
		// Rank orders equal upstreams, the highest first.
		Rank uint64
		// Home says that the prefix of the request's group is cached there, or that the
		// request has none.
		Home bool
	}

	// Spread says how to spread requests among good upstreams that other hosts choose at
	// the same time. Its zero value means that the best is chosen.
	Spread struct {
		// Unseen is the work that other hosts are expected to have sent to each upstream
		// since they last reported, in tokens of the largest model.
		Unseen float64
		// Random is from 0 up to 1 and differs between calls and hosts.
		Random float64
	}

	// Room is what is known about the capacity that a request without room waits for.
	Room struct {
		// Running is the number of requests in progress at all upstreams that could take
		// the request, of all hosts, Own those of this host, and Slots the number that they
		// run at once.
		Running, Own, Slots int
		// Free is the number of slots that are not in use; they lack token memory for the
		// request.
		Free int
		// Hosts is the number of hosts that share what becomes free.
		Hosts int
		// Ahead is the number of requests that wait at this host and go first.
		Ahead int
		// FirstByteIn and AnswerIn are the expected times until the first byte and the
		// complete answer of an upstream that queues the request because it has no room.
		FirstByteIn, AnswerIn time.Duration
		// In is the expected time until the request has room, if the caller has estimated
		// it from limits of its own; zero means that it follows from the other fields.
		In time.Duration
		// Required means that the request is not sent without room, so that FirstByteIn
		// and AnswerIn do not count.
		Required bool
	}

	// Decision is the verdict on a request with the figures that led to it.
	Decision struct {
		Verdict Verdict
		// Until is the end of the wait at the latest.
		Until time.Time
		// RetryAfter is the time after which a refused request should return, without
		// jitter.
		RetryAfter time.Duration
		Reason     Reason
		// RoomIn is the expected time until the request has room, and Needs the time that
		// it takes from then on.
		RoomIn, Needs time.Duration
		Room          Room
	}
)

// fits reports whether the upstream has a slot and token memory for the request. One
// that is idle has room for any request.
func (c *Candidate) fits(r *Request) bool {
	return c.Running == 0 || c.Running < c.Slots && (c.Memory <= 0 || c.Tokens+r.Tokens <= c.Memory)
}

// score is the time until the request's first byte, in tokens of work at the usual
// speed, with the penalties.
func (c *Candidate) score() float64 { return (c.Work+c.Reading)/c.Speed + c.Penalty }

// Choose returns the index of the best upstream, -1 if there is none, and whether it
// has room for the request. The best has room, can complete the answer before the
// deadline, and has the earliest first byte, in that order.
func Choose(cands []Candidate, r *Request, s *Service, now time.Time, sp Spread) (best int, fits bool) {
	limits := s.limits(r, now)
	first := 0
	if sp.Random > 0 {
		// Equal upstreams are met in another order by each host.
		first = int(sp.Random * float64(len(cands)))
	}
	best = -1
	var bestScore float64
	bestLevel := -1
	for k := range cands {
		i := k + first
		if i >= len(cands) {
			i -= len(cands)
		}
		c := &cands[i]
		score, level := c.score(), full
		switch {
		case !c.fits(r):
		case limits.allow(c):
			level = inTime
		default:
			level = hasRoom
		}
		if best < 0 || level > bestLevel || level == bestLevel && (score < bestScore || score == bestScore && c.Rank > cands[best].Rank) {
			best, bestScore, bestLevel = i, score, level
		}
	}
	if best < 0 || bestLevel == full {
		return best, false
	}
	if b := &cands[best]; b.Home && sp.Unseen >= minSpreadWork*b.Reading {
		best = spread(cands, r, limits, best, bestLevel, sp)
	}
	return best, true
}

// spread chooses among the upstreams that are like the best one, in proportion to the
// work that each lacks to the level that all would reach if the hosts shared the unseen
// work out evenly. All hosts see the same loads, 50 to 250 ms late, and would otherwise
// send everything to the upstream that had the least work then.
func spread(cands []Candidate, r *Request, l limits, best, level int, sp Spread) int {
	var lowest [maxSpread]int
	var scores [maxSpread]float64
	n := 0
	first := int(sp.Random * float64(len(cands)))
	for k := range cands {
		i := k + first
		if i >= len(cands) {
			i -= len(cands)
		}
		c := &cands[i]
		// The penalty of another zone, or of a missing prefix, makes another class.
		if !c.Home || c.Penalty != cands[best].Penalty {
			continue
		}
		score := c.score()
		if n == maxSpread && score >= scores[n-1] || !c.fits(r) || level == inTime && !l.allow(c) {
			continue
		}
		j := min(n, maxSpread-1)
		n = min(n+1, maxSpread)
		for ; j > 0 && scores[j-1] > score; j-- {
			lowest[j], scores[j] = lowest[j-1], scores[j-1]
		}
		lowest[j], scores[j] = i, score
	}
	// The level of all that the unseen work of n upstreams reaches.
	unseen, sum, used := sp.Unseen*float64(n), 0.0, 0
	var waterline float64
	for used < n {
		sum += scores[used]
		used++
		waterline = (unseen + sum) / float64(used)
		if used < n && waterline <= scores[used] {
			break
		}
	}
	// The first digits of Random have set the order, the others choose.
	x := fraction(sp.Random*float64(len(cands))) * unseen
	for k := range used {
		if x -= waterline - scores[k]; x <= 0 {
			return lowest[k]
		}
	}
	return best
}

func fraction(x float64) float64 { return x - float64(int(x)) }

// Decide returns what happens to a request for which no upstream has room. It waits for
// its time and is then sent, to be queued by an upstream, if its first event can still be
// there by its objective. It is refused as soon as neither the wait nor an upstream's
// queue gives an answer before the deadline.
//
// Requests that would be late are refused after their wait although their answer might
// come before the deadline: an upstream's queue of late requests makes all later ones late
// as well, for as long as the overload lasts. Their callers return when there is room.
func Decide(r *Request, s *Service, room Room, now time.Time) Decision {
	d := Decision{Room: room, RoomIn: s.roomIn(room), Needs: max(s.needs(r), r.RunTime)}
	if room.In > 0 {
		d.RoomIn = room.In
	}
	left, latest := r.Deadline.Sub(now), r.Deadline.Add(-d.Needs)
	d.Until = r.Arrived.Add(time.Duration(waitFraction * float64(r.Objective.Sub(r.Arrived))))
	if latest.Before(d.Until) {
		d.Until = latest
	}
	exceeds := func(expected, limit time.Duration) bool { return certainty*float64(expected) >= float64(limit) }
	noAnswer := room.Required || exceeds(room.AnswerIn, left)
	switch {
	case noAnswer && exceeds(d.RoomIn+d.Needs, left):
		return d.Refused(NoTime)
	case now.Before(d.Until):
		d.Verdict = Wait
	case noAnswer:
		return d.Refused(NoTime)
	case !r.SendLate && exceeds(room.FirstByteIn, r.Objective.Sub(now)):
		return d.Refused(Late)
	}
	return d
}

// Refused returns the decision as a refusal for the reason.
func (d Decision) Refused(reason Reason) Decision {
	d.Verdict, d.Reason = Refuse, reason
	d.RetryAfter = min(max(d.RoomIn, minRetryAfter), maxRetryAfter)
	return d
}
