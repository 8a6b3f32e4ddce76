package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailwall/admitter"
)

const (
	// DefaultMaxWaiting is the number of requests of a service that may wait at a host.
	DefaultMaxWaiting = 256
	// MaxMaxWaiting is the largest number that a setting may allow.
	MaxMaxWaiting = 10_000
	// DefaultMaxWaitingBytes bounds the memory of the bodies of the requests that wait.
	DefaultMaxWaitingBytes = 16 << 20

	// maxSkipped is the number of waiting requests without room that others may pass at a
	// time because they need less token memory.
	maxSkipped = 8
	// idleWaitFactor is the multiple of a request's own time to the first byte up to which
	// an upstream counts as nearly idle.
	idleWaitFactor = 1.25
	// sentWorkHalfLife is the half-life of the rate at which this host sends work.
	sentWorkHalfLife = time.Second
)

type (
	// AdmissionSettings bounds the requests that wait for room.
	AdmissionSettings struct {
		// MaxWaiting and MaxWaitingBytes bound the requests of a service that wait and the
		// memory of their bodies; zero means DefaultMaxWaiting and DefaultMaxWaitingBytes.
		MaxWaiting      int
		MaxWaitingBytes int64
		// SendLate sends requests after their wait although they will be late, instead of
		// refusing them.
		SendLate bool
		// Random returns a number from 0 up to 1; nil means that of math/rand.
		Random func() float64
	}

	// AdmissionRequest holds the properties of a request to engines that its admission
	// depends on. Without Slots, requests are always sent.
	AdmissionRequest struct {
		// Slots is the number of requests that an engine runs at once, and MemoryTokens the
		// tokens that fit its memory, zero if unknown.
		Slots, MemoryTokens int
		Model               string
		// Tokens is the token memory that the request needs, and OutputTokens the part of it
		// that is generated, zero if unknown because an earlier attempt generated some.
		Tokens, OutputTokens float64
		// Arrived is when the request arrived, Objective when its first event, and Deadline
		// when the complete answer is due.
		Arrived, Objective, Deadline time.Time
		// Due is Objective or, if the request was refused before, the one that it had then.
		Due       time.Time
		Priority  int
		Workspace string
		// Bytes is the size of the body.
		Bytes int64
		// Continued requests are sent even if no upstream has room: the caller has received
		// a part of the answer, or another upstream may have run the request.
		Continued bool

		// room is set for requests that may wait. It says why there is no upstream.
		room *missingRoom
	}

	// missingRoom is set if the usable upstreams have no room for a request.
	missingRoom struct {
		full bool
		room admitter.Room
	}

	// Admission is the decision on a request: at most one of Ticket and Place is set, and
	// Refusal.Verdict is admitter.Refuse if the request is refused. Nothing is set if no
	// upstream is usable.
	Admission struct {
		Ticket  *Ticket
		Place   *Place
		Refusal admitter.Decision
	}

	// Expectation is what is expected of a request that is sent now.
	Expectation struct {
		// Known means that the time to the first byte of such requests is known.
		Known bool
		// Room means that an upstream has room for the request and no other request waits.
		Room      bool
		FirstByte time.Duration
		// Alone is FirstByte without the work that is known at the upstream.
		Alone time.Duration
	}

	// Place is the place of a request that waits. It must be ended with Leave.
	Place struct {
		p         *Placer
		admission *admission
		service   string
		request   Request
		entry     admitter.Entry
		queued    bool
		ready     chan struct{}
		ticket    *Ticket
	}

	// admission is what the placer knows about a service whose configuration states the
	// slots of its engines.
	admission struct {
		service admitter.Service
		queue   admitter.Queue
		// sentWork is the work per second that this host sends, in tokens of the largest
		// model, as of sentAt.
		sentWork float64
		sentAt   time.Time
		// candidates and upstreams are the memory of earliestFirstByte.
		candidates []admitter.Candidate
		upstreams  []*upstream
		// chosen and alone are the expected times to the first byte, with and without the
		// work that is known there, at the upstream that
		// earliestFirstByte returned last.
		chosen, alone time.Duration
	}

	// upstreamAdmission adds to an upstream the token memory of this host's requests, the
	// loads of the other hosts as last received, and its relative speed.
	upstreamAdmission struct {
		tokens float64
		remote Load
		speed  admitter.Speed
	}

	// admittedAttempt is what the estimates learn from when an attempt ends.
	admittedAttempt struct {
		admission *admission
		request   AdmissionRequest
		sentAt    time.Time
		// firstByteAt is zero until the first byte, and batch the number of requests at the
		// upstream then.
		firstByteAt time.Time
		batch       int
		// work is the known work at the upstream when the request was sent, including its
		// own, and hadRoom says that the upstream had a slot for it then.
		work      float64
		hadRoom   bool
		discarded bool
	}
)

