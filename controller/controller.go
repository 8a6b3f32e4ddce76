// Package controller is the deterministic state machine on the replicated log
// of the control group: the configuration and who changed it, rollouts,
// quarantines, claims, session pins, the ledger and the ownership of engines.
//
// Every log entry is a Command with one or more items. The leader stamps it
// with its time; the machine reads no clock and no random source, so that all
// members of the group reach the same state, byte for byte.
//
// # Usage
//
//	m := controller.New(func(c declarer.Config) []string { ... })
//	group := replicator.New(..., m)
//
//	cmd, err := controller.Encode(controller.Command{At: clock.Now(), Items: items})
//	res, index, err := group.Propose(ctx, cmd)
//	result, err := controller.Decode(res)
//	for i, answer := range result.Answers { ... }
//
// Whoever distributes the configuration waits for changes:
//
//	for {
//		changed := m.Changed()
//		send(m.View())
//		<-changed
//	}
//
// The checker is part of the machine: members whose checkers disagree reach
// different states, so a release that changes a check must reach all members
// before a configuration makes use of it.
package controller

import (
	"fmt"
	"net/netip"
	"time"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/declarer"
	"foxtailwall/pinner"
	"foxtailwall/serializer"
)

type (
	// Command is one entry of the log.
	Command struct {
		// At is the time of the leader that proposed the command.
		At    time.Time `cbor:"at"`
		Items []Item    `cbor:"items"`
	}

	// Item is one change of the state. Exactly one field is set.
	Item struct {
		Apply      *Apply           `cbor:"apply,omitempty"`
		Claim      *claimer.Request `cbor:"claim,omitempty"`
		Finish     *Finish          `cbor:"finish,omitempty"`
		Release    *Release         `cbor:"release,omitempty"`
		Pin        *pinner.Pin      `cbor:"pin,omitempty"`
		Repin      *Repin           `cbor:"repin,omitempty"`
		Bill       *Bill            `cbor:"bill,omitempty"`
		Promote    *Promote         `cbor:"promote,omitempty"`
		Quarantine *Quarantine      `cbor:"quarantine,omitempty"`
		Own        *Own             `cbor:"own,omitempty"`
		Prune      *Prune           `cbor:"prune,omitempty"`
		Put        *Document        `cbor:"put,omitempty"`
		Order      *RolloutOrder    `cbor:"order,omitempty"`
		Step       *RolloutStep     `cbor:"step,omitempty"`
	}

	// Result is what Machine.Apply returns for a Command.
	Result struct {
		// Answers has one element for each item, in order.
		Answers []Answer `cbor:"answers,omitempty"`
		// Fault says why the whole command was not understood.
		Fault string `cbor:"fault,omitempty"`
	}

	// Answer is the outcome of one Item. The field of the item's kind is set.
	Answer struct {
		Apply *Applied        `cbor:"apply,omitempty"`
		Claim *claimer.Result `cbor:"claim,omitempty"`
		// Done answers Finish and Release: whether the claim is in the
		// wanted state.
		Done       bool             `cbor:"done,omitempty"`
		Pin        *pinner.Pin      `cbor:"pin,omitempty"`
		Refused    []biller.Refused `cbor:"refused,omitempty"`
		Promote    *Promoted        `cbor:"promote,omitempty"`
		Quarantine *Quarantined     `cbor:"quarantine,omitempty"`
		Own        *Owned           `cbor:"own,omitempty"`
		// Put is the version of the document in force.
		Put     uint64   `cbor:"put,omitempty"`
		Ordered *Ordered `cbor:"ordered,omitempty"`
		// Fault says that the item was not understood.
		Fault string `cbor:"fault,omitempty"`
	}

	// Finish stores the response of a granted claim.
	Finish struct {
		Key       claimer.Key      `cbor:"key"`
		RequestID string           `cbor:"requestId"`
		Response  claimer.Response `cbor:"response"`
	}

	// Release gives back a claim whose request provably did not run.
	Release struct {
		Key       claimer.Key `cbor:"key"`
		RequestID string      `cbor:"requestId"`
	}

	// Repin replaces the pin Old by New if Old still holds.
	Repin struct {
		Old pinner.Pin `cbor:"old"`
		New pinner.Pin `cbor:"new"`
	}

	// Bill delivers billing records.
	Bill struct {
		Records []biller.Record `cbor:"records"`
	}

	// Prune removes more of what is past its retention than an ordinary
	// command does. The leader proposes it every PruneInterval.
	Prune struct{}

	// NotLeaderError says that this host does not lead the control group, so
	// that it did not propose the command.
	NotLeaderError struct {
		// Leader is the address of the leader, if it is known.
		Leader netip.AddrPort
	}

	// CommandError says that the machine did not understand a command.
	CommandError struct{ Fault string }
)

// PruneInterval is the time between two Prune commands of a leader.
const PruneInterval = 10 * time.Second

// Encode returns the bytes of a command, to be proposed to the group.
func Encode(c Command) ([]byte, error) {
	c.At = c.At.UTC()
	return serializer.Marshal(c)
}

// Decode reads the result of a command. It returns a *CommandError if the
// machine did not understand the command and a *serializer.DecodeError if b is
// no result.
func Decode(b []byte) (Result, error) {
	var r Result
	if err := serializer.Unmarshal(b, &r); err != nil {
		return r, err
	}
	if r.Fault != "" {
		return r, &CommandError{Fault: r.Fault}
	}
	return r, nil
}

// EncodeConfig returns the bytes of a configuration as Apply carries them.
func EncodeConfig(c declarer.Config) ([]byte, error) { return serializer.Marshal(c) }

// Error implements error.
func (e *NotLeaderError) Error() string {
	if !e.Leader.IsValid() {
		return "this host does not lead the control group and knows no leader; try another control host"
	}
	return fmt.Sprintf("this host does not lead the control group; ask %s", e.Leader)
}

// Error implements error.
func (e *CommandError) Error() string {
	return fmt.Sprintf("the control group did not understand the command: %s", e.Fault)
}
