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
	// defaultFirstToken is the bound on the first token of a version whose
	// rollout declares none.
	defaultFirstToken = 1400 * time.Millisecond
	// ratedSize is the number of answers whose ratings may still arrive.
	ratedSize = 1 << 14
)

// statistics counts what this host sees of each version, for the control
// leader and for this host's own watches.
type statistics struct {
	node    *relayer.Node
	watches *governor.Watches

	mu    sync.Mutex
	rated *buffer.LRU[string, declarer.VersionRef]
}

func newStatistics(node *relayer.Node, watches *governor.Watches) *statistics {
	return &statistics{node: node, watches: watches, rated: buffer.NewLRU[string, declarer.VersionRef](ratedSize)}
}

// served counts one request of a version.
func (s *statistics) served(ref declarer.VersionRef, o router.Observation) {
	if ref.Model == "" {
		return
	}
	r := relayer.Report{Model: ref.Model, Version: ref.Version, Requests: 1}
	switch o.Fail {
	case "":
		if o.FirstByte > s.firstToken(ref) {
			r.LateFirst = 1
		}
	case router.FailCancelled, router.FailDeadline, router.FailChecked, router.FailSilent, router.FailRefused:
		// These tell about the caller, the connection or the replica, not
		// about the version.
		return
	default:
		r.Errors = 1
	}
	s.add(r)
}

// ran remembers which version gave the answer, so that its rating can be
// counted.
func (s *statistics) ran(id string, ref declarer.VersionRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rated.Put(id, ref)
}

// rate counts a rating once.
func (s *statistics) rate(id string, pass bool) {
	s.mu.Lock()
	ref, ok := s.rated.Get(id)
	s.rated.Remove(id)
	s.mu.Unlock()
	if !ok {
		return
	}
	r := relayer.Report{Model: ref.Model, Version: ref.Version, Rated: 1}
	if pass {
		r.Passed = 1
	}
	s.add(r)
}

func (s *statistics) add(r relayer.Report) {
	s.node.Report(r)
	s.watches.Add([]relayer.Report{r})
}

// firstToken returns the bound of the version's rollout.
func (s *statistics) firstToken(ref declarer.VersionRef) time.Duration {
	c := s.node.Holder().Catalog()
	if c == nil {
		return defaultFirstToken
	}
	for _, r := range c.View.Config.Rollouts {
		if r.Model == ref.Model && r.Version == ref.Version && r.Guard.FirstToken > 0 {
			return r.Guard.FirstToken
		}
	}
	return defaultFirstToken
}