// estimates reports whether the time to the first byte of such requests is known. Until
// then, they are placed by leastWork and do not wait.
func (pl *pool) estimates(r Request) bool {
	return r.Admission.Slots > 0 && pl.admission != nil && pl.admission.service.Knows(r.Admission.Model)
}

// Admit chooses an upstream for a request as Pick does. If no usable upstream has room
// for it, or others wait for room, it decides whether the request waits or is refused.
func (p *Placer) Admit(r Request) Admission {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[r.Service]
	if pl == nil {
		return Admission{}
	}
	if r.Admission.Continued || !pl.estimates(r) {
		return Admission{Ticket: p.pick(pl, r)}
	}
	r.Admission.room = &missingRoom{}
	a, now := pl.admission, p.settings.Clock.Now()
	waiting := a.queue.Len() > 0
	if !waiting {
		if t := p.pick(pl, r); t != nil || !r.Admission.room.full {
			return Admission{Ticket: t}
		}
	} else if u, cold := p.chooseUpstream(pl, r); u == nil && !r.Admission.room.full {
		p.recordChoice(cold, false, now)
		return Admission{}
	}
	req := p.admitted(&r)
	room := r.Admission.room.room
	room.Ahead = a.queue.Ahead(req.Priority)
	d := admitter.Decide(req, &a.service, room, now)
	switch d.Verdict {
	case admitter.Send:
		r.Admission.room = nil
		return Admission{Ticket: p.pick(pl, r)}
	case admitter.Refuse:
	case admitter.Wait:
		w := &Place{p: p, admission: a, service: r.Service, request: r, queued: true, ready: make(chan struct{}, 1)}
		w.entry = admitter.Entry{Request: *req, Until: d.Until, Value: w}
		if a.queue.Push(&w.entry, now) {
			if !r.Admission.room.full && p.drain(pl, 1, now) == 0 && w.queued {
				// Those that wait need more token memory or other upstreams.
				if w.ticket = p.pick(pl, r); w.ticket != nil {
					w.queued = false
					a.queue.Remove(&w.entry)
				}
			}
			if w.ticket != nil {
				return Admission{Ticket: w.ticket}
			}
			return Admission{Place: w}
		}
		d = d.Refused(admitter.QueueFull)
	}
	if !r.Admission.room.full {
		// Others wait for this host's share of the free capacity; there is no place for
		// this request among them.
		return Admission{Ticket: p.pick(pl, r)}
	}
	return Admission{Refusal: d}
}

// Expect returns what is expected of a request without sending it.
func (p *Placer) Expect(r Request) Expectation {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[r.Service]
	if pl == nil || !pl.estimates(r) {
		return Expectation{}
	}
	r.Admission.room = &missingRoom{}
	pl.admission.chosen, pl.admission.alone = 0, 0
	u, cold := p.chooseUpstream(pl, r)
	if u == nil || cold.trial {
		return Expectation{Known: true}
	}
	return Expectation{Known: true, Room: pl.admission.queue.Len() == 0, FirstByte: pl.admission.chosen, Alone: pl.admission.alone}
}

