package promoter

import (
	"sync"

	"foxtailwall/declarer"
)

type (
	// Exposure counts the requests that a host assigns to versions in rollout
	// and limits them to the host's part of the budget of a stage. It is safe
	// for concurrent use. Its zero value is ready to use.
	Exposure struct {
		mu    sync.Mutex
		usage map[declarer.VersionRef]stageUsage
	}

	// stageUsage is the number of requests that the host has assigned in a
	// stage.
	stageUsage struct {
		stage    int
		requests int64
	}
)

// Allowance returns the part of the budget of the host with the given index,
// from 0 to hosts-1. The parts of all hosts add up to the budget.
func Allowance(budget int64, hosts, index int) int64 {
	if budget == Unlimited || hosts < 1 {
		return budget
	}
	part := budget / int64(hosts)
	if int64(index) < budget%int64(hosts) {
		part++
	}
	return part
}

// Take reports whether the host may assign another request to the version, and
// counts the request if so. The host is at index in the sorted list of hosts.
// While hosts have different lists, they may exceed the budget together by the
// difference in their parts.
func (e *Exposure) Take(r declarer.Rollout, p declarer.Progress, hosts, index int) bool {
	if p.State != declarer.RolloutRunning || p.Share <= 0 {
		return false
	}
	stages := Stages(r)
	budget := Budget(stages[min(p.Stage, len(stages)-1)])
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stageUsageOf(p)
	if p.Spent >= budget || s.requests >= Allowance(budget, hosts, index) {
		return false
	}
	s.requests++
	e.usage[declarer.VersionRef{Model: p.Model, Version: p.Version}] = s
	return true
}

// Spent returns the number of requests that the host has assigned to the version
// in the present stage.
func (e *Exposure) Spent(p declarer.Progress) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stageUsageOf(p).requests
}

// stageUsageOf returns the usage of the stage in p. If the host has already seen
// a later stage, it returns the usage of that one.
func (e *Exposure) stageUsageOf(p declarer.Progress) stageUsage {
	if e.usage == nil {
		e.usage = make(map[declarer.VersionRef]stageUsage)
	}
	s, ok := e.usage[declarer.VersionRef{Model: p.Model, Version: p.Version}]
	if !ok || s.stage < p.Stage {
		return stageUsage{stage: p.Stage}
	}
	return s
}
