package controller

import (
	"fmt"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/declarer"
	"foxtailwall/serializer"
)

// snapshotFormat is the format number in the snapshots of this release.
const snapshotFormat = 1

type (
	// FormatError says that this release cannot read the format of a snapshot.
	FormatError struct{ Format int }

	// snapshot is the encoded form of the whole state. Tables are written as
	// lists in a deterministic order, so that equal states have equal bytes.
	snapshot struct {
		Format        int                   `cbor:"format"`
		Config        []byte                `cbor:"config,omitempty"`
		ConfigVersion uint64                `cbor:"configVersion"`
		ViewVersion   uint64                `cbor:"viewVersion"`
		Progress      []declarer.Progress   `cbor:"progress,omitempty"`
		Quarantined   []declarer.VersionRef `cbor:"quarantined,omitempty"`
		History       []Change              `cbor:"history,omitempty"`
		Answers       []savedAnswer         `cbor:"answers,omitempty"`
		Claims        claimer.Export        `cbor:"claims"`
		Ledger        biller.Export         `cbor:"ledger"`
		Pins          []savedPin            `cbor:"pins,omitempty"`
		// Owners has string keys, which the codec sorts.
		Owners      map[string]engineOwner `cbor:"owners,omitempty"`
		Document    Document               `cbor:"document"`
		Rollouts    []OrderedRollout       `cbor:"rollouts,omitempty"`
		Isolations  []Isolation            `cbor:"isolations,omitempty"`
		Evacuations []declarer.Evacuation  `cbor:"evacuations,omitempty"`
	}

	savedAnswer struct {
		Key    changeKey    `cbor:"k"`
		Answer cachedAnswer `cbor:"a"`
	}
)

// Snapshot implements replicator.Machine.
func (m *Machine) Snapshot() ([]byte, error) { return m.Freeze()() }

// Freeze returns a function that encodes a snapshot of the current state.
// Freeze takes a few milliseconds for a million records. The function takes
// seconds but may run while further commands are applied, so that it does not
// block the leader.
func (m *Machine) Freeze() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := snapshot{
		Format: snapshotFormat, Config: m.rawConfig, ConfigVersion: m.configVersion,
		ViewVersion: m.view.Version, Progress: m.view.Progress, Quarantined: m.view.Quarantined,
		// Elements of the history never change, and later appends do not
		// affect the elements up to this length.
		History:  m.history[:len(m.history):len(m.history)],
		Owners:   make(map[string]engineOwner, len(m.owners)),
		Document: m.document, Rollouts: m.orderedRollouts, Isolations: m.isolations, Evacuations: m.evacuations,
	}
	for _, k := range m.answers.order {
		s.Answers = append(s.Answers, savedAnswer{Key: k, Answer: m.answers.byID[k]})
	}
	for k, v := range m.owners {
		s.Owners[k] = v
	}
	claims, ledger, pins := m.claims.Freeze(), m.ledger.Freeze(), m.pins.freeze()
	return func() ([]byte, error) {
		s.Claims, s.Ledger, s.Pins = claims(), ledger(), pins()
		return serializer.Marshal(s)
	}
}

// Restore implements replicator.Machine. On an error the state is unchanged.
func (m *Machine) Restore(b []byte) error {
	var s snapshot
	if err := serializer.UnmarshalState(b, &s); err != nil {
		return err
	}
	if s.Format != snapshotFormat {
		return &FormatError{Format: s.Format}
	}
	var conf declarer.Config
	if len(s.Config) > 0 {
		if err := serializer.UnmarshalState(s.Config, &conf); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restore(s, conf)
	return nil
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("snapshot has format %d, but this release reads format %d; start the release that wrote it", e.Format, snapshotFormat)
}

// restore replaces the state with that of a decoded snapshot.
func (m *Machine) restore(s snapshot, conf declarer.Config) {
	m.rawConfig, m.config, m.configVersion = s.Config, conf, s.ConfigVersion
	m.declared = nil
	if len(s.Config) > 0 {
		m.declared, _ = indexDeclarations(conf) // Accepted configurations have no faults.
	}
	m.history = s.History
	for i := range m.history {
		m.history[i].At = m.history[i].At.UTC()
	}
	m.answers = answerCache{}
	for _, a := range s.Answers {
		m.answers.add(a.Key, a.Answer)
	}
	m.claims.Import(s.Claims)
	m.ledger.Import(s.Ledger)
	m.pins = pinTable{}
	for _, p := range s.Pins {
		m.pins.add(p.Pin, p.Used)
	}
	m.owners = make(map[string]engineOwner, len(s.Owners))
	for k, v := range s.Owners {
		m.owners[k] = v
	}
	m.document, m.orderedRollouts = s.Document, s.Rollouts
	for i := range m.orderedRollouts {
		m.orderedRollouts[i].StartedAt = m.orderedRollouts[i].StartedAt.UTC()
	}
	m.isolations = s.Isolations
	for i := range m.isolations {
		m.isolations[i].Until = m.isolations[i].Until.UTC()
	}
	m.evacuations = s.Evacuations
	for i := range m.evacuations {
		m.evacuations[i].Since = m.evacuations[i].Since.UTC()
	}
	m.view.Progress, m.view.Quarantined = s.Progress, s.Quarantined
	for i := range m.view.Progress {
		m.view.Progress[i].Since = m.view.Progress[i].Since.UTC()
	}
	m.publishView(s.ViewVersion)
}
