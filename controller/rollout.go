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
	// Done makes the version the stable one of its model.
	Done PromoteAction = "done"
	// Spend records the requests that the stage has spent.
	Spend PromoteAction = "spend"

	// firstShare is the share of the first stage of a rollout that declares
	// no stages.
	firstShare = 0.01

	reasonWithdrawn = "the version was withdrawn"
)

type (
	// PromoteAction is a step of a rollout.
	PromoteAction string

	// Promote asks for a step of a rollout. It names the stage it was
	// decided on, so that a step that arrives late or twice does nothing.
	Promote struct {
		Model   string        `cbor:"model"`
		Version string        `cbor:"version"`
		Action  PromoteAction `cbor:"action"`
		// Stage and Since are those of the Progress that was decided on. A
		// zero Since matches any.
		Stage int       `cbor:"stage"`
		Since time.Time `cbor:"since"`
		// Share is that of the next stage, for a rollout without declared
		// stages.
		Share  float64 `cbor:"share,omitempty"`
		Spent  int64   `cbor:"spent,omitempty"`
		Reason string  `cbor:"reason,omitempty"`
	}

	// Promoted answers a Promote.
	Promoted struct {
		OK bool `cbor:"ok"`
		// Reason says why the step was refused.
		Reason string `cbor:"reason,omitempty"`
		// Progress is the state of the rollout after the step, or nil if the
		// model has none.
		Progress *declarer.Progress `cbor:"progress,omitempty"`
	}

	// Quarantine takes a version out of use, or returns it.
	Quarantine struct {
		Ref    declarer.VersionRef `cbor:"ref"`
		Return bool                `cbor:"return,omitempty"`
		// Last allows to quarantine the last usable version of a model. The
		// detector sets it when all workspaces have another model that meets
		// their quality target.
		Last bool `cbor:"last,omitempty"`
	}

	// Quarantined answers a Quarantine.
	Quarantined struct {
		OK     bool   `cbor:"ok"`
		Reason string `cbor:"reason,omitempty"`
	}
)

// effective returns the declared configuration with the versions of finished
// rollouts as stable.
func (m *Machine) effective() declarer.Config {
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

// nextProgress returns the progress after a new configuration. A rollout
// whose declaration is unchanged goes on where it was; any other starts anew.
func (m *Machine) nextProgress(s stamp, before map[ref]declaration) []declarer.Progress {
	var out []declarer.Progress
	for _, r := range m.config.Rollouts {
		k := ref{kindRollout, r.Model}
		p := m.progress(r.Model)
		if p == nil || !bytes.Equal(before[k].body, m.declared[k].body) {
			p = &declarer.Progress{
				Model: r.Model, Version: r.Version, Share: share(r, 0, firstShare),
				State: declarer.RolloutRunning, Since: s.at,
			}
		}
		next := *p
		if m.withdrawn(declarer.VersionRef{Model: r.Model, Version: r.Version}) && next.State != declarer.RolloutHalted {
			next.State, next.Share, next.Reason, next.Since = declarer.RolloutHalted, 0, reasonWithdrawn, s.at
		}
		out = append(out, next)
	}
	return out
}

// rolloutFaults checks what depends on the progress: a rollout belongs to the
// owner of its model, and the end of a finished one must not move the model
// back to its old version.
func (m *Machine) rolloutFaults(conf declarer.Config, next map[ref]declaration) []string {
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
		k := ref{kindRollout, p.Model}
		_, withdrawn := next[ref{kindWithdrawal, p.Model + "/" + p.Version}]
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

// promote makes a step of a rollout if it is allowed from the current stage.
func (m *Machine) promote(s stamp, p *Promote) *Promoted {
	cur := m.progress(p.Model)
	if cur == nil || cur.Version != p.Version {
		return &Promoted{Reason: fmt.Sprintf("model %q has no rollout to %q", p.Model, p.Version)}
	}
	next, reason := m.step(*cur, p, s.at)
	if reason != "" {
		return &Promoted{Reason: reason, Progress: cur}
	}
	if next != *cur {
		m.setProgress(next)
	}
	return &Promoted{OK: true, Progress: &next}
}

// step returns the progress after p, or the reason why p is not allowed. The
// rollout of a withdrawn version is halted since the withdrawal was accepted.
func (m *Machine) step(cur declarer.Progress, p *Promote, at time.Time) (declarer.Progress, string) {
	if cur.State == declarer.RolloutHalted && p.Action == Halt || cur.State == declarer.RolloutDone && p.Action == Done {
		return cur, ""
	}
	v := declarer.VersionRef{Model: p.Model, Version: p.Version}
	switch {
	case cur.State != declarer.RolloutRunning:
		return cur, fmt.Sprintf("the rollout is %s; declare a new one", cur.State)
	case p.Stage != cur.Stage || !p.Since.IsZero() && !p.Since.Equal(cur.Since):
		return cur, fmt.Sprintf("the rollout is at stage %d since %s by now", cur.Stage, cur.Since.Format(time.RFC3339Nano))
	case (p.Action == Advance || p.Action == Done) && slices.Contains(m.view.Quarantined, v):
		return cur, "the version is quarantined"
	}
	return m.allowed(cur, p, at)
}

func (m *Machine) allowed(cur declarer.Progress, p *Promote, at time.Time) (declarer.Progress, string) {
	r := m.rollout(p.Model)
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
			return cur, fmt.Sprintf("stage %d is the last of the rollout", cur.Stage)
		}
		next.Share = share(r, next.Stage, p.Share)
		if !(next.Share >= cur.Share && next.Share <= 1) {
			return cur, fmt.Sprintf("share %g does not follow on %g", next.Share, cur.Share)
		}
	case Done:
		if n := len(r.Stages); n > 0 && cur.Stage != n-1 {
			return cur, fmt.Sprintf("stage %d of %d is not the last of the rollout", cur.Stage, n)
		}
		next.State, next.Share = declarer.RolloutDone, 1
	default:
		return cur, fmt.Sprintf("action %q is not known", p.Action)
	}
	next.Since = at
	return next, ""
}

