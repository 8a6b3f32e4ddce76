package controller

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"foxtailwall/declarer"
)

const (
	// Advance moves a rollout to its next stage.
	Advance PromoteAction = "advance"
	// Halt ends a rollout and rolls it back.
	Halt PromoteAction = "halt"
	// Done ends a rollout and makes its version stable.
	Done PromoteAction = "done"
	// Spend records how many requests of the stage's budget were used.
	Spend PromoteAction = "spend"

	// defaultFirstShare is the share of the first stage of a rollout without
	// declared stages.
	defaultFirstShare = 0.01

	reasonWithdrawn = "the version was withdrawn"
)

type (
	// PromoteAction is what a Promote does to a rollout.
	PromoteAction string

	// Promote updates a declared rollout. It names the stage that the decision
	// was based on, so that a late or repeated Promote has no effect.
	Promote struct {
		Model   string        `cbor:"model"`
		Version string        `cbor:"version"`
		Action  PromoteAction `cbor:"action"`
		// Stage and Since are those of the Progress that the decision was
		// based on. A zero Since matches any.
		Stage int       `cbor:"stage"`
		Since time.Time `cbor:"since"`
		// Share is the share of the next stage if none is declared for it.
		Share  float64 `cbor:"share,omitempty"`
		Spent  int64   `cbor:"spent,omitempty"`
		Reason string  `cbor:"reason,omitempty"`
	}

	// PromoteResult is the result of a Promote.
	PromoteResult struct {
		OK bool `cbor:"ok"`
		// Reason says why the Promote was refused.
		Reason string `cbor:"reason,omitempty"`
		// Progress is the state of the rollout afterwards, or nil if the model
		// has none.
		Progress *declarer.Progress `cbor:"progress,omitempty"`
	}

	// Quarantine takes a version out of use, or returns it to use.
	Quarantine struct {
		Ref    declarer.VersionRef `cbor:"ref"`
		Return bool                `cbor:"return,omitempty"`
		// AllowLast allows quarantining the last usable version of a model. The
		// detector sets it when all workspaces have another model that meets
		// their quality target.
		AllowLast bool `cbor:"last,omitempty"`
	}

	// QuarantineResult is the result of a Quarantine.
	QuarantineResult struct {
		OK     bool   `cbor:"ok"`
		Reason string `cbor:"reason,omitempty"`
	}
)

// effectiveConfig returns the declared configuration in which the versions of
// finished rollouts are stable.
func (m *Machine) effectiveConfig() declarer.Config {
	c := m.config
	c.Models = slices.Clone(c.Models)
	for _, p := range m.view.Progress {
		if p.State != declarer.RolloutDone {
			continue
		}
		for i := range c.Models {
			if c.Models[i].Name == p.Model {
				c.Models[i].Stable = p.Version
			}
		}
	}
	return c
}

// nextProgress returns the progress of the rollouts in a new configuration. A
// rollout whose declaration is unchanged keeps its progress; any other starts
// from the first stage. The rollout of a withdrawn version is halted.
func (m *Machine) nextProgress(e entryMeta, before map[declarationKey]declaration) []declarer.Progress {
	var out []declarer.Progress
	for _, r := range m.config.Rollouts {
		k := declarationKey{kindRollout, r.Model}
		p := m.rolloutProgress(r.Model)
		if p == nil || !bytes.Equal(before[k].body, m.declared[k].body) {
			p = &declarer.Progress{
				Model: r.Model, Version: r.Version, Share: stageShare(r, 0, defaultFirstShare),
				State: declarer.RolloutRunning, Since: e.at,
			}
		}
		next := *p
		if m.isWithdrawn(declarer.VersionRef{Model: r.Model, Version: r.Version}) && next.State != declarer.RolloutHalted {
			next.State, next.Share, next.Reason, next.Since = declarer.RolloutHalted, 0, reasonWithdrawn, e.at
		}
		out = append(out, next)
	}
	return out
}

