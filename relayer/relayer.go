// Package relayer distributes configuration versions through two relay hosts
// per zone and leases them to hosts, whereas package syncer has each host poll
// the control leader directly and package sharer exchanges only load figures.
//
// The relays are chosen by rendezvous hashing among the zone's live hosts, so
// that every host computes the same two. The relays watch the control leader,
// and the other hosts watch a relay of their zone: first the one that the hash
// selects for them, then the other, then any control host. Updates carry only
// the declarations that changed; a receiver whose version is unknown gets the
// whole view. A host never applies a version that is not newer than its own.
//
// Every host confirms its version every RenewInterval and gets a lease in
// return. The lease is granted by the control leader alone and counts from the
// time at which the host sent its request, so that it ends on the host before
// it ends in the leader's Registry. A host that lacks a version gets a lease
// only until LeaseTime after that version was accepted. Relays collect the
// confirmations and request statistics of their zone and send them to the
// leader as one batch per second.
//
// # Usage
//
// Each host makes one Node and runs it; its Holder is the router's Views.
//
//	n, err := relayer.NewNode(relayer.Options{
//		Host: relayer.Host{Name: "e1", Zone: "z1", Addr: addr}, Control: controlAddrs,
//		Transport: messenger.NewRelayTransport(tlsConfig), Clock: timekeeper.System{}, FS: fs,
//	})
//	messenger.HandleRelay(mux, n)
//	go n.Run(ctx)
//	catalog := n.Holder().Catalog()
//	n.Report(relayer.Report{Model: "engraver", Version: "v2", Requests: 1})
//
// A control host also sets Source, Group and OnReports, and asks the Registry
// of the leader:
//
//	status := n.Registry().VersionStatus(version, leased)
package relayer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/replicator"
)

const (
	// LeaseTime is the full length of a lease, counted from its request.
	LeaseTime = 8 * time.Second
	// RenewInterval is the interval at which a host requests a lease.
	RenewInterval = 2 * time.Second
	// leaseSlack is added to a lease in the registry; it exceeds the drift
	// between two monotonic clocks over LeaseTime.
	leaseSlack = 400 * time.Millisecond
	// batchInterval is the interval at which a relay forwards confirmations
	// and reports.
	batchInterval = time.Second
	// MaxWaitingGroups bounds the groups in a QueueStatus, because a deployment may
	// have thousands of workspaces and each host sends its status every
	// RenewInterval.
	MaxWaitingGroups = 64
)

