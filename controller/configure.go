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
	// Conflict means that another change was accepted since the base.
	Conflict ApplyState = "conflict"
	// Rejected means that the configuration has faults.
	Rejected ApplyState = "rejected"
	// Reused means that the change ID was used for another change.
	Reused ApplyState = "reused"

	// maxHistory is the number of accepted changes that are kept, five days
	// at 2,000 changes a day.
	maxHistory = 10_000
	// maxAnswers is the number of answers kept for resent changes.
	maxAnswers = 10_000
	// maxSince bounds the changes that a conflict shows, newest kept.
	maxSince = 100
	// maxListed bounds the declarations listed for one change and the faults
	// of one answer.
	maxListed = 200
)

type (
	// ApplyState is the outcome of a change of the configuration.
	ApplyState string

	// Apply asks for a new configuration.
	Apply struct {
		// Office is the office that wants the change.
		Office string `cbor:"office"`
		// ChangeID identifies the change, so that it can be sent again.
		ChangeID string `cbor:"changeId"`
		// Base is the version of the configuration that the change was made
		// from, zero before the first.
		Base uint64 `cbor:"base"`
		// Config is the whole new configuration, by EncodeConfig.
		Config []byte `cbor:"config"`
		// Digest is the SHA-256 of Config.
		Digest [32]byte `cbor:"digest"`
	}

	// Applied answers an Apply.
	Applied struct {
		State ApplyState `cbor:"state" json:"state"`
		// Version is the version of the configuration that the change made,
		// or the current one if it made none.
		Version uint64 `cbor:"version" json:"version"`
		// Since lists the changes accepted since the base, oldest first. It
		// holds the newest ones if there are many.
		Since []Change `cbor:"since,omitempty" json:"since,omitempty"`
		// Faults lists everything that is wrong with the configuration.
		Faults []string `cbor:"faults,omitempty" json:"faults,omitempty"`
	}

	// Change is one accepted change.
	Change struct {
		Version  uint64    `cbor:"version" json:"version"`
		Office   string    `cbor:"office" json:"office"`
		ChangeID string    `cbor:"changeId" json:"changeId"`
		At       time.Time `cbor:"at" json:"at"`
		// Declarations lists what was added, changed and removed.
		Declarations []string `cbor:"declarations,omitempty" json:"declarations,omitempty"`
	}

	// Declared is the configuration as the operators declared it.
	Declared struct {
		// Version is the base for the next change.
		Version uint64
		// Config is the configuration without the outcome of rollouts.
		Config declarer.Config
	}

	// answers keeps the outcome of the newest changes by office and change
	// ID, in the order in which they came.
	answers struct {
		byID  map[changeKey]answered
		order []changeKey
	}

	changeKey struct {
		Office   string `cbor:"o"`
		ChangeID string `cbor:"c"`
	}

	// answered holds the answer to a change without its list of changes,
	// which is made from the history again.
	answered struct {
		Base    uint64     `cbor:"b"`
		Digest  [32]byte   `cbor:"d"`
		State   ApplyState `cbor:"s"`
		Version uint64     `cbor:"v"`
		Faults  []string   `cbor:"f,omitempty"`
	}
)

// Declared returns the configuration as declared, with its version.
func (m *Machine) Declared() Declared {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Declared{Version: m.configVersion, Config: m.config}
}

// History returns up to limit accepted changes, oldest first, the last one
// being the current configuration.
func (m *Machine) History(limit int) []Change {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]Change(nil), m.history[max(0, len(m.history)-limit):]...)
}

// WithdrawnAt returns a version that has the withdrawal: that of the change that
// brought it or, when the history no longer tells, a later one.
func (m *Machine) WithdrawnAt(r declarer.VersionRef) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	line := declarationChange{ref: ref{kindWithdrawal, r.String()}, op: added}.String()
	for _, c := range slices.Backward(m.history) {
		listed := slices.ContainsFunc(c.Declarations, func(d string) bool { return d == line || strings.HasPrefix(d, line+" of ") })
		// A shortened list may leave out the withdrawal.
		if listed || len(c.Declarations) > maxListed {
			return c.Version
		}
	}
	if len(m.history) > 0 {
		return m.history[0].Version
	}
	return m.configVersion
}

// apply decides on a change. A change that was sent before gets its first
// answer, whatever happened since.
func (m *Machine) apply(s stamp, a *Apply) *Applied {
	k := changeKey{Office: a.Office, ChangeID: a.ChangeID}
	if old, ok := m.answers.byID[k]; ok {
		if old.Digest != a.Digest || old.Base != a.Base {
			return &Applied{State: Reused, Version: m.configVersion, Faults: []string{fmt.Sprintf(
				"change %q of office %q was sent before with another content or base; use a new change ID",
				a.ChangeID, a.Office)}}
		}
		return m.repeat(old)
	}
	got := m.decide(s, a)
	m.answers.add(k, got)
	return m.repeat(got)
}

func (m *Machine) decide(s stamp, a *Apply) answered {
	got := answered{Base: a.Base, Digest: a.Digest, Version: m.configVersion}
	conf, faults := m.read(a)
	switch {
	case len(faults) > 0:
		got.State, got.Faults = Rejected, faults
		return got
	case a.Base != m.configVersion:
		got.State = Conflict
		return got
	}
	next, faults := declarations(conf)
	changes := compareDeclarations(m.declared, next)
	faults = append(faults, ownershipFaults(a.Office, changes, m.configVersion == 0)...)
	faults = append(faults, m.rolloutFaults(conf, next)...)
	faults = append(faults, m.check(conf)...)
	if len(faults) > 0 {
		got.State, got.Faults = Rejected, shorten(faults)
		return got
	}
	m.accept(s, a, conf, next, changes)
	got.State, got.Version = Accepted, s.index
	return got
}

// read decodes the configuration of a change.
func (m *Machine) read(a *Apply) (declarer.Config, []string) {
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

func (m *Machine) accept(s stamp, a *Apply, conf declarer.Config, next map[ref]declaration, changes []declarationChange) {
	before := m.declared
	m.raw, m.config, m.declared = bytes.Clone(a.Config), conf, next
	m.configVersion = s.index
	m.touched = true
	m.view.Progress = m.nextProgress(s, before)
	m.view.Quarantined = m.keptQuarantines()
	lines := make([]string, len(changes))
	for i, c := range changes {
		lines[i] = c.String()
	}
	m.history = append(m.history, Change{
		Version: s.index, Office: a.Office, ChangeID: a.ChangeID, At: s.at, Declarations: shorten(lines),
	})
	if n := len(m.history) - maxHistory; n > 0 {
		m.history = append([]Change(nil), m.history[n:]...)
	}
}

// repeat returns the answer that a change got when it came first.
func (m *Machine) repeat(a answered) *Applied {
	out := &Applied{State: a.State, Version: a.Version, Faults: a.Faults}
	if a.State != Conflict {
		return out
	}
	for _, c := range m.history {
		if c.Version > a.Base && c.Version <= a.Version {
			out.Since = append(out.Since, c)
		}
	}
	out.Since = out.Since[max(0, len(out.Since)-maxSince):]
	return out
}

func (a *answers) add(k changeKey, v answered) {
	if a.byID == nil {
		a.byID = make(map[changeKey]answered)
	}
	a.byID[k] = v
	a.order = append(a.order, k)
	for len(a.order) > maxAnswers {
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

// shorten bounds a list and says how much was left out.
func shorten(lines []string) []string {
	if len(lines) <= maxListed {
		return lines
	}
	return append(lines[:maxListed:maxListed], fmt.Sprintf("and %d more", len(lines)-maxListed))
}
