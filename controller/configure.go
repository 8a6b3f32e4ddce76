package controller

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/serializer"
)

const (
	// Accepted means that the configuration is the current one.
	Accepted ApplyState = "accepted"
	// Conflict means that another change was accepted after the base version.
	Conflict ApplyState = "conflict"
	// Rejected means that the configuration has faults.
	Rejected ApplyState = "rejected"
	// Reused means that the change ID already belongs to a different change.
	Reused ApplyState = "reused"

	// maxHistory is the number of accepted changes in the history, enough for
	// five days at 2,000 changes a day.
	maxHistory = 10_000
	// maxCachedAnswers is the number of answers remembered for resent changes.
	maxCachedAnswers = 10_000
	// maxConflictChanges is the number of newest changes listed in a conflict.
	maxConflictChanges = 100
	// maxListedLines bounds the declarations listed for one change and the
	// faults listed in one answer.
	maxListedLines = 200
)

type (
	// ApplyState is the outcome of a configuration change.
	ApplyState string

	// Apply requests that a new configuration replace the current one.
	Apply struct {
		// Office is the office that requests the change.
		Office string `cbor:"office"`
		// ChangeID identifies the change, so that resending it is safe.
		ChangeID string `cbor:"changeId"`
		// Base is the version of the configuration that was edited, zero if
		// there was none yet.
		Base uint64 `cbor:"base"`
		// Config is the whole new configuration, encoded by EncodeConfig.
		Config []byte `cbor:"config"`
		// Digest is the SHA-256 of Config.
		Digest [32]byte `cbor:"digest"`
	}

	// ApplyResult is the result of an Apply.
	ApplyResult struct {
		State ApplyState `cbor:"state" json:"state"`
		// Version is the configuration version that the change created, or
		// the current one if it was not accepted.
		Version uint64 `cbor:"version" json:"version"`
		// Since lists up to 100 of the newest changes accepted after the
		// base, oldest first.
		Since []Change `cbor:"since,omitempty" json:"since,omitempty"`
		// Faults lists all faults of the configuration.
		Faults []string `cbor:"faults,omitempty" json:"faults,omitempty"`
	}

	// Change describes one accepted change in the history.
	Change struct {
		Version  uint64    `cbor:"version" json:"version"`
		Office   string    `cbor:"office" json:"office"`
		ChangeID string    `cbor:"changeId" json:"changeId"`
		At       time.Time `cbor:"at" json:"at"`
		// Declarations has one line for each declaration that was added,
		// changed or removed.
		Declarations []string `cbor:"declarations,omitempty" json:"declarations,omitempty"`
	}

	// Declared is the configuration as the operators declared it.
	Declared struct {
		// Version is the Apply.Base of the next change.
		Version uint64
		// Config does not reflect finished rollouts; see declarer.View for
		// the configuration that does.
		Config declarer.Config
	}

	// answerCache holds the answers to the newest changes, so that a resent
	// change gets the same answer. The oldest answer is evicted first.
	answerCache struct {
		byID  map[changeKey]cachedAnswer
		order []changeKey
	}

	changeKey struct {
		Office   string `cbor:"o"`
		ChangeID string `cbor:"c"`
	}

	// cachedAnswer is an ApplyResult without Since, which is rebuilt from the
	// history, and the base and digest of the change it answers.
	cachedAnswer struct {
		Base    uint64     `cbor:"b"`
		Digest  [32]byte   `cbor:"d"`
		State   ApplyState `cbor:"s"`
		Version uint64     `cbor:"v"`
		Faults  []string   `cbor:"f,omitempty"`
	}
)

// Declared returns the newest accepted configuration and its version.
func (m *Machine) Declared() Declared {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Declared{Version: m.configVersion, Config: m.config}
}

// History returns up to limit of the newest accepted changes, oldest first.
func (m *Machine) History(limit int) []Change {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]Change(nil), m.history[max(0, len(m.history)-limit):]...)
}

// WithdrawnAt returns the version of the configuration that added the
// withdrawal of r, or a later version if the history no longer shows it.
func (m *Machine) WithdrawnAt(r declarer.VersionRef) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	line := declarationChange{declarationKey: declarationKey{kindWithdrawal, r.String()}, op: added}.String()
	for _, c := range slices.Backward(m.history) {
		listed := slices.ContainsFunc(c.Declarations, func(d string) bool { return d == line || strings.HasPrefix(d, line+" of ") })
		// A truncated list may omit the withdrawal.
		if listed || len(c.Declarations) > maxListedLines {
			return c.Version
		}
	}
	if len(m.history) > 0 {
		return m.history[0].Version
	}
	return m.configVersion
}

