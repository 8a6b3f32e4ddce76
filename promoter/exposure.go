package promoter

import (
	"sync"

	"foxtailwall/declarer"
)

type (
	// Exposure spends a host's part of the exposure budgets. It is safe for
	// concurrent use and its zero value is ready.
	Exposure struct {
		mu    sync.Mutex
		spent map[declarer.VersionRef]stageSpent
	}

	// stageSpent is what the host has spent in one stage.
	stageSpent struct {
		stage int
		n     int64
	}
)

// Allowance returns the part of the budget that belongs to the host with the
// index, counted from zero, among so many hosts. The parts add up to the
// budget.
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
// counts it if so. Hosts and index give the host's place in the sorted list of
// hosts; hosts that see different lists for a moment may together exceed the
// budget by what the difference makes.
func (e *Exposure) Take(r declarer.Rollout, p declarer.Progress, hosts, index int) bool {
	if p.State != declarer.RolloutRunning || p.Share <= 0 {
		return false
	}
	stages := Stages(r)
	budget := Budget(stages[min(p.Stage, len(stages)-1)])
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stage(p)
	if p.Spent >= budget || s.n >= Allowance(budget, hosts, index) {
		return false
	}
	s.n++
	e.spent[declarer.VersionRef{Model: p.Model, Version: p.Version}] = s
	return true
}

// Spent returns the requests that the host has assigned in the present stage.
func (e *Exposure) Spent(p declarer.Progress) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage(p).n
}

// stage returns what was spent in the stage of the progress. Progress that is
// older than what the host has seen spends from the newer stage.
func (e *Exposure) stage(p declarer.Progress) stageSpent {
	if e.spent == nil {
		e.spent = make(map[declarer.VersionRef]stageSpent)
	}
	s, ok := e.spent[declarer.VersionRef{Model: p.Model, Version: p.Version}]
	if !ok || s.stage < p.Stage {
		return stageSpent{stage: p.Stage}
	}
	return s
}
