// Package controller is the deterministic state machine that the control group
// replicates. Its state is the configuration with its history, rollouts,
// quarantines, claims, session pins, the billing ledger and the owners of
// engines.
//
// Every log entry is a Command with one or more items and the leader's time.
// The machine reads no clock and no random source, so that all members of the
// group reach the same state, byte for byte.
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
// To distribute the configuration, wait for changes:
//
//	for {
//		changed := m.Changed()
//		send(m.View())
//		<-changed
//	}
//
// The checker must give the same result on all members, or their states
// diverge. A release that changes a check must run on all members before a
// configuration relies on it.
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
	// Command is the content of one log entry.
	Command struct {
		// At is the time of the leader that proposed the command.
		At    time.Time `cbor:"at"`
		Items []Item    `cbor:"items"`
	}

	// Item is one operation on the state. Exactly one field is set.
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
		Own        *OwnRequest      `cbor:"own,omitempty"`
		Prune      *Prune           `cbor:"prune,omitempty"`
		Put        *Document        `cbor:"put,omitempty"`
		Order      *RolloutOrder    `cbor:"order,omitempty"`
		Step       *RolloutStep     `cbor:"step,omitempty"`
		Isolation  *IsolationStep   `cbor:"isolation,omitempty"`
		Evacuation *EvacuationOrder `cbor:"evacuation,omitempty"`
	}

	// Result is what Machine.Apply returns for a Command.
	Result struct {
		// Answers has one element for each item, in order.
		Answers []Answer `cbor:"answers,omitempty"`
		// Fault says why the whole command was refused: it cannot be decoded
		// or its time is out of range.
		Fault string `cbor:"fault,omitempty"`
	}

	// Answer is the result of one Item. The field for the item's kind is set.
	Answer struct {
		Apply *ApplyResult    `cbor:"apply,omitempty"`
		Claim *claimer.Result `cbor:"claim,omitempty"`
		// OK says for Finish and Release whether the claim is now finished
		// or released, for Step and Isolation whether it had an effect; it is
		// true for Prune.
		OK         bool                   `cbor:"done,omitempty"`
		Pin        *pinner.Pin            `cbor:"pin,omitempty"`
		Refused    []biller.RefusedRecord `cbor:"refused,omitempty"`
		Promote    *PromoteResult         `cbor:"promote,omitempty"`
		Quarantine *QuarantineResult      `cbor:"quarantine,omitempty"`
		Own        *OwnResult             `cbor:"own,omitempty"`
		// Put is the version of the current document.
		Put       uint64            `cbor:"put,omitempty"`
		Ordered   *OrderResult      `cbor:"ordered,omitempty"`
		Evacuated *EvacuationResult `cbor:"evacuated,omitempty"`
		// Fault says why the item is not supported.
		Fault string `cbor:"fault,omitempty"`
	}

	// Finish stores the response of a granted claim.
	Finish struct {
		Key       claimer.Key      `cbor:"key"`
		RequestID string           `cbor:"requestId"`
		Response  claimer.Response `cbor:"response"`
	}

	// Release releases a claim whose request provably did not run.
	Release struct {
		Key       claimer.Key `cbor:"key"`
		RequestID string      `cbor:"requestId"`
	}

	// Repin replaces the pin Old with New if Old is still the session's pin.
	Repin struct {
		Old pinner.Pin `cbor:"old"`
		New pinner.Pin `cbor:"new"`
	}

	// Bill adds billing records to the ledger.
	Bill struct {
		Records []biller.Record `cbor:"records"`
	}

	// Prune removes expired state, more at once than other commands do. The
	// leader proposes it every PruneInterval.
	Prune struct{}

	// NotLeaderError says that this host did not propose the command because
	// it does not lead the control group.
	NotLeaderError struct {
		// Leader is the address of the leader, or invalid if unknown.
		Leader netip.AddrPort
	}

	// CommandError says that the machine refused a whole command.
	CommandError struct{ Fault string }
)

// PruneInterval is how often the leader proposes a Prune command.
const PruneInterval = 10 * time.Second

// Encode returns the encoding of a command to propose to the group.
func Encode(c Command) ([]byte, error) {
	c.At = c.At.UTC()
	return serializer.Marshal(c)
}

// Decode decodes the result of a command. It returns a *CommandError if the
// machine refused the command and a *serializer.DecodeError if b is not a
// result.
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

// EncodeConfig returns the encoding of a configuration for Apply.Config.
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
	return fmt.Sprintf("the control group refused the command: %s", e.Fault)
}
