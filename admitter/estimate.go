package admitter

import (
	"math"
	"time"
)

const (
	// minSamples is the number of first bytes of a model from which its time is known.
	minSamples = 12
	// sampleDecay is the factor by which the weight of earlier samples of a model falls
	// with each new one: about the last 50 count.
	sampleDecay = 0.98
	// speedWeight is the weight of the latest sample in the speed of an upstream.
	speedWeight = 0.3
	// speedHalfLife is the time in which half of the difference between an upstream's
	// speed and the usual one is forgotten: upstreams are slow for seconds.
	speedHalfLife = 3 * time.Second
	// minSpeed and maxSpeed bound the speed of an upstream.
	minSpeed, maxSpeed = 0.25, 2
	// minSpeedSample is the expected time to the first byte in ms from which a sample says
	// something about the speed: the network and a step of the engine take about 10 ms,
	// whatever the work.
	minSpeedSample = 40.0
	// maxSurprise bounds a sample as a multiple of its expected value: a response may be
	// late for reasons other than the work.
	maxSurprise = 4.0
	// meanWeight is the weight of the latest request in the means of a service.
	meanWeight = 0.05
	// minVariation is the variance of the samples, relative to the square of their mean,
	// from which the slope of a line is more than noise.
	minVariation = 1e-2
	minDivisor   = 1e-9
	// maxEnded bounds the part of an upstream's requests that may have ended since the
	// loads were reported.
	maxEnded = 0.5
)

type (
	// Service learns the speed of the upstreams of a service, for all of them together by
	// model. Its zero value knows nothing and is ready to use.
	Service struct {
		models map[string]*model
		// tokens is the mean token memory of a request, and hold the mean time in ms for
		// which it has a slot.
		tokens, hold mean
	}

	// model is what is known about the requests of one model.
	model struct {
		// firstByte is the time to the first byte in ms by the work before it. It includes
		// the waits at upstreams that queue requests.
		firstByte ratio
		// pause is the time between tokens by the number of requests in the batch.
		pause line
	}

	// Speed is the speed of one upstream relative to the others of its service. Its zero
	// value means the usual speed.
	Speed struct {
		// log is the logarithm of the speed at the time at.
		log float64
		at  time.Time
	}

	// ratio is the sum of y divided by that of x. A line with a slope and a base would have
	// too small a slope, since the loads of other hosts are known late.
	ratio struct {
		n    int
		x, y float64
	}

	// line is a straight line fitted to samples, whose weights fall with their age. While
	// the samples hardly differ in x, it is flat.
	line struct {
		w, x, y, xx, xy float64
		base, slope     float64
	}

	mean struct {
		n     int
		value float64
	}
)

// Knows reports whether the time to the first byte is known for the model.
func (s *Service) Knows(model string) bool {
	m := s.models[model]
	return m != nil && m.firstByte.n >= minSamples
}

// RecordSent adds the token memory of a request to the mean.
func (s *Service) RecordSent(tokens float64) { s.tokens.add(tokens) }

// MeanTokens returns the mean token memory of a request.
func (s *Service) MeanTokens() float64 { return s.tokens.value }

// RecordFirstByte adds a time to the first byte at an upstream whose known work was
// work, including that of the request.
func (s *Service) RecordFirstByte(name string, work float64, took time.Duration, speed *Speed, now time.Time) {
	m := s.model(name)
	ms := milliseconds(took)
	if m.firstByte.n >= minSamples {
		expected := m.firstByte.at(work)
		ms = min(ms, maxSurprise*expected)
		if expected >= minSpeedSample {
			speed.add(expected/max(ms, minDivisor), now)
		}
	}
	m.firstByte.add(work, ms)
}

// RecordGeneration adds the time between the first byte and the end of an answer of at
// most tokens tokens, in a batch of the given size.
func (s *Service) RecordGeneration(name string, tokens float64, batch int, took time.Duration) {
	if tokens > 0 {
		s.model(name).pause.add(float64(batch), milliseconds(took)/tokens)
	}
}

// RecordHeld adds the time for which a request had its slot.
func (s *Service) RecordHeld(d time.Duration) { s.hold.add(milliseconds(d)) }

// Ended returns the number of requests that are expected to have ended at an upstream with
// full slots since loads of the given age, at most half of them.
func (s *Service) Ended(slots int, age time.Duration) int {
	if s.hold.value <= 0 {
		return 0
	}
	return int(float64(slots) * min(milliseconds(age)/s.hold.value, maxEnded))
}

func (s *Service) model(name string) *model {
	if s.models == nil {
		s.models = make(map[string]*model)
	}
	m := s.models[name]
	if m == nil {
		m = &model{}
		s.models[name] = m
	}
	return m
}