// InTime reports whether the first byte is expected in time. That is by the objective or,
// where the upstream is nearly idle, by the deadline: by the objective alone, the longest
// prompts would never get a larger model's answer.
func (e Expectation) InTime(now, objective, deadline time.Time) bool {
	if float64(e.FirstByte) <= idleWaitFactor*float64(e.Alone) {
		objective = deadline
	}
	return now.Add(e.FirstByte).Before(objective)
}

// Ready returns a channel that delivers once the request is to leave its place.
func (w *Place) Ready() <-chan struct{} { return w.ready }

// Until returns the end of the wait at the latest.
func (w *Place) Until() time.Time { return w.entry.Until }

// Check sends waiting requests if this host has no loads of others, which would cause
// that.
func (w *Place) Check() {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	now := w.p.settings.Clock.Now()
	if pl := w.p.pools[w.service]; pl != nil && (w.p.hosts <= 1 || now.Sub(w.p.remoteLoadsAt) > remoteLoadsTTL) {
		w.p.drain(pl, math.MaxInt, now)
	}
}

// Leave ends the wait. It returns the attempt that the request has got, nil if none, and
// the time for which it has waited.
func (w *Place) Leave() (*Ticket, time.Duration) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if w.queued {
		w.queued = false
		w.admission.queue.Remove(&w.entry)
	}
	return w.ticket, w.entry.Waited(w.p.settings.Clock.Now())
}

// Waiting returns the number of requests of the service that wait.
func (p *Placer) Waiting(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl := p.pools[service]; pl != nil && pl.admission != nil {
		return pl.admission.queue.Len()
	}
	return 0
}

// drain sends at most limit of the requests that wait and returns how many it has sent.
func (p *Placer) drain(pl *pool, limit int, now time.Time) int {
	a, sent := pl.admission, 0
	var skipped []*admitter.Entry
	for sent < limit && len(skipped) < maxSkipped {
		e := a.queue.Take(now)
		if e == nil {
			break
		}
		w := e.Value.(*Place)
		if !now.Before(e.Until) {
			w.end(nil)
			continue
		}
		*w.request.Admission.room = missingRoom{}
		if t := p.pick(pl, w.request); t != nil {
			a.queue.Charge(e)
			w.end(t)
			sent++
			continue
		}
		skipped = append(skipped, e)
		anyUpstream := w.request.Versions == (VersionFilter{}) && len(w.request.Tried) == 0
		if anyUpstream && w.request.Admission.room.room.Free == 0 {
			break
		}
	}
	for _, e := range skipped {
		a.queue.Return(e)
	}
	return sent
}

// end tells the request to leave its place.
func (w *Place) end(t *Ticket) {
	w.queued, w.ticket = false, t
	w.ready <- struct{}{}
}

// drainFree sends this host's share of the requests for which other hosts have left free
// slots, so that hosts with a backlog do not fill them several times over.
func (p *Placer) drainFree(now time.Time) {
	for _, pl := range p.pools {
		if pl.admission == nil || pl.admission.queue.Len() == 0 {
			continue
		}
		free, slots := 0, pl.admission.queue.First().Value.(*Place).request.Admission.Slots
		slots += pl.admission.service.Ended(slots, p.remoteLoadsInterval)
		for _, u := range pl.upstreams {
			free += max(0, slots-u.running-int(u.admitted.remote.Running))
		}
		share := float64(free)/float64(max(p.hosts, 1)) + p.random()
		p.drain(pl, int(share), now)
	}
}

