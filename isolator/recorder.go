package isolator

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailwall/buffer"
	"foxtailwall/controller"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

const (
	// crashReportTime is how long a crash is reported, so that neither a lost
	// report nor a new leader misses it.
	crashReportTime = 3 * time.Second
	// maxReportedCrashes bounds the crashes in a report; the oldest are dropped.
	maxReportedCrashes = 128
	// maxSuccesses bounds the parts, and the requests, whose last success is
	// remembered.
	maxSuccesses = 4096
	// breakMemory is how long breaks of requests are remembered for a new leader, and
	// maxBreaks bounds them; the oldest are dropped.
	breakMemory = time.Minute
	maxBreaks   = 128
	// unconfirmedTime is how long breaks by several upstreams are not reported while
	// no data comes from any: by then it is known whether the host has lost its path to
	// all of them.
	unconfirmedTime = 700 * time.Millisecond
)

type (
	// Recorder collects the evidence of one host. Make it with NewRecorder. It is
	// safe for use by several goroutines.
	Recorder struct {
		clock timekeeper.Clock
		// id identifies the recorder, and createdAt is the start of its first slot.
		id        uint64
		createdAt time.Time

		mu      sync.Mutex
		tallies hostTallies
		trials  hostTrials
		crashes []recordedCrash
		// succeeded has the successful attempt with the part that was sent last.
		succeeded *buffer.LRU[controller.PromptPart, recordedSuccess]
		suspects  []controller.PromptPart
		breaks    []BrokenRequest
		// requestSucceeded has the attempt of a request that got its whole response and
		// was sent last.
		requestSucceeded *buffer.LRU[controller.PromptPart, recordedSuccess]
		path             Path
		// leader is the leader that gets the reports, since leaderAt.
		leader   netip.AddrPort
		leaderAt time.Time
	}

	// Path is what a host knows of its path to the upstreams.
	Path struct {
		// ReceivedAt is when data was last received from an upstream, zero if that is
		// unknown.
		ReceivedAt time.Time
		// Lost says that the host reaches no upstream.
		Lost bool
	}

	// BrokenRequest is an attempt whose connection an upstream ended before the end
	// of its response.
	BrokenRequest struct {
		Service string
		// Content is a hash that is the same for each copy of the request.
		Content  uint64
		Upstream tracker.Key
		// ID is the request's ID, and Attempt the number of the attempt.
		ID      string
		Attempt int
		// brokenAt is set by RecordBrokenRequest.
		brokenAt time.Time
	}

	recordedCrash struct {
		Crash
		at time.Time
	}

	recordedSuccess struct{ sentAt, at time.Time }
)

// NewRecorder returns a recorder without evidence.
func NewRecorder(clock timekeeper.Clock) *Recorder {
	return &Recorder{
		clock: clock, id: rand.Uint64(), createdAt: clock.Now(), succeeded: buffer.NewLRU[controller.PromptPart, recordedSuccess](maxSuccesses),
		requestSucceeded: buffer.NewLRU[controller.PromptPart, recordedSuccess](maxSuccesses),
	}
}

// Request identifies all copies of a request by the hash of its content.
func Request(service string, content uint64) controller.PromptPart {
	return controller.PromptPart{Service: service, ID: content, Request: true}
}

// slot returns the number of the slot of a time.
func (r *Recorder) slot(t time.Time) uint64 { return uint64(max(0, t.Sub(r.createdAt)) / tallySlot) }

// RecordSent records that an attempt is being sent whose prompt has these shared parts.
func (r *Recorder) RecordSent(service string, parts []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slot := r.slot(r.clock.Now())
	r.tallies.add(slot, whole(service), tallyCount{sent: 1})
	for _, id := range parts {
		r.tallies.add(slot, tallied{part: controller.PromptPart{Service: service, ID: id}}, tallyCount{sent: 1})
	}
}

// RecordAnswered records that an attempt that was sent at a time got its whole response.
func (r *Recorder) RecordAnswered(service string, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tallies.add(r.slot(sentAt), whole(service), tallyCount{answered: 1})
}

// RecordBroken records that an upstream's connection ended before the end of its
// response. The content is a hash that is the same for each copy of the request. The
// parts are those that requests share, in the order of the prompt.
func (r *Recorder) RecordBroken(service string, upstream tracker.Key, content uint64, parts []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for i, id := range parts {
		r.crashes = append(r.crashes, recordedCrash{at: now, Crash: Crash{
			Part: controller.PromptPart{Service: service, ID: id}, Depth: len(parts) - i,
			Upstream: upstream.Hash(), Request: content,
		}})
	}
	if extra := len(r.crashes) - maxReportedCrashes; extra > 0 {
		r.crashes = slices.Delete(r.crashes, 0, extra)
	}
}

// RecordSuccess records that an attempt with these parts that was sent at a time got its
// whole response.
func (r *Recorder) RecordSuccess(service string, parts []uint64, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range parts {
		putSuccess(r.succeeded, controller.PromptPart{Service: service, ID: id}, recordedSuccess{sentAt, r.clock.Now()})
	}
}