// FirstByte returns the expected time to the first byte at a candidate that has room;
// zero if it is not known.
func (s *Service) FirstByte(c *Candidate, r *Request) time.Duration {
	m := s.models[r.Model]
	if m == nil {
		return 0
	}
	return fromMilliseconds(m.firstByte.at((c.Work + c.Reading) / c.Speed))
}

// QueuedIn returns the expected times until the first byte and the complete answer of a
// candidate that has no room for the request and queues it; zero if they are not known.
func (s *Service) QueuedIn(c *Candidate, r *Request) (firstByte, answer time.Duration) {
	m := s.models[r.Model]
	if m == nil {
		return 0, 0
	}
	slots := max(c.Slots, 1)
	turn := s.hold.value * float64(max(c.Running-c.Slots, 0)+1) / float64(slots)
	ms := max(m.firstByte.at((c.Work+c.Reading)/c.Speed), turn+m.firstByte.at(c.Reading/c.Speed))
	return fromMilliseconds(ms), fromMilliseconds(ms + r.OutputTokens*m.pause.at(float64(slots))/c.Speed)
}

// limits holds what decides whether a candidate can complete an answer in time.
type limits struct {
	// left is the time to the deadline, perWork the time to read a token of work, both in
	// ms. The time to generate the answer is base, and perRequest for each in the batch.
	left, perWork, base, perRequest float64
}

// limits returns the limits of a request; those of an unknown model never apply.
func (s *Service) limits(r *Request, now time.Time) limits {
	m := s.models[r.Model]
	if m == nil || r.Deadline.IsZero() {
		return limits{left: math.Inf(1)}
	}
	return limits{
		left: milliseconds(r.Deadline.Sub(now)), perWork: m.firstByte.at(1),
		base: r.OutputTokens * m.pause.base, perRequest: r.OutputTokens * m.pause.slope,
	}
}

// allow reports whether the candidate can complete the answer before the deadline.
func (l *limits) allow(c *Candidate) bool {
	ms := l.perWork*(c.Work+c.Reading) + l.base + l.perRequest*float64(c.Running+1)
	return ms <= l.left*c.Speed
}

// needs returns the time that the request takes once it has room, at least: that of an
// upstream without other work.
func (s *Service) needs(r *Request) time.Duration {
	m := s.models[r.Model]
	if m == nil {
		return 0
	}
	return fromMilliseconds(m.firstByte.at(r.Work) + r.OutputTokens*m.pause.at(1))
}

// roomIn returns the expected time until a request has room. This host fills what its
// own requests leave, or its even share of what those of all hosts do.
func (s *Service) roomIn(room Room) time.Duration {
	ending := min(room.Running, max(room.Slots, 1))
	share := max(float64(min(room.Own, ending)), float64(ending)/float64(max(room.Hosts, 1)))
	if share <= 0 {
		return 0
	}
	// Requests beyond the slots of an upstream take the slots that become free first.
	excess := float64(max(room.Running-room.Slots, 0)) / float64(ending)
	return fromMilliseconds(s.hold.value * (excess + float64(room.Ahead+1)/share))
}

// At returns the speed, 1 if it is not known.
func (v *Speed) At(now time.Time) float64 {
	if v.log == 0 {
		return 1
	}
	return math.Exp(v.logAt(now))
}

func (v *Speed) logAt(now time.Time) float64 {
	return v.log * math.Exp2(-float64(now.Sub(v.at))/float64(speedHalfLife))
}

func (v *Speed) add(sample float64, now time.Time) {
	current := v.logAt(now)
	v.log = current + speedWeight*(math.Log(min(max(sample, minSpeed), maxSpeed))-current)
	v.at = now
}

func (q *ratio) add(x, y float64) {
	q.n++
	q.x, q.y = sampleDecay*q.x+x, sampleDecay*q.y+y
}

func (q *ratio) at(x float64) float64 { return q.y / max(q.x, minDivisor) * x }

func (l *line) add(x, y float64) {
	l.w, l.x, l.y = sampleDecay*l.w+1, sampleDecay*l.x+x, sampleDecay*l.y+y
	l.xx, l.xy = sampleDecay*l.xx+x*x, sampleDecay*l.xy+x*y
	meanX, meanY := l.x/l.w, l.y/l.w
	l.base, l.slope = meanY, 0
	if v := l.xx/l.w - meanX*meanX; v > minVariation*meanX*meanX {
		l.slope = max(0, (l.xy/l.w-meanX*meanY)/v)
		l.base = max(0, meanY-l.slope*meanX)
	}
}

func (l *line) at(x float64) float64 { return l.base + l.slope*x }

func (m *mean) add(x float64) {
	m.n++
	m.value += max(meanWeight, 1/float64(m.n)) * (x - m.value)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(min(ms, 1e9) * float64(time.Millisecond))
}
