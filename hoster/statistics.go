package hoster

import (
	"sync"
	"time"

	"foxtailwall/buffer"
	"foxtailwall/declarer"
	"foxtailwall/governor"
	"foxtailwall/relayer"
	"foxtailwall/router"
)

const (
	// defaultFirstTokenBound is the time above which a first token counts as
	// late if the rollout of the version declares no bound.
	defaultFirstTokenBound = 1400 * time.Millisecond
	// maxUnratedAnswers is the number of latest answers for which a rating can
	// still be counted.
	maxUnratedAnswers = 1 << 14
)

// statistics counts the requests and ratings of each version on this host. The
// counts go to the leader of the control group and to this host's own watches,
// which detect degraded versions.
type statistics struct {
	node    *relayer.Node
	watches *governor.Watches

	mu      sync.Mutex
	unrated *buffer.LRU[string, declarer.VersionRef]
}

func newStatistics(node *relayer.Node, watches *governor.Watches) *statistics {
	return &statistics{node: node, watches: watches, unrated: buffer.NewLRU[string, declarer.VersionRef](maxUnratedAnswers)}
}

// countRequest counts one finished request of a version.
func (s *statistics) countRequest(ref declarer.VersionRef, o router.Observation) {
	if ref.Model == "" {
		return
	}
	r := relayer.Report{Model: ref.Model, Version: ref.Version, Requests: 1}
	switch o.Fail {
	case "":
		if o.FirstByte > s.firstTokenBound(ref) {
			r.LateFirst = 1
		}
	case router.FailCancelled, router.FailDeadline, router.FailCheck, router.FailSilent, router.FailRefused, router.FailMemory:
		// These are caused by the caller, the connection, the replica or this host,
		// not by the version.
		return
	default:
		r.Errors = 1
	}
	s.addReport(r)
}

// recordAnswer records which version gave the answer, so that its rating can be
// counted.
func (s *statistics) recordAnswer(id string, ref declarer.VersionRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unrated.Put(id, ref)
}

// countRating counts the first rating of an answer and ignores later ones.
func (s *statistics) countRating(id string, pass bool) {
	s.mu.Lock()
	ref, ok := s.unrated.Get(id)
	s.unrated.Remove(id)
	s.mu.Unlock()
	if !ok {
		return
	}
	r := relayer.Report{Model: ref.Model, Version: ref.Version, Rated: 1}
	if pass {
		r.Passed = 1
	}
	s.addReport(r)
}

func (s *statistics) addReport(r relayer.Report) {
	s.node.Report(r)
	s.watches.Add([]relayer.Report{r})
}

// firstTokenBound returns the bound on the first token that the version's
// rollout declares, or the default.
func (s *statistics) firstTokenBound(ref declarer.VersionRef) time.Duration {
	c := s.node.Holder().Catalog()
	if c == nil {
		return defaultFirstTokenBound
	}
	for _, r := range c.View.Config.Rollouts {
		if r.Model == ref.Model && r.Version == ref.Version && r.Guard.FirstToken > 0 {
			return r.Guard.FirstToken
		}
	}
	return defaultFirstTokenBound
}
