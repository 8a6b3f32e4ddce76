package stager

import (
	"maps"
	"slices"
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
	// maxKept bounds the sessions of a trial that stay on another version.
	maxKept = 2048
)

type (
	// Assigner keeps sessions on their version on one host. Its zero value is
	// ready to use. It is not safe for use by several goroutines.
	//
	// A session may reach several hosts. All of them draw the same sessions for
	// the trial; those among them that had begun on another version before are
	// told from host to host with Kept and Keep, and stay there.
	Assigner struct {
		// Session is how long after its last request a session still counts as
		// going on; zero means 5 s.
		Session time.Duration

		seen *buffer.LRU[sessionKey, seen]
		// own and kept are the sessions drawn for a running trial that stay on
		// another version: those of this host, and those of all hosts.
		own, kept map[trial]map[uint64]bool
		scanned   map[trial]bool
	}

	sessionKey struct {
		service string
		session uint64
	}

	// trial names a rollout.
	trial struct{ service, target string }

	seen struct {
		target bool
		at     time.Time
	}
)

// Target reports whether a request of the session is to run on the target of
// the rollout. A request without a session has a number of its own.
func (a *Assigner) Target(r controller.OrderedRollout, session uint64, now time.Time) bool {
	target := a.target(r, session, now)
	if r.State == controller.RolloutRunning && !target && drawn(r, session) {
		a.own = put(a.own, trialOf(r), session)
		a.kept = put(a.kept, trialOf(r), session)
	}
	a.Note(r.Service, session, target, now)
	return target
}

func (a *Assigner) target(r controller.OrderedRollout, session uint64, now time.Time) bool {
	old, ok := a.recent(sessionKey{service: r.Service, session: session}, now)
	switch {
	case r.State == controller.RolloutCompleted:
		return true
	case r.State == controller.RolloutRolledBack:
		return false
	case ok && old.target:
		return true
	case r.Moving:
		return draw(r, session) < r.Share
	case ok, a.kept[trialOf(r)][session]:
		return false
	}
	return draw(r, session) < r.Share
}

// Kept returns the sessions drawn for the trial that this host has seen on
// another version.
func (a *Assigner) Kept(r controller.OrderedRollout, now time.Time) []uint64 {
	if !a.scanned[trialOf(r)] {
		a.scan(r, now)
	}
	return slices.Collect(maps.Keys(a.own[trialOf(r)]))
}

// scan finds the sessions that had begun before the rollout.
func (a *Assigner) scan(r controller.OrderedRollout, now time.Time) {
	if a.scanned == nil {
		a.scanned = make(map[trial]bool)
	}
	a.scanned[trialOf(r)] = true
	if a.seen == nil {
		return
	}
	for k, s := range a.seen.All() {
		if k.service == r.Service && !s.target && now.Sub(s.at) < a.session() && drawn(r, k.session) {
			a.own = put(a.own, trialOf(r), k.session)
			a.kept = put(a.kept, trialOf(r), k.session)
		}
	}
}

// Keep takes over the sessions that other hosts have seen on another version.
func (a *Assigner) Keep(service, target string, sessions []uint64) {
	for _, s := range sessions {
		a.kept = put(a.kept, trial{service, target}, s)
	}
}

// Forget drops what is known of rollouts other than those that run.
func (a *Assigner) Forget(running []controller.OrderedRollout) {
	gone := func(t trial, _ map[uint64]bool) bool {
		return !slices.ContainsFunc(running, func(r controller.OrderedRollout) bool { return trialOf(r) == t })
	}
	maps.DeleteFunc(a.own, gone)
	maps.DeleteFunc(a.kept, gone)
	maps.DeleteFunc(a.scanned, func(t trial, _ bool) bool { return gone(t, nil) })
}

func put(m map[trial]map[uint64]bool, t trial, session uint64) map[trial]map[uint64]bool {
	if m == nil {
		m = make(map[trial]map[uint64]bool)
	}
	if m[t] == nil {
		m[t] = make(map[uint64]bool)
	}
	if len(m[t]) < maxKept {
		m[t][session] = true
	}
	return m
}

func trialOf(r controller.OrderedRollout) trial { return trial{r.Service, r.Target} }

// drawn reports whether the session belongs to the trial.
func drawn(r controller.OrderedRollout, session uint64) bool { return draw(r, session) < trialShare }

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
	return s, ok && now.Sub(s.at) < a.session()
}

func (a *Assigner) session() time.Duration {
	if a.Session == 0 {
		return defaultSession
	}
	return a.Session
}

// draw places the session between 0 and 999, the same on all hosts, so that a
// session that moves between hosts keeps its version.
func draw(r controller.OrderedRollout, session uint64) int {
	h := xxhash.Sum64String(r.Service + "\x00" + r.Target)
	return int((h ^ session*0x9e3779b97f4a7c15) >> 32 % allShare)
}