// quarantine takes a version out of use or returns it.
func (m *Machine) quarantine(q *Quarantine) *Quarantined {
	i := slices.Index(m.view.Quarantined, q.Ref)
	switch {
	case q.Return && i < 0, !q.Return && i >= 0:
		return &Quarantined{OK: true}
	case q.Return:
		m.view.Quarantined = slices.Delete(slices.Clone(m.view.Quarantined), i, i+1)
	case !m.exists(q.Ref):
		return &Quarantined{Reason: fmt.Sprintf("version %s is not declared", q.Ref)}
	case !q.Last && !m.replaced(q.Ref):
		return &Quarantined{Reason: fmt.Sprintf("version %s is the last usable one of its model", q.Ref)}
	default:
		m.view.Quarantined = append(slices.Clone(m.view.Quarantined), q.Ref)
		slices.SortFunc(m.view.Quarantined, compareRefs)
	}
	m.touched = true
	return &Quarantined{OK: true}
}

// keptQuarantines returns the quarantined versions that are still declared.
func (m *Machine) keptQuarantines() []declarer.VersionRef {
	var out []declarer.VersionRef
	for _, q := range m.view.Quarantined {
		if m.exists(q) {
			out = append(out, q)
		}
	}
	return out
}

// replaced reports whether the model has another version that can take all its
// requests: one that is neither withdrawn, quarantined nor in a rollout. A
// halted version may not run, and a running one has a budget.
func (m *Machine) replaced(r declarer.VersionRef) bool {
	p := m.progress(r.Model)
	return slices.ContainsFunc(m.versions(r.Model), func(v declarer.Version) bool {
		o := declarer.VersionRef{Model: r.Model, Version: v.Name}
		inRollout := p != nil && p.Version == v.Name && p.State != declarer.RolloutDone
		return o != r && !inRollout && !m.withdrawn(o) && !slices.Contains(m.view.Quarantined, o)
	})
}

func (m *Machine) exists(r declarer.VersionRef) bool {
	return slices.ContainsFunc(m.versions(r.Model), func(v declarer.Version) bool { return v.Name == r.Version })
}

func (m *Machine) versions(model string) []declarer.Version {
	for _, v := range m.config.Models {
		if v.Name == model {
			return v.Versions
		}
	}
	return nil
}

func (m *Machine) withdrawn(r declarer.VersionRef) bool {
	_, ok := m.declared[ref{kindWithdrawal, r.String()}]
	return ok
}

func (m *Machine) rollout(model string) declarer.Rollout {
	for _, r := range m.config.Rollouts {
		if r.Model == model {
			return r
		}
	}
	return declarer.Rollout{}
}

func (m *Machine) progress(model string) *declarer.Progress {
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
	m.touched = true
}

// share returns the share of a stage, or the given one if none is declared.
func share(r declarer.Rollout, stage int, otherwise float64) float64 {
	if stage < len(r.Stages) {
		return r.Stages[stage].Share
	}
	return otherwise
}

func compareRefs(a, b declarer.VersionRef) int {
	switch {
	case a.String() < b.String():
		return -1
	case a.String() > b.String():
		return 1
	}
	return 0
}
