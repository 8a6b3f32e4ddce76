package isolator

import (
	"maps"
	"math"
	"time"

	"foxtailwall/controller"
)

const (
	// falsePositives is the expected number of harmless parts, or requests, with as much
	// evidence against them, up to which one is isolated.
	falsePositives = 1e-3
	// commonShare is the share of a service's attempts from which a part that was
	// isolated before is judged like any other.
	commonShare = 0.05
	// pervasiveShare is the share of crashes at which a part is expected from which too
	// few without it remain for an estimate.
	pervasiveShare = 0.9
	// rareBreak is the probability that an attempt is broken off while nothing else is.
	// It is an assumption for services with few requests.
	rareBreak = 0.01
	// attemptLead is how long before a crash attempts are counted with those that it
	// breaks off: the usual time until an answer.
	attemptLead = 1500 * time.Millisecond
)

// share returns the share of a part in the attempts to its service between two times,
// and false if no host has reported the attempts.
func (j *Judge) share(part controller.PromptPart, s *suspect, from, to time.Time) (float64, bool) {
	all := j.tallies.between(whole(part.Service), from, to).sent
	if all == 0 {
		return 0, false
	}
	requests := make(map[uint64]bool)
	for _, c := range s.crashes {
		maps.Copy(requests, c.requests)
	}
	with := max(len(requests), j.tallies.between(tallied{part: part}, from, to).sent)
	return min(1, float64(with)/float64(max(all, with))), true
}

// surprise returns how unlikely the evidence against a part would be if the part were
// harmless, as the negative natural logarithm of the probability. It is infinite if
// hosts do not report what it needs.
//
// A harmless part is present at a crash with the probability that one of the broken
// requests has it, and has its share of the answers.
func (j *Judge) surprise(part controller.PromptPart, s *suspect, until time.Time) float64 {
	counted := s.counted(until)
	if len(counted) == 0 {
		return 0
	}
	first := s.crashes[counted[0]].at
	share, ok := j.share(part, s, first.Add(-attemptLead), until)
	if !ok {
		return math.Inf(1)
	}
	// The first crash made the part a suspect.
	fresh, repeated := s.split(counted)
	present, expected, all := 0, 0.0, 0
	elsewhere, broken := 0, 0
	for upstream, c := range j.crashed {
		if c.service != part.Service || c.at.Before(first.Add(-attemptLead)) {
			continue
		}
		own := s.crashes[upstream] != nil
		broken += len(c.requests)
		if !own {
			elsewhere += len(c.requests)
		}
		// Reports of crashes at the same time arrive within crashSpread.
		if own && !fresh[upstream] || c.at.Before(first.Add(-crashSpread)) || c.at.After(until) {
			continue
		}
		if own {
			present++
		}
		all++
		expected += 1 - math.Pow(1-share, float64(len(c.requests)))
	}
	sent := j.tallies.between(whole(part.Service), first.Add(-attemptLead), until).sent
	// Crashes without the part, which it did not cause, tell how often attempts are broken
	// off by chance, unless it is expected at nearly all.
	if absent := 1 - expected/float64(max(all, 1)); absent > 1-pervasiveShare {
		broken = int(math.Ceil(float64(elsewhere) / absent))
	}
	return excess(present, expected, all) - float64(repeated)*math.Log(breakProbability(broken, sent)) + j.missingAnswers(part, s, first)
}

// split returns the crashes after the first at which a request had the part that was at
// none before, and the number of the others. That a request is sent again tells nothing
// of the part's share.
func (s *suspect) split(counted []uint64) (fresh map[uint64]bool, repeated int) {
	seen := make(map[uint64]bool)
	fresh = make(map[uint64]bool)
	for i, u := range counted {
		before := len(seen)
		maps.Copy(seen, s.crashes[u].requests)
		switch {
		case i == 0:
		case len(seen) > before:
			fresh[u] = true
		default:
			repeated++
		}
	}
	return fresh, repeated
}

// breakProbability estimates the probability that an attempt is broken off from the
// numbers of attempts that were broken off and sent.
func breakProbability(broken, sent int) float64 {
	if broken == 0 {
		return min(rareBreak, 0.5/float64(max(sent, 1)))
	}
	return float64(broken) / float64(max(broken, sent))
}

// excess returns the Chernoff bound, as a negative natural logarithm, of the probability
// that at least some number of independent events happen of which fewer are expected.
func excess(happened int, expected float64, all int) float64 {
	if all == 0 || float64(happened) <= expected {
		return 0
	}
	n := float64(all)
	f, p := float64(happened)/n, max(expected/n, 1e-9)
	d := f * math.Log(f/p)
	if f < 1 {
		d += (1 - f) * math.Log((1-f)/(1-p))
	}
	return n * d
}

// missingAnswers returns how unlikely it is, as a negative natural logarithm, that all
// answers to attempts that were sent after a part's first crash are to attempts without
// the part.
func (j *Judge) missingAnswers(part controller.PromptPart, s *suspect, first time.Time) float64 {
	from, to := first.Add(tallySlot), j.clock.Now()
	answered := j.tallies.between(whole(part.Service), from, to).answered
	sent := j.tallies.between(whole(part.Service), from, to).sent
	with := j.tallies.between(tallied{part: part}, from, to).sent
	if answered == 0 || with == 0 || !s.succeeded.Before(first) {
		return 0
	}
	if with >= sent {
		return 0
	}
	return -float64(answered) * math.Log1p(-float64(with)/float64(sent))
}

// isSurprising reports whether the evidence against a part is more than chance gives any
// of the suspects.
func (j *Judge) isSurprising(part controller.PromptPart, s *suspect, until time.Time) bool {
	// The tallies of the time of older crashes are forgotten.
	if j.clock.Now().Sub(s.reported) > baseTime {
		return false
	}
	s.candidates = max(s.candidates, len(j.suspects))
	return j.surprise(part, s, until) >= math.Log(float64(s.candidates)/falsePositives)
}