// rolloutFaults returns a fault for each rollout whose owner does not own the
// model, and for each finished rollout whose change or removal would move its
// model back to the old version.
func (m *Machine) rolloutFaults(conf declarer.Config, next map[declarationKey]declaration) []string {
	var out []string
	models := make(map[string]declarer.Model, len(conf.Models))
	for _, v := range conf.Models {
		models[v.Name] = v
	}
	for _, r := range conf.Rollouts {
		if v, ok := models[r.Model]; ok && v.Owner != r.Owner {
			out = append(out, fmt.Sprintf("rollout of model %q: the model is owned by office %q, the rollout by %q; only the owner of a model rolls it out",
				r.Model, v.Owner, r.Owner))
		}
	}
	for _, p := range m.view.Progress {
		v, ok := models[p.Model]
		k := declarationKey{kindRollout, p.Model}
		_, withdrawn := next[declarationKey{kindWithdrawal, p.Model + "/" + p.Version}]
		if p.State != declarer.RolloutDone || !ok || withdrawn || bytes.Equal(m.declared[k].body, next[k].body) {
			continue
		}
		if v.Stable != p.Version {
			out = append(out, fmt.Sprintf("rollout of model %q to %q is done; set stable: %s before it is changed or removed, or withdraw the version",
				p.Model, p.Version, p.Version))
		}
	}
	return out
}

// promote applies p to the rollout if it is allowed at the current stage.
func (m *Machine) promote(e entryMeta, p *Promote) *PromoteResult {
	cur := m.rolloutProgress(p.Model)
	if cur == nil || cur.Version != p.Version {
		return &PromoteResult{Reason: fmt.Sprintf("model %q has no rollout to %q", p.Model, p.Version)}
	}
	next, reason := m.applyPromote(*cur, p, e.at)
	if reason != "" {
		return &PromoteResult{Reason: reason, Progress: cur}
	}
	if next != *cur {
		m.setProgress(next)
	}
	return &PromoteResult{OK: true, Progress: &next}
}

// applyPromote returns the progress after p, or the reason why p is not
// allowed. It need not check for withdrawn versions, whose rollouts were halted
// when the withdrawal was accepted.
func (m *Machine) applyPromote(cur declarer.Progress, p *Promote, at time.Time) (declarer.Progress, string) {
	if cur.State == declarer.RolloutHalted && p.Action == Halt || cur.State == declarer.RolloutDone && p.Action == Done {
		return cur, ""
	}
	v := declarer.VersionRef{Model: p.Model, Version: p.Version}
	switch {
	case cur.State != declarer.RolloutRunning:
		return cur, fmt.Sprintf("the rollout is %s; declare a new one", cur.State)
	case p.Stage != cur.Stage || !p.Since.IsZero() && !p.Since.Equal(cur.Since):
		return cur, fmt.Sprintf("the rollout is already at stage index %d, since %s", cur.Stage, cur.Since.Format(time.RFC3339Nano))
	case (p.Action == Advance || p.Action == Done) && slices.Contains(m.view.Quarantined, v):
		return cur, "the version is quarantined"
	}
	return m.applyAction(cur, p, at)
}

// applyAction returns the progress of a running rollout after p, or the reason
// why p is not allowed.
func (m *Machine) applyAction(cur declarer.Progress, p *Promote, at time.Time) (declarer.Progress, string) {
	r := m.declaredRollout(p.Model)
	next := cur
	switch p.Action {
	case Spend:
		next.Spent = max(cur.Spent, p.Spent)
		return next, ""
	case Halt:
		next.State, next.Share, next.Reason = declarer.RolloutHalted, 0, p.Reason
	case Advance:
		next.Stage, next.Spent = cur.Stage+1, 0
		if n := len(r.Stages); n > 0 && next.Stage >= n {
			return cur, fmt.Sprintf("stage index %d is the last of the rollout", cur.Stage)
		}
		next.Share = stageShare(r, next.Stage, p.Share)
		if !(next.Share >= cur.Share && next.Share <= 1) {
			return cur, fmt.Sprintf("share %g is not between the current share %g and 1", next.Share, cur.Share)
		}
	case Done:
		if n := len(r.Stages); n > 0 && cur.Stage != n-1 {
			return cur, fmt.Sprintf("stage index %d is not the last of the %d stages", cur.Stage, n)
		}
		next.State, next.Share = declarer.RolloutDone, 1
	default:
		return cur, fmt.Sprintf("unknown action %q", p.Action)
	}
	next.Since = at
	return next, ""
}