// putSuccess stores a success, unless one is known whose attempt was sent later.
func putSuccess(to *buffer.LRU[controller.PromptPart, recordedSuccess], part controller.PromptPart, s recordedSuccess) {
	if known, ok := to.Peek(part); ok && known.sentAt.After(s.sentAt) {
		s = known
	}
	to.Put(part, s)
}

// RecordBrokenRequest records that an attempt has just been broken off.
func (r *Recorder) RecordBrokenRequest(b BrokenRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.brokenAt = r.clock.Now()
	r.breaks = append(r.breaks, b)
	if extra := len(r.breaks) - maxBreaks; extra > 0 {
		r.breaks = slices.Delete(r.breaks, 0, extra)
	}
}

// RecordRequestSuccess records that an attempt of a request that was sent at a time got
// its whole response.
func (r *Recorder) RecordRequestSuccess(service string, content uint64, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	putSuccess(r.requestSucceeded, Request(service, content), recordedSuccess{sentAt, r.clock.Now()})
}

// SetLeader sets the leader that gets the reports. A new one does not know what its
// predecessor was told.
func (r *Recorder) SetLeader(leader netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader.IsValid() && leader != r.leader {
		r.leader, r.leaderAt = leader, r.clock.Now()
	}
}

// SetPath sets what the host knows of its path to the upstreams. Connections that end
// with it say nothing about requests: once it is lost, they are forgotten.
func (r *Recorder) SetPath(p Path) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.path = p
	if p.Lost {
		r.crashes = slices.DeleteFunc(r.crashes, func(c recordedCrash) bool { return c.at.After(p.ReceivedAt) })
		r.breaks = slices.DeleteFunc(r.breaks, func(b BrokenRequest) bool { return b.brokenAt.After(p.ReceivedAt) })
		maps.DeleteFunc(r.trials.broken, func(_ controller.PromptPart, at time.Time) bool { return at.After(p.ReceivedAt) })
	}
}

// isUnconfirmed reports whether what broke at a time may have broken because the host
// has lost its path to the upstreams.
func (r *Recorder) isUnconfirmed(at, now time.Time) bool {
	return !r.path.ReceivedAt.IsZero() && at.After(r.path.ReceivedAt) && now.Sub(at) < unconfirmedTime
}

// severalUnconfirmed reports whether several upstreams have broken requests off that
// are not confirmed; a single one is more likely to have crashed.
func (r *Recorder) severalUnconfirmed(now time.Time) bool {
	if r.path.ReceivedAt.IsZero() {
		return false
	}
	upstreams := make(map[uint64]bool)
	for _, b := range r.breaks {
		if r.isUnconfirmed(b.brokenAt, now) {
			upstreams[b.Upstream.Hash()] = true
		}
	}
	for _, c := range r.crashes {
		if r.isUnconfirmed(c.at, now) {
			upstreams[c.Upstream] = true
		}
	}
	return len(upstreams) > 1
}

// reportedBreaks returns the breaks to report.
func (r *Recorder) reportedBreaks(now time.Time, hold bool) []Break {
	r.breaks = slices.DeleteFunc(r.breaks, func(b BrokenRequest) bool { return now.Sub(b.brokenAt) > breakMemory })
	var out []Break
	for _, b := range r.breaks {
		if hold && r.isUnconfirmed(b.brokenAt, now) {
			continue
		}
		age := now.Sub(b.brokenAt)
		if age > crashReportTime && now.Sub(r.leaderAt) > crashReportTime {
			continue
		}
		out = append(out, Break{
			Request: Request(b.Service, b.Content), Attempt: xxhash.Sum64String(b.ID) + uint64(b.Attempt), Upstream: b.Upstream.Hash(), Age: age,
		})
	}
	return out
}

// SetSuspects replaces the suspects that the leader has announced.
func (r *Recorder) SetSuspects(suspects []controller.PromptPart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects = suspects
}

// Evidence returns the evidence to report.
func (r *Recorder) Evidence() Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.crashes = slices.DeleteFunc(r.crashes, func(c recordedCrash) bool { return now.Sub(c.at) > crashReportTime })
	hold := r.severalUnconfirmed(now)
	var e Evidence
	if len(r.crashes) > 0 {
		e.Crashes = make([]Crash, 0, len(r.crashes))
	}
	for _, c := range r.crashes {
		if hold && r.isUnconfirmed(c.at, now) {
			continue
		}
		c.Age = now.Sub(c.at)
		e.Crashes = append(e.Crashes, c.Crash)
	}
	e.Breaks = r.reportedBreaks(now, hold)
	for _, part := range r.suspects {
		succeeded := r.succeeded
		if part.Request {
			succeeded = r.requestSucceeded
		}
		if s, ok := succeeded.Peek(part); ok {
			e.Successes = append(e.Successes, Success{Part: part, Age: now.Sub(s.at), SentAge: now.Sub(s.sentAt)})
		}
	}
	r.trials.report(&e, now)
	if len(e.Refused) > 0 || len(e.Served) > 0 || len(e.Broken) > 0 {
		e.Recorder = r.id
	}
	if len(r.crashes) > 0 || len(e.Breaks) > 0 || len(r.suspects) > 0 {
		e.Recorder, e.Tallies = r.id, r.tallies.report(now.Sub(r.createdAt), r.suspects)
	}
	return e
}
