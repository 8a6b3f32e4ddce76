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
	// maxRecentSessions is the number of recent sessions that a host remembers;
	// beyond it, the least recently used ones are dropped.
	maxRecentSessions = 8192
	// maxExcludedPerRollout is the number of sessions excluded from the trial of
	// a rollout beyond which no more are added.
	maxExcludedPerRollout = 2048
)

type (
	// Assigner decides on one host which sessions run on the target of a
	// rollout and which stay on another version. Its zero value is ready to
	// use. It is not safe for concurrent use.
	//
	// The requests of a session may reach several hosts. All hosts select the
	// same sessions for the trial by hash. A selected session that started on
	// another version is excluded from the trial: ExcludedSessions returns the excluded
	// sessions of this host, and AddExcludedSessions adds those of other hosts.
	Assigner struct {
		// SessionTimeout is the time after its last request at which a session ends;
		// zero means 5 s.
		SessionTimeout time.Duration

		recentSessions *buffer.LRU[sessionKey, sessionUse]
		// localExcluded and allExcluded are the selected sessions that are
		// excluded from a trial: those seen by this host and those of all hosts.
		localExcluded, allExcluded map[rolloutKey]map[uint64]bool
		// scanned contains the rollouts for which findExcluded has run.
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

// RunsOnTarget reports whether a request of the session must run on the target of the
// rollout. The caller passes a unique number for each request without a session.
func (a *Assigner) RunsOnTarget(r controller.OrderedRollout, session uint64, now time.Time) bool {
	target := a.chooseTarget(r, session, now)
	if r.State == controller.RolloutRunning && !target && inTrial(r, session) {
		a.localExcluded = addSession(a.localExcluded, rolloutKeyOf(r), session)
		a.allExcluded = addSession(a.allExcluded, rolloutKeyOf(r), session)
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
	case ok, a.allExcluded[rolloutKeyOf(r)][session]:
		return false
	}
	return bucket(r, session) < r.Share
}

// ExcludedSessions returns the sessions excluded from the trial because this host has seen
// them on another version.
func (a *Assigner) ExcludedSessions(r controller.OrderedRollout, now time.Time) []uint64 {
	if !a.scanned[rolloutKeyOf(r)] {
		a.findExcluded(r, now)
	}
	return slices.Collect(maps.Keys(a.localExcluded[rolloutKeyOf(r)]))
}

// findExcluded excludes the selected sessions that were on another version when
// the rollout was first seen.
func (a *Assigner) findExcluded(r controller.OrderedRollout, now time.Time) {
	if a.scanned == nil {
		a.scanned = make(map[rolloutKey]bool)
	}
	a.scanned[rolloutKeyOf(r)] = true
	if a.recentSessions == nil {
		return
	}
	for k, s := range a.recentSessions.All() {
		if k.service == r.Service && !s.target && now.Sub(s.at) < a.sessionTimeout() && inTrial(r, k.session) {
			a.localExcluded = addSession(a.localExcluded, rolloutKeyOf(r), k.session)
			a.allExcluded = addSession(a.allExcluded, rolloutKeyOf(r), k.session)
		}
	}
}

// AddExcludedSessions adds sessions that other hosts exclude from the trial of a rollout.
func (a *Assigner) AddExcludedSessions(service, target string, sessions []uint64) {
	for _, s := range sessions {
		a.allExcluded = addSession(a.allExcluded, rolloutKey{service, target}, s)
	}
}

// Forget removes the excluded sessions of all rollouts that are not in running.
func (a *Assigner) Forget(running []controller.OrderedRollout) {
	ended := func(k rolloutKey, _ map[uint64]bool) bool {
		return !slices.ContainsFunc(running, func(r controller.OrderedRollout) bool { return rolloutKeyOf(r) == k })
	}
	maps.DeleteFunc(a.localExcluded, ended)
	maps.DeleteFunc(a.allExcluded, ended)
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
	if len(m[k]) < maxExcludedPerRollout {
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
		a.recentSessions = buffer.NewLRU[sessionKey, sessionUse](maxRecentSessions)
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