// applyChange accepts or refuses a change. A resent change gets its first
// answer again, even if the configuration has changed since.
func (m *Machine) applyChange(e entryMeta, a *Apply) *ApplyResult {
	k := changeKey{Office: a.Office, ChangeID: a.ChangeID}
	if old, ok := m.answers.byID[k]; ok {
		if old.Digest != a.Digest || old.Base != a.Base {
			return &ApplyResult{State: Reused, Version: m.configVersion, Faults: []string{fmt.Sprintf(
				"change ID %q of office %q was already used with different content or another base; use a new change ID",
				a.ChangeID, a.Office)}}
		}
		return m.newApplyResult(old)
	}
	got := m.decideChange(e, a)
	m.answers.add(k, got)
	return m.newApplyResult(got)
}

// decideChange validates a change and, if it is valid, makes its configuration
// the current one.
func (m *Machine) decideChange(e entryMeta, a *Apply) cachedAnswer {
	got := cachedAnswer{Base: a.Base, Digest: a.Digest, Version: m.configVersion}
	conf, faults := m.decodeChange(a)
	switch {
	case len(faults) > 0:
		got.State, got.Faults = Rejected, faults
		return got
	case a.Base != m.configVersion:
		got.State = Conflict
		return got
	}
	next, faults := indexDeclarations(conf)
	changes := compareDeclarations(m.declared, next)
	faults = append(faults, ownershipFaults(a.Office, changes, m.configVersion == 0)...)
	faults = append(faults, m.rolloutFaults(conf, next)...)
	faults = append(faults, m.check(conf)...)
	if len(faults) > 0 {
		got.State, got.Faults = Rejected, truncateLines(faults)
		return got
	}
	m.acceptChange(e, a, conf, next, changes)
	got.State, got.Version = Accepted, e.index
	return got
}

// decodeChange returns the configuration in a change, or the faults of the
// request.
func (m *Machine) decodeChange(a *Apply) (declarer.Config, []string) {
	var conf declarer.Config
	switch {
	case a.Office == "":
		return conf, []string{"the change names no office"}
	case a.ChangeID == "":
		return conf, []string{"the change has no change ID"}
	case sha256.Sum256(a.Config) != a.Digest:
		return conf, []string{"the digest is not that of the configuration; send the change again"}
	}
	if err := serializer.UnmarshalState(a.Config, &conf); err != nil {
		return conf, []string{err.Error()}
	}
	return conf, nil
}

// acceptChange makes conf the current configuration, updates the rollouts and
// quarantines to match and records the change in the history.
func (m *Machine) acceptChange(e entryMeta, a *Apply, conf declarer.Config, next map[declarationKey]declaration, changes []declarationChange) {
	before := m.declared
	m.rawConfig, m.config, m.declared = bytes.Clone(a.Config), conf, next
	m.configVersion = e.index
	m.viewDirty = true
	m.view.Progress = m.nextProgress(e, before)
	m.view.Quarantined = m.declaredQuarantines()
	lines := make([]string, len(changes))
	for i, c := range changes {
		lines[i] = c.String()
	}
	m.history = append(m.history, Change{
		Version: e.index, Office: a.Office, ChangeID: a.ChangeID, At: e.at, Declarations: truncateLines(lines),
	})
	if n := len(m.history) - maxHistory; n > 0 {
		m.history = append([]Change(nil), m.history[n:]...)
	}
}

// newApplyResult returns the result for a cached answer. For a conflict it lists
// the changes accepted after the base.
func (m *Machine) newApplyResult(a cachedAnswer) *ApplyResult {
	out := &ApplyResult{State: a.State, Version: a.Version, Faults: a.Faults}
	if a.State != Conflict {
		return out
	}
	for _, c := range m.history {
		if c.Version > a.Base && c.Version <= a.Version {
			out.Since = append(out.Since, c)
		}
	}
	out.Since = out.Since[max(0, len(out.Since)-maxConflictChanges):]
	return out
}

// add caches an answer and evicts the oldest ones above maxCachedAnswers.
func (a *answerCache) add(k changeKey, v cachedAnswer) {
	if a.byID == nil {
		a.byID = make(map[changeKey]cachedAnswer)
	}
	a.byID[k] = v
	a.order = append(a.order, k)
	for len(a.order) > maxCachedAnswers {
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

// truncateLines returns the first maxListedLines lines and, if there are more,
// a line with the number omitted.
func truncateLines(lines []string) []string {
	if len(lines) <= maxListedLines {
		return lines
	}
	return append(lines[:maxListedLines:maxListedLines], fmt.Sprintf("and %d more", len(lines)-maxListedLines))
}
