package controller

import (
	"fmt"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/declarer"
	"foxtailwall/serializer"
)

// snapshotFormat is the format of the snapshots that this release writes.
const snapshotFormat = 1

type (
	// FormatError says that a snapshot has a format that this release does
	// not read.
	FormatError struct{ Format int }

	// snapshot is the whole state. Maps are written as sorted lists, so that
	// equal states have equal bytes.
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
		// Owners is a map with text keys, which the codec sorts.
		Owners   map[string]owner `cbor:"owners,omitempty"`
		Document Document         `cbor:"document"`
		Rollouts []OrderedRollout `cbor:"rollouts,omitempty"`
	}

	savedAnswer struct {
		Key    changeKey `cbor:"k"`
		Answer answered  `cbor:"a"`
	}
)

// Snapshot implements replicator.Machine.
func (m *Machine) Snapshot() ([]byte, error) { return m.Freeze()() }

// Freeze returns a function that makes the snapshot of the state as it is now.
// Freeze takes a few milliseconds for a million records; the function takes
// seconds and may run while further commands are applied, so that a leader
// need not stop for it.
func (m *Machine) Freeze() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := snapshot{
		Format: snapshotFormat, Config: m.raw, ConfigVersion: m.configVersion,
		ViewVersion: m.view.Version, Progress: m.view.Progress, Quarantined: m.view.Quarantined,
		// The elements of the history never change, and appending does not
		// touch those within this length.
		History:  m.history[:len(m.history):len(m.history)],
		Owners:   make(map[string]owner, len(m.owners)),
		Document: m.document, Rollouts: m.rollouts,
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
	return fmt.Sprintf("snapshot has format %d, this release reads %d; start the release that wrote it", e.Format, snapshotFormat)
}

func (m *Machine) restore(s snapshot, conf declarer.Config) {
	m.raw, m.config, m.configVersion = s.Config, conf, s.ConfigVersion
	m.declared = nil
	if len(s.Config) > 0 {
		m.declared, _ = declarations(conf) // It was free of faults when it was accepted.
	}
	m.history = s.History
	for i := range m.history {
		m.history[i].At = m.history[i].At.UTC()
	}
	m.answers = answers{}
	for _, a := range s.Answers {
		m.answers.add(a.Key, a.Answer)
	}
	m.claims.Import(s.Claims)
	m.ledger.Import(s.Ledger)
	m.pins = pinTable{}
	for _, p := range s.Pins {
		m.pins.add(p.Pin, p.Used)
	}
	m.owners = make(map[string]owner, len(s.Owners))
	for k, v := range s.Owners {
		m.owners[k] = v
	}
	m.document, m.rollouts = s.Document, s.Rollouts
	for i := range m.rollouts {
		m.rollouts[i].StartedAt = m.rollouts[i].StartedAt.UTC()
	}
	m.view.Progress, m.view.Quarantined = s.Progress, s.Quarantined
	for i := range m.view.Progress {
		m.view.Progress[i].Since = m.view.Progress[i].Since.UTC()
	}
	m.publish(s.ViewVersion)
}