// quarantine takes a version out of use, or returns it to use.
func (m *Machine) quarantine(q *Quarantine) *QuarantineResult {
	i := slices.Index(m.view.Quarantined, q.Ref)
	switch {
	case q.Return && i < 0, !q.Return && i >= 0:
		return &QuarantineResult{OK: true}
	case q.Return:
		m.view.Quarantined = slices.Delete(slices.Clone(m.view.Quarantined), i, i+1)
	case !m.isDeclared(q.Ref):
		return &QuarantineResult{Reason: fmt.Sprintf("version %s is not declared", q.Ref)}
	case !q.AllowLast && !m.hasReplacement(q.Ref):
		return &QuarantineResult{Reason: fmt.Sprintf("version %s is the last usable version of its model", q.Ref)}
	default:
		m.view.Quarantined = append(slices.Clone(m.view.Quarantined), q.Ref)
		slices.SortFunc(m.view.Quarantined, compareVersionRefs)
	}
	m.viewDirty = true
	return &QuarantineResult{OK: true}
}

// declaredQuarantines returns the quarantined versions that the configuration
// still declares.
func (m *Machine) declaredQuarantines() []declarer.VersionRef {
	var out []declarer.VersionRef
	for _, q := range m.view.Quarantined {
		if m.isDeclared(q) {
			out = append(out, q)
		}
	}
	return out
}

// hasReplacement reports whether the model has another version that can take
// all its requests: one that is neither withdrawn nor quarantined nor in a
// rollout. The version of a halted rollout may not run, and that of a running
// rollout is limited by its budget.
func (m *Machine) hasReplacement(r declarer.VersionRef) bool {
	p := m.rolloutProgress(r.Model)
	return slices.ContainsFunc(m.declaredVersions(r.Model), func(v declarer.Version) bool {
		o := declarer.VersionRef{Model: r.Model, Version: v.Name}
		inRollout := p != nil && p.Version == v.Name && p.State != declarer.RolloutDone
		return o != r && !inRollout && !m.isWithdrawn(o) && !slices.Contains(m.view.Quarantined, o)
	})
}

func (m *Machine) isDeclared(r declarer.VersionRef) bool {
	return slices.ContainsFunc(m.declaredVersions(r.Model), func(v declarer.Version) bool { return v.Name == r.Version })
}

func (m *Machine) declaredVersions(model string) []declarer.Version {
	for _, v := range m.config.Models {
		if v.Name == model {
			return v.Versions
		}
	}
	return nil
}

func (m *Machine) isWithdrawn(r declarer.VersionRef) bool {
	_, ok := m.declared[declarationKey{kindWithdrawal, r.String()}]
	return ok
}

func (m *Machine) declaredRollout(model string) declarer.Rollout {
	for _, r := range m.config.Rollouts {
		if r.Model == model {
			return r
		}
	}
	return declarer.Rollout{}
}

func (m *Machine) rolloutProgress(model string) *declarer.Progress {
	for i := range m.view.Progress {
		if m.view.Progress[i].Model == model {
			p := m.view.Progress[i]
			return &p
		}
	}
	return nil
}

func (m *Machine) setProgress(p declarer.Progress) {
	m.view.Progress = slices.Clone(m.view.Progress)
	for i := range m.view.Progress {
		if m.view.Progress[i].Model == p.Model {
			m.view.Progress[i] = p
		}
	}
	m.viewDirty = true
}

// stageShare returns the declared share of a stage, or fallback if the stage is
// not declared.
func stageShare(r declarer.Rollout, stage int, fallback float64) float64 {
	if stage < len(r.Stages) {
		return r.Stages[stage].Share
	}
	return fallback
}

func compareVersionRefs(a, b declarer.VersionRef) int {
	switch {
	case a.String() < b.String():
		return -1
	case a.String() > b.String():
		return 1
	}
	return 0
}