// earliestFirstByte returns the upstream with the earliest expected first byte, nil if
// none has room and the request may wait. With equal speeds and room everywhere, it is
// that of leastWork.
func (p *Placer) earliestFirstByte(pl *pool, local, remote []*upstream, loads map[uint32]Load, firstHomes int, r Request) *upstream {
	a, now := pl.admission, p.settings.Clock.Now()
	homes, caches := p.homes(pl, local, remote, firstHomes, r), pl.peekPrefixCaches(r.Group)
	slots, memory, hosts := r.Admission.Slots, float64(r.Admission.MemoryTokens), max(p.hosts, 1)
	if loads == nil {
		slots, memory = max(slots/hosts, 1), memory/float64(hosts)
	} else if hosts > 1 {
		// Some of the requests that were reported as running have ended by now.
		slots += a.service.Ended(slots, p.remoteLoadsInterval)
	}
	a.candidates, a.upstreams = a.candidates[:0], a.upstreams[:0]
	add := func(u *upstream, local bool) {
		var l Load
		if loads != nil {
			l = u.admitted.remote
		}
		c := admitter.Candidate{
			Work: u.work + float64(l.Work), Running: u.running + int(l.Running), Slots: slots,
			Tokens: u.admitted.tokens + float64(l.Running)*a.service.MeanTokens(), Memory: memory,
			Reading: r.Work, Speed: u.admitted.speed.At(now), Home: true,
		}
		home := true
		if r.Group != 0 || r.SharedTokens > 0 {
			c.Rank = mix64(u.hash ^ r.Group)
			home = slices.Contains(homes, u)
			if c.Home = home && slices.Contains(caches, u.loadID()); !c.Home {
				// uncachedTokenCost includes the time to read the prefix.
				c.Reading += r.SharedWork
				c.Penalty -= r.SharedWork
			}
		}
		if !home {
			c.Penalty += uncachedTokenCost * r.SharedTokens
		}
		if !local && (!home || r.SharedTokens <= crossZoneWork) {
			c.Penalty += crossZoneWork
			// A faster engine alone is no reason to cross zones.
			c.Speed = min(c.Speed, 1)
		}
		a.candidates, a.upstreams = append(a.candidates, c), append(a.upstreams, u)
	}
	for _, u := range local {
		add(u, true)
	}
	for _, u := range remote {
		add(u, false)
	}
	req := p.admitted(&r)
	best, fits := admitter.Choose(a.candidates, req, &a.service, now, p.spread(a, loads, now))
	if !fits && r.Admission.room != nil {
		*r.Admission.room = missingRoom{full: true, room: p.room(a, hosts)}
		room := &r.Admission.room.room
		room.FirstByteIn, room.AnswerIn = a.service.QueuedIn(&a.candidates[best], req)
		return nil
	}
	idle := a.candidates[best]
	idle.Work = 0
	a.chosen, a.alone = a.service.FirstByte(&a.candidates[best], req), a.service.FirstByte(&idle, req)
	return a.upstreams[best]
}

// spread returns how to spread requests over good upstreams: other hosts send as much
// work as this one, and loads are one interval late.
func (p *Placer) spread(a *admission, loads map[uint32]Load, now time.Time) admitter.Spread {
	if p.hosts <= 1 || loads == nil {
		return admitter.Spread{}
	}
	late := min(p.remoteLoadsInterval, remoteLoadsTTL)
	unseen := a.sentWorkAt(now) * float64(p.hosts-1) * late.Seconds()
	return admitter.Spread{Unseen: unseen / float64(len(a.candidates)), Random: p.random()}
}

// room returns what is known about the capacity of the candidates.
func (p *Placer) room(a *admission, hosts int) admitter.Room {
	room := admitter.Room{Hosts: hosts}
	for i := range a.candidates {
		c := &a.candidates[i]
		room.Running += c.Running
		room.Own += a.upstreams[i].running
		room.Slots += c.Slots
		room.Free += max(0, c.Slots-c.Running)
	}
	return room
}

// remoteRunning returns the number of requests of other hosts, zero if loads, what is known
// of them, is nil. It looks nothing up, since it is called for each upstream.
func (u *upstream) remoteRunning(loads map[uint32]Load) int {
	if loads == nil {
		return 0
	}
	return int(u.admitted.remote.Running)
}