type (
	// Source provides the views of a control host's state machine.
	Source interface {
		// View returns the newest view. Its lists must not be modified.
		View() declarer.View
		// Changed returns a channel that is closed at the next change.
		Changed() <-chan struct{}
	}

	// Group reports the leadership of the control group;
	// *replicator.Group implements it.
	Group interface {
		// Leading returns the term that this host leads, if it leads.
		Leading() (term uint64, ok bool)
		// HoldsLease reports whether this host leads and holds the leader's lease.
		HoldsLease() bool
		// Leader returns the current leader, if it is known.
		Leader() (replicator.Member, bool)
	}

	// Host identifies a host and its zone.
	Host struct {
		Name string         `cbor:"name"`
		Zone string         `cbor:"zone"`
		Addr netip.AddrPort `cbor:"addr"`
		// Control marks a control host, which is never chosen as a relay.
		Control bool `cbor:"control,omitempty"`
	}

	// Report counts the outcomes of one version's requests in one zone since
	// the last report. Relays add reports up. A report that may already have
	// arrived is not sent again, but counted in relayer.reportsLost.
	Report struct {
		Model   string `cbor:"model"`
		Version string `cbor:"version"`
		Zone    string `cbor:"zone"`
		// Requests counts the requests sent to the version.
		Requests int64 `cbor:"requests,omitempty"`
		Errors   int64 `cbor:"errors,omitempty"`
		// Rated counts the answers rated, and Passed those that passed.
		Rated  int64 `cbor:"rated,omitempty"`
		Passed int64 `cbor:"passed,omitempty"`
		// LateFirst counts first tokens later than the guard allows.
		LateFirst int64 `cbor:"lateFirst,omitempty"`
	}

	// Confirmation states which version is in force on a host.
	Confirmation struct {
		Host    Host   `cbor:"host"`
		Version uint64 `cbor:"version"`
		// Queue is nil from hosts that serve no callers, and if a relay of an
		// earlier release forwarded the confirmation.
		Queue *QueueStatus `cbor:"queue,omitempty"`
	}

	// QueueStatus describes the requests that wait at a host for admission, and
	// those that it has refused instead.
	QueueStatus struct {
		// Waiting has an entry for each workspace and priority, at most
		// MaxWaitingGroups, those with the longest waits first.
		Waiting []WaitingGroup `cbor:"waiting,omitempty" json:"waiting,omitempty"`
		// Requests is the number of all waiting requests.
		Requests int `cbor:"requests,omitempty" json:"requests"`
		// Refused counts the refusals since the host started by their code.
		Refused map[string]int64 `cbor:"refused,omitempty" json:"refused,omitempty"`
	}

	// WaitingGroup describes the waiting requests of a workspace with the same
	// priority.
	WaitingGroup struct {
		Workspace string `cbor:"workspace" json:"workspace"`
		// Priority is the one that the callers set, 0 (lowest) to 9.
		Priority int `cbor:"priority" json:"priority"`
		Requests int `cbor:"requests" json:"requests"`
		// Oldest is the time for which the oldest request has waited, in
		// nanoseconds.
		Oldest time.Duration `cbor:"oldest" json:"oldest"`
	}

	// ConfirmRequest carries confirmations and reports towards the leader.
	ConfirmRequest struct {
		Confirmations []Confirmation `cbor:"confirmations,omitempty"`
		Reports       []Report       `cbor:"reports,omitempty"`
		// Hosts is the digest of the sender's list of its zone's live hosts.
		Hosts uint64 `cbor:"hosts,omitempty"`
	}

	// ConfirmResponse carries the leases granted for a ConfirmRequest.
	ConfirmResponse struct {
		// Leases holds the length of the lease for each confirmation, in the
		// order of the request; zero means no lease.
		Leases []time.Duration `cbor:"leases,omitempty"`
		// Version is the newest version that the control leader knows.
		Version uint64 `cbor:"version"`
		// Hosts lists the live hosts of the senders' zones if the digest in
		// the request differs.
		Hosts []Host `cbor:"hosts,omitempty"`
	}

	// WatchRequest asks for the versions after Version.
	WatchRequest struct {
		Version uint64 `cbor:"version"`
		Digest  uint64 `cbor:"digest"`
	}

	// Update carries a newer view, either whole or as a delta.
	Update struct {
		Version uint64         `cbor:"version"`
		Full    *declarer.View `cbor:"full,omitempty"`
		Delta   *Delta         `cbor:"delta,omitempty"`
		// Digest is the digest of the resulting view.
		Digest uint64 `cbor:"digest"`
		// Leader is the address of the control leader, if the sender knows
		// it; only control hosts set it.
		Leader netip.AddrPort `cbor:"leader,omitzero"`
	}

	// Transport calls the nodes of other hosts. It applies a timeout to
	// Confirm and Latest. Confirm returns an *UnsentError if the request
	// certainly did not arrive, and a *LeaderError if the receiver is a
	// control host that cannot grant leases.
	Transport interface {
		// Watch calls update for every update until ctx ends, the stream
		// breaks or update returns an error.
		Watch(ctx context.Context, to netip.AddrPort, r *WatchRequest, update func(*Update) error) error
		Confirm(ctx context.Context, to netip.AddrPort, r *ConfirmRequest) (*ConfirmResponse, error)
		// Latest returns the update from the requested version to the newest.
		// Without a newer version, the update carries no view.
		Latest(ctx context.Context, to netip.AddrPort, r *WatchRequest) (*Update, error)
	}

	// BaseError reports a delta that does not apply to the host's view.
	BaseError struct{ Have, Base uint64 }

	// LeaderError reports a control host that cannot grant leases, because it
	// does not lead or may have been replaced. Leader is the address of the
	// control leader, invalid if unknown.
	LeaderError struct{ Leader netip.AddrPort }

	// UnsentError reports a request that was not sent.
	UnsentError struct{ Err error }
)

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("update applies to version %d, but this host has version %d", e.Base, e.Have)
}

// Error implements error.
func (e *LeaderError) Error() string {
	if !e.Leader.IsValid() {
		return "this host cannot grant leases and knows no control leader"
	}
	return fmt.Sprintf("this host cannot grant leases; the control leader is at %s", e.Leader)
}

// Error implements error.
func (e *UnsentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }
