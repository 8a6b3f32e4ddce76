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
	// defaultSessionTimeout is the time after its last request at which a
	// session ends.
	defaultSessionTimeout = 5 * time.Second
	// maxSessions is the maximum number of recent sessions on a host.
	maxSessions = 8192
	// maxKeptPerRollout is the maximum number of kept sessions of a rollout.
	maxKeptPerRollout = 2048
)

type (
	// Assigner decides on one host which sessions run on the target of a
	// rollout and which stay on another version. Its zero value is ready to
	// use. It is not safe for concurrent use.
	//
	// The requests of a session may reach several hosts. All hosts select the same
	// sessions for the trial by hash. A selected session that started on another
	// version is kept there: hosts report such sessions with ExcludedSessions, and
	// AddExcludedSessions passes them to the other hosts.
	Assigner struct {
		// SessionTimeout is the time after its last request at which a session ends;
		// zero means 5 s.
		SessionTimeout time.Duration

		recentSessions *buffer.LRU[sessionKey, sessionUse]
		// localKept and allKept are the sessions selected for a trial that are
		// kept on another version: those seen by this host and those of all
		// hosts.
		localKept, allKept map[rolloutKey]map[uint64]bool
		// scanned has the rollouts for which findKept has run.
		scanned map[rolloutKey]bool
	}

	sessionKey struct {
		service string
		session uint64
	}

	// rolloutKey identifies a rollout.
	rolloutKey struct{ service, target string }

	// sessionUse is the last request of a session: whether it ran on the target
	// and when.
	sessionUse struct {
		target bool
		at     time.Time
	}
)

// RunsOnTarget reports whether a request of the session must run on the target
// of the rollout. The caller gives each request without a session a number of
// its own.
func (a *Assigner) RunsOnTarget(r controller.OrderedRollout, session uint64, now time.Time) bool {
	target := a.chooseTarget(r, session, now)
	if r.State == controller.RolloutRunning && !target && inTrial(r, session) {
		a.localKept = addSession(a.localKept, rolloutKeyOf(r), session)
		a.allKept = addSession(a.allKept, rolloutKeyOf(r), session)
	}
	a.RecordUse(r.Service, session, target, now)
	return target
}

// chooseTarget implements RunsOnTarget without recording the request.
func (a *Assigner) chooseTarget(r controller.OrderedRollout, session uint64, now time.Time) bool {
	old, ok := a.recentUse(sessionKey{service: r.Service, session: session}, now)
	switch {
	case r.State == controller.RolloutCompleted:
		return true
	case r.State == controller.RolloutRolledBack:
		return false
	case ok && old.target:
		return true
	case r.Moving:
		return bucket(r, session) < r.Share
	case ok, a.allKept[rolloutKeyOf(r)][session]:
		return false
	}
	return bucket(r, session) < r.Share
}

// ExcludedSessions returns the sessions selected for the trial that this host
// has seen on another version.
func (a *Assigner) ExcludedSessions(r controller.OrderedRollout, now time.Time) []uint64 {
	if !a.scanned[rolloutKeyOf(r)] {
		a.findKept(r, now)
	}
	return slices.Collect(maps.Keys(a.localKept[rolloutKeyOf(r)]))
}

// findKept adds the sessions selected for the trial that started before the
// rollout.
func (a *Assigner) findKept(r controller.OrderedRollout, now time.Time) {
	if a.scanned == nil {
		a.scanned = make(map[rolloutKey]bool)
	}
	a.scanned[rolloutKeyOf(r)] = true
	if a.recentSessions == nil {
		return
	}
	for k, s := range a.recentSessions.All() {
		if k.service == r.Service && !s.target && now.Sub(s.at) < a.sessionTimeout() && inTrial(r, k.session) {
			a.localKept = addSession(a.localKept, rolloutKeyOf(r), k.session)
			a.allKept = addSession(a.allKept, rolloutKeyOf(r), k.session)
		}
	}
}

// AddExcludedSessions adds kept sessions that other hosts have reported.
func (a *Assigner) AddExcludedSessions(service, target string, sessions []uint64) {
	for _, s := range sessions {
		a.allKept = addSession(a.allKept, rolloutKey{service, target}, s)
	}
}

// Forget removes the kept sessions of all rollouts that are not in running.
func (a *Assigner) Forget(running []controller.OrderedRollout) {
	ended := func(k rolloutKey, _ map[uint64]bool) bool {
		return !slices.ContainsFunc(running, func(r controller.OrderedRollout) bool { return rolloutKeyOf(r) == k })
	}
	maps.DeleteFunc(a.localKept, ended)
	maps.DeleteFunc(a.allKept, ended)
	maps.DeleteFunc(a.scanned, func(k rolloutKey, _ bool) bool { return ended(k, nil) })
}

// addSession adds a session to the set for k unless the set is full, and
// returns m, which is created if nil.
func addSession(m map[rolloutKey]map[uint64]bool, k rolloutKey, session uint64) map[rolloutKey]map[uint64]bool {
	if m == nil {
		m = make(map[rolloutKey]map[uint64]bool)
	}
	if m[k] == nil {
		m[k] = make(map[uint64]bool)
	}
	if len(m[k]) < maxKeptPerRollout {
		m[k][session] = true
	}
	return m
}

func rolloutKeyOf(r controller.OrderedRollout) rolloutKey { return rolloutKey{r.Service, r.Target} }

// inTrial reports whether the session with the ID is selected for the trial.
func inTrial(r controller.OrderedRollout, id uint64) bool { return bucket(r, id) < trialShare }

// RecordUse records at the start or end of a request that the session is on the
// target or on another version.
func (a *Assigner) RecordUse(service string, session uint64, target bool, now time.Time) {
	if a.recentSessions == nil {
		a.recentSessions = buffer.NewLRU[sessionKey, sessionUse](maxSessions)
	}
	a.recentSessions.Put(sessionKey{service: service, session: session}, sessionUse{target: target, at: now})
}

// recentUse returns the last use of a session, and false if the session has
// ended or is unknown.
func (a *Assigner) recentUse(k sessionKey, now time.Time) (sessionUse, bool) {
	if a.recentSessions == nil {
		return sessionUse{}, false
	}
	s, ok := a.recentSessions.Get(k)
	return s, ok && now.Sub(s.at) < a.sessionTimeout()
}

func (a *Assigner) sessionTimeout() time.Duration {
	if a.SessionTimeout == 0 {
		return defaultSessionTimeout
	}
	return a.SessionTimeout
}

// bucket hashes the session to a number from 0 to 999. It is the same on all
// hosts, so that a session whose requests reach several hosts keeps its version.
func bucket(r controller.OrderedRollout, session uint64) int {
	h := xxhash.Sum64String(r.Service + "\x00" + r.Target)
	return int((h ^ session*0x9e3779b97f4a7c15) >> 32 % fullShare)
}