func (p *Placer) random() float64 {
	if p.settings.Admission.Random != nil {
		return p.settings.Admission.Random()
	}
	return rand.Float64()
}

// admitted returns the request as the admitter knows it.
func (p *Placer) admitted(r *Request) *admitter.Request {
	a := &r.Admission
	return &admitter.Request{
		Model: a.Model, Work: r.Work, Tokens: a.Tokens, OutputTokens: a.OutputTokens, Arrived: a.Arrived, Objective: a.Objective,
		Deadline: a.Deadline, Due: a.Due, Priority: a.Priority, Workspace: a.Workspace, Bytes: a.Bytes,
		SendLate: p.settings.Admission.SendLate,
	}
}

// recordAdmitted records an attempt that begins.
func (p *Placer) recordAdmitted(t *Ticket, pl *pool, r Request) {
	if r.Admission.Slots <= 0 {
		return
	}
	if pl.admission == nil {
		pl.admission = &admission{}
		pl.admission.queue.MaxEntries, pl.admission.queue.MaxBytes = DefaultMaxWaiting, DefaultMaxWaitingBytes
		if s := p.settings.Admission; s.MaxWaiting > 0 {
			pl.admission.queue.MaxEntries = s.MaxWaiting
		}
		if s := p.settings.Admission; s.MaxWaitingBytes > 0 {
			pl.admission.queue.MaxBytes = s.MaxWaitingBytes
		}
	}
	a, now := pl.admission, p.settings.Clock.Now()
	a.sentWork, a.sentAt = a.sentWorkAt(now)+t.work*math.Ln2/sentWorkHalfLife.Seconds(), now
	a.service.RecordSent(r.Admission.Tokens)
	t.up.admitted.tokens += r.Admission.Tokens
	t.admitted = admittedAttempt{admission: a, request: r.Admission, sentAt: now}
	var l Load
	if now.Sub(p.remoteLoadsAt) <= remoteLoadsTTL {
		l = t.up.admitted.remote
	}
	t.admitted.work = t.up.work + float64(l.Work)
	t.admitted.hadRoom = t.up.running+int(l.Running) <= r.Admission.Slots
}

// sentWorkAt returns the work per second that this host sends.
func (a *admission) sentWorkAt(now time.Time) float64 {
	return a.sentWork * math.Exp2(-float64(now.Sub(a.sentAt))/float64(sentWorkHalfLife))
}

// recordFirstByte records that the generation has begun.
func (t *Ticket) recordFirstByte() {
	a := &t.admitted
	if a.admission == nil || !a.firstByteAt.IsZero() {
		return
	}
	a.firstByteAt = t.p.settings.Clock.Now()
	a.batch = t.up.running + int(t.up.admitted.remote.Running)
}

// DiscardGeneration records that the answer is not read to its end, so that the duration
// of the attempt says nothing about the time to generate one.
func (t *Ticket) DiscardGeneration() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.admitted.discarded = true
}

// endAdmitted learns from an attempt that has ended and gives its room to one that waits.
func (t *Ticket) endAdmitted(outcome Outcome, firstByte time.Duration) {
	a := &t.admitted
	if a.admission == nil {
		return
	}
	now := t.p.settings.Clock.Now()
	t.up.admitted.tokens -= a.request.Tokens
	if outcome == Succeeded {
		s := &a.admission.service
		if firstByte > 0 {
			s.RecordFirstByte(a.request.Model, a.work, firstByte, &t.up.admitted.speed, now)
		}
		if !a.firstByteAt.IsZero() && !a.discarded {
			s.RecordGeneration(a.request.Model, a.request.OutputTokens, a.batch, now.Sub(a.firstByteAt))
			if a.hadRoom {
				s.RecordHeld(now.Sub(a.sentAt))
			}
		}
	}
	if pl := t.p.pools[t.listed.Service]; pl != nil && pl.admission == a.admission && a.admission.queue.Len() > 0 {
		t.p.drain(pl, 1, now)
	}
}
