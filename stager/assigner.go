package stager

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailwall/buffer"
	"foxtailwall/controller"
)

const (
	// defaultSession is how long after its last request a session still counts
	// as going on.
	defaultSession = 5 * time.Second
	// maxSessions bounds the sessions that are remembered.
	maxSessions = 8192
)

type (
	// Assigner keeps sessions on their version on one host. Its zero value is
	// ready to use. It is not safe for use by several goroutines.
	Assigner struct {
		// Session is how long after its last request a session still counts as
		// going on; zero means 5 s.
		Session time.Duration

		seen *buffer.LRU[sessionKey, seen]
	}

	sessionKey struct {
		service string
		session uint64
	}

	seen struct {
		target bool
		at     time.Time
	}
)

// Target reports whether a request of the session is to run on the target of
// the rollout. A request without a session has a number of its own.
func (a *Assigner) Target(r controller.OrderedRollout, session uint64, now time.Time) bool {
	k := sessionKey{service: r.Service, session: session}
	old, ok := a.recent(k, now)
	target := false
	switch {
	case r.State == controller.RolloutCompleted:
		target = true
	case r.State == controller.RolloutRolledBack:
	case ok && old.target:
		target = true
	case ok && !r.Moving:
	default:
		target = draw(r, session) < r.Share
	}
	a.Note(r.Service, session, target, now)
	return target
}

// Note remembers that a request of the session runs, or has just ended, on the
// target or on another version.
func (a *Assigner) Note(service string, session uint64, target bool, now time.Time) {
	if a.seen == nil {
		a.seen = buffer.NewLRU[sessionKey, seen](maxSessions)
	}
	a.seen.Put(sessionKey{service: service, session: session}, seen{target: target, at: now})
}

func (a *Assigner) recent(k sessionKey, now time.Time) (seen, bool) {
	if a.seen == nil {
		return seen{}, false
	}
	s, ok := a.seen.Get(k)
	within := a.Session
	if within == 0 {
		within = defaultSession
	}
	return s, ok && now.Sub(s.at) < within
}

// draw places the session between 0 and 999, the same on all hosts, so that a
// session that moves between hosts keeps its version.
func draw(r controller.OrderedRollout, session uint64) int {
	h := xxhash.Sum64String(r.Service + "\x00" + r.Target)
	return int((h ^ session*0x9e3779b97f4a7c15) >> 32 % allShare)
}
