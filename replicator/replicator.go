// Package replicator replicates a log of commands to the members of a group and
// applies it to a state machine on each of them. It implements Raft: a majority
// elects one leader per term, the leader appends entries, and an entry that a
// majority has synced is committed.
//
// A candidate asks for pre-votes before it raises the term, a member that
// heard from a leader within the election timeout refuses to vote, and a
// leader that a majority has not answered for an election timeout steps down.
// A member that returns from a partition therefore does not depose a working
// leader. The leader's lease relies on the same rules: while a majority has
// answered messages sent less than Lease ago, no other leader can have been
// elected, and the leader serves reads without contacting the others. All times
// are readings of the monotonic clock. A member that has just started refuses
// to vote for one election timeout, because it may have answered a leader right
// before it stopped.
//
// # Membership
//
// A member gets a random identity when its directory is first used. After its
// directory is wiped it gets a new one, which cannot vote as the old one. A
// member without a log asks the configured peers to join. The leader removes an
// older identity of the same name that no longer answers, adds the new one as a
// learner, and makes it a voter once it has synced all committed entries. One
// change is made at a time.
//
// The first group is formed by the peer whose name sorts first, and only after
// every other configured peer has answered that it has no log either. All
// peers must therefore be up at the same time for a new group to form, and a
// host that lost its disk cannot form a second group by mistake.
//
// # Versions of log entries
//
// Members of two releases may run side by side. Each message says which version
// of log entries its sender applies, and the membership stores what each member
// last reported. ProposeFormat refuses a command above the lowest version of all
// members. For a member that has not answered the leader in its term, the stored
// version is used.
//
// # Usage
//
//	g, err := replicator.New(replicator.Options{
//		Name: "a", Addr: addr, Peers: peers,
//		FS: fs, Machine: machine, Transport: transport, Clock: timekeeper.System{},
//	})
//	go g.Run(ctx)
//	result, index, err := g.Propose(ctx, cmd)
//	if replicator.NotRun(err) {
//		// The command certainly has no effect.
//	}
//	index, err := g.Barrier(ctx) // then read the machine
//
// The core is a deterministic state machine driven by messages, proposals and
// ticks; Run drives it from a goroutine with the clock.
package replicator

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/journaler"
)

// Kinds of messages.
const (
	kindPreVote Kind = iota + 1
	kindPreVoteReply
	kindVote
	kindVoteReply
	kindAppend
	kindAppendReply
	kindSnapshot
	kindSnapshotReply
	kindJoin
	kindJoinReply
)

// Kinds of log entries.
const (
	entryCommand uint8 = iota
	// entryNoop is the first entry of a term; once it is committed, so are
	// all entries of earlier terms.
	entryNoop
	entryConfig
)

type (
	// Machine is the deterministic state machine that the log is applied to. Its
	// methods are called from one goroutine; readers of the state do their own
	// locking.
	Machine interface {
		// Apply applies a committed command and returns the result for the caller
		// of Propose.
		Apply(index uint64, cmd []byte) []byte
		// Snapshot returns the whole state.
		Snapshot() ([]byte, error)
		// Restore replaces the state with one that Snapshot returned.
		Restore(data []byte) error
	}

	// Freezer is implemented by a Machine whose state is too large to be encoded
	// while the group waits.
	Freezer interface {
		// Freeze captures the current state quickly and returns the function that
		// encodes it. The function may run while Apply is called.
		Freeze() func() ([]byte, error)
	}

	// Transport sends messages to other members. Send does not block; it may
	// lose, delay, repeat and reorder messages. It must not change m.
	Transport interface {
		Send(to netip.AddrPort, m *Message)
	}

	// Peer is a host configured as a possible member.
	Peer struct {
		Name string
		Addr netip.AddrPort
	}

	// Member is a voter or a learner of the group.
	Member struct {
		// ID is the identity of the member's directory.
		ID    string         `cbor:"id"`
		Name  string         `cbor:"name"`
		Addr  netip.AddrPort `cbor:"addr"`
		Voter bool           `cbor:"voter"`
		// Format is the version of log entries that the member last reported, 0 if it
		// reported none.
		Format uint32 `cbor:"format,omitempty"`
	}

	// Kind is the type of a message.
	Kind uint8

	// Message is sent from one member to another. Its kind determines which
	// fields are used.
	Message struct {
		Kind Kind   `cbor:"kind"`
		From string `cbor:"from"`
		// Format is the version of log entries that the sender applies. Releases
		// without it apply version 0.
		Format uint32 `cbor:"format,omitempty"`
		// To is the identity of the receiver. If it is empty, the message is for
		// any member at the address.
		To   string `cbor:"to,omitempty"`
		Term uint64 `cbor:"term,omitempty"`
		// Index and LogTerm identify the entry before Entries, the last entry of a
		// candidate, or in replies the last matching entry.
		Index   uint64            `cbor:"index,omitempty"`
		LogTerm uint64            `cbor:"logTerm,omitempty"`
		Entries []journaler.Entry `cbor:"entries,omitempty"`
		Commit  uint64            `cbor:"commit,omitempty"`
		// Sent is the leader's clock when it sent the message; replies copy it.
		Sent   time.Duration `cbor:"sent,omitempty"`
		Reject bool          `cbor:"reject,omitempty"`
		Chunk  *Chunk        `cbor:"chunk,omitempty"`
		Member *Member       `cbor:"member,omitempty"`
		// Empty says in a join reply that the sender has no log.
		Empty bool `cbor:"empty,omitempty"`
	}

	// Chunk is a part of a snapshot, or in a reply how much has arrived. An
	// offset of -1 marks a heartbeat without data.
	Chunk struct {
		Index  uint64 `cbor:"index"`
		Term   uint64 `cbor:"term"`
		Config []byte `cbor:"config,omitempty"`
		Offset int    `cbor:"offset"`
		Total  int    `cbor:"total"`
		Data   []byte `cbor:"data,omitempty"`
	}

	// NotLeaderError reports that this member is not the leader, so that the call
	// had no effect.
	NotLeaderError struct {
		// Leader is the known leader; its name is empty if none is known.
		Leader Member
	}

	// ProposalError reports that a proposal returned no result.
	ProposalError struct {
		// NotRun means that the command certainly has no effect, now or
		// later. Otherwise it may still take effect.
		NotRun bool
		Err    error
	}

	// TooLargeError reports that a command exceeds the size limit. The command
	// has no effect.
	TooLargeError struct{ Size, Limit int }

	// FormatError reports that a member does not apply log entries of the version
	// that a command needs. The command has no effect and may be repeated.
	FormatError struct {
		// Member is the member with the lowest version, which is its Format.
		Member   Member
		Required uint32
	}

	// MembershipError reports why a membership change was refused.
	MembershipError struct{ Reason string }
)

var (
	errOverwritten = errors.New("an entry of another leader replaced it in the log")
	errOverloaded  = errors.New("too many proposals are waiting")
	errStopped     = errors.New("the member has stopped")
)

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader.Name == "" {
		return "this member does not lead the control group and knows no leader; retry"
	}
	return fmt.Sprintf("this member does not lead the control group; ask %s at %s", e.Leader.Name, e.Leader.Addr)
}

// Error implements error.
func (e *ProposalError) Error() string {
	if e.NotRun {
		return fmt.Sprintf("the command has no effect: %v", e.Err)
	}
	return fmt.Sprintf("the command may take effect: %v", e.Err)
}

// Unwrap returns the cause.
func (e *ProposalError) Unwrap() error { return e.Err }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("command of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("member %s at %s applies log entries up to version %d and the command needs version %d; upgrade or remove the member, then retry",
		e.Member.Name, e.Member.Addr, e.Member.Format, e.Required)
}

// Error implements error.
func (e *MembershipError) Error() string { return "membership change refused: " + e.Reason }

// NotRun reports whether err, returned by Propose, means that the command
// certainly has no effect, now or later.
func NotRun(err error) bool {
	var (
		nl *NotLeaderError
		pe *ProposalError
		tl *TooLargeError
		fe *FormatError
	)
	switch {
	case errors.As(err, &pe):
		return pe.NotRun
	case errors.As(err, &nl), errors.As(err, &tl), errors.As(err, &fe):
		return true
	}
	return false
}

// canceledError returns the error of a call whose context ended.
func canceledError(ctx context.Context, notRun bool) error {
	return &ProposalError{NotRun: notRun, Err: context.Cause(ctx)}
}
